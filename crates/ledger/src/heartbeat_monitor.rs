//! Tells early that the store may be out of reach, from a heartbeat that goes
//! unanswered.
//!
//! A network that drops everything shows only by a call that runs into its time
//! limit, seconds later. Until then callers whose jobs could be stored by
//! another instance would wait here in vain.

/// A heartbeat is overdue after this many times what the last one took.
const OVERDUE_TIMES: u64 = 4;
/// Shortest time after which a heartbeat is overdue, milliseconds: above the
/// pauses of a busy store.
const OVERDUE_MIN_MS: u64 = 100;

/// The heartbeat under way.
#[derive(Debug, Default)]
pub struct HeartbeatMonitor {
    sent_at_ms: Option<u64>,
    /// What the last answered heartbeat took, milliseconds.
    answer_time_ms: u64,
}

impl HeartbeatMonitor {
    /// A heartbeat was sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.sent_at_ms = Some(now_ms);
    }

    /// The heartbeat was answered.
    pub fn record_answered(&mut self, now_ms: u64) {
        if let Some(sent_at_ms) = self.sent_at_ms.take() {
            self.answer_time_ms = now_ms.saturating_sub(sent_at_ms);
        }
    }

    /// The heartbeat failed, which says nothing of the next one's time.
    pub fn record_failed(&mut self) {
        self.sent_at_ms = None;
    }

    /// When the heartbeat under way is overdue: then it is worth finding out
    /// whether the store can be reached at all.
    #[must_use]
    pub fn overdue_at_ms(&self) -> Option<u64> {
        let limit_ms = (self.answer_time_ms * OVERDUE_TIMES).max(OVERDUE_MIN_MS);
        Some(self.sent_at_ms? + limit_ms)
    }
}
