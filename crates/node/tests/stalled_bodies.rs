//! Requests whose body stops coming.

mod support;

use std::time::Duration;

use support::{HOST, TestCluster};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Time within which a request must be answered whose route has a time-out of 5 or 15 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

/// Sends a request that states a deadline of an hour and whose body stops short of its end.
/// Returns what comes back until the connection is closed.
async fn send_stalled_request(cluster: &TestCluster, path: &str) -> String {
    let mut caller = TcpStream::connect(cluster.nodes[0].callers_address)
        .await
        .unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRedwingtack-Request-Id: stalled\r\n\
         Redwingtack-Deadline-Ms: 3600000\r\nContent-Length: 9\r\n\r\nfive."
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let read = timeout(ANSWER_TIMEOUT, caller.read_to_string(&mut answer)).await;
    read.expect("the request is answered").unwrap();
    answer
}

/// A caller that states a long deadline and sends no more held its connection for that long.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_body_is_answered_at_the_timeout_of_its_route() {
    let cluster = TestCluster::start(&[8], 1).await;
    let (online, batch) = tokio::join!(
        send_stalled_request(&cluster, "/once/x"),
        send_stalled_request(&cluster, "/batch/x")
    );
    assert!(online.starts_with("HTTP/1.1 408 "), "{online}");
    assert!(batch.starts_with("HTTP/1.1 408 "), "{batch}");
}
