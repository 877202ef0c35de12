//! Schedules the items of the jobs that this instance owns and keeps the state of their
//! runs. A run itself is in `item_run`.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use gateway::{
    BatchDemand, BatchRun, JobTakeover, QuarantineCheck, RequestContent, RequiredWeights, Route,
    RouteTable, RunForecast, Urgency, WorkKind, job_hash, runs_to_preempt, service_hash,
};
use ledger::{Directory, JobRecord, OwnedJob, PartialOutput, RunOutcome};
use model::{JobId, ServiceName, UpstreamId};
use tokio::{
    sync::Notify,
    task::AbortHandle,
    time::{sleep, timeout},
};

use super::{
    config_check::{self, ConfigReads},
    item_contents::ItemReads,
    item_start::{item_content, start_items},
    takeover_pace::TakeoverPace,
    writes,
};
use crate::{
    node::{Node, Stage},
    quarantine,
};

/// Interval between scheduling passes while items wait for free slots.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between scheduling passes while no item waits.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two scheduling passes. All changes of this time lead to one pass,
/// so that notices from many peers cause no more passes than notices from a few.
const PASS_MIN_INTERVAL: Duration = Duration::from_millis(5);
/// How long peers are notified of a job that was taken over, milliseconds. The time
/// exceeds the usual length of an outage of the store for one instance, so that a
/// previous owner that cannot reach the store still learns that it lost the job.
const TAKEOVER_NOTICE_MS: u64 = 30_000;

/// Jobs that this instance owns and the runs of their items.
#[derive(Debug, Default)]
pub(crate) struct Runner {
    /// Sorted by id.
    pub(super) jobs: Vec<OwnedJob>,
    pub(super) runs: Vec<ActiveRun>,
    /// Jobs whose results a task is writing at present.
    pub(super) committing: Vec<JobId>,
    /// Jobs that a task is submitting, taking over or reading from the store. No second
    /// task loads these jobs.
    pub(super) loading: Vec<JobId>,
    pub(super) takeover_pace: TakeoverPace,
    pub(super) item_reads: ItemReads,
    pub(super) config_reads: ConfigReads,
    forecast: RunForecast,
    recent_takeovers: Vec<RecentTakeover>,
}

/// A job that this instance took over recently; peers are notified of it until
/// `expires_at_ms`.
#[derive(Debug, Clone, Copy)]
struct RecentTakeover {
    takeover: JobTakeover,
    expires_at_ms: u64,
}

/// A run that is in progress.
#[derive(Debug)]
pub(super) struct ActiveRun {
    pub(super) job: JobId,
    pub(super) item_index: u32,
    pub(super) content: Rc<RequestContent>,
    pub(super) upstream: UpstreamId,
    pub(super) preempt_signal: Rc<Notify>,
    pub(super) task: AbortHandle,
}

/// An item that is ready to start.
#[derive(Debug)]
pub(super) struct WaitingItem {
    pub(super) urgency: Urgency,
    pub(super) job_index: usize,
    pub(super) item_index: u32,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) required_weights: RequiredWeights,
}

/// A run that has ended.
#[derive(Debug)]
pub(super) struct EndedRun {
    pub(super) upstream: UpstreamId,
    pub(super) outcome: RunOutcome,
    /// Number of upstream errors after which the item has failed.
    pub(super) max_errors: u32,
    /// Duration of the run, milliseconds.
    pub(super) duration_ms: u64,
    /// Number of events that the run received.
    pub(super) event_count: u64,
}

impl Runner {
    /// Returns the encoded body of an item, or `None` if this instance does not own the
    /// job, does not hold the contents of its items or the job has no such item.
    pub(crate) fn item_body(&self, id: &JobId, item: &str) -> Option<Bytes> {
        let job = &self.jobs[self.find_job(id).ok()?];
        let item = job.item(item).filter(|_| job.has_contents());
        item.map(platform::encode_item_body)
    }

    /// Applies a newer version of the record to a job, if this instance owns the job.
    pub(crate) fn observe_record(&mut self, id: &JobId, record: &JobRecord, version: u64) {
        if let Ok(index) = self.find_job(id) {
            self.jobs[index].observe_record(record, version);
        }
    }

