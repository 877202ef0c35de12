//! Paces calls to the platform: a budget by priority, jittered exponential
//! backoff and a circuit breaker. Without I/O: time and seed are passed in.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// What a call is for; the first ones outlast a shortage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Results of work that is done already.
    Commit,
    /// Cancels and configuration.
    Control,
    /// Claims of new work.
    Claim,
    /// Reads that can wait.
    Poll,
}

/// Which budget a call is paid from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Changes a row or an object.
    Write,
    /// Changes nothing.
    Read,
}

/// How a call ended, as far as the platform's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform answered, if only with a conflict.
    Answered,
    /// No answer came or the platform refused for lack of capacity.
    Failed,
}

/// Whether a call may go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send it now and record its outcome.
    Granted,
    /// Ask again at this time.
    Wait {
        /// Milliseconds on the caller's clock.
        until_ms: u64,
    },
}

/// Rates and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct CallLimiterSettings {
    /// Writes per second that the platform grants to the whole fleet.
    pub fleet_writes_per_s: f64,
    /// Reads per second that the platform grants to the whole fleet.
    pub fleet_reads_per_s: f64,
    /// Calls that may be made at once after a quiet time.
    pub burst: f64,
    /// Failures in a row that open the circuit breaker.
    pub failure_threshold: u32,
    /// First wait of the circuit breaker; it doubles up to the longest.
    pub backoff_initial_ms: u64,
    /// Longest wait of the circuit breaker.
    pub backoff_max_ms: u64,
    /// A probe without an outcome counts as lost after this time.
    pub probe_timeout_ms: u64,
}

/// Decides when calls go out.
#[derive(Debug, Clone)]
pub struct CallLimiter {
    settings: CallLimiterSettings,
    writes: Bucket,
    reads: Bucket,
    breaker: Breaker,
    backoff: Backoff,
    failures: u32,
}

/// Exponential waits with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial_ms: u64,
    max_ms: u64,
    next_ms: u64,
    rng: SmallRng,
}

/// Tokens that refill at a rate; lower priorities leave a reserve.
#[derive(Debug, Clone)]
struct Bucket {
    level: f64,
    burst: f64,
    rate_per_ms: f64,
    refilled_at_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Breaker {
    Closed,
    Open { until_ms: u64 },
    Probing { until_ms: u64 },
}

impl Default for CallLimiterSettings {
    fn default() -> Self {
        Self {
            fleet_writes_per_s: 300.0,
            fleet_reads_per_s: 1_500.0,
            burst: 20.0,
            failure_threshold: 3,
            backoff_initial_ms: 100,
            backoff_max_ms: 5_000,
            probe_timeout_ms: 5_000,
        }
    }
}

impl Priority {
    /// Share of the burst that calls of this priority must leave.
    fn reserve(self) -> f64 {
        match self {
            Self::Commit => 0.0,
            Self::Control => 0.25,
            Self::Claim => 0.5,
            Self::Poll => 0.75,
        }
    }
}

impl CallLimiter {
    /// Starts with full budgets, as if alone in the fleet.
    #[must_use]
    pub fn new(settings: CallLimiterSettings, seed: u64) -> Self {
        let backoff = Backoff::new(settings.backoff_initial_ms, settings.backoff_max_ms, seed);
        Self {
            writes: Bucket::new(settings.fleet_writes_per_s, settings.burst),
            reads: Bucket::new(settings.fleet_reads_per_s, settings.burst),
            breaker: Breaker::Closed,
            backoff,
            failures: 0,
            settings,
        }
    }

    /// Divides the fleet's rates among this many live instances.
    pub fn set_live_instances(&mut self, instances: u32, now_ms: u64) {
        let share = 1.0 / f64::from(instances.max(1));
        self.writes.refill(now_ms);
        self.reads.refill(now_ms);
        self.writes
            .set_rate(self.settings.fleet_writes_per_s * share);
        self.reads.set_rate(self.settings.fleet_reads_per_s * share);
    }

