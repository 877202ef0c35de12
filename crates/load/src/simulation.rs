//! Discrete-event simulation of entries, owners of batch work and engines in
//! virtual time, for `compare`.
//!
//! Entries decide with [`Router`] and owners with [`policy::BatchWindow`], the
//! code that the programs run in production. The simulation adds the latency of
//! every link. Nothing depends on the machine's clock or load, so a seed always
//! gives the same results.

mod engines;

use std::{cmp::Reverse, collections::BinaryHeap};

use model::{DispatchNotice, ModelName};
use policy::{AttemptId, Destination, RouteRequest, Router, UpstreamLoad};
use standin::{EmittedToken, EngineCore, EngineParams, SequenceRequest};

use crate::{
    FleetShape, Outcome, Phase, Scheduling, Workload,
    batch_owner::{BatchOwner, block_hashes},
    fleet::{MODEL, engine_index, entry_id, region_name},
    outcome::record,
};

const US_PER_S: u64 = 1_000_000;
/// Virtual time after the last arrival during which answers may still end,
/// seconds.
const DRAIN_S: u64 = 20;
/// Bytes on a link of a prompt token and of the event for an answer token.
const TOKEN_BYTES: (u64, u64) = (4, 120);
/// Tokens per block of the engines' prefix cache.
const BLOCK_TOKENS: u32 = 16;

/// Results of a run and the engine that each online request was routed to.
#[derive(Debug)]
pub struct RunResult {
    /// Latencies and counts.
    pub outcome: Outcome,
    /// Engine of each online request; `None` for a refused request.
    pub assignment: Vec<Option<usize>>,
}

/// Runs a load under a policy. `assignment` fixes the engines of the online
/// requests. It comes from a run without batch work, and the oracle needs it to
/// know future arrivals.
#[must_use]
pub fn run(
    shape: &FleetShape,
    params: &EngineParams,
    workload: &Workload,
    scheduling: &Scheduling,
    assignment: Option<&[Option<usize>]>,
) -> RunResult {
    let mut simulation = Simulation::new(shape, params, workload, scheduling, assignment);
    simulation.run();
    simulation.finish()
}

#[derive(Debug)]
enum Event {
    /// An online request reaches its entry.
    Arrive(usize),
    /// A sequence reaches an engine.
    Submit(usize, SequenceRequest),
    /// A cancellation reaches an engine.
    Cancel(usize, u64),
    /// An engine's step ends.
    StepEnd(usize),
    /// The oracle plans an engine's next step just before the current one ends.
    Oracle(usize),
    /// A token of an online request reaches its entry.
    OnlineToken(usize, AttemptId, bool),
    /// The batch tokens of a step reach the engine's owner.
    BatchTokens(usize, Vec<(u64, bool)>),
    /// The confirmation of a cancellation reaches the engine's owner.
    Cancelled(usize, u64),
    /// A dispatch notice of an entry reaches an engine's owner.
    Notice(usize, usize, DispatchNotice),
    /// An owner's response to a dispatch notice reaches the entry.
    Load(usize, UpstreamLoad, u64),
    /// An owner's tick is due.
    Tick(usize),
    /// An entry's dispatch notices are due.
    FlushNotices(usize),
}

