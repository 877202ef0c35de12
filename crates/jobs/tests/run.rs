//! Attempts at the items of a chunk, and the isolation required to take it
//! over.

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
/// Longer than any backoff, so that every item is ready again.
const PAST_BACKOFF_MS: u64 = 60_000;

fn chunk_row() -> ChunkRow {
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

fn chunk_run(row: &ChunkRow) -> ChunkRun {
    ChunkRun::new(&LINES, 0, "id", "/e", row, &[])
}

/// Starts the next attempt and fails it. Returns `false` if no item is ready.
fn fail_next(run: &mut ChunkRun, row: &ChunkRow, now_ms: u64) -> bool {
    let Some(start) = run.start_next(row, now_ms, |_, _| true) else {
        return false;
    };
    let outcome = AttemptOutcome::Failed {
        kind: ErrorKind::UpstreamFailed,
        tokens: Vec::new(),
    };
    run.on_attempt_end(start.item, start.attempt, outcome, now_ms);
    true
}

#[test]
fn chunk_run_bounds_attempts_across_holders() {
    let mut row = chunk_row();
    row.attempts.push(FailedAttempts {
        item: 0,
        failed: ITEM_ATTEMPTS_MAX - 1,
    });
    let mut run = chunk_run(&row);
    let mut attempts = 0;
    while fail_next(&mut run, &row, PAST_BACKOFF_MS * (attempts + 1)) {
        attempts += 1;
    }
    assert!(run.is_complete());
    assert_eq!(attempts, 1 + u64::from(ITEM_ATTEMPTS_MAX));
    assert!(run.records().all(|record| record.is_error));
}

#[test]
fn chunk_run_does_not_count_attempts_that_did_not_run() {
    let row = chunk_row();
    let mut run = chunk_run(&row);
    for turn in 1..=20 {
        let start = run
            .start_next(&row, PAST_BACKOFF_MS * turn, |_, _| true)
            .unwrap();
        let outcome = AttemptOutcome::NotRun(ErrorKind::ConnectRefused);
        run.on_attempt_end(start.item, start.attempt, outcome, PAST_BACKOFF_MS * turn);
    }
    assert!(run.progress(&row, &[]).attempts.is_empty());
}

#[test]
fn chunk_run_ignores_outcome_of_superseded_attempt() {
    let row = chunk_row();
    let mut run = chunk_run(&row);
    let superseded = run.start_next(&row, 0, |_, _| true).unwrap();
    let preempted = AttemptOutcome::Preempted {
        tokens: vec!["t".to_owned()],
    };
    run.on_attempt_end(superseded.item, superseded.attempt, preempted, 0);
    let current = run.start_next(&row, 0, |_, _| true).unwrap();
    assert_eq!((current.item, current.tokens.len()), (superseded.item, 1));
    let late = AttemptOutcome::Answered {
        status: 200,
        body: json!("late"),
    };
    run.on_attempt_end(superseded.item, superseded.attempt, late, 0);
    assert_eq!(run.records().count(), 0);
}

#[test]
fn non_idempotent_item_needs_intent_and_ends_unknown_after_crash() {
    let mut row = chunk_row();
    let mut first_run = chunk_run(&row).with_idempotent(false);
    assert!(first_run.start_next(&row, 0, |_, _| true).is_none());
    assert_eq!(first_run.missing_intents(&row, 0, 1), [0]);
    row.intents = vec![0];
    let start = first_run.start_next(&row, 0, |_, _| true).unwrap();
    assert_eq!(start.item, 0);
    assert!(first_run.start_next(&row, 0, |_, _| true).is_none());
    let second_run = chunk_run(&row).with_idempotent(false);
    let records: Vec<_> = second_run.records().collect();
    assert_eq!(records.len(), 1);
    assert!(records[0].line.contains("outcome_unknown"));
}

#[test]
fn takeover_isolation_by_lapses() {
    let cases = [
        (0, 200, Isolation::Shared),
        (1, 200, Isolation::NoOtherSuspect),
        (2, 1, Isolation::Exclusive),
        (3, 1, Isolation::Shared),
    ];
    for (lapses, items, expected) in cases {
        let row = ChunkRow {
            lapses,
            ..chunk_row()
        };
        assert_eq!(
            takeover_isolation(&row, items),
            expected,
            "{lapses} {items}"
        );
    }
}
