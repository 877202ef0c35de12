//! Answers that have neither a length nor chunks and end with their connection.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use serde_json::json;
use support::{EVENTS_PER_STREAM, TestCluster, complete_output, complete_stream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// How the server ends its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// After the last event.
    Complete,
    /// In the middle of the third event.
    WithinEvent,
}

/// Starts a server whose answers end with their connections.
async fn start_server(end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(answer(socket, end));
        }
    });
    address
}

async fn answer(mut socket: TcpStream, end: End) {
    let mut buffer = vec![0; 4_096];
    let length = socket.read(&mut buffer).await.unwrap_or(0);
    let request = String::from_utf8_lossy(&buffer[..length]).into_owned();
    let lines = request.lines().filter_map(|line| line.split_once(": "));
    let Some((_, id)) = lines
        .clone()
        .find(|(name, _)| *name == "redwingtack-request-id")
    else {
        return;
    };
    let events: Vec<_> = (1..=EVENTS_PER_STREAM)
        .map(|event| format!("id: {event}\ndata: {id} {event}\n\n"))
        .collect();
    let body = match end {
        End::Complete => events.concat(),
        End::WithinEvent => format!("{}id: 3\ndata: {id}", events[..2].concat()),
    };
    let head = "HTTP/1.1 200 OK\r\nRedwingtack-Server-Stamp: stamp\r\n\r\n";
    // The other side may have closed the connection.
    let _ = socket.write_all(format!("{head}{body}").as_bytes()).await;
}

/// Starts a cluster with a server of this kind. Its sound server is draining at first.
async fn start_cluster(end: End) -> TestCluster {
    let cluster = TestCluster::start(&[8], 1).await;
    cluster.register_server(0, "draining").await;
    let address = start_server(end).await;
    let registration = json!({
        "service": "oracle", "addr": address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1
    });
    cluster
        .put_row("servers", "undelimited", &registration)
        .await;
    sleep(Duration::from_millis(300)).await;
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_undelimited_stream_is_forwarded() {
    let cluster = start_cluster(End::Complete).await;
    let answer = cluster.nodes[0].send_stream_request("/once/x", "r").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, complete_stream("r"));
    assert!(answer.is_complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn undelimited_stream_that_ends_within_an_event_is_not_complete() {
    let cluster = start_cluster(End::WithinEvent).await;
    let answer = cluster.nodes[0].send_stream_request("/once/x", "r").await;
    assert!(!answer.is_complete);
    cluster.register_server(0, "ready").await;
    sleep(Duration::from_millis(300)).await;
    for index in 0..8 {
        let id = format!("r{index}");
        let answer = cluster.nodes[0].send_stream_request("/long/x", &id).await;
        assert_eq!(answer.body, complete_stream(&id));
        assert!(answer.is_complete);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn item_whose_undelimited_stream_ends_within_an_event_runs_again() {
    let cluster = start_cluster(End::WithinEvent).await;
    let items = [("i0", "/batch/x/0"), ("i1", "/batch/x/1")];
    cluster.nodes[0].submit_job("j", &items).await;
    sleep(Duration::from_millis(300)).await;
    cluster.register_server(0, "ready").await;
    let results = cluster.nodes[0].wait_for_results("j").await;
    for result in results {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["output"], complete_output(id));
    }
}
