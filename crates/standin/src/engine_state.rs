//! State of the stand-in engine: simulated engine, streams, loaded models and run
//! counts.

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
    pub(crate) is_leaving: bool,
    /// Number of chat requests received, including refused ones.
    pub(crate) received: u32,
    settings: EngineSettings,
    started_at: Instant,
    core: EngineCore,
    /// Buffer that each tick reuses; empty in between.
    emitted: Vec<EmittedToken>,
    /// Streams by attempt id.
    streams: BTreeMap<String, Stream>,
    /// Attempt id by sequence id.
    attempt_ids: BTreeMap<u64, String>,
    /// Last id that was assigned to a sequence or to an attempt without an id.
    last_id: u64,
    models: BTreeSet<ModelName>,
    /// Highest fencing token seen in an order.
    fence: u64,
    /// Ids of the accepted orders; a resent order is not carried out again.
    seen_order_ids: BTreeSet<String>,
    /// Prompts whose stream has already broken as scripted.
    crashed_prompts: BTreeSet<String>,
    /// Load history, oldest first, back to the newest sample older than the report
    /// lag.
    samples: VecDeque<LoadSample>,
    attempt_runs: BTreeMap<String, RunCount>,
    prompt_runs: BTreeMap<String, RunCount>,
}

/// Load of the engine at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LoadSample {
    taken_at: Instant,
    running: u32,
    waiting_prompt_tokens: u32,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            is_leaving: false,
            received: 0,
            started_at: Instant::now(),
            core: EngineCore::new(settings.params.clone()),
            emitted: Vec::new(),
            streams: BTreeMap::new(),
            attempt_ids: BTreeMap::new(),
            last_id: 0,
            models: settings.models.iter().cloned().collect(),
            fence: 0,
            seen_order_ids: BTreeSet::new(),
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

    /// Returns a new id for an attempt whose request has none.
    pub(crate) fn next_attempt_id(&mut self) -> String {
        self.last_id += 1;
        format!("unnamed-{}", self.last_id)
    }

    pub(crate) fn count_run(&mut self, attempt_id: &str, prompt: &str) {
        run_count(&mut self.attempt_runs, attempt_id).runs += 1;
        run_count(&mut self.prompt_runs, prompt).runs += 1;
    }

    pub(crate) fn run_counts(&self) -> RunCounts {
        RunCounts {
            attempts: self.attempt_runs.values().cloned().collect(),
            prompts: self.prompt_runs.values().cloned().collect(),
            received: self.received,
        }
    }

    /// Starts to generate the answer to a request.
    pub(crate) fn submit(&mut self, attempt_id: &str, request: &ChatRequest) -> Arc<Answer> {
        self.tick();
        let block_tokens = self.settings.params.block_tokens;
        let mut answer = Answer::new(attempt_id, request, block_tokens);
        self.count_run(attempt_id, &answer.prompt);
        self.last_id += 1;
        let id = self.last_id;
        let continued_tokens =
            u32::try_from(request.continue_from_tokens.len()).unwrap_or(u32::MAX);
        let (_, blocks) = answer::prompt_blocks(&request.model, &answer.prompt, block_tokens);
        if continued_tokens < answer.last_token_index() {
            let sequence = SequenceRequest {
                id,
                prompt_tokens: answer.prompt_tokens + continued_tokens,
                blocks,
                first_token_index: continued_tokens + 1,
                last_token_index: answer.last_token_index(),
            };
            answer.cached_tokens = self.core.submit(sequence, self.now_us());
        }
        let answer = Arc::new(answer);
        let progress = watch::Sender::new(Progress {
            last_token_index: continued_tokens,
            is_cancelled: false,
        });
        let stream = Stream {
            id,
            answer: Arc::clone(&answer),
            progress,
            reader_count: 0,
            unread_since: Instant::now(),
        };
        self.attempt_ids.insert(id, attempt_id.to_owned());
        self.streams.insert(attempt_id.to_owned(), stream);
        self.record_load_sample();
        answer
    }

    /// Registers a reader of a stream. Returns `None` if the attempt is unknown.
    pub(crate) fn attach_reader(
        &mut self,
        attempt_id: &str,
    ) -> Option<(Arc<Answer>, watch::Receiver<Progress>)> {
        let stream = self.streams.get_mut(attempt_id)?;
        stream.reader_count += 1;
        Some((Arc::clone(&stream.answer), stream.progress.subscribe()))
    }

    /// Unregisters a reader of a stream.
    pub(crate) fn detach_reader(&mut self, attempt_id: &str) {
        if let Some(stream) = self.streams.get_mut(attempt_id) {
            stream.reader_count = stream.reader_count.saturating_sub(1);
            stream.unread_since = Instant::now();
        }
    }

    /// Stops generating an answer and drops its stream. An unknown attempt is
    /// ignored.
    pub(crate) fn cancel(&mut self, attempt_id: &str) {
        let Some(stream) = self.streams.remove(attempt_id) else {
            return;
        };
        self.core.cancel(stream.id);
        self.attempt_ids.remove(&stream.id);
        stream
            .progress
            .send_modify(|progress| progress.is_cancelled = true);
        self.record_load_sample();
    }

    /// Records that the stream of a prompt breaks and returns whether this is the
    /// first time, so that each prompt crashes only once.
    pub(crate) fn crash_once(&mut self, prompt: &str) -> bool {
        self.crashed_prompts.insert(prompt.to_owned())
    }

    /// Runs the steps that have ended and drops streams that have had no reader for
    /// `resume_keep_ms`.
    pub(crate) fn tick(&mut self) {
        let now_us = self.now_us();
        let mut emitted = std::mem::take(&mut self.emitted);
        self.core.advance(now_us, &mut emitted);
        let has_new_tokens = !emitted.is_empty();
        for token in emitted.drain(..) {
            self.publish_token(token);
        }
        self.emitted = emitted;
        if has_new_tokens {
            self.record_load_sample();
        }
        self.drop_unread_streams();
    }

    /// Returns the end of the current step, or `None` while the engine is idle.
    pub(crate) fn next_step_end(&self) -> Option<Instant> {
        let at_us = self.core.next_event_us()?;
        Some(self.started_at + Duration::from_micros(at_us))
    }

    /// Returns the load as it was one report lag ago. Models, leaving state and
    /// fencing token are current.
    pub(crate) fn load_report(&mut self) -> LoadReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let is_due = |sample: &LoadSample| sample.taken_at.elapsed() >= lag;
        while self.samples.get(1).is_some_and(is_due) {
            self.samples.pop_front();
        }
        let sample = self.samples.front().filter(|sample| is_due(sample));
        LoadReport {
            // An older sample is still accurate if the load has not changed since,
            // so the reported age is the lag.
            age_ms: self.settings.report_lag_ms,
            running: sample.map_or(0, |sample| sample.running),
            waiting_prompt_tokens: sample.map_or(0, |sample| sample.waiting_prompt_tokens),
            models: self.models.iter().cloned().collect(),
            leaving: self.is_leaving,
            fence: self.fence,
        }
    }

    /// Checks the fencing token of an order and returns whether the order is new.
    ///
    /// # Errors
    ///
    /// Returns the answer to the order if its fencing token is outdated.
    pub(crate) fn accept_order(&mut self, order: &Order) -> Result<bool, OrderAnswer> {
        if order.fence < self.fence && !self.settings.ignore_fencing {
            return Err(self.order_answer());
        }
        self.fence = self.fence.max(order.fence);
        Ok(self.seen_order_ids.insert(order.order_id.clone()))
    }

    /// Carries out an order unless it is a resend, and returns the answer.
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

    /// Makes a token available to the readers of its stream and counts it.
    fn publish_token(&mut self, token: EmittedToken) {
        let Some(attempt_id) = self.attempt_ids.get(&token.id) else {
            return;
        };
        let Some(stream) = self.streams.get(attempt_id) else {
            return;
        };
        stream
            .progress
            .send_modify(|progress| progress.last_token_index = token.token_index);
        run_count(&mut self.attempt_runs, attempt_id).tokens += 1;
        run_count(&mut self.prompt_runs, &stream.answer.prompt).tokens += 1;
    }

    fn drop_unread_streams(&mut self) {
        let max_idle = Duration::from_millis(self.settings.resume_keep_ms);
        let is_expired =
            |stream: &Stream| stream.reader_count == 0 && stream.unread_since.elapsed() >= max_idle;
        let expired_ids: Vec<_> = self
            .streams
            .iter()
            .filter(|(_, stream)| is_expired(stream))
            .map(|(attempt_id, _)| attempt_id.clone())
            .collect();
        for attempt_id in expired_ids {
            self.cancel(&attempt_id);
        }
    }

    fn record_load_sample(&mut self) {
        let running = self.core.running() + self.core.waiting();
        self.samples.push_back(LoadSample {
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

/// Returns the run count of an attempt or prompt, which starts at zero.
fn run_count<'a>(counts: &'a mut BTreeMap<String, RunCount>, id: &str) -> &'a mut RunCount {
    let zero_count = || RunCount {
        id: id.to_owned(),
        ..RunCount::default()
    };
    counts.entry(id.to_owned()).or_insert_with(zero_count)
}
