//! Instances that lose the path to upstreams which their peers reach.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use nix::sys::signal::Signal;
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

/// Guards against a stream that its server breaks off behind a peer, and that ends as complete
/// or loses events at the caller.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_through_a_peer_is_cut_or_goes_on() {
    const EVENTS_BEFORE_BREAK: u64 = 3;
    let (cluster, mut paths) = start().await;
    cut_off(&cluster, &mut paths, PathState::Refusing).await;
    for number in 0..8 {
        cluster.break_next_streams(EVENTS_BEFORE_BREAK).await;
        let id = format!("once-{number}");
        let answer = cluster.nodes[0].send_stream_request("/once/a", &id).await;
        assert!(!answer.is_complete, "{answer:?}");
        assert!(complete_stream(&id).starts_with(&answer.body));
        cluster.break_next_streams(EVENTS_BEFORE_BREAK).await;
        let id = format!("long-{number}");
        let answer = cluster.nodes[0].send_stream_request("/long/a", &id).await;
        assert_eq!(answer.body, complete_stream(&id));
        assert!(answer.is_complete, "{answer:?}");
    }
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

/// Returns how many attempts peers have made for a process.
fn proxied_count(node: &NodeProcess) -> usize {
    node.log().matches("event=attempt_proxied ").count()
}

