//! How fast each upstream answers, compared with the others of its service, and what it
//! is therefore expected to take there.
//!
//! Load pattern: upstreams of one service differ in speed by a factor of two or more, and each
//! of them turns slow for a fraction of a second now and then. If all slots are taken, a slot
//! becomes free sooner at a fast upstream than at a slow one, which a count of slots does not
//! tell. The time between two events of an answer is measured, since it depends neither on
//! the wait for a slot nor on the length of the answer. The median of measurements that
//! are spread over seconds counts, so that a short slow spell does not.
//!
//! An instance alone sees few answers of each upstream, so it tells its peers what it
//! measures, each measurement in one notice. A measurement that is lost with its datagram is
//! not repeated; later ones make up for it.

use std::{iter, mem};

use serde::{Deserialize, Serialize};

use crate::{
    Target, UpstreamTable, moving_average::MovingAverage, service_timings::TimingEstimates,
    upstream_row::UpstreamRow,
};

/// Maximum number of measurements that are kept for an upstream.
const PACES_MAX: usize = 15;
/// Minimum time between two measurements that are kept, milliseconds. Those of a short slow
/// spell are therefore a minority.
const PACE_SPACING_MS: u64 = 200;
/// Age from which a measurement is ignored, milliseconds.
const PACE_LIFETIME_MS: u64 = 30_000;
/// Maximum number of delays of answers that are kept for an upstream.
const DELAYS_MAX: usize = 9;
/// Age from which a delay is ignored, milliseconds.
const DELAY_LIFETIME_MS: u64 = 5_000;
/// Number of measurements for which the value of the service counts. A new upstream has
/// this value, and a single measurement does not change it.
const PRIOR_WEIGHT: usize = 2;
/// Minimum number of events of an answer from which the pace is measured.
const EVENTS_MIN: u64 = 4;
/// Limits of the ratio of the pace of an upstream to that of its service.
const SLOWNESS_RANGE: (f64, f64) = (0.25, 8.0);
/// Weight of a new measurement in the mean pace of a service, once there are many.
const SERVICE_PACE_WEIGHT: f64 = 0.02;
/// Maximum number of measurements in a notice to peers.
const REPORTS_MAX: usize = 32;

/// Time between two events of an answer of an upstream, as one instance tells its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Low bits of the hash of the upstream's incarnation.
    incarnation: u32,
    /// Time between two events, tenths of a millisecond.
    tenth_ms: u16,
}

/// Recent measurements of one incarnation of an upstream.
#[derive(Debug, Default, Clone)]
pub(crate) struct UpstreamSpeed {
    /// Oldest first.
    paces: Vec<Pace>,
    /// Median of the ratios to the pace of the service.
    slowness: Option<f64>,
}

/// Ratio of a measured pace to that of the service at that time.
#[derive(Debug, Clone, Copy)]
struct Pace {
    slowness: f64,
    measured_ms: u64,
}

/// How much later than expected recent answers of an upstream began.
#[derive(Debug, Default, Clone)]
pub(crate) struct AnswerDelays {
    /// Delay in milliseconds and when it was measured, oldest first.
    delays: Vec<(f64, u64)>,
}

/// Mean time between two events of the answers of all upstreams of a service.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServicePace {
    mean: MovingAverage,
    count: u32,
}

impl UpstreamTable {
    /// Records the time from the first to the last event of an answer.
    pub fn record_pace(&mut self, target: &Target, events: u64, duration_ms: u64, now_ms: u64) {
        if events < EVENTS_MIN {
            return;
        }
        let Some(row) = self.incarnation_row(target) else {
            return;
        };
        let tenths = duration_ms.saturating_mul(10) / (events - 1);
        let report = PaceReport {
            incarnation: low_bits(row.incarnation),
            tenth_ms: u16::try_from(tenths).unwrap_or(u16::MAX),
        };
        self.add_pace(report, now_ms);
        if self.pace_reports.len() < REPORTS_MAX {
            self.pace_reports.push(report);
        }
    }

    /// Returns what was measured since the last call, for a notice to peers.
    pub fn take_pace_reports(&mut self) -> Vec<PaceReport> {
        mem::take(&mut self.pace_reports)
    }

