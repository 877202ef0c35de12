//! Measures batch jobs on stand-ins and prints one line of `key=value` pairs for each
//! measurement. Usage:
//! `cargo bench -p batch --bench jobs [-- accept|budget|kill|memory]`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    env, fs,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bytes::Bytes;
use standin::{EngineParams, PlatformCounts};
use support::{Client, Fleet, client::custom_ids, line};

/// Number of items in the largest job.
const LARGEST_ITEMS: usize = 160_000;
/// Number of items in the job that measures the table calls.
const BUDGET_ITEMS: usize = 18_000;
/// Number of items in a chunk.
const CHUNK_ITEMS: usize = 200;
/// Number of items in the job of which a lease holder is killed.
const KILL_ITEMS: usize = 6_000;
/// Duration of a lease, in milliseconds; the default of the batch program.
const LEASE_MS: u64 = 15_000;
/// Time for which the largest job runs before the peak memory is read.
const MEMORY_RUN: Duration = Duration::from_secs(25);
/// Time-out of one measurement.
const MEASUREMENT_TIMEOUT: Duration = Duration::from_mins(3);
/// Interval between two polls of a batch.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// First argument of the process that this program starts as the entry.
const ENTRY_CHILD: &str = "entry-child";
const BYTES_PER_KIB: u64 = 1_024;

#[tokio::main]
async fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|first| first == ENTRY_CHILD) {
        return run_entry(&args[1], &args[2]).await;
    }
    let is_selected = |name: &str| {
        let selected: Vec<_> = args.iter().filter(|arg| !arg.starts_with('-')).collect();
        selected.is_empty() || selected.iter().any(|arg| *arg == name)
    };
    if is_selected("accept") {
        measure_accept().await;
    }
    if is_selected("budget") {
        measure_budget().await;
    }
    if is_selected("kill") {
        measure_kill().await;
    }
    if is_selected("memory") {
        measure_memory().await;
    }
}

/// Measures the time and memory that an entry needs to accept the largest job. The
/// entry runs in a separate process.
async fn measure_accept() {
    let fleet = Fleet::start(0).await;
    let entry = EntryChild::start(&fleet).await;
    let client = Client::new(entry.address);
    // The first upload opens connections and makes the allocator reserve memory.
    client.submit(&line("warm-up", "p", 1)).await;
    let rest_bytes = memory_bytes(entry.child.id(), "VmRSS");
    let started_at = Instant::now();
    let file = client.upload_parts(input_parts(LARGEST_ITEMS, 2)).await;
    let batch = client.create(&file.id(), &[]).await;
    let took_ms = started_at.elapsed().as_millis();
    let total = &batch.json()["request_counts"]["total"];
    let peak_bytes = memory_bytes(entry.child.id(), "VmHWM");
    println!(
        "accept items={total} took_ms={took_ms} rest_bytes={rest_bytes} peak_bytes={peak_bytes} \
         growth_bytes={}",
        peak_bytes - rest_bytes
    );
}

/// Measures the table calls of a fleet that runs about 300 items per second.
async fn measure_budget() {
    let fleet = Fleet::start_with(4, engine(10_000.0)).await;
    let _batches: Vec<_> = (0..4)
        .map(|index| fleet.start_batch_with(&format!("b-{index}"), LEASE_MS, &[]))
        .collect();
    let client = fleet.client();
    let file = client.upload_parts(input_parts(BUDGET_ITEMS, 8)).await.id();
    let before = platform_counts(&fleet).await;
    let id = client.create(&file, &[]).await.id();
    let started_at = Instant::now();
    let batch = wait_until_completed(&client, &id).await;
    let elapsed = started_at.elapsed();
    let after = platform_counts(&fleet).await;
    let writes = after.table_writes - before.table_writes;
    // A fresh claim writes two rows, the acceptance of a job three and its completion
    // two.
    let rows = writes + (BUDGET_ITEMS / CHUNK_ITEMS) as u64 + 3;
    let reads = after.table_reads - before.table_reads;
    println!(
        "budget items={} took_ms={} items_per_s={:.0} transactions={writes} \
         transactions_per_s={:.2} rows_written={rows} rows_per_s={:.2} \
         rows_per_thousand_items={:.1} reads={reads} reads_per_thousand_items={:.1} \
         object_writes={} object_reads={}",
        batch["request_counts"]["completed"],
        elapsed.as_millis(),
        rate_per_s(BUDGET_ITEMS as u64, elapsed),
        rate_per_s(writes, elapsed),
        rate_per_s(rows, elapsed),
        ratio(rows * 1_000, BUDGET_ITEMS),
        ratio(reads * 1_000, BUDGET_ITEMS),
        after.object_writes - before.object_writes,
        after.object_reads - before.object_reads,
    );
}

