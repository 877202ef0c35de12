//! Bounds of the batch work at an engine, and how urgency chooses among them.

use crate::{Urgency, table::us};

/// Bounds of the batch work at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// Items in flight while no online request runs at the engine.
    pub idle_items: u32,
    /// Items in flight while online requests run.
    pub online_items: u32,
    /// Items in flight during a burst.
    pub burst_items: u32,
    /// Longest step that started prompts may bring about while no online
    /// request runs, microseconds.
    pub idle_step_us: u64,
    /// Longest such step while online requests run, microseconds.
    pub online_step_us: u64,
    /// Batch prompt tokens per second while online requests run.
    pub online_prompt_tokens_per_s: u32,
    /// Longest time without starts after an online request was sent,
    /// microseconds; the end of the step with its prompt ends it earlier.
    pub start_pause_us: u64,
    /// Online requests within [`WindowLimits::burst_window_us`] that make a
    /// burst.
    pub burst_requests: u32,
    /// Time over which requests count towards a burst, microseconds.
    pub burst_window_us: u64,
    /// Time after the last sign of a burst until it is over, microseconds.
    pub burst_hold_us: u64,
}

/// Bounds for batch work that is ahead of its target and for batch work that
/// is about to miss it; between them they are blended by urgency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowRules {
    /// Online latency is to be indistinguishable from alone.
    pub relaxed: WindowLimits,
    /// Online latency may use up the online target.
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
    /// The limits for work of some urgency.
    #[must_use]
    pub fn limits(&self, urgency: Urgency) -> WindowLimits {
        let share = urgency.value();
        let (a, b) = (&self.relaxed, &self.tight);
        WindowLimits {
            idle_items: mix(a.idle_items, b.idle_items, share),
            online_items: mix(a.online_items, b.online_items, share),
            burst_items: mix(a.burst_items, b.burst_items, share),
            idle_step_us: mix_us(a.idle_step_us, b.idle_step_us, share),
            online_step_us: mix_us(a.online_step_us, b.online_step_us, share),
            online_prompt_tokens_per_s: mix(
                a.online_prompt_tokens_per_s,
                b.online_prompt_tokens_per_s,
                share,
            ),
            start_pause_us: mix_us(a.start_pause_us, b.start_pause_us, share),
            burst_requests: mix(a.burst_requests, b.burst_requests, share),
            burst_window_us: mix_us(a.burst_window_us, b.burst_window_us, share),
            burst_hold_us: mix_us(a.burst_hold_us, b.burst_hold_us, share),
        }
    }
}

fn mix(a: u32, b: u32, share: f64) -> u32 {
    whole(f64::from(a) + (f64::from(b) - f64::from(a)) * share)
}

fn mix_us(a_us: u64, b_us: u64, share: f64) -> u64 {
    u64::from(whole(us(a_us) + (us(b_us) - us(a_us)) * share))
}

/// The nearest whole number within the range of `u32`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of u32"
)]
pub fn whole(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}
