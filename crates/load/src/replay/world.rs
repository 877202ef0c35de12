//! Instances, links and upstreams in virtual time, driven from one queue of
//! events. A seed always gives the same figures.

mod runs;
mod ticks;

use std::{collections::BTreeMap, rc::Rc};

use gateway::{LoadNotice, Placement, Preemption, Target, WorkKind};
use model::UpstreamId;
use standin::{EngineCore, EngineParams, SequenceRequest};

use super::{
    NoticeDelay, Pattern, Switch,
    arrivals::{Answer, Work, arrivals},
    decider::{Decider, GOAL_MS, Item, ItemState, SLOTS, upstream_entry, upstream_id},
    tally::{Class, End, Tally},
};

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;
/// One way within a region, between regions, and to callers, microseconds.
const NEAR_US: u64 = 700;
const FAR_US: u64 = 30_000;
const CALLER_US: u64 = 3_000;
/// Cost of a step of an upstream, microseconds.
const STEP_US: f64 = 3_090.0;
const STEP_SEQUENCE_US: f64 = 16.5;
const PROMPT_TOKEN_US: f64 = 1_000.0 / 61.8;
/// Time from a job's arrival to its end, milliseconds.
const JOB_DUE_MS: u64 = 18_000;
/// Upstreams that an online request is sent to at most.
const ATTEMPTS_MAX: usize = 2;
/// Time from a crash until the upstream's registration is gone.
const UNLIST_US: u64 = 2 * US_PER_S;
/// Time between two crashes.
const CRASH_GAP_US: u64 = US_PER_S;
/// Time between two ticks of an instance, microseconds.
const TICK_US: u64 = 10 * US_PER_MS;
/// Time after the last arrival in which work may end, seconds.
const DRAIN_S: u64 = 40;

#[derive(Debug)]
enum Event {
    /// An online request comes to an instance.
    Arrive { request: usize },
    /// A job comes to an instance.
    Submit { instance: usize, items: Vec<Answer> },
    /// A sequence reaches an upstream.
    Begin { sequence: usize },
    /// The end of a run reaches an upstream.
    Cancel { sequence: usize },
    /// A step of an upstream ends.
    Step { upstream: usize },
    /// The first event of an answer reaches an instance.
    First { sequence: usize },
    /// The end of an answer reaches an instance.
    Last { sequence: usize },
    /// An instance sees that an answer is cut.
    Broken { sequence: usize },
    /// The regular work of an instance is due.
    Tick { instance: usize },
    /// A notice reaches an instance.
    Notice {
        instance: usize,
        notice: Rc<LoadNotice>,
    },
    /// An upstream crashes.
    Crash { upstream: usize },
    /// The registration of an upstream is gone.
    Unlist { upstream: usize },
}

#[derive(Debug)]
struct Upstream {
    core: EngineCore,
    is_alive: bool,
    step_due_us: Option<u64>,
}

/// A run at an upstream.
#[derive(Debug)]
struct Sequence {
    instance: usize,
    upstream: usize,
    target: Target,
    work: SequenceWork,
    request: SequenceRequest,
    began_us: u64,
    expected_ms: u64,
    tokens_done: u32,
    has_begun: bool,
    is_over: bool,
}

#[derive(Debug, Clone, Copy)]
enum SequenceWork {
    Online { request: usize },
    Item { index: usize },
}

#[derive(Debug)]
struct OnlineRequest {
    instance: usize,
    answer: Answer,
    first_sent_us: u64,
    /// When it was sent after its refusal.
    sent_again_us: Option<u64>,
    first_event_us: Option<u64>,
    tokens_done: u32,
    tried: Vec<UpstreamId>,
}

#[derive(Debug, Default)]
struct LastNotice {
    at_us: u64,
    /// Time until the next.
    pause_us: u64,
    notice: Option<Rc<LoadNotice>>,
}

/// One run.
#[derive(Debug)]
pub(super) struct World {
    pattern: Pattern,
    delay: NoticeDelay,
    switch: Option<Switch>,
    now_us: u64,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
    deciders: Vec<Decider>,
    last_notices: Vec<LastNotice>,
    upstreams: Vec<Upstream>,
    sequences: Vec<Sequence>,
    requests: Vec<OnlineRequest>,
    tally: Tally,
}

