//! Clocks: Unix time for values that leave the process, monotonic time for
//! decisions.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Returns the Unix time, in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the Unix time, in seconds.
pub(crate) fn unix_s() -> u64 {
    unix_ms() / 1_000
}

/// Returns the monotonic time since the first call in this process, in
/// microseconds.
pub(crate) fn now_us() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
