//! `compare`: the product's batch window, baseline policies and the oracle under
//! the same load.

use std::{path::PathBuf, sync::Mutex, thread};

use bpaf::{Parser, construct, long};
use policy::{Urgency, WindowRules};
use standin::EngineParams;

use crate::{
    FleetShape, OracleRules, Outcome, Scheduling, Workload, WorkloadParams,
    outcome::{Latency, p99, ratio},
    plot::{self, Point},
    run,
};

/// Largest ratio of a 99th-percentile latency to that of a run without batch
/// work at which the two count as equal.
const RELAXED_BOUND: f64 = 1.05;
/// Items at an engine without priorities: as many as the engine can run.
const UNBOUNDED_ITEMS: u32 = 256;
/// Maximum number of rounds of the search for the oracle's rules.
const SEARCH_ROUNDS: usize = 3;
/// Items per engine of the policies with a fixed window.
const FIXED_ITEMS: [u32; 5] = [1, 4, 8, 16, 64];

/// Options of `compare`.
#[derive(Debug, Clone)]
pub struct CompareOptions {
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds from the first.
    pub seeds: u64,
    /// Number of runs in parallel.
    pub threads: usize,
    /// Virtual time during which requests arrive, seconds.
    pub run_s: u64,
    /// Online requests per second and engine outside bursts.
    pub steady_per_engine_s: f64,
    /// File for the plot of harm against batch throughput.
    pub plot: Option<PathBuf>,
}

/// Returns the parser of [`CompareOptions`].
#[must_use]
pub fn compare_options() -> impl Parser<CompareOptions> {
    let seed = long("seed")
        .help("Use N as the first seed")
        .argument("N")
        .fallback(1)
        .display_fallback();
    let seeds = long("seeds")
        .help("Run each policy with N consecutive seeds")
        .argument("N")
        .fallback(3)
        .display_fallback();
    let threads = long("threads")
        .help("Run N simulations in parallel [default: the number of processors]")
        .argument("N")
        .fallback_with(|| thread::available_parallelism().map(usize::from));
    let run_s = long("run-s")
        .help("Let requests arrive for S seconds of virtual time per run")
        .argument("S")
        .fallback(120)
        .display_fallback();
    let steady_per_engine_s = long("steady")
        .help("Send RATE online requests per second per engine outside bursts")
        .argument("RATE")
        .fallback(1.5)
        .display_fallback();
    let plot = long("plot")
        .help("Write a plot of harm to online latency against batch throughput to PATH, as SVG")
        .argument("PATH")
        .optional();
    construct!(CompareOptions {
        seed,
        seeds,
        threads,
        run_s,
        steady_per_engine_s,
        plot
    })
}

/// How close the batch jobs are to missing their targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchTarget {
    /// Jobs are ahead of their targets: online latency must be as without
    /// batch work.
    Relaxed,
    /// Jobs are about to miss their targets: batch work may delay online
    /// requests up to the online target.
    Tight,
}

/// A policy with the results of its runs.
struct PolicyResult {
    name: String,
    scheduling: Scheduling,
    by_seed: Vec<Outcome>,
    total: Outcome,
}

/// Fleet, loads and the results without batch work that all policies share.
struct Bench {
    shape: FleetShape,
    params: EngineParams,
    workloads: Vec<Workload>,
    alone: Vec<Outcome>,
    alone_total: Outcome,
    /// Engine of each online request in the runs without batch work, by seed. The
    /// oracle needs them.
    assignments: Vec<Vec<Option<usize>>>,
    threads: usize,
}

