//! Bodies of an owned job's items that are dropped and read again.

mod support;

use std::sync::Arc;

use ledger::{JobItem, JobRecord, OwnedJob, OwnerId, RunOutcome, StoredItems};
use model::{InstanceId, JobId};

const ERRORS_MAX: u32 = 3;

fn owner() -> OwnerId {
    OwnerId {
        instance: InstanceId::new("me"),
        started_unix_ms: 1,
    }
}

fn items(bodies: &[&str]) -> Vec<JobItem> {
    let item = |(index, body): (usize, &&str)| JobItem {
        id: format!("i{index}").into(),
        path: "/b/x".to_owned(),
        headers: vec![("a".to_owned(), "b".to_owned())],
        body: body.as_bytes().into(),
        output_tokens: 10,
    };
    bodies.iter().enumerate().map(item).collect()
}

fn job(bodies: &[&str]) -> OwnedJob {
    let record = JobRecord {
        item_count: u32::try_from(bodies.len()).unwrap(),
        due_at_ms: 18_000,
        give_up_at_ms: 60_000,
        ..support::record(Some(owner()))
    };
    let stored = StoredItems {
        items: items(bodies),
        ..StoredItems::default()
    };
    OwnedJob::new(JobId::new("j"), owner(), record, 10, stored)
}

#[test]
fn item_without_body_waits_and_starts_when_the_body_is_back() {
    let bodies = ["one", "three"];
    let mut job = job(&bodies);
    assert_eq!(job.body_bytes(), 8);
    job.drop_bodies();
    assert!(!job.has_bodies());
    assert_eq!(job.start_item(0), None);
    let waiting: Vec<_> = job.startable_items(0).collect();
    assert_eq!(waiting, [0, 1]);
    assert_eq!(job.item_at(0).unwrap().headers[0].0, "a");
    assert!(job.restore_bodies(items(&bodies)));
    assert_eq!(*job.start_item(1).unwrap().item.body, *b"three");
    assert_eq!(job.body_bytes(), 8);
}

#[test]
fn running_item_keeps_its_body_and_ends() {
    let mut job = job(&["one", "two"]);
    let run = job.start_item(0).unwrap();
    job.drop_bodies();
    assert_eq!(*run.item.body, *b"one");
    let mut partial = run.partial;
    partial.push(1, "out");
    job.finish_run(partial, RunOutcome::Done, ERRORS_MAX, 0);
    let commit = job.next_commit().unwrap();
    assert_eq!(commit.results[0].output, "out");
}

#[test]
fn bodies_of_other_items_are_not_taken() {
    let mut job = job(&["one", "two"]);
    job.drop_bodies();
    assert!(!job.restore_bodies(items(&["one"])));
    let mut others = items(&["one", "two"]);
    others[1].id = Arc::from("other");
    assert!(!job.restore_bodies(others));
    assert_eq!(job.start_item(0), None);
    assert!(job.restore_bodies(items(&["one", "two"])));
}

#[test]
fn job_with_empty_bodies_never_waits_for_them() {
    let mut job = job(&["", ""]);
    job.drop_bodies();
    assert!(job.start_item(0).is_some());
}
