//! Adaptive time-out of calls to the store, after which a call is retried.
//!
//! Load pattern: the store loses responses, stops responding for seconds, or
//! works at a fiftieth of its usual speed. A caller that waits for the
//! acknowledgement of a job has half a second. A lost response must not cost that
//! caller more than a few usual response times, and a slow store must not be
//! flooded with retries.

/// The time-out of a call is this many times the measured response time.
const TIMEOUT_FACTOR: u64 = 4;
/// Minimum time-out, in milliseconds. It exceeds the pauses of a busy store.
const TIMEOUT_MIN_MS: u64 = 150;
/// Time-out before any response time was measured, in milliseconds.
const TIMEOUT_UNMEASURED_MS: u64 = 500;
/// Maximum time-out, in milliseconds.
const TIMEOUT_MAX_MS: u64 = 2_000;
/// Number of doublings after which every time-out reaches the maximum, whatever
/// its initial value.
const DOUBLINGS_MAX: u32 = 8;
/// Each faster response lowers the measured response time by one part in this
/// many.
const DECAY_DIVISOR: u64 = 8;

/// Estimate of the store's response time and the time-outs derived from it.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallTimeouts {
    /// Estimated response time, in milliseconds. A slower response raises it at
    /// once, faster responses lower it gradually.
    response_ms: Option<u64>,
    consecutive_timeouts: u32,
    last_timeout_ms: u64,
}

impl CallTimeouts {
    /// Records a call that was answered after `elapsed_ms`.
    pub fn record_answer(&mut self, elapsed_ms: u64) {
        let previous_ms = self.response_ms.unwrap_or(0);
        self.response_ms = Some(elapsed_ms.max(previous_ms - previous_ms / DECAY_DIVISOR));
        self.consecutive_timeouts = 0;
    }

    /// Records a call that began at `began_ms` and timed out at `now_ms`.
    /// Concurrent calls that time out count once.
    pub fn record_timeout(&mut self, began_ms: u64, now_ms: u64) {
        if self.consecutive_timeouts == 0 || began_ms >= self.last_timeout_ms {
            self.consecutive_timeouts += 1;
            self.last_timeout_ms = now_ms;
        }
    }

    /// Returns the number of consecutive time-outs since the last response.
    #[must_use]
    pub fn consecutive_timeouts(&self) -> u32 {
        self.consecutive_timeouts
    }

    /// Returns the time-out of a call if none timed out before it, in milliseconds.
    #[must_use]
    pub fn first_timeout_ms(&self) -> u64 {
        self.response_ms
            .map_or(TIMEOUT_UNMEASURED_MS, |response_ms| {
                (response_ms * TIMEOUT_FACTOR).max(TIMEOUT_MIN_MS)
            })
            .min(TIMEOUT_MAX_MS)
    }

    /// Returns the time-out of the next call, in milliseconds. `tries` is the
    /// number of earlier attempts of the same call that timed out. It counts
    /// even if other calls were answered meanwhile, since one partition of the
    /// store may be slower than the others.
    #[must_use]
    pub fn timeout_ms(&self, tries: u32) -> u64 {
        let doublings = self.consecutive_timeouts.max(tries).min(DOUBLINGS_MAX);
        (self.first_timeout_ms() << doublings).min(TIMEOUT_MAX_MS)
    }
}
