//! Runs of a job's items on its owner, with every outcome of a commit.

mod support;

use std::sync::Arc;

use ledger::{
    Commit, CommitOutcome, CommitStep, ItemOutcome, JobItem, JobPhase, JobRecord, OwnedJob,
    OwnerId, PartialOutput, RunOutcome, StoredItems,
};
use model::{InstanceId, JobId, SoftwareVersion, UpstreamId};

const ERRORS_MAX: u32 = 3;
const TOKENS_PER_ITEM: u32 = 100;

fn owner(name: &str) -> OwnerId {
    OwnerId {
        instance: InstanceId::new(name),
        started_unix_ms: 1,
    }
}

fn record(items: u32) -> JobRecord {
    JobRecord {
        unfinished_tokens: u64::from(items * TOKENS_PER_ITEM),
        item_count: items,
        due_at_ms: 18_000,
        give_up_at_ms: 60_000,
        ..support::record(Some(owner("me")))
    }
}

fn items(count: u32) -> Vec<JobItem> {
    let item = |index| JobItem {
        id: format!("i{index}").into(),
        path: "/b/x".to_owned(),
        headers: Vec::new(),
        body: Arc::from(*b"body"),
        output_tokens: 10,
    };
    (0..count).map(item).collect()
}

fn stored_items(count: u32, partials: Vec<PartialOutput>) -> StoredItems {
    StoredItems {
        items: items(count),
        item_tokens: vec![TOKENS_PER_ITEM; count as usize],
        partials,
    }
}

fn job(count: u32) -> OwnedJob {
    OwnedJob::new(
        JobId::new("j"),
        owner("me"),
        record(count),
        10,
        stored_items(count, Vec::new()),
    )
}

/// Runs an item to `outcome`, with one more event as output.
fn run_item(job: &mut OwnedJob, index: u32, outcome: RunOutcome) {
    let mut partial = job.start_item(index).unwrap().partial;
    let event = partial.last_event.map_or(1, |event| event + 1);
    partial.push(event, &format!("t{index}"));
    job.finish_run(partial, outcome, ERRORS_MAX, 0);
}

fn next_commit(job: &mut OwnedJob) -> Commit {
    job.next_commit().unwrap().clone()
}

#[test]
fn next_commit_in_order_of_ends_until_complete() {
    let mut job = job(3);
    run_item(&mut job, 2, RunOutcome::Done);
    run_item(&mut job, 0, RunOutcome::Done);
    let commit = next_commit(&mut job);
    assert_eq!(commit.first_position, 0);
    assert_eq!(commit.record.committed, [2, 0]);
    let committed = CommitOutcome::Committed { version: 11 };
    assert_eq!(job.finish_commit(committed), CommitStep::Stored);
    run_item(&mut job, 1, RunOutcome::Impossible);
    let commit = next_commit(&mut job);
    assert_eq!(commit.expected_version, 11);
    assert_eq!(commit.first_position, 2);
    assert_eq!(commit.record.phase, JobPhase::Complete);
    assert_eq!(commit.results[0].outcome, ItemOutcome::Failed);
    let committed = CommitOutcome::Committed { version: 12 };
    assert_eq!(job.finish_commit(committed), CommitStep::Stop);
}

#[test]
fn finish_commit_not_confirmed_retries_same_commit() {
    let mut job = job(2);
    run_item(&mut job, 0, RunOutcome::Done);
    let first = next_commit(&mut job);
    assert_eq!(
        job.finish_commit(CommitOutcome::NotConfirmed),
        CommitStep::Retry
    );
    // An item that ends meanwhile waits for the next commit. The first commit may
    // have taken effect, so its positions must keep their results.
    run_item(&mut job, 1, RunOutcome::Done);
    assert_eq!(next_commit(&mut job), first);
}

/// The first write took effect although its outcome was unknown, so the second
/// attempt conflicts with it. The results must count as stored, or they would get
/// further positions.
#[test]
fn finish_commit_late_success_appears_as_conflict() {
    let mut job = job(2);
    run_item(&mut job, 0, RunOutcome::Done);
    let first = next_commit(&mut job);
    job.finish_commit(CommitOutcome::NotConfirmed);
    let conflict = CommitOutcome::Conflict(Some((first.record.clone(), 11)));
    assert_eq!(job.finish_commit(conflict), CommitStep::Stored);
    run_item(&mut job, 1, RunOutcome::Done);
    let second = next_commit(&mut job);
    assert_eq!(second.first_position, 1);
    assert_eq!(second.record.committed, [0, 1]);
}

#[test]
fn finish_commit_after_takeover_stops() {
    let mut job = job(2);
    run_item(&mut job, 0, RunOutcome::Done);
    next_commit(&mut job);
    let mut other_owner_record = record(2);
    other_owner_record.owner = Some(owner("other"));
    let conflict = CommitOutcome::Conflict(Some((other_owner_record, 11)));
    assert_eq!(job.finish_commit(conflict), CommitStep::Stop);
    assert!(!job.is_active());
    assert_eq!(job.startable_items(0).next(), None);
    assert!(job.next_commit().is_none());
}

