//! Monotonic time of the process, time since the machine was started, and time of day.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Monotonic clock that counts milliseconds since the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Returns a clock that reads zero now.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start of the process.
    pub(crate) fn now_ms(&self) -> u64 {
        to_ms(self.started.elapsed())
    }

    /// Converts milliseconds since the start of the process to an instant for Tokio
    /// timers.
    pub(crate) fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        (self.started + Duration::from_millis(at_ms)).into()
    }
}

/// Returns the time since the machine was started, in milliseconds. Unlike [`Clock`], it goes on
/// while the machine is suspended.
pub(crate) fn boot_ms() -> u64 {
    // Every Linux kernel has this clock, so the call cannot fail.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |time| to_ms(Duration::from(time)))
}

/// Returns the time of day, in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    to_ms(since_epoch.unwrap_or_default())
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