    /// Gives up a job whose record was removed, if this instance owns the job.
    pub(super) fn fence_job(&mut self, id: &JobId, version: u64) {
        if let Ok(index) = self.find_job(id)
            && self.jobs[index].fence(version)
        {
            log::warn!("event=job_lost job={id} version={version}");
        }
    }

    /// Records that this instance took over a job, so that peers are notified.
    pub(super) fn record_takeover(&mut self, id: &JobId, version: u64, now_ms: u64) {
        let takeover = JobTakeover {
            job: job_hash(id),
            version,
        };
        let expires_at_ms = now_ms + TAKEOVER_NOTICE_MS;
        self.recent_takeovers.push(RecentTakeover {
            takeover,
            expires_at_ms,
        });
    }

    /// Returns the takeovers of which peers are to be notified, and removes the expired
    /// ones.
    pub(crate) fn recent_takeovers(&mut self, now_ms: u64) -> Vec<JobTakeover> {
        self.recent_takeovers
            .retain(|recent| now_ms < recent.expires_at_ms);
        self.recent_takeovers
            .iter()
            .map(|recent| recent.takeover)
            .collect()
    }

    /// Gives up owned jobs that a peer took over with a newer version of the record. The
    /// version is the fencing token.
    pub(crate) fn fence_jobs(&mut self, takeovers: &[JobTakeover]) {
        for job in &mut self.jobs {
            let hash = job_hash(job.id());
            for takeover in takeovers.iter().filter(|takeover| takeover.job == hash) {
                if job.fence(takeover.version) {
                    log::warn!(
                        "event=job_lost job={} version={}",
                        job.id(),
                        takeover.version
                    );
                }
            }
        }
    }

    /// Returns whether the job is owned by this instance or being loaded.
    pub(super) fn owns_or_loads(&self, id: &JobId) -> bool {
        self.find_job(id).is_ok() || self.is_loading(id)
    }

    /// Returns whether a task is submitting, taking over or reading the job.
    pub(super) fn is_loading(&self, id: &JobId) -> bool {
        self.loading.contains(id)
    }

    /// Records that the job is no longer being loaded.
    pub(super) fn finish_loading(&mut self, id: &JobId) {
        self.loading.retain(|other| other != id);
    }

    /// Returns the number of items that are running.
    pub(super) fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether results are being written.
    pub(super) fn is_committing(&self) -> bool {
        !self.committing.is_empty()
    }

    /// Aborts all runs and removes all jobs from the runner; returns the jobs.
    pub(super) fn take_jobs(&mut self) -> Vec<OwnedJob> {
        for run in self.runs.drain(..) {
            run.task.abort();
        }
        std::mem::take(&mut self.jobs)
    }

    /// Returns the index of a job in `jobs`, or where it would be inserted.
    pub(super) fn find_job(&self, id: &JobId) -> Result<usize, usize> {
        self.jobs.binary_search_by(|job| job.id().cmp(id))
    }

