//! Takes over orphaned jobs, releases own ones, removes old ones.

use std::{rc::Rc, sync::Arc, time::Duration};

use ledger::{CommitOutcome, JobRecord, OwnedJob, StoredJob};
use model::JobId;
use platform::Row;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use super::{
    runner,
    storage::{JobRows, decode_record},
};
use crate::{
    clock::unix_ms,
    heartbeats::STOP_WRITE_TRIES,
    node::{Node, Stage},
};

/// Time between looks for orphaned jobs.
const TICK: Duration = Duration::from_millis(250);
/// Wait before items are read again after a failure.
const LOAD_RETRY: Duration = Duration::from_millis(200);
/// How long results stay beyond their promised time, milliseconds; clocks of
/// instances differ.
const RETENTION_MARGIN_MS: u64 = 30_000;
/// Time kept for releasing jobs before a planned stop ends.
const RELEASE: Duration = Duration::from_millis(300);
/// Longest write while releasing a job.
const RELEASE_CALL: Duration = Duration::from_secs(1);
/// How often to look whether runs have ended.
const POLL: Duration = Duration::from_millis(20);

/// Takes in the newest record of a job.
pub(crate) fn apply_record(node: &Rc<Node>, row: &Row) {
    let id = JobId::new(&row.key);
    if row.is_removed {
        node.directory.borrow_mut().remove_job(&id);
        return;
    }
    match decode_record(row) {
        Ok(record) => apply(node, &id, record, row.version),
        Err(error) => log::error!(
            "event=job_unreadable job={id} error={}",
            process::quote(&error)
        ),
    }
}

/// Takes in a record, from the feed or from a write of this instance. The latter
/// must not wait for the feed: by an older record, a job that has just ended
/// would look like one that its owner has to run.
pub(super) fn apply(node: &Rc<Node>, id: &JobId, record: JobRecord, version: u64) {
    let record = Arc::new(record);
    let job = StoredJob {
        id: id.clone(),
        record: Arc::clone(&record),
        version,
    };
    if !node.directory.borrow_mut().record_job(job) {
        return;
    }
    node.runner.borrow_mut().observe(id, &record, version);
    node.jobs_changed.send_modify(|count| *count += 1);
    node.batch_state_changed.notify_one();
}

/// Loads jobs that this instance owns without running them: the answer to the
/// write that gave them to it was lost.
fn load_missing(node: &Rc<Node>) {
    let missing: Vec<_> = {
        let directory = node.directory.borrow();
        let runner = node.runner.borrow();
        directory
            .jobs()
            .filter(|job| job.record.is_open() && job.record.owner.as_ref() == Some(&node.owner_id))
            .filter(|job| !runner.has(&job.id))
            .cloned()
            .collect()
    };
    for job in missing {
        log::info!("event=job_found job={} version={}", job.id, job.version);
        load(node, job.id, JobRecord::clone(&job.record), job.version);
    }
}

/// Looks for orphaned and outdated jobs from time to time.
pub(super) async fn supervise(node: Rc<Node>) {
    loop {
        sleep(TICK).await;
        let now_ms = node.now_ms();
        node.upstreams.borrow_mut().expire(now_ms);
        node.connection_pool.expire(now_ms);
        let may_own =
            node.has_lease.get() && node.has_read_heartbeats.get() && node.has_read_jobs.get();
        if !may_own || node.store_health.is_unreachable() || node.stage() != Stage::Serving {
            continue;
        }
        load_missing(&node);
        let orphans = node.directory.borrow_mut().due_takeovers(now_ms);
        for id in orphans {
            if !node.runner.borrow().has(&id) {
                node.runner.borrow_mut().loading.push(id.clone());
                spawn_local(take_over(Rc::clone(&node), id));
            }
        }
        remove_outdated(&node).await;
    }
}

