//! Discrete-event simulation of instances, links and upstreams in virtual time.
//! Nothing depends on the machine's clock or load, so a seed always gives the same
//! results.

mod runs;
mod ticks;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use gateway::{LoadNotice, PaceReport, Placement, Preemption, Target, WorkKind};
use model::UpstreamId;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use standin::{EngineCore, EngineParams, SequenceRequest};

use super::{
    Ablation, NoticeDelay, Pattern,
    arrivals::{RequestSize, Work, arrivals},
    scheduler::{ANSWER_GOAL_MS, Item, ItemState, SLOTS, Scheduler, upstream_entry, upstream_id},
    tally::{Class, Tally, WorkEnd},
};

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;
/// One-way latency within a region, between regions, and to callers,
/// microseconds.
const INTRA_REGION_US: u64 = 700;
const INTER_REGION_US: u64 = 30_000;
const CALLER_LINK_US: u64 = 3_000;
/// Cost of an upstream's step, of each sequence in it and of each prompt token,
/// microseconds.
const STEP_US: f64 = 3_090.0;
const STEP_SEQUENCE_US: f64 = 16.5;
const PROMPT_TOKEN_US: f64 = 1_000.0 / 61.8;
/// Length of a spell in which an upstream is slow, microseconds, and how many times longer
/// its steps then take.
const SLOW_SPELL_US: u64 = 600 * US_PER_MS;
const SLOW_SPELL_FACTOR: f64 = 2.5;
/// Time from a job's arrival to its deadline, milliseconds.
const JOB_DEADLINE_MS: u64 = 18_000;
/// Maximum number of upstreams that an online request is sent to.
const ATTEMPTS_MAX: usize = 2;
/// Time from a crash until the upstream's registration is removed,
/// microseconds.
const DEREGISTRATION_DELAY_US: u64 = 2 * US_PER_S;
/// Time between two crashes, microseconds.
const CRASH_INTERVAL_US: u64 = US_PER_S;
/// Time between two ticks of an instance, microseconds.
const TICK_US: u64 = 10 * US_PER_MS;
/// Time after the last arrival during which work may still end, seconds.
const DRAIN_S: u64 = 40;

#[derive(Debug)]
enum Event {
    /// An online request reaches an instance.
    Arrive { request: usize },
    /// A job reaches an instance.
    SubmitJob {
        instance: usize,
        items: Vec<RequestSize>,
    },
    /// A sequence reaches an upstream.
    SubmitSequence { sequence: usize },
    /// The cancellation of a sequence reaches an upstream.
    Cancel { sequence: usize },
    /// An upstream's step ends.
    StepEnd { upstream: usize },
    /// The first event of an answer reaches an instance.
    AnswerStart { sequence: usize },
    /// The end of an answer reaches an instance.
    AnswerEnd { sequence: usize },
    /// An instance sees that the connection of an answer was lost.
    Interrupted { sequence: usize },
    /// The periodic tick of an instance is due.
    Tick { instance: usize },
    /// A load notice reaches an instance.
    Notice {
        instance: usize,
        notice: Rc<LoadNotice>,
        paces: Rc<[PaceReport]>,
    },
    /// An upstream crashes.
    Crash { upstream: usize },
    /// The registration of an upstream is removed.
    Deregister { upstream: usize },
    /// An upstream turns slow, or is no longer slow.
    ChangeSpeed { upstream: usize, speed: f64 },
}

#[derive(Debug)]
struct Upstream {
    core: EngineCore,
    is_alive: bool,
    step_due_us: Option<u64>,
}

/// A run of an online request or item at an upstream.
#[derive(Debug)]
struct Sequence {
    instance: usize,
    upstream: usize,
    target: Target,
    work: SequenceWork,
    request: SequenceRequest,
    began_us: u64,
    first_event_us: u64,
    /// Expected time from `began_us` to the first event of the answer.
    expected_ms: u64,
    tokens_done: u32,
    /// Whether the first event of the answer has been sent.
    has_begun: bool,
    is_ended: bool,
}

