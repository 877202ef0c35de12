//! Checks that every item gets exactly one result despite failures of batch processes
//! and of the platform.

mod support;

use std::time::Duration;

use model::{Liveness, View};
use serde_json::Value;
use standin::{EngineParams, Fault, FaultKind, StandinClient};
use support::{Client, Fleet, LEASE_MS, client::custom_ids, eventually, line, lines};

/// Waits until a batch is completed and checks that its output contains each of
/// `count` items exactly once.
async fn check_each_item_completed_once(client: &Client, id: &str, count: usize) {
    let batch = client.wait_until_completed(id).await;
    assert_eq!(batch["request_counts"]["completed"], count, "{batch}");
    let output = client.results(id, "output").await;
    let mut expected: Vec<_> = (0..count).map(|index| format!("i{index}")).collect();
    expected.sort();
    assert_eq!(custom_ids(&output), expected);
}

/// Waits until at least `count` items have been started at the engines.
async fn wait_for_starts(fleet: &Fleet, count: u32) {
    eventually(async || (fleet.start_count().await >= count).then_some(())).await;
}

fn slow_engine() -> EngineParams {
    EngineParams {
        base_us: 5_000.0,
        ..EngineParams::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_items_are_run_by_another_process() {
    let fleet = Fleet::start_with(1, slow_engine()).await;
    let mut first = fleet.start_batch("b-1");
    let client = fleet.client();
    let id = client.submit(&lines(300, 8)).await;
    wait_for_starts(&fleet, 30).await;
    first.kill();
    let before = fleet.start_count().await;
    let _second = fleet.start_batch("b-2");
    check_each_item_completed_once(&client, &id, 300).await;
    let runs = fleet.start_count().await;
    println!("kill: started_before={before} runs={runs} items=300");
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_holder_commits_nothing_after_its_lease_is_taken_over() {
    let fleet = Fleet::start_with(1, slow_engine()).await;
    let mut first = fleet.start_batch("b-1");
    let client = fleet.client();
    let id = client.submit(&lines(120, 8)).await;
    wait_for_starts(&fleet, 20).await;
    first.signal("STOP");
    let _second = fleet.start_batch("b-2");
    check_each_item_completed_once(&client, &id, 120).await;
    let before = client.results(&id, "output").await;
    first.signal("CONT");
    // Gives the resumed holder time to attempt its commit.
    tokio::time::sleep(Duration::from_millis(LEASE_MS * 2)).await;
    assert_eq!(first.exit_status(), None);
    assert_eq!(client.results(&id, "output").await, before);
    check_each_item_completed_once(&client, &id, 120).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_longer_than_leases_loses_no_item() {
    let fleet = Fleet::start_with(1, slow_engine()).await;
    let _first = fleet.start_batch("b-1");
    let _second = fleet.start_batch("b-2");
    let client = fleet.client();
    let id = client.submit(&lines(400, 8)).await;
    wait_for_starts(&fleet, 20).await;
    let outage = Fault::new(FaultKind::Down).with_for_ms(LEASE_MS * 4);
    fleet.platform_client().add_fault(&outage).await.unwrap();
    let starts_at_outage = fleet.start_count().await;
    tokio::time::sleep(Duration::from_millis(LEASE_MS * 2)).await;
    assert!(
        fleet.start_count().await > starts_at_outage,
        "claimed items should start during the outage"
    );
    tokio::time::sleep(Duration::from_millis(LEASE_MS * 2)).await;
    // The platform listens again shortly after the fault ends.
    eventually(async || {
        StandinClient::new(fleet.platform.address())
            .counts()
            .await
            .ok()
    })
    .await;
    check_each_item_completed_once(&client, &id, 400).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_duplicate_no_result() {
    let fleet = Fleet::start(1).await;
    let _first = fleet.start_batch("b-1");
    let _second = fleet.start_batch("b-2");
    let client = fleet.client();
    let id = client.submit(&lines(500, 2)).await;
    for _ in 0..4 {
        let lost_answer = Fault::new(FaultKind::ResetAfterBody).with_path("/rows-tx");
        let platform_client = fleet.platform_client();
        platform_client
            .add_fault(&lost_answer.with_times(2))
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    check_each_item_completed_once(&client, &id, 500).await;
}

/// Cancels a running job and checks that no item starts and no result is committed more
/// than a second after the cancellation.
async fn check_cancel(fleet: &Fleet) {
    let client = fleet.client();
    let id = client.submit(&lines(2_000, 8)).await;
    let committed = |batch: &Value| batch["request_counts"]["completed"].as_u64() > Some(0);
    eventually(async || committed(&client.batch(&id).await).then_some(())).await;
    let cancelled = client.cancel(&id).await;
    assert_eq!(cancelled.json()["status"], "cancelled", "{cancelled:?}");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let starts = fleet.start_count().await;
    let done = client.batch(&id).await["request_counts"]["completed"].clone();
    tokio::time::sleep(Duration::from_millis(LEASE_MS * 2)).await;
    assert_eq!(fleet.start_count().await, starts);
    let batch = client.batch(&id).await;
    assert_eq!(batch["request_counts"]["completed"], done);
    let output = client.results(&id, "output").await;
    assert_eq!(Some(output.len() as u64), done.as_u64());
    assert_eq!(batch["output_file_id"], format!("{id}_output"));
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_starts_no_item_after_one_second() {
    let fleet = Fleet::start_with(1, slow_engine()).await;
    let _first = fleet.start_batch("b-1");
    check_cancel(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_with_lost_notice_starts_no_item_after_one_second() {
    let fleet = Fleet::start_with(1, slow_engine()).await;
    fleet.control.hide_addresses();
    // With a lease of a minute, no renewal detects the cancellation.
    let _first = fleet.start_batch_with("b-1", 60_000, &[]);
    check_cancel(&fleet).await;
}

/// Each process that runs the item is killed. The item must get an error after a bounded
/// number of kills, and the other items of its chunk must complete.
#[tokio::test(flavor = "multi_thread")]
async fn item_that_kills_processes_is_the_only_one_to_fail() {
    let fleet = Fleet::start(1).await;
    let client = fleet.client();
    let mut content: Vec<_> = (0..20)
        .map(|index| line(&format!("i{index}"), &format!("p{index}"), 2))
        .collect();
    content.insert(10, line("killer", "killer", 200));
    let id = client.submit(&content.join("\n")).await;
    let mut kills = 0;
    let runs_of_killer = async || {
        let runs = fleet.prompt_runs().await;
        let killer = runs.iter().find(|(id, _)| id.contains("killer"));
        killer.map_or(0, |(_, runs)| *runs)
    };
    let mut batch = fleet.start_batch_with("b-0", 500, &[]);
    loop {
        let has_completed = eventually(async || {
            if runs_of_killer().await > kills {
                return Some(false);
            }
            (client.batch(&id).await["status"] == "completed").then_some(true)
        });
        if has_completed.await {
            break;
        }
        batch.kill();
        kills = runs_of_killer().await;
        assert!(kills < 12, "the item still runs after 12 killed processes");
        batch = fleet.start_batch_with(&format!("b-{kills}"), 500, &[]);
    }
    let result = client.wait_until_completed(&id).await;
    assert_eq!(result["request_counts"]["completed"], 20, "{result}");
    let errors = client.results(&id, "errors").await;
    assert_eq!(custom_ids(&errors), ["killer"]);
    println!("killer: processes_killed={kills}");
}

/// Submits a batch of calls to a service that is not idempotent and returns its
/// identifier.
async fn submit_calls(client: &Client, count: usize) -> String {
    let calls = (0..count).map(|index| {
        format!(
            r#"{{"custom_id":"i{index}","method":"POST","url":"/services/courts/book","body":{{"court":{index}}}}}"#
        )
    });
    let content = calls.collect::<Vec<_>>().join("\n");
    let file = client.upload(&content).await.id();
    let created = client.create_for(&file, "/services/courts/book", &[]);
    created.await.id()
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_leaves_no_call_with_unknown_outcome() {
    let fleet = Fleet::start(0).await;
    let client = fleet.client();
    let id = submit_calls(&client, 200).await;
    let service = StandinClient::new(fleet.service.address());
    let mut first = fleet.start_batch_with("b-1", 60_000, &[]);
    eventually(async || (service.calls().await.unwrap().calls.len() > 10).then_some(())).await;
    first.signal("TERM");
    assert!(first.wait_for_exit().await);
    let _second = fleet.start_batch_with("b-2", 60_000, &[]);
    check_each_item_completed_once(&client, &id, 200).await;
    let calls = service.calls().await.unwrap().calls;
    assert!(calls.iter().all(|call| call.runs == 1), "{calls:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_during_non_idempotent_calls_runs_each_at_most_once() {
    let fleet = Fleet::start(0).await;
    let client = fleet.client();
    let id = submit_calls(&client, 60).await;
    let calls = async || {
        let service = StandinClient::new(fleet.service.address());
        service.calls().await.unwrap().calls
    };
    let mut first = fleet.start_batch("b-1");
    eventually(async || (calls().await.len() > 10).then_some(())).await;
    first.kill();
    let _second = fleet.start_batch("b-2");
    let batch = client.wait_until_completed(&id).await;
    let counts = calls().await;
    assert!(counts.iter().all(|call| call.runs == 1), "{counts:?}");
    let answered = batch["request_counts"]["completed"].as_u64().unwrap();
    let unknown = batch["request_counts"]["failed"].as_u64().unwrap();
    assert_eq!(answered + unknown, 60);
    if unknown > 0 {
        for error in client.results(&id, "errors").await {
            assert_eq!(error["error"]["code"], "outcome_unknown");
        }
    }
    println!("services: answered={answered} unknown={unknown}");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_releases_chunks_with_their_results() {
    let fleet = Fleet::start_with(1, slow_engine()).await;
    let mut first = fleet.start_batch_with("b-1", 60_000, &[]);
    let client = fleet.client();
    let id = client.submit(&lines(150, 8)).await;
    wait_for_starts(&fleet, 30).await;
    first.signal("TERM");
    assert!(first.wait_for_exit().await);
    // With a lease of a minute, another process can continue only if the chunks are
    // released.
    let _second = fleet.start_batch_with("b-2", 60_000, &[]);
    check_each_item_completed_once(&client, &id, 150).await;
    assert_eq!(fleet.start_count().await, 150, "an item ran more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn job_of_region_without_batch_processes_is_taken_over() {
    let fleet = Fleet::start(1).await;
    let client = fleet.client();
    let id = client.submit(&lines(10, 2)).await;
    let _other_region = fleet.start_batch_in("alps", "b-1", LEASE_MS, &[]);
    check_each_item_completed_once(&client, &id, 10).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_no_new_items() {
    let fleet = Fleet::start_with(2, slow_engine()).await;
    let _batch = fleet.start_batch("b-1");
    let client = fleet.client();
    let id = client.submit(&lines(3_000, 8)).await;
    eventually(async || (fleet.start_count_at(0).await > 20).then_some(())).await;
    // Only the view shows the engine as leaving; the engine still accepts items.
    let set_leaving = |view: &mut View| view.upstreams[0].liveness = Liveness::Leaving;
    fleet.control.change(set_leaving);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (leaving_count, live_count) =
        (fleet.start_count_at(0).await, fleet.start_count_at(1).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.start_count_at(0).await, leaving_count);
    assert!(
        fleet.start_count_at(1).await > live_count,
        "the other engine should get new items"
    );
    client.cancel(&id).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_completes_during_platform_outage() {
    let fleet = Fleet::start_with(1, slow_engine()).await;
    let mut batch = fleet.start_batch("b-1");
    let client = fleet.client();
    let id = client.submit(&lines(200, 8)).await;
    wait_for_starts(&fleet, 20).await;
    let outage = Fault::new(FaultKind::Refuse);
    let platform_client = fleet.platform_client();
    platform_client.add_fault(&outage).await.unwrap();
    batch.signal("TERM");
    assert!(batch.wait_for_exit().await);
    platform_client.clear_faults().await.unwrap();
    let _second = fleet.start_batch("b-2");
    check_each_item_completed_once(&client, &id, 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_limit_bounds_work_during_platform_outage() {
    /// Items of one chunk, which is all that the memory limit allows to be held.
    const CHUNK_ITEMS: u32 = 200;
    let fleet = Fleet::start(1).await;
    let flags = ["--memory-limit-bytes", "1000"];
    let _batch = fleet.start_batch_with("b-1", LEASE_MS, &flags);
    let client = fleet.client();
    let id = client.submit(&lines(600, 1)).await;
    wait_for_starts(&fleet, 1).await;
    let platform_client = fleet.platform_client();
    let outage = Fault::new(FaultKind::Refuse);
    platform_client.add_fault(&outage).await.unwrap();
    wait_for_starts(&fleet, CHUNK_ITEMS).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let start_count = fleet.start_count().await;
    assert!(
        start_count <= 2 * CHUNK_ITEMS,
        "{start_count} items started"
    );
    platform_client.clear_faults().await.unwrap();
    check_each_item_completed_once(&client, &id, 600).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn joining_processes_take_over_chunks_that_the_previous_owner_cannot_run() {
    let fleet = Fleet::start_with(1, slow_engine()).await;
    let _first = fleet.start_batch_with("b-1", 60_000, &[]);
    let client = fleet.client();
    let id = client.submit(&lines(500, 8)).await;
    wait_for_starts(&fleet, 20).await;
    // Another process may own the only engine from now on, and the leases of a minute
    // do not lapse during the test.
    let _others =
        ["b-2", "b-3", "b-4", "b-5"].map(|name| fleet.start_batch_with(name, 60_000, &[]));
    check_each_item_completed_once(&client, &id, 500).await;
}
