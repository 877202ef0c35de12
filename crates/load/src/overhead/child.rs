//! Child processes that run an engine, an entry or a log writer, and their
//! statistics from the operating system.

use std::{env, fs, net::SocketAddr, process::Stdio, sync::Arc};

use bpaf::{Parser, construct, long};
use entry::{Entry, EntrySettings, ViewSource};
use model::{
    Class, ClassName, ClassTarget, FailureDomain, FleetConfig, InstanceId, Liveness, ModelDefaults,
    ModelName, Region, UpstreamEntry, UpstreamId, UpstreamKind, View,
};
use process::{AdminState, NodeSettings, Shutdown};
use standin::{EngineParams, EngineSettings, start_engine};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::Command,
    sync::watch,
};

use super::logs;

const MODEL: &str = "oraculo";
const CLASS: &str = "hint";
const REGION: &str = "local";
/// Latency targets so long that no request of the measurement misses them.
const FIRST_TOKEN_MS: u64 = 10_000;
const BETWEEN_TOKENS_MS: u64 = 1_000;
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;
const BYTES_PER_KIB: u64 = 1_024;
const NS_PER_US: u64 = 1_000;

/// Step times of the stand-in engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineProfile {
    /// Steps of 1 ms, so that the path dominates the latency.
    ShortSteps,
    /// Steps of 50 ms for any number of streams.
    LongSteps,
}

/// Options of a child process; they determine what it runs.
#[derive(Debug, Clone)]
pub struct ChildOptions {
    /// Length of an engine's step, microseconds; `None` unless the child runs an
    /// engine.
    step_us: Option<u32>,
    /// Address of the engine that an entry routes to.
    engine: Option<SocketAddr>,
    /// Worker threads.
    threads: Option<usize>,
    /// Log lines per second of a process that only writes logs.
    log_lines_per_s: Option<u32>,
    /// Logger specification of that process, such as a log level.
    log_level: Option<String>,
}

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Child {
    process: tokio::process::Child,
    address: SocketAddr,
}

/// Time that the threads of a process spent on a processor and in the run queue.
/// The time in the run queue shows the effect of other processes on the machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct SchedulerStats {
    /// Time on a processor, microseconds.
    pub cpu_us: u64,
    /// Time ready to run but waiting for a processor, microseconds.
    pub run_delay_us: u64,
}

impl SchedulerStats {
    /// Returns the difference to an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            cpu_us: self.cpu_us.saturating_sub(earlier.cpu_us),
            run_delay_us: self.run_delay_us.saturating_sub(earlier.run_delay_us),
        }
    }
}

/// Returns the parser of [`ChildOptions`], for the hidden subcommand that the
/// measurement starts child processes with.
#[must_use]
pub fn child_options() -> impl Parser<ChildOptions> {
    let step_us = long("step-us").argument("US").optional();
    let engine = long("engine").argument("IP:PORT").optional();
    let threads = long("threads").argument("N").optional();
    let log_lines_per_s = long("log-lines-per-s").argument("N").optional();
    let log_level = long("log-level").argument("LEVEL").optional();
    construct!(ChildOptions {
        step_us,
        engine,
        threads,
        log_lines_per_s,
        log_level,
    })
}

/// Runs an engine, an entry or a log writer until killed. Prints its address
/// first.
///
/// # Errors
///
/// Returns an error if the engine, entry or log writer cannot start.
pub fn run_child(options: &ChildOptions) -> Result<(), String> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all();
    if let Some(threads) = options.threads {
        builder.worker_threads(threads);
    }
    let runtime = builder.build().map_err(|error| error.to_string())?;
    runtime.block_on(async {
        if let Some(step_us) = options.step_us {
            run_engine(step_us).await
        } else if let Some(lines_per_s) = options.log_lines_per_s {
            // Nothing listens on this address; the line only tells the parent
            // process that this one runs.
            println!("{}", SocketAddr::from(([127, 0, 0, 1], 0)));
            logs::write_lines(lines_per_s, options.log_level.as_deref().unwrap_or("info")).await
        } else {
            let engine = options
                .engine
                .ok_or("one of --step-us, --log-lines-per-s and --engine is required")?;
            run_entry(engine).await
        }
    })
}

impl EngineProfile {
    fn step_us(self) -> u32 {
        match self {
            Self::ShortSteps => 1_000,
            Self::LongSteps => 50_000,
        }
    }
}

impl Child {
    /// Starts a stand-in engine.
    pub async fn start_engine(profile: EngineProfile) -> Result<Self, String> {
        let step_us = profile.step_us().to_string();
        Self::start(&["--step-us".to_owned(), step_us]).await
    }

    /// Starts an entry whose view contains one engine.
    pub async fn start_entry(engine: SocketAddr, threads: Option<u32>) -> Result<Self, String> {
        let mut arguments = vec!["--engine".to_owned(), engine.to_string()];
        if let Some(threads) = threads {
            arguments.extend(["--threads".to_owned(), threads.to_string()]);
        }
        Self::start(&arguments).await
    }

