//! The programs and stand-ins that `redwingtack dev` runs.

use std::{
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use entry::{Entry, EntrySettings, Fleet};
use model::{
    FailureDomain, InstanceId, Liveness, ModelName, Region, ServiceName, UpstreamEntry, UpstreamId,
    UpstreamKind, View,
};
use process::{AdminState, Shutdown};
use standin::{
    EngineSettings, PlatformSettings, ServiceSettings, Standin, start_engine, start_platform,
    start_service,
};
use tokio::sync::watch;

use super::config::CONFIG;

const ENGINES: usize = 3;
const REGION: &str = "local";
const FAILURE_DOMAIN: &str = "local-a";
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// A running fleet in one process.
pub struct DevFleet {
    platform: Standin,
    engines: Vec<Standin>,
    service: Standin,
    entry: Entry,
    admin: SocketAddr,
    _view: watch::Sender<Arc<View>>,
}

impl DevFleet {
    /// Starts everything.
    pub async fn start(listen: SocketAddr, shutdown: &Shutdown) -> Result<Self, Box<dyn Error>> {
        let platform = start_platform(PlatformSettings::default()).await?;
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            engines.push(start_engine(EngineSettings::default()).await?);
        }
        let service = start_service(ServiceSettings::default()).await?;
        let (sender, view) = watch::channel(Arc::new(view(&engines, &service)?));
        let admin = AdminState::new()?;
        let admin_listen = free_address()?;
        tokio::spawn(process::serve_admin(admin_listen, admin.clone()));
        let settings = EntrySettings {
            listen,
            peer_listen: free_address()?,
            admin_listen,
            control: free_address()?,
            platform: platform.address(),
            instance_id: InstanceId::new("dev"),
            region: Region::new(REGION),
            failure_domain: FailureDomain::new(FAILURE_DOMAIN),
            body_limit_bytes: BODY_LIMIT_BYTES,
            drain_ms: 0,
            log_level: String::new(),
        };
        let fleet = Fleet::from_receiver(view);
        let entry = Entry::start_with_fleet(&settings, fleet, admin, shutdown).await?;
        Ok(Self {
            platform,
            engines,
            service,
            entry,
            admin: admin_listen,
            _view: sender,
        })
    }

    /// Address of the callers' API.
    pub fn address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Prints where everything listens.
    pub fn print_addresses(&self) {
        println!("platform: {}", self.platform.address());
        for (index, engine) in self.engines.iter().enumerate() {
            println!("engine-{index}: {}", engine.address());
        }
        println!("service courts: {}", self.service.address());
        println!("health and metrics: {}", self.admin);
    }

    /// Serves until `shutdown` begins and every request has ended.
    pub async fn run_until(self, shutdown: &Shutdown) {
        self.entry.run_until(shutdown).await;
    }
}

fn view(engines: &[Standin], service: &Standin) -> Result<View, Box<dyn Error>> {
    let mut config = model::parse_config(CONFIG).map_err(|problems| format!("{problems:?}"))?;
    config.version = 1;
    let models = [ModelName::new("oraculo"), ModelName::new("platzbot")];
    let mut upstreams: Vec<UpstreamEntry> = Vec::new();
    upstreams.push(upstream(
        "courts-0",
        service.address(),
        UpstreamKind::Service {
            service: ServiceName::new("courts"),
        },
    ));
    for (index, engine) in engines.iter().enumerate() {
        let kind = UpstreamKind::Engine {
            models: models.to_vec(),
        };
        let id = format!("engine-{index}");
        upstreams.push(upstream(&id, engine.address(), kind));
    }
    Ok(View {
        revision: 1,
        config,
        instances: Vec::new(),
        upstreams,
    })
}

fn upstream(id: &str, address: SocketAddr, kind: UpstreamKind) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(id),
        address: address.to_string(),
        kind,
        region: Region::new(REGION),
        failure_domain: FailureDomain::new(FAILURE_DOMAIN),
        liveness: Liveness::Live,
    }
}

/// An address with a port that was free a moment ago.
fn free_address() -> std::io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.local_addr()
}
