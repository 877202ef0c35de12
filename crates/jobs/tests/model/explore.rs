//! Walks every reachable state, and runs sampled ones to their end without
//! further failures.

use std::collections::HashSet;

use jobs::{JobState, Reply};

use super::{
    Budget, LEASE_MS, Violation, World,
    actor::{Call, EntryState, HolderState, answer, check_belief},
    violated,
};

/// Calls after which a run without failures must have ended.
const PROGRESS_STEPS_MAX: usize = 400;

/// States beyond which the model is too large to be walked in a test.
const STATES_MAX: usize = 400_000;

/// What an exploration saw.
#[derive(Debug, Default)]
pub struct Report {
    pub states: usize,
    pub progress_runs: usize,
    pub completed_states: usize,
    pub cancelled_states: usize,
}

/// Visits every state; every `progress_every`th is run to its end.
pub fn explore(start: World, progress_every: usize) -> Result<Report, Violation> {
    let mut report = Report::default();
    let mut seen = HashSet::new();
    let mut stack = vec![start];
    while let Some(world) = stack.pop() {
        if !seen.insert(world.fingerprint()) {
            continue;
        }
        assert!(seen.len() < STATES_MAX, "more states than expected");
        report.states += 1;
        world.check()?;
        for holder in &world.holders {
            check_belief(&world, holder)?;
        }
        match world.job_state() {
            Some(JobState::Completed { .. }) => report.completed_states += 1,
            Some(JobState::Cancelled { .. }) => report.cancelled_states += 1,
            _ => {}
        }
        if report.states.is_multiple_of(progress_every) {
            report.progress_runs += 1;
            run_to_end(world.clone())?;
        }
        stack.extend(successors(&world)?);
    }
    Ok(report)
}

/// Which actor of a world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Who {
    Entry(usize),
    Holder(usize),
    Canceller,
}

fn successors(world: &World) -> Result<Vec<World>, Violation> {
    let mut next = Vec::new();
    let entries = (0..world.entries.len()).map(Who::Entry);
    let holders = (0..world.holders.len()).map(Who::Holder);
    for who in entries.chain(holders).chain([Who::Canceller]) {
        decisions(world, who, &mut next);
        calls(world, who, &mut next)?;
        crash(world, who, &mut next);
    }
    late_writes(world, &mut next)?;
    if world.budget.lapses > 0 {
        let mut lapsed = world.clone();
        lapsed.budget.lapses -= 1;
        lapsed.now_ms += LEASE_MS;
        next.push(lapsed);
    }
    Ok(next)
}

fn decisions(world: &World, who: Who, next: &mut Vec<World>) {
    match who {
        Who::Entry(index) => {
            if matches!(world.entries[index].state, EntryState::Received(_)) {
                let mut begun = world.clone();
                begun.entries[index].begin(world.items, world.planted);
                next.push(begun);
            }
        }
        Who::Holder(index) => holder_decisions(world, index, next),
        Who::Canceller => {
            let mut cancelling = world.clone();
            if world.budget.cancels > 0 && cancelling.canceller.cancel(world) {
                cancelling.budget.cancels -= 1;
                next.push(cancelling);
            }
        }
    }
}

fn holder_decisions(world: &World, index: usize, next: &mut Vec<World>) {
    let mut push = |change: &dyn Fn(&mut World) -> bool| {
        let mut changed = world.clone();
        if change(&mut changed) {
            next.push(changed);
        }
    };
    push(&|changed| changed.holders[index].look(world));
    push(&|changed| changed.holders[index].decide(world));
    push(&|changed| changed.holders[index].commit(world));
    if world.budget.renewals > 0 {
        push(&|changed| {
            changed.budget.renewals -= 1;
            changed.holders[index].renew(world)
        });
    }
    if world.budget.hand_backs > 0 {
        push(&|changed| {
            changed.budget.hand_backs -= 1;
            changed.holders[index].hand_back()
        });
    }
}

