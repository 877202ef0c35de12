//! Upstreams that say in their answers that they are leaving.
//!
//! Load pattern: an upstream is emptied while the store cannot be reached, or its
//! registration says too late or never that it is draining. Its own answers are the
//! newest evidence. An upstream that said so gets no further requests from this
//! instance, nor from the peers that are notified, until another incarnation registers.

use serde::{Deserialize, Serialize};

use crate::{target::Target, upstream_row::UpstreamRow, upstream_table::UpstreamTable};

/// An upstream that said that it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// Hash of the upstream id, from [`crate::upstream_hash`].
    pub upstream: u64,
    /// When the upstream started, Unix milliseconds.
    pub started_unix_ms: u64,
}

impl UpstreamTable {
    /// Records that an upstream says that it is leaving. Returns whether this was not
    /// known.
    pub fn record_leaving(&mut self, target: &Target) -> bool {
        let Some(row) = self.incarnation_row(target) else {
            return false;
        };
        let is_new = !row.is_leaving;
        row.is_leaving = true;
        is_new
    }

    /// Returns whether an upstream said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, target: &Target) -> bool {
        self.known_incarnation(target)
            .is_some_and(|row| row.is_leaving)
    }

    /// Returns whether an upstream is registered as ready and has not said that it is
    /// leaving, so that its end would not be a planned one.
    #[must_use]
    pub fn is_in_service(&self, target: &Target) -> bool {
        self.known_incarnation(target)
            .is_some_and(UpstreamRow::is_ready)
    }

    /// Returns whether another incarnation of an upstream is registered, or another upstream
    /// at its address, so that its process has ended.
    #[must_use]
    pub fn is_succeeded(&self, target: &Target) -> bool {
        self.rows.iter().any(|row| {
            let is_same_id = row.entry.id == target.upstream;
            let is_same_start = row.entry.started_unix_ms == target.started_unix_ms;
            let is_at_address = is_same_id || row.entry.address == target.address;
            is_at_address && !(is_same_id && is_same_start)
        })
    }

    pub(crate) fn known_incarnation(&self, target: &Target) -> Option<&UpstreamRow> {
        let row = &self.rows[self.find(&target.upstream).ok()?];
        (row.entry.started_unix_ms == target.started_unix_ms).then_some(row)
    }

    /// Returns the upstreams that said that they are leaving, for notices to peers.
    #[must_use]
    pub fn leaving_upstreams(&self) -> Vec<LeavingUpstream> {
        let leaving = self.rows.iter().filter(|row| row.is_leaving);
        let upstreams = leaving.map(|row| LeavingUpstream {
            upstream: row.hash,
            started_unix_ms: row.entry.started_unix_ms,
        });
        upstreams.collect()
    }

    /// Records the upstreams of which a peer knows that they are leaving.
    pub fn receive_leaving(&mut self, leaving: &[LeavingUpstream]) {
        for upstream in leaving {
            let same_incarnation = self.rows.iter_mut().find(|row| {
                row.hash == upstream.upstream
                    && row.entry.started_unix_ms == upstream.started_unix_ms
            });
            if let Some(row) = same_incarnation {
                row.is_leaving = true;
            }
        }
    }
}
