//! Contents of an owned job's items that are dropped and read again.

mod support;

use std::sync::Arc;

use ledger::{JobItem, JobRecord, OwnedJob, OwnerId, RunOutcome, StoredItems};
use model::{InstanceId, JobId};

const ERRORS_MAX: u32 = 3;
/// Memory that the header of an item takes up, bytes.
const HEADER_BYTES: usize = size_of::<(String, String)>() + 2;

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

/// Returns items that have neither headers nor bodies.
fn bare_items() -> Vec<JobItem> {
    let mut items = items(&["", ""]);
    for item in &mut items {
        item.headers.clear();
    }
    items
}

fn job(bodies: &[&str]) -> OwnedJob {
    job_of(items(bodies))
}

fn job_of(items: Vec<JobItem>) -> OwnedJob {
    let record = JobRecord {
        item_count: u32::try_from(items.len()).unwrap(),
        due_at_ms: 18_000,
        give_up_at_ms: 60_000,
        ..support::record(Some(owner()))
    };
    let stored = StoredItems {
        items,
        ..StoredItems::default()
    };
    OwnedJob::new(JobId::new("j"), owner(), record, 10, stored)
}

#[test]
fn item_without_contents_waits_and_starts_when_they_are_back() {
    let bodies = ["one", "three"];
    let mut job = job(&bodies);
    assert_eq!(job.content_bytes(), 8 + 2 * HEADER_BYTES);
    job.drop_contents();
    assert!(!job.has_contents());
    assert_eq!(job.start_item(0), None);
    let waiting: Vec<_> = job.startable_items(0).collect();
    assert_eq!(waiting, [0, 1]);
    for index in 0..2 {
        let item = job.item_at(index).unwrap();
        assert_eq!((item.headers.len(), item.body.len()), (0, 0));
        assert_eq!((&*item.id, &*item.path), (&*format!("i{index}"), "/b/x"));
    }
    assert!(job.restore_contents(items(&bodies)));
    assert_eq!(job.item_at(0).unwrap().headers[0].0, "a");
    let run = job.start_item(1).unwrap();
    assert_eq!(run.item, items(&bodies)[1]);
    assert_eq!(*run.item.body, *b"three");
    assert_eq!(job.content_bytes(), 8 + 2 * HEADER_BYTES);
}

#[test]
fn running_item_keeps_its_contents_and_ends() {
    let mut job = job(&["one", "two"]);
    let run = job.start_item(0).unwrap();
    job.drop_contents();
    assert_eq!(run.item, items(&["one", "two"])[0]);
    let mut partial = run.partial;
    partial.push(1, "out");
    job.finish_run(partial, RunOutcome::Done, ERRORS_MAX, 0);
    let commit = job.next_commit().unwrap();
    assert_eq!(commit.results[0].output, "out");
}

#[test]
fn contents_of_other_items_are_not_taken() {
    let mut job = job(&["one", "two"]);
    job.drop_contents();
    assert!(!job.restore_contents(items(&["one"])));
    let mut others = items(&["one", "two"]);
    others[1].id = Arc::from("other");
    assert!(!job.restore_contents(others));
    assert_eq!(job.start_item(0), None);
    assert!(job.restore_contents(items(&["one", "two"])));
}

#[test]
fn job_without_contents_never_waits_for_them() {
    let mut job = job_of(bare_items());
    assert_eq!(job.content_bytes(), 0);
    job.drop_contents();
    assert!(job.start_item(0).is_some());
}

/// Guards against headers that stay in memory because the bodies are empty.
#[test]
fn job_of_headers_alone_waits_for_them() {
    let mut job = job(&["", ""]);
    job.drop_contents();
    assert_eq!(job.item_at(1).unwrap().headers, []);
    assert_eq!(job.start_item(1), None);
    assert!(job.restore_contents(items(&["", ""])));
    assert_eq!(job.start_item(1).unwrap().item, items(&["", ""])[1]);
}
