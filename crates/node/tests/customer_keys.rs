//! Customers and their keys: who is served, under whose name, and when a key that was taken
//! away is refused, while instances are cut off from the store or frozen.

mod support;

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{
    Answer, HOST, NodeProcess, TestCluster, complete_stream, send_request, store_proxy::ProxyState,
    wait_until,
};
use tokio::time::{Instant, sleep};

/// Time within which no instance may accept a key that was taken away.
const REVOCATION: Duration = Duration::from_secs(2);
/// Time within which an instance that reaches the store again must serve.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// The customers of most tests.
const CUSTOMERS: [(&str, &[&str]); 2] = [("one", &["key-1", "key-1b"]), ("two", &["key-2"])];
/// The same customers without `key-1`.
const WITHOUT_KEY_1: [(&str, &[&str]); 2] = [("one", &["key-1b"]), ("two", &["key-2"])];

/// Starts a cluster with a configuration of customers.
async fn start(nodes: usize) -> TestCluster {
    let mut cluster = TestCluster::start_without_config(&[16], 0).await;
    cluster.revocation_ms = Some(u64::try_from(REVOCATION.as_millis()).unwrap());
    cluster.put_config_with_customers(1, &CUSTOMERS).await;
    for index in 0..nodes {
        cluster.add_node(&format!("node-{index}"));
    }
    for node in &cluster.nodes {
        node.wait_until_ready().await;
    }
    cluster
}

async fn send(node: &NodeProcess, id: &str, key: &str) -> Answer {
    send_to(node, "/long/a", id, key).await
}

async fn send_to(node: &NodeProcess, path: &str, id: &str, key: &str) -> Answer {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id),
        ("redwingtack-deadline-ms", "4000"),
        ("redwingtack-tenant", "forged"),
        ("x-api-key", key),
    ];
    let body = b"prompt".to_vec();
    send_request(node.callers_address, "POST", path, &headers, body)
        .await
        .unwrap()
}

async fn send_job_call(
    node: &NodeProcess,
    method: &str,
    path: &str,
    key: &str,
    body: Vec<u8>,
) -> Answer {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", "j1"),
        ("redwingtack-deadline-ms", "4000"),
        ("x-api-key", key),
    ];
    send_request(node.callers_address, method, path, &headers, body)
        .await
        .unwrap()
}

async fn submit(node: &NodeProcess, key: &str) -> Answer {
    let item = json!({"id": "i1", "path": "/batch/x/0", "tokens": 9, "body": BASE64.encode("b"),
                      "headers": {"X-Api-Key": "key-2", "Redwingtack-Tenant": "two"}});
    let body = json!({"items": [item]}).to_string().into_bytes();
    send_job_call(node, "POST", "/batch/x", key, body).await
}

