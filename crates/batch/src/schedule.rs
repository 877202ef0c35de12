//! Decides which work the worker claims and which items it starts.

use std::sync::Arc;

use job_store::unix_ms;
use jobs::{
    ALL_OPEN_PREFIX, AttemptStart, ChunkName, Deferral, ItemRequest, OpenJob, SchedulingContext,
    Work, WorkKind, choose_work, open_prefix, region_of_open_key,
};
use model::{InstanceId, InstanceRole, JobId, Liveness, ModelName, UpstreamId, UpstreamKind};
use policy::{BatchItemId, Urgency};
use tokio::sync::oneshot;

use crate::{
    claims::{self, HeldChunksSummary},
    dispatch::{self, Attempt},
    event::{Event, ExecutionId, ItemEnded},
    held::{ChunkExecution, RunningAttempt},
    prompt::{PromptBudget, PromptSlice},
    windows,
    worker::Worker,
};

/// Reads per second that all batch processes together may use to find open jobs.
const POLL_READS_PER_S: u64 = 200;
/// Minimum interval between two polls for open jobs, in milliseconds.
const POLL_INTERVAL_MIN_MS: u64 = 500;
/// Maximum interval between two polls for open jobs, in milliseconds.
const POLL_INTERVAL_MAX_MS: u64 = 20_000;
/// One poll in this many reads the open jobs of all regions, so that the jobs of a
/// region without batch processes are found.
const POLLS_PER_GLOBAL_POLL: u64 = 8;
/// Number of waiting items per owned upstream below which another chunk is claimed.
const WAITING_ITEMS_PER_UPSTREAM: usize = 100;
/// Maximum number of held chunks per owned upstream.
const HELD_CHUNKS_PER_UPSTREAM: usize = 2;
/// Number of chunks that may be held in addition to [`HELD_CHUNKS_PER_UPSTREAM`].
const HELD_CHUNKS_EXTRA: usize = 2;
/// Time over which the rate of items is measured, in milliseconds.
const RATE_WINDOW_MS: u64 = 5_000;
/// Path prefix of the endpoints of plain services.
const SERVICE_ENDPOINT_PREFIX: &str = "/services/";
/// Factor by which item rates are scaled, so that low rates are not rounded down to
/// zero.
const RATE_SCALE: u64 = 1_000;
const MS_PER_S: u64 = 1_000;
const US_PER_MS: u64 = 1_000;

impl Worker {
    /// Polls for open jobs if that is due, and claims work if there is capacity.
    pub(crate) fn poll_and_claim(&mut self, now_ms: u64) {
        let view = Arc::clone(&self.view.borrow());
        let peers = windows::batch_peers(&view, &self.context.instance);
        self.observe_rate(peers.len(), now_ms);
        if now_ms >= self.schedule.next_poll_ms && !self.schedule.is_polling {
            self.poll(peers.len(), now_ms);
        }
        if self.schedule.is_claiming || now_ms < self.schedule.next_claim_ms {
            return;
        }
        if let Some(work) = self.choose_next_work(&peers, now_ms) {
            self.claim(work);
        }
    }

    /// Starts items as far as the batch windows allow, and preempts the items that the
    /// windows select.
    pub(crate) fn start_items(&mut self, now_ms: u64) {
        let urgency = self.urgency(now_ms);
        self.held_chunks
            .sort_by_key(|execution| execution.deadline_ms);
        let used_bytes: usize = self
            .held_chunks
            .iter()
            .map(ChunkExecution::memory_bytes)
            .sum();
        // A single chunk may always run. Otherwise a chunk larger than the memory limit
        // would never complete and its memory would never be freed.
        let has_memory =
            used_bytes < self.context.memory_limit_bytes || self.held_chunks.len() == 1;
        for index in 0..self.windows.owned().len() {
            let plan = self.windows.plan(index, urgency, self.now_us());
            for item in &plan.cancel {
                self.preempt(*item);
            }
            if !has_memory {
                continue;
            }
            let mut remaining_tokens = plan.start_prompt_tokens;
            for started in 0..plan.start_items {
                let budget = PromptBudget {
                    prompt_tokens: remaining_tokens,
                    may_exceed: started == 0 && plan.first_item_may_exceed,
                };
                match self.start_item(index, budget, now_ms) {
                    Some(tokens) => remaining_tokens = remaining_tokens.saturating_sub(tokens),
                    None => break,
                }
            }
        }
    }

    /// Returns whether items of a chunk may start.
    pub(crate) fn may_start(&self, execution: &ChunkExecution, now_ms: u64) -> bool {
        self.watch_list.may_start(&execution.chunk.job, now_ms)
    }

