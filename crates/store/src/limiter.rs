//! Limits calls to the store: token buckets with a reserve for calls of higher
//! priority, exponential backoff with jitter, and a circuit breaker. This module
//! is sans-I/O: the time and a seed are passed in.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Priority of a call by its purpose, highest first. When the budget is short,
/// calls of lower priority wait first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Commits results of completed work.
    Commit,
    /// Cancels work or changes the configuration.
    Control,
    /// Claims new work.
    Claim,
    /// Reads data that is not urgent.
    Poll,
}

/// Kind of a call, which selects the budget that it is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// A call that changes a row or an object.
    Write,
    /// A call that changes nothing.
    Read,
}

/// Outcome of a call as evidence of the store's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The store answered; a conflict counts as an answer.
    Answered,
    /// No answer arrived, or the store refused the call for lack of capacity.
    Failed,
}

/// Decision whether a call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call may be sent now; its outcome has to be recorded.
    Granted,
    /// The call may not be sent yet; ask again at `until_ms`.
    Wait {
        /// Time on the caller's clock, milliseconds.
        until_ms: u64,
    },
}

/// Settings of a [`CallLimiter`].
#[derive(Debug, Clone, PartialEq)]
pub struct CallLimiterSettings {
    /// Writes per second that the store grants to the whole fleet.
    pub fleet_writes_per_s: f64,
    /// Reads per second that the store grants to the whole fleet.
    pub fleet_reads_per_s: f64,
    /// Number of calls that may be sent at once after an idle period.
    pub burst: f64,
    /// Number of consecutive failures that opens the circuit breaker.
    pub failure_threshold: u32,
    /// Initial wait of the open circuit breaker, milliseconds; it doubles up to
    /// `backoff_max_ms`.
    pub backoff_initial_ms: u64,
    /// Maximum wait of the open circuit breaker, milliseconds.
    pub backoff_max_ms: u64,
    /// Time after which a probe without an outcome counts as lost, milliseconds.
    pub probe_timeout_ms: u64,
}

/// Decides when calls to the store may be sent.
///
/// While the circuit breaker is open, no call is admitted. After the backoff one
/// call is admitted as a probe; an answer closes the breaker.
#[derive(Debug, Clone)]
pub struct CallLimiter {
    settings: CallLimiterSettings,
    writes: TokenBucket,
    reads: TokenBucket,
    breaker: BreakerState,
    backoff: Backoff,
    consecutive_failures: u32,
}

/// Exponential backoff with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial_ms: u64,
    max_ms: u64,
    next_max_ms: u64,
    rng: SmallRng,
}

/// Token bucket in which calls of lower priority leave a reserve.
#[derive(Debug, Clone)]
struct TokenBucket {
    tokens: f64,
    burst: f64,
    rate_per_ms: f64,
    refilled_at_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakerState {
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
    /// Returns the share of the burst that calls of this priority must leave in
    /// the bucket.
    fn reserved_share(self) -> f64 {
        match self {
            Self::Commit => 0.0,
            Self::Control => 0.25,
            Self::Claim => 0.5,
            Self::Poll => 0.75,
        }
    }
}

impl CallLimiter {
    /// Creates a limiter with full budgets and the rates of the whole fleet; see
    /// [`CallLimiter::set_live_instances`].
    #[must_use]
    pub fn new(settings: CallLimiterSettings, seed: u64) -> Self {
        let backoff = Backoff::new(settings.backoff_initial_ms, settings.backoff_max_ms, seed);
        Self {
            writes: TokenBucket::new(settings.fleet_writes_per_s, settings.burst),
            reads: TokenBucket::new(settings.fleet_reads_per_s, settings.burst),
            breaker: BreakerState::Closed,
            backoff,
            consecutive_failures: 0,
            settings,
        }
    }

    /// Sets the number of live instances among which the fleet's rates are
    /// divided.
    pub fn set_live_instances(&mut self, instances: u32, now_ms: u64) {
        let share = 1.0 / f64::from(instances.max(1));
        self.writes.refill(now_ms);
        self.reads.refill(now_ms);
        self.writes
            .set_rate(self.settings.fleet_writes_per_s * share);
        self.reads.set_rate(self.settings.fleet_reads_per_s * share);
    }

