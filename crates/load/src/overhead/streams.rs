//! Many concurrent streams: memory and processor time of the entry, and gaps
//! between tokens.

use std::{net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use tokio::time::Instant;

use super::{
    OverheadOptions, RequestPath,
    child::{Child, EngineProfile},
    client::LoadClient,
    histogram,
};

/// Tokens per stream.
const TOKENS: u32 = 200;
/// Time between the starts of two streams, microseconds.
const START_GAP_US: u64 = 1_000;
/// Time from the last start until memory is read, milliseconds.
const SETTLE_MS: u64 = 2_000;

/// Gaps between chunks, and counts of complete and truncated streams.
#[derive(Debug)]
struct Gaps {
    gap_us: Histogram<u64>,
    complete: u32,
    truncated: u32,
}

/// Opens the streams directly and then through an entry, and prints the results
/// of both paths.
pub async fn measure(options: &OverheadOptions) -> Result<(), String> {
    let streams = options.streams;
    let engine = Child::start_engine(EngineProfile::LongSteps).await?;
    let entry = Child::start_entry(engine.address(), options.entry_threads).await?;
    let idle_bytes = entry.rss_bytes()?;
    let direct = run_streams(engine.address(), streams).await?;
    direct.print(streams, RequestPath::Direct);
    let stats_before = entry.scheduler_stats()?;
    let began_at = Instant::now();
    let routed = tokio::spawn(run_streams(entry.address(), streams));
    let all_open_ms = u64::from(streams) * START_GAP_US / 1_000 + SETTLE_MS;
    tokio::time::sleep(Duration::from_millis(all_open_ms)).await;
    let open_bytes = entry.rss_bytes()?;
    let routed = routed.await.map_err(|error| error.to_string())??;
    let took_ms = began_at.elapsed().as_millis();
    let stats = entry.scheduler_stats()?.since(stats_before);
    let tokens = (u64::from(streams) * u64::from(TOKENS)).max(1);
    routed.print(streams, RequestPath::Entry);
    println!(
        "overhead streams={streams} rss_at_rest_bytes={idle_bytes} rss_open_bytes={open_bytes} \
         cpu_us={} cpu_us_per_token={} run_delay_us_per_token={} took_ms={took_ms}",
        stats.cpu_us,
        stats.cpu_us / tokens,
        stats.run_delay_us / tokens,
    );
    Ok(())
}

async fn run_streams(address: SocketAddr, streams: u32) -> Result<Gaps, String> {
    let client = LoadClient::new();
    let mut tasks = Vec::new();
    for index in 0..streams {
        tokio::time::sleep(Duration::from_micros(START_GAP_US)).await;
        let client = client.clone();
        tasks.push(tokio::spawn(async move {
            let mut chunk_times = Vec::new();
            let mut on_chunk = |received_at| chunk_times.push(received_at);
            let timing = client
                .stream(address, TOKENS, index, Instant::now(), &mut on_chunk)
                .await;
            (timing.is_some(), chunk_times)
        }));
    }
    let mut gaps = Gaps {
        gap_us: histogram()?,
        complete: 0,
        truncated: 0,
    };
    for task in tasks {
        let (is_complete, chunk_times) = task.await.map_err(|error| error.to_string())?;
        gaps.add(is_complete, &chunk_times);
    }
    Ok(gaps)
}

impl Gaps {
    fn add(&mut self, is_complete: bool, chunk_times: &[Instant]) {
        if is_complete {
            self.complete += 1;
        } else {
            self.truncated += 1;
        }
        for pair in chunk_times.windows(2) {
            let gap = pair[1].saturating_duration_since(pair[0]);
            let gap_us = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
            self.gap_us.saturating_record(gap_us);
        }
    }

    fn print(&self, streams: u32, path: RequestPath) {
        println!(
            "overhead streams={streams} path={} whole={} cut={} gap_p50_us={} gap_p99_us={}",
            path.as_str(),
            self.complete,
            self.truncated,
            self.gap_us.value_at_quantile(0.5),
            self.gap_us.value_at_quantile(0.99),
        );
    }
}