/// Runs the comparison and prints its results.
///
/// # Errors
///
/// Returns an error if the plot cannot be written.
pub fn compare(options: &CompareOptions) -> Result<(), String> {
    let bench = Bench::new(options);
    bench.print_parameters(options);
    let window_results = bench.run_all(window_policies());
    let baselines = bench.run_all(baselines());
    let mut points = Vec::new();
    for target in [BatchTarget::Relaxed, BatchTarget::Tight] {
        let oracle = bench.search_oracle_rules(target);
        let oracle_tokens = oracle.total.batch_tokens;
        bench.print_result(&oracle, "oracle", target, oracle_tokens);
        println!(
            "oracle_rules batch_target={} {:?}",
            target.name(),
            oracle.scheduling
        );
        for result in &window_results {
            let (policy, target_name) = result.name.split_once(' ').unwrap_or_default();
            if target_name == target.name() {
                bench.print_result(result, policy, target, oracle_tokens);
                points.push(bench.plot_point(result, &result.name));
            }
        }
        for result in &baselines {
            bench.print_result(result, &result.name, target, oracle_tokens);
        }
        points.push(bench.plot_point(&oracle, &format!("oracle {}", target.name())));
    }
    points.extend(
        baselines
            .iter()
            .map(|result| bench.plot_point(result, &result.name)),
    );
    let Some(path) = &options.plot else {
        return Ok(());
    };
    plot::draw_harm(path, &points).map_err(|error| error.to_string())
}

impl BatchTarget {
    fn name(self) -> &'static str {
        match self {
            Self::Relaxed => "relaxed",
            Self::Tight => "tight",
        }
    }
}

impl Bench {
    fn new(options: &CompareOptions) -> Self {
        let shape = FleetShape::default();
        let params = EngineParams::default();
        let workload_params = WorkloadParams {
            run_s: options.run_s,
            steady_per_engine_s: options.steady_per_engine_s,
            ..WorkloadParams::default()
        };
        let workloads: Vec<Workload> = (options.seed..options.seed + options.seeds.max(1))
            .map(|seed| {
                Workload::new(
                    workload_params.clone(),
                    shape.regions,
                    shape.engines,
                    shape.entries,
                    seed,
                )
            })
            .collect();
        let alone: Vec<_> = workloads
            .iter()
            .map(|workload| run(&shape, &params, workload, &Scheduling::Alone, None))
            .collect();
        let assignments = alone.iter().map(|run| run.assignment.clone()).collect();
        let alone: Vec<Outcome> = alone.into_iter().map(|run| run.outcome).collect();
        Self {
            alone_total: total(&alone),
            alone,
            shape,
            params,
            workloads,
            assignments,
            threads: options.threads.max(1),
        }
    }

