//! Instances that lose the path to upstreams which their peers reach.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use support::{
    Answer, NodeProcess, Paths, TestCluster, complete_stream, upstream_proxy::PathState,
};
use tokio::time::{Instant, sleep};

/// Time after a cut from which callers are served as they were before.
const DETECTION: Duration = Duration::from_secs(1);
/// Latency goal of the routes, within which the whole short stream should arrive as well.
const GOAL: Duration = Duration::from_millis(300);

/// Starts three instances, of which the first one has paths of its own to the upstreams.
async fn start() -> (TestCluster, Paths) {
    let mut cluster = TestCluster::start_without_config(&[8, 8, 8], 0).await;
    cluster.put_config(1).await;
    let paths = cluster.add_node_with_own_paths("cut-off").await;
    for name in ["peer-1", "peer-2"] {
        cluster.add_node(name);
    }
    for node in &cluster.nodes {
        node.wait_until_ready().await;
        serve(node, "warm-up", 4).await;
    }
    (cluster, paths)
}

/// Sends requests of a route that may be repeated, a few at a time.
async fn serve(node: &NodeProcess, prefix: &str, count: usize) -> Vec<(String, Answer, Duration)> {
    serve_path(node, "/long/a", prefix, count).await
}

async fn serve_path(
    node: &NodeProcess,
    path: &str,
    prefix: &str,
    count: usize,
) -> Vec<(String, Answer, Duration)> {
    let mut answers = Vec::new();
    for first in (0..count).step_by(4) {
        let requests = (first..count.min(first + 4)).map(|number| async move {
            let id = format!("{prefix}-{number}");
            let sent_at = Instant::now();
            let answer = node.send_stream_request(path, &id).await;
            (id, answer, sent_at.elapsed())
        });
        answers.extend(join_all(requests).await);
        sleep(Duration::from_millis(20)).await;
    }
    answers
}

fn assert_all_served(answers: &[(String, Answer, Duration)]) {
    for (id, answer, took) in answers {
        assert_eq!(answer.status, StatusCode::OK, "{id}: {answer:?}");
        assert_eq!(answer.body, complete_stream(id));
        assert!(answer.is_complete, "{id}: {answer:?}");
        assert!(*took < GOAL, "{id} took {took:?}");
    }
}

/// Callers keep coming while the path is lost. Those of the first second are not counted.
async fn callers_are_served(state: PathState, path: &str) {
    let (cluster, mut paths) = start().await;
    paths.set_all(state).await;
    let cut_at = Instant::now();
    while cut_at.elapsed() < DETECTION {
        let prefix = format!("early-{}", cut_at.elapsed().as_millis());
        serve_path(&cluster.nodes[0], path, &prefix, 4).await;
    }
    assert_all_served(&serve_path(&cluster.nodes[0], path, "cut", 40).await);
    assert_all_served(&serve_path(&cluster.nodes[1], path, "other", 20).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_connections_hang() {
    callers_are_served(PathState::Hanging, "/long/a").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_connections_are_refused() {
    callers_are_served(PathState::Refusing, "/long/a").await;
}

/// Requests that must not be repeated need new connections.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_only_new_connections_are_refused() {
    callers_are_served(PathState::RefusingNew, "/once/a").await;
}

/// Without peers nobody can serve the callers, but they are served once the path is back.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_after_connect_timeouts_of_all_upstreams() {
    let mut cluster = TestCluster::start_without_config(&[8, 8, 8], 0).await;
    cluster.put_config(1).await;
    let mut paths = cluster.add_node_with_own_paths("cut-off").await;
    let node = &cluster.nodes[0];
    serve(node, "warm-up", 4).await;
    paths.set_all(PathState::Hanging).await;
    let cut_at = Instant::now();
    while cut_at.elapsed() < Duration::from_secs(3) {
        serve(node, &format!("early-{}", cut_at.elapsed().as_millis()), 8).await;
    }
    paths.set_all(PathState::Open).await;
    sleep(DETECTION).await;
    assert_all_served(&serve(node, "back", 20).await);
}

/// The server of the caller's connection reads no further than the length that the answer
/// states, so the end of the peer's stream is never seen.
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_known_length_through_a_peer_is_complete() {
    let (cluster, mut paths) = start().await;
    paths.set_all(PathState::Refusing).await;
    let node = &cluster.nodes[0];
    serve(node, "early", 8).await;
    let answer = node.send_stream_request("/long/impossible", "known").await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(answer.headers.contains_key("content-length"));
    let is_answered = |line: &&str| line.contains("request_answered request=known ");
    support::wait_until("the end is logged", async || {
        node.log().lines().any(|line| is_answered(&line))
    })
    .await;
    let log = node.log();
    let line = log.lines().find(is_answered).unwrap();
    assert!(line.contains("outcome=complete"), "{line}");
}