/// Every outcome of the call that an actor makes next.
fn calls(world: &World, who: Who, next: &mut Vec<World>) -> Result<(), Violation> {
    let Some(call) = call_of(world, who) else {
        return Ok(());
    };
    let mut answered = world.clone();
    let reply = answer(&mut answered.table, call.as_ask())?;
    next.push(replied(answered.clone(), who, &reply));
    let Call::Transact(transaction) = &call else {
        return Ok(());
    };
    let budget = world.budget;
    if budget.lost_answers > 0 {
        answered.budget.lost_answers -= 1;
        next.push(replied(answered, who, &Reply::Unknown));
    }
    if budget.lost_writes > 0 {
        let mut lost = world.clone();
        lost.budget.lost_writes -= 1;
        next.push(replied(lost, who, &Reply::Unknown));
    }
    if budget.late_writes > 0 {
        let mut late = world.clone();
        late.budget.late_writes -= 1;
        late.table.late.push(transaction.clone());
        next.push(replied(late, who, &Reply::Unknown));
    }
    if budget.refusals > 0 {
        let mut refused = world.clone();
        refused.budget.refusals -= 1;
        next.push(replied(refused, who, &Reply::NotApplied));
    }
    Ok(())
}

fn crash(world: &World, who: Who, next: &mut Vec<World>) {
    if world.budget.crashes == 0 {
        return;
    }
    let mut crashed = world.clone();
    crashed.budget.crashes -= 1;
    match who {
        Who::Entry(index) if !crashed.entries[index].is_over() => {
            crashed.entries[index].state = EntryState::Crashed;
        }
        Who::Holder(index) if crashed.holders[index].state != HolderState::Idle => {
            crashed.holders[index].state = HolderState::Idle;
        }
        Who::Canceller if crashed.canceller.state != HolderState::Idle => {
            crashed.canceller.state = HolderState::Idle;
        }
        _ => return,
    }
    next.push(crashed);
}

fn late_writes(world: &World, next: &mut Vec<World>) -> Result<(), Violation> {
    for index in 0..world.table.late.len() {
        let mut arrived = world.clone();
        let transaction = arrived.table.late.remove(index);
        arrived.table.transact(&transaction)?;
        next.push(arrived);
    }
    Ok(())
}

fn call_of(world: &World, who: Who) -> Option<Call> {
    match who {
        Who::Entry(index) => world.entries[index].next_request(),
        Who::Holder(index) => world.holders[index].next_request(),
        Who::Canceller => world.canceller.next_request(),
    }
}

fn replied(mut world: World, who: Who, reply: &Reply) -> World {
    match who {
        Who::Entry(index) => world.entries[index].on_reply(reply),
        Who::Holder(index) => world.holders[index].on_reply(reply),
        Who::Canceller => world.canceller.on_reply(reply),
    }
    world
}

/// Runs without failures: every actor in turn, and time when all stand still.
/// The job must end, and completed with every item unless it was cancelled.
fn run_to_end(mut world: World) -> Result<(), Violation> {
    world.budget = Budget::NONE;
    for _ in 0..PROGRESS_STEPS_MAX {
        let before = world.clone();
        step_all(&mut world)?;
        world.check()?;
        if is_over(&world) {
            return Ok(());
        }
        if world == before || !is_writing(&world) {
            world.now_ms += LEASE_MS;
        }
    }
    violated("the job does not end although failures stopped")
}

fn is_over(world: &World) -> bool {
    let entries_over = world.entries.iter().all(super::actor::Entry::is_over);
    match world.job_state() {
        Some(JobState::Open) => entries_over && world.holders.is_empty(),
        Some(_) => entries_over,
        // Nobody was told that it was accepted, and nobody tries any more.
        None => entries_over && world.table.late.is_empty(),
    }
}

fn is_writing(world: &World) -> bool {
    world
        .holders
        .iter()
        .any(|holder| holder.next_request().is_some())
}

fn step_all(world: &mut World) -> Result<(), Violation> {
    if let Some(transaction) = world.table.late.pop() {
        world.table.transact(&transaction)?;
    }
    let entries = (0..world.entries.len()).map(Who::Entry);
    let holders = (0..world.holders.len()).map(Who::Holder);
    let all: Vec<_> = entries.chain(holders).chain([Who::Canceller]).collect();
    for who in all {
        if let Who::Entry(index) = who {
            let (items, planted) = (world.items, world.planted);
            world.entries[index].begin(items, planted);
        }
        if let Who::Holder(index) = who {
            let seen = world.clone();
            let holder = &mut world.holders[index];
            let _ = holder.commit(&seen) || holder.decide(&seen) || holder.look(&seen);
        }
        if let Some(call) = call_of(world, who) {
            let reply = answer(&mut world.table, call.as_ask())?;
            *world = replied(world.clone(), who, &reply);
        }
    }
    Ok(())
}
