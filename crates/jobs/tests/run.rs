//! Attempts at the items of a chunk, and the terms of taking it over.

use jobs::{
    AttemptOutcome, ChunkRow, ChunkRun, ChunkState, FailedAttempts, ITEM_ATTEMPTS_MAX, Isolation,
    OpId, takeover_isolation,
};
use model::{ErrorKind, InstanceId};
use serde_json::json;

const LINES: [&str; 2] = [
    r#"{"custom_id":"a","method":"POST","url":"/e","body":{}}"#,
    r#"{"custom_id":"b","method":"POST","url":"/e","body":{}}"#,
];
const LATER_MS: u64 = 60_000;

fn row() -> ChunkRow {
    ChunkRow {
        fence: 1,
        op: OpId::new(1),
        lapses: 0,
        attempts: Vec::new(),
        intents: Vec::new(),
        partial: None,
        state: ChunkState::Held {
            holder: InstanceId::new("i"),
            lease_until_ms: 0,
        },
    }
}

fn run(row: &ChunkRow) -> ChunkRun {
    ChunkRun::new(&LINES, 0, "id", "/e", row, &[])
}

fn fail(run: &mut ChunkRun, row: &ChunkRow, now_ms: u64) -> bool {
    let Some(start) = run.start_next(row, now_ms, |_, _| true) else {
        return false;
    };
    let end = AttemptOutcome::Failed {
        kind: ErrorKind::UpstreamFailed,
        tokens: Vec::new(),
    };
    run.on_attempt_end(start.item, start.attempt, end, now_ms);
    true
}

#[test]
fn attempts_are_bounded_and_counted_across_holders() {
    let mut row = row();
    row.attempts.push(FailedAttempts {
        item: 0,
        failed: ITEM_ATTEMPTS_MAX - 1,
    });
    let mut run = run(&row);
    let mut attempts = 0;
    while fail(&mut run, &row, LATER_MS * (attempts + 1)) {
        attempts += 1;
    }
    assert!(run.is_complete());
    assert_eq!(attempts, 1 + u64::from(ITEM_ATTEMPTS_MAX));
    assert!(run.records().all(|record| record.is_error));
}

#[test]
fn attempt_that_did_not_run_counts_for_nothing() {
    let row = row();
    let mut run = run(&row);
    for turn in 1..=20 {
        let start = run.start_next(&row, LATER_MS * turn, |_, _| true).unwrap();
        let end = AttemptOutcome::NotRun(ErrorKind::ConnectRefused);
        run.on_attempt_end(start.item, start.attempt, end, LATER_MS * turn);
    }
    assert!(run.progress(&row, &[]).attempts.is_empty());
}

#[test]
fn end_of_an_attempt_that_is_not_current_is_dropped() {
    let row = row();
    let mut run = run(&row);
    let old = run.start_next(&row, 0, |_, _| true).unwrap();
    let withdrawn = AttemptOutcome::Preempted {
        tokens: vec!["t".to_owned()],
    };
    run.on_attempt_end(old.item, old.attempt, withdrawn, 0);
    let new = run.start_next(&row, 0, |_, _| true).unwrap();
    assert_eq!((new.item, new.tokens.len()), (old.item, 1));
    let late = AttemptOutcome::Answered {
        status: 200,
        body: json!("late"),
    };
    run.on_attempt_end(old.item, old.attempt, late, 0);
    assert_eq!(run.records().count(), 0);
}

#[test]
fn call_that_may_not_repeat_needs_its_intent_and_ends_unknown_after_a_crash() {
    let mut row = row();
    let mut first = run(&row).with_idempotent(false);
    assert!(first.start_next(&row, 0, |_, _| true).is_none());
    assert_eq!(first.missing_intents(&row, 0, 1), [0]);
    row.intents = vec![0];
    let start = first.start_next(&row, 0, |_, _| true).unwrap();
    assert_eq!(start.item, 0);
    assert!(first.start_next(&row, 0, |_, _| true).is_none());
    let second = run(&row).with_idempotent(false);
    let ended: Vec<_> = second.records().collect();
    assert_eq!(ended.len(), 1);
    assert!(ended[0].line.contains("outcome_unknown"));
}

#[test]
fn takeover_terms_by_lapses() {
    let cases = [
        (0, 200, Isolation::Shared),
        (1, 200, Isolation::NoOtherSuspect),
        (2, 1, Isolation::Exclusive),
        (3, 1, Isolation::Shared),
    ];
    for (lapses, items, expected) in cases {
        let row = ChunkRow { lapses, ..row() };
        assert_eq!(
            takeover_isolation(&row, items),
            expected,
            "{lapses} {items}"
        );
    }
}
