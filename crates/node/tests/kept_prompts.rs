//! Prompts that servers keep, and the question where a request would go.

mod support;

use http::StatusCode;
use support::{HOST, NodeProcess, TestCluster, send_request, wait_until};

async fn start_cluster() -> TestCluster {
    let cluster = TestCluster::start(&[4, 4, 4], 1).await;
    cluster.put_config_with_kept_prompts(2).await;
    wait_until("the configuration is applied", async || {
        cluster.nodes[0].log().contains("config_version=2")
    })
    .await;
    cluster
}

/// Asks where a request would go. Returns the lines of the answer.
async fn ask(node: &NodeProcess, query: &str) -> (StatusCode, Vec<String>) {
    let path = format!("/where?{query}");
    let answer = send_request(node.readiness_address, "GET", &path, &[], Vec::new()).await;
    let answer = answer.unwrap();
    let lines = answer.body.lines().map(str::to_owned).collect();
    (answer.status, lines)
}

/// Two requests begin with the same part. Once a server has answered one, the instance counts
/// that part of the next one as kept there.
#[tokio::test(flavor = "multi_thread")]
async fn part_that_was_read_counts_as_kept() {
    let cluster = start_cluster().await;
    let node = &cluster.nodes[0];
    let sent = std::cell::Cell::new(0);
    wait_until("a request goes where its beginning is kept", async || {
        sent.set(sent.get() + 1);
        let parts = format!("a1:200,b{}:50", sent.get());
        let id = format!("r{}", sent.get());
        let answer = node.send_prompt("/long/x", &id, &parts).await;
        assert_eq!(answer.status, StatusCode::OK);
        node.log().contains("kept_tokens=200")
    })
    .await;
    assert!(node.log().contains("kept_tokens=0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn question_is_answered_without_sending_anything() {
    let cluster = start_cluster().await;
    let node = &cluster.nodes[0];
    let query = format!("host={HOST}&path=/long/x&prompt=a1:200,b2:50");
    let (status, lines) = ask(node, &query).await;
    assert_eq!(status, StatusCode::OK);
    let decision = lines.iter().find(|line| line.starts_with("decision="));
    assert!(decision.unwrap().starts_with("decision=sent upstream=s"));
    for server in &cluster.servers {
        let upstream = format!("upstream={} load=0 slots=4", server.id);
        assert!(
            lines.iter().any(|line| line.starts_with(&upstream)),
            "{lines:?}"
        );
    }
    let (_, lines) = ask(node, &format!("host={HOST}&path=/batch/x")).await;
    assert!(
        lines
            .iter()
            .any(|line| line.starts_with("decision=sent item=first"))
    );
    let (_, lines) = ask(node, &format!("host={HOST}&path=/nowhere/x")).await;
    assert!(
        lines
            .iter()
            .any(|line| line == "decision=refused reason=no_route")
    );
    let (status, _) = ask(node, "host=").await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert_eq!(cluster.server_runs().await.len(), 0);
    assert!(!node.log().contains("event=request_sent"));
}

/// What an instance knows of its peers and servers is no business of callers.
#[tokio::test(flavor = "multi_thread")]
async fn question_of_a_caller_is_a_request_without_route() {
    let cluster = start_cluster().await;
    let address = cluster.nodes[0].callers_address;
    let path = format!("/where?host={HOST}&path=/long/x");
    let headers = [("host", HOST)];
    let answer = send_request(address, "GET", &path, &headers, Vec::new()).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    assert!(!answer.body.contains("upstream="));
}
