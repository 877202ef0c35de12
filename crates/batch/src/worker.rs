//! The task that owns the state of the batch program and handles events and timer ticks.

use std::{sync::Arc, time::Duration};

use job_store::{StoreError, unix_ms};
use jobs::{ALL_OPEN_PREFIX, AttemptOutcome, ChunkName, Deferral, HeldChunk, Outcome};
use membership::UpstreamEvidence;
use model::{ErrorKind, JobId, Liveness, View};
use peer::{Freshness, PeerRequest};
use policy::BatchItemId;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{
    context::Context,
    event::{ClaimOutcome, Event, ExecutionId, ItemEnded, OpenPage, WriteKind},
    held::{CachedPrefix, ChunkExecution},
    open_jobs::OpenJobs,
    watch_list::WatchList,
    windows::Windows,
};

/// Tick interval while chunks are held.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Tick interval while no chunk is held.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time for which running items may continue after a planned stop has begun.
const STOP_GRACE_PERIOD: Duration = Duration::from_secs(30);
/// Time-out of releasing the held chunks during a planned stop, counted from the end of
/// the last running item. Leases that were not released by then lapse.
const STOP_RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time-out of reporting evidence about an upstream to the control program.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two completion checks of a job, in milliseconds.
const COMPLETION_RECHECK_MS: u64 = 3_000;
/// Delay before items are read again or work is claimed again after a failure, in
/// milliseconds.
pub(crate) const FAILURE_RETRY_DELAY_MS: u64 = 500;

/// State of the batch program.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) context: Context,
    pub(crate) view: watch::Receiver<Arc<View>>,
    freshness: Freshness,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) open_jobs: OpenJobs,
    pub(crate) deferrals: Vec<Deferral>,
    pub(crate) held_chunks: Vec<ChunkExecution>,
    pub(crate) windows: Windows,
    pub(crate) watch_list: WatchList,
    pub(crate) schedule: Schedule,
    /// Last identifier assigned to a chunk execution or to an attempt.
    pub(crate) last_id: u64,
    pub(crate) started_at: Instant,
    /// Chunks committed by this process. The open rows of their jobs may still list them
    /// as active.
    pub(crate) committed_chunks: Vec<(JobId, ChunkName)>,
    /// Time at which running items are preempted; set once a planned stop has begun.
    stop_deadline: Option<Instant>,
    /// Latest end of a planned stop; set once no item is running.
    release_deadline: Option<Instant>,
}

/// Timing of polls and claims, and the observed item rate.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    pub(crate) next_poll_ms: u64,
    pub(crate) is_polling: bool,
    pub(crate) poll_count: u64,
    /// Key after which the next page of open jobs of this region starts.
    pub(crate) next_region_page: Option<String>,
    /// Key after which the next page of open jobs of all regions starts.
    pub(crate) next_global_page: Option<String>,
    pub(crate) is_claiming: bool,
    pub(crate) next_claim_ms: u64,
    /// Whether nothing is claimed until no chunk is held, because a chunk must run
    /// alone.
    pub(crate) is_draining: bool,
    /// Average time per item in the whole fleet, in microseconds; 0 until it has been
    /// measured.
    pub(crate) item_us: u64,
    /// Number of attempts that ended since the rate was last measured.
    pub(crate) ended_attempts: u64,
    pub(crate) rate_window_start_ms: u64,
}

impl Worker {
    pub(crate) fn new(
        context: Context,
        view: watch::Receiver<Arc<View>>,
        freshness: Freshness,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        Self {
            context,
            view,
            freshness,
            events,
            open_jobs: OpenJobs::default(),
            deferrals: Vec::new(),
            held_chunks: Vec::new(),
            windows: Windows::default(),
            watch_list: WatchList::default(),
            schedule: Schedule::default(),
            last_id: 0,
            started_at: Instant::now(),
            committed_chunks: Vec::new(),
            stop_deadline: None,
            release_deadline: None,
        }
    }