/// An event and its time. Events of the same time happen in order of `number`.
#[derive(Debug)]
struct Scheduled {
    at_us: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

#[derive(Debug)]
struct Engine {
    core: EngineCore,
    step_ends_at_us: Option<u64>,
    step_began_at_us: u64,
    online: Vec<ActiveRequest>,
    batch_items: u32,
    /// Future arrivals of online requests, latest first; filled only for the
    /// oracle.
    known_arrivals: Vec<u64>,
    steps_since_prompt: u32,
}

/// An online request that an engine is working on.
#[derive(Debug)]
struct ActiveRequest {
    request: usize,
    arrived_at_us: u64,
    tokens: u32,
}

/// Progress and latencies of an online request.
#[derive(Debug, Clone, Default)]
struct RequestState {
    engine: Option<usize>,
    first_token_at_us: Option<u64>,
    last_token_at_us: u64,
    longest_gap_us: u64,
    tokens: u32,
    is_complete: bool,
    is_refused: bool,
}

struct Simulation<'a> {
    shape: &'a FleetShape,
    params: &'a EngineParams,
    workload: &'a Workload,
    scheduling: &'a Scheduling,
    assignment: Option<&'a [Option<usize>]>,
    now_us: u64,
    event_count: u64,
    heap: BinaryHeap<Reverse<Scheduled>>,
    engines: Vec<Engine>,
    owners: Vec<BatchOwner>,
    routers: Vec<Router>,
    flush_at_us: Vec<Option<u64>>,
    requests: Vec<RequestState>,
    /// Region and start time of each burst with a request so far.
    seen_bursts: Vec<(usize, u64)>,
    /// Region and time of the first request of each burst whose region still has
    /// batch work.
    undrained_bursts: Vec<(usize, u64)>,
    emitted: Vec<EmittedToken>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(
        shape: &'a FleetShape,
        params: &'a EngineParams,
        workload: &'a Workload,
        scheduling: &'a Scheduling,
        assignment: Option<&'a [Option<usize>]>,
    ) -> Self {
        let is_batch_only = |engine: usize| match scheduling {
            Scheduling::Split { batch_engines, .. } => engine % shape.engines < *batch_engines,
            _ => false,
        };
        let view = shape.view(|engine| !is_batch_only(engine));
        let routers = (0..shape.entry_count()).map(|entry| {
            let home = shape.entry_region(entry);
            let seed = entry as u64;
            let mut router = Router::new(entry_id(entry), region_name(home), seed);
            for region in 0..shape.regions {
                router.set_link_latency(&region_name(region), shape.link_us(home, region));
            }
            router.set_view(&view);
            router
        });
        let engines = (0..shape.engine_count()).map(|_| Engine {
            core: EngineCore::new(params.clone()),
            step_ends_at_us: None,
            step_began_at_us: 0,
            online: Vec::new(),
            batch_items: 0,
            known_arrivals: Vec::new(),
            steps_since_prompt: 0,
        });
        let owners = (0..shape.engine_count()).map(|engine| {
            let mut owner = BatchOwner::new(engine, scheduling, workload);
            if matches!(scheduling, Scheduling::Split { .. }) && !is_batch_only(engine) {
                owner.disable();
            }
            owner
        });
        Self {
            routers: routers.collect(),
            engines: engines.collect(),
            owners: owners.collect(),
            flush_at_us: vec![None; shape.entry_count()],
            requests: vec![RequestState::default(); workload.online.len()],
            seen_bursts: Vec::new(),
            undrained_bursts: Vec::new(),
            shape,
            params,
            workload,
            scheduling,
            assignment,
            now_us: 0,
            event_count: 0,
            heap: BinaryHeap::new(),
            emitted: Vec::new(),
            outcome: Outcome::new(),
        }
    }

    fn run(&mut self) {
        for (index, request) in self.workload.online.iter().enumerate() {
            self.push(
                request.at_us + self.shape.client_link_us,
                Event::Arrive(index),
            );
        }
        self.set_known_arrivals();
        for engine in 0..self.engines.len() {
            match self.scheduling {
                Scheduling::Alone => {}
                Scheduling::Oracle(_) => self.push(0, Event::Oracle(engine)),
                _ => self.push(0, Event::Tick(engine)),
            }
        }
        let end_us = (self.workload.params.run_s + DRAIN_S) * US_PER_S;
        while let Some(Reverse(next)) = self.heap.pop() {
            if next.at_us > end_us {
                return;
            }
            self.now_us = next.at_us;
            self.handle(next.event);
        }
    }

    /// Sets the arrival times of each engine's online requests, from which the
    /// oracle learns the next arrival.
    fn set_known_arrivals(&mut self) {
        let Some(assignment) = self.assignment else {
            return;
        };
        for (request, engine) in self.workload.online.iter().zip(assignment).rev() {
            if let Some(engine) = *engine {
                let from = self.shape.entry_region(request.entry);
                let link_us = self.shape.link_us(from, self.shape.engine_region(engine));
                let at_us = request.at_us + self.shape.client_link_us + link_us;
                self.engines[engine].known_arrivals.push(at_us);
            }
        }
        for engine in &mut self.engines {
            engine
                .known_arrivals
                .sort_unstable_by_key(|at_us| Reverse(*at_us));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.on_arrival(request),
            Event::Submit(engine, sequence) => self.submit_sequence(engine, sequence),
            Event::Cancel(engine, item) => self.cancel_item(engine, item),
            Event::StepEnd(engine) => self.on_step_end(engine),
            Event::Oracle(engine) => self.consult_oracle(engine),
            Event::OnlineToken(request, attempt, is_last) => {
                self.on_online_token(request, attempt, is_last);
            }
            Event::BatchTokens(engine, tokens) => self.on_batch_tokens(engine, &tokens),
            Event::Cancelled(engine, item) => {
                self.owners[engine].on_cancelled(item, self.now_us);
                self.tick_owner(engine);
            }
            Event::Notice(engine, entry, notice) => self.on_notice(engine, entry, &notice),
            Event::Load(entry, load, sent_at_us) => {
                let age_us = self.now_us - sent_at_us;
                self.routers[entry].on_load(&load, age_us, self.now_us);
            }
            Event::Tick(engine) => {
                if self.owners[engine].tick_at_us <= self.now_us {
                    self.owners[engine].tick_at_us = u64::MAX;
                }
                self.tick_owner(engine);
            }
            Event::FlushNotices(entry) => {
                self.flush_at_us[entry] = None;
                self.flush_notices(entry);
            }
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.heap.push(Reverse(Scheduled {
            at_us,
            number: self.event_count,
            event,
        }));
    }
}

/// Handling of online requests and dispatch notices at entries.
impl Simulation<'_> {
    fn on_arrival(&mut self, index: usize) {
        let workload = self.workload;
        let request = &workload.online[index];
        self.record_burst_start(index);
        let (engine, attempt) = match self.assignment {
            Some(assignment) => (assignment[index], 0),
            None => match self.route(index) {
                Some((engine, attempt)) => (Some(engine), attempt),
                None => (None, 0),
            },
        };
        let Some(engine) = engine else {
            self.requests[index].is_refused = true;
            return;
        };
        self.requests[index].engine = Some(engine);
        let sequence = SequenceRequest {
            // Request in the upper 32 bits and attempt below them; bit 0 is set
            // for batch items only.
            id: (index as u64) << 32 | attempt << 1,
            prompt_tokens: request.prompt_tokens,
            blocks: block_hashes((index as u64) << 1, request.prompt_tokens / BLOCK_TOKENS),
            first_token_index: 1,
            last_token_index: request.output_tokens,
        };
        let link_us = self.entry_link_us(request.entry, engine);
        self.push(self.now_us + link_us, Event::Submit(engine, sequence));
        self.flush_notices(request.entry);
    }

