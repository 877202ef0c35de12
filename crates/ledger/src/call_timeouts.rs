//! How long a call to the store may go unanswered before it is made anew.
//!
//! Load pattern: the store loses answers, keeps silent for seconds, or works at
//! a fiftieth of its usual speed. A caller that waits for the acknowledgement of
//! a job has half a second; a lost answer must not cost it more than a few
//! usual answer times, and a slow store must not be asked over and over.

/// A call is given up after this many times what answers take.
const LIMIT_TIMES: u64 = 4;
/// Shortest limit, milliseconds: above the pauses of a busy store.
const LIMIT_MIN_MS: u64 = 150;
/// Limit before any answer was measured, milliseconds.
const LIMIT_UNMEASURED_MS: u64 = 500;
/// Longest limit, milliseconds.
const LIMIT_MAX_MS: u64 = 2_000;
/// Doublings after which a limit is the longest whatever it began with.
const DOUBLINGS_MAX: u32 = 8;
/// A measured time loses one part in this many with each faster answer.
const DECAY_SHARE: u64 = 8;

/// What answers of the store take.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallTimeouts {
    /// Slow answers count at once, fast ones little by little.
    answer_ms: Option<u64>,
    unanswered_in_row: u32,
    last_unanswered_ms: u64,
}

impl CallTimeouts {
    /// A call was answered after `took_ms`.
    pub fn record_answer(&mut self, took_ms: u64) {
        let before_ms = self.answer_ms.unwrap_or(0);
        self.answer_ms = Some(took_ms.max(before_ms - before_ms / DECAY_SHARE));
        self.unanswered_in_row = 0;
    }

    /// A call that began at `began_ms` was given up at `now_ms`. Calls under way
    /// at the same time count once.
    pub fn record_timeout(&mut self, began_ms: u64, now_ms: u64) {
        if self.unanswered_in_row == 0 || began_ms >= self.last_unanswered_ms {
            self.unanswered_in_row += 1;
            self.last_unanswered_ms = now_ms;
        }
    }

    /// Calls, one after the other, that went unanswered since the last answer.
    #[must_use]
    pub fn consecutive_timeouts(&self) -> u32 {
        self.unanswered_in_row
    }

    /// How long the next call may take, milliseconds. `tries` of the very same
    /// call went unanswered before, though others may have been answered: one
    /// partition of the store may be slower than the rest.
    #[must_use]
    pub fn timeout_ms(&self, tries: u32) -> u64 {
        let usual_ms = self.answer_ms.map_or(LIMIT_UNMEASURED_MS, |answer_ms| {
            (answer_ms * LIMIT_TIMES).max(LIMIT_MIN_MS)
        });
        let doublings = self.unanswered_in_row.max(tries).min(DOUBLINGS_MAX);
        (usual_ms << doublings).min(LIMIT_MAX_MS)
    }
}