    /// Drops jobs that have ended or that this instance no longer owns, and aborts
    /// their runs.
    fn drop_inactive_jobs(&mut self) {
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

    /// Preempts the least urgent runs at an upstream, at most `count` of them.
    pub(crate) fn preempt_runs(&self, upstream: &UpstreamId, count: u32, store_now_ms: u64) {
        let candidates = self
            .runs
            .iter()
            .filter(|run| run.upstream == *upstream)
            .filter_map(|run| {
                let job = &self.jobs[self.find_job(&run.job).ok()?];
                Some((self.urgency(job, run.item_index, store_now_ms), run))
            });
        for run in runs_to_preempt(candidates, count) {
            log::info!(
                "event=item_preempted job={} item_index={} upstream={upstream}",
                run.job,
                run.item_index
            );
            run.preempt_signal.notify_one();
        }
    }

    /// Returns the items that are ready to start and whose route exists, sorted by urgency
    /// with the most urgent first.
    fn waiting_items(
        &self,
        routes: &RouteTable,
        directory: &Directory,
        now_ms: u64,
        store_now_ms: u64,
    ) -> Vec<WaitingItem> {
        let mut waiting = Vec::new();
        for (job_index, job) in self.jobs.iter().enumerate() {
            let items_ahead = directory.items_ahead(job.id(), job.record());
            for item_index in job.startable_items(now_ms) {
                let Some(route) = item_route(job, item_index, routes) else {
                    continue;
                };
                let Some(service) = item_service(job, item_index, route) else {
                    continue;
                };
                waiting.push(WaitingItem {
                    urgency: self
                        .urgency(job, item_index, store_now_ms)
                        .deferred_behind(items_ahead),
                    job_index,
                    item_index,
                    route: Arc::clone(route),
                    service: service.clone(),
                    required_weights: required_weights(job, item_index),
                });
            }
        }
        waiting.sort_by_key(|item| (item.urgency, item.job_index, item.item_index));
        waiting
    }

    /// Returns whether a part of an item's prompt is quarantined. Such an item waits until
    /// the part is released or the item is given up.
    fn is_quarantined(&self, node: &Node, item: &WaitingItem) -> bool {
        let content = item_content(&self.jobs[item.job_index], item.item_index);
        let check = quarantine::check(node, &content, WorkKind::Batch);
        matches!(check, QuarantineCheck::Refused { .. })
    }

    fn urgency(&self, job: &OwnedJob, item_index: u32, store_now_ms: u64) -> Urgency {
        let (tokens, events) = job.output_progress(item_index);
        let remaining_ms = self.forecast.remaining_ms(tokens, events);
        let record = job.record();
        Urgency::new(record.due_at_ms, remaining_ms, store_now_ms).with_give_up_at(
            record.give_up_at_ms,
            remaining_ms,
            store_now_ms,
        )
    }

    /// Returns the upstream and the urgency of each running item.
    fn batch_runs(&self, store_now_ms: u64) -> Vec<BatchRun> {
        let runs = self.runs.iter().filter_map(|run| {
            let job = &self.jobs[self.find_job(&run.job).ok()?];
            Some(BatchRun {
                upstream: run.upstream.clone(),
                urgency: self.urgency(job, run.item_index, store_now_ms),
            })
        });
        runs.collect()
    }
}

/// Makes scheduling passes after changes and at regular intervals, until the process
/// exits.
pub(super) async fn schedule_items(node: Rc<Node>) {
    loop {
        let has_waiting = !node.upstreams.borrow().batch_queue().is_empty();
        let interval = if has_waiting {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        // The time-out also leads to a pass: deadlines and retry delays expire without
        // a notification.
        let _ = timeout(interval, node.batch_state_changed.notified()).await;
        schedule_once(&node);
        sleep(PASS_MIN_INTERVAL).await;
    }
}

/// Makes one scheduling pass: drops, preempts and gives up items where needed, starts
/// items at upstreams with free slots, and starts writing results.
fn schedule_once(node: &Rc<Node>) {
    node.runner.borrow_mut().drop_inactive_jobs();
    for (upstream, count) in node.upstreams.borrow().preemptions() {
        let store_now_ms = node.store_now_ms();
        node.runner
            .borrow()
            .preempt_runs(&upstream, count, store_now_ms);
    }
    give_up_items(node);
    if let Some(routes) = node.routes() {
        let mut waiting = node.runner.borrow().waiting_items(
            &routes,
            &node.directory.borrow(),
            node.now_ms(),
            node.store_now_ms(),
        );
        if quarantine::is_active(node) {
            let runner = node.runner.borrow();
            waiting.retain(|item| !runner.is_quarantined(node, item));
        }
        waiting.retain(|item| may_have_upstream(node, item));
        // The batch plan takes the queue of this instance into account, so the queue is
        // updated first.
        update_batch_queue(node, &waiting);
        if node.stage() == Stage::Serving && start_items(node, &mut waiting) {
            update_batch_queue(node, &waiting);
        }
    }
    writes::start_commits(node);
}

/// Gives up items whose deadline has passed or whose route was removed. If a route is missing
/// but the configuration in force may be older than the job, the newest one is read first.
fn give_up_items(node: &Rc<Node>) {
    let Some(routes) = node.routes() else { return };
    let store_now_ms = node.store_now_ms();
    let mut must_read_config = false;
    for job in &mut node.runner.borrow_mut().jobs {
        if store_now_ms >= job.record().give_up_at_ms {
            job.give_up_unfinished();
        }
        let host = job.record().host.clone();
        must_read_config |=
            job.give_up_without_route(|item| routes.find(&host, &item.path).is_some());
    }
    if must_read_config {
        config_check::begin_read(node);
    }
}

fn item_route<'a>(
    job: &OwnedJob,
    item_index: u32,
    routes: &'a RouteTable,
) -> Option<&'a Arc<Route>> {
    routes.find(&job.record().host, &job.item_at(item_index)?.path)
}