/// Cuts the first instance off and waits until it has noticed.
async fn cut_off(cluster: &TestCluster, paths: &mut Paths, state: PathState) {
    paths.set_all(state).await;
    let node = &cluster.nodes[0];
    let cut_at = Instant::now();
    while cut_at.elapsed() < DETECTION {
        let prefix = format!("early-{}", cut_at.elapsed().as_millis());
        serve(node, &prefix, 4).await;
    }
    assert!(proxied_count(node) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_uses_its_own_path_again_after_a_cut() {
    let (cluster, mut paths) = start().await;
    let node = &cluster.nodes[0];
    for round in 0..2 {
        cut_off(&cluster, &mut paths, PathState::Hanging).await;
        paths.set_all(PathState::Open).await;
        sleep(DETECTION).await;
        let proxied_before = proxied_count(node);
        assert_all_served(&serve(node, &format!("back-{round}"), 20).await);
        assert_eq!(proxied_count(node), proxied_before);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_if_no_instance_reaches_an_upstream() {
    let mut cluster = TestCluster::start_without_config(&[8, 8, 8], 0).await;
    cluster.put_config(1).await;
    let mut all_paths = Vec::new();
    for name in ["first", "second"] {
        all_paths.push(cluster.add_node_with_own_paths(name).await);
    }
    for paths in &mut all_paths {
        paths.set_all(PathState::Refusing).await;
    }
    for node in &cluster.nodes {
        serve(node, "early", 40).await;
    }
    for (id, answer, took) in serve(&cluster.nodes[0], "cut", 12).await {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
        assert!(answer.headers.contains_key("retry-after"));
        assert!(took < GOAL, "{id} took {took:?}");
    }
    assert_eq!(cluster.server_runs().await.len(), 0);
}

/// A peer dies while it passes answers on, again and again.
async fn serve_while_peers_are_killed(
    cluster: &mut TestCluster,
    path: &str,
) -> Vec<(String, Answer, Duration)> {
    let mut answers = Vec::new();
    for round in 0..4 {
        let prefix = format!("round-{round}");
        let (cut_off, peers) = cluster.nodes.split_first().unwrap();
        let victim = &peers[round % peers.len()];
        let killed_midway = async {
            sleep(Duration::from_millis(50)).await;
            victim.signal(Signal::SIGKILL);
        };
        let (served, ()) = tokio::join!(serve_path(cut_off, path, &prefix, 12), killed_midway);
        answers.extend(served);
        cluster.nodes.remove(1 + round % 2);
        cluster.add_node(&format!("successor-{round}"));
        cluster.nodes.last().unwrap().wait_until_ready().await;
        // Its first notice has arrived after this time.
        sleep(Duration::from_millis(700)).await;
    }
    answers
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_when_the_peer_that_passes_them_on_dies() {
    let (mut cluster, mut paths) = start().await;
    cut_off(&cluster, &mut paths, PathState::Refusing).await;
    for (id, answer, _) in serve_while_peers_are_killed(&mut cluster, "/long/a").await {
        assert_eq!(answer.status, StatusCode::OK, "{id}: {answer:?}");
        assert_eq!(answer.body, complete_stream(&id));
        assert!(answer.is_complete, "{id}: {answer:?}");
    }
}

/// The end of peers counted as failures of the upstreams to which they passed streams on, so that
/// sound upstreams were ejected.
#[tokio::test(flavor = "multi_thread")]
async fn peers_that_die_do_not_eject_the_upstreams() {
    let (mut cluster, mut paths) = start().await;
    cut_off(&cluster, &mut paths, PathState::Refusing).await;
    // The cut itself may break connections on which a request has just been sent.
    let log_length = cluster.nodes[0].log().len();
    serve_while_peers_are_killed(&mut cluster, "/long/a").await;
    let log = cluster.nodes[0].log();
    let log = &log[log_length..];
    assert!(log.contains("event=stream_resumed"), "no stream broke off");
    let ejections: Vec<_> = log
        .lines()
        .filter(|line| line.contains("event=upstream_ejected"))
        .collect();
    assert!(ejections.is_empty(), "{ejections:#?}");
}

/// If the peer dies, nobody knows whether the request has run.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_must_not_be_repeated_runs_once_when_its_peer_dies() {
    let (mut cluster, mut paths) = start().await;
    cut_off(&cluster, &mut paths, PathState::Refusing).await;
    let answers = serve_while_peers_are_killed(&mut cluster, "/once/a").await;
    let runs = cluster.server_runs().await;
    for (id, answer, _) in &answers {
        let run_count = runs.get(id).map_or(0, Vec::len);
        assert!(run_count <= 1, "{id} ran {run_count} times");
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            assert_eq!(run_count, 0, "{id} was refused as not run");
        }
        if answer.is_complete && answer.status == StatusCode::OK {
            assert_eq!(answer.body, complete_stream(id));
        }
    }
    let broken = answers.iter().filter(|(_, answer, _)| !answer.is_complete);
    assert!(
        broken.count() > 0,
        "no peer died while it passed a stream on"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_through_a_peer_that_stops_as_planned_end_whole() {
    let (mut cluster, mut paths) = start().await;
    cut_off(&cluster, &mut paths, PathState::Refusing).await;
    cluster.nodes[1].signal(Signal::SIGTERM);
    let stopping_at = Instant::now();
    let mut answers = Vec::new();
    while stopping_at.elapsed() < Duration::from_secs(4) {
        let prefix = format!("stop-{}", stopping_at.elapsed().as_millis());
        answers.extend(serve_path(&cluster.nodes[0], "/once/a", &prefix, 8).await);
    }
    assert_all_served(&answers);
    assert!(cluster.nodes[1].wait_for_exit().await);
}

/// The attempt of a caller that has left ends at the upstream, although a peer makes it.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_stream_through_a_peer_ends_at_the_upstream() {
    let (cluster, mut paths) = start().await;
    cut_off(&cluster, &mut paths, PathState::Refusing).await;
    let headers = [("host", support::HOST), ("redwingtack-request-id", "left")];
    let address = cluster.nodes[0].callers_address;
    assert!(support::begin_stream(address, "/long/slow", &headers, 1).await);
    let left_at = Instant::now();
    support::wait_until("no stream is running", async || {
        for index in 0..cluster.servers.len() {
            if cluster.running_count(index).await > 0 {
                return false;
            }
        }
        true
    })
    .await;
    assert!(left_at.elapsed() < Duration::from_millis(400));
}

#[tokio::test(flavor = "multi_thread")]
async fn items_of_an_owner_that_reaches_no_upstream_are_done() {
    let (cluster, mut paths) = start().await;
    cut_off(&cluster, &mut paths, PathState::Hanging).await;
    let items: Vec<_> = (0..6).map(|index| format!("item-{index}")).collect();
    let items: Vec<_> = items.iter().map(|id| (id.as_str(), "/batch/x/0")).collect();
    let owner = &cluster.nodes[0];
    assert_eq!(
        owner.submit_job("job", &items).await.status,
        StatusCode::ACCEPTED
    );
    let submitted_at = Instant::now();
    let results = owner.wait_for_results("job").await;
    assert_eq!(results.len(), items.len());
    assert!(submitted_at.elapsed() < Duration::from_secs(3));
}

/// Answers break off and connections are refused, as if all upstreams had crashed. Peers
/// reach them.
#[tokio::test(flavor = "multi_thread")]
async fn lost_path_is_no_evidence_of_a_crash() {
    let (cluster, mut paths) = start().await;
    let node = &cluster.nodes[0];
    let streams = async {
        let ids: Vec<_> = (0..6).map(|number| format!("stream-{number}")).collect();
        let streams = ids
            .iter()
            .map(|id| node.send_stream_request("/long/slow", id));
        let answers = join_all(streams).await;
        ids.into_iter().zip(answers).collect::<Vec<_>>()
    };
    let cut = async {
        sleep(Duration::from_millis(500)).await;
        paths.set_all(PathState::Refusing).await;
    };
    let (answers, ()) = tokio::join!(streams, cut);
    sleep(DETECTION).await;
    let log = node.log();
    assert!(!log.contains("event=upstream_crashed"), "{log}");
    for (id, answer) in answers {
        assert_eq!(answer.body, complete_stream(&id), "{answer:?}");
    }
}

/// Guards against streams that a peer takes while it stops, because those before were short, and
/// that its end cuts.
#[tokio::test(flavor = "multi_thread")]
async fn long_stream_through_a_peer_that_stops_is_not_cut() {
    let mut cluster = TestCluster::start_without_config(&[8, 8, 8], 0).await;
    // The peers stop within 4 s, so that streams of 1.6 s may outlast them.
    cluster.grace_s = 4;
    cluster.put_config(1).await;
    let mut paths = cluster.add_node_with_own_paths("cut-off").await;
    for name in ["peer-1", "peer-2"] {
        cluster.add_node(name);
    }
    for node in &cluster.nodes {
        node.wait_until_ready().await;
        serve_path(node, "/once/a", "short", 4).await;
    }
    cut_off(&cluster, &mut paths, PathState::Refusing).await;
    for peer in &cluster.nodes[1..] {
        peer.signal(Signal::SIGTERM);
    }
    sleep(Duration::from_millis(2_450)).await;
    let node = &cluster.nodes[0];
    let streams = (0..8).map(|number| async move {
        let id = format!("late-{number}");
        let answer = node.send_stream_request("/once/slow", &id).await;
        (id, answer)
    });
    for (id, answer) in join_all(streams).await {
        assert!(answer.is_complete, "{id}: {answer:?}");
        if answer.status == StatusCode::OK {
            assert_eq!(answer.body, complete_stream(&id));
        }
    }
}
