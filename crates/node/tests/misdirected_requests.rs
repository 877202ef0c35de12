//! Requests that servers refuse as ones for another server: because they require other weights,
//! for a reason of their own, or because the address has another server.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use serde_json::{Value, json};
use support::{
    Answer, HOST, NodeProcess, TestCluster, complete_stream, config, send_request,
    upstream_proxy::PathState,
};
use tokio::time::sleep;

const JOB: &str = "j1";
/// Slots of a server with room for all that a test sends.
const AMPLE_SLOTS: u32 = 16;
/// Id of a registration whose server has ended.
const ENDED: &str = "ended";

/// Sends a request for a stream to servers that have a version of the weights.
async fn require(node: &NodeProcess, id: &str, weights: &str) -> Answer {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id),
        ("redwingtack-deadline-ms", "4000"),
        ("redwingtack-required-version", weights),
    ];
    let address = node.callers_address;
    let answer = send_request(address, "POST", "/long/x", &headers, b"prompt".to_vec());
    answer.await.unwrap()
}

/// Starts servers with these versions of the weights.
async fn start(weights: &[u64], nodes: usize) -> TestCluster {
    let cluster = TestCluster::start(&vec![AMPLE_SLOTS; weights.len()], nodes).await;
    for (index, version) in weights.iter().enumerate() {
        cluster.set_weights(index, *version).await;
    }
    cluster
}

/// Sends requests that any server can run, a few at a time, and asserts that they are served.
async fn assert_serves(node: &NodeProcess, prefix: &str) {
    for round in 0..4 {
        let requests = (0..3).map(|number| async move {
            let id = format!("{prefix}-{round}-{number}");
            let answer = node.send_stream_request("/long/x", &id).await;
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}\n{}", node.log());
            assert_eq!(answer.body, complete_stream(&id));
        });
        join_all(requests).await;
    }
}

fn item(id: &str, weights: Option<u64>) -> Value {
    let headers = match weights {
        Some(version) => json!({"Redwingtack-Required-Version": version.to_string()}),
        None => json!({}),
    };
    json!({"id": id, "path": "/batch/x/0", "headers": headers, "body": "", "tokens": 9})
}

/// Returns the number of lines of a log that contain all of these texts.
fn count_lines(node: &NodeProcess, texts: &[&str]) -> usize {
    let log = node.log();
    let lines = log.lines();
    lines
        .filter(|line| texts.iter().all(|text| line.contains(text)))
        .count()
}

/// Guards against an accepted job that is never run and callers that are refused (LOST), because
/// a few requests required weights that no server has any more.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_lack_required_weights_serve_all_other_requests() {
    let cluster = start(&[2, 2], 1).await;
    let node = &cluster.nodes[0];
    for number in 0..3 {
        let answer = require(node, &format!("old-{number}"), "1").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
    }
    assert_serves(node, "any").await;
    let answer = node.submit_job(JOB, &[("i0", "/batch/x/0")]).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    assert_eq!(node.wait_for_results(JOB).await.len(), 1);
}

/// Guards against requests that are refused although a server has the weights that they require.
#[tokio::test(flavor = "multi_thread")]
async fn required_weights_are_found_at_the_one_server_that_has_them() {
    let cluster = start(&[2, 2, 1, 2], 1).await;
    let node = &cluster.nodes[0];
    for number in 0..12 {
        let answer = require(node, &format!("old-{number}"), "1").await;
        assert_eq!(answer.status, StatusCode::OK, "{}", node.log());
    }
    assert_eq!(cluster.run_count(2).await, 12);
    let tries = count_lines(node, &["event=request_misdirected"]);
    assert!(tries <= 3, "{tries} requests were sent to other servers");
}

