//! A small fleet of real control programs in one process, for tests.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use control::{Control, ControlSettings};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body::Bytes};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use model::{FailureDomain, InstanceId, Liveness, ModelName, Region, View};
use peer::{PeerClient, PeerRequest, PeerResponse};
use process::{AdminState, NodeSettings, Shutdown};
use serde_json::Value;
use standin::{PlatformSettings, Standin, StandinClient, start_platform};
use store::{InstanceListing, ListedInstance, ListedRole};
use tokio::{task::JoinHandle, time::Instant};

/// Time-out of operations and conditions that must succeed.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time after an accepted change until the configuration is in force on
/// a node.
pub const MAX_IN_FORCE_DELAY: Duration = Duration::from_secs(4);

/// Returns a configuration document with one batch class.
pub fn config_document(complete_within_s: u64) -> String {
    format!(
        "[[class]]\nname = \"clue-bundles\"\nwork = \"batch\"\ncomplete_within_s = {complete_within_s}\n"
    )
}

/// A simulated platform with control programs that use it.
pub struct TestFleet {
    pub platform: Standin,
    pub remote: StandinClient,
    pub nodes: Vec<TestNode>,
    /// Upstreams in the platform's instance list.
    pub upstreams: Vec<ListedInstance>,
}

/// A running control program.
pub struct TestNode {
    pub id: String,
    pub region: String,
    pub operator_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub admin: AdminState,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// A response of the operators' API.
#[derive(Debug)]
pub struct ApiResponse {
    pub status: u16,
    pub body: Value,
}

impl TestFleet {
    /// Starts a platform and one node for each element of `regions`, and waits
    /// until every node sees all nodes as live.
    pub async fn start(regions: &[&str]) -> Self {
        let platform = start_platform(PlatformSettings::default())
            .await
            .expect("platform");
        let remote = StandinClient::new(platform.address());
        let mut fleet = Self {
            platform,
            remote,
            nodes: Vec::new(),
            upstreams: Vec::new(),
        };
        for (index, region) in regions.iter().enumerate() {
            let id = format!("i-{index:02}");
            let node = fleet.start_node(&id, region, None).await;
            fleet.nodes.push(node);
        }
        fleet.publish_listing().await;
        fleet.wait_for_live_controls(regions.len()).await;
        fleet
    }

    /// Starts a node that finds the other nodes by the platform's instance list
    /// and by at most three seeds.
    pub async fn start_node(
        &self,
        id: &str,
        region: &str,
        peer_listen: Option<SocketAddr>,
    ) -> TestNode {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let seeds = self
            .nodes
            .iter()
            .map(|node| node.peer_address)
            .take(3)
            .collect();
        let settings = ControlSettings {
            node: NodeSettings {
                peer_listen: peer_listen.unwrap_or(any_port),
                admin_listen: any_port,
                platform: self.platform.address(),
                instance_id: InstanceId::new(id),
                region: Region::new(region),
                failure_domain: FailureDomain::new(&format!("{region}-a")),
                log_level: "info".to_owned(),
            },
            listen: any_port,
            seeds,
        };
        let admin = AdminState::default();
        let control = Control::start(&settings, admin.clone())
            .await
            .expect("control");
        let shutdown = Shutdown::new();
        let node_shutdown = shutdown.clone();
        TestNode {
            id: id.to_owned(),
            region: region.to_owned(),
            operator_address: control.listen_address(),
            peer_address: control.peer_address(),
            admin,
            shutdown,
            task: tokio::spawn(async move { control.run_until(&node_shutdown).await }),
        }
    }

    /// Sets the platform's instance list to the nodes and upstreams of the fleet.
    pub async fn publish_listing(&self) {
        let nodes = self.nodes.iter().map(|node| ListedInstance {
            id: node.id.clone(),
            role: ListedRole::Node,
            address: node.peer_address.to_string(),
            region: Region::new(&node.region),
            failure_domain: FailureDomain::new(&format!("{}-a", node.region)),
            state: Liveness::Live,
        });
        let mut instances: Vec<_> = nodes.chain(self.upstreams.iter().cloned()).collect();
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        self.remote
            .set_instances(&InstanceListing { instances })
            .await
            .expect("set the instance list");
    }

    /// Waits until every node sees exactly `count` live control programs.
    pub async fn wait_for_live_controls(&self, count: usize) {
        for node in &self.nodes {
            node.wait_for_view(|view| live_controls(view) == count)
                .await;
        }
    }
}

impl TestNode {
    /// Calls the operators' API as an operator without an idempotency key.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> ApiResponse {
        self.call_as(method, path, body, "operator", None).await
    }

    /// Calls the operators' API with the name of the operator and an optional
    /// idempotency key.
    pub async fn call_as(
        &self,
        method: Method,
        path: &str,
        body: &str,
        operator: &str,
        idempotency_key: Option<&str>,
    ) -> ApiResponse {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.operator_address))
            .header("redwingtack-operator", operator);
        if let Some(idempotency_key) = idempotency_key {
            request = request.header("idempotency-key", idempotency_key);
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("request");
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.expect("response");
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.expect("body");
        ApiResponse {
            status,
            body: serde_json::from_slice(&body.to_bytes()).expect("JSON"),
        }
    }

    /// Requests the view as an entry program does; `None` if the node refuses or
    /// cannot be reached.
    pub async fn view(&self, revision: u64, wait_ms: u64) -> Option<View> {
        let request = PeerRequest::ViewSince { revision, wait_ms };
        let deadline = Instant::now() + TIMEOUT;
        let response = PeerClient::new()
            .call(&self.peer_address.to_string(), &request, deadline)
            .await;
        match response {
            Ok(PeerResponse::View(view)) => Some(*view),
            _ => None,
        }
    }

    /// Waits for a view that satisfies `condition` and returns the time that this
    /// took.
    pub async fn wait_for_view(&self, condition: impl Fn(&View) -> bool) -> Duration {
        let started = Instant::now();
        let mut revision = 0;
        while started.elapsed() < TIMEOUT {
            if let Some(view) = self.view(revision, 1_000).await {
                if condition(&view) {
                    return started.elapsed();
                }
                revision = view.revision;
            }
        }
        let view = self.view(0, 0).await;
        panic!(
            "no view of {} satisfied the condition in time: {view:#?}",
            self.id
        );
    }

    /// Waits until `version` or a higher version is in force on the node and
    /// returns the time that this took.
    pub async fn wait_for_version(&self, version: u64) -> Duration {
        self.wait_for_view(|view| view.config.version >= version)
            .await
    }

    /// Ends the program at once without a planned stop, as a kill does, and
    /// returns its peer address.
    pub async fn kill(self) -> SocketAddr {
        self.task.abort();
        let _ = self.task.await;
        self.peer_address
    }

    /// Begins the planned stop and waits until the program has ended.
    pub async fn stop(self) {
        self.shutdown.begin();
        self.task.await.expect("the program ends without a panic");
    }
}

/// Returns the number of live control programs in a view.
pub fn live_controls(view: &View) -> usize {
    view.instances
        .iter()
        .filter(|entry| entry.role == model::InstanceRole::Control)
        .filter(|entry| entry.liveness == Liveness::Live)
        .count()
}

/// Returns an engine for the platform's instance list.
pub fn listed_engine(id: &str, region: &str, address: SocketAddr) -> ListedInstance {
    ListedInstance {
        id: id.to_owned(),
        role: ListedRole::Engine {
            models: vec![ModelName::new("oraculo")],
        },
        address: address.to_string(),
        region: Region::new(region),
        failure_domain: FailureDomain::new(&format!("{region}-a")),
        state: Liveness::Live,
    }
}
