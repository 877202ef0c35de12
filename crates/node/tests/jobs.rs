//! Jobs through the real processes, with owners that are lost.

mod support;

use std::{collections::BTreeSet, time::Duration};

use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{HOST, TestCluster, complete_output, send_request, wait_until};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

const ITEMS: [(&str, &str); 5] = [
    ("i0", "/batch/x/0"),
    ("i1", "/batch/x/1"),
    ("i2", "/batch/x/2"),
    ("i3", "/batch/x/error"),
    ("i4", "/batch/x/impossible"),
];
const GOOD_ITEMS: [(&str, &str); 3] = [ITEMS[0], ITEMS[1], ITEMS[2]];

/// Every item once, the good ones with their whole output.
fn check_results(results: &[Value], items: &[(&str, &str)]) {
    let ids: BTreeSet<_> = results
        .iter()
        .map(|result| result["id"].as_str().unwrap())
        .collect();
    assert_eq!(ids, items.iter().map(|(id, _)| *id).collect());
    assert_eq!(results.len(), items.len());
    for result in results {
        let id = result["id"].as_str().unwrap();
        let is_good = GOOD_ITEMS.iter().any(|(good, _)| *good == id);
        let (state, output) = if is_good {
            ("done", complete_output(id))
        } else {
            ("dead", String::new())
        };
        assert_eq!(result["state"], state, "{id}");
        assert_eq!(result["output"], output, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_is_run_and_read_at_any_instance() {
    let world = TestCluster::start(&[4, 4], 2).await;
    let answer = world.nodes[0].submit_job("j1", &ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    let body = world.nodes[1]
        .send_job_request("GET", "/items/j1?id=i2")
        .await;
    assert_eq!(body.body, "body of i2");
    let results = world.nodes[1].wait_for_results("j1").await;
    check_results(&results, &ITEMS);
    assert_eq!(world.nodes[0].wait_for_results("j1").await, results);
    // Positions stay, also when read from the middle.
    let page: Value =
        serde_json::from_str(&world.nodes[0].read_results("j1", 3).await.body).unwrap();
    assert_eq!(page["results"].as_array().unwrap()[..], results[3..]);
    assert_eq!(page["next"], 5);
    let runs = world.server_runs().await;
    assert_eq!(runs["i0"][0].body, "body of i0");
    assert_eq!(runs["i3"].len(), 2, "as many runs as attempts are allowed");
    assert_eq!(runs["i4"].len(), 1, "an item that can never be done");
}

#[tokio::test(flavor = "multi_thread")]
async fn job_that_nobody_knows_is_not_found() {
    let world = TestCluster::start(&[4], 1).await;
    assert_eq!(
        world.nodes[0].read_results("j9", 0).await.status,
        StatusCode::NOT_FOUND
    );
    let end = world.nodes[0].send_job_request("DELETE", "/lots/j9").await;
    assert_eq!(end.status, StatusCode::NOT_FOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn job_sent_to_two_instances_at_once_runs_once() {
    let world = TestCluster::start(&[8], 2).await;
    let (a, b) = tokio::join!(
        world.nodes[0].submit_job("j1", &GOOD_ITEMS),
        world.nodes[1].submit_job("j1", &GOOD_ITEMS)
    );
    assert_eq!(
        (a.status, b.status),
        (StatusCode::ACCEPTED, StatusCode::ACCEPTED)
    );
    check_results(&world.nodes[0].wait_for_results("j1").await, &GOOD_ITEMS);
    for (id, runs) in world.server_runs().await {
        assert_eq!(runs.len(), 1, "{id}");
    }
}

/// A job comes to an instance whose first heartbeat is still on its way: the
/// job is accepted, and nobody takes its owner for dead meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn job_that_comes_before_the_first_heartbeat_is_accepted() {
    let mut world = TestCluster::start(&[4], 0).await;
    let slow = json!({"kind": {"slow": {"delay_ms": 700}}, "path": "/rows-tx",
                      "contains": "redwingtack_nodes"});
    world.inject_fault(world.store.address(), slow).await;
    world.add_node("node-0");
    let node = &world.nodes[0];
    node.wait_until_ready().await;
    let answer = node.submit_job("j1", &GOOD_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    check_results(&node.wait_for_results("j1").await, &GOOD_ITEMS);
    for (id, runs) in world.server_runs().await {
        assert_eq!(runs.len(), 1, "{id}");
    }
}

/// The answer to the write that accepts a job is lost.
#[tokio::test(flavor = "multi_thread")]
async fn job_whose_acknowledgement_is_lost_is_accepted_once() {
    let world = TestCluster::start(&[4], 1).await;
    let lost =
        json!({"kind": "reset_after_body", "path": "/rows-tx", "contains": "_items", "times": 1});
    world.inject_fault(world.store.address(), lost).await;
    let answer = world.nodes[0].submit_job("j1", &GOOD_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    check_results(&world.nodes[0].wait_for_results("j1").await, &GOOD_ITEMS);
    for (id, runs) in world.server_runs().await {
        assert_eq!(runs.len(), 1, "{id}");
    }
}

/// The caller leaves while the job is being written. The job exists then, and
/// its owner must run it although nobody waits for the answer.
#[tokio::test(flavor = "multi_thread")]
async fn job_whose_sender_left_during_the_write_is_run() {
    let world = TestCluster::start(&[4], 1).await;
    let slow =
        json!({"kind": {"slow": {"delay_ms": 400}}, "path": "/rows-tx", "contains": "_items"});
    world.inject_fault(world.store.address(), slow).await;
    let node = &world.nodes[0];
    let body = json!({"items": [{"id": "i0", "path": "/batch/x/0", "body": "", "tokens": 1}]});
    let body = body.to_string();
    let mut stream = TcpStream::connect(node.callers_address).await.unwrap();
    let head = format!(
        "POST /batch/x HTTP/1.1\r\nHost: {HOST}\r\nRedwingtack-Request-Id: j1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(150)).await;
    drop(stream);
    wait_until("stored", async || {
        node.read_results("j1", 0).await.status == StatusCode::OK
    })
    .await;
    check_results(&node.wait_for_results("j1").await, &GOOD_ITEMS[..1]);
}

/// Kill -9 of the owner in the middle of the items.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_killed_owner_is_finished_by_another() {
    let mut world = TestCluster::start(&[4], 2).await;
    let slow = json!({"kind": {"slow": {"delay_ms": 300}}, "path": "/batch/"});
    world
        .inject_fault(world.servers[0].standin.address(), slow)
        .await;
    let answer = world.nodes[0].submit_job("j1", &GOOD_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    sleep(Duration::from_millis(100)).await;
    drop(world.nodes.remove(0));
    check_results(&world.nodes[0].wait_for_results("j1").await, &GOOD_ITEMS);
}

#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_stopping_owner_is_handed_back() {
    let mut world = TestCluster::start(&[4], 2).await;
    let slow = json!({"kind": {"slow": {"delay_ms": 300}}, "path": "/batch/"});
    world
        .inject_fault(world.servers[0].standin.address(), slow)
        .await;
    let answer = world.nodes[0].submit_job("j1", &GOOD_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    world.nodes[0].signal(Signal::SIGTERM);
    check_results(&world.nodes[1].wait_for_results("j1").await, &GOOD_ITEMS);
    assert!(world.nodes[0].wait_for_exit().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn job_that_is_ended_starts_nothing_more() {
    let world = TestCluster::start(&[0], 2).await;
    let answer = world.nodes[0].submit_job("j1", &GOOD_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    for _ in 0..2 {
        let end = world.nodes[1].send_job_request("DELETE", "/lots/j1").await;
        assert_eq!(end.status, StatusCode::OK);
    }
    sleep(Duration::from_millis(300)).await;
    let requests = async || {
        let address = world.servers[0].standin.address();
        let answer = send_request(address, "GET", "/standin/faults", &[], Vec::new()).await;
        answer.unwrap().body
    };
    // Counts every item that reaches the server from now on.
    let watch = json!({"kind": {"slow": {"delay_ms": 0}}, "path": "/batch/"});
    world
        .inject_fault(world.servers[0].standin.address(), watch)
        .await;
    let before = requests().await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(requests().await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn job_while_the_store_is_away_is_refused_as_not_run() {
    let world = TestCluster::start(&[4], 1).await;
    world
        .inject_fault(world.store.address(), json!({"kind": "refuse"}))
        .await;
    let answer = world.nodes[0].submit_job("j1", &GOOD_ITEMS).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let read = world.nodes[0].read_results("j1", 0).await;
    assert_eq!(
        read.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "not 404: nobody can be sure"
    );
    world.clear_faults(world.store.address()).await;
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        world.nodes[0].read_results("j1", 0).await.status,
        StatusCode::NOT_FOUND
    );
    assert!(world.server_runs().await.is_empty());
}

/// An instance that forgot what changed reads the tables anew.
#[tokio::test(flavor = "multi_thread")]
async fn feed_whose_history_is_gone_is_read_anew() {
    let world = TestCluster::start(&[4, 4], 1).await;
    let store = world.store.address();
    world
        .inject_fault(store, json!({"kind": "down", "for_ms": 500}))
        .await;
    sleep(Duration::from_millis(100)).await;
    sleep(Duration::from_millis(600)).await;
    world.register_server(0, "draining").await;
    send_request(store, "POST", "/standin/forget", &[], Vec::new())
        .await
        .unwrap();
    sleep(Duration::from_millis(1_500)).await;
    for index in 0..10 {
        world.nodes[0]
            .send_stream_request("/long/a", &format!("r{index}"))
            .await;
    }
    let address = world.servers[0].standin.address();
    let runs = send_request(address, "GET", "/standin/runs", &[], Vec::new()).await;
    assert_eq!(runs.unwrap().body, "{}");
}
