//! Rate limits that upstreams state in their answers.

use crate::{UpstreamTable, placement::Target};

impl UpstreamTable {
    /// Records the rate limit that an upstream states in an answer, in requests per second
    /// from all instances together; `None` if it states none. Returns whether the limit has
    /// changed.
    pub fn record_limit(&mut self, target: &Target, requests_per_s: Option<f64>) -> bool {
        let Some(row) = self.incarnation_row(target) else {
            return false;
        };
        let is_changed = row.limit_per_s != requests_per_s;
        row.limit_per_s = requests_per_s;
        is_changed
    }

    /// Returns the number of upstreams that state a rate limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let limited = self.rows.iter().filter(|row| row.limit_per_s.is_some());
        limited.count()
    }
}