    /// Returns whether a call may be sent at `now_ms`. An admitted call is charged
    /// to its budget, unless it is a probe of the circuit breaker.
    pub fn admit(&mut self, priority: Priority, operation: Operation, now_ms: u64) -> Admission {
        match self.breaker {
            BreakerState::Open { until_ms } | BreakerState::Probing { until_ms }
                if now_ms < until_ms =>
            {
                return Admission::Wait { until_ms };
            }
            BreakerState::Open { .. } | BreakerState::Probing { .. } => {
                let until_ms = now_ms + self.settings.probe_timeout_ms;
                self.breaker = BreakerState::Probing { until_ms };
                return Admission::Granted;
            }
            BreakerState::Closed => {}
        }
        let bucket = match operation {
            Operation::Write => &mut self.writes,
            Operation::Read => &mut self.reads,
        };
        bucket.try_take(priority, now_ms)
    }

    /// Records the outcome of a call that was admitted.
    pub fn record(&mut self, outcome: CallOutcome, now_ms: u64) {
        match outcome {
            CallOutcome::Answered => self.record_answer(now_ms),
            CallOutcome::Failed => self.record_failure(now_ms),
        }
    }

    fn record_answer(&mut self, now_ms: u64) {
        self.consecutive_failures = 0;
        self.backoff.reset();
        if self.breaker == BreakerState::Closed {
            return;
        }
        // The budgets start empty so that the calls queued during the outage are
        // not all sent at once.
        self.breaker = BreakerState::Closed;
        self.writes.drain(now_ms);
        self.reads.drain(now_ms);
    }

    fn record_failure(&mut self, now_ms: u64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let should_open = match self.breaker {
            BreakerState::Closed => self.consecutive_failures >= self.settings.failure_threshold,
            BreakerState::Probing { .. } => true,
            // The call was sent before the breaker opened, so its failure is no new
            // evidence.
            BreakerState::Open { .. } => false,
        };
        if should_open {
            let until_ms = now_ms + self.backoff.next_wait_ms();
            self.breaker = BreakerState::Open { until_ms };
        }
    }
}

impl Backoff {
    /// Creates a backoff of `initial_ms` that doubles up to `max_ms`.
    #[must_use]
    pub fn new(initial_ms: u64, max_ms: u64, seed: u64) -> Self {
        Self {
            initial_ms: initial_ms.max(1),
            max_ms: max_ms.max(1),
            next_max_ms: initial_ms.max(1),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the next wait, milliseconds: a random time between half of the
    /// exponential one and all of it.
    pub fn next_wait_ms(&mut self) -> u64 {
        let full_ms = self.next_max_ms.min(self.max_ms);
        self.next_max_ms = full_ms.saturating_mul(2);
        self.rng.random_range(full_ms.div_ceil(2)..=full_ms)
    }

    /// Restarts with the initial wait.
    pub fn reset(&mut self) {
        self.next_max_ms = self.initial_ms;
    }
}

impl TokenBucket {
    fn new(rate_per_s: f64, burst: f64) -> Self {
        // A burst of one call would leave no reserve for higher priorities.
        let burst = burst.max(4.0);
        let mut bucket = Self {
            tokens: burst,
            burst,
            rate_per_ms: 0.0,
            refilled_at_ms: 0,
        };
        bucket.set_rate(rate_per_s);
        bucket
    }

    fn set_rate(&mut self, rate_per_s: f64) {
        // A rate of 0 would make the wait for a token infinite.
        self.rate_per_ms = rate_per_s.max(0.001) / 1_000.0;
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "spans between two calls are far below 2^52 ms"
    )]
    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        self.tokens = (self.tokens + elapsed_ms as f64 * self.rate_per_ms).min(self.burst);
    }

    fn drain(&mut self, now_ms: u64) {
        self.refill(now_ms);
        self.tokens = 0.0;
    }

    fn try_take(&mut self, priority: Priority, now_ms: u64) -> Admission {
        self.refill(now_ms);
        let required = 1.0 + priority.reserved_share() * (self.burst - 1.0);
        if self.tokens >= required {
            self.tokens -= 1.0;
            return Admission::Granted;
        }
        let until_ms = now_ms + self.wait_ms(required - self.tokens);
        Admission::Wait { until_ms }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the wait is positive and the cast saturates"
    )]
    fn wait_ms(&self, missing_tokens: f64) -> u64 {
        let wait_ms = (missing_tokens / self.rate_per_ms).ceil();
        (wait_ms as u64).max(1)
    }
}
