//! Callers' streams through real node processes.

mod support;

use std::{process::Stdio, time::Duration};

use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{EVENTS_PER_STREAM, HOST, TestCluster, complete_stream, send_request, wait_until};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_forwarded_completely() {
    let cluster = TestCluster::start(&[4, 4], 1).await;
    let answer = cluster.nodes[0]
        .send_stream_request("/long/a?b=c", "r1")
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["redwingtack-server-stamp"], "stamp");
    assert_eq!(answer.headers["redwingtack-request-id"], "r1");
    assert_eq!(answer.body, complete_stream("r1"));
    assert!(answer.is_complete);
    let runs = &cluster.server_runs().await["r1"];
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].body, "prompt");
    assert!(runs[0].time_left_ms.unwrap() <= 4_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_configuration_is_refused_and_not_ready() {
    let cluster = TestCluster::start_without_config(&[4], 1).await;
    let node = &cluster.nodes[0];
    let path = "/long/a";
    wait_until("the node accepts connections", async || {
        send_request(
            node.callers_address,
            "POST",
            path,
            &[("host", HOST)],
            Vec::new(),
        )
        .await
        .is_ok()
    })
    .await;
    assert!(!node.is_ready().await);
    let answer = node.send_stream_request(path, "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    cluster.put_config(1).await;
    node.wait_until_ready().await;
    assert_eq!(
        node.send_stream_request("/nowhere/", "r2").await.status,
        StatusCode::NOT_FOUND
    );
}

/// Guards against truncated streams: a server closes the connection in the middle
/// of a stream. Another server must resume the stream after the last complete event,
/// so that the caller gets all events.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_is_resumed_at_another_server() {
    let cluster = TestCluster::start(&[4, 4], 1).await;
    cluster.break_next_streams(3).await;
    let answer = cluster.nodes[0].send_stream_request("/long/a", "r1").await;
    assert_eq!(answer.body, complete_stream("r1"));
    assert!(answer.is_complete);
    let runs = &cluster.server_runs().await["r1"];
    let resumed: Vec<_> = runs.iter().map(|run| run.after_event).collect();
    assert!(resumed.contains(&Some(3)), "{resumed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_that_is_not_resumable_is_truncated() {
    let cluster = TestCluster::start(&[4, 4], 1).await;
    cluster.break_next_streams(3).await;
    let answer = cluster.nodes[0].send_stream_request("/once/a", "r1").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.is_complete);
    assert_eq!(cluster.server_runs().await["r1"].len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_have_run_is_answered_as_bad_gateway() {
    let cluster = TestCluster::start(&[4], 1).await;
    let address = cluster.servers[0].standin.address();
    let fault = json!({"kind": "reset_after_body", "path": "/once/"});
    cluster.inject_fault(address, fault).await;
    let answer = cluster.nodes[0].send_stream_request("/once/a", "r1").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(cluster.server_runs().await["r1"].len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_all_servers_full_is_refused_at_once() {
    let cluster = TestCluster::start(&[0, 0], 1).await;
    let started = std::time::Instant::now();
    let answer = cluster.nodes[0].send_stream_request("/once/a", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_secs(1));
    assert!(cluster.server_runs().await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_server_gets_no_requests() {
    let cluster = TestCluster::start(&[4, 4], 1).await;
    cluster.register_server(0, "draining").await;
    sleep(Duration::from_millis(300)).await;
    for index in 0..20 {
        cluster.nodes[0]
            .send_stream_request("/long/a", &format!("r{index}"))
            .await;
    }
    let address = cluster.servers[0].standin.address();
    let runs = send_request(address, "GET", "/standin/runs", &[], Vec::new()).await;
    assert_eq!(runs.unwrap().body, "{}");
}

/// Guards against wasted slots: when the caller disconnects, the server must stop
/// generating the stream.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_disconnected_caller_ends_at_server() {
    let cluster = TestCluster::start(&[4], 1).await;
    let address = cluster.servers[0].standin.address();
    let delay_fault = json!({"kind": {"slow": {"delay_ms": 50}}});
    cluster.inject_fault(address, delay_fault).await;
    let mut stream = TcpStream::connect(cluster.nodes[0].callers_address)
        .await
        .unwrap();
    let head = format!("POST /long/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    wait_until("stream runs", async || cluster.running_count(0).await == 1).await;
    drop(stream);
    wait_until("stream ended", async || cluster.running_count(0).await == 0).await;
    sleep(Duration::from_millis(EVENTS_PER_STREAM * 10)).await;
    assert_eq!(cluster.running_count(0).await, 0);
}

/// Guards against truncated streams at a planned stop: the process must fail
/// readiness checks at once and still complete the streams that are open or arrive
/// before the platform reacts.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_streams() {
    let mut cluster = TestCluster::start(&[8], 1).await;
    let address = cluster.servers[0].standin.address();
    let delay_fault = json!({"kind": {"slow": {"delay_ms": 500}}});
    cluster.inject_fault(address, delay_fault).await;
    let node = &cluster.nodes[0];
    let request = node.send_stream_request("/long/a", "r1");
    let stop = async {
        sleep(Duration::from_millis(100)).await;
        node.signal(Signal::SIGTERM);
        wait_until("the node is not ready", async || !node.is_ready().await).await;
        // Callers still arrive until the platform reacts to the readiness checks.
        node.send_stream_request("/long/a", "r2").await
    };
    let (first, second) = tokio::join!(request, stop);
    assert_eq!(first.body, complete_stream("r1"));
    assert_eq!(second.body, complete_stream("r2"));
    assert_eq!(second.headers["connection"], "close");
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// Guards against requests that wait for the log: if nobody reads standard output,
/// log lines must be dropped.
#[tokio::test(flavor = "multi_thread")]
async fn unread_standard_output_blocks_no_requests() {
    let mut cluster = TestCluster::start(&[8], 0).await;
    cluster.add_node_with_output("node-0", Some(Stdio::piped()));
    cluster.nodes[0].wait_until_ready().await;
    for index in 0..400 {
        let answer = cluster.nodes[0]
            .send_stream_request("/nowhere/a", &format!("r{index}"))
            .await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
    }
    let answer = cluster.nodes[0]
        .send_stream_request("/long/a", "last")
        .await;
    assert_eq!(answer.body, complete_stream("last"));
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_store_blocks_no_requests() {
    let cluster = TestCluster::start(&[4], 1).await;
    let store = cluster.store.address();
    cluster
        .inject_fault(store, json!({"kind": "down", "for_ms": 3_000}))
        .await;
    sleep(Duration::from_millis(200)).await;
    let answer = cluster.nodes[0].send_stream_request("/long/a", "r1").await;
    assert_eq!(answer.body, complete_stream("r1"));
}

/// Guards against a process that loses its settings: an invalid settings file must
/// be refused, and the old settings must stay in force.
#[tokio::test(flavor = "multi_thread")]
async fn reload_of_invalid_settings_file_changes_nothing() {
    let cluster = TestCluster::start(&[4], 1).await;
    let node = &cluster.nodes[0];
    std::fs::write(node.settings_path(), "{}").unwrap();
    node.signal(Signal::SIGHUP);
    // Long enough for the process to detect the change without the signal, too: it
    // checks the file every 2 s.
    sleep(Duration::from_millis(2_300)).await;
    assert!(node.is_ready().await);
    assert_eq!(
        node.send_stream_request("/long/a", "r1").await.body,
        complete_stream("r1")
    );
}

/// Guards against a late configuration after an outage of the store: the feed
/// connections go silent permanently, and the answers to heartbeats show that the store
/// has recovered. The feeds must then reconnect without waiting for their own
/// time-outs.
#[tokio::test(flavor = "multi_thread")]
async fn silent_feeds_reconnect_after_store_recovery() {
    let cluster = TestCluster::start(&[4], 1).await;
    let store = cluster.store.address();
    let hang_fault = json!({"kind": "hang", "path": "/rows-feed", "for_ms": 600});
    cluster.inject_fault(store, hang_fault).await;
    // A change ends the feed call in flight, so that the next call hangs.
    cluster.put_config(2).await;
    sleep(Duration::from_millis(620)).await;
    let refuse_fault = json!({"kind": "refuse", "path": "/rows-tx", "for_ms": 1_400});
    cluster.inject_fault(store, refuse_fault).await;
    sleep(Duration::from_millis(1_500)).await;
    cluster.put_config(3).await;
    let node = &cluster.nodes[0];
    let started = std::time::Instant::now();
    wait_until("configuration version 3 is in force", async || {
        node.send_stream_request("/version-3/a", "r1").await.status == StatusCode::OK
    })
    .await;
    assert!(
        started.elapsed() < Duration::from_millis(1_150),
        "{:?}",
        started.elapsed()
    );
}

/// Guards against truncated streams at a planned stop: a stream that is still open
/// when the process begins to refuse connections must be completed.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_stream_that_ends_late() {
    let mut cluster = TestCluster::start(&[8], 1).await;
    let address = cluster.servers[0].standin.address();
    let delay_fault = json!({"kind": {"slow": {"delay_ms": 3_500}}, "path": "/once/"});
    cluster.inject_fault(address, delay_fault).await;
    let node = &cluster.nodes[0];
    node.signal(Signal::SIGTERM);
    sleep(Duration::from_secs(1)).await;
    let answer = node.send_stream_request("/once/a", "r1").await;
    assert_eq!(answer.body, complete_stream("r1"));
    assert!(cluster.nodes[0].wait_for_exit().await);
}

/// Guards against instances that never become ready after all of them restarted at
/// once. The store's read rate is then too low for all of them and many reads fail. A
/// page that has been read must not be read again, so that every successful read
/// makes progress.
#[tokio::test(flavor = "multi_thread")]
async fn tables_of_three_pages_are_read_at_two_reads_per_second() {
    /// Number of registered servers, which fill three pages.
    const SERVERS: usize = 1_100;
    let mut cluster = TestCluster::start(&[4], 0).await;
    cluster.register_copies(0, SERVERS).await;
    let limit_fault = json!({"kind": {"limit": {"writes_per_s": 100, "reads_per_s": 2}}});
    cluster
        .inject_fault(cluster.store.address(), limit_fault)
        .await;
    cluster.add_node("node-0");
    cluster.nodes[0].wait_until_ready().await;
}
