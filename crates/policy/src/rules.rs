//! Bounds of the batch work at an engine, and how urgency selects among them.

use crate::{Urgency, table::to_f64};

/// Bounds of the batch work at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// Maximum number of items in flight while no online request runs at the
    /// engine.
    pub idle_items: u32,
    /// Maximum number of items in flight while online requests run.
    pub online_items: u32,
    /// Maximum number of items in flight during a burst.
    pub burst_items: u32,
    /// Maximum duration of a step that prefills the prompts of started items
    /// while no online request runs, microseconds.
    pub idle_step_us: u64,
    /// Maximum duration of such a step while online requests run, microseconds.
    pub online_step_us: u64,
    /// Maximum rate of batch prompt tokens per second while online requests run.
    pub online_prompt_tokens_per_s: u32,
    /// Maximum time without starts after an online request was sent,
    /// microseconds. The pause ends earlier if the step that prefills the online
    /// prompt ends.
    pub start_pause_us: u64,
    /// Number of online requests within [`WindowLimits::burst_window_us`] that
    /// counts as a burst.
    pub burst_requests: u32,
    /// Time over which requests count towards a burst, microseconds.
    pub burst_window_us: u64,
    /// Time for which a burst lasts after [`WindowLimits::burst_requests`] was last
    /// reached, microseconds.
    pub burst_hold_us: u64,
}

/// Bounds for the two extremes of urgency; the bounds for the urgencies between
/// them are interpolated linearly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowRules {
    /// Bounds for batch work that is ahead of its target. Online latency must be
    /// indistinguishable from that of an engine without batch work.
    pub relaxed: WindowLimits,
    /// Bounds for batch work that is about to miss its target. Online latency
    /// may rise up to the online target.
    pub tight: WindowLimits,
}

impl Default for WindowRules {
    fn default() -> Self {
        let relaxed = WindowLimits {
            idle_items: 30,
            online_items: 30,
            burst_items: 0,
            idle_step_us: 22_000,
            online_step_us: 16_000,
            online_prompt_tokens_per_s: 2_000,
            start_pause_us: 40_000,
            burst_requests: 2,
            burst_window_us: 200_000,
            burst_hold_us: 500_000,
        };
        let tight = WindowLimits {
            idle_items: 90,
            online_items: 90,
            burst_items: 0,
            idle_step_us: 30_000,
            online_step_us: 25_000,
            online_prompt_tokens_per_s: 20_000,
            start_pause_us: 40_000,
            burst_requests: 3,
            burst_window_us: 200_000,
            burst_hold_us: 500_000,
        };
        Self { relaxed, tight }
    }
}

impl WindowRules {
    /// Returns the limits for batch work of the given urgency.
    #[must_use]
    pub fn limits(&self, urgency: Urgency) -> WindowLimits {
        let t = urgency.value();
        let (a, b) = (&self.relaxed, &self.tight);
        WindowLimits {
            idle_items: lerp(a.idle_items, b.idle_items, t),
            online_items: lerp(a.online_items, b.online_items, t),
            burst_items: lerp(a.burst_items, b.burst_items, t),
            idle_step_us: lerp_us(a.idle_step_us, b.idle_step_us, t),
            online_step_us: lerp_us(a.online_step_us, b.online_step_us, t),
            online_prompt_tokens_per_s: lerp(
                a.online_prompt_tokens_per_s,
                b.online_prompt_tokens_per_s,
                t,
            ),
            start_pause_us: lerp_us(a.start_pause_us, b.start_pause_us, t),
            burst_requests: lerp(a.burst_requests, b.burst_requests, t),
            burst_window_us: lerp_us(a.burst_window_us, b.burst_window_us, t),
            burst_hold_us: lerp_us(a.burst_hold_us, b.burst_hold_us, t),
        }
    }
}

fn lerp(a: u32, b: u32, t: f64) -> u32 {
    round_to_u32(f64::from(a) + (f64::from(b) - f64::from(a)) * t)
}

fn lerp_us(a_us: u64, b_us: u64, t: f64) -> u64 {
    u64::from(round_to_u32(
        to_f64(a_us) + (to_f64(b_us) - to_f64(a_us)) * t,
    ))
}

/// Rounds to the nearest integer, clamped to the range of `u32`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of u32"
)]
pub fn round_to_u32(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}