    fn route(&mut self, index: usize) -> Option<(usize, AttemptId)> {
        let request = &self.workload.online[index];
        let payload_bytes = u64::from(request.prompt_tokens) * TOKEN_BYTES.0
            + u64::from(request.output_tokens) * TOKEN_BYTES.1;
        let route_request = RouteRequest {
            destination: Destination::Model(ModelName::new(MODEL)),
            prompt_tokens: request.prompt_tokens,
            prefix_hashes: Vec::new(),
            first_token_deadline_us: request.at_us + self.workload.params.first_token_us
                - self.shape.client_link_us,
            excluded: Vec::new(),
            link_bytes: payload_bytes,
        };
        let router = &mut self.routers[request.entry];
        let route = router.route(&route_request, self.now_us).ok()?;
        router.on_sent(route.attempt, self.now_us);
        Some((engine_index(&route.upstream), route.attempt))
    }

    fn on_online_token(&mut self, index: usize, attempt: AttemptId, is_last: bool) {
        let now_us = self.now_us;
        let state = &mut self.requests[index];
        state.tokens += 1;
        let entry = self.workload.online[index].entry;
        let gap_us = now_us - state.last_token_at_us;
        state.last_token_at_us = now_us;
        let is_first = state.first_token_at_us.is_none();
        if is_first {
            state.first_token_at_us = Some(now_us + self.shape.client_link_us);
        } else {
            state.longest_gap_us = state.longest_gap_us.max(gap_us);
        }
        state.is_complete = is_last;
        if self.is_measured(index) && !is_first {
            let phase = self.phase(index);
            record(&mut self.outcome.phase_mut(phase).between_tokens_us, gap_us);
        }
        if self.assignment.is_some() {
            return;
        }
        let router = &mut self.routers[entry];
        if is_first {
            router.on_first_token(attempt, now_us);
        } else {
            router.on_token(attempt, now_us);
        }
        if is_last {
            router.on_ended(attempt, now_us);
        }
        self.flush_notices(entry);
    }

    /// Sends an entry's dispatch notices if they are due, and schedules the
    /// sending otherwise.
    fn flush_notices(&mut self, entry: usize) {
        let Some(due_at_us) = self.routers[entry].notices_due_at_us() else {
            return;
        };
        if due_at_us > self.now_us {
            if self.flush_at_us[entry].is_none() {
                self.flush_at_us[entry] = Some(due_at_us);
                self.push(due_at_us, Event::FlushNotices(entry));
            }
            return;
        }
        for notice in self.routers[entry].take_notices(self.now_us) {
            let engine = engine_index(&notice.upstream);
            let at_us = self.now_us + self.entry_link_us(entry, engine);
            self.push(at_us, Event::Notice(engine, entry, notice));
        }
    }

    fn on_notice(&mut self, engine: usize, entry: usize, notice: &DispatchNotice) {
        let load = self.owners[engine].on_notice(notice, self.now_us);
        let at_us = self.now_us + self.entry_link_us(entry, engine);
        self.push(at_us, Event::Load(entry, load, self.now_us));
        self.tick_owner(engine);
    }

    fn entry_link_us(&self, entry: usize, engine: usize) -> u64 {
        let from = self.shape.entry_region(entry);
        self.shape.link_us(from, self.shape.engine_region(engine))
    }

    fn is_measured(&self, index: usize) -> bool {
        self.workload.online[index].at_us >= self.workload.params.warmup_s * US_PER_S
    }

    fn phase(&self, index: usize) -> Phase {
        if self.workload.online[index].in_burst {
            Phase::Burst
        } else {
            Phase::Steady
        }
    }
}
