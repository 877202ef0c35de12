//! Parts of prompts that crash the servers that answer them.

mod support;

use std::time::Duration;

use http::StatusCode;
use support::TestCluster;
use tokio::time::sleep;

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