    /// Returns whether calls to an endpoint are idempotent, so that they may be repeated
    /// after they may have run.
    pub(crate) fn is_idempotent(&self, endpoint: &str) -> bool {
        let Some(service) = service_of(endpoint) else {
            return true;
        };
        let view = self.view.borrow();
        match view
            .config
            .service_class(service)
            .map(|class| &class.target)
        {
            Some(model::ClassTarget::Service(target)) => target.idempotent,
            _ => false,
        }
    }

    /// Records when a chunk or job is to be checked again. Replaces an earlier deferral
    /// of the same chunk or job.
    pub(crate) fn defer(&mut self, deferral: Deferral) {
        let existing = self
            .deferrals
            .iter_mut()
            .find(|entry| entry.job == deferral.job && entry.chunk == deferral.chunk);
        match existing {
            Some(entry) => *entry = deferral,
            None => self.deferrals.push(deferral),
        }
    }

    /// Removes lapsed deferrals, and deferrals and committed chunks of jobs that are no
    /// longer open.
    pub(crate) fn prune_closed_jobs(&mut self, now_ms: u64) {
        let open = self.open_jobs.jobs();
        let is_open = |job: &JobId| open.iter().any(|other| other.row.job == *job);
        self.deferrals
            .retain(|entry| entry.until_ms > now_ms && is_open(&entry.job));
        self.committed_chunks.retain(|(job, _)| is_open(job));
    }

    /// Makes the completion check of a job due at once, if all its chunks have been
    /// claimed.
    pub(crate) fn schedule_completion_check(&mut self, job: &JobId, now_ms: u64) {
        let is_last = self
            .open_jobs
            .jobs()
            .iter()
            .any(|open| open.row.job == *job && open.row.cursor >= open.row.chunks);
        if is_last {
            self.defer(Deferral {
                job: job.clone(),
                chunk: None,
                until_ms: now_ms,
            });
        }
    }

    fn poll(&mut self, peers: usize, now_ms: u64) {
        let peers = u64::try_from(peers).unwrap_or(u64::MAX);
        let interval_ms =
            (peers * MS_PER_S / POLL_READS_PER_S).clamp(POLL_INTERVAL_MIN_MS, POLL_INTERVAL_MAX_MS);
        self.schedule.next_poll_ms = now_ms + interval_ms;
        self.schedule.is_polling = true;
        self.schedule.poll_count += 1;
        let context = self.context.clone();
        let region_prefix = open_prefix(&context.region);
        let (prefix, after) = if self
            .schedule
            .poll_count
            .is_multiple_of(POLLS_PER_GLOBAL_POLL)
        {
            let after = self.schedule.next_global_page.take();
            (ALL_OPEN_PREFIX.to_owned(), after)
        } else if self.schedule.poll_count.is_multiple_of(2) {
            (region_prefix, self.schedule.next_region_page.take())
        } else {
            // Every second poll starts at the first page, with the most urgent jobs.
            (region_prefix, None)
        };
        self.spawn(
            async move { Event::Polled(claims::poll_open_jobs(&context, prefix, after).await) },
        );
    }

    fn choose_next_work(&self, peers: &[InstanceId], now_ms: u64) -> Option<Work> {
        let jobs = self.open_jobs.jobs().iter();
        let capable_instances: Vec<_> = jobs.map(|job| self.capable_instances(job)).collect();
        let held_chunks: Vec<(JobId, ChunkName)> = self
            .held_chunks
            .iter()
            .map(|execution| (execution.chunk.job.clone(), execution.chunk.chunk))
            .collect();
        let scheduling_context = SchedulingContext {
            instance: &self.context.instance,
            peers,
            deferrals: &self.deferrals,
            capable_instances: &capable_instances,
            has_capacity: self.has_capacity(),
            held_chunks: &held_chunks,
            item_us: self.schedule.item_us,
            now_ms,
        };
        choose_work(self.open_jobs.jobs(), &scheduling_context)
    }

