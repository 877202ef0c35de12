//! Ownership of jobs: takes over orphaned jobs, releases the jobs of this instance
//! during a planned stop and removes jobs whose results have expired.

use std::{rc::Rc, sync::Arc, time::Duration};

use ledger::{CommitOutcome, JobRecord, OwnedJob, StoredJob};
use model::JobId;
use platform::Row;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use super::{
    admission::{Decision, settle_job},
    item_contents,
    record_codec::decode_record,
    storage::JobRows,
};
use crate::{
    heartbeats::STOP_WRITE_TRIES,
    node::{Node, Stage},
};

/// Interval between checks for orphaned and expired jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before the items of a job are read again after a failure.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long results are kept beyond the promised retention time, milliseconds.
/// The margin allows for different estimates of the store's clock.
const RETENTION_MARGIN_MS: u64 = 30_000;
/// Time before the deadline of [`release_jobs`] at which running items are aborted, so
/// that the jobs can still be released.
const RELEASE_RESERVE: Duration = Duration::from_millis(300);
/// Time-out of the write that releases a job.
const RELEASE_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time in which an orphaned job that is not admitted is decided, milliseconds.
/// Then the takeover is tried again.
const TAKEOVER_DECISION_MS: u64 = 2_000;
/// Interval between checks of whether all runs and commits have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Applies a row of the jobs table from the change feed.
pub(crate) fn apply_row(node: &Rc<Node>, row: &Row) {
    let id = JobId::new(&row.key);
    if row.is_removed {
        apply_removal(node, &id, row.version);
        return;
    }
    match decode_record(node, row) {
        Ok(record) => apply_record(node, &id, record, row.version),
        Err(error) => log::error!(
            "event=job_unreadable job={id} error={}",
            process::quote(&error)
        ),
    }
}

/// Applies a record from the change feed or from a write of this instance, unless a
/// newer version is known. Records that this instance wrote are applied at once and not
/// only when the feed delivers them: until then, a job that has just ended would look
/// like one that its owner still has to run.
pub(super) fn apply_record(node: &Rc<Node>, id: &JobId, record: JobRecord, version: u64) {
    let record = Arc::new(record);
    let job = StoredJob {
        id: id.clone(),
        record: Arc::clone(&record),
        version,
    };
    let now_ms = node.now_ms();
    if !node.directory.borrow_mut().record_job(job, now_ms) {
        return;
    }
    node.runner
        .borrow_mut()
        .observe_record(id, &record, version);
    notify_of_change(node);
}

/// Applies the removal of a job whose record had `version` at most, unless the job is known to
/// have been stored again since.
pub(super) fn apply_removal(node: &Node, id: &JobId, version: u64) {
    let now_ms = node.now_ms();
    let is_news = node.directory.borrow_mut().remove_job(id, version, now_ms);
    if is_news {
        node.runner.borrow_mut().fence_job(id, version);
        notify_of_change(node);
    }
}

/// Removes the jobs that are not in `stored`, the sorted ids of all jobs in the store when its
/// version was `version` or later.
pub(crate) fn retain_stored_jobs(node: &Node, stored: &[JobId], version: u64) {
    let now_ms = node.now_ms();
    let gone = node
        .directory
        .borrow_mut()
        .retain_stored_jobs(stored, version, now_ms);
    for id in &gone {
        node.runner.borrow_mut().fence_job(id, version);
    }
    notify_of_change(node);
}

/// Adds a job to the runner unless it is there already, and triggers a scheduling pass. Every
/// job that this instance runs enters here, and only with the newest state that is known of it:
/// the answer of the store that made this instance its owner may be older.
pub(super) fn add_job(node: &Node, mut job: OwnedJob) {
    let owned_version = job.version();
    let newest_version = observe_newest_record(node, &mut job);
    if newest_version.is_none() || !job.is_active() {
        log::info!(
            "event=job_outdated job={} version={owned_version} newest_version={newest_version:?}",
            job.id()
        );
        return;
    }
    let mut runner = node.runner.borrow_mut();
    if let Err(index) = runner.find_job(job.id()) {
        item_contents::fit_contents(node, &runner, &mut job);
        runner.jobs.insert(index, job);
    }
    drop(runner);
    node.batch_state_changed.notify_one();
}

