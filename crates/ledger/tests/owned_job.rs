//! A job as its owner works it off, with every outcome of a write.

use std::sync::Arc;

use ledger::{
    Commit, CommitOutcome, CommitStep, ItemOutcome, JobItem, JobPhase, JobRecord, OwnedJob,
    OwnerId, PartialOutput, RunOutcome,
};
use model::{InstanceId, JobId};

const ERRORS_MAX: u32 = 3;

fn owner(name: &str) -> OwnerId {
    OwnerId {
        instance: InstanceId::new(name),
        started_unix_ms: 1,
    }
}

fn record(items: u32) -> JobRecord {
    JobRecord {
        owner: Some(owner("me")),
        phase: JobPhase::Open,
        host: "h".into(),
        path: "/b/1".into(),
        item_count: items,
        accepted_unix_ms: 0,
        due_unix_ms: 18_000,
        give_up_unix_ms: 60_000,
        committed: Vec::new(),
        failures: Vec::new(),
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

fn job(count: u32) -> OwnedJob {
    OwnedJob::new(
        JobId::new("j"),
        owner("me"),
        record(count),
        10,
        items(count),
        Vec::new(),
    )
}

/// Runs an item to an end with one event as output.
fn run(job: &mut OwnedJob, index: u32, end: RunOutcome) {
    let mut partial = job.start_item(index).unwrap().partial;
    let next = partial.last_event.map_or(1, |event| event + 1);
    partial.push(next, &format!("t{index}"));
    job.finish_run(partial, end, ERRORS_MAX, 0);
}

fn due(job: &mut OwnedJob) -> Commit {
    job.next_commit().unwrap().clone()
}

#[test]
fn commit_in_order_of_ends_until_complete() {
    let mut job = job(3);
    run(&mut job, 2, RunOutcome::Done);
    run(&mut job, 0, RunOutcome::Done);
    let commit = due(&mut job);
    assert_eq!(commit.first_position, 0);
    assert_eq!(commit.record.committed, [2, 0]);
    let committed = CommitOutcome::Committed { version: 11 };
    assert_eq!(job.finish_commit(committed), CommitStep::Stored);
    run(&mut job, 1, RunOutcome::Impossible);
    let commit = due(&mut job);
    assert_eq!(commit.expected_version, 11);
    assert_eq!(commit.first_position, 2);
    assert_eq!(commit.record.phase, JobPhase::Complete);
    assert_eq!(commit.results[0].outcome, ItemOutcome::Failed);
    let committed = CommitOutcome::Committed { version: 12 };
    assert_eq!(job.finish_commit(committed), CommitStep::Stop);
}

#[test]
fn commit_unsettled_is_repeated_unchanged() {
    let mut job = job(2);
    run(&mut job, 0, RunOutcome::Done);
    let first = due(&mut job);
    assert_eq!(
        job.finish_commit(CommitOutcome::NotConfirmed),
        CommitStep::Retry
    );
    // What ends meanwhile waits for the next commit: the first may have taken
    // effect, and its positions must keep their results.
    run(&mut job, 1, RunOutcome::Done);
    assert_eq!(due(&mut job), first);
}

#[test]
fn commit_late_success_shows_as_conflict_with_itself() {
    let mut job = job(2);
    run(&mut job, 0, RunOutcome::Done);
    let first = due(&mut job);
    job.finish_commit(CommitOutcome::NotConfirmed);
    let conflict = CommitOutcome::Conflict(Some((first.record.clone(), 11)));
    assert_eq!(job.finish_commit(conflict), CommitStep::Stored);
    run(&mut job, 1, RunOutcome::Done);
    let second = due(&mut job);
    assert_eq!(second.first_position, 1);
    assert_eq!(second.record.committed, [0, 1]);
}

#[test]
fn commit_after_takeover_stops() {
    let mut job = job(2);
    run(&mut job, 0, RunOutcome::Done);
    due(&mut job);
    let mut taken = record(2);
    taken.owner = Some(owner("other"));
    let conflict = CommitOutcome::Conflict(Some((taken, 11)));
    assert_eq!(job.finish_commit(conflict), CommitStep::Stop);
    assert!(!job.is_active());
    assert_eq!(job.startable_items(0).next(), None);
    assert!(job.next_commit().is_none());
}

#[test]
fn commit_of_a_removed_job_stops() {
    let mut job = job(1);
    run(&mut job, 0, RunOutcome::Done);
    due(&mut job);
    assert_eq!(
        job.finish_commit(CommitOutcome::Conflict(None)),
        CommitStep::Stop
    );
}

#[test]
fn observe_end_starts_nothing_more() {
    let mut job = job(2);
    let mut ended = record(2);
    ended.phase = JobPhase::Ended;
    job.observe_record(&ended, 11);
    assert_eq!(job.startable_items(0).next(), None);
    assert_eq!(job.startable_items(0).count(), 0);
}

#[test]
fn observe_older_news_changes_nothing() {
    let mut job = job(1);
    let mut ended = record(1);
    ended.phase = JobPhase::Ended;
    job.observe_record(&ended, 9);
    assert!(job.is_active());
}

#[test]
fn observe_own_commit_before_its_answer_is_harmless() {
    let mut job = job(2);
    run(&mut job, 0, RunOutcome::Done);
    let commit = due(&mut job);
    job.observe_record(&commit.record, 11);
    let committed = CommitOutcome::Committed { version: 11 };
    assert_eq!(job.finish_commit(committed), CommitStep::Stored);
    assert_eq!(job.record().committed, [0]);
}

#[test]
fn run_ended_errors_end_an_item_after_the_limit() {
    let mut job = job(1);
    for run_number in 1..ERRORS_MAX {
        let start = job.start_item(0).unwrap();
        job.finish_run(start.partial, RunOutcome::Error, ERRORS_MAX, 0);
        assert!(job.next_commit().is_none(), "dead after {run_number} runs");
        assert_eq!(
            job.startable_items(0).next(),
            None,
            "no pause before the next run"
        );
        assert_eq!(job.startable_items(60_000).next(), Some(0));
    }
    let start = job.start_item(0).unwrap();
    job.finish_run(start.partial, RunOutcome::Error, ERRORS_MAX, 0);
    assert_eq!(due(&mut job).results[0].outcome, ItemOutcome::Failed);
}

#[test]
fn run_ended_errors_of_earlier_owners_count() {
    let mut before = record(1);
    before.record_error(0);
    before.record_error(0);
    let mut job = OwnedJob::new(
        JobId::new("j"),
        owner("me"),
        before,
        10,
        items(1),
        Vec::new(),
    );
    let start = job.start_item(0).unwrap();
    job.finish_run(start.partial, RunOutcome::Error, ERRORS_MAX, 0);
    assert_eq!(due(&mut job).results[0].outcome, ItemOutcome::Failed);
}

#[test]
fn run_ended_yielded_goes_on_where_it_was() {
    let mut job = job(1);
    run(&mut job, 0, RunOutcome::Preempted);
    let again = job.start_item(0).unwrap();
    assert_eq!(again.partial.last_event, Some(1));
    assert_eq!(again.partial.output, "t0");
}

#[test]
fn run_ended_of_a_given_up_item_is_ignored() {
    let mut job = job(1);
    let start = job.start_item(0).unwrap();
    job.give_up_unfinished();
    job.finish_run(start.partial, RunOutcome::Done, ERRORS_MAX, 0);
    let commit = due(&mut job);
    assert_eq!(commit.results.len(), 1);
    assert_eq!(commit.results[0].outcome, ItemOutcome::Failed);
}

#[test]
fn new_after_takeover_runs_only_what_is_not_listed() {
    let mut before = record(3);
    before.committed = vec![1];
    let mut partial = PartialOutput::new(2);
    partial.push(1, "a");
    partial.push(2, "b");
    let mut job = OwnedJob::new(
        JobId::new("j"),
        owner("me"),
        before,
        20,
        items(3),
        vec![partial],
    );
    assert_eq!(job.startable_items(0).count(), 2);
    let start = job.start_item(2).unwrap();
    assert_eq!(start.partial.output, "a\nb");
    assert_eq!(start.partial.last_event, Some(2));
    assert!(job.start_item(1).is_none());
}

#[test]
fn partials_are_saved_for_items_that_began() {
    let mut job = job(3);
    run(&mut job, 0, RunOutcome::Done);
    run(&mut job, 1, RunOutcome::Interrupted);
    let saved: Vec<_> = job
        .partials()
        .iter()
        .map(|partial| partial.item_index)
        .collect();
    assert_eq!(saved, [1]);
}

/// An owner that the store turns away hears from a peer that the job was taken
/// over; what it still runs would be run twice.
#[test]
fn fence_newer_owner_ends_the_work() {
    let mut job = job(2);
    assert!(!job.fence(10), "its own version");
    assert!(job.is_active());
    assert!(job.fence(11));
    assert!(!job.is_active());
    assert!(!job.fence(12), "no news any more");
}
