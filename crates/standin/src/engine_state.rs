//! What an engine knows: its core, its streams and its counts.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use model::ModelName;
use tokio::{sync::watch, time::Instant};
use upstream::{ChatRequest, LoadReport, Order, OrderAction, OrderAnswer};

use crate::{
    EmittedToken, EngineCore, EngineSettings, RunCount, RunCounts, SequenceRequest, answer,
    engine_streams::{Answer, Progress, Stream},
};

pub(crate) struct EngineState {
    pub(crate) leaving: bool,
    /// Chat requests, refused ones included.
    pub(crate) received: u32,
    settings: EngineSettings,
    started_at: Instant,
    core: EngineCore,
    emitted: Vec<EmittedToken>,
    /// Sorted by attempt id.
    streams: BTreeMap<String, Stream>,
    attempt_of: BTreeMap<u64, String>,
    last_id: u64,
    models: BTreeSet<ModelName>,
    fence: u64,
    seen_orders: BTreeSet<String>,
    crashed_prompts: BTreeSet<String>,
    samples: VecDeque<Sample>,
    attempt_runs: BTreeMap<String, RunCount>,
    prompt_runs: BTreeMap<String, RunCount>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sample {
    taken_at: Instant,
    running: u32,
    waiting_prompt_tokens: u32,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            leaving: false,
            received: 0,
            started_at: Instant::now(),
            core: EngineCore::new(settings.params.clone()),
            emitted: Vec::new(),
            streams: BTreeMap::new(),
            attempt_of: BTreeMap::new(),
            last_id: 0,
            models: settings.models.iter().cloned().collect(),
            fence: 0,
            seen_orders: BTreeSet::new(),
            crashed_prompts: BTreeSet::new(),
            samples: VecDeque::new(),
            attempt_runs: BTreeMap::new(),
            prompt_runs: BTreeMap::new(),
            settings,
        }
    }

    pub(crate) fn serves(&self, model: &str) -> bool {
        self.models.contains(model)
    }

    pub(crate) fn fresh_attempt_id(&mut self) -> String {
        self.last_id += 1;
        format!("unnamed-{}", self.last_id)
    }

    pub(crate) fn count_run(&mut self, attempt_id: &str, prompt: &str) {
        count(&mut self.attempt_runs, attempt_id).runs += 1;
        count(&mut self.prompt_runs, prompt).runs += 1;
    }

    pub(crate) fn run_counts(&self) -> RunCounts {
        RunCounts {
            attempts: self.attempt_runs.values().cloned().collect(),
            prompts: self.prompt_runs.values().cloned().collect(),
            received: self.received,
        }
    }

    /// Starts to generate an answer.
    pub(crate) fn submit(&mut self, attempt_id: &str, request: &ChatRequest) -> Arc<Answer> {
        self.tick();
        let block_tokens = self.settings.params.block_tokens;
        let mut answer = Answer::new(attempt_id, request, block_tokens);
        self.count_run(attempt_id, &answer.prompt);
        self.last_id += 1;
        let id = self.last_id;
        let continued = u32::try_from(request.continue_from_tokens.len()).unwrap_or(u32::MAX);
        let (_, blocks) = answer::prompt_blocks(&request.model, &answer.prompt, block_tokens);
        if continued < answer.last_index() {
            let sequence = SequenceRequest {
                id,
                prompt_tokens: answer.prompt_tokens + continued,
                blocks,
                first_token_index: continued + 1,
                last_token_index: answer.last_index(),
            };
            answer.cached_tokens = self.core.submit(sequence, self.now_us());
        }
        let answer = Arc::new(answer);
        let progress = watch::Sender::new(Progress {
            last_token_index: continued,
            is_cancelled: false,
        });
        let stream = Stream {
            id,
            answer: Arc::clone(&answer),
            progress,
            reader_count: 0,
            unread_since: Instant::now(),
        };
        self.attempt_of.insert(id, attempt_id.to_owned());
        self.streams.insert(attempt_id.to_owned(), stream);
        self.sample();
        answer
    }

    pub(crate) fn attach(
        &mut self,
        attempt_id: &str,
    ) -> Option<(Arc<Answer>, watch::Receiver<Progress>)> {
        let stream = self.streams.get_mut(attempt_id)?;
        stream.reader_count += 1;
        Some((Arc::clone(&stream.answer), stream.progress.subscribe()))
    }

    pub(crate) fn detach(&mut self, attempt_id: &str) {
        if let Some(stream) = self.streams.get_mut(attempt_id) {
            stream.reader_count = stream.reader_count.saturating_sub(1);
            stream.unread_since = Instant::now();
        }
    }

    pub(crate) fn cancel(&mut self, attempt_id: &str) {
        let Some(stream) = self.streams.remove(attempt_id) else {
            return;
        };
        self.core.cancel(stream.id);
        self.attempt_of.remove(&stream.id);
        stream
            .progress
            .send_modify(|progress| progress.is_cancelled = true);
        self.sample();
    }

    /// Whether the stream of this prompt breaks now; it does so once.
    pub(crate) fn crash_once(&mut self, prompt: &str) -> bool {
        self.crashed_prompts.insert(prompt.to_owned())
    }

    /// Runs the steps that have ended and forgets unread streams.
    pub(crate) fn tick(&mut self) {
        let now_us = self.now_us();
        let mut emitted = std::mem::take(&mut self.emitted);
        self.core.advance(now_us, &mut emitted);
        let has_news = !emitted.is_empty();
        for token in emitted.drain(..) {
            self.deliver(token);
        }
        self.emitted = emitted;
        if has_news {
            self.sample();
        }
        self.forget_unread();
    }

    pub(crate) fn next_event_at(&self) -> Option<Instant> {
        let at_us = self.core.next_event_us()?;
        Some(self.started_at + Duration::from_micros(at_us))
    }

    /// The newest report that is old enough.
    pub(crate) fn load_report(&mut self) -> LoadReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let is_due = |sample: &Sample| sample.taken_at.elapsed() >= lag;
        while self.samples.get(1).is_some_and(is_due) {
            self.samples.pop_front();
        }
        let sample = self.samples.front().filter(|sample| is_due(sample));
        LoadReport {
            // An older sample that nothing has changed since is still true.
            age_ms: self.settings.report_lag_ms,
            running: sample.map_or(0, |sample| sample.running),
            waiting_prompt_tokens: sample.map_or(0, |sample| sample.waiting_prompt_tokens),
            models: self.models.iter().cloned().collect(),
            leaving: self.leaving,
            fence: self.fence,
        }
    }

    /// Checks the fencing number. Returns whether the order is new, or the
    /// answer to an order that is too old.
    pub(crate) fn accept_order(&mut self, order: &Order) -> Result<bool, OrderAnswer> {
        if order.fence < self.fence && !self.settings.ignore_fencing {
            return Err(self.order_answer());
        }
        self.fence = self.fence.max(order.fence);
        Ok(self.seen_orders.insert(order.order_id.clone()))
    }

    pub(crate) fn apply_order(&mut self, action: &OrderAction, is_new: bool) -> OrderAnswer {
        match action {
            OrderAction::Load { model } if is_new => {
                self.models.insert(model.clone());
            }
            OrderAction::Unload { model } if is_new => {
                self.models.remove(model);
            }
            OrderAction::Load { .. } | OrderAction::Unload { .. } => {}
        }
        self.order_answer()
    }

    fn order_answer(&self) -> OrderAnswer {
        OrderAnswer {
            models: self.models.iter().cloned().collect(),
            fence: self.fence,
        }
    }

    fn deliver(&mut self, token: EmittedToken) {
        let Some(attempt_id) = self.attempt_of.get(&token.id) else {
            return;
        };
        let Some(stream) = self.streams.get(attempt_id) else {
            return;
        };
        stream
            .progress
            .send_modify(|progress| progress.last_token_index = token.token_index);
        count(&mut self.attempt_runs, attempt_id).tokens += 1;
        count(&mut self.prompt_runs, &stream.answer.prompt).tokens += 1;
    }

    fn forget_unread(&mut self) {
        let keep = Duration::from_millis(self.settings.resume_keep_ms);
        let is_forgotten =
            |stream: &Stream| stream.reader_count == 0 && stream.unread_since.elapsed() >= keep;
        let forgotten: Vec<_> = self
            .streams
            .iter()
            .filter(|(_, stream)| is_forgotten(stream))
            .map(|(attempt_id, _)| attempt_id.clone())
            .collect();
        for attempt_id in forgotten {
            self.cancel(&attempt_id);
        }
    }

    fn sample(&mut self) {
        let running = self.core.running() + self.core.waiting();
        self.samples.push_back(Sample {
            taken_at: Instant::now(),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting_prompt_tokens: self.core.waiting_prompt_tokens(),
        });
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        while self
            .samples
            .get(1)
            .is_some_and(|sample| sample.taken_at.elapsed() >= lag)
        {
            self.samples.pop_front();
        }
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

fn count<'a>(counts: &'a mut BTreeMap<String, RunCount>, id: &str) -> &'a mut RunCount {
    let new = || RunCount {
        id: id.to_owned(),
        ..RunCount::default()
    };
    counts.entry(id.to_owned()).or_insert_with(new)
}
