//! What the worker claims and which items it starts.

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
    claims::{self, Holdings},
    dispatch::{self, Attempt},
    event::{Event, HeldId, ItemEnded},
    held::{Held, Running},
    prompt::{Allowance, Share},
    windows,
    worker::Worker,
};

/// Reads a second that all batch processes together spend on finding jobs.
const POLL_READS_PER_S: u64 = 200;
/// Shortest time between two looks for jobs, milliseconds.
const POLL_MIN_MS: u64 = 500;
/// Longest time between two looks for jobs, milliseconds.
const POLL_MAX_MS: u64 = 20_000;
/// Looks of which one is at the open jobs of all regions, so that those of a
/// region without batch processes are found.
const POLLS_PER_GLOBAL: u64 = 8;
/// Items that wait, per owned upstream, below which another chunk is claimed.
const WAITING_PER_UPSTREAM: usize = 100;
/// Most chunks held at once, for each owned upstream.
const HELD_PER_UPSTREAM: usize = 2;
/// Chunks held at once beyond that.
const HELD_MORE: usize = 2;
/// Time over which the rate of items is observed, milliseconds.
const RATE_WINDOW_MS: u64 = 5_000;
/// Prefix of the endpoints of plain services.
const SERVICE_PREFIX: &str = "/services/";
/// Parts of an item in which rates are counted, so that slow ones do not
/// round to zero.
const ITEM_PARTS: u64 = 1_000;
const MS_PER_S: u64 = 1_000;
const US_PER_MS: u64 = 1_000;

impl Worker {
    /// Looks for open jobs and claims work if there is room.
    pub(crate) fn look_for_work(&mut self, now_ms: u64) {
        let view = Arc::clone(&self.view.borrow());
        let peers = windows::batch_peers(&view, &self.context.instance);
        self.observe_rate(peers.len(), now_ms);
        if now_ms >= self.schedule.poll_at_ms && !self.schedule.is_polling {
            self.poll(peers.len(), now_ms);
        }
        if self.schedule.is_claiming || now_ms < self.schedule.claim_at_ms {
            return;
        }
        if let Some(work) = self.choose(&peers, now_ms) {
            self.claim(work);
        }
    }

    /// Starts items as far as the windows allow, and takes back what they ask
    /// for.
    pub(crate) fn start_items(&mut self, now_ms: u64) {
        let urgency = self.urgency(now_ms);
        self.held.sort_by_key(|held| held.deadline_ms);
        let used: usize = self.held.iter().map(Held::memory_bytes).sum();
        // One chunk may always run, or nothing would ever leave the memory.
        let has_memory = used < self.context.memory_limit_bytes || self.held.len() == 1;
        for index in 0..self.windows.owned().len() {
            let plan = self.windows.plan(index, urgency, self.now_us());
            for item in &plan.cancel {
                self.withdraw(*item);
            }
            if !has_memory {
                continue;
            }
            let mut left_tokens = plan.start_prompt_tokens;
            for started in 0..plan.start_items {
                let allowance = Allowance {
                    prompt_tokens: left_tokens,
                    may_exceed: started == 0 && plan.first_item_may_exceed,
                };
                match self.start_one(index, allowance, now_ms) {
                    Some(tokens) => left_tokens = left_tokens.saturating_sub(tokens),
                    None => break,
                }
            }
        }
    }

    /// Whether items of a chunk may start.
    pub(crate) fn may_start(&self, held: &Held, now_ms: u64) -> bool {
        self.watch_list.may_start(&held.chunk.job, now_ms)
    }

