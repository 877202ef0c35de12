//! Programs and stand-ins that `redwingtack dev` runs in its process.

use std::{
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use batch::{Batch, BatchSettings};
use control::{Control, ControlSettings};
use entry::{Entry, EntrySettings};
use http_body_util::Full;
use hyper::{Request, body::Bytes};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use model::{FailureDomain, InstanceId, Liveness, ModelName, Region, ServiceName};
use process::{AdminState, NodeSettings, Shutdown};
use standin::{
    EngineSettings, PlatformSettings, ServiceSettings, Standin, StandinClient, start_engine,
    start_platform, start_service,
};
use store::{InstanceListing, ListedInstance, ListedRole};
use tokio::time::Instant;

use super::config::CONFIG;

const ENGINE_COUNT: usize = 3;
const INSTANCE_ID: &str = "dev";
const REGION: &str = "local";
const FAILURE_DOMAIN: &str = "local-a";
/// Maximum size of a request body at the entry, as by default in production.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Memory limit of the batch program, as by default in production.
const MEMORY_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// Duration of a lease on a chunk of a job, in milliseconds, as by default in
/// production.
const LEASE_MS: u64 = 15_000;
/// Maximum time to apply the configuration, and maximum time until the entry is
/// ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before readiness is checked or the configuration is applied again.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A running fleet in one process.
pub struct DevFleet {
    platform: Standin,
    engines: Vec<Standin>,
    service: Standin,
    control: Control,
    batch: Batch,
    entry: Entry,
    admin: AdminState,
    admin_address: SocketAddr,
}

impl DevFleet {
    /// Starts the stand-ins and programs, and applies the configuration. The entry
    /// serves callers at `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error if a program cannot be started or the configuration is
    /// refused.
    pub async fn start(listen: SocketAddr, shutdown: &Shutdown) -> Result<Self, Box<dyn Error>> {
        let platform = start_platform(PlatformSettings {
            instances_lag_ms: 0,
            ..PlatformSettings::default()
        })
        .await?;
        let mut engines = Vec::new();
        for _ in 0..ENGINE_COUNT {
            engines.push(start_engine(EngineSettings::default()).await?);
        }
        let service = start_service(ServiceSettings::default()).await?;
        let control_settings = control_settings(platform.address());
        let control = Control::start(&control_settings, AdminState::default()).await?;
        let client = StandinClient::new(platform.address());
        let listing = instance_listing(&engines, &service, control.peer_address());
        client.set_instances(&listing).await?;
        apply_config(control.listen_address()).await?;
        let batch_settings = batch_settings(platform.address(), control.peer_address());
        let batch = Batch::start(&batch_settings).await?;
        let entry_settings = entry_settings(listen, platform.address(), control.peer_address());
        let admin = AdminState::new()?;
        let entry = Entry::start(&entry_settings, admin.clone(), shutdown).await?;
        tokio::spawn(process::serve_admin(
            entry_settings.node.admin_listen,
            admin.clone(),
        ));
        Ok(Self {
            platform,
            engines,
            service,
            control,
            batch,
            entry,
            admin,
            admin_address: entry_settings.node.admin_listen,
        })
    }

    /// Waits until the entry accepts requests and knows all upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error after [`START_TIMEOUT`].
    pub async fn wait_until_ready(&self) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + START_TIMEOUT;
        let upstream_count = self.engines.len() + 1;
        while !self.admin.is_ready() || self.entry.upstream_count() < upstream_count {
            if Instant::now() >= deadline {
                return Err("the programs did not become ready in time".into());
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Ok(())
    }

    /// Returns the address of the callers' API.
    pub fn callers_address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Prints the addresses of all programs and stand-ins.
    pub fn print_addresses(&self) {
        println!("callers: http://{}/v1", self.entry.address());
        println!("operators: {}", self.control.listen_address());
        println!("health and metrics: {}", self.admin_address);
        println!("platform (stand-in): {}", self.platform.address());
        for (index, engine) in self.engines.iter().enumerate() {
            println!("engine-{index} (stand-in): {}", engine.address());
        }
        println!("service courts (stand-in): {}", self.service.address());
    }

    /// Serves until `shutdown` has begun and all requests have ended.
    pub async fn run_until(self, shutdown: &Shutdown) {
        self.entry.run_until(shutdown).await;
        self.batch.stop().await;
        self.control.run_until(shutdown).await;
    }
}

fn instance_listing(
    engines: &[Standin],
    service: &Standin,
    control: SocketAddr,
) -> InstanceListing {
    let models = vec![ModelName::new("oraculo"), ModelName::new("platzbot")];
    let courts = ListedRole::Service {
        service: ServiceName::new("courts"),
    };
    let mut instances = vec![
        listed_instance("courts-0", courts, service.address()),
        listed_instance(INSTANCE_ID, ListedRole::Node, control),
    ];
    for (index, engine) in engines.iter().enumerate() {
        let role = ListedRole::Engine {
            models: models.clone(),
        };
        instances.push(listed_instance(
            &format!("engine-{index}"),
            role,
            engine.address(),
        ));
    }
    InstanceListing { instances }
}

fn listed_instance(id: &str, role: ListedRole, address: SocketAddr) -> ListedInstance {
    ListedInstance {
        id: id.to_owned(),
        role,
        address: address.to_string(),
        region: Region::new(REGION),
        failure_domain: FailureDomain::new(FAILURE_DOMAIN),
        state: Liveness::Live,
    }
}

/// Applies [`CONFIG`] through the operators' API. Retries server errors for at
/// most [`START_TIMEOUT`].
async fn apply_config(control: SocketAddr) -> Result<(), Box<dyn Error>> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let request = Request::put(format!("http://{control}/v1/config"))
            .header("redwingtack-operator", "dev")
            .body(Full::new(Bytes::from_static(CONFIG.as_bytes())))?;
        let status = client.request(request).await?.status();
        if status.is_success() {
            return Ok(());
        }
        if !status.is_server_error() || Instant::now() >= deadline {
            return Err(format!("the configuration was refused: {status}").into());
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn control_settings(platform: SocketAddr) -> ControlSettings {
    ControlSettings {
        node: node_settings(platform),
        listen: ephemeral_address(),
        seeds: Vec::new(),
    }
}

fn batch_settings(platform: SocketAddr, control: SocketAddr) -> BatchSettings {
    BatchSettings {
        node: node_settings(platform),
        control,
        memory_limit_bytes: MEMORY_LIMIT_BYTES,
        lease_ms: LEASE_MS,
    }
}

fn entry_settings(listen: SocketAddr, platform: SocketAddr, control: SocketAddr) -> EntrySettings {
    EntrySettings {
        node: NodeSettings {
            admin_listen: free_address().unwrap_or_else(|_| ephemeral_address()),
            ..node_settings(platform)
        },
        listen,
        control,
        body_limit_bytes: BODY_LIMIT_BYTES,
        drain_ms: 0,
        worker_threads: 2,
    }
}

fn node_settings(platform: SocketAddr) -> NodeSettings {
    NodeSettings {
        peer_listen: ephemeral_address(),
        admin_listen: ephemeral_address(),
        platform,
        instance_id: InstanceId::new(INSTANCE_ID),
        region: Region::new(REGION),
        failure_domain: FailureDomain::new(FAILURE_DOMAIN),
        log_level: String::new(),
    }
}

fn ephemeral_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns an address with a port that is free at the time of the call. Another
/// process may bind it before it is used.
fn free_address() -> std::io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(ephemeral_address())?;
    listener.local_addr()
}