#[tokio::test(flavor = "multi_thread")]
async fn customer_is_named_on_each_attempt_and_key_stays_here() {
    let cluster = start(1).await;
    cluster.break_next_streams(3).await;
    let answer = send(&cluster.nodes[0], "r1", "key-1").await;
    assert_eq!(answer.body, complete_stream("r1"), "{answer:?}");
    let accepted = submit(&cluster.nodes[0], "key-1").await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    wait_until("the item has run", async || {
        cluster.server_runs().await.contains_key("i1")
    })
    .await;
    let runs = cluster.server_runs().await;
    assert_eq!(runs["r1"].len(), 2, "one attempt and one that resumes");
    for run in runs["r1"].iter().chain(&runs["i1"]) {
        assert_eq!(run.customer.as_deref(), Some("one"));
        assert!(!run.has_key);
    }
    let log = cluster.nodes[0].log();
    assert!(!log.contains("key-1") && !log.contains("key-2"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn public_route_needs_no_key_and_names_no_customer() {
    let cluster = start(1).await;
    let node = &cluster.nodes[0];
    for (id, key) in [("r1", "key-1"), ("r2", "wrong")] {
        let answer = send_to(node, "/once/a", id, key).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    let answer = node.send_stream_request("/once/a", "r3").await;
    assert_eq!(answer.status, StatusCode::OK);
    let runs = cluster.server_runs().await;
    assert_eq!(runs.len(), 3);
    for run in runs.values().flatten() {
        assert_eq!(run.customer, None);
        assert!(!run.has_key);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_and_missing_keys_are_refused_for_good() {
    let cluster = start(1).await;
    let node = &cluster.nodes[0];
    for key in ["wrong", "wrong", ""] {
        let answer = send(node, "r1", key).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    }
    let answer = node.send_stream_request("/long/a", "r2").await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    assert!(cluster.server_runs().await.is_empty());
    wait_until("the log says why", async || {
        let log = node.log();
        log.contains("reason=unknown_key") && log.contains("reason=no_key")
    })
    .await;
}

/// The feed of this instance is stuck, so it does not know the new configuration.
#[tokio::test(flavor = "multi_thread")]
async fn key_added_right_before_its_first_request_is_accepted() {
    let mut cluster = start(0).await;
    let proxy = cluster.add_proxied_node("late").await;
    let node = &cluster.nodes[0];
    assert_eq!(send(node, "r1", "key-1").await.status, StatusCode::OK);
    proxy.set_state(ProxyState::Silent);
    let with_new_key: [(&str, &[&str]); 1] = [("one", &["key-1", "new-key"])];
    cluster.put_config_with_customers(2, &with_new_key).await;
    sleep(Duration::from_millis(100)).await;
    proxy.set_state(ProxyState::Open);
    let mut statuses = Vec::new();
    for index in 0..5 {
        let answer = send(node, &format!("n{index}"), "new-key").await;
        statuses.push(answer.status);
    }
    assert!(
        !statuses.contains(&StatusCode::UNAUTHORIZED),
        "{statuses:?}"
    );
    assert_eq!(statuses.last(), Some(&StatusCode::OK), "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_key_is_not_refused_for_good_without_the_store() {
    let mut cluster = start(0).await;
    let proxy = cluster.add_proxied_node("cut").await;
    proxy.set_state(ProxyState::Reset);
    let answer = send(&cluster.nodes[0], "r1", "wrong").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
}

/// The newest configuration cannot be read, so it may have the key.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_key_is_not_refused_for_good_by_an_unreadable_configuration() {
    let cluster = start(1).await;
    let unreadable = json!({"version": 2, "routes": "none"});
    cluster.put_row("op", "config", &unreadable).await;
    sleep(Duration::from_millis(300)).await;
    let answer = send(&cluster.nodes[0], "r1", "wrong").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Callers send wrong keys as fast as they can. The calls to the store that this leads to stay
/// few, and other callers are served.
#[tokio::test(flavor = "multi_thread")]
async fn flood_of_wrong_keys_shares_calls_to_the_store() {
    let cluster = start(1).await;
    let node = &cluster.nodes[0];
    let began = Instant::now();
    let ids: Vec<_> = (0..400).map(|index| format!("w{index}")).collect();
    for chunk in ids.chunks(40) {
        let answers = chunk.iter().map(|id| send(node, id, id));
        for answer in futures::future::join_all(answers).await {
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        }
    }
    let answer = send(node, "r1", "key-1").await;
    assert_eq!(answer.status, StatusCode::OK);
    // Ten rounds at a distance of 100 ms.
    assert!(began.elapsed() >= Duration::from_millis(900));
}

/// Sends a request with `key-1` every 50 ms for a while. Returns how long after the start the
/// last one was sent that was served.
async fn last_served(node: &NodeProcess, name: &str, duration: Duration) -> Duration {
    let began = Instant::now();
    let mut last = Duration::ZERO;
    let mut index = 0;
    while began.elapsed() < duration {
        let sent_at = began.elapsed();
        let answer = send(node, &format!("{name}-{index}"), "key-1").await;
        if answer.status == StatusCode::OK {
            last = sent_at;
        }
        index += 1;
        sleep(Duration::from_millis(50)).await;
    }
    last
}

#[tokio::test(flavor = "multi_thread")]
async fn key_taken_away_is_refused_by_instance_cut_from_store() {
    for state in [ProxyState::Reset, ProxyState::Silent] {
        let mut cluster = start(2).await;
        let proxy = cluster.add_proxied_node("cut").await;
        let cut = &cluster.nodes[2];
        assert_eq!(send(cut, "r1", "key-1").await.status, StatusCode::OK);
        proxy.set_state(state);
        cluster.put_config_with_customers(2, &WITHOUT_KEY_1).await;
        let last = last_served(cut, "r2", REVOCATION * 2).await;
        assert!(last < REVOCATION, "{state:?}: served after {last:?}");
        wait_until("the log says that keys are not confirmed", async || {
            cut.log().contains("reason=keys_unconfirmed customer=one")
        })
        .await;
        let connected = send(&cluster.nodes[0], "r3", "key-1").await;
        assert_eq!(connected.status, StatusCode::UNAUTHORIZED);
        wait_until("the log names the customer and the version", async || {
            let log = cluster.nodes[0].log();
            log.contains("reason=key_taken_away customer=one removed_by=2")
        })
        .await;
        proxy.set_state(ProxyState::Open);
        wait_until("the key is refused for good", async || {
            send(cut, "r4", "key-1").await.status == StatusCode::UNAUTHORIZED
        })
        .await;
    }
}

/// Peers that reach the store tell that the configuration is still the newest one.
#[tokio::test(flavor = "multi_thread")]
async fn instance_cut_from_store_serves_by_the_word_of_peers() {
    let mut cluster = start(2).await;
    let proxy = cluster.add_proxied_node("cut").await;
    proxy.set_state(ProxyState::Reset);
    let began = Instant::now();
    while began.elapsed() < REVOCATION * 3 {
        let answer = send(&cluster.nodes[2], "r1", "key-1").await;
        assert_eq!(answer.status, StatusCode::OK, "after {:?}", began.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_refused_while_nobody_reaches_the_store_and_accepted_at_once_afterwards() {
    let mut cluster = start(0).await;
    let proxy = cluster.add_proxied_node("cut").await;
    let node = &cluster.nodes[0];
    proxy.set_state(ProxyState::Reset);
    let last = last_served(node, "r1", REVOCATION * 2).await;
    assert!(
        last > Duration::from_millis(200) && last < REVOCATION,
        "{last:?}"
    );
    let public = node.send_stream_request("/once/a", "p1").await;
    assert_eq!(public.status, StatusCode::OK, "public routes need no lease");
    proxy.set_state(ProxyState::Open);
    let began = Instant::now();
    wait_until("the node serves again", async || {
        send(node, "r2", "key-1").await.status == StatusCode::OK
    })
    .await;
    let elapsed = began.elapsed();
    assert!(elapsed < RETURN_TIME, "{elapsed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_instance_does_not_use_its_old_lease() {
    let cluster = start(2).await;
    let frozen = &cluster.nodes[1];
    assert_eq!(send(frozen, "r1", "key-1").await.status, StatusCode::OK);
    frozen.signal(Signal::SIGSTOP);
    cluster.put_config_with_customers(2, &WITHOUT_KEY_1).await;
    sleep(REVOCATION).await;
    let (taken_away, kept, ()) = tokio::join!(
        send(frozen, "r2", "key-1"),
        send(frozen, "r3", "key-2"),
        async {
            sleep(Duration::from_millis(200)).await;
            frozen.signal(Signal::SIGCONT);
        }
    );
    assert_ne!(taken_away.status, StatusCode::OK);
    assert!(!cluster.server_runs().await.contains_key("r2"));
    assert_ne!(kept.status, StatusCode::UNAUTHORIZED);
    let began = Instant::now();
    wait_until("the instance serves again", async || {
        send(frozen, "r4", "key-2").await.status == StatusCode::OK
    })
    .await;
    let elapsed = began.elapsed();
    assert!(elapsed < RETURN_TIME, "{elapsed:?}");
}

/// No request shows that the key is gone: the instance learns it only from its lease.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_instance_reads_the_newest_configuration_before_it_accepts_keys() {
    let mut cluster = start(1).await;
    cluster.nodes[0].signal(Signal::SIGKILL);
    cluster.nodes.clear();
    cluster.put_config_with_customers(2, &WITHOUT_KEY_1).await;
    cluster.add_node("node-0");
    cluster.nodes[0].wait_until_ready().await;
    let answer = send(&cluster.nodes[0], "r1", "key-1").await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
}

#[tokio::test(flavor = "multi_thread")]
async fn job_is_found_with_each_key_of_its_customer_and_no_other() {
    let cluster = start(2).await;
    let [node, other] = [&cluster.nodes[0], &cluster.nodes[1]];
    assert_eq!(submit(node, "key-1").await.status, StatusCode::ACCEPTED);
    let calls = [
        ("GET", "/lots/j1?after=0"),
        ("GET", "/items/j1?id=i1"),
        ("DELETE", "/lots/j1"),
    ];
    for node in [node, other] {
        assert_eq!(submit(node, "key-2").await.status, StatusCode::NOT_FOUND);
        for (method, path) in calls {
            let answer = send_job_call(node, method, path, "key-2", Vec::new()).await;
            assert_eq!(answer.status, StatusCode::NOT_FOUND, "{method} {path}");
            let answer = send_job_call(node, method, path, "wrong", Vec::new()).await;
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{method} {path}");
        }
    }
    cluster.put_config_with_customers(2, &WITHOUT_KEY_1).await;
    wait_until("the item is done", async || {
        let answer = send_job_call(other, "GET", "/lots/j1?after=0", "key-1b", Vec::new()).await;
        answer.status == StatusCode::OK && answer.body.contains("\"done\"")
    })
    .await;
    assert_eq!(submit(node, "key-1b").await.status, StatusCode::ACCEPTED);
    let ended = send_job_call(other, "DELETE", "/lots/j1", "key-1b", Vec::new()).await;
    assert_eq!(ended.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_grows_little_with_2000_customers() {
    let cluster = start(1).await;
    let node = &cluster.nodes[0];
    for index in 0..20 {
        send(node, &format!("warm-{index}"), "key-1").await;
    }
    let before_kb = resident_kb(node.id());
    let names: Vec<_> = (0..2_000)
        .map(|index| format!("customer-{index}"))
        .collect();
    let keys: Vec<_> = (0..2_000).map(|index| format!("key-of-{index}")).collect();
    let keys: Vec<_> = keys.iter().map(|key| [key.as_str()]).collect();
    let customers: Vec<_> = names
        .iter()
        .zip(&keys)
        .map(|(name, keys)| (name.as_str(), &keys[..]))
        .collect();
    cluster.put_config_with_customers(2, &customers).await;
    wait_until("the last customer is served", async || {
        send(node, "r1", "key-of-1999").await.status == StatusCode::OK
    })
    .await;
    let grown_kb = resident_kb(node.id()).saturating_sub(before_kb);
    println!("2000 customers: {grown_kb} kB more are resident");
    // The document alone has about 130 kB; a fiftieth of the smallest instance's memory.
    assert!(grown_kb < 3_200, "{grown_kb} kB");
}

fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.unwrap()
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse()
        .unwrap()
}
