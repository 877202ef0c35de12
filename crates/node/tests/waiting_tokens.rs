//! The limit on the tokens that wait on a route, kept by several instances together.

mod support;

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{Answer, NodeProcess, TestCluster, wait_until};
use tokio::time::sleep;

/// Tokens of each item that the tests submit.
const TOKENS_PER_ITEM: u64 = 9;
/// Time within which every instance reads a change of the store.
const FEED_TIME: Duration = Duration::from_millis(700);

/// Starts a cluster whose servers never answer, with a limit of `items_max` waiting items.
async fn start_with_limit(nodes: usize, items_max: u64) -> TestCluster {
    let cluster = TestCluster::start(&[8], nodes).await;
    let hanging_runs = json!({"kind": "hang", "path": "/batch"});
    let server = cluster.servers[0].standin.address();
    cluster.inject_fault(server, hanging_runs).await;
    set_limit(&cluster, 2, items_max).await;
    cluster
}

async fn set_limit(cluster: &TestCluster, version: u64, items_max: u64) {
    let tokens_max = items_max * TOKENS_PER_ITEM;
    cluster.put_config_with_limit(version, tokens_max).await;
    sleep(FEED_TIME).await;
}

async fn submit_one_item(node: &NodeProcess, job: &str) -> Answer {
    node.submit_job(job, &[(job, "/batch/x/0")]).await
}

#[tokio::test(flavor = "multi_thread")]
async fn job_beyond_limit_is_refused_until_it_fits() {
    let cluster = start_with_limit(2, 2).await;
    let (first, second) = (&cluster.nodes[0], &cluster.nodes[1]);
    for job in ["j1", "j2"] {
        let answer = submit_one_item(first, job).await;
        assert_eq!(answer.status, StatusCode::ACCEPTED, "{job}: {answer:?}");
    }
    let refused = submit_one_item(second, "j3").await;
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    let retry_after = refused.headers["retry-after"].to_str().unwrap();
    assert!(retry_after.parse::<f64>().unwrap() > 0.0);
    first.send_job_request("DELETE", "/lots/j1").await;
    sleep(FEED_TIME).await;
    let accepted = submit_one_item(second, "j3").await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED, "{accepted:?}");
}

/// No instance sees what the others accept at the same moment. Together they must accept
/// as many jobs as fit, and what they refuse must never run.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_submitted_concurrently_keep_limit() {
    let cluster = start_with_limit(3, 4).await;
    let jobs: Vec<_> = (0..12).map(|index| format!("j{index}")).collect();
    let submissions = jobs.iter().zip(cluster.nodes.iter().cycle());
    let submissions = submissions.map(|(job, node)| submit_one_item(node, job));
    let answers = futures::future::join_all(submissions).await;
    let with_status = |status: StatusCode| {
        let answered = jobs.iter().zip(&answers);
        let matching = answered.filter(move |(_, answer)| answer.status == status);
        matching.map(|(job, _)| job.clone()).collect::<Vec<_>>()
    };
    let accepted = with_status(StatusCode::ACCEPTED);
    let refused = with_status(StatusCode::TOO_MANY_REQUESTS);
    assert_eq!((accepted.len(), refused.len()), (4, 8), "{answers:?}");
    cluster
        .clear_faults(cluster.servers[0].standin.address())
        .await;
    for job in &accepted {
        cluster.nodes[0].wait_for_results(job).await;
    }
    let runs = cluster.server_runs().await;
    assert!(
        refused.iter().all(|job| !runs.contains_key(job)),
        "{runs:?}"
    );
}

/// A caller that lost the acknowledgement submits the job again. It must be acknowledged
/// although no further job fits.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_submission_of_accepted_job_is_acknowledged_at_limit() {
    let cluster = start_with_limit(2, 1).await;
    for node in [0, 1, 0, 1] {
        let answer = submit_one_item(&cluster.nodes[node], "j1").await;
        assert_eq!(answer.status, StatusCode::ACCEPTED, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_counts_jobs_of_killed_instances() {
    let mut cluster = start_with_limit(2, 1).await;
    let accepted = submit_one_item(&cluster.nodes[0], "j1").await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    for node in &cluster.nodes {
        node.signal(Signal::SIGKILL);
    }
    cluster.nodes.clear();
    cluster.add_node("node-9");
    let node = &cluster.nodes[0];
    node.wait_until_ready().await;
    let refused = submit_one_item(node, "j2").await;
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS, "{refused:?}");
    cluster
        .clear_faults(cluster.servers[0].standin.address())
        .await;
    node.wait_for_results("j1").await;
    wait_until("the second job fits", async || {
        submit_one_item(node, "j2").await.status == StatusCode::ACCEPTED
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_can_be_lowered_and_removed() {
    let cluster = start_with_limit(1, 3).await;
    let node = &cluster.nodes[0];
    for job in ["j1", "j2"] {
        let answer = submit_one_item(node, job).await;
        assert_eq!(answer.status, StatusCode::ACCEPTED);
    }
    set_limit(&cluster, 3, 1).await;
    let refused = submit_one_item(node, "j3").await;
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    set_limit(&cluster, 4, 0).await;
    let accepted = submit_one_item(node, "j3").await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
}

/// The store carries out the removal of a refused job, but its answer is lost. The refusal
/// must still be certain before the caller gets it.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_with_lost_answer_of_removal_is_certain() {
    let cluster = start_with_limit(2, 1).await;
    let lost_answer = json!({"kind": "reset_after_body", "path": "/rows-tx",
                             "contains": "\"remove\":[{", "times": 1});
    cluster
        .inject_fault(cluster.store.address(), lost_answer)
        .await;
    let (a, b) = tokio::join!(
        submit_one_item(&cluster.nodes[0], "j1"),
        submit_one_item(&cluster.nodes[1], "j2")
    );
    let mut statuses = [a.status, b.status];
    statuses.sort_unstable();
    assert_eq!(
        statuses,
        [StatusCode::ACCEPTED, StatusCode::TOO_MANY_REQUESTS]
    );
}

/// Guards against a refusal of a job whose first write may still take effect, as it runs then.
#[tokio::test(flavor = "multi_thread")]
async fn job_whose_first_write_was_not_answered_is_not_refused() {
    let cluster = start_with_limit(2, 1).await;
    let unanswered_write = json!({"kind": "hang", "path": "/rows-tx",
                                  "contains": "\"key\":\"j1\"", "times": 1});
    cluster
        .inject_fault(cluster.store.address(), unanswered_write)
        .await;
    let submit_other_job = async || {
        sleep(Duration::from_millis(100)).await;
        submit_one_item(&cluster.nodes[1], "j2").await
    };
    let (unanswered, other) =
        tokio::join!(submit_one_item(&cluster.nodes[0], "j1"), submit_other_job());
    assert_eq!(other.status, StatusCode::ACCEPTED, "{other:?}");
    assert_eq!(
        unanswered.status,
        StatusCode::GATEWAY_TIMEOUT,
        "{unanswered:?}"
    );
}