/// Returns the version of the newest known record of a job, or `None` if the record was
/// removed.
fn observe_newest_record(node: &Node, job: &mut OwnedJob) -> Option<u64> {
    let directory = node.directory.borrow();
    let newest = directory.job(job.id())?;
    job.observe_record(&newest.record, newest.version);
    Some(newest.version)
}

fn notify_of_change(node: &Node) {
    node.jobs_changed.send_modify(|count| *count += 1);
    node.batch_state_changed.notify_one();
}

/// Loads jobs that this instance owns according to their records but does not run. Such
/// jobs exist if the answer to the write that made this instance the owner was lost. A
/// job that is not admitted for certain is taken over like an orphaned one, because a
/// removal of it may be under way.
fn load_missing_jobs(node: &Rc<Node>) {
    let missing: Vec<_> = {
        let directory = node.directory.borrow();
        let runner = node.runner.borrow();
        directory
            .jobs()
            .filter(|job| job.record.is_open() && job.record.owner.as_ref() == Some(&node.owner_id))
            .filter(|job| !runner.owns_or_loads(&job.id))
            .cloned()
            .collect()
    };
    for job in missing {
        log::info!("event=job_found job={} version={}", job.id, job.version);
        if job.record.is_admitted {
            load_job(node, job.id, JobRecord::clone(&job.record), job.version);
        } else {
            start_takeover(node, job.id);
        }
    }
}

/// Periodically takes over orphaned jobs, removes expired jobs and expires outdated
/// entries of the upstream table and idle connections.
pub(super) async fn supervise_jobs(node: Rc<Node>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now_ms = node.now_ms();
        node.upstreams.borrow_mut().expire(now_ms);
        node.connection_pool.expire(now_ms);
        node.peer_connections.expire(now_ms);
        let can_own =
            node.has_lease.get() && node.has_read_heartbeats.get() && node.has_read_jobs.get();
        if !can_own || node.store_health.is_unreachable() || node.stage() != Stage::Serving {
            continue;
        }
        load_missing_jobs(&node);
        let orphans = node.directory.borrow_mut().due_takeovers(now_ms);
        for id in orphans {
            if !may_begin_takeover(&node) {
                break;
            }
            if !node.runner.borrow().owns_or_loads(&id) {
                start_takeover(&node, id);
            }
        }
        remove_expired_jobs(&node).await;
    }
}

fn may_begin_takeover(node: &Node) -> bool {
    let runner = node.runner.borrow();
    runner.takeover_pace.may_begin(node.now_ms())
}

fn start_takeover(node: &Rc<Node>, id: JobId) {
    let mut runner = node.runner.borrow_mut();
    runner.loading.push(id.clone());
    runner.takeover_pace.record_begin();
    spawn_local(take_over_job(Rc::clone(node), id));
}

async fn take_over_job(node: Rc<Node>, id: JobId) {
    let decide_by_ms = node.now_ms() + TAKEOVER_DECISION_MS;
    let claimed = match settle_job(&node, &id, decide_by_ms).await {
        Decision::Accepted(job) if job.record.is_open() => claim_ownership(&node, &job).await,
        _ => None,
    };
    let mut runner = node.runner.borrow_mut();
    runner.finish_loading(&id);
    runner.takeover_pace.record_end();
    drop(runner);
    if let Some((record, version)) = claimed {
        let now_ms = node.now_ms();
        node.runner
            .borrow_mut()
            .record_takeover(&id, version, now_ms);
        node.load_changed.notify_one();
        load_job(&node, id, record, version);
    }
}

/// Makes this instance the owner of a job if the record has not changed meanwhile.
/// Returns the new record and its version, or `None` if the job was not taken over.
async fn claim_ownership(node: &Rc<Node>, job: &StoredJob) -> Option<(JobRecord, u64)> {
    let mut record = JobRecord::clone(&job.record);
    let previous_owner = record.owner.replace(node.owner_id.clone());
    let outcome = JobRows::new(node)
        .replace_record(&job.id, &record, job.version, &[])
        .await;
    record_store_outcome(node, outcome.is_ok());
    match outcome {
        Ok(CommitOutcome::Committed { version }) => {
            node.metrics.on_job_taken_over();
            log::info!(
                "event=job_taken_over job={} version={version} previous_owner={}",
                job.id,
                previous_owner
                    .map_or_else(|| "none".to_owned(), |owner| owner.instance.to_string())
            );
            apply_record(node, &job.id, record.clone(), version);
            Some((record, version))
        }
        Ok(CommitOutcome::Conflict(Some((newer, version)))) => {
            apply_record(node, &job.id, newer, version);
            None
        }
        Ok(CommitOutcome::Conflict(None) | CommitOutcome::NotConfirmed) => None,
        Err(error) => {
            log::warn!(
                "event=takeover_failed job={} error={}",
                job.id,
                process::quote(&error)
            );
            None
        }
    }
}

