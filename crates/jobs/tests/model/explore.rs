//! Depth-first search over every reachable state. Sampled states are also run
//! to the job's end without further failures, to check progress.

use std::collections::HashSet;

use jobs::{JobState, Reply};

use super::{
    EventBudget, LEASE_MS, Violation, World,
    actor::{EntryState, HolderState, OwnedRequest, check_held_row, execute},
    violation,
};

/// Maximum number of rounds of a run without failures before the job must have
/// ended. Every actor takes a step in each round.
const PROGRESS_ROUNDS_MAX: usize = 400;

/// Number of states beyond which the model is too large to explore in a test.
const STATES_MAX: usize = 400_000;

/// Counts of an exploration.
#[derive(Debug, Default)]
pub struct Report {
    pub states: usize,
    pub progress_runs: usize,
    pub completed_states: usize,
    pub cancelled_states: usize,
}

/// Visits every state and checks its invariants. Every `progress_every`th state
/// is also run to the job's end.
///
/// Returns the first violation that is found.
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
        world.check_invariants()?;
        for holder in &world.holders {
            check_held_row(&world, holder)?;
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

/// Identifies an actor of a [`World`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Actor {
    Entry(usize),
    Holder(usize),
    Canceller,
}

fn successors(world: &World) -> Result<Vec<World>, Violation> {
    let mut next = Vec::new();
    let entries = (0..world.entries.len()).map(Actor::Entry);
    let holders = (0..world.holders.len()).map(Actor::Holder);
    for actor in entries.chain(holders).chain([Actor::Canceller]) {
        push_decisions(world, actor, &mut next);
        push_requests(world, actor, &mut next)?;
        push_crash(world, actor, &mut next);
    }
    push_delayed_writes(world, &mut next)?;
    if world.budget.lapses > 0 {
        let mut lapsed = world.clone();
        lapsed.budget.lapses -= 1;
        lapsed.now_ms += LEASE_MS;
        next.push(lapsed);
    }
    Ok(next)
}

/// Adds the states that follow from a decision of an actor.
fn push_decisions(world: &World, actor: Actor, next: &mut Vec<World>) {
    match actor {
        Actor::Entry(index) => {
            if matches!(world.entries[index].state, EntryState::Received(_)) {
                let mut accepting = world.clone();
                accepting.entries[index].start_acceptance(world.items, world.injected_fault);
                next.push(accepting);
            }
        }
        Actor::Holder(index) => push_holder_decisions(world, index, next),
        Actor::Canceller => {
            let mut cancelling = world.clone();
            if world.budget.cancellations > 0 && cancelling.canceller.start_cancellation(world) {
                cancelling.budget.cancellations -= 1;
                next.push(cancelling);
            }
        }
    }
}

fn push_holder_decisions(world: &World, index: usize, next: &mut Vec<World>) {
    let mut push_if_changed = |change: &dyn Fn(&mut World) -> bool| {
        let mut changed = world.clone();
        if change(&mut changed) {
            next.push(changed);
        }
    };
    push_if_changed(&|changed| changed.holders[index].read_open_row(world));
    push_if_changed(&|changed| changed.holders[index].act_on_open_row(world));
    push_if_changed(&|changed| changed.holders[index].start_commit(world));
    if world.budget.renewals > 0 {
        push_if_changed(&|changed| {
            changed.budget.renewals -= 1;
            changed.holders[index].start_renewal(world)
        });
    }
    if world.budget.releases > 0 {
        push_if_changed(&|changed| {
            changed.budget.releases -= 1;
            changed.holders[index].start_release()
        });
    }
}

/// Adds the state for every outcome of an actor's next request.
fn push_requests(world: &World, actor: Actor, next: &mut Vec<World>) -> Result<(), Violation> {
    let Some(request) = next_request(world, actor) else {
        return Ok(());
    };
    let mut executed = world.clone();
    let reply = execute(&mut executed.table, request.as_request())?;
    next.push(with_reply(executed.clone(), actor, &reply));
    let OwnedRequest::Transact(transaction) = &request else {
        return Ok(());
    };
    let budget = world.budget;
    if budget.lost_replies > 0 {
        executed.budget.lost_replies -= 1;
        next.push(with_reply(executed, actor, &Reply::Unknown));
    }
    if budget.lost_writes > 0 {
        let mut lost = world.clone();
        lost.budget.lost_writes -= 1;
        next.push(with_reply(lost, actor, &Reply::Unknown));
    }
    if budget.delayed_writes > 0 {
        let mut delayed = world.clone();
        delayed.budget.delayed_writes -= 1;
        delayed.table.delayed.push(transaction.clone());
        next.push(with_reply(delayed, actor, &Reply::Unknown));
    }
    if budget.refusals > 0 {
        let mut refused = world.clone();
        refused.budget.refusals -= 1;
        next.push(with_reply(refused, actor, &Reply::NotApplied));
    }
    Ok(())
}

