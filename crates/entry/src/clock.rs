//! Wall-clock time for deadlines.

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time, milliseconds.
pub(crate) fn now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Unix time, seconds.
pub(crate) fn now_s() -> u64 {
    now_ms() / 1_000
}
