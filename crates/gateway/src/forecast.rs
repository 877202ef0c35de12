//! How long batch items still run, and how urgent that makes them.
//!
//! Load pattern: more items are due than can be done in time. An item that can
//! still be in time goes before one that cannot, so that one late item does not
//! make all others late.

use crate::estimate::Mean;

/// An item with less time to spare keeps its slot, milliseconds.
const SLACK_MIN_MS: u64 = 1_000;
/// Added to the due time of items that cannot be in time, milliseconds.
const LATE_MS: u64 = 1 << 42;

/// Measured pace of batch items.
#[derive(Debug, Default)]
pub struct RunForecast {
    ms_per_event: Mean,
    events_per_token: Mean,
}

/// How urgent an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Items with smaller keys go first.
    pub key: u64,
    /// Whether the item would be late if it lost its slot.
    pub lacks_slack: bool,
}

impl RunForecast {
    /// Records a run that lasted `run_ms` and brought `events`.
    pub fn record_run(&mut self, run_ms: u64, events: u64) {
        if events > 0 {
            self.ms_per_event.add(ratio(run_ms, events));
        }
    }

    /// Records an item that is done, expected to have `tokens` of output.
    pub fn record_completed_item(&mut self, tokens: u32, events: u64) {
        if tokens > 0 {
            self.events_per_token.add(ratio(events, u64::from(tokens)));
        }
    }

    /// Time that an item still runs, milliseconds; 0 before anything was
    /// measured.
    #[must_use]
    pub fn remaining_ms(&self, tokens: u32, events_so_far: u64) -> u64 {
        let events = f64::from(tokens) * self.events_per_token.or(0.0);
        let left = (events - ratio(events_so_far, 1)).max(0.0);
        whole(left * self.ms_per_event.or(0.0))
    }
}

impl Urgency {
    /// Urgency of an item that runs for `remaining_ms` more.
    #[must_use]
    pub fn new(due_unix_ms: u64, remaining_ms: u64, now_unix_ms: u64) -> Self {
        let done_at_ms = now_unix_ms + remaining_ms;
        if done_at_ms > due_unix_ms {
            return Self {
                key: due_unix_ms + LATE_MS,
                lacks_slack: false,
            };
        }
        Self {
            key: due_unix_ms,
            lacks_slack: due_unix_ms - done_at_ms < SLACK_MIN_MS,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio(a: u64, b: u64) -> f64 {
    a as f64 / b as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates"
)]
fn whole(ms: f64) -> u64 {
    ms as u64
}
