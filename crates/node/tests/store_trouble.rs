//! Jobs while the store turns instances away, keeps silent or loses answers.

mod support;

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use support::{NodeProcess, TestCluster, complete_output, store_proxy::ProxyState, wait_until};
use tokio::time::{Instant, sleep};

const ITEMS: [(&str, &str); 2] = [("i0", "/batch/x/0"), ("i1", "/batch/x/1")];
/// Goal of the route for the acknowledgement of a job.
const ACKNOWLEDGE_GOAL: Duration = Duration::from_millis(500);
/// Time in which load notices and the list of instances reach everybody.
const ACQUAINTANCE: Duration = Duration::from_millis(2_500);

/// Submits a job; returns how long its acknowledgement took.
async fn submit_accepted(node: &NodeProcess, job: &str) -> Duration {
    let sent_at = Instant::now();
    let answer = node.submit_job(job, &ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED, "{job}: {answer:?}");
    sent_at.elapsed()
}

async fn check_outputs(node: &NodeProcess, job: &str) {
    let results = node.wait_for_results(job).await;
    for result in results {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["output"], complete_output(id), "{job}");
    }
}

/// Both tries of a caller may meet instances that the store turns away, while
/// their peers reach it.
async fn job_calls_go_through_a_peer(state: ProxyState) {
    let mut world = TestCluster::start(&[4], 1).await;
    let link = world.add_proxied_node("linked").await;
    sleep(ACQUAINTANCE).await;
    link.set_state(state);
    let cut_off = &world.nodes[1];
    let took = submit_accepted(cut_off, "j1").await;
    check_outputs(cut_off, "j1").await;
    let body = cut_off.send_job_request("GET", "/items/j1?id=i1").await;
    assert_eq!(body.body, "body of i1");
    let end = cut_off.send_job_request("DELETE", "/lots/j1").await;
    assert_eq!(end.status, StatusCode::OK);
    let unknown = cut_off.read_results("j0", 0).await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    assert!(took < ACKNOWLEDGE_GOAL, "{took:?}");
    let runs = world.server_runs().await;
    assert!(runs.values().all(|runs| runs.len() == 1), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn job_calls_of_an_instance_that_the_store_resets_go_through_a_peer() {
    job_calls_go_through_a_peer(ProxyState::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn job_calls_of_an_instance_that_the_store_ignores_go_through_a_peer() {
    job_calls_go_through_a_peer(ProxyState::Silent).await;
}

/// The store does what is written and its answers are lost: the job is known
/// under its id, whoever asks again.
#[tokio::test(flavor = "multi_thread")]
async fn job_whose_acknowledgements_stay_away_is_accepted_in_time() {
    let world = TestCluster::start(&[4], 1).await;
    sleep(ACQUAINTANCE).await;
    let fault = json!({
        "kind": "hang_after_body", "path": "/rows-tx", "contains": "redwingtack_items", "times": 1
    });
    world.inject_fault(world.store.address(), fault).await;
    let took = submit_accepted(&world.nodes[0], "j1").await;
    assert!(took < ACKNOWLEDGE_GOAL, "{took:?}");
    check_outputs(&world.nodes[0], "j1").await;
}

/// What went unanswered before the store came back says nothing of the store
/// as it is now.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_accepted_at_once_after_a_silence_of_the_store() {
    let mut world = TestCluster::start(&[4], 1).await;
    let link = world.add_proxied_node("linked").await;
    world.nodes.remove(0);
    sleep(ACQUAINTANCE).await;
    link.set_state(ProxyState::Silent);
    sleep(Duration::from_secs(5)).await;
    link.set_state(ProxyState::Open);
    let node = &world.nodes[0];
    wait_until("the store is back", async || {
        node.read_results("j0", 0).await.status == StatusCode::NOT_FOUND
    })
    .await;
    for job in 0..8 {
        let took = submit_accepted(node, &format!("j{job}")).await;
        assert!(took < ACKNOWLEDGE_GOAL, "{job}: {took:?}");
        sleep(Duration::from_millis(250)).await;
    }
}
