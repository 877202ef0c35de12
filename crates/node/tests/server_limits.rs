//! Servers that state in their answers how many requests they take.

mod support;

use std::time::Duration;

use http::StatusCode;
use support::TestCluster;
use tokio::{
    task::JoinSet,
    time::{Instant, interval, sleep},
};

/// Time in which every instance must keep a limit that a server has stated.
const TIME_TO_KNOW: Duration = Duration::from_secs(4);
/// Time over which requests are counted, seconds.
const WINDOW_S: u32 = 4;
/// Interval between the requests that the test sends, milliseconds.
const REQUEST_INTERVAL_MS: u64 = 25;

/// Slots of a server without a limit of its own: room for all that callers send, also while
/// the machine is busy and answers take longer.
const AMPLE_SLOTS: u32 = 64;

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
    let cluster = TestCluster::start(&[8, 8, AMPLE_SLOTS], 3).await;
    cluster.register_server_with_slots(2, AMPLE_SLOTS).await;
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

/// Items take tokens as well: all of a job's items run at a server that states a limit.
#[tokio::test(flavor = "multi_thread")]
async fn items_keep_the_limit() {
    let cluster = TestCluster::start(&[8], 2).await;
    cluster.set_stated_limit(0, "4").await;
    send_load(&cluster, "first", Duration::from_millis(500)).await;
    let ids: Vec<_> = (0..40).map(|index| format!("i{index}")).collect();
    let items: Vec<_> = ids.iter().map(|id| (id.as_str(), "/batch/x/0")).collect();
    cluster.nodes[0].submit_job("j", &items).await;
    sleep(TIME_TO_KNOW).await;
    let before = cluster.run_count(0).await;
    sleep(Duration::from_secs(WINDOW_S.into())).await;
    let count = cluster.run_count(0).await - before;
    assert!(count <= allowed(4.0), "{count} items");
    assert!(count >= 8, "only {count} items");
}

/// A server that states nothing any more, or something that is not a rate, is not limited.
#[tokio::test(flavor = "multi_thread")]
async fn limit_ends_when_answers_state_none() {
    let cluster = TestCluster::start(&[AMPLE_SLOTS], 2).await;
    cluster.register_server_with_slots(0, AMPLE_SLOTS).await;
    cluster.set_stated_limit(0, "2").await;
    send_load(&cluster, "limited", Duration::from_secs(2)).await;
    cluster.set_stated_limit(0, "").await;
    // The next answer ends the limit, and peers are told.
    sleep(Duration::from_secs(2)).await;
    send_load(&cluster, "ends", Duration::from_secs(2)).await;
    assert_eq!(
        send_load(&cluster, "ended", Duration::from_secs(2)).await,
        0
    );
    for garbage in ["many", "-3", "inf"] {
        cluster.set_stated_limit(0, garbage).await;
        assert_eq!(
            send_load(&cluster, garbage, Duration::from_secs(1)).await,
            0
        );
    }
}

/// Callers that no server can take are told at once, and when to return.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_limit_of_all_servers_are_refused_at_once() {
    let cluster = TestCluster::start(&[8], 1).await;
    cluster.set_stated_limit(0, "0").await;
    send_load(&cluster, "first", Duration::from_millis(100)).await;
    let started = Instant::now();
    let answer = cluster.nodes[0].send_stream_request("/long/x", "r").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_millis(200));
}
