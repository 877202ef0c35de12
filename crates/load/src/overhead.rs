//! `overhead`: latency, processor time and memory that the entry program adds to
//! a direct connection to an engine, and the cost of decision logs.
//!
//! A *turn* is a short series of requests on one path. Turns with direct requests
//! and turns with requests through the entry alternate within a run.

mod child;
mod client;
mod logs;
mod streams;

use std::{net::SocketAddr, time::Duration};

use bpaf::{Parser, construct, long};
use hdrhistogram::Histogram;
use tokio::time::Instant;

use self::{
    child::{Child, EngineProfile, SchedulerStats},
    client::{LoadClient, Timing},
};

pub use self::child::{ChildOptions, child_options, run_child};

/// Longest latency that a histogram holds, microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Significant decimal figures of a histogram.
const SIGNIFICANT_FIGURES: u8 = 3;
/// Request rates, requests per second.
const RATES: [u32; 2] = [200, 1_000];
/// Length of one turn, seconds.
const TURN_S: u64 = 2;
/// Length of the first turn, which opens connections and is not counted,
/// seconds.
const WARM_UP_S: u64 = 1;
/// Tokens of each answer.
const TOKENS: u32 = 8;
const US_PER_S: u64 = 1_000_000;

/// Options of `overhead`.
#[derive(Debug, Clone)]
pub struct OverheadOptions {
    /// Number of turns per rate and path.
    pub turns: u32,
    /// Number of streams that are open at the same time.
    pub streams: u32,
    /// Worker threads of the entry; the entry's default if absent.
    pub entry_threads: Option<u32>,
}

/// Returns the parser of [`OverheadOptions`].
#[must_use]
pub fn overhead_options() -> impl Parser<OverheadOptions> {
    let turns = long("turns")
        .help("Run N turns of 2 seconds per request rate, directly and through the entry")
        .argument("N")
        .fallback(5)
        .display_fallback();
    let streams = long("streams")
        .help("Open N streams at the same time")
        .argument("N")
        .fallback(1_000)
        .display_fallback();
    let entry_threads = long("entry-threads")
        .help("Run the entry with N worker threads [default: one per processor]")
        .argument("N")
        .optional();
    construct!(OverheadOptions {
        turns,
        streams,
        entry_threads,
    })
}

/// Path of a request to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestPath {
    Direct,
    Entry,
}

/// Latencies and counts of the requests on one path.
#[derive(Debug)]
struct Latencies {
    first_token_us: Histogram<u64>,
    total_us: Histogram<u64>,
    requests: u64,
    errors: u64,
}

/// Runs all measurements and prints one line of `key=value` pairs per result.
///
/// # Errors
///
/// Returns an error if a child process cannot be started, or its statistics
/// cannot be read.
pub fn overhead(options: &OverheadOptions) -> Result<(), String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(async {
        for rate_per_s in RATES {
            measure_rate(rate_per_s, options).await?;
        }
        streams::measure(options).await?;
        logs::measure().await
    })
}

async fn measure_rate(rate_per_s: u32, options: &OverheadOptions) -> Result<(), String> {
    let engine = Child::start_engine(EngineProfile::ShortSteps).await?;
    let entry = Child::start_entry(engine.address(), options.entry_threads).await?;
    let client = LoadClient::new();
    let mut direct = Latencies::new()?;
    let mut routed = Latencies::new()?;
    let mut stats = SchedulerStats::default();
    for turn in 0..=options.turns {
        let length_s = if turn == 0 { WARM_UP_S } else { TURN_S };
        let count = rate_per_s * u32::try_from(length_s).unwrap_or(1);
        let direct_turn = run_turn(&client, engine.address(), rate_per_s, count).await;
        let before = entry.scheduler_stats()?;
        let routed_turn = run_turn(&client, entry.address(), rate_per_s, count).await;
        let turn_stats = entry.scheduler_stats()?.since(before);
        if turn > 0 {
            direct.add(&direct_turn);
            routed.add(&routed_turn);
            stats.cpu_us += turn_stats.cpu_us;
            stats.run_delay_us += turn_stats.run_delay_us;
        }
    }
    direct.print(rate_per_s, RequestPath::Direct);
    routed.print(rate_per_s, RequestPath::Entry);
    println!(
        "overhead rate_per_s={rate_per_s} added_first_token_p50_us={} added_first_token_p99_us={} \
         added_total_p50_us={} added_total_p99_us={} cpu_us_per_request={} \
         run_delay_us_per_request={} rss_bytes={}",
        added_us(&direct.first_token_us, &routed.first_token_us, 0.5),
        added_us(&direct.first_token_us, &routed.first_token_us, 0.99),
        added_us(&direct.total_us, &routed.total_us, 0.5),
        added_us(&direct.total_us, &routed.total_us, 0.99),
        stats.cpu_us / routed.requests.max(1),
        stats.run_delay_us / routed.requests.max(1),
        entry.rss_bytes()?,
    );
    Ok(())
}

/// Sends `count` requests at regular intervals as an open-loop load: each is sent
/// whether or not earlier ones have been answered. Latency counts from the time
/// at which a request was due.
async fn run_turn(
    client: &LoadClient,
    address: SocketAddr,
    rate_per_s: u32,
    count: u32,
) -> Vec<Option<Timing>> {
    let began_at = Instant::now();
    let interval_us = US_PER_S / u64::from(rate_per_s);
    let mut tasks = Vec::new();
    for index in 0..count {
        let due_at = began_at + Duration::from_micros(interval_us * u64::from(index));
        tokio::time::sleep_until(due_at).await;
        let client = client.clone();
        let send = async move { client.chat(address, TOKENS, index, due_at).await };
        tasks.push(tokio::spawn(send));
    }
    let mut timings = Vec::new();
    for task in tasks {
        timings.push(task.await.ok().flatten());
    }
    timings
}

impl RequestPath {
    fn as_str(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Entry => "entry",
        }
    }
}

impl Latencies {
    fn new() -> Result<Self, String> {
        Ok(Self {
            first_token_us: histogram()?,
            total_us: histogram()?,
            requests: 0,
            errors: 0,
        })
    }

    fn add(&mut self, timings: &[Option<Timing>]) {
        for timing in timings {
            self.requests += 1;
            match timing {
                Some(timing) => {
                    self.first_token_us.saturating_record(timing.first_token_us);
                    self.total_us.saturating_record(timing.total_us);
                }
                None => self.errors += 1,
            }
        }
    }

    fn print(&self, rate_per_s: u32, path: RequestPath) {
        println!(
            "overhead rate_per_s={rate_per_s} path={} requests={} errors={} \
             first_token_p50_us={} first_token_p99_us={} total_p50_us={} total_p99_us={}",
            path.as_str(),
            self.requests,
            self.errors,
            self.first_token_us.value_at_quantile(0.5),
            self.first_token_us.value_at_quantile(0.99),
            self.total_us.value_at_quantile(0.5),
            self.total_us.value_at_quantile(0.99),
        );
    }
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_FIGURES).map_err(|error| error.to_string())
}

fn added_us(direct: &Histogram<u64>, routed: &Histogram<u64>, quantile: f64) -> i64 {
    let direct_us = i64::try_from(direct.value_at_quantile(quantile)).unwrap_or(i64::MAX);
    let routed_us = i64::try_from(routed.value_at_quantile(quantile)).unwrap_or(i64::MAX);
    routed_us - direct_us
}
