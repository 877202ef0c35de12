//! Streams that go on while servers of several software versions serve side by side. What
//! two versions write does not fit together.

mod support;

use std::net::SocketAddr;

use http::StatusCode;
use support::{
    Answer, HOST, TestCluster, begin_stream, complete_output, send_request,
    version_streams::{STREAMS, TIME_TO_LEARN, register_second_version, version_of},
    wait_until,
};
use tokio::time::sleep;

/// Number of events after which servers break off a stream: more than half of them, so that
/// the rest arrives in one piece.
const EVENTS_BEFORE_BREAK: u64 = 5;

/// Starts instances and six servers, every other one of which runs another version.
async fn start_with_two_versions(nodes: usize) -> TestCluster {
    let cluster = TestCluster::start(&[16; 6], nodes).await;
    register_second_version(&cluster).await;
    sleep(TIME_TO_LEARN).await;
    cluster
}

/// Returns the versions of all servers that ran any of these attempts, each once.
async fn versions_that_ran(cluster: &TestCluster, attempts: &[&str]) -> Vec<&'static str> {
    let mut versions = Vec::new();
    for index in 0..cluster.servers.len() {
        let runs = cluster.runs_of_server(index).await;
        if attempts.iter().any(|attempt| runs.contains_key(*attempt)) {
            versions.push(version_of(index));
        }
    }
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Begins a stream and leaves it after two events.
async fn begin(address: SocketAddr, id: &str) {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id),
        ("redwingtack-deadline-ms", "4000"),
    ];
    assert!(begin_stream(address, "/long/x", &headers, 2).await);
}

/// Takes up the stream that attempt `first` began, after two events.
async fn take_up(address: SocketAddr, id: &str, first: &str) -> Answer {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id),
        ("redwingtack-deadline-ms", "3000"),
        ("resumes", first),
        ("last-event-id", "2"),
    ];
    let body = b"prompt".to_vec();
    send_request(address, "POST", "/long/x", &headers, body)
        .await
        .unwrap()
}

/// Takes up all streams `PREFIX-N` at an instance. Returns how many went on, and how many at
/// another version.
async fn take_up_all(cluster: &TestCluster, address: SocketAddr, prefix: &str) -> (usize, usize) {
    let mut gone_on = 0;
    let mut mixed = 0;
    for index in 0..STREAMS {
        let first = format!("{prefix}-{index}");
        let second = format!("{prefix}-{index}-again");
        let answer = take_up(address, &second, &first).await;
        if answer.status == StatusCode::OK && answer.is_complete {
            gone_on += 1;
        } else {
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        }
        let versions = versions_that_ran(cluster, &[&first, &second]).await;
        mixed += usize::from(versions.len() > 1);
    }
    (gone_on, mixed)
}