    /// Runs each policy with each seed, on several threads.
    fn run_all(&self, policies: Vec<(String, Scheduling)>) -> Vec<PolicyResult> {
        let mut queue = Vec::new();
        for policy in 0..policies.len() {
            queue.extend((0..self.workloads.len()).map(|seed| (policy, seed)));
        }
        let queue = Mutex::new(queue);
        let finished = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for _ in 0..self.threads {
                scope.spawn(|| {
                    loop {
                        let next = queue.lock().expect("no thread panicked").pop();
                        let Some((policy, seed)) = next else {
                            return;
                        };
                        let outcome = self.run_one(&policies[policy].1, seed);
                        let mut finished = finished.lock().expect("no thread panicked");
                        finished.push((policy, seed, outcome));
                    }
                });
            }
        });
        let mut finished = finished.into_inner().expect("no thread panicked");
        finished.sort_by_key(|row| (row.0, row.1));
        let mut outcomes = finished.into_iter().map(|row| row.2);
        policies
            .into_iter()
            .map(|(name, scheduling)| {
                let by_seed: Vec<Outcome> = outcomes.by_ref().take(self.workloads.len()).collect();
                PolicyResult {
                    name,
                    scheduling,
                    total: total(&by_seed),
                    by_seed,
                }
            })
            .collect()
    }

    fn run_one(&self, scheduling: &Scheduling, seed: usize) -> Outcome {
        let is_oracle = matches!(scheduling, Scheduling::Oracle(_));
        let assignment = is_oracle.then(|| self.assignments[seed].as_slice());
        let workload = &self.workloads[seed];
        run(&self.shape, &self.params, workload, scheduling, assignment).outcome
    }

    /// Searches by hill climbing for the oracle's rules with the most batch
    /// tokens within the bound: moves from the current rules to their best
    /// neighbour until no neighbour is better.
    fn search_oracle_rules(&self, target: BatchTarget) -> PolicyResult {
        let start =
            OracleRules::START.map(|rules| ("oracle".to_owned(), Scheduling::Oracle(rules)));
        let mut best = self.best_of(self.run_all(start.to_vec()), target);
        for _ in 0..SEARCH_ROUNDS {
            let Scheduling::Oracle(rules) = &best.scheduling else {
                return best;
            };
            let neighbours = rules.neighbours().into_iter();
            let neighbours =
                neighbours.map(|rules| ("oracle".to_owned(), Scheduling::Oracle(rules)));
            let next = self.best_of(self.run_all(neighbours.collect()), target);
            if self.score(&next, target) <= self.score(&best, target) {
                return best;
            }
            best = next;
        }
        best
    }

    fn best_of(&self, results: Vec<PolicyResult>, target: BatchTarget) -> PolicyResult {
        results
            .into_iter()
            .max_by(|a, b| self.score(a, target).total_cmp(&self.score(b, target)))
            .expect("there is at least one result")
    }

    /// Returns the number of batch tokens if the bound is met, or the negated
    /// excess over the bound otherwise.
    fn score(&self, result: &PolicyResult, target: BatchTarget) -> f64 {
        let excess = match target {
            BatchTarget::Relaxed => self.worst_ratio(&result.total) / RELAXED_BOUND - 1.0,
            BatchTarget::Tight => {
                ratio(result.total.late, 1) / ratio(self.alone_total.late, 1) - 1.0
            }
        };
        if excess > 0.0 {
            return -excess;
        }
        ratio(result.total.batch_tokens, 1)
    }

    /// Returns the largest ratio to the runs without batch work, over both
    /// latencies and both phases.
    fn worst_ratio(&self, outcome: &Outcome) -> f64 {
        let steady = ratios(&outcome.steady, &self.alone_total.steady);
        let burst = ratios(&outcome.burst, &self.alone_total.burst);
        steady.0.max(steady.1).max(burst.0).max(burst.1)
    }

    fn plot_point(&self, result: &PolicyResult, name: &str) -> Point {
        Point {
            name: name.to_owned(),
            harm: self.worst_ratio(&result.total),
            tokens_per_s: self.tokens_per_s(&result.total),
        }
    }

    fn tokens_per_s(&self, outcome: &Outcome) -> f64 {
        let params = &self.workloads[0].params;
        let measured_s = (params.run_s - params.warmup_s) * self.workloads.len() as u64;
        ratio(outcome.batch_tokens, measured_s)
    }

    fn print_parameters(&self, options: &CompareOptions) {
        println!("parameters seed={} seeds={}", options.seed, options.seeds);
        println!("parameters fleet={:?}", self.shape);
        println!("parameters engine={:?}", self.params);
        println!("parameters load={:?}", self.workloads[0].params);
        for (phase, latency) in [
            ("steady", &self.alone_total.steady),
            ("burst", &self.alone_total.burst),
        ] {
            println!("alone phase={phase} {}", quantiles(latency));
        }
    }

    fn print_result(
        &self,
        result: &PolicyResult,
        policy: &str,
        target: BatchTarget,
        oracle_tokens: u64,
    ) {
        let total = &result.total;
        let all = ratios(&total.all_phases(), &self.alone_total.all_phases());
        let steady = ratios(&total.steady, &self.alone_total.steady);
        let burst = ratios(&total.burst, &self.alone_total.burst);
        println!(
            "policy={policy} batch_target={} online_late_share={:.5} \
             online_late_share_alone={:.5} online_ttft_p99_ratio={:.3} \
             online_itl_p99_ratio={:.3} batch_share={:.3} cross_region_bytes={} \
             refused={} errors={} steady_ttft_p99_ratio={:.3} steady_itl_p99_ratio={:.3} \
             burst_ttft_p99_ratio={:.3} burst_itl_p99_ratio={:.3} worst_ratio_by_seed={} \
             late={} late_alone={} batch_tokens_per_s={:.0} cancels={} \
             batch_gone_p50_ms={} batch_gone_max_ms={} batch_stayed={}",
            target.name(),
            total.late_share(),
            self.alone_total.late_share(),
            all.0,
            all.1,
            ratio(total.batch_tokens, oracle_tokens),
            total.cross_region_bytes,
            total.refused,
            total.errors,
            steady.0,
            steady.1,
            burst.0,
            burst.1,
            self.worst_ratio_range(result),
            total.late,
            self.alone_total.late,
            self.tokens_per_s(total),
            total.batch_cancels,
            total.batch_drain_us.value_at_quantile(0.5) / 1_000,
            total.batch_drain_us.max() / 1_000,
            total.bursts_not_drained,
        );
    }

    /// Formats the range of the worst ratios over the seeds.
    fn worst_ratio_range(&self, result: &PolicyResult) -> String {
        let worst = result.by_seed.iter().zip(&self.alone).map(|(with, alone)| {
            let steady = ratios(&with.steady, &alone.steady);
            let burst = ratios(&with.burst, &alone.burst);
            steady.0.max(steady.1).max(burst.0).max(burst.1)
        });
        let worst: Vec<f64> = worst.collect();
        let min = worst.iter().copied().fold(f64::MAX, f64::min);
        let max = worst.iter().copied().fold(0.0, f64::max);
        format!("{min:.3}..{max:.3}")
    }
}