    /// Records what a peer measured.
    pub fn receive_pace_reports(&mut self, reports: &[PaceReport], now_ms: u64) {
        for report in reports {
            self.add_pace(*report, now_ms);
        }
    }

    fn add_pace(&mut self, report: PaceReport, now_ms: u64) {
        let is_meant = |row: &UpstreamRow| low_bits(row.incarnation) == report.incarnation;
        let Some(index) = self.rows.iter().position(is_meant) else {
            return;
        };
        let service = self.rows[index].entry.service.clone();
        let pace = f64::from(report.tenth_ms.max(1));
        let service_pace = self.service_row(&service).pace.add(pace);
        self.rows[index].speed.add(pace / service_pace, now_ms);
    }
}

impl UpstreamSpeed {
    fn add(&mut self, slowness: f64, now_ms: u64) {
        let last = self.paces.last();
        if last.is_some_and(|last| now_ms < last.measured_ms + PACE_SPACING_MS) {
            return;
        }
        self.paces
            .retain(|pace| now_ms < pace.measured_ms + PACE_LIFETIME_MS);
        if self.paces.len() >= PACES_MAX {
            self.paces.remove(0);
        }
        let (min, max) = SLOWNESS_RANGE;
        self.paces.push(Pace {
            slowness: slowness.clamp(min, max),
            measured_ms: now_ms,
        });
        let prior_weight = PRIOR_WEIGHT.saturating_sub(self.paces.len() / 4);
        let priors = iter::repeat_n(1.0, prior_weight);
        let measured = self.paces.iter().map(|pace| pace.slowness);
        self.slowness = median(measured.chain(priors).collect());
    }

    /// Returns how many times longer than the mean of its service the upstream takes.
    pub(crate) fn slowness(&self, now_ms: u64) -> f64 {
        let last = self.paces.last();
        let is_recent = last.is_some_and(|last| now_ms < last.measured_ms + PACE_LIFETIME_MS);
        self.slowness.filter(|_| is_recent).unwrap_or(1.0)
    }
}

impl AnswerDelays {
    pub(crate) fn add(&mut self, delay_ms: f64, now_ms: u64) {
        self.delays
            .retain(|(_, measured_ms)| now_ms < measured_ms + DELAY_LIFETIME_MS);
        if self.delays.len() >= DELAYS_MAX {
            self.delays.remove(0);
        }
        self.delays.push((delay_ms, now_ms));
    }

    /// Returns the median delay, milliseconds, or 0 without recent measurements. A single
    /// one counts for nothing.
    pub(crate) fn median_ms(&self, now_ms: u64) -> f64 {
        let is_recent = |measured_ms: u64| now_ms < measured_ms + DELAY_LIFETIME_MS;
        let recent = self.delays.iter().filter(|(_, at_ms)| is_recent(*at_ms));
        let delays: Vec<_> = recent.map(|(delay_ms, _)| *delay_ms).collect();
        let prior_weight = PRIOR_WEIGHT.saturating_sub(delays.len() / 4);
        let priors = iter::repeat_n(0.0, prior_weight);
        median(delays.into_iter().chain(priors).collect()).unwrap_or(0.0)
    }
}

impl ServicePace {
    /// Adds a measurement and returns the mean.
    fn add(&mut self, pace: f64) -> f64 {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(SERVICE_PACE_WEIGHT);
        self.mean.add_weighted(pace, weight);
        self.mean.value_or(pace)
    }
}

impl TimingEstimates {
    /// Returns the estimates for an upstream that takes `slowness` times as long as the mean.
    pub(crate) fn at_upstream(self, slowness: f64) -> Self {
        Self {
            online_hold_ms: self.online_hold_ms * slowness,
            batch_hold_ms: self.batch_hold_ms * slowness,
            ..self
        }
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len() / 2;
    let upper = *values.get(middle)?;
    let is_odd = values.len() % 2 == 1;
    Some(if is_odd {
        upper
    } else {
        f64::midpoint(values[middle - 1], upper)
    })
}

#[expect(clippy::cast_possible_truncation, reason = "the low bits are meant")]
fn low_bits(hash: u64) -> u32 {
    hash as u32
}
