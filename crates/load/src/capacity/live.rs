//! Control programs on the stand-in platform, all in one process: time until a
//! configuration is in force on every node, and processor time at idle.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use control::{Control, ControlSettings};
use model::{FailureDomain, FleetConfig, InstanceId, Liveness, Region, View, ViewRevision};
use peer::{PeerClient, PeerRequest, PeerResponse};
use process::{AdminState, NodeSettings, Shutdown};
use standin::{PlatformSettings, Standin, StandinClient, start_platform};
use store::{InstanceListing, ListedInstance, ListedRole, RateLimitedStore, Transaction};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::Instant,
};

use super::cost::{cpu_s, median_and_max};

/// Numbers of nodes: as many as current sites have entry instances, and three
/// times as many.
const SIZES: [u32; 2] = [11, 33];
const REGIONS: [&str; 3] = ["bern", "freiburg", "seeland"];
const CHANGE_COUNT: u64 = 20;
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
const IDLE_PERIOD: Duration = Duration::from_secs(10);
const CONFIG_DOCUMENT: &str =
    "[[class]]\nname = \"clue-bundles\"\nwork = \"batch\"\ncomplete_within_s = 60\n";
const TIMEOUT: Duration = Duration::from_secs(30);

/// Measures each size and prints one line per result.
///
/// # Errors
///
/// Returns a message if a program cannot be started, or a change is refused or
/// not in force before the time-out.
pub async fn measure(run: u32) -> Result<(), String> {
    for size in SIZES {
        let fleet = LiveFleet::start(size).await?;
        let before_s = cpu_s()?;
        tokio::time::sleep(IDLE_PERIOD).await;
        let idle_percent = (cpu_s()? - before_s) / IDLE_PERIOD.as_secs_f64() * 100.0;
        println!(
            "capacity part=live run={run} nodes={size} cpu_percent_per_node_at_rest={:.3}",
            idle_percent / f64::from(size)
        );
        for way in [Way::Operator, Way::Table] {
            let in_force_ms = fleet.apply_changes(way).await?;
            let cases = in_force_ms.len();
            let (p50, max) = median_and_max(in_force_ms);
            println!(
                "capacity part=live run={run} nodes={size} way={way:?} changes={cases} \
                 in_force_ms_p50={p50} in_force_ms_max={max}"
            );
        }
        fleet.stop().await;
    }
    Ok(())
}

/// How a change reaches the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Through the operator API of one of the nodes.
    Operator,
    /// Through the store alone, as if the node that accepted the change had
    /// crashed right after it.
    Table,
}

struct LiveFleet {
    platform: Standin,
    peers: Vec<SocketAddr>,
    operator_addresses: Vec<SocketAddr>,
    shutdown: Shutdown,
    node_tasks: JoinSet<()>,
}

impl LiveFleet {
    async fn start(size: u32) -> Result<Self, String> {
        let platform = start_platform(PlatformSettings::default())
            .await
            .map_err(|error| error.to_string())?;
        let mut fleet = Self {
            platform,
            peers: Vec::new(),
            operator_addresses: Vec::new(),
            shutdown: Shutdown::new(),
            node_tasks: JoinSet::new(),
        };
        let mut instances = Vec::new();
        for index in 0..size {
            let listing = fleet.start_node(index).await?;
            instances.push(listing);
        }
        let platform_client = StandinClient::new(fleet.platform.address());
        platform_client
            .set_instances(&InstanceListing { instances })
            .await
            .map_err(|error| error.to_string())?;
        for peer in fleet.peers.clone() {
            let expected = usize::try_from(size).unwrap_or(0);
            await_view(peer, |view| live_instances(view) == expected).await?;
        }
        Ok(fleet)
    }

