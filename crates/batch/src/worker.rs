//! The task that owns the state: it takes events and ticks.

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
    event::{ClaimOutcome, Event, HeldId, ItemEnded, OpenPage, WriteKind},
    held::{Held, Warmed},
    open_table::OpenTable,
    watch_list::WatchList,
    windows::Windows,
};

/// Time between two ticks while chunks are held.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Time between two ticks while none is held.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time for which running items may go on after a planned stop began.
const STOP_GRACE: Duration = Duration::from_secs(30);
/// Time after the last running item in which a planned stop tries to hand its
/// chunks back; leases that could not be handed back lapse.
const HAND_BACK_LIMIT: Duration = Duration::from_secs(5);
/// Time limit of telling the control program of an upstream.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks whether a job is complete, milliseconds.
const FINISH_RECHECK_MS: u64 = 3_000;
/// Delay before items are read again after a failure, milliseconds.
pub(crate) const RELOAD_MS: u64 = 500;

/// State of the batch program.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) context: Context,
    pub(crate) view: watch::Receiver<Arc<View>>,
    freshness: Freshness,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) open: OpenTable,
    pub(crate) deferrals: Vec<Deferral>,
    pub(crate) held: Vec<Held>,
    pub(crate) windows: Windows,
    pub(crate) watch_list: WatchList,
    pub(crate) schedule: Schedule,
    pub(crate) last_id: u64,
    pub(crate) started_at: Instant,
    /// Committed chunks that the open rows may still list.
    pub(crate) done: Vec<(JobId, ChunkName)>,
    stop_by: Option<Instant>,
    /// Latest end of a planned stop, once no item runs.
    end_by: Option<Instant>,
}