async fn take_over(node: Rc<Node>, id: JobId) {
    let stored = node.directory.borrow().job(&id).cloned();
    let taken = match stored {
        Some(job) => claim(&node, &job).await,
        None => None,
    };
    node.runner.borrow_mut().loading_ended(&id);
    if let Some((record, version)) = taken {
        let now_ms = node.now_ms();
        node.runner.borrow_mut().note_takeover(&id, version, now_ms);
        node.load_changed.notify_one();
        load(&node, id, record, version);
    }
}

async fn claim(node: &Rc<Node>, job: &StoredJob) -> Option<(JobRecord, u64)> {
    let mut record = JobRecord::clone(&job.record);
    let previous = record.owner.replace(node.owner_id.clone());
    let outcome = JobRows::new(node)
        .replace_record(&job.id, &record, job.version, &[])
        .await;
    match outcome {
        Ok(CommitOutcome::Committed { version }) => {
            node.metrics.on_job_taken_over();
            log::info!(
                "event=job_taken_over job={} version={version} previous_owner={}",
                job.id,
                previous.map_or_else(|| "none".to_owned(), |owner| owner.instance.to_string())
            );
            apply(node, &job.id, record.clone(), version);
            Some((record, version))
        }
        Ok(CommitOutcome::Conflict(Some((newer, version)))) => {
            apply(node, &job.id, newer, version);
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

/// Reads the items of an owned job and starts running them.
fn load(node: &Rc<Node>, id: JobId, record: JobRecord, version: u64) {
    node.runner.borrow_mut().loading.push(id.clone());
    let node = Rc::clone(node);
    spawn_local(async move {
        let stored = loop {
            match JobRows::new(&node).items(&id).await {
                Ok(stored) => break stored,
                Err(error) => {
                    log::warn!(
                        "event=items_not_read job={id} error={}",
                        process::quote(&error)
                    );
                    sleep(LOAD_RETRY).await;
                }
            }
        };
        node.runner.borrow_mut().loading_ended(&id);
        log::info!(
            "event=items_read job={id} items={} listed={} partials={}",
            stored.items.len(),
            record.committed.len(),
            stored.partials.len()
        );
        let owner = node.owner_id.clone();
        let mut job = OwnedJob::new(id, owner, record, version, stored.items, stored.partials);
        // The record may have changed while the items were read.
        if let Some(newest) = node.directory.borrow().job(job.id()) {
            job.observe_record(&newest.record, newest.version);
        }
        runner::adopt(&node, job);
    });
}

/// Gives all jobs to the other instances. Running items may end before `until`.
pub(crate) async fn release_jobs(node: &Rc<Node>, until: Instant) {
    let wait_until = until - RELEASE;
    let is_busy = || {
        let runner = node.runner.borrow();
        runner.run_count() > 0 || runner.is_committing()
    };
    while is_busy() && Instant::now() < wait_until {
        sleep(POLL).await;
    }
    let jobs = node.runner.borrow_mut().take_jobs();
    for job in jobs.iter().filter(|job| job.is_active()) {
        let mut record = job.record().clone();
        record.owner = None;
        let partials = job.partials();
        let rows = JobRows::new(node).with_tries(STOP_WRITE_TRIES);
        let write = rows.replace_record(job.id(), &record, job.version(), &partials);
        match timeout(RELEASE_CALL, write).await {
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

/// Removes jobs whose results nobody may ask for any more.
async fn remove_outdated(node: &Rc<Node>) {
    let retention_ms = node.settings().result_retention_ms + RETENTION_MARGIN_MS;
    let now_ms = node.now_ms();
    let now_unix_ms = unix_ms();
    let outdated: Vec<_> = {
        let directory = node.directory.borrow();
        directory
            .jobs()
            .filter(|job| !job.record.is_open())
            .filter(|job| now_unix_ms > job.record.accepted_unix_ms + retention_ms)
            .filter(|job| directory.is_first_candidate(&job.id, now_ms))
            .map(|job| (job.id.clone(), job.version))
            .collect()
    };
    for (id, version) in outdated {
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