    /// Runs until a planned stop is complete.
    pub(crate) async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        shutdown: process::Shutdown,
    ) {
        self.on_view();
        while !self.is_stopped() {
            let tick_interval = if self.held_chunks.is_empty() {
                IDLE_TICK
            } else {
                BUSY_TICK
            };
            tokio::select! {
                Some(event) = events.recv() => self.on_event(event),
                Ok(()) = self.view.changed() => self.on_view(),
                () = shutdown.begun(), if self.stop_deadline.is_none() => {
                    log::info!("event=stopping held={}", self.held_chunks.len());
                    self.stop_deadline = Some(Instant::now() + STOP_GRACE_PERIOD);
                }
                () = tokio::time::sleep(tick_interval) => {}
            }
            while let Ok(event) = events.try_recv() {
                self.on_event(event);
            }
            self.tick();
        }
    }

    /// Returns the time since the start of the worker, in microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_deadline.is_some()
    }

    /// Spawns `task` and sends the event that it returns to the worker.
    pub(crate) fn spawn(&self, task: impl Future<Output = Event> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            // Sending fails only if the worker has ended.
            let _ = events.send(task.await);
        });
    }

    fn is_stopped(&self) -> bool {
        if self
            .release_deadline
            .is_some_and(|release_deadline| Instant::now() >= release_deadline)
        {
            log::warn!("event=leases_left chunks={}", self.held_chunks.len());
            return true;
        }
        self.is_stopping() && self.held_chunks.is_empty() && !self.schedule.is_claiming
    }

    fn tick(&mut self) {
        let now_ms = unix_ms();
        if self.is_stopping() {
            self.stop_items();
        } else if self.freshness.is_fresh() {
            self.poll_and_claim(now_ms);
            self.start_items(now_ms);
        }
        self.load_chunks(now_ms);
        self.check_jobs(now_ms);
        self.write_chunks(now_ms);
    }

    fn on_view(&mut self) {
        let view = Arc::clone(&self.view.borrow_and_update());
        let context = &self.context;
        self.windows.on_view(&view, &context.instance);
        let live_instances = view
            .instances
            .iter()
            .filter(|entry| entry.liveness == Liveness::Live);
        let live_instances = u32::try_from(live_instances.count()).unwrap_or(u32::MAX);
        context.store.set_live_instances(live_instances);
    }

    fn on_event(&mut self, event: Event) {
        let now_ms = unix_ms();
        match event {
            Event::Polled(result) => self.on_polled(result, now_ms),
            Event::Claimed { key, result } => self.on_claimed(&key, result, now_ms),
            Event::ChunkLoaded { execution, result } => self.on_loaded(execution, result, now_ms),
            Event::ItemProgressed(item) => self.windows.on_progress(item, self.now_us()),
            Event::LeavingReported(item) => {
                self.report_refusal(item, ErrorKind::UpstreamLeaving, now_ms);
            }
            Event::ItemEnded(ended) => self.on_item_ended(ended, now_ms),
            Event::ChunkWritten {
                execution,
                kind,
                write,
                outcome,
            } => self.on_written(execution, kind, &write, outcome, now_ms),
            Event::JobChecked {
                job,
                started_at_ms,
                result,
            } => {
                self.watch_list
                    .on_checked(&job, started_at_ms, &result, now_ms);
                if matches!(result, Ok(false)) {
                    self.drop_job(&job);
                }
            }
            Event::JobCancelled(job) => self.drop_job(&job),
            Event::NoticesReceived(notices) => self.windows.on_notices(&notices, self.now_us()),
        }
    }

    fn on_polled(&mut self, result: Result<OpenPage, StoreError>, now_ms: u64) {
        self.schedule.is_polling = false;
        match result {
            Ok(page) => {
                if page.prefix == ALL_OPEN_PREFIX {
                    self.schedule.next_global_page.clone_from(&page.next);
                } else {
                    self.schedule.next_region_page.clone_from(&page.next);
                }
                self.remove_released_deferrals(&page);
                self.open_jobs.merge(page);
                self.prune_closed_jobs(now_ms);
            }
            Err(error) => log::debug!("event=poll_failed error={error:?}"),
        }
    }

    /// Removes deferrals of chunks that a changed open row shows as released, so that
    /// they can be claimed at once: the holder may have released them since the row was
    /// last read.
    fn remove_released_deferrals(&mut self, page: &OpenPage) {
        for job in &page.jobs {
            if self.open_jobs.version(&job.key) == Some(job.version) {
                continue;
            }
            let active = &job.row.active;
            let is_released = |chunk: ChunkName| {
                let mut entries = active.iter();
                entries.any(|entry| entry.chunk == chunk && entry.holder.is_none())
            };
            self.deferrals.retain(|deferral| {
                deferral.job != job.row.job
                    || deferral.until_ms == u64::MAX
                    || !deferral.chunk.is_some_and(is_released)
            });
        }
    }

    fn on_claimed(&mut self, key: &str, result: Result<ClaimOutcome, StoreError>, now_ms: u64) {
        self.schedule.is_claiming = false;
        match result {
            Ok(ClaimOutcome::Claimed {
                chunks,
                open,
                is_exclusive,
            }) => {
                for chunk in chunks {
                    self.add_chunk(chunk, &open, is_exclusive, now_ms);
                }
                self.open_jobs.upsert(open);
            }
            Ok(ClaimOutcome::Refreshed(open)) => self.open_jobs.upsert(open),
            Ok(ClaimOutcome::JobEnded) => self.open_jobs.remove(key),
            Ok(ClaimOutcome::Deferred(deferral)) => self.defer(deferral),
            Ok(ClaimOutcome::NeedsExclusive(deferral)) => {
                self.schedule.is_draining = true;
                self.defer(deferral);
            }
            Ok(ClaimOutcome::ChunksDone(chunks)) => self.on_chunks_done(key, &chunks, now_ms),
            Err(error) => {
                log::debug!("event=claim_failed key={key} error={error:?}");
                self.schedule.next_claim_ms = now_ms + FAILURE_RETRY_DELAY_MS;
            }
        }
    }

    fn on_chunks_done(&mut self, key: &str, chunks: &[ChunkName], now_ms: u64) {
        let Some(job) = self.open_jobs.jobs().iter().find(|job| job.key == key) else {
            return;
        };
        let id = job.row.job.clone();
        for chunk in chunks {
            self.defer(Deferral {
                job: id.clone(),
                chunk: Some(*chunk),
                until_ms: u64::MAX,
            });
        }
        self.defer(Deferral {
            job: id,
            chunk: None,
            until_ms: now_ms + COMPLETION_RECHECK_MS,
        });
    }

    fn on_loaded(
        &mut self,
        id: ExecutionId,
        result: Result<(jobs::ChunkRun, usize), StoreError>,
        now_ms: u64,
    ) {
        let Some(execution) = self
            .held_chunks
            .iter_mut()
            .find(|execution| execution.id == id)
        else {
            return;
        };
        execution.is_loading = false;
        match result {
            Ok((run, line_bytes)) => {
                execution.run = Some(run);
                execution.line_bytes = line_bytes;
            }
            Err(error) => {
                log::warn!(
                    "event=chunk_unreadable chunk={} error={error:?}",
                    execution.chunk.key()
                );
                execution.next_load_ms = now_ms + FAILURE_RETRY_DELAY_MS;
            }
        }
    }

    /// Stops sending work for a while to an upstream that refused an item, and reports
    /// the refusal to the control program.
    fn report_refusal(&mut self, item: BatchItemId, kind: ErrorKind, now_ms: u64) {
        let refused = self.windows.on_refused(item, kind, self.now_us());
        let Some((id, liveness)) = refused else {
            return;
        };
        let request = PeerRequest::Evidence(vec![UpstreamEvidence {
            id,
            liveness,
            seen_at_ms: now_ms,
        }]);
        let context = self.context.clone();
        tokio::spawn(async move {
            let deadline = Instant::now() + EVIDENCE_TIMEOUT;
            let call = context.peers.call(&context.control, &request, deadline);
            if let Err(error) = call.await {
                log::debug!("event=evidence_lost error={error:?}");
            }
        });
    }

    fn on_item_ended(&mut self, ended: ItemEnded, now_ms: u64) {
        if let AttemptOutcome::NotRun(kind) = &ended.outcome {
            self.report_refusal(ended.batch_item, *kind, now_ms);
        }
        let upstream = self.windows.on_ended(ended.batch_item, self.now_us());
        if matches!(
            ended.outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Failed { .. }
        ) {
            self.schedule.ended_attempts += 1;
        }
        let Some(execution) = self
            .held_chunks
            .iter_mut()
            .find(|execution| execution.id == ended.execution)
        else {
            return;
        };
        execution
            .running_attempts
            .retain(|attempt| attempt.batch_item != ended.batch_item);
        match (ended.cached_tokens, upstream) {
            (Some(leading_tokens), Some(upstream)) => execution.set_cached_prefix(CachedPrefix {
                item: ended.item,
                upstream,
                leading_tokens,
            }),
            _ => execution.remove_cached_prefix(ended.item),
        }
        if let Some(run) = &mut execution.run {
            run.on_attempt_end(ended.item, ended.attempt, ended.outcome, now_ms);
        }
    }

    fn on_written(
        &mut self,
        id: ExecutionId,
        kind: WriteKind,
        write: &jobs::LeaseWrite,
        outcome: Outcome,
        now_ms: u64,
    ) {
        let Some(index) = self
            .held_chunks
            .iter()
            .position(|execution| execution.id == id)
        else {
            return;
        };
        let Outcome::Applied { version } = outcome else {
            let execution = self.held_chunks.remove(index);
            log::warn!(
                "event=lease_lost chunk={} kind={kind:?}",
                execution.chunk.key()
            );
            return;
        };
        let execution = &mut self.held_chunks[index];
        execution.write = None;
        execution.chunk.apply(write, version);
        match kind {
            WriteKind::Renew { records } => execution.saved_records = records,
            WriteKind::Commit => {
                let execution = self.held_chunks.remove(index);
                self.on_committed(&execution.chunk, now_ms);
            }
            WriteKind::HandBack => {
                let execution = self.held_chunks.remove(index);
                log::info!("event=lease_returned chunk={}", execution.chunk.key());
            }
        }
    }

    fn on_committed(&mut self, chunk: &HeldChunk, now_ms: u64) {
        log::debug!("event=chunk_committed chunk={}", chunk.key());
        self.committed_chunks.push((chunk.job.clone(), chunk.chunk));
        self.defer(Deferral {
            job: chunk.job.clone(),
            chunk: Some(chunk.chunk),
            until_ms: u64::MAX,
        });
        self.schedule_completion_check(&chunk.job, now_ms);
    }

    /// Drops all held chunks of a job that is no longer open and accepts no results.
    fn drop_job(&mut self, job: &JobId) {
        let before = self.held_chunks.len();
        self.held_chunks
            .retain(|execution| execution.chunk.job != *job);
        if self.held_chunks.len() < before {
            log::info!(
                "event=job_dropped job={job} chunks={}",
                before - self.held_chunks.len()
            );
        }
        let open = self
            .open_jobs
            .jobs()
            .iter()
            .find(|open| open.row.job == *job);
        if let Some(key) = open.map(|open| open.key.clone()) {
            self.open_jobs.remove(&key);
        }
    }

    /// Lets running items end, and preempts them once the grace period is over.
    fn stop_items(&mut self) {
        if self.release_deadline.is_none()
            && self
                .held_chunks
                .iter()
                .all(|execution| execution.running_attempts.is_empty())
        {
            self.release_deadline = Some(Instant::now() + STOP_RELEASE_TIMEOUT);
        }
        if self
            .stop_deadline
            .is_none_or(|stop_deadline| Instant::now() < stop_deadline)
        {
            return;
        }
        let running_attempts = self
            .held_chunks
            .iter_mut()
            .flat_map(|execution| &mut execution.running_attempts);
        running_attempts.for_each(super::held::RunningAttempt::preempt);
    }
}
