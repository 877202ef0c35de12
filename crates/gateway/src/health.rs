//! Health of an upstream as this instance experienced it.
//!
//! Load pattern: an upstream crashes, goes dark or fails a share of its
//! requests while its registration still says that it is ready. It is left out
//! after a failure for a time that doubles with each further one, then gets one
//! request at a time until it succeeds.

use crate::estimate::Mean;

/// First time out after a failure, milliseconds.
const EJECTION_MS: u64 = 500;
/// Longest time out, milliseconds.
const EJECTION_MAX_MS: u64 = 8_000;
/// Consecutive failures with which an upstream is left out.
const FAILURES_TO_EJECT: u32 = 1;

/// Health of one upstream.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failures_in_row: u32,
    /// Left out because of failures.
    ejected_until_ms: u64,
    /// Left out because it says that it cannot take work.
    closed_until_ms: u64,
    is_on_trial: bool,
    failure_share: Mean,
}

impl Health {
    /// Records a request that ended well.
    pub(crate) fn succeeded(&mut self) {
        self.failures_in_row = 0;
        self.is_on_trial = false;
        self.ejected_until_ms = 0;
        self.failure_share.add(0.0);
    }

    /// Records a request that the upstream failed.
    pub(crate) fn failed(&mut self, now_ms: u64) {
        self.failures_in_row += 1;
        self.is_on_trial = false;
        self.failure_share.add(1.0);
        if self.failures_in_row >= FAILURES_TO_EJECT {
            let doublings = (self.failures_in_row - FAILURES_TO_EJECT).min(8);
            let out_ms = (EJECTION_MS << doublings).min(EJECTION_MAX_MS);
            self.ejected_until_ms = now_ms + out_ms;
        }
    }

    /// The upstream takes no work until a moment.
    pub(crate) fn closed_until(&mut self, until_ms: u64) {
        self.closed_until_ms = self.closed_until_ms.max(until_ms);
    }

    /// Records that a request was sent.
    pub(crate) fn sent(&mut self) {
        if self.failures_in_row > 0 {
            self.is_on_trial = true;
        }
    }

    /// Records that a request ended without saying anything about health.
    pub(crate) fn undecided(&mut self) {
        self.is_on_trial = false;
    }

    /// Whether requests may be sent.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.ejected_until_ms && self.is_last_resort(now_ms)
    }

    /// Whether requests may be sent if there is no better upstream.
    pub(crate) fn is_last_resort(&self, now_ms: u64) -> bool {
        now_ms >= self.closed_until_ms && !self.is_on_trial
    }

    /// Share of recent requests that failed.
    pub(crate) fn failure_share(&self) -> f64 {
        self.failure_share.or(0.0)
    }
}
