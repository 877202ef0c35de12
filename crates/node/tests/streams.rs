//! Streams of callers through the real process.

mod support;

use std::{process::Stdio, time::Duration};

use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{EVENTS_PER_STREAM, HOST, TestCluster, complete_stream, send_request, wait_until};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_forwarded_whole() {
    let world = TestCluster::start(&[4, 4], 1).await;
    let answer = world.nodes[0]
        .send_stream_request("/long/a?b=c", "r1")
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["redwingtack-server-stamp"], "stamp");
    assert_eq!(answer.headers["redwingtack-request-id"], "r1");
    assert_eq!(answer.body, complete_stream("r1"));
    assert!(answer.is_complete);
    let runs = &world.server_runs().await["r1"];
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].body, "prompt");
    assert!(runs[0].time_left_ms.unwrap() <= 4_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_configuration_is_refused_and_not_ready() {
    let world = TestCluster::start_without_config(&[4], 1).await;
    let node = &world.nodes[0];
    let path = "/long/a";
    wait_until("listening", async || {
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
    world.put_config(1).await;
    node.wait_until_ready().await;
    assert_eq!(
        node.send_stream_request("/nowhere/", "r2").await.status,
        StatusCode::NOT_FOUND
    );
}

/// A server breaks off in the middle; another one goes on after the last whole
/// event, and the caller notices nothing.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_breaks_goes_on_elsewhere() {
    let world = TestCluster::start(&[4, 4], 1).await;
    world.break_next_streams(3).await;
    let answer = world.nodes[0].send_stream_request("/long/a", "r1").await;
    assert_eq!(answer.body, complete_stream("r1"));
    assert!(answer.is_complete);
    let runs = &world.server_runs().await["r1"];
    let resumed: Vec<_> = runs.iter().map(|run| run.after_event).collect();
    assert!(resumed.contains(&Some(3)), "{resumed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_may_not_be_resumed_is_cut_visibly() {
    let world = TestCluster::start(&[4, 4], 1).await;
    world.break_next_streams(3).await;
    let answer = world.nodes[0].send_stream_request("/once/a", "r1").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.is_complete);
    assert_eq!(world.server_runs().await["r1"].len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_have_run_is_not_called_not_run() {
    let world = TestCluster::start(&[4], 1).await;
    let address = world.servers[0].standin.address();
    let fault = json!({"kind": "reset_after_body", "path": "/once/"});
    world.inject_fault(address, fault).await;
    let answer = world.nodes[0].send_stream_request("/once/a", "r1").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(world.server_runs().await["r1"].len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_refused_by_full_servers_is_refused_at_once() {
    let world = TestCluster::start(&[0, 0], 1).await;
    let started = std::time::Instant::now();
    let answer = world.nodes[0].send_stream_request("/once/a", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_secs(1));
    assert!(world.server_runs().await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_nothing_more() {
    let world = TestCluster::start(&[4, 4], 1).await;
    world.register_server(0, "draining").await;
    sleep(Duration::from_millis(300)).await;
    for index in 0..20 {
        world.nodes[0]
            .send_stream_request("/long/a", &format!("r{index}"))
            .await;
    }
    let address = world.servers[0].standin.address();
    let runs = send_request(address, "GET", "/standin/runs", &[], Vec::new()).await;
    assert_eq!(runs.unwrap().body, "{}");
}

/// When the caller leaves, the server stops working for it.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_caller_that_left_ends_at_the_server() {
    let world = TestCluster::start(&[4], 1).await;
    let address = world.servers[0].standin.address();
    let slow = json!({"kind": {"slow": {"delay_ms": 50}}});
    world.inject_fault(address, slow).await;
    let mut stream = TcpStream::connect(world.nodes[0].callers_address)
        .await
        .unwrap();
    let head = format!("POST /long/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    wait_until("running", async || world.running_count(0).await == 1).await;
    drop(stream);
    wait_until("ended", async || world.running_count(0).await == 0).await;
    sleep(Duration::from_millis(EVENTS_PER_STREAM * 10)).await;
    assert_eq!(world.running_count(0).await, 0);
}

/// A planned stop is told to the platform at once and cuts no stream.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_streams() {
    let mut world = TestCluster::start(&[8], 1).await;
    let address = world.servers[0].standin.address();
    let slow = json!({"kind": {"slow": {"delay_ms": 500}}});
    world.inject_fault(address, slow).await;
    let node = &world.nodes[0];
    let ask = node.send_stream_request("/long/a", "r1");
    let stop = async {
        sleep(Duration::from_millis(100)).await;
        node.signal(Signal::SIGTERM);
        wait_until("not ready", async || !node.is_ready().await).await;
        // Callers still come until the platform has noticed.
        node.send_stream_request("/long/a", "r2").await
    };
    let (first, second) = tokio::join!(ask, stop);
    assert_eq!(first.body, complete_stream("r1"));
    assert_eq!(second.body, complete_stream("r2"));
    assert_eq!(second.headers["connection"], "close");
    assert!(world.nodes[0].wait_for_exit().await);
}

/// Nobody reads standard output: lines are left out, requests are not held up.
#[tokio::test(flavor = "multi_thread")]
async fn standard_output_that_nobody_reads_holds_nothing_up() {
    let mut world = TestCluster::start(&[8], 0).await;
    world.add_node_with_output("node-0", Some(Stdio::piped()));
    world.nodes[0].wait_until_ready().await;
    for index in 0..400 {
        let answer = world.nodes[0]
            .send_stream_request("/nowhere/a", &format!("r{index}"))
            .await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
    }
    let answer = world.nodes[0].send_stream_request("/long/a", "last").await;
    assert_eq!(answer.body, complete_stream("last"));
}

#[tokio::test(flavor = "multi_thread")]
async fn store_that_is_away_stops_no_request() {
    let world = TestCluster::start(&[4], 1).await;
    let store = world.store.address();
    world
        .inject_fault(store, json!({"kind": "down", "for_ms": 3_000}))
        .await;
    sleep(Duration::from_millis(200)).await;
    let answer = world.nodes[0].send_stream_request("/long/a", "r1").await;
    assert_eq!(answer.body, complete_stream("r1"));
}

/// A settings file that is wrong is refused; the old settings stay in force.
#[tokio::test(flavor = "multi_thread")]
async fn reload_of_a_wrong_file_changes_nothing() {
    let world = TestCluster::start(&[4], 1).await;
    let node = &world.nodes[0];
    std::fs::write(node.settings_path(), "{}").unwrap();
    node.signal(Signal::SIGHUP);
    // Also without a signal, the process finds the file changed.
    sleep(Duration::from_millis(2_300)).await;
    assert!(node.is_ready().await);
    assert_eq!(
        node.send_stream_request("/long/a", "r1").await.body,
        complete_stream("r1")
    );
}

/// Connections to the store go silent for good; when heartbeats show that it is
/// back, the feeds do not wait for time-outs of their own.
#[tokio::test(flavor = "multi_thread")]
async fn feeds_that_went_silent_begin_anew_when_the_store_is_back() {
    let world = TestCluster::start(&[4], 1).await;
    let store = world.store.address();
    let silent = json!({"kind": "hang", "path": "/rows-feed", "for_ms": 600});
    world.inject_fault(store, silent).await;
    // Ends the present wait; the next one meets the silence.
    world.put_config(2).await;
    sleep(Duration::from_millis(620)).await;
    let away = json!({"kind": "refuse", "path": "/rows-tx", "for_ms": 1_400});
    world.inject_fault(store, away).await;
    sleep(Duration::from_millis(1_500)).await;
    world.put_config(3).await;
    let node = &world.nodes[0];
    let started = std::time::Instant::now();
    wait_until("version 3", async || {
        node.send_stream_request("/version-3/a", "r1").await.status == StatusCode::OK
    })
    .await;
    assert!(
        started.elapsed() < Duration::from_millis(1_150),
        "{:?}",
        started.elapsed()
    );
}

/// A stream that is still open when connections are refused.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_a_stream_that_ends_late() {
    let mut world = TestCluster::start(&[8], 1).await;
    let address = world.servers[0].standin.address();
    let slow = json!({"kind": {"slow": {"delay_ms": 3_500}}, "path": "/once/"});
    world.inject_fault(address, slow).await;
    let node = &world.nodes[0];
    node.signal(Signal::SIGTERM);
    sleep(Duration::from_secs(1)).await;
    let answer = node.send_stream_request("/once/a", "r1").await;
    assert_eq!(answer.body, complete_stream("r1"));
    assert!(world.nodes[0].wait_for_exit().await);
}

/// After a loss of all instances the store's rate is too small for all of them
/// at once. What was read stays read, so each read gets further.
#[tokio::test(flavor = "multi_thread")]
async fn tables_of_many_pages_are_read_at_two_pages_a_second() {
    /// Servers on the list: three pages.
    const SERVERS: usize = 1_100;
    let mut world = TestCluster::start(&[4], 0).await;
    world.register_copies(0, SERVERS).await;
    let limit = json!({"kind": {"limit": {"writes_per_s": 100, "reads_per_s": 2}}});
    world.inject_fault(world.store.address(), limit).await;
    world.add_node("node-0");
    world.nodes[0].wait_until_ready().await;
}
