//! A request that crashes every server that runs it, and comes again.

mod support;

use std::time::Duration;

use http::StatusCode;
use support::{Answer, NodeProcess, TestCluster};
use tokio::time::sleep;

/// Body of the request that crashes servers.
const CRASHING_BODY: &str = "crash";
/// Number of crashes from which the instances must know the request.
const CRASHES_TO_KNOW: usize = 3;
/// Time after those crashes in which every instance must learn of the request.
const TIME_TO_KNOW: Duration = Duration::from_secs(4);
/// Maximum number of times that the request may be sent to a server from then on.
const LATER_SENDS_MAX: usize = 3;

/// Sends the crashing request, whose id is another one at each attempt.
async fn send_crashing(node: &NodeProcess, id: &str) -> Answer {
    node.send_prompt_with_body("/long/x", id, "a1:100,f:250", CRASHING_BODY)
        .await
}

/// Sends a sound request with the same first part beside the crashing one. Returns whether
/// the sound one was answered in full.
async fn send_pair(node: &NodeProcess, name: &str) -> bool {
    let crashing_id = format!("{name}-crash");
    let sound_id = format!("{name}-sound");
    let sound_prompt = format!("a1:100,{:x}:250", name.len());
    let (_, sound) = tokio::join!(
        send_crashing(node, &crashing_id),
        node.send_prompt_with_body("/long/x", &sound_id, &sound_prompt, name)
    );
    sound.status == StatusCode::OK && sound.is_complete
}

/// Sends the crashing request to all instances in turn until it has crashed enough servers
/// for the verdict.
async fn crash_until_known(cluster: &TestCluster) {
    for round in 0..10 {
        let node = &cluster.nodes[round % cluster.nodes.len()];
        send_pair(node, &format!("first-{round}")).await;
        if cluster.crashed_count().await >= CRASHES_TO_KNOW {
            break;
        }
        sleep(Duration::from_millis(300)).await;
    }
    sleep(TIME_TO_KNOW).await;
    let crashed = cluster.crashed_count().await;
    assert!(crashed >= CRASHES_TO_KNOW, "{crashed} servers crashed");
}

async fn check_request_is_kept_from_servers(crash: &str) {
    let cluster = TestCluster::start(&[4; 24], 2).await;
    cluster.make_servers_crash(crash).await;
    crash_until_known(&cluster).await;
    let crashed_before = cluster.crashed_count().await;
    let mut sound_count = 0;
    for round in 0..12 {
        let node = &cluster.nodes[round % 2];
        sound_count += usize::from(send_pair(node, &format!("later-{round}")).await);
        sleep(Duration::from_millis(100)).await;
    }
    let crashed_later = cluster.crashed_count().await - crashed_before;
    assert!(
        crashed_later <= LATER_SENDS_MAX,
        "{crashed_later} servers crashed after {crashed_before} others"
    );
    assert_eq!(sound_count, 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_three_servers_reaches_no_others() {
    check_request_is_kept_from_servers(&format!("body={CRASHING_BODY}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_three_servers_before_the_head_reaches_no_others() {
    let crash = format!("body={CRASHING_BODY}&moment=before_head");
    check_request_is_kept_from_servers(&crash).await;
}

/// Registers each server that has crashed since the last call as started again. Returns the
/// number of all crashes.
async fn register_restarts(cluster: &TestCluster, crash_counts: &mut [u64]) -> u64 {
    for (index, known) in crash_counts.iter_mut().enumerate() {
        let count = cluster.crash_count(index).await;
        if count > *known {
            cluster.register_restarted_server(index, 1 + count).await;
            *known = count;
        }
    }
    crash_counts.iter().sum()
}

/// The port of a server that crashes stays open, and the same id is registered there again.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_three_servers_with_open_ports_reaches_no_others() {
    let cluster = TestCluster::start(&[4; 8], 2).await;
    let crash = format!("body={CRASHING_BODY}&listener=open");
    cluster.make_servers_crash(&crash).await;
    let mut crash_counts = [0; 8];
    for round in 0..10 {
        send_crashing(&cluster.nodes[round % 2], &format!("first-{round}")).await;
        if register_restarts(&cluster, &mut crash_counts).await >= CRASHES_TO_KNOW as u64 {
            break;
        }
        sleep(Duration::from_millis(300)).await;
    }
    sleep(TIME_TO_KNOW).await;
    let crashed_before = register_restarts(&cluster, &mut crash_counts).await;
    for round in 0..12 {
        send_crashing(&cluster.nodes[round % 2], &format!("later-{round}")).await;
        register_restarts(&cluster, &mut crash_counts).await;
        sleep(Duration::from_millis(100)).await;
    }
    let crashed_later = crash_counts.iter().sum::<u64>() - crashed_before;
    assert!(
        crashed_later <= LATER_SENDS_MAX as u64,
        "{crashed_later} crashes after {crashed_before} others"
    );
}
