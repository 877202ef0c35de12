//! A bounded model check of accepting, claiming, committing and cancelling:
//! every interleaving of the actors within a budget of failures.

mod model;

use model::{
    Budget, Planted, World,
    actor::{Entry, Holder},
    explore::{Report, explore},
    table::Table,
};

/// A world whose job has been accepted already.
fn accepted(holders: &[&str], items: u32, budget: Budget) -> World {
    let mut world = world(&[0], holders, items, budget);
    world.accept_first();
    world
}

fn world(contents: &[u8], holders: &[&str], items: u32, budget: Budget) -> World {
    let entries = contents.iter().zip(100..);
    let processes = holders.iter().zip(200..);
    World {
        table: Table::default(),
        entries: entries
            .map(|(content, process)| Entry::new(*content, process))
            .collect(),
        holders: processes
            .map(|(name, process)| Holder::new(name, process))
            .collect(),
        canceller: Holder::new("entry", 300),
        budget,
        planted: Planted::Nothing,
        now_ms: 0,
        items,
    }
}

#[track_caller]
fn check(name: &str, start: World, progress_every: usize) -> Report {
    match explore(start, progress_every) {
        Ok(report) => {
            println!(
                "model={name} states={} progress_runs={} completed={} cancelled={}",
                report.states,
                report.progress_runs,
                report.completed_states,
                report.cancelled_states
            );
            report
        }
        Err(violation) => panic!("{name}: {}", violation.0),
    }
}

fn claims_budget() -> Budget {
    Budget {
        crashes: 1,
        lost_answers: 1,
        lapses: 1,
        ..Budget::NONE
    }
}

#[test]
fn explore_two_entries_and_a_third_with_other_content() {
    let budget = Budget {
        crashes: 1,
        lost_answers: 1,
        lost_writes: 1,
        late_writes: 1,
        ..Budget::NONE
    };
    let report = check("accept", world(&[0, 0, 1], &[], 2, budget), 7);
    assert!(report.states > 1_000);
}

#[test]
fn explore_two_holders_of_two_chunks() {
    let start = accepted(&["a", "b"], 4, claims_budget());
    let report = check("two_chunks", start, 40);
    assert!(report.completed_states > 0);
}

#[test]
fn explore_late_writes_and_renewals() {
    let budget = Budget {
        late_writes: 1,
        lapses: 1,
        renewals: 1,
        refusals: 1,
        ..Budget::NONE
    };
    let report = check("late_writes", accepted(&["a", "b"], 2, budget), 40);
    assert!(report.completed_states > 0);
}

#[test]
fn explore_three_holders_of_one_chunk() {
    let budget = Budget {
        lapses: 1,
        lost_answers: 1,
        ..Budget::NONE
    };
    let start = accepted(&["a", "b", "c"], 2, budget);
    let report = check("three_holders", start, 40);
    assert!(report.completed_states > 0);
}

#[test]
fn explore_splits() {
    let budget = Budget {
        lapses: 3,
        crashes: 1,
        ..Budget::NONE
    };
    let report = check("splits", accepted(&["a", "b"], 2, budget), 40);
    assert!(report.completed_states > 0);
}

#[test]
fn explore_cancel_against_commits_and_hand_backs() {
    let budget = Budget {
        late_writes: 1,
        hand_backs: 1,
        cancels: 1,
        ..Budget::NONE
    };
    let start = accepted(&["a", "b"], 2, budget);
    let report = check("cancel", start, 40);
    assert!(report.cancelled_states > 0 && report.completed_states > 0);
}

#[test]
fn explore_finds_commit_without_fence() {
    let mut start = accepted(&["a", "b"], 2, claims_budget());
    start.planted = Planted::CommitWithoutFence;
    let violation = explore(start, usize::MAX).unwrap_err();
    println!("planted=commit_without_fence found={:?}", violation.0);
    assert_eq!(violation.0, "a committed chunk was written again");
}

#[test]
fn explore_finds_acknowledgement_before_row() {
    let mut start = world(&[0], &["a"], 2, claims_budget());
    start.planted = Planted::AcknowledgementBeforeRow;
    let violation = explore(start, usize::MAX).unwrap_err();
    println!("planted=acknowledgement_before_row found={:?}", violation.0);
    assert_eq!(violation.0, "a job was acknowledged and has no row");
}
