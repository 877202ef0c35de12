//! Spends the platform's capacity by priority and keeps the fleet from
//! rushing at a platform that comes back.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Calls that may be made in one go after a quiet spell.
const BURST: f64 = 16.0;
/// Failed calls in a row that open the circuit breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// First time that the breaker stays open, milliseconds; it doubles.
const OPEN_FIRST_MS: u64 = 250;
/// Longest time that the breaker stays open, milliseconds.
const OPEN_LONGEST_MS: u64 = 5_000;
/// Longest wait for the answer of the call that probes, milliseconds.
const PROBE_MS: u64 = 5_000;
const MS_PER_S: f64 = 1_000.0;

/// What a call is for; earlier kinds go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Results, renewals, intents and hand-backs.
    Commit,
    /// Cancellations, and looks whether a job was cancelled.
    Cancel,
    /// Claims.
    Claim,
    /// Looks for open jobs.
    Poll,
}

/// Paces the calls of one process.
#[derive(Debug, Clone)]
pub struct Pacer {
    seed: u64,
    calls_per_s: f64,
    tokens: f64,
    filled_at_ms: u64,
    failures: u32,
    breaker: Breaker,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Breaker {
    Closed,
    /// No call before the time.
    Open {
        until_ms: u64,
    },
    /// One call is out to see whether the platform is back; its answer is
    /// given up at the time.
    Probing {
        until_ms: u64,
    },
}

impl Priority {
    /// Tokens that must be left to more urgent calls.
    const fn reserve(self) -> f64 {
        match self {
            Self::Commit => 0.0,
            Self::Cancel => BURST / 16.0,
            Self::Claim => BURST / 8.0,
            Self::Poll => BURST / 4.0,
        }
    }
}

impl Pacer {
    /// A pacer for a process that may make `calls_per_s`.
    #[must_use]
    pub const fn new(seed: u64, calls_per_s: f64, now_ms: u64) -> Self {
        Self {
            seed,
            calls_per_s,
            tokens: BURST,
            filled_at_ms: now_ms,
            failures: 0,
            breaker: Breaker::Closed,
        }
    }

    /// Replaces the rate, when the number of processes that share the platform
    /// changes.
    pub fn set_calls_per_s(&mut self, calls_per_s: f64, now_ms: u64) {
        self.fill(now_ms);
        self.calls_per_s = calls_per_s;
    }

    /// Asks for one call now. `Err` holds the time at which to ask again.
    ///
    /// # Errors
    ///
    /// Returns the time at which to ask again, milliseconds.
    pub fn admit(&mut self, priority: Priority, now_ms: u64) -> Result<(), u64> {
        self.fill(now_ms);
        match self.breaker {
            Breaker::Closed => {}
            Breaker::Open { until_ms } | Breaker::Probing { until_ms } if now_ms < until_ms => {
                return Err(until_ms);
            }
            Breaker::Open { .. } | Breaker::Probing { .. } => {
                self.breaker = Breaker::Probing {
                    until_ms: now_ms + PROBE_MS,
                };
                return Ok(());
            }
        }
        let missing = 1.0 + priority.reserve() - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive number of milliseconds far below 2^53"
        )]
        let wait_ms = (missing / self.calls_per_s * MS_PER_S).ceil() as u64;
        Err(now_ms + wait_ms.max(1))
    }

    /// Takes the result of a call that was admitted.
    pub fn on_result(&mut self, is_reachable: bool, now_ms: u64) {
        if is_reachable {
            if self.breaker != Breaker::Closed {
                // The others come back too: begin without a burst.
                self.tokens = 0.0;
                self.filled_at_ms = now_ms;
            }
            self.failures = 0;
            self.breaker = Breaker::Closed;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES_TO_OPEN {
            let until_ms = now_ms + self.open_ms();
            self.breaker = Breaker::Open { until_ms };
        }
    }

    /// Whether the platform seems reachable.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.breaker == Breaker::Closed
    }

    /// A time between half and all of the exponential one, so that processes
    /// spread out.
    fn open_ms(&self) -> u64 {
        let doublings = (self.failures - FAILURES_TO_OPEN).min(16);
        let full_ms = (OPEN_FIRST_MS << doublings).min(OPEN_LONGEST_MS);
        let hash = xxh3_64_with_seed(&self.failures.to_le_bytes(), self.seed);
        full_ms / 2 + hash % (full_ms / 2)
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_at_ms);
        #[allow(
            clippy::cast_precision_loss,
            reason = "milliseconds since the last call are far below 2^53"
        )]
        let earned = passed_ms as f64 * self.calls_per_s / MS_PER_S;
        self.tokens = (self.tokens + earned).min(BURST);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
    }
}