    /// Asks whether a call may go out at `now_ms`.
    pub fn admit(&mut self, priority: Priority, operation: Operation, now_ms: u64) -> Admission {
        match self.breaker {
            Breaker::Open { until_ms } | Breaker::Probing { until_ms } if now_ms < until_ms => {
                return Admission::Wait { until_ms };
            }
            Breaker::Open { .. } | Breaker::Probing { .. } => {
                let until_ms = now_ms + self.settings.probe_timeout_ms;
                self.breaker = Breaker::Probing { until_ms };
                return Admission::Granted;
            }
            Breaker::Closed => {}
        }
        let bucket = match operation {
            Operation::Write => &mut self.writes,
            Operation::Read => &mut self.reads,
        };
        bucket.take(priority, now_ms)
    }

    /// Records the outcome of a call that was admitted.
    pub fn record(&mut self, outcome: CallOutcome, now_ms: u64) {
        match outcome {
            CallOutcome::Answered => self.close(now_ms),
            CallOutcome::Failed => self.fail(now_ms),
        }
    }

    fn close(&mut self, now_ms: u64) {
        self.failures = 0;
        self.backoff.reset();
        if self.breaker == Breaker::Closed {
            return;
        }
        // Empty budgets keep what has piled up from going out at once.
        self.breaker = Breaker::Closed;
        self.writes.drain(now_ms);
        self.reads.drain(now_ms);
    }

    fn fail(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        let opens = match self.breaker {
            Breaker::Closed => self.failures >= self.settings.failure_threshold,
            Breaker::Probing { .. } => true,
            // A call from before the breaker opened says nothing new.
            Breaker::Open { .. } => false,
        };
        if opens {
            let until_ms = now_ms + self.backoff.next_wait_ms();
            self.breaker = Breaker::Open { until_ms };
        }
    }
}

impl Backoff {
    /// Waits from `initial_ms`, doubling up to `max_ms`.
    #[must_use]
    pub fn new(initial_ms: u64, max_ms: u64, seed: u64) -> Self {
        Self {
            initial_ms: initial_ms.max(1),
            max_ms: max_ms.max(1),
            next_ms: initial_ms.max(1),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The next wait: between half of the exponential one and all of it.
    pub fn next_wait_ms(&mut self) -> u64 {
        let full_ms = self.next_ms.min(self.max_ms);
        self.next_ms = full_ms.saturating_mul(2);
        self.rng.random_range(full_ms.div_ceil(2)..=full_ms)
    }

    /// Begins again with the first wait.
    pub fn reset(&mut self) {
        self.next_ms = self.initial_ms;
    }
}

impl Bucket {
    fn new(rate_per_s: f64, burst: f64) -> Self {
        let burst = burst.max(4.0);
        let mut bucket = Self {
            level: burst,
            burst,
            rate_per_ms: 0.0,
            refilled_at_ms: 0,
        };
        bucket.set_rate(rate_per_s);
        bucket
    }

    fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_ms = rate_per_s.max(0.001) / 1_000.0;
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "spans between two calls are far below 2^52 ms"
    )]
    fn refill(&mut self, now_ms: u64) {
        let span_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        self.level = (self.level + span_ms as f64 * self.rate_per_ms).min(self.burst);
    }

    fn drain(&mut self, now_ms: u64) {
        self.refill(now_ms);
        self.level = 0.0;
    }

    fn take(&mut self, priority: Priority, now_ms: u64) -> Admission {
        self.refill(now_ms);
        let needed = 1.0 + priority.reserve() * (self.burst - 1.0);
        if self.level >= needed {
            self.level -= 1.0;
            return Admission::Granted;
        }
        let until_ms = now_ms + self.wait_ms(needed - self.level);
        Admission::Wait { until_ms }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the wait is positive and the cast saturates"
    )]
    fn wait_ms(&self, missing: f64) -> u64 {
        let wait_ms = (missing / self.rate_per_ms).ceil();
        (wait_ms as u64).max(1)
    }
}
