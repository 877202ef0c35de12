//! Tests that a configuration change is accepted once, comes into force on every
//! node and is never reverted.

use hyper::Method;
use standin::{Fault, FaultKind};

use crate::support::{MAX_IN_FORCE_DELAY, TestFleet, config_document};

const REGIONS: [&str; 5] = ["lima", "lima", "arequipa", "arequipa", "cusco"];

#[tokio::test]
async fn apply_comes_into_force_on_every_node() {
    let fleet = TestFleet::start(&REGIONS).await;
    let response = fleet.nodes[0]
        .call(Method::PUT, "/v1/config", &config_document(60))
        .await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body["version"], 1);
    for node in &fleet.nodes {
        assert!(node.wait_for_version(1).await <= MAX_IN_FORCE_DELAY);
    }
    let status = fleet.nodes[4]
        .call(Method::GET, "/v1/config/status", "")
        .await;
    assert_eq!(status.body["confirmed"], 5, "{status:?}");
    assert_eq!(status.body["total"], 5);
}

#[tokio::test]
async fn apply_reports_every_problem_with_its_line() {
    let fleet = TestFleet::start(&["lima"]).await;
    let invalid_document = "[[class]]\nname = \"a b\"\nwork = \"batch\"\ncomplete_within_s = 0\n";
    let response = fleet.nodes[0]
        .call(Method::PUT, "/v1/config", invalid_document)
        .await;
    assert_eq!(response.status, 400);
    let problems = response.body["error"]["problems"]
        .as_array()
        .expect("array");
    let lines: Vec<_> = problems.iter().map(|problem| &problem["line"]).collect();
    assert_eq!(lines, [2, 4]);
}

#[tokio::test]
async fn apply_concurrently_by_two_operators_accepts_one_change() {
    let fleet = TestFleet::start(&REGIONS).await;
    let (first_document, second_document) = (config_document(60), config_document(120));
    let path = "/v1/config?replaces=0";
    let (a, b) = tokio::join!(
        fleet.nodes[0].call_as(Method::PUT, path, &first_document, "ana", None),
        fleet.nodes[4].call_as(Method::PUT, path, &second_document, "urs", None),
    );
    let (winner, loser) = if a.status == 200 {
        ("ana", b)
    } else {
        assert_eq!(b.status, 200, "{a:?} {b:?}");
        ("urs", a)
    };
    assert_eq!(loser.status, 409);
    assert_eq!(loser.body["error"]["code"], "config_conflict");
    assert_eq!(loser.body["error"]["winner"]["who"], winner);
    let audit = fleet.nodes[2].call(Method::GET, "/v1/audit", "").await;
    let records = audit.body.as_array().expect("array");
    assert_eq!(records.len(), 1, "{audit:?}");
    assert_eq!(records[0]["who"], winner);
    assert_eq!(records[0]["outcome"], "applied");
}

/// The platform commits the transaction, but its response is lost. The change must
/// neither be reported as failed nor be made twice.
#[tokio::test]
async fn apply_with_lost_platform_response_is_resolved() {
    let fleet = TestFleet::start(&["lima", "cusco"]).await;
    let fault = Fault::new(FaultKind::ResetAfterBody)
        .with_path("/rows-tx")
        .with_times(1);
    fleet.remote.add_fault(&fault).await.expect("fault");
    let response = fleet.nodes[0]
        .call(Method::PUT, "/v1/config?replaces=0", &config_document(60))
        .await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body["version"], 1);
    let audit = fleet.nodes[1].call(Method::GET, "/v1/audit", "").await;
    assert_eq!(audit.body.as_array().map(Vec::len), Some(1), "{audit:?}");
}