    async fn start_node(&mut self, index: u32) -> Result<ListedInstance, String> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let region = REGIONS[usize::try_from(index).unwrap_or(0) % REGIONS.len()];
        let id = format!("instance-{index:03}");
        let settings = ControlSettings {
            node: NodeSettings {
                peer_listen: any_port,
                admin_listen: any_port,
                platform: self.platform.address(),
                instance_id: InstanceId::new(&id),
                region: Region::new(region),
                failure_domain: FailureDomain::new(region),
                log_level: "info".to_owned(),
            },
            listen: any_port,
            seeds: Vec::new(),
        };
        let control = Control::start(&settings, AdminState::default())
            .await
            .map_err(|error| error.to_string())?;
        let peer = control.peer_address();
        let shutdown = self.shutdown.clone();
        self.peers.push(peer);
        self.operator_addresses.push(control.listen_address());
        self.node_tasks
            .spawn(async move { control.run_until(&shutdown).await });
        Ok(ListedInstance {
            id,
            role: ListedRole::Node,
            address: peer.to_string(),
            region: Region::new(region),
            failure_domain: FailureDomain::new(region),
            state: Liveness::Live,
        })
    }

    /// Makes changes, and returns the time from each change until the last node
    /// has it in force, in milliseconds.
    async fn apply_changes(&self, way: Way) -> Result<Vec<u64>, String> {
        let store = RateLimitedStore::new(self.platform.address());
        let first = match way {
            Way::Operator => 1,
            // Continues after the versions of the changes made by `Way::Operator`.
            Way::Table => CHANGE_COUNT + 1,
        };
        let mut times_ms = Vec::new();
        for version in first..first + CHANGE_COUNT {
            tokio::time::sleep(CHANGE_INTERVAL).await;
            let started_at = Instant::now();
            match way {
                Way::Operator => {
                    let index =
                        usize::try_from(version).unwrap_or(0) % self.operator_addresses.len();
                    apply_config(self.operator_addresses[index]).await?;
                }
                Way::Table => commit_config(&store, version).await?,
            }
            let mut waits = JoinSet::new();
            for peer in self.peers.clone() {
                waits.spawn(await_view(peer, move |view| view.config.version >= version));
            }
            while let Some(joined) = waits.join_next().await {
                joined.map_err(|error| error.to_string())??;
            }
            times_ms.push(u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX));
        }
        Ok(times_ms)
    }

    async fn stop(mut self) {
        self.shutdown.begin();
        while self.node_tasks.join_next().await.is_some() {}
    }
}

/// Applies a configuration document as `redwingtack classes apply` does.
async fn apply_config(operator_address: SocketAddr) -> Result<(), String> {
    let response = put_config(operator_address).await;
    let response = response.map_err(|error| error.to_string())?;
    if response.starts_with("HTTP/1.1 200") {
        return Ok(());
    }
    Err(format!(
        "PUT /v1/config failed: expected HTTP status 200, got {response}"
    ))
}

async fn put_config(operator_address: SocketAddr) -> io::Result<String> {
    let head = format!(
        "PUT /v1/config HTTP/1.1\r\nhost: {operator_address}\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        CONFIG_DOCUMENT.len()
    );
    let mut stream = TcpStream::connect(operator_address).await?;
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(CONFIG_DOCUMENT.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response)
}

async fn commit_config(store: &RateLimitedStore, version: u64) -> Result<(), String> {
    let config = FleetConfig {
        version,
        ..FleetConfig::default()
    };
    let value = serde_json::to_vec(&config).map_err(|error| error.to_string())?;
    let transaction = Transaction {
        puts: vec![store::row_id("config/current").with_value(value.into())],
        ..Transaction::default()
    };
    let outcome = store.transact(&transaction).await;
    outcome.map(|_| ()).map_err(|error| error.to_string())
}

async fn await_view(
    peer: SocketAddr,
    condition: impl Fn(&View) -> bool + Send,
) -> Result<(), String> {
    let client = PeerClient::new();
    let address: Arc<str> = Arc::from(peer.to_string());
    let deadline = Instant::now() + TIMEOUT;
    let mut revision: ViewRevision = 0;
    while Instant::now() < deadline {
        let request = PeerRequest::ViewSince {
            revision,
            wait_ms: 1_000,
        };
        let response = client
            .call(&address, &request, Instant::now() + TIMEOUT)
            .await;
        if let Ok(PeerResponse::View(view)) = response {
            if condition(&view) {
                return Ok(());
            }
            revision = view.revision;
        }
    }
    Err(format!(
        "view of node {peer} did not reach the expected state within {TIMEOUT:?}"
    ))
}

fn live_instances(view: &View) -> usize {
    let entries = view.instances.iter();
    entries
        .filter(|entry| entry.liveness == Liveness::Live)
        .count()
}
