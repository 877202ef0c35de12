//! Answers of the store to writes of jobs that come later than the change feed delivers what
//! happened to the jobs since, or never.

mod support;

use std::time::Duration;

use http::StatusCode;
use platform::{RowRange, Store};
use serde_json::{Value, from_slice, json};
use support::{Answer, TestCluster, jobs::job_partition, wait_until};
use tokio::{task::JoinHandle, time::sleep};

const JOB: &str = "j1";
const ITEMS: [(&str, &str); 3] = [
    ("i0", "/batch/x/0"),
    ("i1", "/batch/x/1"),
    ("i2", "/batch/x/2"),
];
/// Delay of the answers to heartbeats, from which the processes learn to wait for answers for
/// four times as long, milliseconds.
const USUAL_DELAY_MS: u64 = 400;
/// Time in which each process has had such an answer.
const LEARNING_TIME: Duration = Duration::from_millis(2_500);
/// Delay of the late answer, milliseconds.
const LATE_MS: u64 = 1_300;
/// Time in which items start that are going to start.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Starts processes whose calls to the store have time-outs above [`LATE_MS`].
async fn start_with_slow_store(nodes: usize) -> TestCluster {
    let cluster = TestCluster::start(&[4], nodes).await;
    let slow_answers = json!({"kind": {"slow_answer": {"delay_ms": USUAL_DELAY_MS}},
                              "path": "/rows-tx", "contains": "redwingtack_nodes"});
    cluster
        .inject_fault(cluster.store.address(), slow_answers)
        .await;
    sleep(LEARNING_TIME).await;
    cluster
}

/// Submits the job at the first process, and returns as soon as the job is stored. The fault
/// applies to the write of the job.
async fn submit_with_fault(cluster: &TestCluster, fault: Value) -> JoinHandle<Answer> {
    let fault = json!({"kind": fault, "path": "/rows-tx", "contains": "redwingtack_items",
                       "times": 1});
    cluster.inject_fault(cluster.store.address(), fault).await;
    let submission = cluster.nodes[0].job_submission(JOB, &ITEMS);
    let submission = tokio::spawn(submission);
    wait_until("the job is stored", async || {
        cluster.nodes[1].read_results(JOB, 0).await.status == StatusCode::OK
    })
    .await;
    submission
}

fn late() -> Value {
    json!({"slow_answer": {"delay_ms": LATE_MS}})
}

async fn end_job(cluster: &TestCluster) {
    let path = format!("/lots/{JOB}");
    let answer = cluster.nodes[1].send_job_request("DELETE", &path).await;
    assert_eq!(answer.status, StatusCode::OK);
}

async fn assert_nothing_runs(cluster: &TestCluster) {
    sleep(START_TIME).await;
    let runs = cluster.server_runs().await;
    assert!(runs.is_empty(), "{runs:?}\n{}", cluster.nodes[0].log());
}

/// Waits for the results at the second process and asserts that each item ran once.
async fn assert_each_item_runs_once(cluster: &TestCluster) {
    let results = cluster.nodes[1].wait_for_results(JOB).await;
    assert_eq!(results.len(), ITEMS.len());
    sleep(START_TIME).await;
    for (id, runs) in cluster.server_runs().await {
        assert_eq!(runs.len(), 1, "{id}\n{}", cluster.nodes[0].log());
    }
}

/// Guards against items of ended jobs that reach a server (UNASKED): the job is submitted and
/// ended at another process before the answer to its first write arrives.
#[tokio::test(flavor = "multi_thread")]
async fn job_ended_before_the_answer_to_its_write_runs_no_items() {
    let cluster = start_with_slow_store(2).await;
    let submission = submit_with_fault(&cluster, late()).await;
    end_job(&cluster).await;
    assert_eq!(submission.await.unwrap().status, StatusCode::ACCEPTED);
    assert_nothing_runs(&cluster).await;
}

/// Like the late answer, but the answer never arrives, so that the write is repeated.
#[tokio::test(flavor = "multi_thread")]
async fn job_ended_while_its_write_has_no_answer_runs_no_items() {
    let cluster = start_with_slow_store(2).await;
    let submission = submit_with_fault(&cluster, json!("hang_after_body")).await;
    end_job(&cluster).await;
    assert_eq!(submission.await.unwrap().status, StatusCode::ACCEPTED);
    assert_nothing_runs(&cluster).await;
}

/// Guards against two owners that run the same items: a peer has taken the job over before the
/// answer to its first write arrives.
#[tokio::test(flavor = "multi_thread")]
async fn job_taken_over_before_the_answer_to_its_write_runs_once() {
    let cluster = start_with_slow_store(2).await;
    let submission = submit_with_fault(&cluster, late()).await;
    let range = RowRange::new("redwingtack_jobs", &job_partition(JOB));
    let page = Store::new(cluster.store.address()).rows(&range).await;
    let mut record: Value = from_slice(&page.unwrap().rows[0].value).unwrap();
    record["owner"] = Value::Null;
    cluster.put_job_record(JOB, &record).await;
    assert_eq!(submission.await.unwrap().status, StatusCode::ACCEPTED);
    assert_each_item_runs_once(&cluster).await;
}

/// Guards against two owners that run the same items: the job has been removed, and submitted
/// again at a peer, before the answer to its first write arrives.
#[tokio::test(flavor = "multi_thread")]
async fn job_stored_again_before_the_answer_to_its_first_write_runs_once() {
    let cluster = start_with_slow_store(2).await;
    let submission = submit_with_fault(&cluster, late()).await;
    cluster.remove_job_record(JOB).await;
    wait_until("the peer knows that the job was removed", async || {
        cluster.nodes[1].read_results(JOB, 0).await.status == StatusCode::NOT_FOUND
    })
    .await;
    let repeat = cluster.nodes[1].submit_job(JOB, &ITEMS).await;
    assert_eq!(repeat.status, StatusCode::ACCEPTED);
    assert_eq!(submission.await.unwrap().status, StatusCode::ACCEPTED);
    assert_each_item_runs_once(&cluster).await;
}

/// Guards against items of removed jobs that reach a server: the owner of a job learns of the
/// removal only by the change feed, as after an outage longer than results are kept.
#[tokio::test(flavor = "multi_thread")]
async fn job_removed_while_it_runs_starts_no_items() {
    let cluster = TestCluster::start(&[1], 1).await;
    let items: Vec<_> = (0..20).map(|index| format!("i{index}")).collect();
    let items: Vec<_> = items
        .iter()
        .map(|id| (id.as_str(), "/batch/lasts-400/x"))
        .collect();
    let answer = cluster.nodes[0].submit_job(JOB, &items).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    sleep(Duration::from_millis(600)).await;
    cluster.remove_job_record(JOB).await;
    sleep(Duration::from_millis(300)).await;
    let run_count = cluster.server_runs().await.len();
    assert!(run_count >= 1);
    sleep(START_TIME).await;
    let runs = cluster.server_runs().await;
    assert_eq!(runs.len(), run_count, "{}", cluster.nodes[0].log());
}
