//! Requests in progress while more connections open than the process may have.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use support::{
    EVENTS_PER_STREAM, complete_stream,
    crowd_cluster::CrowdCluster,
    scripted_server::{RequestHead, ScriptedServer, events},
    send_stream_request,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
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