fn record_store_outcome(node: &Node, is_answered: bool) {
    let now_ms = node.now_ms();
    let pace = &mut node.runner.borrow_mut().takeover_pace;
    if is_answered {
        pace.record_answer();
    } else {
        pace.record_failure(now_ms);
    }
}

/// Reads the items of an owned job in the background, and hands the job to the runner.
/// Failed reads are retried until one succeeds.
fn load_job(node: &Rc<Node>, id: JobId, record: JobRecord, version: u64) {
    node.runner.borrow_mut().loading.push(id.clone());
    let node = Rc::clone(node);
    spawn_local(async move {
        let permits = node.runner.borrow().item_reads.permits();
        let (stored, permit) = loop {
            let permit = permits.acquire().await;
            match JobRows::new(&node).read_items(&id).await {
                Ok(stored) => break (stored, permit),
                Err(error) => {
                    drop(permit);
                    log::warn!(
                        "event=items_not_read job={id} error={}",
                        process::quote(&error)
                    );
                    sleep(LOAD_RETRY_DELAY).await;
                }
            }
        };
        node.runner.borrow_mut().finish_loading(&id);
        log::info!(
            "event=items_read job={id} items={} listed={} partials={}",
            stored.items.len(),
            record.committed.len(),
            stored.partials.len()
        );
        let owner = node.owner_id.clone();
        let job = OwnedJob::new(id, owner, record, version, stored);
        add_job(&node, job);
        drop(permit);
    });
}

/// Releases all jobs, so that other instances can take them over. First waits until
/// running items and commits have ended, but aborts the items [`RELEASE_RESERVE`] before
/// `deadline`. Partial outputs are saved with the records.
pub(crate) async fn release_jobs(node: &Rc<Node>, deadline: Instant) {
    let runs_deadline = deadline - RELEASE_RESERVE;
    let is_busy = || {
        let runner = node.runner.borrow();
        runner.run_count() > 0 || runner.is_committing()
    };
    while is_busy() && Instant::now() < runs_deadline {
        sleep(POLL_INTERVAL).await;
    }
    let jobs = node.runner.borrow_mut().take_jobs();
    for job in jobs.iter().filter(|job| job.is_active()) {
        let mut record = job.record().clone();
        record.owner = None;
        let partials = job.partials();
        let rows = JobRows::new(node).with_tries(STOP_WRITE_TRIES);
        let write = rows.replace_record(job.id(), &record, job.version(), &partials);
        match timeout(RELEASE_WRITE_TIMEOUT, write).await {
            Ok(Ok(outcome)) => log::info!(
                "event=job_released job={} partials={} stored={}",
                job.id(),
                partials.len(),
                matches!(outcome, CommitOutcome::Committed { .. })
            ),
            Ok(Err(error)) => log::warn!(
                "event=job_not_released job={} error={}",
                job.id(),
                process::quote(&error)
            ),
            Err(_) => log::warn!("event=job_not_released job={} error=timeout", job.id()),
        }
    }
}

/// Removes the ended jobs whose retention time has passed. Only the instance that comes
/// first among the candidates for a job removes it.
async fn remove_expired_jobs(node: &Rc<Node>) {
    let retention_ms = node.settings().result_retention_ms + RETENTION_MARGIN_MS;
    let now_ms = node.now_ms();
    let store_now_ms = node.store_now_ms();
    let expired: Vec<_> = {
        let directory = node.directory.borrow();
        directory
            .jobs()
            .filter(|job| !job.record.is_open())
            .filter(|job| store_now_ms > job.record.accepted_at_ms + retention_ms)
            .filter(|job| directory.is_first_candidate(&job.id, now_ms))
            .map(|job| (job.id.clone(), job.version))
            .collect()
    };
    for (id, version) in expired {
        match JobRows::new(node).remove(&id, version).await {
            Ok(()) => log::info!("event=job_removed job={id}"),
            Err(error) => {
                log::warn!(
                    "event=job_not_removed job={id} error={}",
                    process::quote(&error)
                );
            }
        }
    }
}
