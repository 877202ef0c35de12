//! Streams whose servers break them off while a long request is still being sent.

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::StatusCode;
use nix::sys::signal::Signal;
use support::{
    Answer, HOST, TestCluster, complete_output, complete_stream,
    scripted_server::{RequestHead, ScriptedServer, chunk, events},
    send_request, wait_until,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// Events that the server sends before it breaks off.
const EVENTS_BEFORE_RESET: u64 = 3;
/// Size of the requests, which exceeds what the connections hold, bytes.
const BODY_BYTES: usize = 3_900_000;
/// Receive buffer of the server, bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Time in which a process reads what has arrived.
const TIME_TO_READ: Duration = Duration::from_millis(150);

/// Connections whose requests the server has read in part.
type Connections = Arc<Mutex<Vec<(RequestHead, TcpStream)>>>;

/// Starts a cluster with a server that keeps connections open until [`break_off`] is called,
/// and a sound one, which is draining at first.
async fn start() -> (TestCluster, Connections) {
    let connections = Connections::default();
    let open = Arc::clone(&connections);
    let server =
        ScriptedServer::start_with_receive_buffer(RECEIVE_BUFFER_BYTES, move |head, stream| {
            begin_answer(head, stream, Arc::clone(&open))
        });
    let cluster = TestCluster::start(&[8], 1).await;
    cluster.register_server(0, "draining").await;
    server.register(&cluster, "resetting", 8).await;
    sleep(Duration::from_millis(300)).await;
    (cluster, connections)
}

/// Sends the head of an answer and its first event.
async fn begin_answer(head: RequestHead, mut stream: TcpStream, open: Connections) {
    let begin = "HTTP/1.1 200 OK\r\nRedwingtack-Server-Stamp: stamp\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = format!("{begin}{}", chunk(&events(&head.id, 1..=1)));
    stream.write_all(answer.as_bytes()).await.unwrap();
    open.lock().unwrap().push((head, stream));
}

/// Sends further events on each connection while the process is paused, and closes the
/// connection, which resets it as the request has not been read. The process then finds the
/// events and the reset at the same time.
async fn break_off(cluster: &TestCluster, connections: &Connections) {
    sleep(TIME_TO_READ).await;
    cluster.nodes[0].signal(Signal::SIGSTOP);
    let open = std::mem::take(&mut *connections.lock().unwrap());
    for (head, mut stream) in open {
        let last_events = chunk(&events(&head.id, 2..=EVENTS_BEFORE_RESET));
        stream.write_all(last_events.as_bytes()).await.unwrap();
    }
    sleep(TIME_TO_READ).await;
    cluster.nodes[0].signal(Signal::SIGCONT);
}

async fn send_long_request(address: SocketAddr, path: &'static str) -> Answer {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", "r"),
        ("redwingtack-deadline-ms", "4000"),
    ];
    send_request(address, "POST", path, &headers, vec![b'x'; BODY_BYTES])
        .await
        .unwrap()
}

async fn wait_for_connection(connections: &Connections) {
    wait_until("the server has the request", async || {
        !connections.lock().unwrap().is_empty()
    })
    .await;
}

/// Guards against a stream that ends as complete although its server reset it: the error came
/// in the same pass as the last events, and was dropped with the frames read ahead.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_is_reset_with_its_last_events_is_not_complete() {
    let (cluster, connections) = start().await;
    let address = cluster.nodes[0].callers_address;
    let request = tokio::spawn(send_long_request(address, "/once/x"));
    wait_for_connection(&connections).await;
    break_off(&cluster, &connections).await;
    let answer = request.await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.is_complete, "{}", answer.body);
    // What came before the error is passed on.
    assert_eq!(answer.body, events("r", 1..=EVENTS_BEFORE_RESET));
}

/// The same for a stream that another server may resume.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_is_reset_with_its_last_events_goes_on_after_them() {
    let (cluster, connections) = start().await;
    let address = cluster.nodes[0].callers_address;
    let request = tokio::spawn(send_long_request(address, "/long/x"));
    wait_for_connection(&connections).await;
    cluster.register_server(0, "ready").await;
    break_off(&cluster, &connections).await;
    let answer = request.await.unwrap();
    assert_eq!(answer.body, complete_stream("r"));
    assert!(answer.is_complete);
    let runs = &cluster.server_runs().await["r"];
    assert_eq!(runs[0].after_event, Some(EVENTS_BEFORE_RESET));
}

/// The same for an item of a batch job, which goes on after the events that it has. Its request
/// is short, so that its connection is closed rather than reset.
#[tokio::test(flavor = "multi_thread")]
async fn item_whose_connection_ends_with_its_last_events_is_not_done() {
    let (cluster, connections) = start().await;
    cluster.nodes[0]
        .submit_job("j", &[("i0", "/batch/x/0")])
        .await;
    wait_for_connection(&connections).await;
    cluster.register_server(0, "ready").await;
    break_off(&cluster, &connections).await;
    let results = cluster.nodes[0].wait_for_results("j").await;
    assert_eq!(results[0]["output"], complete_output("i0"));
}
