//! Servers that state in their answers how many requests they take.

mod support;

use std::time::Duration;

use http::StatusCode;
use support::TestCluster;
use tokio::{task::JoinSet, time::interval};

/// Time in which every instance must keep a limit that a server has stated.
const TIME_TO_KNOW: Duration = Duration::from_secs(4);
/// Time over which requests are counted, seconds.
const WINDOW_S: u32 = 4;
/// Interval between the requests that the test sends, milliseconds.
const REQUEST_INTERVAL_MS: u64 = 25;

/// Returns how many requests a server may get in the window: one and a half times what it
/// states, and five more.
fn allowed(limit_per_s: f64) -> usize {
    let allowed = 1.5 * limit_per_s * f64::from(WINDOW_S) + 5.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the bound is small"
    )]
    {
        allowed as usize
    }
}

/// Sends requests to all instances in turn. Returns how many were refused.
async fn send_load(cluster: &TestCluster, prefix: &str, time: Duration) -> usize {
    let mut requests = JoinSet::new();
    let mut ticks = interval(Duration::from_millis(REQUEST_INTERVAL_MS));
    let count = time.as_millis() / u128::from(REQUEST_INTERVAL_MS);
    for index in 0..usize::try_from(count).unwrap() {
        ticks.tick().await;
        let node = &cluster.nodes[index % cluster.nodes.len()];
        let address = node.callers_address;
        let id = format!("{prefix}-{index}");
        requests.spawn(async move { support::send_stream_request(address, "/long/x", &id).await });
    }
    let answers = requests.join_all().await;
    let refused = answers
        .iter()
        .filter(|answer| answer.status != StatusCode::OK);
    refused.count()
}

/// Two of three servers state a limit while all three instances have load for them.
#[tokio::test(flavor = "multi_thread")]
async fn servers_get_no_more_than_the_limit_that_they_state() {
    let cluster = TestCluster::start(&[8, 8, 8], 3).await;
    cluster.set_stated_limit(0, "3").await;
    cluster.set_stated_limit(1, "1.5").await;
    send_load(&cluster, "first", TIME_TO_KNOW).await;
    let before = [cluster.run_count(0).await, cluster.run_count(1).await];
    let window = Duration::from_secs(WINDOW_S.into());
    let refused = send_load(&cluster, "window", window).await;
    for (index, limit) in [3.0, 1.5].into_iter().enumerate() {
        let count = cluster.run_count(index).await - before[index];
        assert!(count <= allowed(limit), "server {index} got {count}");
        assert!(count >= 2, "server {index} got only {count}");
    }
    assert_eq!(refused, 0);
}
