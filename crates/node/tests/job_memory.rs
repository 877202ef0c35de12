//! Memory that accepted jobs take up in real node processes.

mod support;

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use http::StatusCode;
use serde_json::{Value, json};
use support::{TestCluster, complete_output};
use tokio::time::sleep;

/// Memory that the processes may take up, MB.
const MEMORY_MB: u64 = 64;
/// Number of jobs; their bodies are larger than [`MEMORY_MB`] together.
const JOB_COUNT: usize = 30;
const ITEMS_PER_JOB: usize = 10;
/// Size of the body of an item, bytes. A job stays below the limit of bodies.
const ITEM_BODY_BYTES: usize = 280_000;

/// Number of jobs of items with long headers, which together are larger than the part of
/// [`MEMORY_MB`] that contents may take up.
const HEADER_JOB_COUNT: usize = 12;
const ITEMS_PER_HEADER_JOB: usize = 100;
/// Size of the header of an item, bytes. The pages allow 16,384 for all headers.
const HEADER_BYTES: usize = 15_000;

fn job_id(job: usize) -> String {
    format!("job-{job}")
}

fn item_id(job: usize, item: usize) -> String {
    format!("{job}-{item}")
}

/// Returns the body of an item, which differs from those of all others.
fn item_body(id: &str) -> String {
    let mut body = format!("{id} ").repeat(ITEM_BODY_BYTES / (id.len() + 1));
    body.push_str(id);
    body
}

fn items(job: usize) -> Vec<Value> {
    let item = |item| {
        let id = item_id(job, item);
        let body = BASE64.encode(item_body(&id));
        json!({"id": id, "path": "/batch/x/0", "headers": {}, "body": body, "tokens": 9})
    };
    (0..ITEMS_PER_JOB).map(item).collect()
}

/// Returns the header of an item, which differs from those of all others.
fn item_header(id: &str) -> String {
    let mut header = format!("{id}-").repeat(HEADER_BYTES / (id.len() + 1));
    header.push_str(id);
    header
}

/// Returns items without bodies. Their servers tell the header by its name.
fn items_of_long_headers(job: usize) -> Vec<Value> {
    let item = |item| {
        let id = item_id(job, item);
        let headers = json!({"Redwingtack-Tenant": item_header(&id)});
        json!({"id": id, "path": "/batch/x/0", "headers": headers, "body": "", "tokens": 9})
    };
    (0..ITEMS_PER_HEADER_JOB).map(item).collect()
}

/// Starts two servers that answer no item yet, and two processes with little memory.
async fn start_cluster(slots: u32) -> TestCluster {
    let mut cluster = TestCluster::start_without_config(&[slots, slots], 0).await;
    cluster.put_config(1).await;
    for server in &cluster.servers {
        let hanging_items = json!({"kind": "hang", "path": "/batch"});
        cluster
            .inject_fault(server.standin.address(), hanging_items)
            .await;
    }
    cluster.memory_mb = Some(MEMORY_MB);
    for name in ["node-0", "node-1"] {
        cluster.add_node(name);
    }
    for node in &cluster.nodes {
        node.wait_until_ready().await;
    }
    cluster
}

async fn submit_jobs(cluster: &TestCluster) {
    for job in 0..JOB_COUNT {
        let answer = cluster.nodes[0]
            .submit_items(&job_id(job), &items(job))
            .await;
        assert_eq!(answer.status, StatusCode::ACCEPTED);
    }
}

async fn assert_bodies_readable(cluster: &TestCluster, jobs: &[usize]) {
    for job in jobs {
        let item = item_id(*job, ITEMS_PER_JOB - 1);
        let path = format!("/items/{}?id={item}", job_id(*job));
        let answer = cluster.nodes[0].send_job_request("GET", &path).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.body == item_body(&item), "body of {item}");
    }
}

/// Ends the faults of the servers, and waits for the results of all jobs.
async fn assert_all_done(cluster: &TestCluster) {
    assert_results(cluster, JOB_COUNT, ITEMS_PER_JOB).await;
    for (id, runs) in cluster.server_runs().await {
        for run in runs {
            assert!(run.body == item_body(&id), "run of {id}");
        }
    }
}

/// Ends the faults of the servers, and waits until all items of all jobs are done.
async fn assert_results(cluster: &TestCluster, jobs: usize, items_per_job: usize) {
    for server in &cluster.servers {
        cluster.clear_faults(server.standin.address()).await;
    }
    for job in 0..jobs {
        let results = cluster.nodes[0].wait_for_results(&job_id(job)).await;
        assert_eq!(results.len(), items_per_job);
        for result in results {
            let id = result["id"].as_str().unwrap();
            assert_eq!(result["state"], "done", "{id}");
            assert_eq!(result["output"], complete_output(id), "{id}");
        }
    }
}

fn assert_within_memory(cluster: &TestCluster) {
    for node in &cluster.nodes {
        let peak_bytes = node.peak_memory_bytes();
        println!("peak memory: {peak_bytes} bytes");
        assert!(peak_bytes < MEMORY_MB * 1_000_000, "{peak_bytes} bytes");
    }
}

/// Guards against a process that runs out of memory because it holds the bodies of all jobs
/// that it has accepted.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_jobs_stay_within_memory() {
    let cluster = start_cluster(4).await;
    submit_jobs(&cluster).await;
    assert_bodies_readable(&cluster, &[0, JOB_COUNT - 1]).await;
    assert_within_memory(&cluster);
    let outage = json!({"kind": "down", "for_ms": 1_000});
    cluster.inject_fault(cluster.store.address(), outage).await;
    assert_all_done(&cluster).await;
    assert_within_memory(&cluster);
}

/// Guards against a process that runs out of memory because it takes over all jobs of a peer.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_killed_owner_stay_within_memory() {
    let mut cluster = start_cluster(4).await;
    submit_jobs(&cluster).await;
    drop(cluster.nodes.remove(0));
    sleep(Duration::from_secs(4)).await;
    assert_bodies_readable(&cluster, &[0, JOB_COUNT - 1]).await;
    assert_all_done(&cluster).await;
    assert_within_memory(&cluster);
}

/// Guards against headers of accepted jobs that stay in memory, and against items that run without
/// the headers that were dropped.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_with_their_headers_and_stay_within_memory() {
    let mut cluster = start_cluster(16).await;
    for job in 0..HEADER_JOB_COUNT {
        let items = items_of_long_headers(job);
        let answer = cluster.nodes[0].submit_items(&job_id(job), &items).await;
        assert_eq!(answer.status, StatusCode::ACCEPTED);
    }
    assert_within_memory(&cluster);
    let log = cluster.nodes[0].log();
    assert!(log.contains("event=job_bodies_dropped "), "{log}");
    drop(cluster.nodes.remove(0));
    sleep(Duration::from_secs(4)).await;
    assert_results(&cluster, HEADER_JOB_COUNT, ITEMS_PER_HEADER_JOB).await;
    assert_within_memory(&cluster);
    let log = cluster.nodes[0].log();
    assert!(log.contains("event=job_bodies_read "), "{log}");
    let runs = cluster.server_runs().await;
    assert_eq!(runs.len(), HEADER_JOB_COUNT * ITEMS_PER_HEADER_JOB);
    for (id, runs) in runs {
        let header = item_header(&id);
        assert!(
            runs.iter()
                .all(|run| run.customer.as_ref() == Some(&header)),
            "{id}"
        );
    }
}