    fn claim(&mut self, work: Work) {
        self.schedule.is_claiming = true;
        let job = self.open_jobs.jobs()[work.job_index].clone();
        if work.kind == WorkKind::CompletionCheck {
            self.defer(Deferral {
                job: job.row.job.clone(),
                chunk: None,
                until_ms: unix_ms() + MS_PER_S,
            });
        }
        let job_chunks = self
            .committed_chunks
            .iter()
            .filter(|(id, _)| *id == job.row.job);
        let committed_chunks: Vec<ChunkName> = job_chunks.map(|(_, chunk)| *chunk).collect();
        let held_chunks = HeldChunksSummary {
            has_suspect: self
                .held_chunks
                .iter()
                .any(|execution| execution.chunk.row.is_suspect()),
            is_empty: self.held_chunks.is_empty(),
        };
        let context = self.context.clone();
        self.spawn(async move {
            let key = job.key.clone();
            let result =
                claims::claim(&context, job, work.kind, &committed_chunks, held_chunks).await;
            Event::Claimed { key, result }
        });
    }

    /// Returns the processes that can run the items of a job, or none if this region must
    /// not run the job.
    fn capable_instances(&self, job: &OpenJob) -> Vec<InstanceId> {
        if !self.is_eligible(job) {
            return Vec::new();
        }
        let service = service_of(&job.row.endpoint);
        self.windows.capable_instances(&job.row.models, service)
    }

    /// Returns whether a job belongs to this region or to a region without a live batch
    /// process.
    fn is_eligible(&self, job: &OpenJob) -> bool {
        let region = region_of_open_key(&job.key).unwrap_or_default();
        let view = self.view.borrow();
        region == self.context.region.as_str()
            || !view.instances.iter().any(|entry| {
                entry.role == InstanceRole::Batch
                    && entry.liveness == Liveness::Live
                    && entry.region.as_str() == region
            })
    }

    fn has_capacity(&self) -> bool {
        if self.schedule.is_draining
            || self
                .held_chunks
                .iter()
                .any(|execution| execution.is_exclusive)
        {
            return self.held_chunks.is_empty();
        }
        let upstreams = self.windows.owned().len();
        let waiting: usize = self
            .held_chunks
            .iter()
            .map(ChunkExecution::waiting_count)
            .sum();
        let is_loading = self
            .held_chunks
            .iter()
            .any(|execution| execution.run.is_none());
        let memory_bytes: usize = self
            .held_chunks
            .iter()
            .map(ChunkExecution::memory_bytes)
            .sum();
        !is_loading
            && waiting < WAITING_ITEMS_PER_UPSTREAM * upstreams
            && self.held_chunks.len() < HELD_CHUNKS_PER_UPSTREAM * upstreams + HELD_CHUNKS_EXTRA
            && memory_bytes < self.context.memory_limit_bytes / 2
    }

    /// Starts an item at an upstream, with its whole prompt or a part of it. Returns the
    /// number of prompt tokens that the upstream has to prefill, or `None` if no item
    /// can be started.
    fn start_item(&mut self, index: usize, budget: PromptBudget, now_ms: u64) -> Option<u32> {
        let owned = &self.windows.owned()[index];
        let (upstream, kind) = (owned.upstream.clone(), owned.kind.clone());
        let (id, start, slice) = self.next_item(&upstream, &kind, budget, now_ms)?;
        let prompt_tokens = slice.uncached_tokens();
        let started_at_us = self.now_us();
        self.last_id += 1;
        let batch_item: BatchItemId = self.last_id;
        self.windows
            .on_started(index, batch_item, prompt_tokens, started_at_us);
        self.spawn_attempt(index, id, start, batch_item, slice);
        Some(prompt_tokens)
    }

    /// Takes the next item that an upstream can run and whose prompt, or a part of it,
    /// fits into the budget. Items of which another upstream has cached a prompt prefix
    /// come last.
    fn next_item(
        &mut self,
        upstream: &UpstreamId,
        kind: &UpstreamKind,
        budget: PromptBudget,
        now_ms: u64,
    ) -> Option<(ExecutionId, AttemptStart, PromptSlice)> {
        for include_cached_elsewhere in [false, true] {
            for index in 0..self.held_chunks.len() {
                if !self.may_start(&self.held_chunks[index], now_ms) {
                    continue;
                }
                let held = &mut self.held_chunks[index];
                let service = service_of(&held.endpoint);
                let slice = |item: u32, request: &ItemRequest| {
                    let cached = held
                        .cached_prefixes
                        .iter()
                        .find(|cached| cached.item == item);
                    let cached_here = cached.filter(|cached| cached.upstream == *upstream);
                    if cached.is_some() && cached_here.is_none() && !include_cached_elsewhere {
                        return None;
                    }
                    let cached_tokens = cached_here.map_or(0, |cached| cached.leading_tokens);
                    PromptSlice::choose(request, cached_tokens, budget)
                };
                let is_runnable = |item: u32, request: &ItemRequest| match (kind, service) {
                    (UpstreamKind::Service { service: name }, Some(service)) => {
                        name.as_str() == service
                    }
                    (UpstreamKind::Engine { models }, None) => {
                        serves_item(models, request) && slice(item, request).is_some()
                    }
                    _ => false,
                };
                let Some(run) = &mut held.run else { continue };
                if let Some(start) = run.start_next(&held.chunk.row, now_ms, is_runnable) {
                    let slice = slice(start.item, &start.request);
                    let slice = slice.unwrap_or(PromptSlice::Whole { uncached_tokens: 0 });
                    return Some((held.id, start, slice));
                }
            }
        }
        None
    }

