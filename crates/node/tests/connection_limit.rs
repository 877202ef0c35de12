//! Requests in progress while more connections open than the process may have.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use support::{
    EVENTS_PER_STREAM, HOST, complete_stream,
    crowd_cluster::CrowdCluster,
    crowd_load::Load,
    scripted_server::{RequestHead, ScriptedServer, events},
    send_stream_request,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::Mutex,
    task::JoinSet,
    time::sleep,
};

/// Number of requests in progress.
const REQUESTS: usize = 40;
/// Number of connections without a request, of which none has to be opened twice.
const CONNECTIONS: usize = 180;
/// Pause of the server before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(250);
/// Time in which all requests have reached the server.
const BEGIN_TIME: Duration = Duration::from_millis(500);
/// Time within which the process closes a connection, or not at all.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of connections that callers may have: half of the 200 sockets of the machine.
const CALLERS_MAX: usize = 100;
/// Time that the server takes for an item, which is longer than the test.
const ITEM_DURATION: Duration = Duration::from_mins(1);
/// Size of an item, bytes.
const ITEM_BYTES: usize = 1_200_000;
/// Number of requests that a caller sends without reading an answer. The system does not buffer
/// so many answers.
const UNREAD_ANSWERS: usize = 3;
/// Size of the receive buffer of a caller that does not read, bytes.
const CALLER_BUFFER_BYTES: u32 = 4_096;

/// Only one test of this file runs at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn answer_slowly(head: RequestHead, mut stream: TcpStream) {
    let begin = "HTTP/1.1 200 OK\r\nRedwingtack-Server-Stamp: stamp\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    // The other side may have closed the connection.
    let _ = stream.write_all(begin.as_bytes()).await;
    for event in 1..=EVENTS_PER_STREAM {
        sleep(EVENT_PAUSE).await;
        let event = events(&head.id, event..=event);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let _ = stream.write_all(chunk.as_bytes()).await;
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

async fn open_connections(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    streams
}

/// Returns how many connections the process has not closed.
async fn count_open(streams: Vec<TcpStream>) -> usize {
    sleep(CLOSE_TIMEOUT).await;
    let is_open = |stream: &TcpStream| {
        let read = stream.try_read(&mut [0]);
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    };
    streams.iter().filter(|stream| is_open(stream)).count()
}

/// Guards against a request that was passed on and whose connection is closed to make room.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_are_answered_beside_idle_connections() {
    let _turn = TURN.lock().await;
    let cluster = CrowdCluster::start(Duration::ZERO).await;
    let server = ScriptedServer::start(answer_slowly);
    server.register(&cluster.cluster, "s0", 64).await;
    sleep(BEGIN_TIME).await;
    let address = cluster.cluster.nodes[0].callers_address;
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        requests.spawn(async move {
            let id = format!("slow-{number}");
            let answer = send_stream_request(address, "/long/x", &id).await;
            (id, answer)
        });
    }
    sleep(BEGIN_TIME).await;
    let streams = open_connections(address).await;
    let open = count_open(streams).await;
    assert!(open > 0 && open <= CALLERS_MAX - REQUESTS, "{open}");
    for (id, answer) in requests.join_all().await {
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.is_complete, "{id}");
        assert_eq!(answer.body, complete_stream(&id));
    }
    cluster.assert_holds_after(CONNECTIONS);
}

/// Guards against connections that keep their place although nothing comes on them.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request_make_room_for_new_ones() {
    let _turn = TURN.lock().await;
    let mut cluster = CrowdCluster::start(Duration::ZERO).await;
    let address = cluster.cluster.nodes[0].callers_address;
    let mut first = TcpStream::connect(address).await.unwrap();
    sleep(BEGIN_TIME).await;
    let streams = open_connections(address).await;
    assert_eq!(first.read(&mut [0]).await.unwrap(), 0);
    cluster.serve_ordinary("beside").await;
    drop(streams);
    cluster.assert_holds_after(CONNECTIONS);
}

/// Sends requests for the body of an item and leaves the answers unread.
async fn request_items(address: SocketAddr, job: &str, item: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    for number in 1..=UNREAD_ANSWERS {
        let connection = if number < UNREAD_ANSWERS {
            "keep-alive"
        } else {
            "close"
        };
        let head = format!(
            "GET /items/{job}?id={item} HTTP/1.1\r\nHost: {HOST}\r\nConnection: {connection}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
    }
    stream
}

/// Guards against an answer that is lost because its caller reads it slowly: the connection looks
/// idle to those who know only that the answer is complete.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_is_read_slowly_is_whole_beside_idle_connections() {
    let _turn = TURN.lock().await;
    let mut cluster = CrowdCluster::start(ITEM_DURATION).await;
    let load = Load::jobs(1, ITEM_BYTES);
    let outcomes = cluster.press("job", 1, &load).await;
    let job = outcomes.keys().next().unwrap();
    let address = cluster.cluster.nodes[0].callers_address;
    let mut caller = request_items(address, job, &load.last_item_id(job)).await;
    sleep(BEGIN_TIME).await;
    let streams = open_connections(address).await;
    let open = count_open(streams).await;
    assert!(open > 0 && open < CALLERS_MAX, "{open}");
    let mut answer = Vec::new();
    // An error means that the answers are cut.
    let _ = caller.read_to_end(&mut answer).await;
    assert!(answer.starts_with(b"HTTP/1.1 200 "));
    let answer_bytes = answer.len();
    assert!(answer_bytes > UNREAD_ANSWERS * ITEM_BYTES, "{answer_bytes}");
    assert!(answer.ends_with(&load.item_content()));
    cluster.assert_holds_after(CONNECTIONS);
}
