//! Load as a list of arrivals: online requests in steps, jobs at an even rate.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

const US_PER_S: f64 = 1e6;
/// Online rate over the mean one, and how long it lasts, seconds, in turn.
const RATE_STEPS: [(f64, f64); 2] = [(0.383, 3.4), (1.87, 2.4)];
/// Tokens of an event of an answer.
pub(super) const EVENT_TOKENS: u32 = 6;
/// Events of an online answer and of an item's: mean and most.
const ONLINE_EVENTS: (f64, f64) = (36.9, 59.0);
const ITEM_EVENTS: (f64, f64) = (253.0, 406.0);
/// Prompt tokens that no other request shares: mean and most.
const PROMPT_TOKENS: (f64, f64) = (250.0, 600.0);
/// Items of a job: mean and most.
const JOB_ITEMS: (f64, f64) = (10.0, 24.0);
/// Standard deviations over the means.
const OUTPUT_DEVIATION: f64 = 0.25;
const PROMPT_DEVIATION: f64 = 0.4;

/// Load and fleet of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Pattern {
    /// Instances that decide.
    pub instances: usize,
    /// Regions; instances and upstreams are dealt out to them in turn.
    pub regions: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Upstreams that crash, one after the other.
    pub lost_upstreams: usize,
    /// Mean rate of online requests, per second.
    pub online_per_s: f64,
    /// Rate of jobs, per second.
    pub jobs_per_s: f64,
    /// Time in which work arrives, seconds.
    pub length_s: u32,
}

/// What arrives.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Arrival {
    /// When, microseconds.
    pub(super) at_us: u64,
    /// Instance that it comes to.
    pub(super) instance: usize,
    pub(super) work: Work,
}

/// Sizes of a piece of work.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Work {
    Online(RequestSize),
    Job(Vec<RequestSize>),
}

/// Sizes of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestSize {
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
}

/// All arrivals of a run, in order of time.
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
        // Thins a steady stream to the rate of the moment.
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

/// A number around `mean`, at least one and at most `most`. The sum of three
/// even numbers is close to a normal distribution.
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