    fn spawn_attempt(
        &mut self,
        index: usize,
        id: ExecutionId,
        start: AttemptStart,
        batch_item: BatchItemId,
        slice: PromptSlice,
    ) {
        let Some(execution) = self
            .held_chunks
            .iter_mut()
            .find(|execution| execution.id == id)
        else {
            return;
        };
        let (preempt, preempted) = oneshot::channel();
        let (item, attempt) = (start.item, start.attempt);
        execution
            .running_attempts
            .push(RunningAttempt::new(batch_item, preempt));
        let pending_attempt = Attempt {
            client: self.context.upstreams.clone(),
            address: self.windows.owned()[index].address,
            start,
            batch_item,
            slice,
            service_path: service_path(&execution.endpoint),
            is_idempotent: execution.is_idempotent,
            events: self.events.clone(),
        };
        self.spawn(async move {
            let (outcome, cached_tokens) = pending_attempt.run(preempted).await;
            Event::ItemEnded(ItemEnded {
                execution: id,
                item,
                attempt,
                batch_item,
                outcome,
                cached_tokens,
            })
        });
    }

    fn preempt(&mut self, item: BatchItemId) {
        let mut running_attempts = self
            .held_chunks
            .iter_mut()
            .flat_map(|execution| &mut execution.running_attempts);
        if let Some(attempt) = running_attempts.find(|attempt| attempt.batch_item == item) {
            attempt.preempt();
        }
    }

    fn urgency(&self, now_ms: u64) -> Urgency {
        if self.schedule.item_us == 0 {
            return Urgency::NONE;
        }
        let scaled_items_per_s = RATE_SCALE * 1_000_000 / self.schedule.item_us;
        let job_urgency = |job: &OpenJob| {
            let unclaimed = u64::from(job.row.chunks - job.row.cursor);
            let items = u64::from(job.row.items) * unclaimed / u64::from(job.row.chunks.max(1));
            let deadline_us = job.row.deadline_ms * US_PER_MS;
            Urgency::new(
                items * RATE_SCALE,
                scaled_items_per_s,
                deadline_us,
                now_ms * US_PER_MS,
            )
        };
        let urgencies = self.open_jobs.jobs().iter().map(job_urgency);
        urgencies.fold(Urgency::NONE, Urgency::max)
    }

    fn observe_rate(&mut self, peers: usize, now_ms: u64) {
        let schedule = &mut self.schedule;
        let elapsed_ms = now_ms.saturating_sub(schedule.rate_window_start_ms);
        if elapsed_ms < RATE_WINDOW_MS {
            return;
        }
        let fleet_items = schedule.ended_attempts * u64::try_from(peers).unwrap_or(u64::MAX);
        if let Some(item_us) = (elapsed_ms * US_PER_MS).checked_div(fleet_items)
            && schedule.rate_window_start_ms > 0
        {
            schedule.item_us = item_us.max(1);
        }
        schedule.rate_window_start_ms = now_ms;
        schedule.ended_attempts = 0;
    }
}

/// Returns the service that an endpoint belongs to, if it is one of a plain service.
pub(crate) fn service_of(endpoint: &str) -> Option<&str> {
    endpoint
        .strip_prefix(SERVICE_ENDPOINT_PREFIX)?
        .split('/')
        .next()
}

/// Returns the path of an endpoint relative to its service.
fn service_path(endpoint: &str) -> Option<String> {
    let rest = endpoint.strip_prefix(SERVICE_ENDPOINT_PREFIX)?;
    let path = rest.split_once('/').map_or("", |(_, path)| path);
    Some(format!("/{path}"))
}

/// Returns whether an engine with these models can run an item. An item that names no
/// model may go to any engine: the engine refuses it, and the refusal becomes its
/// result.
fn serves_item(models: &[ModelName], request: &ItemRequest) -> bool {
    dispatch::item_model(request)
        .is_none_or(|model| models.iter().any(|loaded| loaded.as_str() == model))
}
