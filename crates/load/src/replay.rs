//! `replay`: an ablation study of the gateway's scheduling decisions. It replays
//! a load pattern in virtual time with all decisions, and with one of them
//! disabled.
//!
//! Variants are compared by *credit*: each online request and batch item earns
//! full credit if it ends on time, less if it is late or was refused at first, and
//! none if it is refused for good or fails.

mod arrivals;
mod plot;
mod scheduler;
mod simulation;
mod tally;

use std::{path::PathBuf, thread};

use bpaf::{Parser, construct, long};

pub use self::arrivals::Pattern;
use self::{simulation::Simulation, tally::Tally};

/// Options of `replay`.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// Load and fleet to simulate.
    pub pattern: Pattern,
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds from the first.
    pub seeds: u64,
    /// Names of the variants to run; empty for all.
    pub variants: Vec<String>,
    /// File for the plot of the credit in each time window.
    pub plot: Option<PathBuf>,
}

/// A scheduling decision that a run can disable. Each variant says what happens
/// instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ablation {
    /// Requests go to a random upstream.
    Placement,
    /// Requests go to the upstream with the fewest requests in flight.
    LeastRequests,
    /// Requests go to the one of two random upstreams with fewer requests in flight.
    TwoChoices,
    /// Requests go to the upstream with the shortest expected delay, from its requests in
    /// flight and its speed, which every instance knows from the start.
    ShortestDelay,
    /// No request is refused; all wait as long as it takes.
    Refusals,
    /// Instances send each other no load notices.
    Notices,
    /// Each instance fills free slots without regard to the batch queues of
    /// other instances.
    SharedPlan,
    /// Batch items are not preempted.
    Preemption,
    /// The urgency of items depends on their due time alone, without a
    /// forecast of their remaining time.
    Forecast,
    /// Every notice goes to all regions.
    NoticeScheduling,
}

/// Delay of load notices between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeDelay {
    /// The latency of the links and the pause between two notices.
    Usual,
    /// No delay, as if a single scheduler decided for all instances.
    Zero,
}

/// A configuration of a run; the first of [`VARIANTS`] is the reference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Variant {
    name: &'static str,
    delay: NoticeDelay,
    ablation: Option<Ablation>,
}

const VARIANTS: [Variant; 12] = [
    Variant::new("usual", NoticeDelay::Usual, None),
    Variant::new("one_decider", NoticeDelay::Zero, None),
    Variant::new(
        "without_placement",
        NoticeDelay::Usual,
        Some(Ablation::Placement),
    ),
    Variant::new(
        "least_requests",
        NoticeDelay::Usual,
        Some(Ablation::LeastRequests),
    ),
    Variant::new(
        "two_choices",
        NoticeDelay::Usual,
        Some(Ablation::TwoChoices),
    ),
    Variant::new(
        "shortest_delay",
        NoticeDelay::Usual,
        Some(Ablation::ShortestDelay),
    ),
    Variant::new(
        "without_refusals",
        NoticeDelay::Usual,
        Some(Ablation::Refusals),
    ),
    Variant::new(
        "without_notices",
        NoticeDelay::Usual,
        Some(Ablation::Notices),
    ),
    Variant::new(
        "without_shared_plan",
        NoticeDelay::Usual,
        Some(Ablation::SharedPlan),
    ),
    Variant::new(
        "without_preemption",
        NoticeDelay::Usual,
        Some(Ablation::Preemption),
    ),
    Variant::new(
        "without_forecast",
        NoticeDelay::Usual,
        Some(Ablation::Forecast),
    ),
    Variant::new(
        "without_notice_pace",
        NoticeDelay::Usual,
        Some(Ablation::NoticeScheduling),
    ),
];

/// Results of one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunMetrics {
    /// Share of the possible credit that was earned, 0 to 1.
    pub credit: f64,
    /// Mean share of credit in the two time windows with the smallest shares.
    pub worst_windows_credit: f64,
    /// Online requests.
    pub online_count: u32,
    /// Online requests that were answered in time, including those that
    /// succeeded at a retry after a refusal.
    pub online_on_time: u32,
    /// Online requests that were answered late.
    pub online_late: u32,
    /// Online requests that were refused again at their retry.
    pub online_refused: u32,
    /// Notices sent to other regions.
    pub cross_region_notices: u64,
}

/// Replays a pattern once.
#[must_use]
pub fn replay_once(
    pattern: &Pattern,
    delay: NoticeDelay,
    ablation: Option<Ablation>,
    seed: u64,
) -> RunMetrics {
    let tally = Simulation::new(pattern, delay, ablation, seed).run();
    RunMetrics {
        credit: tally.credit(),
        worst_windows_credit: tally.worst_windows_credit(),
        online_count: tally.online.count,
        online_on_time: tally.online.on_time,
        online_late: tally.online.late,
        online_refused: tally.online.refused,
        cross_region_notices: tally.cross_region_notices,
    }
}