impl World {
    pub(super) fn new(
        pattern: &Pattern,
        delay: NoticeDelay,
        switch: Option<Switch>,
        seed: u64,
    ) -> Self {
        let entries: Vec<_> = (0..pattern.upstreams)
            .map(|index| upstream_entry(index, index % pattern.regions))
            .collect();
        let deciders = (0..pattern.instances)
            .map(|index| Decider::new(index, pattern.regions, &entries, switch, seed));
        let params = EngineParams {
            base_us: STEP_US,
            per_sequence_us: STEP_SEQUENCE_US,
            prompt_token_us: PROMPT_TOKEN_US,
            running_max: SLOTS as usize,
            ..EngineParams::default()
        };
        let upstreams = (0..pattern.upstreams).map(|_| Upstream {
            core: EngineCore::new(params.clone()),
            is_alive: true,
            step_due_us: None,
        });
        let mut world = Self {
            deciders: deciders.collect(),
            last_notices: (0..pattern.instances)
                .map(|_| LastNotice::default())
                .collect(),
            upstreams: upstreams.collect(),
            pattern: pattern.clone(),
            delay,
            switch,
            now_us: 0,
            queue: BTreeMap::new(),
            queued: 0,
            sequences: Vec::new(),
            requests: Vec::new(),
            tally: Tally::default(),
        };
        world.queue_arrivals(seed);
        world.queue_crashes();
        for instance in 0..pattern.instances {
            // Instances do not tick at the same moments.
            world.push(instance as u64 * 137 % TICK_US, Event::Tick { instance });
        }
        world
    }

    /// Runs to the end.
    pub(super) fn run(mut self) -> Tally {
        let end_us = (u64::from(self.pattern.length_s) + DRAIN_S) * US_PER_S;
        while let Some(((at_us, _), event)) = self.queue.pop_first() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        let unfinished: Vec<_> = self
            .deciders
            .iter()
            .flat_map(|decider| &decider.items)
            .filter(|item| item.state != ItemState::Done)
            .map(|item| item.accepted_us)
            .collect();
        for accepted_us in unfinished {
            self.tally.add(Class::Item, accepted_us, End::Failed);
        }
        self.tally
    }

    fn queue_arrivals(&mut self, seed: u64) {
        for arrival in arrivals(&self.pattern, seed) {
            let instance = arrival.instance;
            let event = match arrival.work {
                Work::Online(answer) => {
                    self.requests.push(OnlineRequest {
                        instance,
                        answer,
                        first_sent_us: arrival.at_us,
                        sent_again_us: None,
                        first_event_us: None,
                        tokens_done: 0,
                        tried: Vec::new(),
                    });
                    let request = self.requests.len() - 1;
                    Event::Arrive { request }
                }
                Work::Job(items) => Event::Submit { instance, items },
            };
            self.push(arrival.at_us + CALLER_US, event);
        }
    }

