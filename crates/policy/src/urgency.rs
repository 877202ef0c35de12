//! How pressing batch work is, and what follows for the window.

use crate::{WindowLimits, table::us};

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

    /// The urgency as a number from 0 to 1.
    #[must_use]
    pub fn value(self) -> f64 {
        self.0
    }
}

/// Limits between two, by urgency.
pub fn blend(relaxed: &WindowLimits, tight: &WindowLimits, urgency: Urgency) -> WindowLimits {
    let mix = |a: u32, b: u32| round(f64::from(a) + (f64::from(b) - f64::from(a)) * urgency.0);
    let mix_us = |a: u64, b: u64| {
        let small = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        u64::from(mix(small(a), small(b)))
    };
    WindowLimits {
        idle_items: mix(relaxed.idle_items, tight.idle_items),
        online_items: mix(relaxed.online_items, tight.online_items),
        idle_prefills: mix(relaxed.idle_prefills, tight.idle_prefills),
        online_prefills: mix(relaxed.online_prefills, tight.online_prefills),
        online_prompt_tokens_per_s: mix(
            relaxed.online_prompt_tokens_per_s,
            tight.online_prompt_tokens_per_s,
        ),
        quiet_us: mix_us(relaxed.quiet_us, tight.quiet_us),
        burst_requests: mix(relaxed.burst_requests, tight.burst_requests),
        burst_window_us: mix_us(relaxed.burst_window_us, tight.burst_window_us),
        burst_items: mix(relaxed.burst_items, tight.burst_items),
        burst_hold_us: mix_us(relaxed.burst_hold_us, tight.burst_hold_us),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a blend of two u32 lies between them"
)]
fn round(value: f64) -> u32 {
    value.round() as u32
}
