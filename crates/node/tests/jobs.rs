//! Batch jobs run by real node processes, including the loss of job owners.

mod support;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use bincode::serde::decode_from_slice;
use http::StatusCode;
use ledger::JobItem;
use nix::sys::signal::Signal;
use platform::{RowRange, Store};
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
const SUCCEEDING_ITEMS: [(&str, &str); 3] = [ITEMS[0], ITEMS[1], ITEMS[2]];
/// Time that a store takes to refuse a write, milliseconds. It is below the shortest time-out
/// of a call, 150 ms, and far above the time from a change to the answer of a feed.
const LATE_REFUSAL_MS: u64 = 60;
/// Time without an answer of the store after which the next answer ends an outage that
/// abandons calls in flight. The outage has to last 500 ms, and begins with the first
/// refused call.
const OUTAGE_BETWEEN_FEED_ANSWERS: Duration = Duration::from_millis(800);

/// Asserts that each item has exactly one result, and that succeeding items have
/// their complete output.
fn assert_complete_results(results: &[Value], items: &[(&str, &str)]) {
    let ids: BTreeSet<_> = results
        .iter()
        .map(|result| result["id"].as_str().unwrap())
        .collect();
    assert_eq!(ids, items.iter().map(|(id, _)| *id).collect());
    assert_eq!(results.len(), items.len());
    for result in results {
        let id = result["id"].as_str().unwrap();
        let is_succeeding = SUCCEEDING_ITEMS
            .iter()
            .any(|(succeeding, _)| *succeeding == id);
        let (state, output) = if is_succeeding {
            ("done", complete_output(id))
        } else {
            ("dead", String::new())
        };
        assert_eq!(result["state"], state, "{id}");
        assert_eq!(result["output"], output, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_results_are_readable_at_every_instance() {
    let cluster = TestCluster::start(&[4, 4], 2).await;
    let answer = cluster.nodes[0].submit_job("j1", &ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    let body = cluster.nodes[1]
        .send_job_request("GET", "/items/j1?id=i2")
        .await;
    assert_eq!(body.body, "body of i2");
    let results = cluster.nodes[1].wait_for_results("j1").await;
    assert_complete_results(&results, &ITEMS);
    assert_eq!(cluster.nodes[0].wait_for_results("j1").await, results);
    // Result positions are stable, also when reading starts in the middle.
    let page: Value =
        serde_json::from_str(&cluster.nodes[0].read_results("j1", 3).await.body).unwrap();
    assert_eq!(page["results"].as_array().unwrap()[..], results[3..]);
    assert_eq!(page["next"], 5);
    let runs = cluster.server_runs().await;
    assert_eq!(runs["i0"][0].body, "body of i0");
    assert_eq!(
        runs["i3"].len(),
        2,
        "an item whose runs end with an error runs max_attempts times"
    );
    assert_eq!(runs["i4"].len(), 1, "an impossible item runs only once");
}

#[tokio::test(flavor = "multi_thread")]
async fn job_with_unknown_id_is_not_found() {
    let cluster = TestCluster::start(&[4], 1).await;
    assert_eq!(
        cluster.nodes[0].read_results("j9", 0).await.status,
        StatusCode::NOT_FOUND
    );
    let end_answer = cluster.nodes[0]
        .send_job_request("DELETE", "/lots/j9")
        .await;
    assert_eq!(end_answer.status, StatusCode::NOT_FOUND);
}

/// Guards against duplicate runs when a caller repeats a submission at another
/// instance before the first one has answered.
#[tokio::test(flavor = "multi_thread")]
async fn job_submitted_to_two_instances_concurrently_runs_once() {
    let cluster = TestCluster::start(&[8], 2).await;
    let (a, b) = tokio::join!(
        cluster.nodes[0].submit_job("j1", &SUCCEEDING_ITEMS),
        cluster.nodes[1].submit_job("j1", &SUCCEEDING_ITEMS)
    );
    assert_eq!(
        (a.status, b.status),
        (StatusCode::ACCEPTED, StatusCode::ACCEPTED)
    );
    assert_complete_results(
        &cluster.nodes[0].wait_for_results("j1").await,
        &SUCCEEDING_ITEMS,
    );
    for (id, runs) in cluster.server_runs().await {
        assert_eq!(runs.len(), 1, "{id}");
    }
}

/// Guards against refused jobs and needless takeovers while the first heartbeat of
/// an instance is delayed: the job must be accepted, and no instance may consider
/// its owner dead.
#[tokio::test(flavor = "multi_thread")]
async fn job_submitted_before_first_heartbeat_is_accepted() {
    let mut cluster = TestCluster::start(&[4], 0).await;
    let delay_fault = json!({"kind": {"slow": {"delay_ms": 700}}, "path": "/rows-tx",
                             "contains": "redwingtack_nodes"});
    cluster
        .inject_fault(cluster.store.address(), delay_fault)
        .await;
    cluster.add_node("node-0");
    let node = &cluster.nodes[0];
    node.wait_until_ready().await;
    let answer = node.submit_job("j1", &SUCCEEDING_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    assert_complete_results(&node.wait_for_results("j1").await, &SUCCEEDING_ITEMS);
    for (id, runs) in cluster.server_runs().await {
        assert_eq!(runs.len(), 1, "{id}");
    }
}

/// Guards against jobs that are stored twice: the store commits the write of a job,
/// but resets the connection before it answers, so the write is repeated.
#[tokio::test(flavor = "multi_thread")]
async fn job_with_lost_store_answer_runs_once() {
    let cluster = TestCluster::start(&[4], 1).await;
    let reset_fault =
        json!({"kind": "reset_after_body", "path": "/rows-tx", "contains": "_items", "times": 1});
    cluster
        .inject_fault(cluster.store.address(), reset_fault)
        .await;
    let answer = cluster.nodes[0].submit_job("j1", &SUCCEEDING_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    assert_complete_results(
        &cluster.nodes[0].wait_for_results("j1").await,
        &SUCCEEDING_ITEMS,
    );
    for (id, runs) in cluster.server_runs().await {
        assert_eq!(runs.len(), 1, "{id}");
    }
}

/// Guards against a stored job that no instance runs. The caller disconnects while
/// the job is being written; the owner must run the job although no caller waits
/// for the answer.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_disconnected_caller_is_run() {
    let cluster = TestCluster::start(&[4], 1).await;
    let delay_fault =
        json!({"kind": {"slow": {"delay_ms": 400}}, "path": "/rows-tx", "contains": "_items"});
    cluster
        .inject_fault(cluster.store.address(), delay_fault)
        .await;
    let node = &cluster.nodes[0];
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
    wait_until("the job is stored", async || {
        node.read_results("j1", 0).await.status == StatusCode::OK
    })
    .await;
    assert_complete_results(&node.wait_for_results("j1").await, &SUCCEEDING_ITEMS[..1]);
}

/// Guards against jobs that are lost with their owner: the owner is killed with
/// SIGKILL (kill -9) while items are running, and another instance must complete
/// them.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_killed_owner_is_taken_over() {
    let mut cluster = TestCluster::start(&[4], 2).await;
    let delay_fault = json!({"kind": {"slow": {"delay_ms": 300}}, "path": "/batch/"});
    cluster
        .inject_fault(cluster.servers[0].standin.address(), delay_fault)
        .await;
    let answer = cluster.nodes[0].submit_job("j1", &SUCCEEDING_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    sleep(Duration::from_millis(100)).await;
    drop(cluster.nodes.remove(0));
    assert_complete_results(
        &cluster.nodes[0].wait_for_results("j1").await,
        &SUCCEEDING_ITEMS,
    );
}

/// Guards against jobs that are lost when their owner stops: the owner must release
/// them, so that another instance completes them.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_stopping_owner_is_released() {
    let mut cluster = TestCluster::start(&[4], 2).await;
    let delay_fault = json!({"kind": {"slow": {"delay_ms": 300}}, "path": "/batch/"});
    cluster
        .inject_fault(cluster.servers[0].standin.address(), delay_fault)
        .await;
    let answer = cluster.nodes[0].submit_job("j1", &SUCCEEDING_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    cluster.nodes[0].signal(Signal::SIGTERM);
    assert_complete_results(
        &cluster.nodes[1].wait_for_results("j1").await,
        &SUCCEEDING_ITEMS,
    );
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// Guards against items that still start after a job was ended. The server has no
/// slots and refuses every item, so the owner retries the items until the job is ended.
#[tokio::test(flavor = "multi_thread")]
async fn job_that_was_ended_starts_no_items() {
    let cluster = TestCluster::start(&[0], 2).await;
    let answer = cluster.nodes[0].submit_job("j1", &SUCCEEDING_ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    for _ in 0..2 {
        let end_answer = cluster.nodes[1]
            .send_job_request("DELETE", "/lots/j1")
            .await;
        assert_eq!(end_answer.status, StatusCode::OK);
    }
    sleep(Duration::from_millis(300)).await;
    let fault_counts = async || {
        let address = cluster.servers[0].standin.address();
        let answer = send_request(address, "GET", "/standin/faults", &[], Vec::new()).await;
        answer.unwrap().body
    };
    // A delay of 0 ms changes nothing but counts each item that reaches the server
    // from now on.
    let counting_fault = json!({"kind": {"slow": {"delay_ms": 0}}, "path": "/batch/"});
    cluster
        .inject_fault(cluster.servers[0].standin.address(), counting_fault)
        .await;
    let counts_before = fault_counts().await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(fault_counts().await, counts_before);
}

#[tokio::test(flavor = "multi_thread")]
async fn job_submitted_during_store_outage_is_refused() {
    let cluster = TestCluster::start(&[4], 1).await;
    cluster
        .inject_fault(cluster.store.address(), json!({"kind": "refuse"}))
        .await;
    let answer = cluster.nodes[0].submit_job("j1", &SUCCEEDING_ITEMS).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let results_answer = cluster.nodes[0].read_results("j1", 0).await;
    assert_eq!(
        results_answer.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "not 404: without the store it is unknown whether the job exists"
    );
    cluster.clear_faults(cluster.store.address()).await;
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        cluster.nodes[0].read_results("j1", 0).await.status,
        StatusCode::NOT_FOUND
    );
    assert!(cluster.server_runs().await.is_empty());
}

/// Guards against doubt about a write that the store refuses: the store answers feeds, but
/// refuses all other calls. Each answer to a feed looks like the end of an outage while a
/// write of the job is in flight. The process must still receive the refusal of that write.
#[tokio::test(flavor = "multi_thread")]
async fn job_refused_by_store_that_answers_feeds_is_refused() {
    let cluster = TestCluster::start(&[4], 1).await;
    let store = cluster.store.address();
    let late_refusal = json!({"kind": {"refuse_late": {"delay_ms": LATE_REFUSAL_MS}},
                              "path": "/rows-tx", "contains": "redwingtack_items"});
    cluster.inject_fault(store, late_refusal).await;
    for path in ["/rows-tx", "/rows-get"] {
        let fault = json!({"kind": "refuse", "path": path});
        cluster.inject_fault(store, fault).await;
    }
    let change_servers = async {
        for _ in 0..3 {
            sleep(OUTAGE_BETWEEN_FEED_ANSWERS).await;
            wait_for_next_fault(store).await;
            // The change ends the feed calls of the table of servers.
            cluster.register_server(0, "ready").await;
        }
    };
    let submission = cluster.nodes[0].submit_job("j1", &SUCCEEDING_ITEMS);
    let (answer, ()) = tokio::join!(submission, change_servers);
    let log = cluster.nodes[0].log();
    assert!(log.contains("event=store_regained table=servers"), "{log}");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{log}");
    cluster.clear_faults(store).await;
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        cluster.nodes[0].read_results("j1", 0).await.status,
        StatusCode::NOT_FOUND
    );
    assert!(cluster.server_runs().await.is_empty());
}

/// Waits until a fault applies to one more request at a stand-in.
async fn wait_for_next_fault(address: SocketAddr) {
    let fault_count = async || {
        let answer = send_request(address, "GET", "/standin/faults", &[], Vec::new()).await;
        answer.unwrap().body
    };
    let count_before = fault_count().await;
    while fault_count().await == count_before {
        sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against stale tables: after an outage, the store discards its change
/// history before an instance has followed the change that drains a server. The
/// instance must read the tables again and send that server no more requests.
#[tokio::test(flavor = "multi_thread")]
async fn feed_with_lost_history_rereads_tables() {
    let cluster = TestCluster::start(&[4, 4], 1).await;
    let store = cluster.store.address();
    cluster
        .inject_fault(store, json!({"kind": "down", "for_ms": 500}))
        .await;
    sleep(Duration::from_millis(100)).await;
    sleep(Duration::from_millis(600)).await;
    cluster.register_server(0, "draining").await;
    send_request(store, "POST", "/standin/forget", &[], Vec::new())
        .await
        .unwrap();
    sleep(Duration::from_millis(1_500)).await;
    for index in 0..10 {
        cluster.nodes[0]
            .send_stream_request("/long/a", &format!("r{index}"))
            .await;
    }
    let address = cluster.servers[0].standin.address();
    let runs = send_request(address, "GET", "/standin/runs", &[], Vec::new()).await;
    assert_eq!(runs.unwrap().body, "{}");
}

/// Jobs that an earlier version of the program stored have times in Unix milliseconds and
/// no tokens. They must run to their end after an upgrade.
#[tokio::test(flavor = "multi_thread")]
async fn job_stored_by_earlier_version_completes() {
    let mut cluster = TestCluster::start(&[4], 1).await;
    let server = cluster.servers[0].standin.address();
    let hanging_runs = json!({"kind": "hang", "path": "/batch"});
    cluster.inject_fault(server, hanging_runs).await;
    let answer = cluster.nodes[0]
        .submit_job("j1", &[("i0", "/batch/x/0")])
        .await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    cluster.nodes.clear();
    let record = support::jobs::orphaned_job_record();
    cluster.put_job_record("j1", &record).await;
    cluster.clear_faults(server).await;
    cluster.add_node("node-1");
    cluster.nodes[0].wait_until_ready().await;
    let results = cluster.nodes[0].wait_for_results("j1").await;
    assert_eq!(results[0]["output"], complete_output("i0"));
    let runs = cluster.server_runs().await;
    let time_left_ms = runs["i0"].last().unwrap().time_left_ms;
    assert!(time_left_ms.is_some_and(|ms| (50_000..=60_000).contains(&ms)));
}

/// Instances of the last version read the items of a job as one encoded list, split into rows,
/// and may take the job over during an upgrade.
#[tokio::test(flavor = "multi_thread")]
async fn items_are_stored_as_one_encoded_list() {
    let cluster = TestCluster::start(&[4], 1).await;
    // Items that end within a row, at its end and in a later one.
    let items: Vec<_> = (0..200_usize)
        .map(|index| {
            let body = "QUJD".repeat(index * index / 7);
            json!({"id": format!("i{index}"), "path": "/batch/x/0", "body": body,
                   "headers": {"X-A": "b"}, "tokens": 9})
        })
        .collect();
    let answer = cluster.nodes[0].submit_items("j1", &items).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    let mut encoded = Vec::new();
    let store = Store::new(cluster.store.address());
    let range = RowRange::new("redwingtack_items", &support::jobs::job_partition("j1"));
    let mut remaining = Some(range.with_from_key("j1/".to_owned()));
    let mut markers = Vec::new();
    while let Some(range) = remaining {
        let page = store.rows(&range).await.unwrap();
        for row in page.rows.iter().filter(|row| !row.key.contains("tokens")) {
            markers.push(row.value[0]);
            encoded.extend_from_slice(&row.value[1..]);
        }
        remaining = range.after(&page);
    }
    assert!(markers.len() > 100);
    assert_eq!(markers.pop(), Some(1));
    assert!(markers.iter().all(|marker| *marker == 0));
    let (stored, length): (Vec<JobItem>, usize) =
        decode_from_slice(&encoded, bincode::config::standard()).unwrap();
    assert_eq!(length, encoded.len());
    let job = json!({"items": items}).to_string();
    assert_eq!(stored, platform::decode_job(job.as_bytes()).unwrap().items);
}
