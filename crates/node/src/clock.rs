//! Time as the process sees it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the process started, on a clock that never goes back.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts at zero.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Now, milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        to_ms(self.started.elapsed())
    }

    /// A moment for timers.
    pub(crate) fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        (self.started + Duration::from_millis(at_ms)).into()
    }
}

/// Time of day, Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    to_ms(since_epoch.unwrap_or_default())
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
