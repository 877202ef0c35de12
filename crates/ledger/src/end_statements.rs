//! Upstreams that say that nothing follows the output so far of an item.

use model::UpstreamId;

/// Number of statements that are believed even if all of them come from the same upstream, which
/// may be the only one. Two are enough if they come from different ones.
const STATEMENTS_MAX: usize = 3;

/// Statements about the same output.
#[derive(Debug, Default)]
pub(crate) struct EndStatements {
    /// Last event of the output.
    after_event: Option<u64>,
    upstreams: Vec<UpstreamId>,
}

impl EndStatements {
    /// Records that an upstream says that nothing follows an event. Returns whether that is
    /// confirmed.
    pub(crate) fn record(&mut self, after_event: Option<u64>, upstream: &UpstreamId) -> bool {
        if self.after_event != after_event {
            self.after_event = after_event;
            self.upstreams.clear();
        }
        let is_confirmed_by_other = self.upstreams.iter().any(|earlier| earlier != upstream);
        self.upstreams.push(upstream.clone());
        is_confirmed_by_other || self.upstreams.len() >= STATEMENTS_MAX
    }
}
