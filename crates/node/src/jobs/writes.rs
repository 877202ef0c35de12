//! Writes of owned jobs: results, and outputs of items that still run.

use std::{rc::Rc, time::Duration};

use ledger::{CommitOutcome, CommitStep, PartialOutput};
use model::JobId;
use platform::{StoreError, TransactOutcome};
use tokio::{task::spawn_local, time::sleep};

use super::{ownership, runner::Runner, storage::JobRows};
use crate::node::Node;

/// Time between two saves of the outputs of running items.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// Bytes of outputs that one save takes.
const SAVE_MAX_BYTES: usize = 256 * 1024;
/// Wait before a write of results is repeated, milliseconds.
const COMMIT_RETRY_MS: u64 = 100;
const COMMIT_RETRY_MAX_MS: u64 = 1_000;

/// Writes results that wait.
pub(super) fn start_commits(node: &Rc<Node>) {
    let mut runner = node.runner.borrow_mut();
    let Runner {
        jobs, committing, ..
    } = &mut *runner;
    for job in jobs {
        if !committing.contains(job.id()) && job.next_commit().is_some() {
            committing.push(job.id().clone());
            spawn_local(commit(Rc::clone(node), job.id().clone()));
        }
    }
}

/// Writes the results of a job until none waits.
async fn commit(node: Rc<Node>, id: JobId) {
    let mut retry_ms = COMMIT_RETRY_MS;
    let mut tries = 0;
    loop {
        let due = {
            let mut runner = node.runner.borrow_mut();
            let found = runner.find(&id);
            found
                .ok()
                .and_then(|index| runner.jobs[index].next_commit().cloned())
        };
        let Some(due) = due else { break };
        let rows = JobRows::new(&node).with_tries(tries);
        let outcome = rows.commit(&id, &due).await;
        log_commit(&id, due.first_position, due.results.len(), &outcome);
        let outcome = outcome.unwrap_or(CommitOutcome::NotConfirmed);
        let stored_version = match outcome {
            CommitOutcome::Committed { version } => Some(version),
            CommitOutcome::Conflict(_) | CommitOutcome::NotConfirmed => None,
        };
        let step = {
            let mut runner = node.runner.borrow_mut();
            let found = runner.find(&id);
            found
                .ok()
                .map(|index| runner.jobs[index].finish_commit(outcome))
        };
        if let Some(version) = stored_version {
            ownership::apply(&node, &id, due.record, version);
            for result in &due.results {
                node.metrics.on_item_ended(result.outcome);
            }
        }
        match step {
            Some(CommitStep::Stored | CommitStep::Rebuild) => {
                retry_ms = COMMIT_RETRY_MS;
                tries = 0;
            }
            Some(CommitStep::Retry) => {
                tries += 1;
                sleep(Duration::from_millis(retry_ms)).await;
                retry_ms = (retry_ms * 2).min(COMMIT_RETRY_MAX_MS);
            }
            Some(CommitStep::Stop) | None => break,
        }
    }
    node.runner
        .borrow_mut()
        .committing
        .retain(|other| *other != id);
    node.batch_state_changed.notify_one();
}

fn log_commit(
    id: &JobId,
    first_position: u64,
    results: usize,
    outcome: &Result<CommitOutcome, StoreError>,
) {
    match outcome {
        Ok(CommitOutcome::Committed { version }) => log::info!(
            "event=results_stored job={id} first_position={first_position} results={results} version={version}"
        ),
        Ok(other) => log::warn!(
            "event=results_not_stored job={id} first_position={first_position} outcome={}",
            process::quote(&format!("{other:?}"))
        ),
        Err(error) => log::warn!(
            "event=results_not_stored job={id} first_position={first_position} error={}",
            process::quote(error)
        ),
    }
}

/// Saves the outputs of running items from time to time, so that another
/// instance can go on with them if this one is lost.
pub(super) async fn save_outputs(node: Rc<Node>) {
    loop {
        sleep(SAVE_INTERVAL).await;
        if node.store_health.is_unreachable() {
            continue;
        }
        let unsaved: Vec<_> = {
            let mut runner = node.runner.borrow_mut();
            let jobs = runner.jobs.iter_mut();
            jobs.map(|job| {
                (
                    job.id().clone(),
                    job.version(),
                    job.take_unsaved_partials(SAVE_MAX_BYTES),
                )
            })
            .filter(|(_, _, partials)| !partials.is_empty())
            .collect()
        };
        for (id, version, partials) in unsaved {
            save(&node, &id, version, &partials).await;
        }
    }
}

async fn save(node: &Node, id: &JobId, version: u64, partials: &[PartialOutput]) {
    let rows = JobRows::new(node);
    match rows.save_partials(id, version, partials).await {
        Ok(outcome) => log::debug!(
            "event=outputs_saved job={id} items={} stored={}",
            partials.len(),
            matches!(outcome, TransactOutcome::Committed { .. })
        ),
        Err(error) => log::warn!(
            "event=outputs_not_saved job={id} error={}",
            process::quote(&error)
        ),
    }
}
