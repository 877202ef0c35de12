//! How pressing batch work is.

use crate::table::us;

/// Remaining work below this share of what the time left allows is not urgent.
const RELAXED_LOAD: f64 = 0.5;
/// Remaining work above this share of what the time left allows is urgent.
const TIGHT_LOAD: f64 = 0.9;

/// From 0 (every job is ahead of its target) to 1 (one is about to miss it).
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Urgency(f64);

impl Urgency {
    /// Every job is ahead of its target.
    pub const NONE: Self = Self(0.0);
    /// A job is about to miss its target.
    pub const FULL: Self = Self(1.0);

    /// The urgency of work that needs `remaining_tokens` by a deadline, when
    /// `tokens_per_s` are produced at present.
    #[must_use]
    pub fn new(remaining_tokens: u64, tokens_per_s: u64, deadline_at_us: u64, now_us: u64) -> Self {
        let left_s = us(deadline_at_us.saturating_sub(now_us)) / 1e6;
        let possible = us(tokens_per_s) * left_s;
        if remaining_tokens == 0 {
            return Self::NONE;
        }
        if possible <= 0.0 {
            return Self::FULL;
        }
        let load = us(remaining_tokens) / possible;
        Self(((load - RELAXED_LOAD) / (TIGHT_LOAD - RELAXED_LOAD)).clamp(0.0, 1.0))
    }

    /// The larger of two urgencies.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }

    /// A share of the urgency.
    #[must_use]
    pub fn scaled(self, share: f64) -> Self {
        Self((self.0 * share).clamp(0.0, 1.0))
    }

    /// The urgency as a number from 0 to 1.
    #[must_use]
    pub fn value(self) -> f64 {
        self.0
    }
}
