//! Runs the items of the jobs that this instance owns.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use gateway::{
    BatchDemand, BatchRun, JobTakeover, Route, RouteTable, RunForecast, Target, Urgency, job_hash,
    runs_to_preempt, service_hash,
};
use ledger::{JobRecord, OwnedJob, PartialOutput, RunOutcome};
use model::{JobId, ServiceName, UpstreamId};
use tokio::{
    sync::Notify,
    task::{AbortHandle, spawn_local},
    time::{sleep, timeout},
};

use super::{item_run, writes};
use crate::{
    clock::unix_ms,
    node::{Node, Stage},
};

/// Time between looks for free slots while items wait.
const BUSY_TICK: Duration = Duration::from_millis(100);
/// Time between looks while nothing waits.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Shortest time between two looks: changes gather meanwhile, so
/// that notices of many peers cost no more looks than those of a few.
const STEP_INTERVAL: Duration = Duration::from_millis(5);
/// How long peers are told of a job that was taken over, milliseconds: longer
/// than the store turns an instance away as a rule.
const TAKEOVER_NEWS_MS: u64 = 30_000;

/// Jobs that this instance owns and the runs of their items.
#[derive(Debug, Default)]
pub(crate) struct Runner {
    /// Sorted by id.
    pub(super) jobs: Vec<OwnedJob>,
    runs: Vec<Run>,
    /// Jobs whose results are being written.
    pub(super) committing: Vec<JobId>,
    /// Jobs whose items are being read.
    pub(super) loading: Vec<JobId>,
    forecast: RunForecast,
    taken_over: Vec<RecentTakeover>,
}

/// A job that this instance took over, told to its peers for a while.
#[derive(Debug, Clone, Copy)]
struct RecentTakeover {
    taken_over: JobTakeover,
    until_ms: u64,
}

#[derive(Debug)]
struct Run {
    job: JobId,
    item_index: u32,
    upstream: UpstreamId,
    preempt: Rc<Notify>,
    task: AbortHandle,
}

/// An item that may start.
#[derive(Debug)]
struct WaitingItem {
    urgency: Urgency,
    job_index: usize,
    item_index: u32,
    route: Arc<Route>,
    service: ServiceName,
}

