//! A small fleet of real control programs in one process.

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

/// Longest wait for something that must come.
pub const LONG: Duration = Duration::from_secs(30);
/// Time within which a configuration has to be in force everywhere.
pub const IN_FORCE: Duration = Duration::from_secs(4);

/// A configuration document with one class.
pub fn document(complete_within_s: u64) -> String {
    format!(
        "[[class]]\nname = \"clue-bundles\"\nwork = \"batch\"\ncomplete_within_s = {complete_within_s}\n"
    )
}

/// A platform with control programs on it.
pub struct TestFleet {
    pub platform: Standin,
    pub remote: StandinClient,
    pub nodes: Vec<TestNode>,
    pub upstreams: Vec<ListedInstance>,
}

/// A running control program.
pub struct TestNode {
    pub id: String,
    pub region: String,
    pub listen: SocketAddr,
    pub peer: SocketAddr,
    pub admin: AdminState,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// An answer of the operators' API.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

impl TestFleet {
    /// Starts a platform with `regions.len()` nodes and waits until all know
    /// each other.
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
        fleet.publish_list().await;
        fleet.wait_until_known(regions.len()).await;
        fleet
    }

    /// Starts a node that finds the others by the list and by the first node.
    pub async fn start_node(
        &self,
        id: &str,
        region: &str,
        peer_listen: Option<SocketAddr>,
    ) -> TestNode {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let seeds = self.nodes.iter().map(|node| node.peer).take(3).collect();
        let settings = ControlSettings {
            node: NodeSettings {
                peer_listen: peer_listen.unwrap_or(any),
                admin_listen: any,
                platform: self.platform.address(),
                instance_id: InstanceId::new(id),
                region: Region::new(region),
                failure_domain: FailureDomain::new(&format!("{region}-a")),
                log_level: "info".to_owned(),
            },
            listen: any,
            seeds,
        };
        let admin = AdminState::default();
        let control = Control::start(&settings, admin.clone())
            .await
            .expect("control");
        let shutdown = Shutdown::new();
        let stopping = shutdown.clone();
        TestNode {
            id: id.to_owned(),
            region: region.to_owned(),
            listen: control.listen_address(),
            peer: control.peer_address(),
            admin,
            shutdown,
            task: tokio::spawn(async move { control.run_until(&stopping).await }),
        }
    }

    /// Puts the nodes and upstreams on the platform's list.
    pub async fn publish_list(&self) {
        let nodes = self.nodes.iter().map(|node| ListedInstance {
            id: node.id.clone(),
            role: ListedRole::Node,
            address: node.peer.to_string(),
            region: Region::new(&node.region),
            failure_domain: FailureDomain::new(&format!("{}-a", node.region)),
            state: Liveness::Live,
        });
        let mut instances: Vec<_> = nodes.chain(self.upstreams.iter().cloned()).collect();
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        self.remote
            .set_instances(&InstanceListing { instances })
            .await
            .expect("list");
    }

    /// Waits until each node sees `count` live control programs.
    pub async fn wait_until_known(&self, count: usize) {
        for node in &self.nodes {
            node.wait_for_view(|view| live_controls(view) == count)
                .await;
        }
    }
}

impl TestNode {
    /// Calls the operators' API.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> Answer {
        self.call_as(method, path, body, "operator", None).await
    }

    /// Calls the operators' API under a name and an idempotency key.
    pub async fn call_as(
        &self,
        method: Method,
        path: &str,
        body: &str,
        operator: &str,
        key: Option<&str>,
    ) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.listen))
            .header("redwingtack-operator", operator);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("request");
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.expect("response");
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.expect("body");
        Answer {
            status,
            body: serde_json::from_slice(&body.to_bytes()).expect("JSON"),
        }
    }

    /// Asks for the view as an entry does.
    pub async fn view(&self, revision: u64, wait_ms: u64) -> Option<View> {
        let request = PeerRequest::ViewSince { revision, wait_ms };
        let deadline = Instant::now() + LONG;
        let answer = PeerClient::new()
            .call(&self.peer.to_string(), &request, deadline)
            .await;
        match answer {
            Ok(PeerResponse::View(view)) => Some(*view),
            _ => None,
        }
    }

    /// Waits for a view that fulfils `condition` and returns the time it took.
    pub async fn wait_for_view(&self, condition: impl Fn(&View) -> bool) -> Duration {
        let started = Instant::now();
        let mut revision = 0;
        while started.elapsed() < LONG {
            if let Some(view) = self.view(revision, 1_000).await {
                if condition(&view) {
                    return started.elapsed();
                }
                revision = view.revision;
            }
        }
        let view = self.view(0, 0).await;
        panic!("{} has not reached the condition: {view:#?}", self.id);
    }

    /// Waits until `version` or a higher one is in force.
    pub async fn wait_for_version(&self, version: u64) -> Duration {
        self.wait_for_view(|view| view.config.version >= version)
            .await
    }

    /// Ends the program at once, as a kill does.
    pub async fn kill(self) -> SocketAddr {
        self.task.abort();
        let _ = self.task.await;
        self.peer
    }

    /// Begins the planned stop and waits for the end.
    pub async fn stop(self) {
        self.shutdown.begin();
        self.task.await.expect("the program ends");
    }
}

/// Live control programs in a view.
pub fn live_controls(view: &View) -> usize {
    view.instances
        .iter()
        .filter(|entry| entry.role == model::InstanceRole::Control)
        .filter(|entry| entry.liveness == Liveness::Live)
        .count()
}

/// An engine on the platform's list.
pub fn engine(id: &str, region: &str, address: SocketAddr) -> ListedInstance {
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