/// Guards against requests that are refused for good after a server has changed its weights.
#[tokio::test(flavor = "multi_thread")]
async fn required_weights_are_found_soon_after_a_server_has_loaded_them() {
    let cluster = start(&[1, 1], 1).await;
    let node = &cluster.nodes[0];
    assert_eq!(
        require(node, "early", "2").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    cluster.set_weights(1, 2).await;
    sleep(Duration::from_millis(1_100)).await;
    let answer = require(node, "late", "2").await;
    assert_eq!(answer.status, StatusCode::OK, "{}", node.log());
    assert_eq!(cluster.run_count(1).await, 1);
}

/// Guards against items that are sent to servers without the weights they require over and over,
/// hold up other items, or are given up while a release goes on.
#[tokio::test(flavor = "multi_thread")]
async fn item_waits_until_a_server_has_its_weights() {
    let cluster = start(&[1, 1], 2).await;
    let node = &cluster.nodes[0];
    let items: Vec<_> = (0..10)
        .map(|index| item(&format!("i{index}"), (index % 2 == 0).then_some(2)))
        .collect();
    let answer = node.submit_items(JOB, &items).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    sleep(Duration::from_secs(3)).await;
    let page: Value = serde_json::from_str(&node.read_results(JOB, 0).await.body).unwrap();
    assert_eq!(
        page["results"].as_array().unwrap().len(),
        5,
        "{}",
        node.log()
    );
    let tries = count_lines(node, &["event=request_misdirected"]);
    assert!(tries <= 12, "{tries} items were refused");
    assert_serves(node, "any").await;
    cluster.set_weights(1, 2).await;
    let results = node.wait_for_results(JOB).await;
    assert_eq!(results.len(), 10);
    for result in results {
        assert_eq!(result["state"], "done", "{result}");
    }
}

/// Guards against items that require the weights of a server which has fewer free slots than
/// another one, and are never started.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_at_the_server_that_has_their_weights() {
    let cluster = TestCluster::start(&[AMPLE_SLOTS, 2], 1).await;
    cluster.register_server_with_slots(0, AMPLE_SLOTS).await;
    cluster.register_server_with_slots(1, 2).await;
    cluster.set_weights(0, 2).await;
    cluster.set_weights(1, 1).await;
    let node = &cluster.nodes[0];
    let items: Vec<_> = (0..8)
        .map(|index| item(&format!("i{index}"), Some(1)))
        .collect();
    assert_eq!(
        node.submit_items(JOB, &items).await.status,
        StatusCode::ACCEPTED
    );
    assert_eq!(node.wait_for_results(JOB).await.len(), 8);
    assert_eq!(cluster.run_count(1).await, 8);
}

/// Guards against streams that break and go on at a server without the weights they require.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_goes_on_with_the_weights_it_requires() {
    let cluster = start(&[1, 2, 1], 1).await;
    let node = &cluster.nodes[0];
    for number in 0..6 {
        cluster.break_next_streams(3).await;
        let id = format!("old-{number}");
        let answer = require(node, &id, "1").await;
        assert_eq!(answer.body, complete_stream(&id), "{}", node.log());
    }
    assert_eq!(cluster.run_count(1).await, 0);
}

/// Guards against callers that are refused because one caller's requests are answered 421 by
/// each server for a reason of their own. A bad requirement is such a reason.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_every_server_calls_misdirected_take_no_server_from_others() {
    for has_health_path in [true, false] {
        let cluster = start(&[1, 1], 1).await;
        if !has_health_path {
            put_config_without_health_path(&cluster).await;
        }
        let node = &cluster.nodes[0];
        for round in 0..6 {
            let id = format!("refused-{round}");
            let answer = node.send_stream_request("/long/refused-421", &id).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            for requirement in ["", "new", "1, 2"] {
                let answer = require(node, &id, requirement).await;
                assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            }
            assert_serves(node, &format!("sound-{round}")).await;
        }
        let answer = node.submit_job(JOB, &[("i0", "/batch/x/0")]).await;
        assert_eq!(answer.status, StatusCode::ACCEPTED);
        assert_eq!(node.wait_for_results(JOB).await.len(), 1);
    }
}

