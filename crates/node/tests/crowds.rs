//! Crowds of clients that do not behave, at a process with little memory. The process lives, stays
//! within the memory of its machine and answers ordinary requests.

mod support;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use support::{
    crowd::{Crowd, Outcome},
    crowd_cluster::{BODY_MAX_BYTES, CLIENTS, CrowdCluster},
    crowd_load::Load,
};
use tokio::sync::{Mutex, MutexGuard};

/// How much of a body of the maximum size does not come, bytes.
const MISSING_BYTES: usize = 1_000;
/// Number of writes of clients that send small chunks, and the pause after each of them, so that
/// the process reads them one by one.
const SMALL_WRITES: usize = 600;
const SMALL_WRITE_PAUSE: Duration = Duration::from_millis(5);
/// Size of large chunks, bytes.
const LARGE_CHUNK_BYTES: usize = 65_536;
/// Length that clients over the limit announce, bytes.
const ANNOUNCED_BYTES: usize = 8 << 30;
/// How much clients over the limit send, bytes.
const OVER_LIMIT_BYTES: usize = 16 << 20;
/// Size of small bodies, bytes, and number of the clients that send them.
const SMALL_BODY_BYTES: usize = 65_000;
const SMALL_CLIENTS: usize = 200;
const BATCH_PATH: &str = "/batch/x";
/// Number of items of a job.
const JOB_ITEMS: usize = 200;
/// Size of an item's body, with which a job almost has the maximum size, bytes.
const ITEM_BYTES: usize = 7_380;
/// Time that an item runs while many jobs wait.
const ITEM_DURATION: Duration = Duration::from_secs(5);
const JOB_CALLERS: usize = 4;
const JOBS_PER_CALLER: usize = 9;

/// Only one test of this file runs at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// Has a crowd send this load and checks what must hold.
async fn process_withstands(clients: usize, load: &Load) {
    let _turn = take_turn().await;
    let mut cluster = CrowdCluster::start(Duration::ZERO).await;
    cluster.press("crowd", clients, load).await;
    cluster.assert_holds();
}

fn unfinished_bodies() -> Load {
    Load::unfinished(BODY_MAX_BYTES, MISSING_BYTES)
}

fn unfinished_small_chunks(chunk_bytes: usize) -> Load {
    Load::unfinished_chunks(chunk_bytes, 1, SMALL_WRITES).with_pause(SMALL_WRITE_PAUSE)
}

/// Guards against memory that idle connections hold with bodies short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_stay_within_memory() {
    process_withstands(CLIENTS, &unfinished_bodies()).await;
}

/// Guards against the same when the bodies come slowly, piece by piece.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_slow_bodies_stay_within_memory() {
    let load = unfinished_bodies()
        .with_write_bytes(16_000)
        .with_pause(Duration::from_millis(20));
    process_withstands(CLIENTS, &load).await;
}

/// Guards against the same without announced lengths.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_large_chunks_stay_within_memory() {
    let chunks = BODY_MAX_BYTES / LARGE_CHUNK_BYTES;
    let load = Load::unfinished_chunks(LARGE_CHUNK_BYTES, 1, chunks);
    process_withstands(CLIENTS, &load).await;
}

/// Guards against what small pieces cost besides their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_chunks_of_64_bytes_stay_within_memory() {
    process_withstands(CLIENTS, &unfinished_small_chunks(64)).await;
}

/// Guards against what the smallest pieces cost besides their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_chunks_of_1_byte_stay_within_memory() {
    process_withstands(CLIENTS, &unfinished_small_chunks(1)).await;
}

/// Guards against whole bodies that are read and forwarded all at once.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_stay_within_memory() {
    let load = Load::whole(BODY_MAX_BYTES).with_requests(2);
    process_withstands(CLIENTS, &load).await;
}

/// Guards against bodies that are read although their announced length exceeds the limit.
#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_over_the_limit_are_refused() {
    let load = Load::unfinished(ANNOUNCED_BYTES, ANNOUNCED_BYTES - OVER_LIMIT_BYTES).over_limit();
    process_withstands(CLIENTS, &load).await;
}

/// Guards against chunked bodies that are read beyond the limit.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_over_the_limit_are_refused() {
    let chunks = OVER_LIMIT_BYTES / LARGE_CHUNK_BYTES;
    let load = Load::unfinished_chunks(LARGE_CHUNK_BYTES, 1, chunks).over_limit();
    process_withstands(CLIENTS, &load).await;
}

/// Guards against memory that unfinished submissions of jobs hold.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_jobs_stay_within_memory() {
    process_withstands(CLIENTS, &unfinished_bodies().with_path(BATCH_PATH)).await;
}

/// Guards against the same in small pieces.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_jobs_in_chunks_of_64_bytes_stay_within_memory() {
    let load = unfinished_small_chunks(64).with_path(BATCH_PATH);
    process_withstands(CLIENTS, &load).await;
}

