//! Jobs whose route is removed or changed by the operator.

mod support;

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{
    Answer, HOST, NodeProcess, TestCluster, complete_output, config, send_request,
    store_proxy::ProxyState, wait_until,
};
use tokio::time::sleep;

const ITEMS: [(&str, &str); 2] = [("i0", "/batch/x/0"), ("i1", "/batch/x/1")];
/// Time in which every instance applies a configuration.
const TIME_TO_APPLY: Duration = Duration::from_millis(500);
/// Time in which a call ends that waits for changes of a table.
const FEED_CALL_TIME: Duration = Duration::from_millis(3_500);
/// Jobs whose route an instance does not know.
const JOBS: [&str; 3] = ["j0", "j1", "j2"];

/// Returns a configuration without a route for jobs.
fn config_without_batch_route(version: u64) -> Value {
    let mut config = config(version, 0);
    let routes = config["routes"].as_array_mut().unwrap();
    routes.retain(|route| route["kind"] != "batch");
    config
}

async fn apply(cluster: &TestCluster, config: &Value) {
    cluster.put_row("op", "config", config).await;
    sleep(TIME_TO_APPLY).await;
}

/// Starts two instances, and has a job done.
async fn start_with_finished_job() -> TestCluster {
    let cluster = TestCluster::start(&[8], 2).await;
    let answer = cluster.nodes[0].submit_job("j", &ITEMS).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    cluster.nodes[1].wait_for_results("j").await;
    cluster
}

async fn assert_results_are_read(node: &NodeProcess) {
    let answer = node.read_results("j", 0).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let page: Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(page["total"], 2);
    for result in page["results"].as_array().unwrap() {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["output"], complete_output(id));
    }
    let answer = node.read_results("j", 1).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

/// Sends a call about the job, with a key if it is not empty.
async fn call_with_key(node: &NodeProcess, method: &str, path: &str, key: &str) -> Answer {
    call_with_key_and_id(node, method, path, key, "call").await
}

async fn call_with_key_and_id(
    node: &NodeProcess,
    method: &str,
    path: &str,
    key: &str,
    id: &str,
) -> Answer {
    let mut headers = vec![("host", HOST), ("redwingtack-request-id", id)];
    if !key.is_empty() {
        headers.push(("x-api-key", key));
    }
    send_request(node.callers_address, method, path, &headers, Vec::new())
        .await
        .unwrap()
}

/// Guards against results that are lost with the route on which their job was submitted: reads
/// were answered 404 although the results were stored.
#[tokio::test(flavor = "multi_thread")]
async fn results_are_read_after_the_route_is_removed() {
    let mut cluster = start_with_finished_job().await;
    apply(&cluster, &config_without_batch_route(2)).await;
    for node in &cluster.nodes {
        assert_results_are_read(node).await;
    }
    // An instance that has never known the route reads the job from the store.
    cluster.nodes[1].restart();
    cluster.nodes[1].wait_until_ready().await;
    assert_results_are_read(&cluster.nodes[1]).await;
    for node in &cluster.nodes {
        let ended = node.send_job_request("DELETE", "/lots/j").await;
        assert_eq!(ended.status, StatusCode::OK);
        assert_results_are_read(node).await;
    }
    apply(&cluster, &config(3, 0)).await;
    assert_results_are_read(&cluster.nodes[0]).await;
}

/// Guards against accepted jobs that are turned away when they are submitted again, because
/// their route has been removed.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_of_a_job_is_accepted_after_the_route_is_removed() {
    let mut cluster = start_with_finished_job().await;
    apply(&cluster, &config_without_batch_route(2)).await;
    // An instance that has never known the route reads the job from the store.
    cluster.nodes[1].restart();
    cluster.nodes[1].wait_until_ready().await;
    for node in &cluster.nodes {
        for _ in 0..3 {
            let answer = node.submit_job("j", &ITEMS).await;
            assert_eq!(answer.status, StatusCode::ACCEPTED, "{answer:?}");
        }
        assert_results_are_read(node).await;
        let answer = node.submit_job("new", &ITEMS).await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
    }
}

