//! Early detection of an unreachable store, based on an unanswered heartbeat.
//!
//! When the network drops all packets, the only symptom is a call that runs into
//! its time-out seconds later. Until then, callers of this instance would wait in
//! vain although another instance could store their jobs.

/// A heartbeat is overdue after this many times the round-trip time of the last
/// answered heartbeat.
const OVERDUE_FACTOR: u64 = 4;
/// Minimum time after which a heartbeat is overdue, in milliseconds. It exceeds
/// the pauses of a busy store, which would otherwise count as overdue.
const OVERDUE_MIN_MS: u64 = 100;

/// Tracks the heartbeat in flight and decides when it is overdue.
#[derive(Debug, Default)]
pub struct HeartbeatMonitor {
    sent_at_ms: Option<u64>,
    /// Round-trip time of the last answered heartbeat, in milliseconds.
    round_trip_ms: u64,
}

impl HeartbeatMonitor {
    /// Records that a heartbeat was sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.sent_at_ms = Some(now_ms);
    }

    /// Records that the heartbeat in flight was answered.
    pub fn record_answered(&mut self, now_ms: u64) {
        if let Some(sent_at_ms) = self.sent_at_ms.take() {
            self.round_trip_ms = now_ms.saturating_sub(sent_at_ms);
        }
    }

    /// Records that the heartbeat in flight failed. A failure is no measurement
    /// of the round-trip time, so the limit for the next heartbeat does not change.
    pub fn record_failed(&mut self) {
        self.sent_at_ms = None;
    }

    /// Returns when the heartbeat in flight becomes overdue, in milliseconds.
    /// From then on it is worth probing whether the store can be reached at all.
    /// `None` if no heartbeat is in flight.
    #[must_use]
    pub fn overdue_at_ms(&self) -> Option<u64> {
        let limit_ms = (self.round_trip_ms * OVERDUE_FACTOR).max(OVERDUE_MIN_MS);
        Some(self.sent_at_ms? + limit_ms)
    }
}
