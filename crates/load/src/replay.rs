//! `replay`: the decisions made on the users' platform under a load pattern, in
//! virtual time, as they are and with one of them switched off.

mod arrivals;
mod decider;
mod plot;
mod tally;
mod world;

use std::{path::PathBuf, thread};

use bpaf::{Parser, construct, long};

pub use self::arrivals::Pattern;
use self::{tally::Tally, world::World};

/// Options of `replay`.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// Load and fleet.
    pub pattern: Pattern,
    /// First seed.
    pub seed: u64,
    /// Number of seeds, counted up from the first.
    pub seeds: u64,
    /// Where to draw the credit of each window.
    pub plot: Option<PathBuf>,
}

/// A decision that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// Requests go to any upstream.
    Placement,
    /// Requests wait however long it takes.
    Refusals,
    /// Instances know nothing of each other.
    Notices,
    /// Each instance fills free slots as if it were alone with its items.
    SharedPlan,
    /// Items keep their slots.
    Preemption,
    /// Items go by their due time alone.
    Forecast,
    /// All regions are told of every change.
    NoticePace,
}

/// How long notices between instances take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeDelay {
    /// The time of the links, and the pause between two of them.
    Usual,
    /// None, as if one decided for all.
    None,
}

/// A run that is compared with the usual one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Variant {
    name: &'static str,
    delay: NoticeDelay,
    switch: Option<Switch>,
}

const VARIANTS: [Variant; 9] = [
    Variant::new("usual", NoticeDelay::Usual, None),
    Variant::new("one_decider", NoticeDelay::None, None),
    Variant::new(
        "without_placement",
        NoticeDelay::Usual,
        Some(Switch::Placement),
    ),
    Variant::new(
        "without_refusals",
        NoticeDelay::Usual,
        Some(Switch::Refusals),
    ),
    Variant::new("without_notices", NoticeDelay::Usual, Some(Switch::Notices)),
    Variant::new(
        "without_shared_plan",
        NoticeDelay::Usual,
        Some(Switch::SharedPlan),
    ),
    Variant::new(
        "without_preemption",
        NoticeDelay::Usual,
        Some(Switch::Preemption),
    ),
    Variant::new(
        "without_forecast",
        NoticeDelay::Usual,
        Some(Switch::Forecast),
    ),
    Variant::new(
        "without_notice_pace",
        NoticeDelay::Usual,
        Some(Switch::NoticePace),
    ),
];

/// Figures of one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Credit earned over credit owed.
    pub credit: f64,
    /// The same in the two worst windows.
    pub worst_windows: f64,
    /// Online requests that were answered in time, also after a refusal.
    pub online_on_time: u32,
    /// Online requests that were refused for good.
    pub online_refused: u32,
    /// Notices sent to other regions.
    pub notices_away: u64,
}

/// Plays a pattern once.
#[must_use]
pub fn play_once(
    pattern: &Pattern,
    delay: NoticeDelay,
    switch: Option<Switch>,
    seed: u64,
) -> Figures {
    let tally = World::new(pattern, delay, switch, seed).run();
    Figures {
        credit: tally.credit(),
        worst_windows: tally.worst_windows(),
        online_on_time: tally.online.on_time,
        online_refused: tally.online.refused,
        notices_away: tally.notices_away,
    }
}

/// Parser of [`ReplayOptions`].
#[must_use]
pub fn replay_options() -> impl Parser<ReplayOptions> {
    let pattern = pattern();
    let seed = number("seed", "First seed", 1);
    let seeds = number("seeds", "Number of seeds, counted up from the first", 4);
    let plot = long("plot")
        .help("Draw the credit of each window as SVG")
        .argument("PATH")
        .optional();
    construct!(ReplayOptions {
        pattern,
        seed,
        seeds,
        plot,
    })
}

/// Plays every variant with every seed, and prints one key=value line each.
///
/// # Errors
///
/// Returns an error if the plot cannot be written.
pub fn replay(options: &ReplayOptions) -> Result<(), String> {
    let pattern = &options.pattern;
    println!("replay pattern={pattern:?} seeds={}", options.seeds);
    let mut lines = Vec::new();
    for variant in VARIANTS {
        let tallies = play(pattern, variant, options);
        print(variant, &tallies);
        if let Some(first) = tallies.first() {
            lines.push((variant.name, first.window_shares()));
        }
    }
    match &options.plot {
        Some(path) => plot::windows(path, &lines).map_err(|error| error.to_string()),
        None => Ok(()),
    }
}

/// The seeds are independent, so each is played by a thread of its own.
fn play(pattern: &Pattern, variant: Variant, options: &ReplayOptions) -> Vec<Tally> {
    let seeds = options.seed..options.seed + options.seeds;
    thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .map(|seed| {
                scope.spawn(move || World::new(pattern, variant.delay, variant.switch, seed).run())
            })
            .collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

fn print(variant: Variant, tallies: &[Tally]) {
    let online = |part: fn(&Tally) -> u32| tallies.iter().map(part).sum::<u32>();
    println!(
        "replay variant={} credit={:.3} worst_windows={:.3} worst_class={:.3} \
         online={} online_on_time={} online_late={} online_refused={} online_failed={} \
         items={} items_on_time={} items_late={} items_failed={} notices_away={}",
        variant.name,
        mean(tallies, Tally::credit),
        mean(tallies, Tally::worst_windows),
        mean(tallies, Tally::worst_class),
        online(|tally| tally.online.asked),
        online(|tally| tally.online.on_time),
        online(|tally| tally.online.late),
        online(|tally| tally.online.refused),
        online(|tally| tally.online.failed),
        online(|tally| tally.items.asked),
        online(|tally| tally.items.on_time),
        online(|tally| tally.items.late),
        online(|tally| tally.items.failed),
        tallies.iter().map(|tally| tally.notices_away).sum::<u64>(),
    );
}

fn mean(tallies: &[Tally], figure: fn(&Tally) -> f64) -> f64 {
    let count = u32::try_from(tallies.len().max(1)).unwrap_or(1);
    tallies.iter().map(figure).sum::<f64>() / f64::from(count)
}

fn pattern() -> impl Parser<Pattern> {
    let instances = number("instances", "Instances that decide", 9);
    let regions = number("regions", "Regions", 3);
    let upstreams = number("upstreams", "Upstreams", 9);
    let lost_upstreams = number("lost-upstreams", "Upstreams that crash", 0);
    let online_per_s = number("online-per-s", "Mean rate of online requests", 41.2);
    let jobs_per_s = number("jobs-per-s", "Rate of jobs", 0.515);
    let length_s = number("length-s", "Time in which work arrives, seconds", 50);
    construct!(Pattern {
        instances,
        regions,
        upstreams,
        lost_upstreams,
        online_per_s,
        jobs_per_s,
        length_s,
    })
}

fn number<T>(name: &'static str, help: &'static str, default: T) -> impl Parser<T>
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
    const fn new(name: &'static str, delay: NoticeDelay, switch: Option<Switch>) -> Self {
        Self {
            name,
            delay,
            switch,
        }
    }
}