/// The same for a job that is open when its route is removed.
#[tokio::test(flavor = "multi_thread")]
async fn open_job_is_listed_and_ended_after_the_route_is_removed() {
    let cluster = TestCluster::start(&[8], 2).await;
    cluster.register_server(0, "draining").await;
    sleep(TIME_TO_APPLY).await;
    cluster.nodes[0].submit_job("j", &ITEMS).await;
    let body = cluster.nodes[1]
        .send_job_request("GET", "/items/j?id=i1")
        .await;
    assert_eq!(body.status, StatusCode::OK);
    apply(&cluster, &config_without_batch_route(2)).await;
    for node in &cluster.nodes {
        let results = node.wait_for_results("j").await;
        assert!(results.iter().all(|result| result["state"] == "dead"));
        let ended = node.send_job_request("DELETE", "/lots/j").await;
        assert_eq!(ended.status, StatusCode::OK);
    }
}

/// Guards against items that are given up by a new owner whose configuration is older than their
/// route: it took the route for a removed one.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_new_route_are_not_given_up_by_an_owner_with_an_older_configuration() {
    let mut cluster = TestCluster::start_without_config(&[8], 1).await;
    cluster
        .put_row("op", "config", &config_without_batch_route(1))
        .await;
    cluster.nodes[0].wait_until_ready().await;
    let proxy = cluster.add_proxied_node("stale").await;
    proxy.set_state(ProxyState::ConfigFeedSilent);
    sleep(FEED_CALL_TIME).await;
    cluster.register_server(0, "draining").await;
    apply(&cluster, &config(2, 0)).await;
    for job in JOBS {
        let answer = cluster.nodes[0].submit_job(job, &ITEMS).await;
        assert_eq!(answer.status, StatusCode::ACCEPTED, "{answer:?}");
    }
    let stale = &cluster.nodes[1];
    assert!(
        !stale
            .log()
            .contains("event=config_applied config_version=2")
    );

    cluster.nodes[0].signal(Signal::SIGTERM);
    wait_until("the jobs are taken over", async || {
        stale.log().matches("event=job_taken_over").count() == JOBS.len()
    })
    .await;
    sleep(TIME_TO_APPLY).await;
    cluster.register_server(0, "ready").await;
    for job in JOBS {
        let results = stale.wait_for_results(job).await;
        assert!(results.iter().all(|result| result["state"] == "done"));
    }
}

/// Another route of the host covers the paths of calls about jobs. It gets what is about no
/// job.
#[tokio::test(flavor = "multi_thread")]
async fn path_of_calls_is_left_to_an_ordinary_route() {
    let cluster = start_with_finished_job().await;
    let mut config = config_without_batch_route(2);
    config["routes"][0]["path_prefix"] = json!("/");
    apply(&cluster, &config).await;
    for (number, node) in cluster.nodes.iter().enumerate() {
        assert_results_are_read(node).await;
        let repeat = node.submit_job("j", &ITEMS).await;
        assert_eq!(repeat.status, StatusCode::ACCEPTED);
        assert!(!cluster.server_runs().await.contains_key("j"));
        let id = format!("r{number}");
        let headers = [
            ("host", HOST),
            ("redwingtack-request-id", id.as_str()),
            ("redwingtack-deadline-ms", "4000"),
        ];
        let address = node.callers_address;
        let answer = send_request(address, "GET", "/lots/other", &headers, Vec::new())
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(cluster.server_runs().await[&id].len(), 1);
    }
}

/// A job is not shown on hosts on which it was not submitted and which have no route for jobs.
#[tokio::test(flavor = "multi_thread")]
async fn job_is_not_found_on_another_host_without_a_route() {
    let cluster = start_with_finished_job().await;
    let headers = [("host", "other.example")];
    for node in &cluster.nodes {
        let address = node.callers_address;
        let answer = send_request(address, "GET", "/lots/j?after=0", &headers, Vec::new())
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
    }
}