/// Adds the state after a crash of an actor, unless the actor is idle or
/// finished.
fn push_crash(world: &World, actor: Actor, next: &mut Vec<World>) {
    if world.budget.crashes == 0 {
        return;
    }
    let mut crashed = world.clone();
    crashed.budget.crashes -= 1;
    match actor {
        Actor::Entry(index) if !crashed.entries[index].is_finished() => {
            crashed.entries[index].state = EntryState::Crashed;
        }
        Actor::Holder(index) if crashed.holders[index].state != HolderState::Idle => {
            crashed.holders[index].state = HolderState::Idle;
        }
        Actor::Canceller if crashed.canceller.state != HolderState::Idle => {
            crashed.canceller.state = HolderState::Idle;
        }
        _ => return,
    }
    next.push(crashed);
}

/// Adds the states in which a delayed write takes effect.
fn push_delayed_writes(world: &World, next: &mut Vec<World>) -> Result<(), Violation> {
    for index in 0..world.table.delayed.len() {
        let mut arrived = world.clone();
        let transaction = arrived.table.delayed.remove(index);
        arrived.table.transact(&transaction)?;
        next.push(arrived);
    }
    Ok(())
}

fn next_request(world: &World, actor: Actor) -> Option<OwnedRequest> {
    match actor {
        Actor::Entry(index) => world.entries[index].next_request(),
        Actor::Holder(index) => world.holders[index].next_request(),
        Actor::Canceller => world.canceller.next_request(),
    }
}

/// Returns the state after an actor processed `reply`.
fn with_reply(mut world: World, actor: Actor, reply: &Reply) -> World {
    match actor {
        Actor::Entry(index) => world.entries[index].on_reply(reply),
        Actor::Holder(index) => world.holders[index].on_reply(reply),
        Actor::Canceller => world.canceller.on_reply(reply),
    }
    world
}

/// Runs without failures: every actor takes a step in turn, and the clock
/// advances when no actor can. Checks that the job ends; the invariants ensure
/// that it is then cancelled, or completed with a result for every item.
fn run_to_end(mut world: World) -> Result<(), Violation> {
    world.budget = EventBudget::NONE;
    for _ in 0..PROGRESS_ROUNDS_MAX {
        let before = world.clone();
        step_every_actor(&mut world)?;
        world.check_invariants()?;
        if is_finished(&world) {
            return Ok(());
        }
        if world == before || !is_any_holder_writing(&world) {
            world.now_ms += LEASE_MS;
        }
    }
    violation("the job does not end although failures stopped")
}

fn is_finished(world: &World) -> bool {
    let entries_finished = world.entries.iter().all(super::actor::Entry::is_finished);
    match world.job_state() {
        Some(JobState::Open) => entries_finished && world.holders.is_empty(),
        Some(_) => entries_finished,
        // No caller was told that the job was accepted, and no entry or delayed
        // write can still create it.
        None => entries_finished && world.table.delayed.is_empty(),
    }
}

fn is_any_holder_writing(world: &World) -> bool {
    world
        .holders
        .iter()
        .any(|holder| holder.next_request().is_some())
}

fn step_every_actor(world: &mut World) -> Result<(), Violation> {
    if let Some(transaction) = world.table.delayed.pop() {
        world.table.transact(&transaction)?;
    }
    let entries = (0..world.entries.len()).map(Actor::Entry);
    let holders = (0..world.holders.len()).map(Actor::Holder);
    let actors: Vec<_> = entries.chain(holders).chain([Actor::Canceller]).collect();
    for actor in actors {
        if let Actor::Entry(index) = actor {
            let (items, injected_fault) = (world.items, world.injected_fault);
            world.entries[index].start_acceptance(items, injected_fault);
        }
        if let Actor::Holder(index) = actor {
            let before = world.clone();
            let holder = &mut world.holders[index];
            let _ = holder.start_commit(&before)
                || holder.act_on_open_row(&before)
                || holder.read_open_row(&before);
        }
        if let Some(request) = next_request(world, actor) {
            let reply = execute(&mut world.table, request.as_request())?;
            *world = with_reply(world.clone(), actor, &reply);
        }
    }
    Ok(())
}
