//! Parts of prompts that crash the servers that answer them.

mod support;

use std::time::Duration;

use http::StatusCode;
use support::{NodeProcess, TestCluster, wait_until};
use tokio::time::{Instant, sleep};

const CRASHING_PART: &str = "bad1";
/// Number of crashes from which the instances must know the part.
const CRASHES_TO_KNOW: usize = 5;
/// Time after those crashes in which every instance must learn of the part.
const TIME_TO_KNOW: Duration = Duration::from_secs(4);
/// Maximum number of requests with the part that may reach a server from then on.
const LATER_REQUESTS_MAX: usize = 3;

/// Sends requests with the crashing part to all instances in turn, each beside a sound one
/// with the same first part. Returns how many sound ones were answered in full.
async fn send_pairs(cluster: &TestCluster, prefix: &str, count: usize) -> usize {
    let mut sound_count = 0;
    for index in 0..count {
        let node = &cluster.nodes[index % cluster.nodes.len()];
        let bad_id = format!("{prefix}-bad-{index}");
        let bad_prompt = format!("a1:100,{CRASHING_PART}:100,{index:x}:250");
        let sound_id = format!("{prefix}-sound-{index}");
        let sound_prompt = format!("a1:100,c{index:x}:100,{index:x}:250");
        let (_, sound) = tokio::join!(
            node.send_prompt("/long/x", &bad_id, &bad_prompt),
            node.send_prompt("/long/x", &sound_id, &sound_prompt)
        );
        sound_count += usize::from(sound.status == StatusCode::OK && sound.is_complete);
        sleep(Duration::from_millis(100)).await;
    }
    sound_count
}

#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashed_five_servers_reaches_no_others() {
    let cluster = TestCluster::start(&[4; 24], 2).await;
    cluster.make_part_crash_servers(CRASHING_PART).await;
    for round in 0..5 {
        send_pairs(&cluster, &format!("first-{round}"), 2).await;
        if cluster.crashed_count().await >= CRASHES_TO_KNOW {
            break;
        }
    }
    sleep(TIME_TO_KNOW).await;
    let crashed_before = cluster.crashed_count().await;
    assert!(crashed_before > 0, "the part crashes no server");
    let sound_count = send_pairs(&cluster, "later", 6).await;
    let crashed_later = cluster.crashed_count().await - crashed_before;
    assert!(
        crashed_later <= LATER_REQUESTS_MAX,
        "{crashed_later} servers crashed after {crashed_before} others"
    );
    assert_eq!(sound_count, 6);
}

/// Starts a cluster and sends requests with the crashing part until the first instance
/// refuses them.
async fn start_with_quarantined_part() -> TestCluster {
    let cluster = TestCluster::start(&[4; 12], 2).await;
    cluster.make_part_crash_servers(CRASHING_PART).await;
    wait_until("the part is quarantined", async || {
        send_pairs(&cluster, "first", 2).await;
        send_bad(&cluster.nodes[0], "bad").await.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    cluster
}

async fn send_bad(node: &NodeProcess, id: &str) -> support::Answer {
    let prompt = format!("a1:100,{CRASHING_PART}:100,f:250");
    node.send_prompt("/once/x", id, &prompt).await
}

/// The answer says when it is worth trying again, which is far beyond the caller's
/// deadline of 4 s, and comes at once.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_quarantined_part_is_prompt_and_names_a_late_retry() {
    let cluster = start_with_quarantined_part().await;
    let crashed_before = cluster.crashed_count().await;
    let started = Instant::now();
    let answer = send_bad(&cluster.nodes[0], "again").await;
    assert!(started.elapsed() < Duration::from_millis(100));
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = answer.headers["retry-after"].to_str().unwrap();
    assert!(retry_after.parse::<f64>().unwrap() > 4.0, "{retry_after}");
    assert_eq!(cluster.crashed_count().await, crashed_before);
}

/// The last part belongs to one request, so it is not the part that crashed the servers.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_last_part_is_quarantined_is_sent() {
    let cluster = start_with_quarantined_part().await;
    let prompt = format!("a1:100,{CRASHING_PART}:100");
    let answer = cluster.nodes[0]
        .send_prompt("/long/x", "last", &prompt)
        .await;
    assert_eq!(answer.status, StatusCode::OK);
}

/// An instance that starts later knows the part from the others.
#[tokio::test(flavor = "multi_thread")]
async fn quarantined_part_is_known_to_instance_that_starts_later() {
    let mut cluster = start_with_quarantined_part().await;
    cluster.add_node("node-2");
    cluster.nodes[2].wait_until_ready().await;
    sleep(Duration::from_secs(2)).await;
    let crashed_before = cluster.crashed_count().await;
    let answer = send_bad(&cluster.nodes[2], "late").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(cluster.crashed_count().await, crashed_before);
}

/// Items with the part crash few servers and then wait; the sound items of the same job
/// are done.
#[tokio::test(flavor = "multi_thread")]
async fn items_with_crashing_part_wait_while_sound_ones_are_done() {
    let cluster = TestCluster::start(&[4; 12], 2).await;
    cluster.make_part_crash_servers(CRASHING_PART).await;
    let bad = format!("a1:100,{CRASHING_PART}:100,f:250");
    let items = [
        ("bad-0", &*bad),
        ("sound-0", "a1:100,c0:100,1:250"),
        ("bad-1", &*bad),
        ("sound-1", "a1:100,c1:100,2:250"),
        ("sound-2", "a1:100,c2:100,3:250"),
    ];
    let answer = cluster.nodes[0].submit_prompts("j", &items).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    wait_until("the sound items are done", async || {
        let page = cluster.nodes[1].read_results("j", 0).await;
        page.body.matches("\"done\"").count() == 3
    })
    .await;
    sleep(TIME_TO_KNOW).await;
    let crashed_before = cluster.crashed_count().await;
    assert!(crashed_before <= CRASHES_TO_KNOW, "{crashed_before}");
    // The items may have met too few live servers to convict the part; requests with it are
    // then the next evidence.
    let mut later_requests = 0;
    while send_bad(&cluster.nodes[1], "online").await.status != StatusCode::SERVICE_UNAVAILABLE {
        later_requests += 1;
        assert!(later_requests <= LATER_REQUESTS_MAX);
        sleep(Duration::from_secs(1)).await;
    }
    let crashed_before = cluster.crashed_count().await;
    sleep(TIME_TO_KNOW).await;
    let page = cluster.nodes[1].read_results("j", 0).await;
    assert!(!page.body.contains("\"dead\""), "{}", page.body);
    assert_eq!(cluster.crashed_count().await, crashed_before);
}
