//! Items and requests whose time is up before their server has finished them.

mod support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::join_all;
use serde_json::{Value, json};
use support::{
    HOST, TestCluster, config,
    scripted_server::{RequestHead, ScriptedServer, chunk, events},
    send_request, wait_until,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, sleep_until},
};

/// Number of requests that run at the server at a time.
const SLOTS: u32 = 4;
/// Number of events in an output, and time between them, milliseconds.
const EVENTS: u64 = 10;
const EVENT_INTERVAL_MS: u64 = 100;
/// Path of items that go on until their time is up.
const ENDLESS_PATH: &str = "/batch/endless/0";
/// Path of items that end after [`EVENTS`].
const PATH: &str = "/batch/x/0";
/// Path of requests that get no answer before their time is up.
const SILENT_PATH: &str = "/once/silent";
/// Time that these requests have, milliseconds.
const SILENT_DEADLINE_MS: &str = "250";

/// Item of each run, with the time that it had left, milliseconds.
type Runs = Arc<Mutex<Vec<(String, u64)>>>;

/// Starts a cluster whose only server stops work at the deadline that a request states.
async fn start(slots: u32) -> (TestCluster, Runs) {
    let runs = Runs::default();
    let seen = Arc::clone(&runs);
    let server = ScriptedServer::start(move |head, stream| serve(head, stream, Arc::clone(&seen)));
    let cluster = TestCluster::start(&[], 1).await;
    server.register(&cluster, "s0", slots).await;
    (cluster, runs)
}

async fn serve(head: RequestHead, mut stream: TcpStream, runs: Runs) {
    let time_left_ms = head.time_left_ms.unwrap();
    let deadline = Instant::now() + Duration::from_millis(time_left_ms);
    runs.lock().unwrap().push((head.id.clone(), time_left_ms));
    if head.path == SILENT_PATH {
        sleep_until(deadline).await;
        return;
    }
    let begin = "HTTP/1.1 200 OK\r\nRedwingtack-Server-Stamp: stamp\r\n\
                 Content-Type: text/event-stream\r\nKeep-Alive: timeout=0\r\n\
                 Transfer-Encoding: chunked\r\n\r\n";
    stream.write_all(begin.as_bytes()).await.unwrap();
    let first = head.after_event.unwrap_or(0) + 1;
    let last = if head.path == ENDLESS_PATH {
        u64::MAX
    } else {
        EVENTS
    };
    for event in first..=last {
        let next = Instant::now() + Duration::from_millis(EVENT_INTERVAL_MS);
        sleep_until(next.min(deadline)).await;
        let data = chunk(&events(&head.id, event..=event));
        if next >= deadline || stream.write_all(data.as_bytes()).await.is_err() {
            return;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

/// Stores a configuration in which items are given up after `max_wait_s`.
async fn put_max_wait(cluster: &TestCluster, version: u64, max_wait_s: u64) {
    let mut config = config(version, 0);
    let route = &mut config["routes"][3];
    route["max_wait_s"] = json!(max_wait_s);
    route["due_ms"] = json!(500);
    cluster.put_row("op", "config", &config).await;
    sleep(Duration::from_millis(300)).await;
}

/// Submits a job of `count` items.
async fn submit(cluster: &TestCluster, job: &str, path: &str, count: usize) {
    let headers = json!({"Redwingtack-Token-Counts": format!("10,{EVENTS}")});
    let items: Vec<_> = (0..count)
        .map(|item| {
            json!({"id": format!("{job}-{item}"), "path": path, "headers": headers,
                   "body": "", "tokens": 10 + EVENTS})
        })
        .collect();
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", job),
        ("redwingtack-deadline-ms", "4000"),
    ];
    let body = json!({"items": items}).to_string().into_bytes();
    let address = cluster.nodes[0].callers_address;
    let answer = send_request(address, "POST", "/batch/x", &headers, body);
    assert_eq!(answer.await.unwrap().status, 202);
}

fn states(results: &[Value]) -> Vec<&str> {
    let states = results.iter().map(|result| result["state"].as_str());
    states.map(Option::unwrap).collect()
}

/// Guards against batch work that stands still beside idle servers: each item that ran out of time
/// counted as a failure of its server, and several at once ejected it for seconds.
#[tokio::test(flavor = "multi_thread")]
async fn items_that_run_out_of_time_do_not_eject_their_server() {
    let (cluster, _) = start(SLOTS).await;
    put_max_wait(&cluster, 2, 3).await;
    submit(&cluster, "first", ENDLESS_PATH, SLOTS as usize).await;
    sleep(Duration::from_millis(1_500)).await;
    submit(&cluster, "second", PATH, SLOTS as usize).await;
    let results = cluster.nodes[0].wait_for_results("first").await;
    assert_eq!(states(&results), ["dead"; SLOTS as usize]);
    let results = cluster.nodes[0].wait_for_results("second").await;
    assert_eq!(states(&results), ["done"; SLOTS as usize]);
}

/// Guards against the same ejection by requests of callers who allow little time.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_little_time_do_not_eject_their_server() {
    let (cluster, runs) = start(SLOTS).await;
    put_max_wait(&cluster, 2, 2).await;
    let requests = (0..SLOTS).map(|number| {
        let id = format!("r{number}");
        let address = cluster.nodes[0].callers_address;
        async move {
            let headers = [
                ("host", HOST),
                ("redwingtack-request-id", id.as_str()),
                ("redwingtack-deadline-ms", SILENT_DEADLINE_MS),
            ];
            send_request(address, "POST", SILENT_PATH, &headers, Vec::new()).await
        }
    });
    join_all(requests).await;
    assert_eq!(runs.lock().unwrap().len(), SLOTS as usize);
    // One slot is left to further requests.
    submit(&cluster, "job", PATH, SLOTS as usize - 1).await;
    let results = cluster.nodes[0].wait_for_results("job").await;
    assert_eq!(states(&results), ["done"; SLOTS as usize - 1]);
}

/// Guards against slots that are taken by items which are given up before they can be done, while
/// others wait that can still be done.
#[tokio::test(flavor = "multi_thread")]
async fn items_without_time_to_finish_leave_slots_to_others() {
    let (cluster, runs) = start(1).await;
    put_max_wait(&cluster, 2, 4).await;
    submit(&cluster, "first", PATH, 8).await;
    wait_until("an item is done", async || {
        let answer = cluster.nodes[0].read_results("first", 0).await;
        answer.body.contains("done")
    })
    .await;
    put_max_wait(&cluster, 3, 60).await;
    submit(&cluster, "second", PATH, 4).await;
    cluster.nodes[0].wait_for_results("first").await;
    let results = cluster.nodes[0].wait_for_results("second").await;
    assert_eq!(states(&results), ["done"; 4]);
    let runs = runs.lock().unwrap();
    let needed_ms = EVENTS * EVENT_INTERVAL_MS;
    let is_vain = |run: &&(String, u64)| run.1 < needed_ms;
    assert_eq!(runs.iter().filter(is_vain).count(), 0, "{runs:?}");
}
