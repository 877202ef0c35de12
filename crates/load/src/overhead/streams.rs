//! Many streams at once: memory, processor time and gaps between tokens.

use std::{net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use tokio::time::Instant;

use super::{
    OverheadOptions, Path,
    child::{Child, EngineShape},
    client::LoadClient,
    histogram,
};

/// Tokens of each stream.
const TOKENS: u32 = 200;
/// Time between the starts of two streams, microseconds.
const START_GAP_US: u64 = 1_000;
/// Time after the last start until memory is read, milliseconds.
const SETTLE_MS: u64 = 2_000;

/// What the callers of all streams saw.
#[derive(Debug)]
struct Gaps {
    gap_us: Histogram<u64>,
    whole: u32,
    cut: u32,
}

/// Opens the streams directly and then through an entry, and prints both.
pub async fn measure(options: &OverheadOptions) -> Result<(), String> {
    let streams = options.streams;
    let engine = Child::start_engine(EngineShape::Wide).await?;
    let entry = Child::start_entry(engine.address(), options.entry_threads).await?;
    let rest_bytes = entry.rss_bytes()?;
    let direct = run(engine.address(), streams).await?;
    direct.print(streams, Path::Direct);
    let before = entry.scheduling()?;
    let began_at = Instant::now();
    let routed = tokio::spawn(run(entry.address(), streams));
    let all_open_ms = u64::from(streams) * START_GAP_US / 1_000 + SETTLE_MS;
    tokio::time::sleep(Duration::from_millis(all_open_ms)).await;
    let open_bytes = entry.rss_bytes()?;
    let routed = routed.await.map_err(|error| error.to_string())??;
    let took_ms = began_at.elapsed().as_millis();
    let spent = entry.scheduling()?.since(before);
    let tokens = (u64::from(streams) * u64::from(TOKENS)).max(1);
    routed.print(streams, Path::Entry);
    println!(
        "overhead streams={streams} rss_at_rest_bytes={rest_bytes} rss_open_bytes={open_bytes} \
         cpu_us={} cpu_us_per_token={} run_delay_us_per_token={} took_ms={took_ms}",
        spent.cpu_us,
        spent.cpu_us / tokens,
        spent.run_delay_us / tokens,
    );
    Ok(())
}

async fn run(address: SocketAddr, streams: u32) -> Result<Gaps, String> {
    let client = LoadClient::new();
    let mut tasks = Vec::new();
    for index in 0..streams {
        tokio::time::sleep(Duration::from_micros(START_GAP_US)).await;
        let client = client.clone();
        tasks.push(tokio::spawn(async move {
            let mut parts = Vec::new();
            let mut on_part = |at| parts.push(at);
            let whole = client
                .stream(address, TOKENS, index, Instant::now(), &mut on_part)
                .await;
            (whole.is_some(), parts)
        }));
    }
    let mut gaps = Gaps {
        gap_us: histogram()?,
        whole: 0,
        cut: 0,
    };
    for task in tasks {
        let (is_whole, parts) = task.await.map_err(|error| error.to_string())?;
        gaps.add(is_whole, &parts);
    }
    Ok(gaps)
}

impl Gaps {
    fn add(&mut self, is_whole: bool, parts: &[Instant]) {
        if is_whole {
            self.whole += 1;
        } else {
            self.cut += 1;
        }
        for pair in parts.windows(2) {
            let gap = pair[1].saturating_duration_since(pair[0]);
            let gap_us = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
            self.gap_us.saturating_record(gap_us);
        }
    }

    fn print(&self, streams: u32, path: Path) {
        println!(
            "overhead streams={streams} path={} whole={} cut={} gap_p50_us={} gap_p99_us={}",
            path.as_str(),
            self.whole,
            self.cut,
            self.gap_us.value_at_quantile(0.5),
            self.gap_us.value_at_quantile(0.99),
        );
    }
}