/// Kills one of two lease holders and measures the time until one of its items runs
/// again.
async fn measure_kill() {
    let fleet = Fleet::start_with(2, engine(10_000.0)).await;
    let mut batches: Vec<_> = (0..2)
        .map(|index| fleet.start_batch_with(&format!("b-{index}"), LEASE_MS, &[]))
        .collect();
    let client = fleet.client();
    let file = client.upload_parts(input_parts(KILL_ITEMS, 8)).await.id();
    let id = client.create(&file, &[]).await.id();
    while fleet.start_count().await < 1_000 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    batches[0].kill();
    let killed_at = Instant::now();
    let repeated = |runs: &[(String, u32)]| runs.iter().filter(|(_, runs)| *runs > 1).count();
    while repeated(&fleet.prompt_runs().await) == 0 {
        assert!(
            killed_at.elapsed() < MEASUREMENT_TIMEOUT,
            "no item ran again in time"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let rerun_after_ms = killed_at.elapsed().as_millis();
    let batch = wait_until_completed(&client, &id).await;
    let ids = custom_ids(&client.results(&id, "output").await);
    let mut unique = ids.clone();
    unique.dedup();
    let starts = fleet.start_count().await;
    let run_twice = u64::from(starts) - KILL_ITEMS as u64;
    println!(
        "kill items={KILL_ITEMS} completed={} lease_ms={LEASE_MS} again_after_ms={rerun_after_ms} \
         lost={} doubled={} starts={starts} run_twice={run_twice} run_twice_share={:.4}",
        batch["request_counts"]["completed"],
        KILL_ITEMS - unique.len(),
        ids.len() - unique.len(),
        ratio(run_twice, KILL_ITEMS),
    );
}

/// Measures the peak memory of a batch process that runs the largest job.
async fn measure_memory() {
    let fleet = Fleet::start_with(4, engine(1_000.0)).await;
    let batch = fleet.start_batch_with("b-0", LEASE_MS, &[]);
    let client = fleet.client();
    let file = client
        .upload_parts(input_parts(LARGEST_ITEMS, 4))
        .await
        .id();
    let id = client.create(&file, &[]).await.id();
    tokio::time::sleep(MEMORY_RUN).await;
    let peak_bytes = memory_bytes(batch.pid(), "VmHWM");
    let done = client.batch(&id).await["request_counts"]["completed"].clone();
    println!(
        "memory job_items={LARGEST_ITEMS} ran_s={} committed={done} peak_bytes={peak_bytes}",
        MEMORY_RUN.as_secs()
    );
    client.cancel(&id).await;
}

/// An entry in a separate process, which is killed when this is dropped.
struct EntryChild {
    child: Child,
    address: std::net::SocketAddr,
}

impl EntryChild {
    async fn start(fleet: &Fleet) -> Self {
        let entry_address = std::net::TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .unwrap();
        let child = Command::new(env::current_exe().unwrap())
            .args([ENTRY_CHILD, &entry_address.to_string()])
            .arg(fleet.platform.address().to_string())
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        support::eventually(async || tokio::net::TcpStream::connect(entry_address).await.ok())
            .await;
        Self {
            child,
            address: entry_address,
        }
    }
}

impl Drop for EntryChild {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn run_entry(listen: &str, platform: &str) {
    let view = support::view_with_upstreams(&[], None);
    let view = tokio::sync::watch::Sender::new(std::sync::Arc::new(view));
    let platform = platform.parse().unwrap();
    support::serve_entry(listen, platform, view.subscribe()).await;
}

fn engine(base_us: f64) -> EngineParams {
    EngineParams {
        base_us,
        ..EngineParams::default()
    }
}

/// Returns the parts of an input file of `items` lines. Each part is generated when it
/// is sent.
fn input_parts(
    items: usize,
    max_tokens: u32,
) -> impl Iterator<Item = Bytes> + Send + Sync + 'static {
    (0..items.div_ceil(100)).map(move |part| {
        let mut text = String::new();
        for index in part * 100..items.min((part + 1) * 100) {
            text.push_str(&line(
                &format!("i{index}"),
                &format!("p{index}"),
                max_tokens,
            ));
            text.push('\n');
        }
        Bytes::from(text)
    })
}

async fn platform_counts(fleet: &Fleet) -> PlatformCounts {
    fleet.platform_client().counts().await.unwrap()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a measurement are far below 2^52"
)]
fn ratio(count: u64, unit: usize) -> f64 {
    count as f64 / unit as f64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a measurement are far below 2^52"
)]
fn rate_per_s(count: u64, elapsed: Duration) -> f64 {
    count as f64 / elapsed.as_secs_f64()
}

/// Waits until a batch is completed. Polls it rarely, because each poll adds table reads
/// to the measurement.
async fn wait_until_completed(client: &Client, id: &str) -> serde_json::Value {
    let started_at = Instant::now();
    loop {
        let batch = client.batch(id).await;
        if batch["status"] == "completed" {
            return batch;
        }
        assert!(
            started_at.elapsed() < MEASUREMENT_TIMEOUT,
            "the batch did not complete in time: {batch}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the value of a line of `/proc/PID/status`, in bytes.
fn memory_bytes(pid: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    let kib: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib * BYTES_PER_KIB
}