/// Guards against sound jobs that wait beside a job whose items every server calls misdirected.
#[tokio::test(flavor = "multi_thread")]
async fn items_that_every_server_calls_misdirected_hold_up_no_other_job() {
    let cluster = start(&[1, 1], 2).await;
    let node = &cluster.nodes[0];
    let names: Vec<_> = (0..30).map(|index| format!("r{index}")).collect();
    let items: Vec<_> = names
        .iter()
        .map(|id| (id.as_str(), "/batch/refused-421"))
        .collect();
    assert_eq!(
        node.submit_job("bad", &items).await.status,
        StatusCode::ACCEPTED
    );
    sleep(Duration::from_millis(1_500)).await;
    let names: Vec<_> = (0..10).map(|index| format!("i{index}")).collect();
    let items: Vec<_> = names.iter().map(|id| (id.as_str(), "/batch/x/0")).collect();
    assert_eq!(
        node.submit_job(JOB, &items).await.status,
        StatusCode::ACCEPTED
    );
    assert_eq!(node.wait_for_results(JOB).await.len(), 10);
    assert_serves(node, "any").await;
}

/// Guards against an address that another server has now and that is sent requests for ever.
#[tokio::test(flavor = "multi_thread")]
async fn address_of_another_server_is_not_used() {
    let cluster = start(&[1, 1, 1], 1).await;
    let node = &cluster.nodes[0];
    give_address_to_another_server(&cluster).await;
    for round in 0..10 {
        assert_serves(node, &format!("any-{round}")).await;
        sleep(Duration::from_millis(200)).await;
    }
    let other = count_lines(
        node,
        &["event=upstream_checked upstream=ended occupant=Other"],
    );
    assert_eq!(other, 1, "{}", node.log());
    // Those of the first moment, before the check had an answer.
    let tries = count_lines(node, &["event=request_misdirected upstream=ended"]);
    assert!(tries <= 3, "{tries} requests were sent to the address");
}

/// Like the case before, where the configuration names no health check.
#[tokio::test(flavor = "multi_thread")]
async fn address_of_another_server_is_tried_less_and_less() {
    let cluster = start(&[1, 1, 1], 1).await;
    let node = &cluster.nodes[0];
    put_config_without_health_path(&cluster).await;
    give_address_to_another_server(&cluster).await;
    for round in 0..16 {
        assert_serves(node, &format!("any-{round}")).await;
        sleep(Duration::from_millis(200)).await;
    }
    // At first, and 0.5, 1.5 and 3.5 s later, three at a time at most.
    let tries = count_lines(node, &["event=request_misdirected upstream=ended"]);
    assert!(
        (1..=12).contains(&tries),
        "{tries} requests were sent there"
    );
}

/// Guards against an instance that uses no server after a peer has passed on such answers.
#[tokio::test(flavor = "multi_thread")]
async fn answers_through_a_peer_take_no_server_from_others() {
    let mut cluster = TestCluster::start_without_config(&[AMPLE_SLOTS; 2], 0).await;
    cluster.put_config(1).await;
    for index in 0..2 {
        cluster.set_weights(index, 2).await;
    }
    let mut paths = cluster.add_node_with_own_paths("cut-off").await;
    cluster.add_node("peer");
    for node in &cluster.nodes {
        node.wait_until_ready().await;
        assert_serves(node, "warm-up").await;
    }
    paths.set_all(PathState::Refusing).await;
    sleep(Duration::from_secs(1)).await;
    let [cut_off, peer] = &cluster.nodes[..] else {
        unreachable!("two processes were started");
    };
    for round in 0..4 {
        let id = format!("old-{round}");
        let answer = require(cut_off, &id, "1").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let answer = cut_off.send_stream_request("/long/refused-421", &id).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_serves(cut_off, &format!("any-{round}")).await;
        assert_serves(peer, &format!("peer-{round}")).await;
    }
    assert!(count_lines(peer, &["event=proxied_attempt", "421"]) > 0);
}

async fn put_config_without_health_path(cluster: &TestCluster) {
    let mut config = config(2, 0);
    config["services"] = json!([{"name": "oracle"}]);
    cluster.put_row("op", "config", &config).await;
    let node = &cluster.nodes[0];
    support::wait_until("the configuration is in force", async || {
        let answer = node.send_stream_request("/version-2/x", "version").await;
        answer.status == StatusCode::OK
    })
    .await;
}

/// Replaces the registration of the third server by that of one that has ended at its address.
async fn give_address_to_another_server(cluster: &TestCluster) {
    cluster.unregister_server(2).await;
    cluster.register_ended_server(ENDED, 2).await;
    sleep(Duration::from_millis(300)).await;
}
