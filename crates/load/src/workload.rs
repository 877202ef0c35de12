//! Online arrivals and batch items of an open-loop load, drawn from a seed
//! before the run.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

const US_PER_S: u64 = 1_000_000;

/// Parameters of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkloadParams {
    /// Virtual time during which requests arrive, seconds.
    pub run_s: u64,
    /// Warm-up at the start, which is not measured, seconds of virtual time.
    pub warmup_s: u64,
    /// Online requests per second and engine outside bursts.
    pub steady_per_engine_s: f64,
    /// Online rate during a burst as a multiple of the steady rate.
    pub burst_factor: f64,
    /// Time from the start of one burst of a region to the start of its next,
    /// seconds.
    pub burst_every_s: u64,
    /// Duration of a burst, seconds.
    pub burst_s: u64,
    /// Mean and maximum prompt length of an online request, tokens.
    pub online_prompt: (u32, u32),
    /// Mean and maximum answer length of an online request, tokens.
    pub online_output: (u32, u32),
    /// Mean and maximum prompt length of a batch item, tokens.
    pub batch_prompt: (u32, u32),
    /// Mean and maximum answer length of a batch item, tokens.
    pub batch_output: (u32, u32),
    /// Standard deviation of the logarithm of every length.
    pub length_sigma: f64,
    /// Target for the time to first token, microseconds.
    pub first_token_us: u64,
    /// Target for the time between tokens, microseconds.
    pub between_tokens_us: u64,
}

/// One online request.
#[derive(Debug, Clone)]
pub struct OnlineRequest {
    /// Time at which the client sends the request, whether or not earlier ones
    /// have been answered, microseconds.
    pub at_us: u64,
    /// Entry that the load balancer sends the request to.
    pub entry: usize,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Length of the answer, tokens.
    pub output_tokens: u32,
    /// Whether the request's region is in a burst at that time.
    pub in_burst: bool,
}

/// One batch item.
#[derive(Debug, Clone, Copy)]
pub struct BatchItem {
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Length of the answer, tokens.
    pub output_tokens: u32,
}

/// Everything that reaches the fleet from outside.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Parameters that the load was drawn from.
    pub params: WorkloadParams,
    /// Online requests in order of time.
    pub online: Vec<OnlineRequest>,
    /// Lengths of batch items, reused in a cycle so that the backlog never
    /// ends.
    pub batch: Vec<BatchItem>,
    /// Region and start time of each burst, microseconds.
    pub bursts: Vec<(usize, u64)>,
}

impl Default for WorkloadParams {
    fn default() -> Self {
        Self {
            run_s: 240,
            warmup_s: 10,
            steady_per_engine_s: 1.5,
            burst_factor: 10.0,
            burst_every_s: 40,
            burst_s: 3,
            online_prompt: (300, 2_000),
            online_output: (60, 300),
            batch_prompt: (300, 2_000),
            batch_output: (150, 600),
            length_sigma: 0.5,
            first_token_us: 430_000,
            between_tokens_us: 64_000,
        }
    }
}

impl Workload {
    /// Draws the load of `regions` regions, each with the given numbers of
    /// engines and entries.
    #[must_use]
    pub fn new(
        params: WorkloadParams,
        regions: usize,
        engines: usize,
        entries: usize,
        seed: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut online = Vec::new();
        let mut bursts = Vec::new();
        for region in 0..regions {
            let mut start_s = first_burst_s(&params, region);
            while start_s + params.burst_s <= params.run_s {
                bursts.push((region, start_s * US_PER_S));
                start_s += params.burst_every_s;
            }
            add_arrivals(&params, region, engines, entries, &mut rng, &mut online);
        }
        online.sort_by_key(|request| request.at_us);
        let batch = (0..4_096)
            .map(|_| BatchItem {
                prompt_tokens: sample_length(params.batch_prompt, params.length_sigma, &mut rng),
                output_tokens: sample_length(params.batch_output, params.length_sigma, &mut rng),
            })
            .collect();
        Self {
            params,
            online,
            batch,
            bursts,
        }
    }
}

/// Adds Poisson arrivals of one region, by thinning arrivals at the burst rate.
fn add_arrivals(
    params: &WorkloadParams,
    region: usize,
    engines: usize,
    entries: usize,
    rng: &mut SmallRng,
    online: &mut Vec<OnlineRequest>,
) {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    let peak_per_s = params.steady_per_engine_s * f64::from(engines) * params.burst_factor;
    let mut elapsed_s = 0.0;
    loop {
        elapsed_s -= (1.0 - rng.random::<f64>()).ln() / peak_per_s;
        let at_us = seconds_to_us(elapsed_s);
        if at_us >= params.run_s * US_PER_S {
            return;
        }
        let in_burst = is_burst(params, region, at_us);
        if !in_burst && rng.random::<f64>() * params.burst_factor >= 1.0 {
            continue;
        }
        online.push(OnlineRequest {
            at_us,
            entry: region * entries + rng.random_range(0..entries),
            prompt_tokens: sample_length(params.online_prompt, params.length_sigma, rng),
            output_tokens: sample_length(params.online_output, params.length_sigma, rng),
            in_burst,
        });
    }
}

fn is_burst(params: &WorkloadParams, region: usize, at_us: u64) -> bool {
    let first_us = first_burst_s(params, region) * US_PER_S;
    at_us >= first_us
        && (at_us - first_us) % (params.burst_every_s * US_PER_S) < params.burst_s * US_PER_S
}

/// Returns the start of the first burst of a region, in seconds. It is offset
/// by region so that regions have their bursts in turn.
fn first_burst_s(params: &WorkloadParams, region: usize) -> u64 {
    params.warmup_s + params.burst_every_s * (region as u64 + 1) / 4
}

/// Draws a length from a log-normal distribution with the given mean, clamped
/// to between 5 tokens and the maximum.
fn sample_length((mean, max): (u32, u32), sigma: f64, rng: &mut SmallRng) -> u32 {
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    let normal = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt() * angle.cos();
    let median = f64::from(mean) / (sigma * sigma / 2.0).exp();
    let sampled = median * (sigma * normal).exp();
    truncated(sampled).clamp(5, max)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "lengths are small positive numbers"
)]
fn truncated(value: f64) -> u32 {
    value as u32
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "virtual times are positive and short"
)]
fn seconds_to_us(time_s: f64) -> u64 {
    (time_s * 1e6) as u64
}
