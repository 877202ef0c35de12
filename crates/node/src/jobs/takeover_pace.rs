//! Paces how fast an instance takes over jobs.
//!
//! Load pattern: many owners stop at the same moment, and thousands of jobs become orphaned
//! for all instances at once. If each instance tried all of them, and again after each
//! rejection by the store, the store could do nothing else.

use store::Backoff;

use crate::feeds::RETRY_INITIAL_MS;

/// Maximum number of takeovers in progress.
const IN_PROGRESS_MAX: usize = 32;
/// Maximum pause after failures of the store, milliseconds.
const PAUSE_MAX_MS: u64 = 5_000;

/// When jobs may be taken over.
#[derive(Debug)]
pub(crate) struct TakeoverPace {
    in_progress: usize,
    backoff: Backoff,
    paused_until_ms: u64,
}

impl Default for TakeoverPace {
    fn default() -> Self {
        Self {
            in_progress: 0,
            backoff: Backoff::new(RETRY_INITIAL_MS, PAUSE_MAX_MS, rand::random()),
            paused_until_ms: 0,
        }
    }
}

impl TakeoverPace {
    /// Returns whether another takeover may begin.
    pub(super) fn may_begin(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms && self.in_progress < IN_PROGRESS_MAX
    }

    /// Records that a takeover begins.
    pub(super) fn record_begin(&mut self) {
        self.in_progress += 1;
    }

    /// Records that a takeover has ended, whatever its result.
    pub(super) fn record_end(&mut self) {
        self.in_progress -= 1;
    }

    /// Records that the store did not carry out a takeover. The failures of one round count
    /// once.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        if now_ms >= self.paused_until_ms {
            self.paused_until_ms = now_ms + self.backoff.next_wait_ms();
        }
    }

    /// Records that the store answered a takeover.
    pub(super) fn record_answer(&mut self) {
        self.backoff.reset();
    }
}