/// An operator repeats a call whose response was lost. The change must not be made
/// twice, and the repetition must not be refused as a conflict.
#[tokio::test]
async fn apply_repeated_call_gets_the_same_response() {
    let fleet = TestFleet::start(&["lima"]).await;
    let node = &fleet.nodes[0];
    let path = "/v1/config?replaces=0";
    for _ in 0..2 {
        let response = node
            .call_as(Method::PUT, path, &config_document(60), "ana", Some("op-1"))
            .await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body["version"], 1);
    }
    let audit = node.call(Method::GET, "/v1/audit", "").await;
    assert_eq!(audit.body.as_array().map(Vec::len), Some(1), "{audit:?}");
}

#[tokio::test]
async fn apply_with_platform_down_changes_nothing() {
    let fleet = TestFleet::start(&["lima"]).await;
    let fault = Fault::new(FaultKind::Refuse);
    fleet.remote.add_fault(&fault).await.expect("fault");
    let response = fleet.nodes[0]
        .call(Method::PUT, "/v1/config", &config_document(60))
        .await;
    assert_eq!(response.status, 503);
    assert_eq!(response.body["error"]["code"], "platform_unavailable");
    fleet.remote.clear_faults().await.expect("clear");
    let audit = fleet.nodes[0].call(Method::GET, "/v1/audit", "").await;
    assert_eq!(audit.body.as_array().map(Vec::len), Some(0), "{audit:?}");
}

#[tokio::test]
async fn apply_reaches_every_node_if_the_platform_fails_afterwards() {
    let fleet = TestFleet::start(&REGIONS).await;
    // The platform fails after the transaction, so the other nodes cannot read
    // the new configuration from the table.
    let response = fleet.nodes[3]
        .call(Method::PUT, "/v1/config", &config_document(60))
        .await;
    assert_eq!(response.status, 200, "{response:?}");
    let fault = Fault::new(FaultKind::Refuse);
    fleet.remote.add_fault(&fault).await.expect("fault");
    for node in &fleet.nodes {
        assert!(node.wait_for_version(1).await <= MAX_IN_FORCE_DELAY);
    }
}

/// A restarted node must learn the configuration from its seeds while the platform
/// is down, and must serve no view before it has.
#[tokio::test]
async fn start_during_platform_outage_takes_the_highest_version() {
    let mut fleet = TestFleet::start(&REGIONS).await;
    for seconds in [60, 120, 180] {
        let response = fleet.nodes[1]
            .call(Method::PUT, "/v1/config", &config_document(seconds))
            .await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    for node in &fleet.nodes {
        node.wait_for_version(3).await;
    }
    let fault = Fault::new(FaultKind::Refuse);
    fleet.remote.add_fault(&fault).await.expect("fault");
    let killed = fleet.nodes.remove(4);
    let (id, region) = (killed.id.clone(), killed.region.clone());
    let address = killed.kill().await;
    let node = fleet.start_node(&id, &region, Some(address)).await;
    let view = loop {
        match node.view(0, 1_000).await {
            Some(view) => break view,
            None => assert!(!node.admin.is_ready(), "ready although it serves no view"),
        }
    };
    assert_eq!(
        view.config.version, 3,
        "the first view has the highest version"
    );
    assert!(node.admin.is_ready());
}

#[tokio::test]
async fn start_without_platform_and_peers_is_not_ready() {
    let fleet = TestFleet::start(&["lima"]).await;
    let response = fleet.nodes[0]
        .call(Method::PUT, "/v1/config", &config_document(60))
        .await;
    assert_eq!(response.status, 200);
    let fault = Fault::new(FaultKind::Refuse);
    fleet.remote.add_fault(&fault).await.expect("fault");
    let mut empty_fleet = TestFleet {
        nodes: Vec::new(),
        ..fleet
    };
    let node = empty_fleet.start_node("i-99", "cusco", None).await;
    assert!(node.view(0, 1_500).await.is_none());
    assert!(!node.admin.is_ready());
    empty_fleet.remote.clear_faults().await.expect("clear");
    node.wait_for_version(1).await;
    assert!(node.admin.is_ready());
    empty_fleet.nodes.push(node);
}
