//! Runs the items of the jobs that this instance owns.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use gateway::{BatchDemand, Route};
use ledger::{CommitOutcome, CommitStep, JobRecord, OwnedJob, Partial, RunEnd};
use model::{JobId, UpstreamId};
use platform::StoreError;
use tokio::{
    sync::Notify,
    task::{AbortHandle, spawn_local},
    time::{sleep, timeout},
};

use super::{item_run, storage::JobRows};
use crate::{
    clock::unix_ms,
    node::{Node, Stage},
};

/// Time between looks for places while items wait.
const BUSY_TICK: Duration = Duration::from_millis(100);
/// Time between looks while nothing waits.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Wait before a write of results is repeated, milliseconds.
const COMMIT_RETRY_MS: u64 = 100;
const COMMIT_RETRY_MAX_MS: u64 = 1_000;

/// Jobs that this instance owns and the runs of their items.
#[derive(Debug, Default)]
pub(crate) struct Runner {
    /// Sorted by id.
    jobs: Vec<OwnedJob>,
    runs: Vec<Run>,
    /// Jobs whose results are being written.
    committing: Vec<JobId>,
    /// Jobs whose items are being read.
    pub(super) loading: Vec<JobId>,
}

#[derive(Debug)]
struct Run {
    job: JobId,
    item_index: u32,
    upstream: UpstreamId,
    due_unix_ms: u64,
    make_room: Rc<Notify>,
    task: AbortHandle,
}

impl Runner {
    /// Body of an item of an owned job.
    pub(crate) fn item_body(&self, id: &JobId, item: &str) -> Option<Bytes> {
        let job = &self.jobs[self.find(id).ok()?];
        job.item(item).map(platform::encode_item_body)
    }

    /// Takes in news of a record.
    pub(crate) fn observe(&mut self, id: &JobId, record: &JobRecord, version: u64) {
        if let Ok(index) = self.find(id) {
            self.jobs[index].observe(record, version);
        }
    }

    /// Whether a job is owned or about to be.
    pub(super) fn has(&self, id: &JobId) -> bool {
        self.find(id).is_ok() || self.loading.contains(id)
    }

    /// Number of items that run.
    pub(super) fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Whether results wait to be written.
    pub(super) fn is_committing(&self) -> bool {
        !self.committing.is_empty()
    }

    /// Ends all runs and gives the jobs up.
    pub(super) fn take_jobs(&mut self) -> Vec<OwnedJob> {
        for run in self.runs.drain(..) {
            run.task.abort();
        }
        std::mem::take(&mut self.jobs)
    }

    fn find(&self, id: &JobId) -> Result<usize, usize> {
        self.jobs.binary_search_by(|job| job.id().cmp(id))
    }

    fn drop_inactive(&mut self) {
        let runs = &mut self.runs;
        self.jobs.retain(|job| {
            if job.is_active() {
                return true;
            }
            log::info!(
                "event=job_dropped job={} phase={:?} listed={}",
                job.id(),
                job.record().phase,
                job.record().listed.len()
            );
            runs.retain(|run| {
                let is_other = run.job != *job.id();
                if !is_other {
                    run.task.abort();
                }
                is_other
            });
            false
        });
    }

    /// The runs that make room at an upstream: those that are due last.
    fn make_room(&self, upstream: &UpstreamId, count: u32) {
        let mut there: Vec<_> = self
            .runs
            .iter()
            .filter(|run| run.upstream == *upstream)
            .collect();
        there.sort_by_key(|run| std::cmp::Reverse(run.due_unix_ms));
        for run in there.iter().take(count as usize) {
            log::info!(
                "event=item_makes_room job={} item_index={} upstream={upstream}",
                run.job,
                run.item_index
            );
            run.make_room.notify_one();
        }
    }

    /// Owned jobs, most urgent first.
    fn by_due(&self) -> Vec<usize> {
        let mut order: Vec<_> = (0..self.jobs.len()).collect();
        order.sort_by_key(|index| self.jobs[*index].record().due_unix_ms);
        order
    }
}

/// Takes a job in.
pub(super) fn adopt(node: &Node, job: OwnedJob) {
    let mut runner = node.runner.borrow_mut();
    if let Err(index) = runner.find(job.id()) {
        runner.jobs.insert(index, job);
    }
    drop(runner);
    node.batch_changed.notify_one();
}

/// Starts items wherever there is room for them.
pub(super) async fn schedule(node: Rc<Node>) {
    loop {
        let has_waiting = node.fleet.borrow().batch_demand().waiting > 0;
        let tick = if has_waiting { BUSY_TICK } else { IDLE_TICK };
        // Time passing is as good a reason to look as a change.
        let _ = timeout(tick, node.batch_changed.notified()).await;
        step(&node);
    }
}

fn step(node: &Rc<Node>) {
    node.runner.borrow_mut().drop_inactive();
    for (upstream, count) in node.fleet.borrow().yields() {
        node.runner.borrow().make_room(&upstream, count);
    }
    give_up_items(node);
    if node.stage() == Stage::Serving {
        while start_next(node) {}
    }
    update_demand(node);
    start_commits(node);
}