    /// Whether calls to an endpoint may be repeated after they may have run.
    pub(crate) fn is_repeatable(&self, endpoint: &str) -> bool {
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

    /// Remembers when to look at a chunk or job again.
    pub(crate) fn defer(&mut self, deferral: Deferral) {
        let same = self
            .deferrals
            .iter_mut()
            .find(|entry| entry.job == deferral.job && entry.chunk == deferral.chunk);
        match same {
            Some(entry) => *entry = deferral,
            None => self.deferrals.push(deferral),
        }
    }

    /// Forgets deferrals of jobs that are no longer open.
    pub(crate) fn forget_old(&mut self, now_ms: u64) {
        let open = self.open.jobs();
        let is_open = |job: &JobId| open.iter().any(|other| other.row.job == *job);
        self.deferrals
            .retain(|entry| entry.until_ms > now_ms && is_open(&entry.job));
        self.done.retain(|(job, _)| is_open(job));
    }

    /// Looks at once whether a job is complete.
    pub(crate) fn check_finished(&mut self, job: &JobId, now_ms: u64) {
        let is_last = self
            .open
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
        let interval_ms = (peers * MS_PER_S / POLL_READS_PER_S).clamp(POLL_MIN_MS, POLL_MAX_MS);
        self.schedule.poll_at_ms = now_ms + interval_ms;
        self.schedule.is_polling = true;
        self.schedule.polls += 1;
        let context = self.context.clone();
        let own = open_prefix(&context.region);
        let (prefix, after) = if self.schedule.polls.is_multiple_of(POLLS_PER_GLOBAL) {
            let after = self.schedule.next_global_page.take();
            (ALL_OPEN_PREFIX.to_owned(), after)
        } else if self.schedule.polls.is_multiple_of(2) {
            (own, self.schedule.next_page.take())
        } else {
            // Every other page begins with the most urgent jobs.
            (own, None)
        };
        self.spawn(async move { Event::Polled(claims::poll(&context, prefix, after).await) });
    }

    fn choose(&self, peers: &[InstanceId], now_ms: u64) -> Option<Work> {
        let jobs = self.open.jobs().iter();
        let capable: Vec<_> = jobs.map(|job| self.capable(job)).collect();
        let held: Vec<(JobId, ChunkName)> = self
            .held
            .iter()
            .map(|held| (held.chunk.job.clone(), held.chunk.chunk))
            .collect();
        let chooser = SchedulingContext {
            instance: &self.context.instance,
            peers,
            deferrals: &self.deferrals,
            capable_instances: &capable,
            has_capacity: self.has_room(),
            held_chunks: &held,
            item_us: self.schedule.item_us,
            now_ms,
        };
        choose_work(self.open.jobs(), &chooser)
    }

    fn claim(&mut self, work: Work) {
        self.schedule.is_claiming = true;
        let job = self.open.jobs()[work.job_index].clone();
        if work.kind == WorkKind::CompletionCheck {
            self.defer(Deferral {
                job: job.row.job.clone(),
                chunk: None,
                until_ms: unix_ms() + MS_PER_S,
            });
        }
        let of_job = self.done.iter().filter(|(id, _)| *id == job.row.job);
        let done: Vec<ChunkName> = of_job.map(|(_, chunk)| *chunk).collect();
        let holdings = Holdings {
            has_suspect: self.held.iter().any(|held| held.chunk.row.is_suspect()),
            is_empty: self.held.is_empty(),
        };
        let context = self.context.clone();
        self.spawn(async move {
            let key = job.key.clone();
            let result = claims::claim(&context, job, work.kind, &done, holdings).await;
            Event::Claimed { key, result }
        });
    }

    /// Processes that can run the items of a job, if it is for this region.
    fn capable(&self, job: &OpenJob) -> Vec<InstanceId> {
        if !self.is_ours(job) {
            return Vec::new();
        }
        let service = service_of(&job.row.endpoint);
        self.windows.capable(&job.row.models, service)
    }

    /// Whether a job belongs to this region, or to one without a batch process.
    fn is_ours(&self, job: &OpenJob) -> bool {
        let region = region_of_open_key(&job.key).unwrap_or_default();
        let view = self.view.borrow();
        region == self.context.region.as_str()
            || !view.instances.iter().any(|entry| {
                entry.role == InstanceRole::Batch
                    && entry.liveness == Liveness::Live
                    && entry.region.as_str() == region
            })
    }

    fn has_room(&self) -> bool {
        if self.schedule.is_draining || self.held.iter().any(|held| held.is_alone) {
            return self.held.is_empty();
        }
        let upstreams = self.windows.owned().len();
        let waiting: usize = self.held.iter().map(Held::waiting).sum();
        let is_loading = self.held.iter().any(|held| held.run.is_none());
        let memory_bytes: usize = self.held.iter().map(Held::memory_bytes).sum();
        !is_loading
            && waiting < WAITING_PER_UPSTREAM * upstreams
            && self.held.len() < HELD_PER_UPSTREAM * upstreams + HELD_MORE
            && memory_bytes < self.context.memory_limit_bytes / 2
    }

    /// Starts an item, or a part of its prompt, at an upstream and returns the
    /// prompt tokens that the upstream has to prefill.
    fn start_one(&mut self, index: usize, allowance: Allowance, now_ms: u64) -> Option<u32> {
        let owned = &self.windows.owned()[index];
        let (upstream, kind) = (owned.upstream.clone(), owned.kind.clone());
        let (held, start, share) = self.take_item(&upstream, &kind, allowance, now_ms)?;
        let prompt_tokens = share.uncached_tokens();
        let started_at_us = self.now_us();
        self.last_id += 1;
        let batch_item: BatchItemId = self.last_id;
        self.windows
            .on_started(index, batch_item, prompt_tokens, started_at_us);
        self.send(index, held, start, batch_item, share);
        Some(prompt_tokens)
    }

    /// Finds the next item that an upstream can run and whose prompt, or a part
    /// of it, is allowed. Items whose prompt another upstream holds in part come
    /// last.
    fn take_item(
        &mut self,
        upstream: &UpstreamId,
        kind: &UpstreamKind,
        allowance: Allowance,
        now_ms: u64,
    ) -> Option<(HeldId, AttemptStart, Share)> {
        for others_too in [false, true] {
            for index in 0..self.held.len() {
                if !self.may_start(&self.held[index], now_ms) {
                    continue;
                }
                let held = &mut self.held[index];
                let service = service_of(&held.endpoint);
                let share = |item: u32, request: &ItemRequest| {
                    let warmed = held.warmed.iter().find(|warmed| warmed.item == item);
                    let own = warmed.filter(|warmed| warmed.upstream == *upstream);
                    if warmed.is_some() && own.is_none() && !others_too {
                        return None;
                    }
                    let warmed_tokens = own.map_or(0, |warmed| warmed.leading_tokens);
                    Share::choose(request, warmed_tokens, allowance)
                };
                let fits = |item: u32, request: &ItemRequest| match (kind, service) {
                    (UpstreamKind::Service { service: name }, Some(service)) => {
                        name.as_str() == service
                    }
                    (UpstreamKind::Engine { models }, None) => {
                        serves(models, request) && share(item, request).is_some()
                    }
                    _ => false,
                };
                let Some(run) = &mut held.run else { continue };
                if let Some(start) = run.start_next(&held.chunk.row, now_ms, fits) {
                    let share = share(start.item, &start.request);
                    let share = share.unwrap_or(Share::Whole { uncached_tokens: 0 });
                    return Some((held.id, start, share));
                }
            }
        }
        None
    }

    fn send(
        &mut self,
        index: usize,
        id: HeldId,
        start: AttemptStart,
        batch_item: BatchItemId,
        share: Share,
    ) {
        let Some(held) = self.held.iter_mut().find(|held| held.id == id) else {
            return;
        };
        let (withdraw, withdrawn) = oneshot::channel();
        let (item, attempt) = (start.item, start.attempt);
        held.running.push(Running::new(batch_item, withdraw));
        let attempt_to_run = Attempt {
            client: self.context.upstreams.clone(),
            address: self.windows.owned()[index].address,
            start,
            batch_item,
            share,
            service_path: service_path(&held.endpoint),
            is_repeatable: held.is_repeatable,
            events: self.events.clone(),
        };
        self.spawn(async move {
            let (end, warmed_tokens) = attempt_to_run.run(withdrawn).await;
            Event::ItemEnded(ItemEnded {
                held: id,
                item,
                attempt,
                batch_item,
                end,
                warmed_tokens,
            })
        });
    }

    fn withdraw(&mut self, item: BatchItemId) {
        let mut running = self.held.iter_mut().flat_map(|held| &mut held.running);
        if let Some(running) = running.find(|running| running.batch_item == item) {
            running.withdraw();
        }
    }

    fn urgency(&self, now_ms: u64) -> Urgency {
        if self.schedule.item_us == 0 {
            return Urgency::NONE;
        }
        let parts_per_s = ITEM_PARTS * 1_000_000 / self.schedule.item_us;
        let of_job = |job: &OpenJob| {
            let unclaimed = u64::from(job.row.chunks - job.row.cursor);
            let items = u64::from(job.row.items) * unclaimed / u64::from(job.row.chunks.max(1));
            let deadline_us = job.row.deadline_ms * US_PER_MS;
            Urgency::new(
                items * ITEM_PARTS,
                parts_per_s,
                deadline_us,
                now_ms * US_PER_MS,
            )
        };
        let urgencies = self.open.jobs().iter().map(of_job);
        urgencies.fold(Urgency::NONE, Urgency::max)
    }

    fn observe_rate(&mut self, peers: usize, now_ms: u64) {
        let schedule = &mut self.schedule;
        let passed_ms = now_ms.saturating_sub(schedule.rate_since_ms);
        if passed_ms < RATE_WINDOW_MS {
            return;
        }
        let fleet_items = schedule.ended_items * u64::try_from(peers).unwrap_or(u64::MAX);
        if let Some(item_us) = (passed_ms * US_PER_MS).checked_div(fleet_items)
            && schedule.rate_since_ms > 0
        {
            schedule.item_us = item_us.max(1);
        }
        schedule.rate_since_ms = now_ms;
        schedule.ended_items = 0;
    }
}

/// Service that an endpoint belongs to.
pub(crate) fn service_of(endpoint: &str) -> Option<&str> {
    endpoint.strip_prefix(SERVICE_PREFIX)?.split('/').next()
}

/// Path of an endpoint at its service.
fn service_path(endpoint: &str) -> Option<String> {
    let rest = endpoint.strip_prefix(SERVICE_PREFIX)?;
    let path = rest.split_once('/').map_or("", |(_, path)| path);
    Some(format!("/{path}"))
}

/// Whether an engine with these models can run an item. One that names no
/// model is refused by any engine, which ends it.
fn serves(models: &[ModelName], request: &ItemRequest) -> bool {
    dispatch::model_of(request)
        .is_none_or(|model| models.iter().any(|loaded| loaded.as_str() == model))
}
