//! Time as the core wants it: Unix milliseconds that never go back.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A clock that starts at the system's time and then follows the monotonic one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
    started_at_ms: u64,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            started_at_ms: millis(elapsed),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started_at_ms + millis(self.started.elapsed())
    }

    /// The moment at which this clock shows `at_ms`.
    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        let offset_ms = at_ms.saturating_sub(self.started_at_ms);
        self.started + Duration::from_millis(offset_ms)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