#[derive(Debug, Clone, Copy)]
enum SequenceWork {
    Online { request: usize },
    Item { index: usize },
}

#[derive(Debug)]
struct OnlineRequest {
    instance: usize,
    size: RequestSize,
    first_sent_us: u64,
    /// Time at which the caller retries after a refusal.
    retried_us: Option<u64>,
    first_event_us: Option<u64>,
    tokens_done: u32,
    /// Upstreams that the request was sent to and that failed.
    tried: Vec<UpstreamId>,
}

/// The last load notice that an instance sent.
#[derive(Debug, Default)]
struct LastNotice {
    at_us: u64,
    /// Minimum time until the next notice.
    pause_us: u64,
    notice: Option<Rc<LoadNotice>>,
}

/// State of one replay of a load pattern.
#[derive(Debug)]
pub(super) struct Simulation {
    pattern: Pattern,
    delay: NoticeDelay,
    ablation: Option<Ablation>,
    now_us: u64,
    queue: BTreeMap<(u64, u64), Event>,
    queued_count: u64,
    schedulers: Vec<Scheduler>,
    last_notices: Vec<LastNotice>,
    upstreams: Vec<Upstream>,
    sequences: Vec<Sequence>,
    requests: Vec<OnlineRequest>,
    tally: Tally,
}

impl Simulation {
    pub(super) fn new(
        pattern: &Pattern,
        delay: NoticeDelay,
        ablation: Option<Ablation>,
        seed: u64,
    ) -> Self {
        let entries: Vec<_> = (0..pattern.upstreams)
            .map(|index| upstream_entry(index, index % pattern.regions))
            .collect();
        let schedulers = (0..pattern.instances)
            .map(|index| Scheduler::new(index, pattern, &entries, ablation, seed));
        let upstreams = (0..pattern.upstreams).map(|index| Upstream {
            core: EngineCore::new(engine_params(pattern.speed(index))),
            is_alive: true,
            step_due_us: None,
        });
        let mut simulation = Self {
            schedulers: schedulers.collect(),
            last_notices: (0..pattern.instances)
                .map(|_| LastNotice::default())
                .collect(),
            upstreams: upstreams.collect(),
            pattern: pattern.clone(),
            delay,
            ablation,
            now_us: 0,
            queue: BTreeMap::new(),
            queued_count: 0,
            sequences: Vec::new(),
            requests: Vec::new(),
            tally: Tally::default(),
        };
        simulation.queue_arrivals(seed);
        simulation.queue_crashes();
        simulation.queue_slow_spells(seed);
        for instance in 0..pattern.instances {
            // Staggers the ticks of the instances.
            simulation.push(instance as u64 * 137 % TICK_US, Event::Tick { instance });
        }
        simulation
    }

