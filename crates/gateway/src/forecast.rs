//! Forecast of the remaining run time of batch items, and their urgency.
//!
//! Load pattern: more items are due than can be completed in time. An item that
//! can still meet its due time goes before one that cannot, so that one late
//! item does not delay all others past their due times. Late items that will probably be given
//! up before they are complete go last, so that a long queue does not end with runs in vain. Where jobs belong to customers, the
//! items of a customer that has many in front of them count as due later, so that the jobs of
//! the others need not wait until one customer's jobs are all done.

use crate::moving_average::MovingAverage;

/// Minimum slack for an item to be preemptible, milliseconds. The slack is the
/// time from its expected completion to its due time.
const SLACK_MIN_MS: u64 = 1_000;
/// Offset added to the urgency key of items that cannot meet their due time,
/// milliseconds. It sorts them after all others.
const LATE_KEY_OFFSET_MS: u64 = 1 << 42;
/// Offset of the urgency keys of late items that will probably be given up, from which the time
/// of that is subtracted, milliseconds. It sorts them after all others, and those with the most
/// time left first.
const GIVEN_UP_KEY_OFFSET_MS: u64 = 3 * LATE_KEY_OFFSET_MS;
/// Time that a late item needs before it is given up, in percent of its expected remaining run
/// time. Runs differ in length, and those with just enough time on average often end in vain.
const GIVE_UP_MARGIN_PERCENT: u64 = 150;
/// How much later an item counts as due for each item of the same customer in front of it,
/// milliseconds.
const DEFERRAL_PER_ITEM_MS: u64 = 50;
/// Maximum deferral, milliseconds.
const DEFERRAL_MAX_MS: u64 = 60_000;

/// Forecasts run times of batch items from measured event rates.
#[derive(Debug, Default)]
pub struct RunForecast {
    ms_per_event: MovingAverage,
    events_per_token: MovingAverage,
}

/// Urgency of a batch item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Sort key. Items with smaller keys go first.
    pub key: u64,
    /// Whether the item would miss its due time if it lost its slot.
    pub lacks_slack: bool,
}

impl RunForecast {
    /// Records a run that lasted `run_ms` and produced `events` events.
    pub fn record_run(&mut self, run_ms: u64, events: u64) {
        if events > 0 {
            self.ms_per_event.add(ratio(run_ms, events));
        }
    }

    /// Records a completed item that was expected to have `tokens` tokens of
    /// output and produced `events` events.
    pub fn record_completed_item(&mut self, tokens: u32, events: u64) {
        if tokens > 0 {
            self.events_per_token.add(ratio(events, u64::from(tokens)));
        }
    }

    /// Returns the expected remaining run time of an item, milliseconds, or 0
    /// before the first measurements.
    #[must_use]
    pub fn remaining_ms(&self, tokens: u32, events_so_far: u64) -> u64 {
        let events = f64::from(tokens) * self.events_per_token.value_or(0.0);
        let remaining_events = (events - ratio(events_so_far, 1)).max(0.0);
        truncate(remaining_events * self.ms_per_event.value_or(0.0))
    }
}

impl Urgency {
    /// Returns the urgency of an item that is due at `due_at_ms` and has to
    /// run for another `remaining_ms`. All instances pass times of the same
    /// clock.
    #[must_use]
    pub fn new(due_at_ms: u64, remaining_ms: u64, now_ms: u64) -> Self {
        let completed_at_ms = now_ms + remaining_ms;
        if completed_at_ms > due_at_ms {
            return Self {
                key: due_at_ms + LATE_KEY_OFFSET_MS,
                lacks_slack: false,
            };
        }
        Self {
            key: due_at_ms,
            lacks_slack: due_at_ms - completed_at_ms < SLACK_MIN_MS,
        }
    }

    /// Puts the item behind all others if it is late and has probably too little time left: it is
    /// given up at `give_up_at_ms` and has to run for another `remaining_ms`.
    #[must_use]
    pub fn with_give_up_at(self, give_up_at_ms: u64, remaining_ms: u64, now_ms: u64) -> Self {
        let needed_ms = remaining_ms.saturating_mul(GIVE_UP_MARGIN_PERCENT) / 100;
        let is_late = self.key >= LATE_KEY_OFFSET_MS;
        if !is_late || now_ms.saturating_add(needed_ms) <= give_up_at_ms {
            return self;
        }
        Self {
            key: GIVEN_UP_KEY_OFFSET_MS.saturating_sub(give_up_at_ms),
            lacks_slack: false,
        }
    }

    /// Defers the item because `items_ahead` items of its customer are due before it.
    #[must_use]
    pub fn deferred_behind(mut self, items_ahead: u64) -> Self {
        let deferral_ms = items_ahead.saturating_mul(DEFERRAL_PER_ITEM_MS);
        self.key += deferral_ms.min(DEFERRAL_MAX_MS);
        self
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio(numerator: u64, denominator: u64) -> f64 {
    numerator as f64 / denominator as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates"
)]
fn truncate(ms: f64) -> u64 {
    ms as u64
}
