//! Arrivals of a load pattern: online requests at a rate that changes in steps,
//! and jobs at a constant mean rate.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

const US_PER_S: f64 = 1e6;
/// Steps of the online rate, repeated in turn: factor on the mean rate, and
/// duration in seconds.
const RATE_STEPS: [(f64, f64); 2] = [(0.383, 3.4), (1.87, 2.4)];
/// Tokens per event of a streamed answer.
pub(super) const EVENT_TOKENS: u32 = 6;
/// Events of an online answer and of an item's answer: mean and maximum.
const ONLINE_EVENTS: (f64, f64) = (36.9, 59.0);
const ITEM_EVENTS: (f64, f64) = (253.0, 406.0);
/// Prompt tokens outside any prefix shared with other requests: mean and
/// maximum.
const PROMPT_TOKENS: (f64, f64) = (250.0, 600.0);
/// Items per job: mean and maximum.
const JOB_ITEMS: (f64, f64) = (10.0, 24.0);
/// Standard deviations as a share of the means.
const OUTPUT_DEVIATION: f64 = 0.25;
const PROMPT_DEVIATION: f64 = 0.4;

/// Load and fleet of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Pattern {
    /// Number of gateway instances.
    pub instances: usize,
    /// Number of regions; instances and upstreams are assigned to them
    /// round-robin.
    pub regions: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of upstreams that crash, one after the other.
    pub lost_upstreams: usize,
    /// Speeds of the upstreams, assigned to them in turn: 1 is the usual one. Empty if all
    /// have the usual one.
    pub speeds: Vec<f64>,
    /// Share of the time in which each upstream has a short slow spell, 0 to 1.
    pub slow_share: f64,
    /// Mean rate of online requests, requests per second.
    pub online_per_s: f64,
    /// Mean rate of jobs, jobs per second.
    pub jobs_per_s: f64,
    /// Time during which work arrives, seconds.
    pub length_s: u32,
}

impl Pattern {
    /// Returns the speed of an upstream; 1 is the usual one. Each region has upstreams of
    /// every speed.
    pub(super) fn speed(&self, upstream: usize) -> f64 {
        let position = upstream / self.regions;
        let speed = self.speeds.get(position % self.speeds.len().max(1));
        speed.copied().unwrap_or(1.0)
    }
}

/// Arrival of one request or job.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Arrival {
    /// Time of arrival, microseconds.
    pub(super) at_us: u64,
    /// Instance that receives the work.
    pub(super) instance: usize,
    pub(super) work: Work,
}

/// An online request or a job with its items.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Work {
    Online(RequestSize),
    Job(Vec<RequestSize>),
}

/// Length of the prompt and the answer of an online request or item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestSize {
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
}

/// Returns all arrivals of a run in order of time.
pub(super) fn arrivals(pattern: &Pattern, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let end_us = f64::from(pattern.length_s) * US_PER_S;
    let peak_factor = RATE_STEPS
        .iter()
        .map(|(factor, _)| factor)
        .fold(0.0, |a, b| b.max(a));
    let mut at_us = 0.0;
    loop {
        at_us += exponential_gap_us(&mut rng, pattern.online_per_s * peak_factor);
        if at_us >= end_us {
            break;
        }
        // Thins arrivals at the peak rate to the current rate.
        if rng.random_range(0.0..peak_factor) < rate_factor(at_us / US_PER_S) {
            let work = Work::Online(request_size(&mut rng, ONLINE_EVENTS));
            arrivals.push(arrival(&mut rng, pattern, at_us, work));
        }
    }
    let mut at_us = 0.0;
    loop {
        at_us += exponential_gap_us(&mut rng, pattern.jobs_per_s);
        if at_us >= end_us {
            break;
        }
        let count = sample(&mut rng, JOB_ITEMS, PROMPT_DEVIATION);
        let items = (0..count)
            .map(|_| request_size(&mut rng, ITEM_EVENTS))
            .collect();
        arrivals.push(arrival(&mut rng, pattern, at_us, Work::Job(items)));
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn arrival(rng: &mut SmallRng, pattern: &Pattern, at_us: f64, work: Work) -> Arrival {
    Arrival {
        at_us: truncated(at_us),
        instance: rng.random_range(0..pattern.instances),
        work,
    }
}

fn request_size(rng: &mut SmallRng, events: (f64, f64)) -> RequestSize {
    RequestSize {
        prompt_tokens: sample(rng, PROMPT_TOKENS, PROMPT_DEVIATION),
        output_tokens: sample(rng, events, OUTPUT_DEVIATION) * EVENT_TOKENS,
    }
}

fn rate_factor(at_s: f64) -> f64 {
    let period_s: f64 = RATE_STEPS.iter().map(|(_, duration_s)| duration_s).sum();
    let mut remaining_s = at_s % period_s;
    for (factor, duration_s) in RATE_STEPS {
        if remaining_s < duration_s {
            return factor;
        }
        remaining_s -= duration_s;
    }
    1.0
}

fn exponential_gap_us(rng: &mut SmallRng, per_s: f64) -> f64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -uniform.ln() / per_s.max(f64::MIN_POSITIVE) * US_PER_S
}

/// Draws a number around `mean` between 1 and `max`. The sum of three uniform
/// numbers approximates a normal distribution.
fn sample(rng: &mut SmallRng, (mean, max): (f64, f64), deviation: f64) -> u32 {
    let sum: f64 = (0..3).map(|_| rng.random_range(-1.0..1.0)).sum();
    let value = mean * (1.0 + deviation * sum);
    u32::try_from(truncated(value.clamp(1.0, max))).unwrap_or(1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and far below 2^52"
)]
fn truncated(value: f64) -> u64 {
    value as u64
}