    /// Runs the simulation to its end. Unfinished items count as failed.
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
            .schedulers
            .iter()
            .flat_map(|scheduler| &scheduler.items)
            .filter(|item| item.state != ItemState::Done)
            .map(|item| item.accepted_us)
            .collect();
        for accepted_us in unfinished {
            self.tally.add(Class::Item, accepted_us, WorkEnd::Failed);
        }
        self.tally
    }

    fn queue_arrivals(&mut self, seed: u64) {
        for arrival in arrivals(&self.pattern, seed) {
            let instance = arrival.instance;
            let event = match arrival.work {
                Work::Online(size) => {
                    self.requests.push(OnlineRequest {
                        instance,
                        size,
                        first_sent_us: arrival.at_us,
                        retried_us: None,
                        first_event_us: None,
                        tokens_done: 0,
                        tried: Vec::new(),
                    });
                    let request = self.requests.len() - 1;
                    Event::Arrive { request }
                }
                Work::Job(items) => Event::SubmitJob { instance, items },
            };
            self.push(arrival.at_us + CALLER_LINK_US, event);
        }
    }

    fn queue_crashes(&mut self) {
        let first_us = u64::from(self.pattern.length_s) * US_PER_S / 4;
        let count = self.pattern.lost_upstreams.min(self.pattern.upstreams);
        for crash in 0..count {
            let upstream = crash * self.pattern.upstreams / count;
            let at_us = first_us + crash as u64 * CRASH_INTERVAL_US;
            self.push(at_us, Event::Crash { upstream });
            self.push(
                at_us + DEREGISTRATION_DELAY_US,
                Event::Deregister { upstream },
            );
        }
    }

    /// Queues spells in which an upstream is slow, at random times of their own.
    fn queue_slow_spells(&mut self, seed: u64) {
        if self.pattern.slow_share <= 0.0 {
            return;
        }
        let mut rng = SmallRng::seed_from_u64(!seed);
        let end_us = u64::from(self.pattern.length_s) * US_PER_S;
        let mean_pause_spells = 1.0 / self.pattern.slow_share - 1.0;
        for upstream in 0..self.pattern.upstreams {
            let base_speed = self.pattern.speed(upstream);
            let mut at_us = 0;
            while at_us < end_us {
                let pause_spells = rng.random_range(0.0..2.0 * mean_pause_spells);
                let pause = Duration::from_micros(SLOW_SPELL_US).mul_f64(pause_spells);
                at_us += u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
                let slow = Event::ChangeSpeed {
                    upstream,
                    speed: base_speed / SLOW_SPELL_FACTOR,
                };
                self.push(at_us, slow);
                at_us += SLOW_SPELL_US;
                let usual = Event::ChangeSpeed {
                    upstream,
                    speed: base_speed,
                };
                self.push(at_us, usual);
            }
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.queued_count += 1;
        self.queue.insert((at_us, self.queued_count), event);
    }

    fn now_ms(&self) -> u64 {
        self.now_us / US_PER_MS
    }

    fn one_way_link_us(&self, instance: usize, other: usize) -> u64 {
        if instance % self.pattern.regions == other % self.pattern.regions {
            INTRA_REGION_US
        } else {
            INTER_REGION_US
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.place_request(request),
            Event::SubmitJob { instance, items } => self.accept_job(instance, &items),
            Event::SubmitSequence { sequence } => self.submit_sequence(sequence),
            Event::Cancel { sequence } => {
                let upstream = self.sequences[sequence].upstream;
                self.advance(upstream);
                self.upstreams[upstream].core.cancel(sequence as u64);
                self.queue_step(upstream);
            }
            Event::StepEnd { upstream } => {
                if self.upstreams[upstream].step_due_us == Some(self.now_us) {
                    self.advance(upstream);
                    self.queue_step(upstream);
                }
            }
            Event::AnswerStart { sequence } => self.on_answer_start(sequence),
            Event::AnswerEnd { sequence } => self.on_answer_end(sequence),
            Event::Interrupted { sequence } => self.on_interrupted(sequence),
            Event::Tick { instance } => self.on_tick(instance),
            Event::Notice {
                instance,
                notice,
                paces,
            } => {
                let now_ms = self.now_ms();
                let upstream_table = &mut self.schedulers[instance].upstream_table;
                upstream_table.receive_notice(LoadNotice::clone(&notice), now_ms);
                upstream_table.receive_pace_reports(&paces, now_ms);
            }
            Event::ChangeSpeed { upstream, speed } => {
                self.advance(upstream);
                self.upstreams[upstream]
                    .core
                    .set_params(engine_params(speed));
                self.queue_step(upstream);
            }
            Event::Crash { upstream } => self.crash_upstream(upstream),
            Event::Deregister { upstream } => {
                let now_ms = self.now_ms();
                let id = upstream_id(upstream);
                for scheduler in &mut self.schedulers {
                    scheduler.upstream_table.remove(&id, false, now_ms);
                }
            }
        }
    }

    fn place_request(&mut self, request: usize) {
        let now_ms = self.now_ms();
        let OnlineRequest {
            instance, tried, ..
        } = &self.requests[request];
        let instance = *instance;
        let may_refuse = tried.is_empty();
        let placement = self.schedulers[instance].place(tried, may_refuse, now_ms);
        match placement {
            Placement::Send {
                target,
                expected_ms,
                preemption,
                ..
            } => {
                if preemption == Preemption::Own && self.ablation != Some(Ablation::Preemption) {
                    let scheduler = &self.schedulers[instance];
                    for index in scheduler.least_urgent_items(&target.upstream, 1, now_ms) {
                        self.preempt_item(instance, index);
                    }
                }
                let upstream_table = &mut self.schedulers[instance].upstream_table;
                upstream_table.record_start(&target, WorkKind::Online, now_ms);
                let OnlineRequest {
                    size, tokens_done, ..
                } = self.requests[request];
                let work = SequenceWork::Online { request };
                self.start_sequence(instance, target, work, size, tokens_done, expected_ms);
                if let Preemption::Peers(peers) = preemption {
                    self.notify_owners(instance, &peers);
                }
            }
            Placement::Refuse { retry_after_ms, .. } => self.refuse(request, retry_after_ms),
        }
    }

    fn refuse(&mut self, request: usize, retry_after_ms: u64) {
        let (instances, regions) = (self.pattern.instances, self.pattern.regions);
        let retry_at_us = self.now_us + CALLER_LINK_US + retry_after_ms * US_PER_MS;
        let refused = &mut self.requests[request];
        if refused.retried_us.is_some() {
            let sent_us = refused.first_sent_us;
            self.tally.add(Class::Online, sent_us, WorkEnd::Refused);
            return;
        }
        refused.retried_us = Some(retry_at_us);
        // The caller retries at another instance of the same region.
        refused.instance = (refused.instance + regions) % instances;
        self.push(retry_at_us + CALLER_LINK_US, Event::Arrive { request });
    }

    fn accept_job(&mut self, instance: usize, items: &[RequestSize]) {
        let accepted_us = self.now_us;
        let now_ms = self.now_ms();
        let scheduler = &mut self.schedulers[instance];
        scheduler.items.extend(items.iter().map(|size| Item {
            prompt_tokens: size.prompt_tokens,
            output_tokens: size.output_tokens,
            tokens_done: 0,
            accepted_us,
            due_ms: now_ms + JOB_DEADLINE_MS,
            state: ItemState::Waiting,
        }));
        scheduler.publish_batch_state(now_ms);
        self.share_state_at_once(instance);
    }

    fn crash_upstream(&mut self, upstream: usize) {
        self.advance(upstream);
        let crashed = &mut self.upstreams[upstream];
        crashed.is_alive = false;
        crashed.step_due_us = None;
        crashed.core = EngineCore::new(EngineParams::default());
        let interrupted: Vec<_> = self
            .sequences
            .iter()
            .enumerate()
            .filter(|(_, run)| run.upstream == upstream && !run.is_ended)
            .map(|(sequence, run)| (sequence, run.instance))
            .collect();
        for (sequence, instance) in interrupted {
            let at_us = self.now_us + self.one_way_link_us(instance, upstream);
            self.push(at_us, Event::Interrupted { sequence });
        }
    }
}

/// Returns the parameters of an upstream with a speed; 1 is the usual one.
fn engine_params(speed: f64) -> EngineParams {
    EngineParams {
        base_us: STEP_US / speed,
        per_sequence_us: STEP_SEQUENCE_US / speed,
        prompt_token_us: PROMPT_TOKEN_US / speed,
        running_max: SLOTS as usize,
        ..EngineParams::default()
    }
}

impl OnlineRequest {
    fn work_end(&self) -> WorkEnd {
        let goal_us = ANSWER_GOAL_MS * US_PER_MS;
        let first_us = self.first_event_us.unwrap_or(u64::MAX);
        match self.retried_us {
            None if first_us <= self.first_sent_us + goal_us => WorkEnd::OnTime,
            Some(retry_at_us) if first_us <= retry_at_us + goal_us => WorkEnd::OnTimeAfterRetry,
            _ => WorkEnd::Late,
        }
    }
}