/// Returns the 99th percentiles of first-token and inter-token latency as
/// multiples of those without batch work.
fn ratios(with: &Latency, alone: &Latency) -> (f64, f64) {
    (
        ratio(p99(&with.first_token_us), p99(&alone.first_token_us)),
        ratio(p99(&with.between_tokens_us), p99(&alone.between_tokens_us)),
    )
}

fn quantiles(latency: &Latency) -> String {
    let ms = |histogram: &hdrhistogram::Histogram<u64>, quantile| {
        ratio(histogram.value_at_quantile(quantile), 1_000)
    };
    let (first, between) = (&latency.first_token_us, &latency.between_tokens_us);
    format!(
        "ttft_p50_ms={:.1} ttft_p95_ms={:.1} ttft_p99_ms={:.1} \
         itl_p50_ms={:.1} itl_p95_ms={:.1} itl_p99_ms={:.1} requests={}",
        ms(first, 0.5),
        ms(first, 0.95),
        ms(first, 0.99),
        ms(between, 0.5),
        ms(between, 0.95),
        ms(between, 0.99),
        first.len(),
    )
}

fn total(outcomes: &[Outcome]) -> Outcome {
    let mut total = Outcome::new();
    for outcome in outcomes {
        total.add(outcome);
    }
    total
}

fn window_policies() -> Vec<(String, Scheduling)> {
    let mut policies = Vec::new();
    for (target, urgency) in [("relaxed", Urgency::NONE), ("tight", Urgency::FULL)] {
        for (name, in_parts) in [("redwingtack", true), ("redwingtack_whole_prompts", false)] {
            let scheduling = Scheduling::Window {
                rules: WindowRules::default(),
                urgency,
                in_parts,
            };
            policies.push((format!("{name} {target}"), scheduling));
        }
    }
    policies
}

fn baselines() -> Vec<(String, Scheduling)> {
    let mut policies = vec![(
        "no_priorities".to_owned(),
        Scheduling::Fixed(UNBOUNDED_ITEMS),
    )];
    for batch_engines in [1, 2] {
        let items = UNBOUNDED_ITEMS;
        policies.push((
            format!("static_split_{batch_engines}_of_3"),
            Scheduling::Split {
                batch_engines,
                items,
            },
        ));
    }
    let fixed =
        FIXED_ITEMS.map(|items| (format!("fixed_window_{items}"), Scheduling::Fixed(items)));
    policies.extend(fixed);
    policies
}
