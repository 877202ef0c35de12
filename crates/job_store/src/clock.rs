//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time, in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
