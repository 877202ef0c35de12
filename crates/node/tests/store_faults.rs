//! Batch jobs while the store resets connections, does not answer or loses answers.

mod support;

use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};
use support::{NodeProcess, TestCluster, complete_output, store_proxy::ProxyState, wait_until};
use tokio::time::{Instant, sleep};

const ITEMS: [(&str, &str); 2] = [("i0", "/batch/x/0"), ("i1", "/batch/x/1")];
/// Number of jobs whose owners are gone.
const ORPHANED_JOBS: usize = 300;
/// The route's latency goal for the acknowledgement of a job.
const ACKNOWLEDGEMENT_GOAL: Duration = Duration::from_millis(500);
/// Time within which every instance has received the load notices of its peers and
/// their heartbeats from the store.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Submits a job, asserts that it is accepted and returns the time to the
/// acknowledgement.
async fn submit_accepted(node: &NodeProcess, job: &str) -> Duration {
    let sent_at = Instant::now();
    let answer = node.submit_job(job, &ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED, "{job}: {answer:?}");
    sent_at.elapsed()
}

async fn assert_complete_outputs(node: &NodeProcess, job: &str) {
    let results = node.wait_for_results(job).await;
    for result in results {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["output"], complete_output(id), "{job}");
    }
}

/// Guards against failed job requests while the store is unreachable for some
/// instances but not for their peers. Both attempts of a caller can hit such
/// instances, so these must forward job requests to a peer.
async fn assert_job_requests_are_forwarded(state: ProxyState) {
    let mut cluster = TestCluster::start(&[4], 1).await;
    let proxy = cluster.add_proxied_node("linked").await;
    sleep(PEER_DISCOVERY_TIME).await;
    proxy.set_state(state);
    let disconnected_node = &cluster.nodes[1];
    let acknowledgement_time = submit_accepted(disconnected_node, "j1").await;
    assert_complete_outputs(disconnected_node, "j1").await;
    let body = disconnected_node
        .send_job_request("GET", "/items/j1?id=i1")
        .await;
    assert_eq!(body.body, "body of i1");
    let end_answer = disconnected_node
        .send_job_request("DELETE", "/lots/j1")
        .await;
    assert_eq!(end_answer.status, StatusCode::OK);
    let unknown_answer = disconnected_node.read_results("j0", 0).await;
    assert_eq!(unknown_answer.status, StatusCode::NOT_FOUND);
    assert!(
        acknowledgement_time < ACKNOWLEDGEMENT_GOAL,
        "{acknowledgement_time:?}"
    );
    let runs = cluster.server_runs().await;
    assert!(runs.values().all(|runs| runs.len() == 1), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn job_requests_with_reset_store_connections_are_forwarded() {
    assert_job_requests_are_forwarded(ProxyState::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn job_requests_with_silent_store_are_forwarded() {
    assert_job_requests_are_forwarded(ProxyState::Silent).await;
}

/// Guards against late acknowledgements: the store commits the write of a job, but
/// its answer is lost. The repeated write finds the job under its id, so the job must
/// be acknowledged within the latency goal.
#[tokio::test(flavor = "multi_thread")]
async fn job_with_lost_store_answer_is_accepted_in_time() {
    let cluster = TestCluster::start(&[4], 1).await;
    sleep(PEER_DISCOVERY_TIME).await;
    let fault = json!({
        "kind": "hang_after_body", "path": "/rows-tx", "contains": "redwingtack_items", "times": 1
    });
    cluster.inject_fault(cluster.store.address(), fault).await;
    let acknowledgement_time = submit_accepted(&cluster.nodes[0], "j1").await;
    assert!(
        acknowledgement_time < ACKNOWLEDGEMENT_GOAL,
        "{acknowledgement_time:?}"
    );
    assert_complete_outputs(&cluster.nodes[0], "j1").await;
}

/// Guards against slow acknowledgements after the store was silent: calls that timed
/// out before the store answered again do not tell its present state, so they must
/// not delay later calls.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_after_silence_of_store_are_accepted_in_time() {
    let mut cluster = TestCluster::start(&[4], 1).await;
    let proxy = cluster.add_proxied_node("linked").await;
    cluster.nodes.remove(0);
    sleep(PEER_DISCOVERY_TIME).await;
    proxy.set_state(ProxyState::Silent);
    sleep(Duration::from_secs(5)).await;
    proxy.set_state(ProxyState::Open);
    let node = &cluster.nodes[0];
    wait_until("the store is reachable again", async || {
        node.read_results("j0", 0).await.status == StatusCode::NOT_FOUND
    })
    .await;
    for job in 0..8 {
        let acknowledgement_time = submit_accepted(node, &format!("j{job}")).await;
        assert!(
            acknowledgement_time < ACKNOWLEDGEMENT_GOAL,
            "{job}: {acknowledgement_time:?}"
        );
        sleep(Duration::from_millis(250)).await;
    }
}

/// Guards against results that an instance does not show although another one has
/// shown them: the feed of jobs stalls at one instance, while the store answers its
/// other calls.
#[tokio::test(flavor = "multi_thread")]
async fn results_are_read_with_stalled_feed_of_jobs() {
    let cluster = TestCluster::start(&[8], 2).await;
    let server = cluster.servers[0].standin.address();
    let slow_runs = json!({"kind": {"slow": {"delay_ms": 1500}}, "path": "/batch"});
    cluster.inject_fault(server, slow_runs).await;
    submit_accepted(&cluster.nodes[0], "j1").await;
    sleep(Duration::from_millis(700)).await;
    let stalled_feed =
        json!({"kind": "hang", "path": "/rows-feed", "contains": "redwingtack_jobs"});
    cluster
        .inject_fault(cluster.store.address(), stalled_feed)
        .await;
    // The change ends the feed calls that wait already.
    submit_accepted(&cluster.nodes[0], "j2").await;
    cluster.nodes[0].wait_for_results("j1").await;
    let answer = cluster.nodes[1].read_results("j1", 0).await;
    let page: Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(page["next"], ITEMS.len(), "{answer:?}");
}

/// Guards against retries of thousands of takeovers at once: a store that is asked for more
/// than it can do rejects even those that it could.
#[tokio::test(flavor = "multi_thread")]
async fn orphaned_jobs_do_not_flood_a_store_that_rejects_writes() {
    let mut cluster = TestCluster::start(&[4], 0).await;
    let rejected_writes = json!({"kind": {"limit": {"writes_per_s": 0, "reads_per_s": 1_000_000}}, "contains": "redwingtack_jobs"});
    let record = support::jobs::orphaned_job_record();
    for job in 0..ORPHANED_JOBS {
        cluster.put_job_record(&format!("j{job}"), &record).await;
    }
    cluster
        .inject_fault(cluster.store.address(), rejected_writes)
        .await;
    cluster.add_node("node-0");
    cluster.nodes[0].wait_until_ready().await;
    sleep(Duration::from_secs(4)).await;
    let takeovers = |event: &str| cluster.nodes[0].log().matches(event).count();
    let failures = takeovers("event=takeover_failed");
    assert!((1..=ORPHANED_JOBS).contains(&failures), "{failures}");
    cluster.clear_faults(cluster.store.address()).await;
    wait_until("all jobs are taken over", async || {
        takeovers("event=job_taken_over") == ORPHANED_JOBS
    })
    .await;
}