    /// Starts a process that only writes logs.
    pub async fn start_log_writer(lines_per_s: u32, level: &str) -> Result<Self, String> {
        let lines_per_s = lines_per_s.to_string();
        let arguments = ["--log-lines-per-s", &lines_per_s, "--log-level", level];
        Self::start(&arguments.map(str::to_owned)).await
    }

    /// Returns the address on which the process listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the scheduler statistics of the process so far, summed over its
    /// threads.
    pub fn scheduler_stats(&self) -> Result<SchedulerStats, String> {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.pid()?));
        let mut total = SchedulerStats::default();
        for task in tasks.map_err(|error| error.to_string())?.flatten() {
            let statistics = fs::read_to_string(task.path().join("schedstat"));
            // A thread may end between the listing and the read, and then
            // counts as zero.
            let statistics = statistics.unwrap_or_default();
            let mut fields = statistics.split_whitespace().map(str::parse);
            let mut next_us = || fields.next().and_then(Result::ok).unwrap_or(0) / NS_PER_US;
            total.cpu_us += next_us();
            total.run_delay_us += next_us();
        }
        Ok(total)
    }

    /// Returns the resident memory of the process in bytes.
    pub fn rss_bytes(&self) -> Result<u64, String> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?));
        let status = status.map_err(|error| error.to_string())?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.map(|kib| kib * BYTES_PER_KIB)
            .ok_or_else(|| "/proc/PID/status has no VmRSS line in kB".to_owned())
    }

    async fn start(arguments: &[String]) -> Result<Self, String> {
        let program = env::current_exe().map_err(|error| error.to_string())?;
        let mut process = Command::new(program)
            .arg("overhead-child")
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| error.to_string())?;
        let output = process
            .stdout
            .take()
            .ok_or("child process has no stdout pipe")?;
        let line = BufReader::new(output).lines().next_line().await;
        let line = line.map_err(|error| error.to_string())?;
        let line = line.ok_or("child process ended before it printed its address")?;
        let address = line
            .parse()
            .map_err(|_| format!("expected IP:PORT from child process, got {line}"))?;
        Ok(Self { process, address })
    }

    fn pid(&self) -> Result<u32, String> {
        self.process
            .id()
            .ok_or_else(|| "child process has ended".to_owned())
    }
}

async fn run_engine(step_us: u32) -> Result<(), String> {
    let settings = EngineSettings {
        models: vec![ModelName::new(MODEL)],
        params: EngineParams {
            base_us: f64::from(step_us),
            per_sequence_us: 0.0,
            prompt_token_us: 0.0,
            running_max: usize::MAX,
            ..EngineParams::default()
        },
        ..EngineSettings::default()
    };
    let engine = start_engine(settings).await;
    let engine = engine.map_err(|error| error.to_string())?;
    println!("{}", engine.address());
    std::future::pending().await
}

async fn run_entry(engine: SocketAddr) -> Result<(), String> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = EntrySettings {
        node: NodeSettings {
            peer_listen: any_port,
            admin_listen: any_port,
            platform: any_port,
            instance_id: InstanceId::new("entry-0"),
            region: Region::new(REGION),
            failure_domain: FailureDomain::new("local-a"),
            log_level: String::new(),
        },
        listen: any_port,
        control: any_port,
        body_limit_bytes: BODY_LIMIT_BYTES,
        drain_ms: 0,
        // Only the entry program's own `main` reads this field.
        worker_threads: 1,
    };
    let (_sender, view) = watch::channel(Arc::new(single_engine_view(engine)));
    let admin = AdminState::new().map_err(|error| error.to_string())?;
    let shutdown = Shutdown::new();
    let view_source = ViewSource::from_receiver(view);
    let entry = Entry::start_with_view_source(&settings, view_source, admin, &shutdown).await;
    let entry = entry.map_err(|error| error.to_string())?;
    println!("{}", entry.address());
    entry.run_until(&shutdown).await;
    Ok(())
}

fn single_engine_view(engine: SocketAddr) -> View {
    let class = Class {
        name: ClassName::new(CLASS),
        target: ClassTarget::Online {
            first_token_ms: FIRST_TOKEN_MS,
            between_tokens_ms: BETWEEN_TOKENS_MS,
            percent: 95,
        },
        customer_requests_per_s: None,
    };
    let defaults = ModelDefaults {
        model: ModelName::new(MODEL),
        online_class: Some(class.name.clone()),
        batch_class: None,
    };
    View {
        revision: 1,
        config: FleetConfig {
            version: 1,
            classes: vec![class],
            models: vec![defaults],
        },
        instances: Vec::new(),
        upstreams: vec![UpstreamEntry {
            id: UpstreamId::new("engine-0"),
            address: engine.to_string(),
            kind: UpstreamKind::Engine {
                models: vec![ModelName::new(MODEL)],
            },
            region: Region::new(REGION),
            failure_domain: FailureDomain::new("local-a"),
            liveness: Liveness::Live,
        }],
    }
}
