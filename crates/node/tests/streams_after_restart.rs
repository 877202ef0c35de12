//! Streams that callers take up after every instance was lost. Their callers do not name the
//! attempt that began the stream, and what two software versions write does not fit together.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use support::{
    HOST, TestCluster, begin_stream,
    store_proxy::ProxyState,
    version_streams::{
        STREAMS, TIME_TO_LEARN, begin_all, mixed_count, path_of, register_second_version, take_up,
    },
    wait_until,
};
use tokio::time::{Instant, sleep};

/// Time for which callers come back after a restart.
const COMING_BACK: Duration = Duration::from_secs(3);
/// Starts instances and servers of a single version, and then registers every other server
/// with another one.
async fn start_with_two_versions(nodes: usize) -> TestCluster {
    let cluster = TestCluster::start(&[16; 6], nodes).await;
    register_second_version(&cluster).await;
    sleep(TIME_TO_LEARN).await;
    cluster
}

async fn unregister_first_version(cluster: &TestCluster) {
    for index in (0..6).step_by(2) {
        cluster.unregister_server(index).await;
    }
}

/// Takes up all streams once, with ids that begin with `prefix`. Returns how many went on.
async fn take_up_all(address: SocketAddr, prefix: &str) -> usize {
    let mut gone_on = 0;
    for stream in 0..STREAMS {
        let id = format!("{prefix}-{stream}");
        let Some(answer) = take_up(address, stream, &id).await else {
            continue;
        };
        if answer.status == StatusCode::OK {
            assert!(answer.is_complete, "{answer:?}");
            gone_on += 1;
        } else {
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        }
    }
    gone_on
}

/// Takes up all streams again and again, from before the instance accepts connections until
/// some time after it is ready.
async fn take_up_while_coming_back(address: SocketAddr) -> usize {
    let until = Instant::now() + COMING_BACK;
    let mut gone_on = 0;
    let mut round = 0;
    while Instant::now() < until {
        gone_on += take_up_all(address, &format!("back-{round}")).await;
        round += 1;
        sleep(Duration::from_millis(20)).await;
    }
    gone_on
}

/// Kills every instance at once and starts another one, without waiting for it.
fn restart_all(cluster: &mut TestCluster) -> SocketAddr {
    cluster.nodes.clear();
    cluster.add_node("node-again");
    cluster.nodes[0].callers_address
}

#[tokio::test(flavor = "multi_thread")]
async fn take_up_while_both_versions_serve() {
    let mut cluster = start_with_two_versions(2).await;
    begin_all(cluster.nodes[0].callers_address).await;
    let address = restart_all(&mut cluster);
    take_up_while_coming_back(address).await;
    assert_eq!(mixed_count(&cluster).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn take_up_after_first_version_has_gone() {
    let mut cluster = start_with_two_versions(2).await;
    begin_all(cluster.nodes[0].callers_address).await;
    unregister_first_version(&cluster).await;
    let address = restart_all(&mut cluster);
    take_up_while_coming_back(address).await;
    assert_eq!(mixed_count(&cluster).await, 0);
}

/// The first version goes and the second one comes while no instance runs.
#[tokio::test(flavor = "multi_thread")]
async fn take_up_after_versions_changed_meanwhile() {
    let mut cluster = TestCluster::start(&[16; 6], 2).await;
    for index in (1..6).step_by(2) {
        cluster.unregister_server(index).await;
    }
    sleep(TIME_TO_LEARN).await;
    begin_all(cluster.nodes[0].callers_address).await;
    cluster.nodes.clear();
    unregister_first_version(&cluster).await;
    register_second_version(&cluster).await;
    let address = restart_all(&mut cluster);
    take_up_while_coming_back(address).await;
    assert_eq!(mixed_count(&cluster).await, 0);
}

/// Registrations of the first version lapse while the instances come back, and only the second
/// one is known at first.
#[tokio::test(flavor = "multi_thread")]
async fn take_up_before_first_version_registers_again() {
    let mut cluster = start_with_two_versions(2).await;
    begin_all(cluster.nodes[0].callers_address).await;
    unregister_first_version(&cluster).await;
    let address = restart_all(&mut cluster);
    take_up_while_coming_back(address).await;
    for index in (0..6).step_by(2) {
        cluster.register_version(index, "v1").await;
    }
    take_up_while_coming_back(address).await;
    assert_eq!(mixed_count(&cluster).await, 0);
}

/// Nobody will ever know where the stream began, so callers are not asked back in vain.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_unproven_version_tells_when_it_is_known() {
    let mut cluster = start_with_two_versions(2).await;
    begin_all(cluster.nodes[0].callers_address).await;
    let address = restart_all(&mut cluster);
    cluster.add_node("node-too");
    cluster.nodes[1].wait_until_ready().await;
    sleep(TIME_TO_LEARN).await;
    let answer = take_up(address, 0, "again-0").await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = answer.headers["retry-after"].to_str().unwrap();
    let retry_after_s: f64 = retry_after.parse().unwrap();
    assert!(retry_after_s > 10.0, "{retry_after_s}");
}

#[tokio::test(flavor = "multi_thread")]
async fn take_up_of_single_version_after_all_were_lost() {
    let mut cluster = TestCluster::start(&[16; 4], 2).await;
    begin_all(cluster.nodes[0].callers_address).await;
    let address = restart_all(&mut cluster);
    cluster.nodes[0].wait_until_ready().await;
    assert_eq!(take_up_all(address, "again").await, STREAMS);
}

#[tokio::test(flavor = "multi_thread")]
async fn take_up_at_peer_while_both_versions_serve() {
    let mut cluster = start_with_two_versions(4).await;
    begin_all(cluster.nodes[0].callers_address).await;
    drop(cluster.nodes.remove(0));
    let gone_on = take_up_all(cluster.nodes[0].callers_address, "peer").await;
    assert_eq!(mixed_count(&cluster).await, 0);
    assert!(gone_on > STREAMS / 2, "{gone_on} of {STREAMS} went on");
}

/// Callers send the same bytes, and their streams began at different versions.
#[tokio::test(flavor = "multi_thread")]
async fn take_up_of_one_of_several_equal_requests() {
    let mut cluster = start_with_two_versions(4).await;
    let address = cluster.nodes[0].callers_address;
    for attempt in 0..STREAMS {
        let id = format!("equal-{attempt}");
        let headers = [("host", HOST), ("redwingtack-request-id", &*id)];
        assert!(begin_stream(address, &path_of(0), &headers, 2).await);
    }
    let first = take_up(address, 0, "equal-again").await;
    assert_eq!(first.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
    drop(cluster.nodes.remove(0));
    let other = take_up(cluster.nodes[0].callers_address, 0, "equal-elsewhere").await;
    assert_eq!(other.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
}

/// The store is away when callers come back, and the version was proven before.
#[tokio::test(flavor = "multi_thread")]
async fn take_up_of_single_version_without_store() {
    let mut cluster = TestCluster::start(&[16; 4], 1).await;
    let first = cluster.add_proxied_node("node-1").await;
    let second = cluster.add_proxied_node("node-2").await;
    sleep(TIME_TO_LEARN).await;
    begin_all(cluster.nodes[0].callers_address).await;
    first.set_state(ProxyState::Reset);
    second.set_state(ProxyState::Reset);
    drop(cluster.nodes.remove(0));
    let address = cluster.nodes[0].callers_address;
    wait_until("streams go on", async || {
        let answer = take_up(address, 0, "probe-0").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    assert_eq!(take_up_all(address, "away").await, STREAMS);
}
