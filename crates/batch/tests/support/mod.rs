//! A fleet for tests: stand-ins, entries that serve only the job routes, a minimal
//! control program, and batch programs that run as separate processes.

// Each test file uses only a part of this module.
#![allow(dead_code)]

pub mod client;
pub mod control;

use std::{
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::Arc,
    time::Duration,
};

use job_api::JobApi;
use job_store::JobStore;
use model::{
    FailureDomain, Liveness, ModelName, Region, ServiceName, UpstreamEntry, UpstreamId,
    UpstreamKind, View, parse_config,
};
use peer::PeerClient;
use salvo::{Router, Server, conn::TcpListener, prelude::Listener};
use standin::{
    EngineParams, EngineSettings, PlatformSettings, ServiceSettings, Standin, StandinClient,
    start_engine, start_platform, start_service,
};
use store::RateLimitedStore;

use tokio::sync::watch;

pub use client::Client;
use control::Control;

/// Default time-out of a wait in a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Default lease duration of the batch programs in tests, in milliseconds.
pub const LEASE_MS: u64 = 1_500;
pub const REGION: &str = "andes";
pub const MODEL: &str = "oraculo";

const CONFIG: &str = r#"
[[class]]
name = "booking"
work = "service"
service = "courts"
answer_within_ms = 2000
idempotent = false

[[class]]
name = "bundle"
work = "batch"
complete_within_s = 600

[[class]]
name = "hint"
work = "online"
first_token_ms = 2000
between_tokens_ms = 100

[[model]]
name = "oraculo"
online_class = "hint"
batch_class = "bundle"
"#;

/// A fleet without its batch programs.
pub struct Fleet {
    pub platform: Standin,
    pub engines: Vec<Standin>,
    pub service: Standin,
    pub control: Control,
    pub entries: Vec<SocketAddr>,
}

/// A batch program in a separate process, which is killed when this is dropped.
pub struct BatchProcess {
    child: Child,
}

impl Fleet {
    /// Starts a platform, this number of engines, a service, a control program and two
    /// entries.
    pub async fn start(engines: usize) -> Self {
        let params = EngineParams {
            base_us: 2_000.0,
            ..EngineParams::default()
        };
        Self::start_with(engines, params).await
    }

    /// Like [`Fleet::start`], with engines that have these parameters.
    pub async fn start_with(engines: usize, params: EngineParams) -> Self {
        let platform = start_platform(PlatformSettings::default()).await.unwrap();
        let service = start_service(ServiceSettings {
            answer_ms: 5,
            ..ServiceSettings::default()
        });
        let service = service.await.unwrap();
        let mut running = Vec::new();
        for _ in 0..engines {
            let settings = EngineSettings {
                models: vec![ModelName::new(MODEL)],
                params: params.clone(),
                ..EngineSettings::default()
            };
            running.push(start_engine(settings).await.unwrap());
        }
        let control = Control::start(view_with_upstreams(&running, Some(&service))).await;
        let mut entries = Vec::new();
        for _ in 0..2 {
            entries.push(start_entry(platform.address(), &control).await);
        }
        Self {
            platform,
            engines: running,
            service,
            control,
            entries,
        }
    }

    /// Returns a client of the first entry.
    pub fn client(&self) -> Client {
        Client::new(self.entries[0])
    }

    /// Returns a handle that injects faults into the platform and reads its counters.
    pub fn platform_client(&self) -> StandinClient {
        StandinClient::new(self.platform.address())
    }

    /// Starts a batch program with the default lease duration.
    pub fn start_batch(&self, instance: &str) -> BatchProcess {
        self.start_batch_with(instance, LEASE_MS, &[])
    }

    /// Starts a batch program with this lease duration and additional flags.
    pub fn start_batch_with(&self, instance: &str, lease_ms: u64, flags: &[&str]) -> BatchProcess {
        self.start_batch_in(REGION, instance, lease_ms, flags)
    }

