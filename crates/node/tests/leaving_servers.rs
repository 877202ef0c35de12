//! Servers that say in their answers that they are leaving.

mod support;

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use support::{NodeProcess, TestCluster, wait_until};
use tokio::time::sleep;

/// Time within which a notice reaches every peer.
const NOTICE_TIME: Duration = Duration::from_millis(600);

async fn send_streams(node: &NodeProcess, prefix: &str, count: usize) {
    for index in 0..count {
        let id = format!("{prefix}-{index}");
        let answer = node.send_stream_request("/long/x", &id).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.is_complete);
    }
}

/// Sends requests through the first node until the leaving server has answered one.
async fn start_with_known_leaving_server() -> TestCluster {
    let cluster = TestCluster::start(&[4, 4], 2).await;
    sleep(NOTICE_TIME).await;
    cluster.make_server_leave(0).await;
    let before = cluster.run_count(0).await;
    wait_until("the leaving server has answered", async || {
        send_streams(&cluster.nodes[0], "first", 1).await;
        cluster.run_count(0).await > before
    })
    .await;
    sleep(NOTICE_TIME).await;
    cluster
}

/// The registration goes on saying that the server is ready. Its own answer is newer, for
/// requests and for items, at the instance that saw it and at its peers.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_says_it_leaves_gets_nothing_more() {
    let cluster = start_with_known_leaving_server().await;
    let before = cluster.run_count(0).await;
    cluster.register_server(0, "ready").await;
    for (index, node) in cluster.nodes.iter().enumerate() {
        send_streams(node, &format!("later-{index}"), 8).await;
        let job = format!("j{index}");
        node.submit_job(&job, &[("i0", "/batch/x/0"), ("i1", "/batch/x/1")])
            .await;
        node.wait_for_results(&job).await;
    }
    assert_eq!(cluster.run_count(0).await, before);
}

/// A server that starts again under its id is another incarnation, which is not leaving.
#[tokio::test(flavor = "multi_thread")]
async fn new_incarnation_of_leaving_server_is_used() {
    let cluster = start_with_known_leaving_server().await;
    let before = cluster.run_count(0).await;
    let server = &cluster.servers[0];
    let registration = json!({
        "service": "oracle", "addr": server.standin.address().to_string(), "zone": "a",
        "version": "v1", "slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 2
    });
    cluster.put_row("servers", &server.id, &registration).await;
    wait_until("the new incarnation gets requests", async || {
        send_streams(&cluster.nodes[1], "new", 1).await;
        cluster.run_count(0).await > before
    })
    .await;
}
