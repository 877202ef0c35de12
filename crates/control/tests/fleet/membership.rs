//! Tests of how the fleet learns that nodes, programs and upstreams join, leave
//! or fail.

use std::{net::SocketAddr, time::Duration};

use ::membership::UpstreamEvidence;
use model::{
    FailureDomain, InstanceEntry, InstanceId, InstanceRole, Liveness, Region, UpstreamId, View,
};
use peer::{PeerClient, PeerRequest, PeerResponse, ViewWatch};
use standin::{Fault, FaultKind};
use tokio::time::{Instant, timeout};

use crate::support::{TIMEOUT, TestFleet, TestNode, listed_engine, live_controls};

const REGIONS: [&str; 6] = ["lima", "lima", "arequipa", "arequipa", "cusco", "cusco"];
/// Maximum time from the earliest evidence until every node's view shows that an
/// upstream is leaving, so that it gets no new work.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(2);

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let elapsed = now.duration_since(std::time::UNIX_EPOCH).expect("clock");
    u64::try_from(elapsed.as_millis()).expect("milliseconds fit in u64")
}

async fn report_liveness(node: &TestNode, upstream: &str, liveness: Liveness) {
    let evidence = UpstreamEvidence {
        id: UpstreamId::new(upstream),
        liveness,
        seen_at_ms: unix_ms(),
    };
    let request = PeerRequest::Evidence(vec![evidence]);
    let response = PeerClient::new()
        .call(
            &node.peer_address.to_string(),
            &request,
            Instant::now() + TIMEOUT,
        )
        .await
        .expect("response");
    assert_eq!(response, PeerResponse::Ack);
}

fn liveness_of(view: &View, upstream: &str) -> Option<Liveness> {
    let entry = view
        .upstreams
        .iter()
        .find(|entry| entry.id.as_str() == upstream)?;
    Some(entry.liveness)
}

async fn fleet_with_engine() -> TestFleet {
    let mut fleet = TestFleet::start(&REGIONS).await;
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    fleet
        .upstreams
        .push(listed_engine("oraculo-1", "lima", address));
    fleet.publish_listing().await;
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1") == Some(Liveness::Live))
            .await;
    }
    fleet
}

#[tokio::test]
async fn evidence_of_leaving_reaches_all_nodes_while_the_listing_says_live() {
    let fleet = fleet_with_engine().await;
    report_liveness(&fleet.nodes[5], "oraculo-1", Liveness::Leaving).await;
    let started = Instant::now();
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1") == Some(Liveness::Leaving))
            .await;
    }
    assert!(
        started.elapsed() <= MAX_LEAVING_DELAY,
        "{:?}",
        started.elapsed()
    );
    // The platform's instance list still says that the upstream is live. Reading
    // it several times must not override the evidence.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for node in &fleet.nodes {
        let view = node.view(0, 0).await.expect("view");
        assert_eq!(liveness_of(&view, "oraculo-1"), Some(Liveness::Leaving));
    }
}

#[tokio::test]
async fn evidence_of_leaving_reaches_all_nodes_without_the_platform() {
    let fleet = fleet_with_engine().await;
    let fault = Fault::new(FaultKind::Refuse);
    fleet.remote.add_fault(&fault).await.expect("fault");
    report_liveness(&fleet.nodes[0], "oraculo-1", Liveness::Leaving).await;
    let started = Instant::now();
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1") == Some(Liveness::Leaving))
            .await;
    }
    assert!(
        started.elapsed() <= MAX_LEAVING_DELAY,
        "{:?}",
        started.elapsed()
    );
}

/// Evidence that an upstream is leaving must not outlast the removal of the upstream
/// from the platform's instance list.
#[tokio::test]
async fn listing_removed_and_added_upstream_is_live_again() {
    let mut fleet = fleet_with_engine().await;
    report_liveness(&fleet.nodes[0], "oraculo-1", Liveness::Leaving).await;
    let upstream = fleet.upstreams.pop().expect("engine");
    fleet.publish_listing().await;
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1").is_none())
            .await;
    }
    fleet.upstreams.push(upstream);
    fleet.publish_listing().await;
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1") == Some(Liveness::Live))
            .await;
    }
}

#[tokio::test]
async fn killed_node_is_detected_without_the_platform() {
    let mut fleet = TestFleet::start(&REGIONS).await;
    let fault = Fault::new(FaultKind::Refuse);
    fleet.remote.add_fault(&fault).await.expect("fault");
    let killed = fleet.nodes.remove(1);
    killed.kill().await;
    for node in &fleet.nodes {
        node.wait_for_view(|view| live_controls(view) == 5).await;
    }
}

#[tokio::test]
async fn killed_failure_domain_is_detected_and_replaced() {
    let mut fleet = TestFleet::start(&REGIONS).await;
    for node in fleet.nodes.split_off(4) {
        node.kill().await;
    }
    fleet.wait_for_live_controls(4).await;
    for id in ["i-20", "i-21"] {
        let node = fleet.start_node(id, "cusco", None).await;
        fleet.nodes.push(node);
    }
    fleet.publish_listing().await;
    fleet.wait_for_live_controls(6).await;
}

#[tokio::test]
async fn stopped_node_is_seen_as_leaving_before_it_ends() {
    let mut fleet = TestFleet::start(&REGIONS).await;
    let stopped = fleet.nodes.remove(0);
    let id = stopped.id.clone();
    let others: Vec<_> = fleet.nodes.iter().collect();
    let leaving = others[0].wait_for_view(|view| {
        let mut entries = view.instances.iter();
        entries.any(|entry| entry.id.as_str() == id && entry.liveness == Liveness::Leaving)
    });
    let ((), _) = tokio::join!(stopped.stop(), leaving);
}

#[tokio::test]
async fn registered_program_is_seen_in_other_regions_until_heartbeats_stop() {
    let fleet = TestFleet::start(&REGIONS).await;
    let node = &fleet.nodes[0];
    let own_entry = InstanceEntry {
        id: InstanceId::new(&node.id),
        role: InstanceRole::Entry,
        peer_address: "127.0.0.1:9".to_owned(),
        region: Region::new(&node.region),
        failure_domain: FailureDomain::new("lima-a"),
        liveness: Liveness::Live,
        incarnation: 0,
    };
    let watch = ViewWatch::start(&node.peer_address.to_string(), own_entry, PeerClient::new());
    let entry_count = |view: &View, liveness: Liveness| {
        let entries = view.instances.iter();
        entries
            .filter(|entry| entry.role == InstanceRole::Entry && entry.liveness == liveness)
            .count()
    };
    let other_region_node = &fleet.nodes[5];
    other_region_node
        .wait_for_view(|view| entry_count(view, Liveness::Live) == 1)
        .await;
    let mut receiver = watch.subscribe();
    let seen = receiver.wait_for(|view| entry_count(view, Liveness::Live) == 1);
    timeout(TIMEOUT, seen)
        .await
        .expect("the view arrives in time")
        .expect("the watch is not dropped");
    watch.set_liveness(Liveness::Leaving);
    other_region_node
        .wait_for_view(|view| entry_count(view, Liveness::Leaving) == 1)
        .await;
    drop(watch);
    other_region_node
        .wait_for_view(|view| !view.instances.iter().any(|e| e.role == InstanceRole::Entry))
        .await;
}