/// Guards against memory that a crowd leaves behind for the next one.
#[tokio::test(flavor = "multi_thread")]
async fn second_crowd_stays_within_memory() {
    let _turn = take_turn().await;
    let mut cluster = CrowdCluster::start(Duration::ZERO).await;
    cluster.press("first", CLIENTS, &unfinished_bodies()).await;
    let second = unfinished_small_chunks(64);
    cluster.press("second", CLIENTS, &second).await;
    cluster.assert_holds();
}

/// Guards against accepted jobs whose bodies stay in memory although they are stored.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_jobs_stay_within_memory() {
    let _turn = take_turn().await;
    let mut cluster = CrowdCluster::start(ITEM_DURATION).await;
    let load = largest_jobs().with_requests(JOBS_PER_CALLER);
    let outcomes = cluster.press("job", JOB_CALLERS, &load).await;
    for job in accepted(&outcomes) {
        cluster.check_kept(job, &load).await;
    }
    cluster.assert_holds();
}

/// Guards against bodies that are held for attempts through a peer, at both ends.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_through_a_peer_stay_within_memory() {
    let _turn = take_turn().await;
    let (mut cluster, _store, _path) = CrowdCluster::start_cut_off().await;
    let load = Load::whole(BODY_MAX_BYTES);
    cluster.press("crowd", CLIENTS, &load).await;
    cluster.assert_holds();
}

/// Has one client send this load in calm. It must be served.
async fn client_is_served(load: &Load) {
    let _turn = take_turn().await;
    let mut cluster = CrowdCluster::start(Duration::ZERO).await;
    let outcomes = cluster.press("calm", 1, load).await;
    let served = Outcome::Answered(load.success());
    assert_eq!(outcomes.into_values().collect::<Vec<_>>(), [served]);
    cluster.assert_holds();
}

/// Guards against room that a body which goes on does not get from small ones that have stopped.
#[tokio::test(flavor = "multi_thread")]
async fn slow_client_is_served_beside_small_bodies_that_stopped() {
    let _turn = take_turn().await;
    let cluster = CrowdCluster::start(Duration::ZERO).await;
    let SocketAddr::V4(address) = cluster.cluster.nodes[0].callers_address else {
        panic!("the address of the process is not an IPv4 address");
    };
    let stopped = Load::unfinished(SMALL_BODY_BYTES, MISSING_BYTES);
    let crowd = Crowd::start(address, "stopped", SMALL_CLIENTS, &stopped);
    crowd.press().await;
    let load = slow_upload();
    let upload = Crowd::start(address, "upload", 1, &load);
    assert!(upload.wait_for_outcomes(load.timeout()).await);
    let served = Outcome::Answered(load.success());
    assert_eq!(
        upload.outcomes().into_values().collect::<Vec<_>>(),
        [served]
    );
    drop(crowd);
    cluster.assert_holds();
}

/// A body of the maximum size that comes in small parts.
fn slow_upload() -> Load {
    Load::whole(BODY_MAX_BYTES)
        .with_write_bytes(BODY_MAX_BYTES / 40)
        .with_pause(Duration::from_millis(100))
}

/// Guards against a limit that a slow client with a legal body meets.
#[tokio::test(flavor = "multi_thread")]
async fn slow_client_with_largest_body_is_served() {
    client_is_served(&slow_upload()).await;
}

/// Guards against a limit that a slow client with a legal body in small chunks meets.
#[tokio::test(flavor = "multi_thread")]
async fn slow_client_with_small_chunks_is_served() {
    let chunks_per_write = 20;
    let writes = BODY_MAX_BYTES / 64 / chunks_per_write;
    let load =
        Load::whole_chunks(64, chunks_per_write, writes).with_pause(Duration::from_millis(1));
    client_is_served(&load).await;
}

/// Guards against a limit that a single job of the maximum size meets.
#[tokio::test(flavor = "multi_thread")]
async fn largest_job_is_finished() {
    let _turn = take_turn().await;
    let mut cluster = CrowdCluster::start(Duration::ZERO).await;
    let outcomes = cluster.press("calm", 1, &largest_jobs()).await;
    let jobs = accepted(&outcomes);
    let [job] = jobs.as_slice() else {
        panic!("the job is not accepted: {outcomes:?}");
    };
    let results = cluster.cluster.nodes[0].wait_for_results(job).await;
    assert_eq!(results.len(), JOB_ITEMS);
    assert!(results.iter().all(|result| result["state"] == "done"));
    cluster.assert_holds();
}

/// Returns submissions of jobs that almost have the maximum size.
fn largest_jobs() -> Load {
    let load = Load::jobs(JOB_ITEMS, ITEM_BYTES);
    let body_bytes = load.body_bytes("calm-000-000");
    assert!(body_bytes <= BODY_MAX_BYTES, "{body_bytes} bytes");
    assert!(body_bytes > BODY_MAX_BYTES * 9 / 10, "{body_bytes} bytes");
    load
}

/// Returns the ids of the jobs that were accepted.
fn accepted(outcomes: &BTreeMap<String, Outcome>) -> Vec<&str> {
    let accepted = outcomes
        .iter()
        .filter(|(_, outcome)| **outcome == Outcome::Answered(202));
    accepted.map(|(id, _)| id.as_str()).collect()
}
