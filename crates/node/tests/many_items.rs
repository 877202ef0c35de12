//! Jobs of many small items or headers, at a process with little memory. The pages allow 200 items.

mod support;

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use support::{
    HOST,
    crowd_cluster::{BODY_MAX_BYTES, CrowdCluster},
    send_request,
};
use tokio::sync::Mutex;

/// Number of jobs, one after the other.
const JOBS: usize = 6;
/// Number of jobs whose items have long headers or paths.
const LONG_JOBS: usize = 40;
/// Size of a long header or path, bytes. The pages allow 16 KB.
const LONG_BYTES: usize = 9_000;
/// Number of items that the pages allow in a job.
const ITEMS_MAX: usize = 200;
/// Time that an item runs, so that no job ends meanwhile.
const ITEM_DURATION: Duration = Duration::from_secs(20);

/// Returns a job of as many items as fit into the maximum size of a body.
fn job_of_small_items(headers: &str) -> String {
    let mut body = String::from("{\"items\":[");
    for number in 0.. {
        let start = if number == 0 { "" } else { "," };
        let item = format!(
            "{start}{{\"id\":\"{number:x}\",\"path\":\"/batch/\",\"headers\":{{{headers}}}}}"
        );
        if body.len() + item.len() + 2 > BODY_MAX_BYTES {
            break;
        }
        body.push_str(&item);
    }
    body.push_str("]}");
    body
}

/// Returns a job that the pages allow, which consists of long headers.
fn job_of_long_headers() -> String {
    let header = "h".repeat(LONG_BYTES);
    let item = |number| {
        format!("{{\"id\":\"{number}\",\"path\":\"/batch/\",\"headers\":{{\"a\":\"{header}\"}}}}")
    };
    let items: Vec<_> = (0..ITEMS_MAX).map(item).collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Returns a job that the pages allow, which consists of long paths.
fn job_of_long_paths() -> String {
    let path = "h".repeat(LONG_BYTES);
    let item = |number| format!("{{\"id\":\"{number}\",\"path\":\"/batch/{path}\"}}");
    let items: Vec<_> = (0..ITEMS_MAX).map(item).collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Returns a job of as many items as the pages allow, which have so many headers that the body
/// almost has the maximum size.
fn job_of_many_headers() -> String {
    let item_bytes = BODY_MAX_BYTES / ITEMS_MAX - 100;
    let mut headers = String::from("\"h\":\"\"");
    for number in 0.. {
        if headers.len() > item_bytes {
            break;
        }
        write!(headers, ",\"{number:x}\":\"\"").unwrap();
    }
    let item =
        |number| format!("{{\"id\":\"{number}\",\"path\":\"/batch/\",\"headers\":{{{headers}}}}}");
    let items: Vec<_> = (0..ITEMS_MAX).map(item).collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Only one test of this file runs at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn submit(address: SocketAddr, id: &str, body: &str) -> Option<u16> {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id),
        ("redwingtack-deadline-ms", "20000"),
    ];
    let body = body.as_bytes().to_vec();
    let answer = send_request(address, "POST", "/batch/x", &headers, body).await;
    answer.ok().map(|answer| answer.status.as_u16())
}

/// Submits jobs one after the other and checks what must hold.
async fn process_withstands_jobs(jobs: usize, body: &str) {
    assert!(body.len() <= BODY_MAX_BYTES);
    let _turn = TURN.lock().await;
    let mut cluster = CrowdCluster::start(ITEM_DURATION).await;
    let address = cluster.cluster.nodes[0].callers_address;
    let mut statuses = Vec::new();
    for number in 0..jobs {
        statuses.push(submit(address, &format!("job-{number}"), body).await);
    }
    println!("{statuses:?}");
    cluster.serve_ordinary("after").await;
    cluster.assert_holds();
    assert!(statuses.iter().all(Option::is_some), "{statuses:?}");
}

/// Guards against what an item costs besides its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_small_items_stay_within_memory() {
    process_withstands_jobs(JOBS, &job_of_small_items("\"a\":\"\"")).await;
}

/// Guards against what a header of an item costs besides its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_many_headers_stay_within_memory() {
    process_withstands_jobs(JOBS, &job_of_many_headers()).await;
}

/// Guards against the headers of accepted jobs, which stay in memory.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_long_headers_stay_within_memory() {
    process_withstands_jobs(LONG_JOBS, &job_of_long_headers()).await;
}

/// Guards against the paths of accepted jobs, which stay in memory.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_long_paths_stay_within_memory() {
    process_withstands_jobs(LONG_JOBS, &job_of_long_paths()).await;
}

/// An item with more headers than a request can have ended the task that decoded it.
#[tokio::test(flavor = "multi_thread")]
async fn job_with_one_item_of_many_headers_is_answered() {
    let headers: Vec<_> = (0..40_000)
        .map(|number| format!("\"{number}\":\"\""))
        .collect();
    let headers = headers.join(",");
    let item = format!("{{\"id\":\"i\",\"path\":\"/batch/\",\"headers\":{{{headers}}}}}");
    process_withstands_jobs(JOBS, &format!("{{\"items\":[{item}]}}")).await;
}