/// A run that has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedRun {
    pub(super) end: RunOutcome,
    /// Server errors that end an item.
    pub(super) errors_max: u32,
    /// How long it ran, milliseconds.
    pub(super) run_ms: u64,
    /// Events that it brought.
    pub(super) events: u64,
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
            self.jobs[index].observe_record(record, version);
        }
    }

    /// Tells peers of a job that was taken over.
    pub(super) fn note_takeover(&mut self, id: &JobId, version: u64, now_ms: u64) {
        let taken_over = JobTakeover {
            job: job_hash(id),
            version,
        };
        let until_ms = now_ms + TAKEOVER_NEWS_MS;
        self.taken_over.push(RecentTakeover {
            taken_over,
            until_ms,
        });
    }

    /// Jobs taken over lately.
    pub(crate) fn recent_takeovers(&mut self, now_ms: u64) -> Vec<JobTakeover> {
        self.taken_over.retain(|recent| now_ms < recent.until_ms);
        self.taken_over
            .iter()
            .map(|recent| recent.taken_over)
            .collect()
    }

    /// Gives up jobs that a peer took over.
    pub(crate) fn fence(&mut self, taken_over: &[JobTakeover]) {
        for job in &mut self.jobs {
            let hash = job_hash(job.id());
            for other in taken_over.iter().filter(|other| other.job == hash) {
                if job.fence(other.version) {
                    log::warn!("event=job_lost job={} version={}", job.id(), other.version);
                }
            }
        }
    }

    /// Whether a job is owned or about to be.
    pub(super) fn has(&self, id: &JobId) -> bool {
        self.find(id).is_ok() || self.loading.contains(id)
    }

    /// Records that the items of a job are not being read any more.
    pub(super) fn loading_ended(&mut self, id: &JobId) {
        self.loading.retain(|other| other != id);
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

    pub(super) fn find(&self, id: &JobId) -> Result<usize, usize> {
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
                job.record().committed.len()
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

    /// Preempts the least urgent runs at an upstream.
    pub(crate) fn preempt(&self, upstream: &UpstreamId, count: u32) {
        let now_unix_ms = unix_ms();
        let there = self
            .runs
            .iter()
            .filter(|run| run.upstream == *upstream)
            .filter_map(|run| {
                let job = &self.jobs[self.find(&run.job).ok()?];
                Some((self.urgency(job, run.item_index, now_unix_ms), run))
            });
        for run in runs_to_preempt(there, count) {
            log::info!(
                "event=item_preempted job={} item_index={} upstream={upstream}",
                run.job,
                run.item_index
            );
            run.preempt.notify_one();
        }
    }

    /// Items that may start and have a route, most urgent first.
    fn waiting(&self, routes: &RouteTable, now_ms: u64) -> Vec<WaitingItem> {
        let now_unix_ms = unix_ms();
        let mut waiting = Vec::new();
        for (job_index, job) in self.jobs.iter().enumerate() {
            for item_index in job.startable_items(now_ms) {
                let Some(route) = item_route(job, item_index, routes) else {
                    continue;
                };
                let Some(service) = item_service(job, item_index, route) else {
                    continue;
                };
                waiting.push(WaitingItem {
                    urgency: self.urgency(job, item_index, now_unix_ms),
                    job_index,
                    item_index,
                    route: Arc::clone(route),
                    service: service.clone(),
                });
            }
        }
        waiting.sort_by_key(|item| (item.urgency, item.job_index, item.item_index));
        waiting
    }

    fn urgency(&self, job: &OwnedJob, item_index: u32, now_unix_ms: u64) -> Urgency {
        let (tokens, events) = job.output_progress(item_index);
        let remaining_ms = self.forecast.remaining_ms(tokens, events);
        Urgency::new(job.record().due_unix_ms, remaining_ms, now_unix_ms)
    }

    /// Where items run and how urgent they are.
    fn batch_runs(&self) -> Vec<BatchRun> {
        let now_unix_ms = unix_ms();
        let runs = self.runs.iter().filter_map(|run| {
            let job = &self.jobs[self.find(&run.job).ok()?];
            Some(BatchRun {
                upstream: run.upstream.clone(),
                urgency: self.urgency(job, run.item_index, now_unix_ms),
            })
        });
        runs.collect()
    }
}

/// Takes a job in.
pub(super) fn adopt(node: &Node, job: OwnedJob) {
    let mut runner = node.runner.borrow_mut();
    if let Err(index) = runner.find(job.id()) {
        runner.jobs.insert(index, job);
    }
    drop(runner);
    node.batch_state_changed.notify_one();
}

/// Starts items wherever there is room for them.
pub(super) async fn schedule(node: Rc<Node>) {
    loop {
        let has_waiting = !node.upstreams.borrow().batch_queue().is_empty();
        let tick = if has_waiting { BUSY_TICK } else { IDLE_TICK };
        // Time passing is as good a reason to look as a change.
        let _ = timeout(tick, node.batch_state_changed.notified()).await;
        step(&node);
        sleep(STEP_INTERVAL).await;
    }
}

fn step(node: &Rc<Node>) {
    node.runner.borrow_mut().drop_inactive();
    for (upstream, count) in node.upstreams.borrow().preemptions() {
        node.runner.borrow().preempt(&upstream, count);
    }
    give_up_items(node);
    if let Some(routes) = node.routes() {
        let mut waiting = node.runner.borrow().waiting(&routes, node.now_ms());
        // The plan rests on what waits here as well.
        update_queue(node, &waiting);
        if node.stage() == Stage::Serving && start_items(node, &mut waiting) {
            update_queue(node, &waiting);
        }
    }
    writes::start_commits(node);
}

/// Gives up items whose time is over or whose route is gone.
fn give_up_items(node: &Node) {
    let Some(routes) = node.routes() else { return };
    let now_unix_ms = unix_ms();
    for job in &mut node.runner.borrow_mut().jobs {
        if now_unix_ms >= job.record().give_up_unix_ms {
            job.give_up_unfinished();
        }
        let host = job.record().host.clone();
        job.give_up_unfinished_where(|item| routes.find(&host, &item.path).is_none());
    }
}

/// Starts waiting items at the slots that the plan gives this instance, and
/// takes them out of `waiting`. Returns whether there were any.
fn start_items(node: &Rc<Node>, waiting: &mut Vec<WaitingItem>) -> bool {
    let now_ms = node.now_ms();
    let mut services: Vec<_> = waiting.iter().map(|item| item.service.clone()).collect();
    services.sort();
    services.dedup();
    let waiting_before = waiting.len();
    for service in services {
        let plan = node.upstreams.borrow().batch_plan(&service, now_ms);
        let mut plan = plan.into_iter();
        waiting.retain(|item| {
            if item.service != service {
                return true;
            }
            let Some(target) = plan.next() else {
                return true;
            };
            start_item(node, item, target);
            false
        });
    }
    waiting.len() < waiting_before
}

fn start_item(node: &Rc<Node>, item: &WaitingItem, target: Target) {
    let mut runner = node.runner.borrow_mut();
    let job = &mut runner.jobs[item.job_index];
    let Some(run) = job.start_item(item.item_index) else {
        return;
    };
    let id = job.id().clone();
    let preempt = Rc::new(Notify::new());
    let upstream = target.upstream.clone();
    let start = item_run::Start {
        node: Rc::clone(node),
        job: id.clone(),
        host: Arc::clone(&job.record().host),
        give_up_unix_ms: job.record().give_up_unix_ms,
        run,
        target,
        route: Arc::clone(&item.route),
        preempt: Rc::clone(&preempt),
    };
    // Counts the item at its upstream before the next plan is made.
    let started = start.begin();
    let task = spawn_local(started.run()).abort_handle();
    runner.runs.push(Run {
        job: id,
        item_index: item.item_index,
        upstream,
        preempt,
        task,
    });
}

fn item_route<'a>(
    job: &OwnedJob,
    item_index: u32,
    routes: &'a RouteTable,
) -> Option<&'a Arc<Route>> {
    routes.find(&job.record().host, job.item_path(item_index)?)
}