#[test]
fn finish_commit_of_removed_job_stops() {
    let mut job = job(1);
    run_item(&mut job, 0, RunOutcome::Done);
    next_commit(&mut job);
    assert_eq!(
        job.finish_commit(CommitOutcome::Conflict(None)),
        CommitStep::Stop
    );
}

#[test]
fn observe_record_of_ended_job_starts_no_items() {
    let mut job = job(2);
    let mut ended_record = record(2);
    ended_record.phase = JobPhase::Ended;
    job.observe_record(&ended_record, 11);
    assert_eq!(job.startable_items(0).next(), None);
    assert_eq!(job.startable_items(0).count(), 0);
}

#[test]
fn observe_record_ignores_older_version() {
    let mut job = job(1);
    let mut ended_record = record(1);
    ended_record.phase = JobPhase::Ended;
    job.observe_record(&ended_record, 9);
    assert!(job.is_active());
}

/// The feed of the table may report the record of a commit before the response to
/// the write arrives. The commit must still be recorded once.
#[test]
fn observe_record_of_own_commit_before_its_response() {
    let mut job = job(2);
    run_item(&mut job, 0, RunOutcome::Done);
    let commit = next_commit(&mut job);
    job.observe_record(&commit.record, 11);
    let committed = CommitOutcome::Committed { version: 11 };
    assert_eq!(job.finish_commit(committed), CommitStep::Stored);
    assert_eq!(job.record().committed, [0]);
}

/// The change feed may deliver the end of a job before the response to the commit that was
/// stored before it. The job must stay ended.
#[test]
fn finish_commit_stored_before_the_known_end_stops() {
    let mut job = job(2);
    run_item(&mut job, 0, RunOutcome::Done);
    let commit = next_commit(&mut job);
    let ended_record = JobRecord {
        phase: JobPhase::Ended,
        ..commit.record
    };
    job.observe_record(&ended_record, 12);
    let committed = CommitOutcome::Committed { version: 11 };
    assert_eq!(job.finish_commit(committed), CommitStep::Stop);
    assert_eq!((job.version(), job.is_active()), (12, false));
    assert_eq!(job.startable_items(0).next(), None);
}

/// Like a late success, a late conflict must not bring an older record back.
#[test]
fn finish_commit_with_conflict_older_than_the_known_end_stops() {
    let mut job = job(2);
    run_item(&mut job, 0, RunOutcome::Done);
    next_commit(&mut job);
    let ended_record = JobRecord {
        phase: JobPhase::Ended,
        ..record(2)
    };
    job.observe_record(&ended_record, 12);
    let conflict = CommitOutcome::Conflict(Some((record(2), 11)));
    assert_eq!(job.finish_commit(conflict), CommitStep::Stop);
    assert_eq!((job.version(), job.is_active()), (12, false));
}

#[test]
fn finish_run_fails_item_after_error_limit() {
    let mut job = job(1);
    for run_number in 1..ERRORS_MAX {
        let item_run = job.start_item(0).unwrap();
        job.finish_run(item_run.partial, RunOutcome::Error, ERRORS_MAX, 0);
        assert!(
            job.next_commit().is_none(),
            "item failed after {run_number} runs"
        );
        assert_eq!(
            job.startable_items(0).next(),
            None,
            "no backoff before the next run"
        );
        assert_eq!(job.startable_items(60_000).next(), Some(0));
    }
    let item_run = job.start_item(0).unwrap();
    job.finish_run(item_run.partial, RunOutcome::Error, ERRORS_MAX, 0);
    assert_eq!(
        next_commit(&mut job).results[0].outcome,
        ItemOutcome::Failed
    );
}

#[test]
fn finish_run_counts_errors_of_earlier_owners() {
    let mut earlier_record = record(1);
    earlier_record.record_error(0);
    earlier_record.record_error(0);
    let mut job = OwnedJob::new(
        JobId::new("j"),
        owner("me"),
        earlier_record,
        10,
        stored_items(1, Vec::new()),
    );
    let item_run = job.start_item(0).unwrap();
    job.finish_run(item_run.partial, RunOutcome::Error, ERRORS_MAX, 0);
    assert_eq!(
        next_commit(&mut job).results[0].outcome,
        ItemOutcome::Failed
    );
}

#[test]
fn finish_run_preempted_resumes_from_partial_output() {
    let mut job = job(1);
    run_item(&mut job, 0, RunOutcome::Preempted);
    let item_run = job.start_item(0).unwrap();
    assert_eq!(item_run.partial.last_event, Some(1));
    assert_eq!(item_run.partial.output, "t0");
}

#[test]
fn finish_run_of_given_up_item_is_ignored() {
    let mut job = job(1);
    let item_run = job.start_item(0).unwrap();
    job.give_up_unfinished();
    job.finish_run(item_run.partial, RunOutcome::Done, ERRORS_MAX, 0);
    let commit = next_commit(&mut job);
    assert_eq!(commit.results.len(), 1);
    assert_eq!(commit.results[0].outcome, ItemOutcome::Failed);
}

