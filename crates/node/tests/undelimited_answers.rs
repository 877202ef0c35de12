//! Answers that have neither a length nor chunks and end with their connection.

mod support;

use std::time::Duration;

use http::StatusCode;
use support::{
    EVENTS_PER_STREAM, TestCluster, complete_output, complete_stream,
    scripted_server::{RequestHead, ScriptedServer, events},
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// How the server ends its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// After the last event.
    Complete,
    /// In the middle of the third event.
    WithinEvent,
}

/// Answers without a length, so that the answer ends with its connection.
async fn answer(request: RequestHead, mut stream: TcpStream, end: End) {
    let id = &request.id;
    let body = match end {
        End::Complete => events(id, 1..=EVENTS_PER_STREAM),
        End::WithinEvent => format!("{}id: 3\ndata: {id}", events(id, 1..=2)),
    };
    let head = "HTTP/1.1 200 OK\r\nRedwingtack-Server-Stamp: stamp\r\n\r\n";
    // The other side may have closed the connection.
    let _ = stream.write_all(format!("{head}{body}").as_bytes()).await;
}

/// Starts a cluster with a server of this kind. Its sound server is draining at first.
async fn start_cluster(end: End) -> TestCluster {
    let cluster = TestCluster::start(&[8], 1).await;
    cluster.register_server(0, "draining").await;
    let server = ScriptedServer::start(move |request, stream| answer(request, stream, end));
    server.register(&cluster, "undelimited", 8).await;
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