fn item_service<'a>(job: &OwnedJob, item_index: u32, route: &'a Route) -> Option<&'a ServiceName> {
    route.service_for(&format!("{}/{item_index}", job.id()))
}

/// Tells the other instances what waits and runs here.
fn update_queue(node: &Node, waiting: &[WaitingItem]) {
    let demands = waiting.iter();
    let demands = demands.map(|item| (service_hash(&item.service), item.urgency));
    let queue = BatchDemand::queue(demands);
    let runs = node.runner.borrow().batch_runs();
    let mut fleet = node.upstreams.borrow_mut();
    fleet.set_batch_runs(&runs);
    if *fleet.batch_queue() != *queue {
        fleet.set_batch_queue(queue);
        node.load_changed.notify_one();
    }
}

/// Records the end of a run.
pub(super) fn run_ended(node: &Rc<Node>, id: &JobId, partial: PartialOutput, run: EndedRun) {
    node.metrics.on_item_run(run.end);
    let now_ms = node.now_ms();
    let mut runner = node.runner.borrow_mut();
    let item_index = partial.item_index;
    runner
        .runs
        .retain(|other| other.job != *id || other.item_index != item_index);
    runner.forecast.record_run(run.run_ms, run.events);
    if let Ok(index) = runner.find(id) {
        let events = partial.last_event.unwrap_or(0);
        let job = &mut runner.jobs[index];
        job.finish_run(partial, run.end, run.errors_max, now_ms);
        let (tokens, _) = job.output_progress(item_index);
        if run.end == RunOutcome::Done {
            runner.forecast.record_completed_item(tokens, events);
        }
    }
    drop(runner);
    node.batch_state_changed.notify_one();
}

/// Keeps the output of a run in progress.
pub(super) fn progress(node: &Node, id: &JobId, partial: &PartialOutput) {
    let mut runner = node.runner.borrow_mut();
    if let Ok(index) = runner.find(id) {
        runner.jobs[index].update_partial(partial);
    }
}