fn item_service<'a>(job: &OwnedJob, item_index: u32, route: &'a Route) -> Option<&'a ServiceName> {
    route.service_for(&format!("{}/{item_index}", job.id()))
}

fn required_weights(job: &OwnedJob, item_index: u32) -> RequiredWeights {
    let item = job.item_at(item_index);
    item.map_or(RequiredWeights::Any, platform::item_required_weights)
}

/// Returns whether an upstream may have the weights that an item requires. If none has, the
/// item waits, and claims no slot.
fn may_have_upstream(node: &Node, item: &WaitingItem) -> bool {
    let Some(version) = item.required_weights.version() else {
        return true;
    };
    let upstreams = node.upstreams.borrow();
    upstreams.may_have_weights(&item.service, version, node.now_ms())
}

/// Updates the waiting and running items of this instance in the upstream table, which
/// builds the load notices for peers from them.
fn update_batch_queue(node: &Node, waiting: &[WaitingItem]) {
    let demands = waiting.iter();
    let demands = demands.map(|item| (service_hash(&item.service), item.urgency));
    let queue = BatchDemand::queue(demands);
    let runs = node.runner.borrow().batch_runs(node.store_now_ms());
    let mut upstreams = node.upstreams.borrow_mut();
    upstreams.set_batch_runs(&runs);
    if *upstreams.batch_queue() != *queue {
        upstreams.set_batch_queue(queue);
        node.load_changed.notify_one();
    }
}

/// Records the outcome of a run, which makes its item startable again if needed, and
/// updates the forecast.
pub(super) fn finish_run(
    node: &Rc<Node>,
    id: &JobId,
    partial: PartialOutput,
    ended_run: &EndedRun,
) {
    node.metrics.on_item_run(ended_run.outcome);
    let now_ms = node.now_ms();
    let mut runner = node.runner.borrow_mut();
    let item_index = partial.item_index;
    runner
        .runs
        .retain(|other| other.job != *id || other.item_index != item_index);
    runner
        .forecast
        .record_run(ended_run.duration_ms, ended_run.event_count);
    if let Ok(index) = runner.find_job(id) {
        let events = partial.last_event.unwrap_or(0);
        let job = &mut runner.jobs[index];
        let outcome = confirm_outcome(job, &partial, ended_run);
        job.finish_run(partial, outcome, ended_run.max_errors, now_ms);
        let (tokens, _) = job.output_progress(item_index);
        if outcome == RunOutcome::Done {
            runner.forecast.record_completed_item(tokens, events);
        }
    }
    drop(runner);
    node.batch_state_changed.notify_one();
}

/// Returns the outcome of a run. One that ended as complete without an event counts as
/// interrupted until that is confirmed: the upstream may have lost the rest of the output.
fn confirm_outcome(job: &mut OwnedJob, partial: &PartialOutput, run: &EndedRun) -> RunOutcome {
    let is_empty = run.outcome == RunOutcome::Done && run.event_count == 0;
    if !is_empty || job.record_stated_end(partial, &run.upstream) {
        return run.outcome;
    }
    log::warn!(
        "event=item_end_unconfirmed job={} item={} upstream={} after_event={}",
        job.id(),
        job.item_at(partial.item_index).map_or("", |item| &*item.id),
        run.upstream,
        partial.last_event.unwrap_or(0)
    );
    RunOutcome::Interrupted
}

/// Keeps the partial output of a run in progress in memory, from where it is saved
/// periodically.
pub(super) fn update_partial(node: &Node, id: &JobId, partial: &PartialOutput) {
    let mut runner = node.runner.borrow_mut();
    if let Ok(index) = runner.find_job(id) {
        runner.jobs[index].update_partial(partial);
    }
}