/// Returns the parser of [`ReplayOptions`].
#[must_use]
pub fn replay_options() -> impl Parser<ReplayOptions> {
    let pattern = pattern_options();
    let seed = numeric_flag("seed", "Use N as the first seed", 1);
    let seeds = numeric_flag("seeds", "Run each variant with N consecutive seeds", 4);
    let variants = long("variant")
        .help("Run only the variant NAME; can be repeated")
        .argument("NAME")
        .many();
    let plot = long("plot")
        .help("Write a plot of the credit for timely work in each time window to PATH, as SVG")
        .argument("PATH")
        .optional();
    construct!(ReplayOptions {
        pattern,
        seed,
        seeds,
        variants,
        plot,
    })
}

/// Runs every variant with every seed, and prints one line of `key=value` pairs
/// per variant.
///
/// # Errors
///
/// Returns an error if there is no variant of a given name or if the plot cannot be
/// written.
pub fn replay(options: &ReplayOptions) -> Result<(), String> {
    let pattern = &options.pattern;
    let variants = chosen_variants(&options.variants)?;
    println!("replay pattern={pattern:?} seeds={}", options.seeds);
    let mut series = Vec::new();
    for variant in variants {
        let tallies = run_seeds(pattern, variant, options);
        print_variant(variant, &tallies);
        if let Some(first) = tallies.first() {
            series.push((variant.name, first.credit_by_window()));
        }
    }
    match &options.plot {
        Some(path) => plot::draw_windows(path, &series).map_err(|error| error.to_string()),
        None => Ok(()),
    }
}

fn chosen_variants(names: &[String]) -> Result<Vec<Variant>, String> {
    if names.is_empty() {
        return Ok(VARIANTS.to_vec());
    }
    let find = |name: &String| {
        let found = VARIANTS.iter().find(|variant| variant.name == *name);
        found.copied().ok_or_else(|| {
            let known: Vec<_> = VARIANTS.iter().map(|variant| variant.name).collect();
            format!("--variant {name}: expected one of {}", known.join(", "))
        })
    };
    names.iter().map(find).collect()
}

/// Runs one variant with each seed. Seeds are independent, so each run has a
/// thread of its own.
fn run_seeds(pattern: &Pattern, case: Variant, options: &ReplayOptions) -> Vec<Tally> {
    let seeds = options.seed..options.seed + options.seeds;
    thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .map(|seed| {
                scope.spawn(move || Simulation::new(pattern, case.delay, case.ablation, seed).run())
            })
            .collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

fn print_variant(variant: Variant, tallies: &[Tally]) {
    let sum = |count_of: fn(&Tally) -> u32| tallies.iter().map(count_of).sum::<u32>();
    println!(
        "replay variant={} credit={:.3} worst_windows={:.3} worst_class={:.3} \
         online={} online_on_time={} online_late={} online_refused={} online_failed={} \
         items={} items_on_time={} items_late={} items_failed={} notices_away={}",
        variant.name,
        mean(tallies, Tally::credit),
        mean(tallies, Tally::worst_windows_credit),
        mean(tallies, Tally::worst_class_credit),
        sum(|tally| tally.online.count),
        sum(|tally| tally.online.on_time),
        sum(|tally| tally.online.late),
        sum(|tally| tally.online.refused),
        sum(|tally| tally.online.failed),
        sum(|tally| tally.items.count),
        sum(|tally| tally.items.on_time),
        sum(|tally| tally.items.late),
        sum(|tally| tally.items.failed),
        tallies
            .iter()
            .map(|tally| tally.cross_region_notices)
            .sum::<u64>(),
    );
}

fn mean(tallies: &[Tally], metric: fn(&Tally) -> f64) -> f64 {
    let count = u32::try_from(tallies.len().max(1)).unwrap_or(1);
    tallies.iter().map(metric).sum::<f64>() / f64::from(count)
}

fn pattern_options() -> impl Parser<Pattern> {
    let instances = numeric_flag("instances", "Simulate N gateway instances", 9);
    let regions = numeric_flag("regions", "Spread the fleet over N regions", 3);
    let upstreams = numeric_flag("upstreams", "Simulate N upstreams", 9);
    let lost_upstreams = numeric_flag("lost-upstreams", "Crash N upstreams", 0);
    let speeds = long("speed")
        .help("Let upstreams run at N times the usual speed in turn; can be repeated")
        .argument("N")
        .many();
    let slow_share = numeric_flag(
        "slow-share",
        "Let each upstream be slow for this share of the time",
        0.0,
    );
    let online_per_s = numeric_flag(
        "online-per-s",
        "Send N online requests per second on average",
        41.2,
    );
    let jobs_per_s = numeric_flag(
        "jobs-per-s",
        "Submit N batch jobs per second on average",
        0.515,
    );
    let length_s = numeric_flag(
        "length-s",
        "Let work arrive for N seconds of virtual time",
        50,
    );
    construct!(Pattern {
        instances,
        regions,
        upstreams,
        lost_upstreams,
        speeds,
        slow_share,
        online_per_s,
        jobs_per_s,
        length_s,
    })
}

fn numeric_flag<T>(name: &'static str, help: &'static str, default: T) -> impl Parser<T>
where
    T: std::str::FromStr<Err: std::fmt::Display> + std::fmt::Display + Clone + 'static,
{
    long(name)
        .help(help)
        .argument("N")
        .fallback(default)
        .display_fallback()
}

impl Variant {
    const fn new(name: &'static str, delay: NoticeDelay, ablation: Option<Ablation>) -> Self {
        Self {
            name,
            delay,
            ablation,
        }
    }
}