async fn begin_all(address: SocketAddr, prefix: &str) {
    for index in 0..STREAMS {
        begin(address, &format!("{prefix}-{index}")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_breaks_off_goes_on_at_its_version() {
    let cluster = start_with_two_versions(1).await;
    for index in 0..STREAMS {
        cluster.break_next_streams(EVENTS_BEFORE_BREAK).await;
        let id = format!("broken-{index}");
        let answer = cluster.nodes[0].send_stream_request("/long/x", &id).await;
        assert!(answer.status == StatusCode::OK && answer.is_complete);
        let versions = versions_that_ran(&cluster, &[&id]).await;
        assert_eq!(versions.len(), 1, "{id} ran at {versions:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_taken_up_at_another_instance_goes_on_at_its_version() {
    let cluster = start_with_two_versions(2).await;
    begin_all(cluster.nodes[0].callers_address, "moved").await;
    let address = cluster.nodes[1].callers_address;
    let (gone_on, mixed) = take_up_all(&cluster, address, "moved").await;
    assert_eq!(mixed, 0);
    assert!(gone_on > STREAMS / 2, "{gone_on} of {STREAMS} went on");
}

/// A server breaks the stream, and no other one of its version is left.
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_server_of_its_version_is_refused_at_once() {
    let cluster = start_with_two_versions(2).await;
    begin_all(cluster.nodes[0].callers_address, "last").await;
    for index in (1..6).step_by(2) {
        cluster.unregister_server(index).await;
    }
    sleep(TIME_TO_LEARN).await;
    let address = cluster.nodes[1].callers_address;
    let (gone_on, mixed) = take_up_all(&cluster, address, "last").await;
    assert_eq!(mixed, 0);
    assert!(gone_on > 0, "{gone_on} of {STREAMS} went on");
}

/// The instance that brought the first events is gone when its callers come back.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_lost_instance_goes_on_at_its_version() {
    let mut cluster = start_with_two_versions(4).await;
    let address = cluster.nodes[0].callers_address;
    begin_all(address, "lost").await;
    drop(cluster.nodes.remove(0));
    let address = cluster.nodes[0].callers_address;
    let (gone_on, mixed) = take_up_all(&cluster, address, "lost").await;
    assert_eq!(mixed, 0);
    assert!(gone_on > STREAMS / 2, "{gone_on} of {STREAMS} went on");
}

/// The instance knew none of its peers yet when the streams began.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_new_instance_that_is_lost_goes_on_at_its_version() {
    let mut cluster = TestCluster::start(&[16; 6], 4).await;
    register_second_version(&cluster).await;
    let address = cluster.nodes[0].callers_address;
    begin_all(address, "early").await;
    sleep(TIME_TO_LEARN).await;
    drop(cluster.nodes.remove(0));
    let address = cluster.nodes[0].callers_address;
    let (gone_on, _) = take_up_all(&cluster, address, "early").await;
    assert!(gone_on > STREAMS / 2, "{gone_on} of {STREAMS} went on");
}

/// All instances have forgotten where streams began.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_unknown_version_goes_on_nowhere_else() {
    let mut cluster = start_with_two_versions(2).await;
    begin_all(cluster.nodes[0].callers_address, "forgotten").await;
    cluster.nodes.clear();
    cluster.add_node("node-2");
    cluster.nodes[0].wait_until_ready().await;
    let address = cluster.nodes[0].callers_address;
    let (_, mixed) = take_up_all(&cluster, address, "forgotten").await;
    assert_eq!(mixed, 0);
}

/// The servers of one version break off items and leave.
#[tokio::test(flavor = "multi_thread")]
async fn item_that_is_interrupted_goes_on_at_its_version() {
    let cluster = start_with_two_versions(1).await;
    cluster.break_next_streams(EVENTS_BEFORE_BREAK).await;
    let ids: Vec<_> = (0..STREAMS).map(|index| format!("item-{index}")).collect();
    let items: Vec<_> = ids.iter().map(|id| (&**id, "/batch/x/0")).collect();
    cluster.nodes[0].submit_job("job", &items).await;
    for index in (1..6).step_by(2) {
        cluster.unregister_server(index).await;
    }
    let results = cluster.nodes[0].wait_for_results("job").await;
    for result in results {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["output"], complete_output(id));
    }
    for id in &ids {
        let began = versions_that_began(&cluster, id).await;
        for (server, runs) in cluster.runs_by_server().await.iter().enumerate() {
            let mut runs = runs.get(id).into_iter().flatten();
            if runs.any(|run| run.after_event.is_some()) {
                assert!(
                    began.contains(&version_of(server)),
                    "{id} began at {began:?}"
                );
            }
        }
    }
}

/// Returns the versions of the servers that ran an item from its start.
async fn versions_that_began(cluster: &TestCluster, item: &str) -> Vec<&'static str> {
    let mut versions = Vec::new();
    for (server, runs) in cluster.runs_by_server().await.iter().enumerate() {
        let mut runs = runs.get(item).into_iter().flatten();
        if runs.any(|run| run.after_event.is_none()) {
            versions.push(version_of(server));
        }
    }
    versions
}

/// While there is a single version, streams go on at instances that have just started.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_the_only_version_goes_on_at_a_new_instance() {
    let mut cluster = TestCluster::start(&[16; 4], 2).await;
    begin_all(cluster.nodes[0].callers_address, "only").await;
    cluster.add_node("node-2");
    cluster.nodes[2].wait_until_ready().await;
    let address = cluster.nodes[2].callers_address;
    wait_until("the instance knows its peers", async || {
        let answer = take_up(address, "only-0-probe", "only-0").await;
        answer.status == StatusCode::OK
    })
    .await;
    let (gone_on, _) = take_up_all(&cluster, address, "only").await;
    assert_eq!(gone_on, STREAMS);
}