#[test]
fn new_after_takeover_runs_only_uncommitted_items() {
    let mut earlier_record = record(3);
    earlier_record.committed = vec![1];
    let mut partial = PartialOutput::new(2);
    partial.push(1, "a");
    partial.push(2, "b");
    let mut job = OwnedJob::new(
        JobId::new("j"),
        owner("me"),
        earlier_record,
        20,
        stored_items(3, vec![partial]),
    );
    assert_eq!(job.startable_items(0).count(), 2);
    let item_run = job.start_item(2).unwrap();
    assert_eq!(item_run.partial.output, "a\nb");
    assert_eq!(item_run.partial.last_event, Some(2));
    assert!(job.start_item(1).is_none());
}

#[test]
fn partials_only_of_unfinished_items_with_output() {
    let mut job = job(3);
    run_item(&mut job, 0, RunOutcome::Done);
    run_item(&mut job, 1, RunOutcome::Interrupted);
    let item_indices: Vec<_> = job
        .partials()
        .iter()
        .map(|partial| partial.item_index)
        .collect();
    assert_eq!(item_indices, [1]);
}

/// An owner whose calls the store rejects learns from a peer that another instance
/// took the job over. It must stop running the items, or they would run twice.
#[test]
fn fence_by_newer_owner_deactivates_job() {
    let mut job = job(2);
    assert!(!job.fence(10), "the version that the owner knows");
    assert!(job.is_active());
    assert!(job.fence(11));
    assert!(!job.is_active());
    assert!(!job.fence(12), "already fenced");
}

#[test]
fn next_commit_frees_tokens_of_ended_items() {
    let mut job = job(3);
    run_item(&mut job, 0, RunOutcome::Done);
    run_item(&mut job, 2, RunOutcome::Impossible);
    let record = next_commit(&mut job).record;
    assert_eq!(record.unfinished_tokens, u64::from(TOKENS_PER_ITEM));
}

fn partial_at(version: &str, last_event: u64) -> PartialOutput {
    let mut partial = PartialOutput::new(0).for_version(&SoftwareVersion::new(version));
    partial.push(last_event, "text");
    partial
}

#[test]
fn for_version_of_same_version_goes_on() {
    let partial = partial_at("v1", 4);
    assert_eq!(partial.for_version(&SoftwareVersion::new("v1")), partial);
}

#[test]
fn for_version_of_another_version_begins_anew() {
    let begun = partial_at("v1", 4).for_version(&SoftwareVersion::new("v2"));
    assert_eq!(begun.last_event, None);
    assert_eq!(begun.output, "");
    assert_eq!(begun.version, Some(SoftwareVersion::new("v2")));
}

/// A run at another version ends before its first event, so the output so far is kept.
#[test]
fn finish_run_without_events_keeps_output() {
    let mut job = job(1);
    job.start_item(0).unwrap();
    job.finish_run(partial_at("v1", 4), RunOutcome::Preempted, 2, 0);
    job.start_item(0).unwrap();
    let begun = PartialOutput::new(0).for_version(&SoftwareVersion::new("v2"));
    job.finish_run(begun, RunOutcome::Interrupted, 2, 0);
    assert_eq!(job.output_version(0), Some(&SoftwareVersion::new("v1")));
    assert_eq!(job.partials(), [partial_at("v1", 4)]);
}

/// Two upstreams, or three statements of one, confirm that nothing follows the same event.
#[test]
fn record_stated_end_by_upstreams_and_event() {
    let cases = [
        (vec![(4, "u1")], false),
        (vec![(4, "u1"), (4, "u1")], false),
        (vec![(4, "u1"), (4, "u2")], true),
        (vec![(4, "u1"), (4, "u1"), (4, "u1")], true),
        (vec![(4, "u1"), (5, "u2")], false),
        (vec![(4, "u1"), (5, "u2"), (5, "u1")], true),
    ];
    for (statements, is_confirmed) in cases {
        let mut job = job(1);
        let mut last = false;
        for (event, upstream) in &statements {
            let partial = partial_at("v1", *event);
            last = job.record_stated_end(&partial, &UpstreamId::new(upstream));
        }
        assert_eq!(last, is_confirmed, "{statements:?}");
    }
}

#[test]
fn items_without_a_route_are_given_up_only_by_a_configuration_read_after_loading() {
    let mut job = job(2);
    let has_route = |item: &JobItem| &*item.id == "i0";
    assert!(!job.give_up_without_route(|_| true));
    assert!(job.give_up_without_route(has_route));
    // The read began before the job was loaded.
    job.confirm_config();
    assert!(job.give_up_without_route(has_route));
    // The first read fails.
    job.begin_config_read();
    assert!(job.give_up_without_route(has_route));
    job.begin_config_read();
    job.confirm_config();
    assert!(job.next_commit().is_none());
    assert!(!job.give_up_without_route(has_route));
    let results = &job.next_commit().unwrap().results;
    assert_eq!(results.len(), 1);
    assert_eq!(&*results[0].item, "i1");
    assert_eq!(results[0].outcome, ItemOutcome::Failed);
}