    fn queue_crashes(&mut self) {
        let first_us = u64::from(self.pattern.length_s) * US_PER_S / 4;
        let count = self.pattern.lost_upstreams.min(self.pattern.upstreams);
        for number in 0..count {
            let upstream = number * self.pattern.upstreams / count;
            let at_us = first_us + number as u64 * CRASH_GAP_US;
            self.push(at_us, Event::Crash { upstream });
            self.push(at_us + UNLIST_US, Event::Unlist { upstream });
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.queued += 1;
        self.queue.insert((at_us, self.queued), event);
    }

    fn now_ms(&self) -> u64 {
        self.now_us / US_PER_MS
    }

    fn one_way_us(&self, instance: usize, other: usize) -> u64 {
        if instance % self.pattern.regions == other % self.pattern.regions {
            NEAR_US
        } else {
            FAR_US
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.place(request),
            Event::Submit { instance, items } => self.accept(instance, &items),
            Event::Begin { sequence } => self.begin(sequence),
            Event::Cancel { sequence } => {
                let upstream = self.sequences[sequence].upstream;
                self.advance(upstream);
                self.upstreams[upstream].core.cancel(sequence as u64);
                self.queue_step(upstream);
            }
            Event::Step { upstream } => {
                if self.upstreams[upstream].step_due_us == Some(self.now_us) {
                    self.advance(upstream);
                    self.queue_step(upstream);
                }
            }
            Event::First { sequence } => self.first_event(sequence),
            Event::Last { sequence } => self.last_event(sequence),
            Event::Broken { sequence } => self.broken(sequence),
            Event::Tick { instance } => self.tick(instance),
            Event::Notice { instance, notice } => {
                let now_ms = self.now_ms();
                let fleet = &mut self.deciders[instance].fleet;
                fleet.receive_notice(LoadNotice::clone(&notice), now_ms);
            }
            Event::Crash { upstream } => self.crash(upstream),
            Event::Unlist { upstream } => {
                let now_ms = self.now_ms();
                let id = upstream_id(upstream);
                for decider in &mut self.deciders {
                    decider.fleet.remove(&id, false, now_ms);
                }
            }
        }
    }

    fn place(&mut self, request: usize) {
        let now_ms = self.now_ms();
        let OnlineRequest {
            instance, tried, ..
        } = &self.requests[request];
        let instance = *instance;
        let may_refuse = tried.is_empty();
        let placement = self.deciders[instance].place(tried, may_refuse, now_ms);
        match placement {
            Placement::Send {
                target,
                expected_ms,
                preemption,
                ..
            } => {
                if preemption == Preemption::Own && self.switch != Some(Switch::Preemption) {
                    let decider = &self.deciders[instance];
                    for index in decider.least_urgent(&target.upstream, 1, now_ms) {
                        self.preempt(instance, index);
                    }
                }
                let fleet = &mut self.deciders[instance].fleet;
                fleet.record_start(&target, WorkKind::Online, now_ms);
                let OnlineRequest {
                    answer,
                    tokens_done,
                    ..
                } = self.requests[request];
                let work = SequenceWork::Online { request };
                self.start(instance, target, work, answer, tokens_done, expected_ms);
                if let Preemption::Peers(peers) = preemption {
                    self.tell_owners(instance, &peers);
                }
            }
            Placement::Refuse { retry_after_ms, .. } => self.refuse(request, retry_after_ms),
        }
    }

    fn refuse(&mut self, request: usize, retry_after_ms: u64) {
        let (instances, regions) = (self.pattern.instances, self.pattern.regions);
        let again_us = self.now_us + CALLER_US + retry_after_ms * US_PER_MS;
        let refused = &mut self.requests[request];
        if refused.sent_again_us.is_some() {
            let sent_us = refused.first_sent_us;
            self.tally.add(Class::Online, sent_us, End::Refused);
            return;
        }
        refused.sent_again_us = Some(again_us);
        refused.instance = (refused.instance + regions) % instances;
        self.push(again_us + CALLER_US, Event::Arrive { request });
    }

    fn accept(&mut self, instance: usize, items: &[Answer]) {
        let accepted_us = self.now_us;
        let now_ms = self.now_ms();
        let decider = &mut self.deciders[instance];
        decider.items.extend(items.iter().map(|answer| Item {
            prompt_tokens: answer.prompt_tokens,
            tokens: answer.tokens,
            tokens_done: 0,
            accepted_us,
            due_ms: now_ms + JOB_DUE_MS,
            state: ItemState::Waiting,
        }));
        decider.publish(now_ms);
        self.changed(instance);
    }

    fn crash(&mut self, upstream: usize) {
        self.advance(upstream);
        let crashed = &mut self.upstreams[upstream];
        crashed.is_alive = false;
        crashed.step_due_us = None;
        crashed.core = EngineCore::new(EngineParams::default());
        let cut: Vec<_> = self
            .sequences
            .iter()
            .enumerate()
            .filter(|(_, run)| run.upstream == upstream && !run.is_over)
            .map(|(sequence, run)| (sequence, run.instance))
            .collect();
        for (sequence, instance) in cut {
            let at_us = self.now_us + self.one_way_us(instance, upstream);
            self.push(at_us, Event::Broken { sequence });
        }
    }
}

impl OnlineRequest {
    fn end(&self) -> End {
        let goal_us = GOAL_MS * US_PER_MS;
        let first_us = self.first_event_us.unwrap_or(u64::MAX);
        match self.sent_again_us {
            None if first_us <= self.first_sent_us + goal_us => End::OnTime,
            Some(again_us) if first_us <= again_us + goal_us => End::Returned,
            _ => End::Late,
        }
    }
}