/// When the worker looks for work next, and what it is looking for.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    pub(crate) poll_at_ms: u64,
    pub(crate) is_polling: bool,
    pub(crate) polls: u64,
    /// Key after which the next page of the own region begins.
    pub(crate) next_page: Option<String>,
    /// Key after which the next page of all regions begins.
    pub(crate) next_global_page: Option<String>,
    pub(crate) is_claiming: bool,
    pub(crate) claim_at_ms: u64,
    /// Claims nothing until it holds nothing, to run a chunk alone.
    pub(crate) is_draining: bool,
    /// Time that the fleet needs per item, microseconds.
    pub(crate) item_us: u64,
    /// Attempts that ended since the rate was observed last.
    pub(crate) ended_items: u64,
    pub(crate) rate_since_ms: u64,
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
            open: OpenTable::default(),
            deferrals: Vec::new(),
            held: Vec::new(),
            windows: Windows::default(),
            watch_list: WatchList::default(),
            schedule: Schedule::default(),
            last_id: 0,
            started_at: Instant::now(),
            done: Vec::new(),
            stop_by: None,
            end_by: None,
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
            let pause = if self.held.is_empty() {
                IDLE_TICK
            } else {
                BUSY_TICK
            };
            tokio::select! {
                Some(event) = events.recv() => self.on_event(event),
                Ok(()) = self.view.changed() => self.on_view(),
                () = shutdown.begun(), if self.stop_by.is_none() => {
                    log::info!("event=stopping held={}", self.held.len());
                    self.stop_by = Some(Instant::now() + STOP_GRACE);
                }
                () = tokio::time::sleep(pause) => {}
            }
            while let Ok(event) = events.try_recv() {
                self.on_event(event);
            }
            self.tick();
        }
    }

    /// Time since the start, microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_by.is_some()
    }

    /// Runs `task` and reports its event.
    pub(crate) fn spawn(&self, task: impl Future<Output = Event> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            // The worker may have ended.
            let _ = events.send(task.await);
        });
    }

    fn is_stopped(&self) -> bool {
        if self.end_by.is_some_and(|end_by| Instant::now() >= end_by) {
            log::warn!("event=leases_left chunks={}", self.held.len());
            return true;
        }
        self.is_stopping() && self.held.is_empty() && !self.schedule.is_claiming
    }

    fn tick(&mut self) {
        let now_ms = unix_ms();
        if self.is_stopping() {
            self.stop_items();
        } else if self.freshness.is_fresh() {
            self.look_for_work(now_ms);
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
        let live = view
            .instances
            .iter()
            .filter(|entry| entry.liveness == Liveness::Live);
        let live = u32::try_from(live.count()).unwrap_or(u32::MAX);
        context.store.set_live_instances(live);
    }

    fn on_event(&mut self, event: Event) {
        let now_ms = unix_ms();
        match event {
            Event::Polled(result) => self.on_polled(result, now_ms),
            Event::Claimed { key, result } => self.on_claimed(&key, result, now_ms),
            Event::Loaded { held, result } => self.on_loaded(held, result, now_ms),
            Event::ItemProgressed(item) => self.windows.on_progress(item, self.now_us()),
            Event::LeavingSeen(item) => {
                self.report_refusal(item, ErrorKind::UpstreamLeaving, now_ms);
            }
            Event::ItemEnded(ended) => self.on_item_ended(ended, now_ms),
            Event::Written {
                held,
                kind,
                write,
                verdict,
            } => self.on_written(held, kind, &write, verdict, now_ms),
            Event::JobChecked {
                job,
                began_at_ms,
                result,
            } => {
                self.watch_list
                    .on_checked(&job, began_at_ms, &result, now_ms);
                if matches!(result, Ok(false)) {
                    self.drop_job(&job);
                }
            }
            Event::JobCancelled(job) => self.drop_job(&job),
            Event::Noticed(notices) => self.windows.on_notices(&notices, self.now_us()),
        }
    }

    fn on_polled(&mut self, result: Result<OpenPage, StoreError>, now_ms: u64) {
        self.schedule.is_polling = false;
        match result {
            Ok(page) => {
                if page.prefix == ALL_OPEN_PREFIX {
                    self.schedule.next_global_page.clone_from(&page.next);
                } else {
                    self.schedule.next_page.clone_from(&page.next);
                }
                self.forget_released(&page);
                self.open.merge(page);
                self.forget_old(now_ms);
            }
            Err(error) => log::debug!("event=poll_failed error={error:?}"),
        }
    }

    /// Looks again at chunks that open rows show as released since they were
    /// read last: whoever held them then may have handed them back.
    fn forget_released(&mut self, page: &OpenPage) {
        for job in &page.jobs {
            if self.open.version(&job.key) == Some(job.version) {
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
            Ok(ClaimOutcome::Held {
                chunks,
                open,
                is_alone,
            }) => {
                for chunk in chunks {
                    self.hold(chunk, &open, is_alone, now_ms);
                }
                self.open.put(open);
            }
            Ok(ClaimOutcome::Refreshed(open)) => self.open.put(open),
            Ok(ClaimOutcome::Ended) => self.open.remove(key),
            Ok(ClaimOutcome::Deferred(deferral)) => self.defer(deferral),
            Ok(ClaimOutcome::NeedsAlone(deferral)) => {
                self.schedule.is_draining = true;
                self.defer(deferral);
            }
            Ok(ClaimOutcome::Done(chunks)) => self.on_found_done(key, &chunks, now_ms),
            Err(error) => {
                log::debug!("event=claim_failed key={key} error={error:?}");
                self.schedule.claim_at_ms = now_ms + RELOAD_MS;
            }
        }
    }

    fn on_found_done(&mut self, key: &str, chunks: &[ChunkName], now_ms: u64) {
        let Some(job) = self.open.jobs().iter().find(|job| job.key == key) else {
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
            until_ms: now_ms + FINISH_RECHECK_MS,
        });
    }

    fn on_loaded(
        &mut self,
        id: HeldId,
        result: Result<(jobs::ChunkRun, usize), StoreError>,
        now_ms: u64,
    ) {
        let Some(held) = self.held.iter_mut().find(|held| held.id == id) else {
            return;
        };
        held.is_loading = false;
        match result {
            Ok((run, line_bytes)) => {
                held.run = Some(run);
                held.line_bytes = line_bytes;
            }
            Err(error) => {
                log::warn!(
                    "event=chunk_unreadable chunk={} error={error:?}",
                    held.chunk.key()
                );
                held.load_at_ms = now_ms + RELOAD_MS;
            }
        }
    }

    /// Avoids an upstream that refused an item and tells the control program.
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
        if let AttemptOutcome::NotRun(kind) = &ended.end {
            self.report_refusal(ended.batch_item, *kind, now_ms);
        }
        let upstream = self.windows.on_ended(ended.batch_item, self.now_us());
        if matches!(
            ended.end,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Failed { .. }
        ) {
            self.schedule.ended_items += 1;
        }
        let Some(held) = self.held.iter_mut().find(|held| held.id == ended.held) else {
            return;
        };
        held.running
            .retain(|running| running.batch_item != ended.batch_item);
        match (ended.warmed_tokens, upstream) {
            (Some(leading_tokens), Some(upstream)) => held.set_warmed(Warmed {
                item: ended.item,
                upstream,
                leading_tokens,
            }),
            _ => held.forget_warmed(ended.item),
        }
        if let Some(run) = &mut held.run {
            run.on_attempt_end(ended.item, ended.attempt, ended.end, now_ms);
        }
    }

    fn on_written(
        &mut self,
        id: HeldId,
        kind: WriteKind,
        write: &jobs::LeaseWrite,
        verdict: Outcome,
        now_ms: u64,
    ) {
        let Some(index) = self.held.iter().position(|held| held.id == id) else {
            return;
        };
        let Outcome::Applied { version } = verdict else {
            let held = self.held.remove(index);
            log::warn!("event=lease_lost chunk={} kind={kind:?}", held.chunk.key());
            return;
        };
        let held = &mut self.held[index];
        held.write = None;
        held.chunk.apply(write, version);
        match kind {
            WriteKind::Renew { records } => held.recorded = records,
            WriteKind::Commit => {
                let held = self.held.remove(index);
                self.on_committed(&held.chunk, now_ms);
            }
            WriteKind::HandBack => {
                let held = self.held.remove(index);
                log::info!("event=lease_returned chunk={}", held.chunk.key());
            }
        }
    }

    fn on_committed(&mut self, chunk: &HeldChunk, now_ms: u64) {
        log::debug!("event=chunk_committed chunk={}", chunk.key());
        self.done.push((chunk.job.clone(), chunk.chunk));
        self.defer(Deferral {
            job: chunk.job.clone(),
            chunk: Some(chunk.chunk),
            until_ms: u64::MAX,
        });
        self.check_finished(&chunk.job, now_ms);
    }

    /// Writes off everything held of a job that takes no results any more.
    fn drop_job(&mut self, job: &JobId) {
        let before = self.held.len();
        self.held.retain(|held| held.chunk.job != *job);
        if self.held.len() < before {
            log::info!(
                "event=job_dropped job={job} chunks={}",
                before - self.held.len()
            );
        }
        let open = self.open.jobs().iter().find(|open| open.row.job == *job);
        if let Some(key) = open.map(|open| open.key.clone()) {
            self.open.remove(&key);
        }
    }

    /// Lets running items end, or takes them back once the grace is over.
    fn stop_items(&mut self) {
        if self.end_by.is_none() && self.held.iter().all(|held| held.running.is_empty()) {
            self.end_by = Some(Instant::now() + HAND_BACK_LIMIT);
        }
        if self.stop_by.is_none_or(|stop_by| Instant::now() < stop_by) {
            return;
        }
        let running = self.held.iter_mut().flat_map(|held| &mut held.running);
        running.for_each(super::held::Running::withdraw);
    }
}
