//! Bounded model check of accepting, claiming, committing and cancelling jobs.
//! It explores every interleaving of the actors within a budget of failures.

mod model;

use model::{
    EventBudget, InjectedFault, World,
    actor::{Entry, Holder},
    explore::{Report, explore},
    table::Table,
};

/// Returns a state in which the job is already accepted.
fn accepted_world(holders: &[&str], items: u32, budget: EventBudget) -> World {
    let mut world = initial_world(&[0], holders, items, budget);
    world.accept_at_first_entry();
    world
}

/// Returns a state with one entry program per request content and one batch
/// program per name.
fn initial_world(contents: &[u8], holders: &[&str], items: u32, budget: EventBudget) -> World {
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
        injected_fault: InjectedFault::None,
        now_ms: 0,
        items,
    }
}

#[track_caller]
fn check_model(name: &str, start: World, progress_every: usize) -> Report {
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

fn claim_budget() -> EventBudget {
    EventBudget {
        crashes: 1,
        lost_replies: 1,
        lapses: 1,
        ..EventBudget::NONE
    }
}

/// Two requests with the same idempotency key and content must create one job,
/// and a third request with other content must not change it.
#[test]
fn explore_two_entries_and_third_with_other_content() {
    let budget = EventBudget {
        crashes: 1,
        lost_replies: 1,
        lost_writes: 1,
        delayed_writes: 1,
        ..EventBudget::NONE
    };
    let report = check_model("accept", initial_world(&[0, 0, 1], &[], 2, budget), 7);
    assert!(report.states > 1_000);
}

/// A crash, a lost reply and a lapsed lease must neither lose nor duplicate a
/// result.
#[test]
fn explore_two_holders_of_two_chunks() {
    let start = accepted_world(&["a", "b"], 4, claim_budget());
    let report = check_model("two_chunks", start, 40);
    assert!(report.completed_states > 0);
}

/// A delayed write of a holder whose lease was taken over must not take effect.
#[test]
fn explore_delayed_writes_and_renewals() {
    let budget = EventBudget {
        delayed_writes: 1,
        lapses: 1,
        renewals: 1,
        refusals: 1,
        ..EventBudget::NONE
    };
    let report = check_model("late_writes", accepted_world(&["a", "b"], 2, budget), 40);
    assert!(report.completed_states > 0);
}

#[test]
fn explore_three_holders_of_one_chunk() {
    let budget = EventBudget {
        lapses: 1,
        lost_replies: 1,
        ..EventBudget::NONE
    };
    let start = accepted_world(&["a", "b", "c"], 2, budget);
    let report = check_model("three_holders", start, 40);
    assert!(report.completed_states > 0);
}

/// Every item of a split chunk must get exactly one result.
#[test]
fn explore_splits() {
    let budget = EventBudget {
        lapses: 3,
        crashes: 1,
        ..EventBudget::NONE
    };
    let report = check_model("splits", accepted_world(&["a", "b"], 2, budget), 40);
    assert!(report.completed_states > 0);
}

/// No chunk may be committed after its job was cancelled.
#[test]
fn explore_cancellation_with_commits_and_releases() {
    let budget = EventBudget {
        delayed_writes: 1,
        releases: 1,
        cancellations: 1,
        ..EventBudget::NONE
    };
    let start = accepted_world(&["a", "b"], 2, budget);
    let report = check_model("cancel", start, 40);
    assert!(report.cancelled_states > 0 && report.completed_states > 0);
}

#[test]
fn explore_finds_commit_without_fence() {
    let mut start = accepted_world(&["a", "b"], 2, claim_budget());
    start.injected_fault = InjectedFault::CommitWithoutFence;
    let violation = explore(start, usize::MAX).unwrap_err();
    println!(
        "injected_fault=commit_without_fence found={:?}",
        violation.0
    );
    assert_eq!(violation.0, "a committed chunk was written again");
}

#[test]
fn explore_finds_acknowledgement_before_row() {
    let mut start = initial_world(&[0], &["a"], 2, claim_budget());
    start.injected_fault = InjectedFault::AcknowledgementBeforeRow;
    let violation = explore(start, usize::MAX).unwrap_err();
    println!(
        "injected_fault=acknowledgement_before_row found={:?}",
        violation.0
    );
    assert_eq!(violation.0, "a job was acknowledged and has no row");
}
