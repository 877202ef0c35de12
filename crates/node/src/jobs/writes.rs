//! Writes results of owned jobs and partial outputs of running items to the store.

use std::{rc::Rc, time::Duration};

use ledger::{CommitOutcome, CommitStep, PartialOutput};
use model::JobId;
use platform::{StoreError, TransactOutcome};
use tokio::{task::spawn_local, time::sleep};

use super::{ownership, runner::Runner, storage::JobRows};
use crate::node::Node;

/// Interval between saves of the partial outputs of running items.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum size of the partial outputs of one job that are saved at a time, bytes.
const SAVE_MAX_BYTES: usize = 256 * 1024;
/// Delay before a write of results is retried for the first time, milliseconds. The
/// delay doubles with each further retry.
const COMMIT_RETRY_MS: u64 = 100;
/// Maximum delay before a write of results is retried, milliseconds.
const COMMIT_RETRY_MAX_MS: u64 = 1_000;

/// Starts a task that writes results for each job that has unwritten results and no
/// such task yet.
pub(super) fn start_commits(node: &Rc<Node>) {
    let mut runner = node.runner.borrow_mut();
    let Runner {
        jobs, committing, ..
    } = &mut *runner;
    for job in jobs {
        if !committing.contains(job.id()) && job.next_commit().is_some() {
            committing.push(job.id().clone());
            spawn_local(commit_results(Rc::clone(node), job.id().clone()));
        }
    }
}

/// Writes the results of a job until all are written or this instance no longer owns the
/// job.
async fn commit_results(node: Rc<Node>, id: JobId) {
    let mut retry_ms = COMMIT_RETRY_MS;
    let mut tries = 0;
    loop {
        let commit = {
            let mut runner = node.runner.borrow_mut();
            let job_index = runner.find_job(&id);
            job_index
                .ok()
                .and_then(|index| runner.jobs[index].next_commit().cloned())
        };
        let Some(commit) = commit else { break };
        let rows = JobRows::new(&node).with_tries(tries);
        let outcome = rows.commit(&id, &commit).await;
        log_commit(&id, commit.first_position, commit.results.len(), &outcome);
        let outcome = outcome.unwrap_or(CommitOutcome::NotConfirmed);
        let stored = match &outcome {
            CommitOutcome::Committed { version } => Some((commit.record.clone(), *version)),
            CommitOutcome::Conflict(current) => current.clone(),
            CommitOutcome::NotConfirmed => None,
        };
        let is_committed = matches!(outcome, CommitOutcome::Committed { .. });
        let step = {
            let mut runner = node.runner.borrow_mut();
            let job_index = runner.find_job(&id);
            job_index
                .ok()
                .map(|index| runner.jobs[index].finish_commit(outcome))
        };
        if let Some((record, version)) = stored {
            ownership::apply_record(&node, &id, record, version);
        }
        if is_committed {
            for result in &commit.results {
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
    result_count: usize,
    outcome: &Result<CommitOutcome, StoreError>,
) {
    match outcome {
        Ok(CommitOutcome::Committed { version }) => log::info!(
            "event=results_stored job={id} first_position={first_position} results={result_count} version={version}"
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

/// Periodically saves the partial outputs of running items, so that another instance
/// can resume them if this one fails.
pub(super) async fn save_partial_outputs(node: Rc<Node>) {
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
            save_job_outputs(&node, &id, version, &partials).await;
        }
    }
}

async fn save_job_outputs(node: &Node, id: &JobId, version: u64, partials: &[PartialOutput]) {
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