/// Without the store an instance cannot be sure that a job does not exist.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_job_is_not_answered_404_without_the_store() {
    let mut cluster = TestCluster::start_without_config(&[8], 0).await;
    cluster
        .put_row("op", "config", &config_without_batch_route(1))
        .await;
    let proxy = cluster.add_proxied_node("alone").await;
    let node = &cluster.nodes[0];
    let answer = node.read_results("unknown", 0).await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    proxy.set_state(ProxyState::Reset);
    sleep(Duration::from_secs(1)).await;
    let read = node.read_results("unknown", 0).await;
    let repeat = node.submit_job("unknown", &ITEMS).await;
    for answer in [read, repeat] {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
    }
}

/// A job of a customer is shown to the customer alone, and a job of nobody to everybody, after
/// the route is removed as before.
#[tokio::test(flavor = "multi_thread")]
async fn key_is_needed_for_a_job_of_a_customer_after_the_route_is_removed() {
    const CUSTOMERS: [(&str, &[&str]); 2] = [("one", &["key-1"]), ("two", &["key-2"])];
    let cluster = start_with_finished_job().await;
    cluster.put_config_with_customers(2, &CUSTOMERS).await;
    sleep(TIME_TO_APPLY).await;
    let node = &cluster.nodes[0];
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", "own"),
        ("x-api-key", "key-1"),
    ];
    let item = json!({"id": "i0", "path": "/batch/x/0", "tokens": 9, "body": "", "headers": {}});
    let body = json!({"items": [item]}).to_string().into_bytes();
    let address = node.callers_address;
    let answer = send_request(address, "POST", "/batch/x", &headers, body)
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    wait_until("the item is done", async || {
        let answer = call_with_key(node, "GET", "/lots/own?after=0", "key-1").await;
        answer.body.contains("\"done\"")
    })
    .await;

    let mut config = config_without_batch_route(3);
    config["tenants"] = json!([
        {"name": "one", "api_keys": ["key-1"]}, {"name": "two", "api_keys": ["key-2"]}
    ]);
    apply(&cluster, &config).await;
    for node in &cluster.nodes {
        let status = async |method: &str, path: &str, key: &str| {
            call_with_key(node, method, path, key).await.status
        };
        let own = "/lots/own?after=0";
        assert_eq!(status("GET", own, "key-1").await, StatusCode::OK);
        assert_eq!(status("GET", own, "key-2").await, StatusCode::NOT_FOUND);
        assert_eq!(status("GET", own, "").await, StatusCode::UNAUTHORIZED);
        assert_eq!(status("GET", own, "wrong").await, StatusCode::UNAUTHORIZED);
        let repeat = async |key: &str| {
            call_with_key_and_id(node, "POST", "/batch/x", key, "own")
                .await
                .status
        };
        assert_eq!(repeat("key-1").await, StatusCode::ACCEPTED);
        assert_eq!(repeat("key-2").await, StatusCode::NOT_FOUND);
        assert_eq!(repeat("").await, StatusCode::UNAUTHORIZED);
        let of_nobody = "/lots/j?after=0";
        for key in ["", "key-1", "key-2"] {
            assert_eq!(status("GET", of_nobody, key).await, StatusCode::OK);
        }
        assert_eq!(status("DELETE", "/lots/j", "").await, StatusCode::OK);
        assert_eq!(
            status("DELETE", "/lots/own", "").await,
            StatusCode::UNAUTHORIZED
        );
        assert_eq!(
            status("DELETE", "/lots/own", "key-2").await,
            StatusCode::NOT_FOUND
        );
        assert_eq!(status("DELETE", "/lots/own", "key-1").await, StatusCode::OK);
    }
}

/// A job that was accepted before the first configuration with customers belongs to nobody. It
/// comes again as it was accepted, without a key, whether or not its route is there.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_of_a_job_of_nobody_needs_no_key() {
    let cluster = start_with_finished_job().await;
    cluster
        .put_config_with_customers(2, &[("one", &["key-1"])])
        .await;
    sleep(TIME_TO_APPLY).await;
    for node in &cluster.nodes {
        let repeat = node.submit_job("j", &ITEMS).await;
        assert_eq!(repeat.status, StatusCode::ACCEPTED);
        let new = node.submit_job("new", &ITEMS).await;
        assert_eq!(new.status, StatusCode::UNAUTHORIZED);
    }
}
