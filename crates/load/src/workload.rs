//! Online arrivals and batch items, fixed by a seed before anything runs.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

const US_PER_S: u64 = 1_000_000;

/// What the load looks like.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkloadParams {
    /// Virtual time over which requests arrive, seconds.
    pub run_s: u64,
    /// Virtual time at the start that is not measured, seconds.
    pub warmup_s: u64,
    /// Online requests a second and engine between bursts.
    pub steady_per_engine_s: f64,
    /// Online rate in a burst as a multiple of the steady one.
    pub burst_factor: f64,
    /// Time from one burst of a region to its next, seconds.
    pub burst_every_s: u64,
    /// Length of a burst, seconds.
    pub burst_s: u64,
    /// Mean and largest prompt of an online request, tokens.
    pub online_prompt: (u32, u32),
    /// Mean and largest answer of an online request, tokens.
    pub online_output: (u32, u32),
    /// Mean and largest prompt of a batch item, tokens.
    pub batch_prompt: (u32, u32),
    /// Mean and largest answer of a batch item, tokens.
    pub batch_output: (u32, u32),
    /// Spread of every length: the deviation of its logarithm.
    pub length_sigma: f64,
    /// Target of time to first token, microseconds.
    pub first_token_us: u64,
    /// Target of time between tokens, microseconds.
    pub between_tokens_us: u64,
}

/// One online request.
#[derive(Debug, Clone)]
pub struct OnlineRequest {
    /// When the client means to send it, microseconds.
    pub at_us: u64,
    /// Entry that the balancer hands it to.
    pub entry: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Whether its region is in a burst.
    pub in_burst: bool,
}

/// One batch item.
#[derive(Debug, Clone, Copy)]
pub struct BatchItem {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
}

/// Everything that happens from outside.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Its parameters.
    pub params: WorkloadParams,
    /// Online requests by time.
    pub online: Vec<OnlineRequest>,
    /// Lengths of batch items, used in turn; the backlog has no end.
    pub batch: Vec<BatchItem>,
    /// First moments of the bursts: region and time, microseconds.
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
    /// Draws the load of `regions` with the given numbers of engines and
    /// entries each.
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

/// Poisson arrivals of one region, by thinning those of the burst rate.
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

/// When the first burst of a region begins; regions take turns.
fn first_burst_s(params: &WorkloadParams, region: usize) -> u64 {
    params.warmup_s + params.burst_every_s * (region as u64 + 1) / 4
}

/// A length with a logarithmic normal distribution, given mean and maximum.
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
