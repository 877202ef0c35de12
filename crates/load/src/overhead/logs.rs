//! Cost of decision logs: processor time and memory of a process that writes as
//! many log lines as an instance does for its requests.

use std::{fs::File, time::Duration};

use process::init_nonblocking_logs_to;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::child::Child;

/// Request rates of one instance, requests per second.
const REQUEST_RATES: [u32; 2] = [200, 2_000];
/// Log lines per request that is served at its first attempt: sent and answered.
const LINES_PER_REQUEST: u32 = 2;
/// Length of a measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);
const WARM_UP_TIME: Duration = Duration::from_secs(1);
/// File that the log lines are written to.
const LOG_OUTPUT: &str = "/dev/null";

/// Measures each request rate and prints one line for it.
pub async fn measure() -> Result<(), String> {
    for requests_per_s in REQUEST_RATES {
        let lines_per_s = requests_per_s * LINES_PER_REQUEST;
        let with_logs = measure_process(lines_per_s, "info").await?;
        let without_logs = measure_process(lines_per_s, "off").await?;
        let cpu_us = with_logs.cpu_us.saturating_sub(without_logs.cpu_us);
        let lines = u64::from(lines_per_s) * MEASUREMENT_TIME.as_secs();
        println!(
            "overhead logs requests_per_s={requests_per_s} lines_per_s={lines_per_s} \
             cpu_us_per_line={:.1} cpu_us_per_s={} rss_bytes={} rss_without_bytes={}",
            per_line(cpu_us, lines),
            cpu_us / MEASUREMENT_TIME.as_secs(),
            with_logs.rss_bytes,
            without_logs.rss_bytes,
        );
    }
    Ok(())
}

/// Writes log lines at a constant rate until the process is killed.
pub async fn write_lines(lines_per_s: u32, level: &str) -> Result<(), String> {
    let output = File::options().write(true).open(LOG_OUTPUT);
    let output = output.map_err(|error| error.to_string())?;
    let _logs = init_nonblocking_logs_to(level, output).map_err(|error| error.to_string())?;
    let mut interval_timer = interval(Duration::from_secs(1) / lines_per_s.max(1));
    interval_timer.set_missed_tick_behavior(MissedTickBehavior::Burst);
    for number in 0_u64.. {
        interval_timer.tick().await;
        log::info!(
            "event=request_sent request={number:016x} route=r-long upstream=i-8d92cb262a load=5 \
             expected_ms=10 left_ms=4993 store_age_ms=697"
        );
    }
    Ok(())
}

#[derive(Debug)]
struct ProcessCost {
    cpu_us: u64,
    rss_bytes: u64,
}

async fn measure_process(lines_per_s: u32, level: &str) -> Result<ProcessCost, String> {
    let child = Child::start_log_writer(lines_per_s, level).await?;
    sleep(WARM_UP_TIME).await;
    let before = child.scheduler_stats()?;
    sleep(MEASUREMENT_TIME).await;
    Ok(ProcessCost {
        cpu_us: child.scheduler_stats()?.since(before).cpu_us,
        rss_bytes: child.rss_bytes()?,
    })
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a measurement are far below 2^52"
)]
fn per_line(cpu_us: u64, lines: u64) -> f64 {
    cpu_us as f64 / lines as f64
}
