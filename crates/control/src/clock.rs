//! Clock of the membership core: Unix time in milliseconds that never decreases.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A clock that starts at the system time and then follows the monotonic clock,
/// so that adjustments of the system time do not affect it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    start_unix_ms: u64,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_unix_ms: whole_millis(elapsed),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.start_unix_ms + whole_millis(self.start.elapsed())
    }

    /// Returns the instant at which this clock shows `at_ms`; the start of the
    /// clock if `at_ms` is earlier.
    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        let offset_ms = at_ms.saturating_sub(self.start_unix_ms);
        self.start + Duration::from_millis(offset_ms)
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
