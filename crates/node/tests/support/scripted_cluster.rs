//! Nodes whose only servers send the replies that a test sets, on routes of all kinds.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    Answer, HOST, Paths, TestCluster, config,
    scripted_server::{Reply, ScriptedFleet, ScriptedServer},
    upstream_proxy::PathState,
};

/// Number of servers: one for each attempt of a request.
pub const SERVERS: usize = 3;
/// Time after which the nodes know a change of the configuration or of the servers.
pub const PROPAGATION: Duration = Duration::from_millis(400);
/// Time between two tries to reach a server.
pub const TRY_INTERVAL: Duration = Duration::from_millis(50);

/// Routes of which a request may be repeated, and of which it may not.
pub const REPEATABLE: [&str; 2] = ["/idempotent/x", "/long/x"];
pub const NOT_REPEATABLE: [&str; 2] = ["/non_idempotent/x", "/once/x"];

/// Servers that send the replies that a test sets, by the number of the attempt.
pub struct ScriptedCluster {
    pub cluster: TestCluster,
    pub fleet: ScriptedFleet,
    replies: Arc<Mutex<Vec<Reply>>>,
    /// Paths of the first node to the servers, if it has paths of its own.
    _paths: Option<Paths>,
    request_count: usize,
}

impl ScriptedCluster {
    pub async fn start() -> Self {
        let cluster = TestCluster::start(&[8], 1).await;
        cluster.unregister_server(0).await;
        let (fleet, replies) = start_fleet(&cluster).await;
        sleep(PROPAGATION).await;
        Self {
            cluster,
            fleet,
            replies,
            _paths: None,
            request_count: 0,
        }
    }

    /// Starts three nodes, of which the first one reaches the servers only through the others.
    pub async fn start_behind_peers() -> Self {
        let mut cluster = TestCluster::start_without_config(&[], 0).await;
        let (fleet, replies) = start_fleet(&cluster).await;
        let paths = add_nodes_behind_peers(&mut cluster, &fleet.servers).await;
        Self {
            cluster,
            fleet,
            replies,
            _paths: Some(paths),
            request_count: 0,
        }
    }

    /// Has the servers send these replies, the last one to all further attempts.
    pub fn set_replies(&self, replies: &[Reply]) {
        *self.replies.lock().unwrap() = replies.to_vec();
    }

    /// Sends requests until one reaches a server. Returns its answer and the number of attempts.
    pub async fn exchange(&mut self, path: &str, replies: &[Reply]) -> (Answer, usize) {
        self.set_replies(replies);
        loop {
            self.request_count += 1;
            let id = format!("r{}", self.request_count);
            let answer = self.cluster.nodes[0].send_stream_request(path, &id).await;
            let attempts = self.fleet.attempts_of(&id);
            if attempts > 0 {
                return (answer, attempts);
            }
            sleep(TRY_INTERVAL).await;
        }
    }
}

/// Adds three nodes, of which the first one reaches the servers only through the others.
pub async fn add_nodes_behind_peers(
    cluster: &mut TestCluster,
    servers: &[ScriptedServer],
) -> Paths {
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let mut paths = cluster.add_node_with_paths_to("cut-off", &addresses).await;
    for name in ["peer-1", "peer-2"] {
        cluster.add_node(name);
    }
    for node in &cluster.nodes {
        node.wait_until_ready().await;
    }
    sleep(PROPAGATION).await;
    paths.set_all(PathState::Refusing).await;
    paths
}

/// Returns a configuration with routes of all kinds. The path of each begins with its name.
pub fn config_of_all_kinds() -> Value {
    let mut config = config(2, 0);
    let routes = config["routes"].as_array_mut().unwrap();
    for (kind, attempts_max) in [("idempotent", 3), ("non_idempotent", 1)] {
        routes.push(json!({
            "name": kind, "host": HOST, "path_prefix": format!("/{kind}/"), "kind": kind,
            "timeout_ms": 5000, "goal_ms": 300, "priority": 0, "max_attempts": attempts_max,
            "service": "oracle"
        }));
    }
    config
}

/// Returns whether a caller takes an answer for the whole answer of a server.
pub fn is_whole_success(answer: &Answer) -> bool {
    answer.status.is_success() && answer.is_complete
}

/// The caller must not be told that the request has not run.
pub fn assert_is_lost(answer: &Answer, case: &str) {
    assert!(!is_whole_success(answer), "{case}: {answer:?}");
    assert!(
        answer.status == StatusCode::BAD_GATEWAY || answer.status.is_success(),
        "{case}: {answer:?}"
    );
}

async fn start_fleet(cluster: &TestCluster) -> (ScriptedFleet, Arc<Mutex<Vec<Reply>>>) {
    cluster
        .put_row("op", "config", &config_of_all_kinds())
        .await;
    let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
    let replies_of_fleet = Arc::clone(&replies);
    let fleet = ScriptedFleet::start(cluster, SERVERS, move |_, attempt| {
        let replies = replies_of_fleet.lock().unwrap();
        replies[attempt.min(replies.len() - 1)].clone()
    });
    (fleet.await, replies)
}