    /// Starts a batch program in this region.
    pub fn start_batch_in(
        &self,
        region: &str,
        instance: &str,
        lease_ms: u64,
        flags: &[&str],
    ) -> BatchProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_redwingtack-batch"));
        command
            .args(["--peer-listen", "127.0.0.1:0"])
            .args(["--admin-listen", "127.0.0.1:0"])
            .args(["--control", &self.control.address.to_string()])
            .args(["--platform", &self.platform.address().to_string()])
            .args(["--instance-id", instance])
            .args(["--region", region])
            .args(["--failure-domain", "lima-a"])
            .args(["--lease-ms", &lease_ms.to_string()])
            .args(["--log-level", "info"])
            .args(flags)
            .stdin(Stdio::null());
        let child = command.spawn().unwrap();
        BatchProcess { child }
    }

    /// Returns how often each prompt was started, summed over all engines and sorted by
    /// prompt.
    pub async fn prompt_runs(&self) -> Vec<(String, u32)> {
        let mut runs: Vec<(String, u32)> = Vec::new();
        for engine in &self.engines {
            let counts = StandinClient::new(engine.address()).runs().await.unwrap();
            for count in counts.prompts {
                match runs.binary_search_by(|(id, _)| id.cmp(&count.id)) {
                    Ok(index) => runs[index].1 += count.runs,
                    Err(index) => runs.insert(index, (count.id, count.runs)),
                }
            }
        }
        runs
    }

    /// Returns the number of items started at one engine.
    pub async fn start_count_at(&self, engine: usize) -> u32 {
        let client = StandinClient::new(self.engines[engine].address());
        let counts = client.runs().await.unwrap();
        counts.prompts.iter().map(|count| count.runs).sum()
    }

    /// Returns the number of items started at all engines.
    pub async fn start_count(&self) -> u32 {
        self.prompt_runs().await.iter().map(|(_, runs)| runs).sum()
    }
}

impl BatchProcess {
    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends the signal with this name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits up to a minute for the process to exit. Returns whether it exited
    /// successfully.
    pub async fn wait_for_exit(&mut self) -> bool {
        for _ in 0..600 {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Returns the exit status, or `None` while the process is running.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for BatchProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a valid input line with a chat request for [`MODEL`].
pub fn line(custom_id: &str, prompt: &str, max_tokens: u32) -> String {
    format!(
        r#"{{"custom_id":"{custom_id}","method":"POST","url":"/v1/chat/completions","body":{{"model":"{MODEL}","messages":[{{"role":"user","content":"{prompt}"}}],"max_tokens":{max_tokens}}}}}"#
    )
}

/// Returns `count` valid input lines with different prompts.
pub fn lines(count: usize, max_tokens: u32) -> String {
    let lines =
        (0..count).map(|index| line(&format!("i{index}"), &format!("p{index}"), max_tokens));
    lines.collect::<Vec<_>>().join("\n")
}

async fn start_entry(platform: SocketAddr, control: &Control) -> SocketAddr {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let address = acceptor.local_addr().unwrap();
    let service = job_routes(platform, control.subscribe());
    tokio::spawn(Server::new(acceptor).serve(service));
    address
}

/// Serves the job routes at the address `listen`. Does not return.
pub async fn serve_entry(listen: &str, platform: SocketAddr, view: watch::Receiver<Arc<View>>) {
    let acceptor = TcpListener::new(listen.to_owned()).bind().await;
    Server::new(acceptor)
        .serve(job_routes(platform, view))
        .await;
}

fn job_routes(platform: SocketAddr, view: watch::Receiver<Arc<View>>) -> Router {
    let process = uuid::Uuid::new_v4().as_u64_pair().0;
    let store = JobStore::new(RateLimitedStore::new(platform), process);
    let region = Region::new(REGION);
    let api = JobApi::new(store, view, region, PeerClient::new());
    Router::new().push(Router::with_path("v1").push(api.router()))
}

/// Returns a view with these upstreams and without instances.
pub fn view_with_upstreams(engines: &[Standin], service: Option<&Standin>) -> View {
    let mut config = parse_config(CONFIG).unwrap();
    config.version = 1;
    let engine_entries = engines.iter().enumerate().map(|(index, engine)| {
        let kind = UpstreamKind::Engine {
            models: vec![ModelName::new(MODEL)],
        };
        upstream_entry(&format!("engine-{index}"), engine.address(), kind)
    });
    let mut upstreams: Vec<_> = engine_entries.collect();
    if let Some(service) = service {
        let kind = UpstreamKind::Service {
            service: ServiceName::new("courts"),
        };
        upstreams.push(upstream_entry("service-courts", service.address(), kind));
    }
    View {
        revision: 1,
        config,
        instances: Vec::new(),
        upstreams,
    }
}

fn upstream_entry(id: &str, address: SocketAddr, kind: UpstreamKind) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(id),
        address: address.to_string(),
        kind,
        region: Region::new(REGION),
        failure_domain: FailureDomain::new("lima-a"),
        liveness: Liveness::Live,
    }
}

/// Polls `probe` until it returns a value. Panics after [`WAIT_TIMEOUT`].
pub async fn eventually<T, F: Future<Output = Option<T>>>(probe: impl Fn() -> F) -> T {
    eventually_within(WAIT_TIMEOUT, probe).await
}

/// Polls `probe` until it returns a value. Panics after `timeout`.
pub async fn eventually_within<T, F: Future<Output = Option<T>>>(
    timeout: Duration,
    probe: impl Fn() -> F,
) -> T {
    let poll = async {
        loop {
            if let Some(value) = probe().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let value = tokio::time::timeout(timeout, poll).await;
    value.expect("the probe should return a value within the time-out")
}