/// Gives up items whose time is over or whose route is gone.
fn give_up_items(node: &Node) {
    let Some(routes) = node.routes() else { return };
    let now_unix_ms = unix_ms();
    for job in &mut node.runner.borrow_mut().jobs {
        if now_unix_ms >= job.record().give_up_unix_ms {
            job.give_up_rest();
        }
        let host = job.record().host.clone();
        job.give_up_where(|item| routes.find(&host, &item.path).is_none());
    }
}

/// Starts the most urgent item that has a place. Returns whether one started.
fn start_next(node: &Rc<Node>) -> bool {
    let Some(routes) = node.routes() else {
        return false;
    };
    let now_ms = node.now_ms();
    let mut runner = node.runner.borrow_mut();
    for index in runner.by_due() {
        let job = &mut runner.jobs[index];
        let Some(item_index) = job.next_waiting(now_ms) else {
            continue;
        };
        let host = job.record().host.clone();
        let path = job.path(item_index).unwrap_or_default();
        let Some(route) = routes.find(&host, path).cloned() else {
            continue;
        };
        let Some(target) = place(node, &route, job.id(), item_index, now_ms) else {
            continue;
        };
        let Some(run) = job.start(item_index) else {
            continue;
        };
        let due_unix_ms = job.record().due_unix_ms;
        let id = job.id().clone();
        let make_room = Rc::new(Notify::new());
        let upstream = target.upstream.clone();
        let start = item_run::Start {
            node: Rc::clone(node),
            job: id.clone(),
            host,
            give_up_unix_ms: job.record().give_up_unix_ms,
            run,
            target,
            route,
            make_room: Rc::clone(&make_room),
        };
        // Counts the item at its upstream before the next one is placed.
        let started = start.begin();
        let task = spawn_local(started.run()).abort_handle();
        runner.runs.push(Run {
            job: id,
            item_index,
            upstream,
            due_unix_ms,
            make_room,
            task,
        });
        return true;
    }
    false
}

fn place(
    node: &Node,
    route: &Route,
    job: &JobId,
    item_index: u32,
    now_ms: u64,
) -> Option<gateway::Target> {
    let service = route.service_for(&format!("{job}/{item_index}"))?;
    node.fleet.borrow().batch_place(service, &[], now_ms)
}

fn update_demand(node: &Node) {
    let now_ms = node.now_ms();
    let runner = node.runner.borrow();
    let waiting = |job: &OwnedJob| job.waiting_count(now_ms);
    let demand = BatchDemand {
        waiting: runner.jobs.iter().map(waiting).sum(),
        due_unix_ms: runner
            .jobs
            .iter()
            .filter(|job| waiting(job) > 0)
            .map(|job| job.record().due_unix_ms)
            .min()
            .unwrap_or(0),
    };
    let mut fleet = node.fleet.borrow_mut();
    if fleet.batch_demand() != demand {
        fleet.set_batch_demand(demand);
        node.load_changed.notify_one();
    }
}

/// Records the end of a run.
pub(super) fn run_ended(
    node: &Rc<Node>,
    id: &JobId,
    partial: Partial,
    end: RunEnd,
    errors_max: u32,
) {
    let now_ms = node.now_ms();
    let mut runner = node.runner.borrow_mut();
    let item_index = partial.item_index;
    runner
        .runs
        .retain(|run| run.job != *id || run.item_index != item_index);
    if let Ok(index) = runner.find(id) {
        runner.jobs[index].run_ended(partial, end, errors_max, now_ms);
    }
    drop(runner);
    node.batch_changed.notify_one();
}

/// Keeps the output of a run in progress.
pub(super) fn progress(node: &Node, id: &JobId, partial: &Partial) {
    let mut runner = node.runner.borrow_mut();
    if let Ok(index) = runner.find(id) {
        runner.jobs[index].progress(partial);
    }
}

fn start_commits(node: &Rc<Node>) {
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
    loop {
        let due = {
            let mut runner = node.runner.borrow_mut();
            let found = runner.find(&id);
            found
                .ok()
                .and_then(|index| runner.jobs[index].next_commit().cloned())
        };
        let Some(due) = due else { break };
        let row_max_bytes = node.settings().store_limits.row_max_bytes;
        let rows = JobRows::new(&node.store, row_max_bytes);
        let outcome = rows.commit(&id, &due).await;
        log_commit(&id, due.first_position, due.results.len(), &outcome);
        let outcome = outcome.unwrap_or(CommitOutcome::Unsettled);
        let step = {
            let mut runner = node.runner.borrow_mut();
            let found = runner.find(&id);
            found
                .ok()
                .map(|index| runner.jobs[index].commit_ended(outcome))
        };
        match step {
            Some(CommitStep::Stored | CommitStep::Rebuild) => retry_ms = COMMIT_RETRY_MS,
            Some(CommitStep::Repeat) => {
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
    node.batch_changed.notify_one();
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
