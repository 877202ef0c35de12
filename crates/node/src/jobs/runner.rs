//! Runs the items of the jobs that this instance owns.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use gateway::{BatchDemand, RouteTable, Target, service_hash};
use ledger::{CommitOutcome, CommitStep, JobRecord, OwnedJob, Partial, RunEnd};
use model::{JobId, ServiceName, UpstreamId};
use platform::{StoreError, TransactOutcome};
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
/// Time between two saves of the outputs of running items.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// Bytes of outputs that one save takes.
const SAVE_MAX_BYTES: usize = 256 * 1024;
/// Entries of the queue that other instances are told of.
const QUEUE_MAX_ENTRIES: usize = 16;
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
        let has_waiting = !node.fleet.borrow().batch_queue().is_empty();
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
        // The plan rests on what waits here as well.
        update_queue(node);
        start_items(node);
    }
    update_queue(node);
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

/// Starts waiting items at the places that the plan gives this instance.
fn start_items(node: &Rc<Node>) {
    let Some(routes) = node.routes() else { return };
    let now_ms = node.now_ms();
    let services = waiting_services(node, &routes);
    for service in services {
        let plan = node.fleet.borrow().batch_plan(&service, now_ms);
        for target in plan {
            if !start_next(node, &routes, target) {
                break;
            }
        }
    }
}

/// Services for which items of this instance wait.
fn waiting_services(node: &Node, routes: &RouteTable) -> Vec<ServiceName> {
    let now_ms = node.now_ms();
    let runner = node.runner.borrow();
    let mut services: Vec<_> = runner
        .jobs
        .iter()
        .flat_map(|job| waiting_routes(job, routes, now_ms))
        .map(|(_, service)| service)
        .collect();
    services.sort();
    services.dedup();
    services
}

/// Indices of a job's waiting items with the services that they go to.
fn waiting_routes(
    job: &OwnedJob,
    routes: &RouteTable,
    now_ms: u64,
) -> impl Iterator<Item = (u32, ServiceName)> {
    let host = Arc::clone(&job.record().host);
    job.waiting(now_ms).filter_map(move |item_index| {
        let route = routes.find(&host, job.path(item_index)?)?;
        let service = route.service_for(&format!("{}/{item_index}", job.id()))?;
        Some((item_index, service.clone()))
    })
}

/// Starts the most urgent waiting item of the target's service. Returns whether
/// there was one.
fn start_next(node: &Rc<Node>, routes: &RouteTable, target: Target) -> bool {
    let now_ms = node.now_ms();
    let mut runner = node.runner.borrow_mut();
    for index in runner.by_due() {
        let job = &mut runner.jobs[index];
        let of_service = |(item_index, service): (u32, ServiceName)| {
            (service == target.service).then_some(item_index)
        };
        let Some(item_index) = waiting_routes(job, routes, now_ms).find_map(of_service) else {
            continue;
        };
        let host = Arc::clone(&job.record().host);
        let route = routes.find(&host, job.path(item_index).unwrap_or_default());
        let (Some(route), Some(run)) = (route.cloned(), job.start(item_index)) else {
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
            due_unix_ms,
            give_up_unix_ms: job.record().give_up_unix_ms,
            run,
            target,
            route,
            make_room: Rc::clone(&make_room),
        };
        // Counts the item at its upstream before the next plan is made.
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

/// Tells the other instances what waits here.
fn update_queue(node: &Node) {
    let Some(routes) = node.routes() else { return };
    let now_ms = node.now_ms();
    let runner = node.runner.borrow();
    let mut queue: Vec<BatchDemand> = Vec::new();
    for index in runner.by_due() {
        let job = &runner.jobs[index];
        for (_, service) in waiting_routes(job, &routes, now_ms) {
            add_demand(&mut queue, service_hash(&service), job.record().due_unix_ms);
        }
    }
    let mut fleet = node.fleet.borrow_mut();
    if *fleet.batch_queue() != *queue {
        fleet.set_batch_queue(queue);
        node.load_changed.notify_one();
    }
}

/// Adds one item to the demand of its service and due time.
fn add_demand(queue: &mut Vec<BatchDemand>, service: u64, due_unix_ms: u64) {
    let is_same =
        |demand: &BatchDemand| demand.service == service && demand.due_unix_ms == due_unix_ms;
    if let Some(demand) = queue.iter_mut().find(|demand| is_same(demand)) {
        demand.waiting += 1;
    } else if queue.len() < QUEUE_MAX_ENTRIES {
        queue.push(BatchDemand {
            service,
            due_unix_ms,
            waiting: 1,
        });
    }
}

/// Saves the outputs of running items from time to time, so that another
/// instance can go on with them if this one is lost.
pub(super) async fn save_outputs(node: Rc<Node>) {
    loop {
        sleep(SAVE_INTERVAL).await;
        if node.store_health.is_away() {
            continue;
        }
        let unsaved: Vec<_> = {
            let mut runner = node.runner.borrow_mut();
            let jobs = runner.jobs.iter_mut();
            jobs.map(|job| {
                (
                    job.id().clone(),
                    job.version(),
                    job.unsaved_partials(SAVE_MAX_BYTES),
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

async fn save(node: &Node, id: &JobId, version: u64, partials: &[Partial]) {
    let row_max_bytes = node.settings().store_limits.row_max_bytes;
    let rows = JobRows::new(&node.store, row_max_bytes);
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
