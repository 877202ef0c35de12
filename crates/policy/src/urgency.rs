//! Urgency of batch work.

use crate::table::to_f64;

/// Load up to which work has no urgency. Load is the ratio of the remaining
/// tokens to the tokens that can be generated before the deadline.
const RELAXED_LOAD: f64 = 0.5;
/// Load from which on work has full urgency.
const TIGHT_LOAD: f64 = 0.9;

/// Urgency from 0 (every job is ahead of its target) to 1 (a job is about to
/// miss its target).
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Urgency(f64);

impl Urgency {
    /// Urgency if every job is ahead of its target.
    pub const NONE: Self = Self(0.0);
    /// Urgency if a job is about to miss its target.
    pub const FULL: Self = Self(1.0);

    /// Returns the urgency of work that needs `remaining_tokens` by
    /// `deadline_at_us` at the present throughput of `tokens_per_s`.
    #[must_use]
    pub fn new(remaining_tokens: u64, tokens_per_s: u64, deadline_at_us: u64, now_us: u64) -> Self {
        let remaining_s = to_f64(deadline_at_us.saturating_sub(now_us)) / 1e6;
        let achievable_tokens = to_f64(tokens_per_s) * remaining_s;
        if remaining_tokens == 0 {
            return Self::NONE;
        }
        if achievable_tokens <= 0.0 {
            return Self::FULL;
        }
        let load = to_f64(remaining_tokens) / achievable_tokens;
        Self(((load - RELAXED_LOAD) / (TIGHT_LOAD - RELAXED_LOAD)).clamp(0.0, 1.0))
    }

    /// Returns the larger of two urgencies.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }

    /// Returns the urgency multiplied by `factor`, clamped to the range from 0
    /// to 1.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self((self.0 * factor).clamp(0.0, 1.0))
    }

    /// Returns the urgency as a number from 0 to 1.
    #[must_use]
    pub fn value(self) -> f64 {
        self.0
    }
}
