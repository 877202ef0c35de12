//! Nodes and upstreams come and go.

use std::{net::SocketAddr, time::Duration};

use ::membership::UpstreamEvidence;
use model::{
    FailureDomain, InstanceEntry, InstanceId, InstanceRole, Liveness, Region, UpstreamId, View,
};
use peer::{PeerClient, PeerRequest, PeerResponse, ViewWatch};
use standin::{Fault, FaultKind};
use tokio::time::{Instant, timeout};

use crate::support::{LONG, TestFleet, TestNode, engine, live_controls};

const REGIONS: [&str; 6] = ["lima", "lima", "arequipa", "arequipa", "cusco", "cusco"];
/// Time from the earliest evidence until nobody gives new work to a leaving
/// upstream.
const LEAVING: Duration = Duration::from_secs(2);

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let elapsed = now.duration_since(std::time::UNIX_EPOCH).expect("clock");
    u64::try_from(elapsed.as_millis()).expect("fits")
}

async fn report(node: &TestNode, upstream: &str, liveness: Liveness) {
    let evidence = UpstreamEvidence {
        id: UpstreamId::new(upstream),
        liveness,
        seen_at_ms: unix_ms(),
    };
    let request = PeerRequest::Evidence(vec![evidence]);
    let answer = PeerClient::new()
        .call(&node.peer.to_string(), &request, Instant::now() + LONG)
        .await
        .expect("answer");
    assert_eq!(answer, PeerResponse::Ack);
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
    fleet.upstreams.push(engine("oraculo-1", "lima", address));
    fleet.publish_list().await;
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1") == Some(Liveness::Live))
            .await;
    }
    fleet
}

#[tokio::test]
async fn evidence_of_leaving_reaches_all_while_the_list_says_live() {
    let fleet = fleet_with_engine().await;
    report(&fleet.nodes[5], "oraculo-1", Liveness::Leaving).await;
    let started = Instant::now();
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1") == Some(Liveness::Leaving))
            .await;
    }
    assert!(started.elapsed() <= LEAVING, "{:?}", started.elapsed());
    // Several reads of the list, which still says live, change nothing.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for node in &fleet.nodes {
        let view = node.view(0, 0).await.expect("view");
        assert_eq!(liveness_of(&view, "oraculo-1"), Some(Liveness::Leaving));
    }
}

#[tokio::test]
async fn evidence_of_leaving_reaches_all_without_the_platform() {
    let fleet = fleet_with_engine().await;
    let fault = Fault::new(FaultKind::Refuse);
    fleet.remote.add_fault(&fault).await.expect("fault");
    report(&fleet.nodes[0], "oraculo-1", Liveness::Leaving).await;
    let started = Instant::now();
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1") == Some(Liveness::Leaving))
            .await;
    }
    assert!(started.elapsed() <= LEAVING, "{:?}", started.elapsed());
}

#[tokio::test]
async fn listing_replaced_upstream_comes_back() {
    let mut fleet = fleet_with_engine().await;
    report(&fleet.nodes[0], "oraculo-1", Liveness::Leaving).await;
    let listed = fleet.upstreams.pop().expect("engine");
    fleet.publish_list().await;
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1").is_none())
            .await;
    }
    fleet.upstreams.push(listed);
    fleet.publish_list().await;
    for node in &fleet.nodes {
        node.wait_for_view(|view| liveness_of(view, "oraculo-1") == Some(Liveness::Live))
            .await;
    }
}

#[tokio::test]
async fn kill_is_noticed_without_the_platform() {
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
async fn rack_killed_at_once_is_noticed_and_replaced() {
    let mut fleet = TestFleet::start(&REGIONS).await;
    for node in fleet.nodes.split_off(4) {
        node.kill().await;
    }
    fleet.wait_until_known(4).await;
    for id in ["i-20", "i-21"] {
        let node = fleet.start_node(id, "cusco", None).await;
        fleet.nodes.push(node);
    }
    fleet.publish_list().await;
    fleet.wait_until_known(6).await;
}

#[tokio::test]
async fn stop_is_told_before_the_program_ends() {
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
async fn register_program_is_seen_in_other_regions_until_it_falls_silent() {
    let fleet = TestFleet::start(&REGIONS).await;
    let node = &fleet.nodes[0];
    let own = InstanceEntry {
        id: InstanceId::new(&node.id),
        role: InstanceRole::Entry,
        peer_address: "127.0.0.1:9".to_owned(),
        region: Region::new(&node.region),
        failure_domain: FailureDomain::new("lima-a"),
        liveness: Liveness::Live,
        incarnation: 0,
    };
    let watch = ViewWatch::start(&node.peer.to_string(), own, PeerClient::new());
    let entries = |view: &View, liveness: Liveness| {
        let entries = view.instances.iter();
        entries
            .filter(|entry| entry.role == InstanceRole::Entry && entry.liveness == liveness)
            .count()
    };
    let far = &fleet.nodes[5];
    far.wait_for_view(|view| entries(view, Liveness::Live) == 1)
        .await;
    let mut receiver = watch.subscribe();
    let seen = receiver.wait_for(|view| entries(view, Liveness::Live) == 1);
    timeout(LONG, seen).await.expect("in time").expect("open");
    watch.set_liveness(Liveness::Leaving);
    far.wait_for_view(|view| entries(view, Liveness::Leaving) == 1)
        .await;
    drop(watch);
    far.wait_for_view(|view| !view.instances.iter().any(|e| e.role == InstanceRole::Entry))
        .await;
}
