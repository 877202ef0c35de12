//! Simulation of the engines: their steps, batch work and the oracle.

use standin::SequenceRequest;

use super::{ActiveRequest, Event, Simulation, US_PER_S};
use crate::{
    Phase, Scheduling, batch_owner::Command, oracle::Outlook, outcome::record,
    simulation::RunResult,
};

/// Interval at which the oracle looks at an idle engine, microseconds.
const IDLE_POLL_US: u64 = 1_000;

impl Simulation<'_> {
    pub(super) fn submit_sequence(&mut self, index: usize, sequence: SequenceRequest) {
        self.advance(index);
        let engine = &mut self.engines[index];
        if is_batch(sequence.id) {
            engine.batch_items += 1;
        } else {
            let request = request_index(sequence.id);
            engine.online.push(ActiveRequest {
                request,
                arrived_at_us: self.now_us,
                tokens: 0,
            });
        }
        engine.core.submit(sequence, self.now_us);
        self.schedule_step_end(index);
    }

    pub(super) fn cancel_item(&mut self, index: usize, item: u64) {
        self.advance(index);
        let engine = &mut self.engines[index];
        let before = engine.core.running() + engine.core.waiting();
        engine.core.cancel(item * 2 + 1);
        let after = engine.core.running() + engine.core.waiting();
        if after < before {
            engine.batch_items -= 1;
            self.outcome.batch_cancels += 1;
        }
        self.record_drained_bursts();
        if !matches!(self.scheduling, Scheduling::Oracle(_)) {
            let at_us = self.now_us + self.shape.home_link_us;
            self.push(at_us, Event::Cancelled(index, item));
        }
    }

    pub(super) fn on_step_end(&mut self, index: usize) {
        if self.engines[index].step_ends_at_us != Some(self.now_us) {
            return;
        }
        self.advance(index);
        self.schedule_step_end(index);
        self.record_drained_bursts();
    }

    /// Advances the engine to the current time and sends its tokens to entries
    /// and the owner.
    fn advance(&mut self, index: usize) {
        let mut emitted = std::mem::take(&mut self.emitted);
        emitted.clear();
        self.engines[index].core.advance(self.now_us, &mut emitted);
        let mut batch = Vec::new();
        for token in &emitted {
            if is_batch(token.id) {
                batch.push((token.id / 2, token.is_last));
                continue;
            }
            let request = request_index(token.id);
            let attempt = (token.id & 0xFFFF_FFFF) >> 1;
            let online = &mut self.engines[index].online;
            if let Some(position) = online.iter().position(|active| active.request == request) {
                online[position].tokens += 1;
                if token.is_last {
                    online.swap_remove(position);
                }
            }
            let entry = self.workload.online[request].entry;
            let at_us = token.at_us + self.entry_link_us(entry, index);
            self.push(at_us, Event::OnlineToken(request, attempt, token.is_last));
        }
        self.emitted = emitted;
        if batch.is_empty() {
            return;
        }
        let ended = batch.iter().filter(|token| token.1).count();
        self.engines[index].batch_items -= u32::try_from(ended).unwrap_or(u32::MAX);
        if matches!(self.scheduling, Scheduling::Oracle(_)) {
            self.on_batch_tokens(index, &batch);
        } else {
            let at_us = self.now_us + self.shape.home_link_us;
            self.push(at_us, Event::BatchTokens(index, batch));
        }
    }

    /// Schedules the end of the engine's current step, if it has one that is
    /// not scheduled yet.
    fn schedule_step_end(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let ends_at_us = engine.core.next_event_us();
        if ends_at_us == engine.step_ends_at_us {
            return;
        }
        engine.step_ends_at_us = ends_at_us;
        engine.step_began_at_us = self.now_us;
        engine.steps_since_prompt += 1;
        let Some(at_us) = ends_at_us else {
            return;
        };
        self.push(at_us, Event::StepEnd(index));
        if matches!(self.scheduling, Scheduling::Oracle(_)) {
            self.push(at_us - 1, Event::Oracle(index));
        }
    }

    pub(super) fn on_batch_tokens(&mut self, index: usize, tokens: &[(u64, bool)]) {
        for (item, is_last) in tokens {
            let is_output = self.owners[index].on_token(*item, *is_last, self.now_us);
            self.count_batch_tokens(u64::from(is_output));
        }
        if !matches!(self.scheduling, Scheduling::Oracle(_)) {
            self.tick_owner(index);
        }
    }

    fn count_batch_tokens(&mut self, tokens: u64) {
        let params = &self.workload.params;
        if (params.warmup_s * US_PER_S..params.run_s * US_PER_S).contains(&self.now_us) {
            self.outcome.batch_tokens += tokens;
        }
    }

    /// Ticks an owner, and schedules its messages and its next tick.
    pub(super) fn tick_owner(&mut self, index: usize) {
        let (commands, next_at_us) = self.owners[index].tick(self.now_us);
        let at_us = self.now_us + self.shape.home_link_us;
        for command in commands {
            let event = match command {
                Command::Submit(sequence) => Event::Submit(index, sequence),
                Command::Cancel(item) => Event::Cancel(index, item),
            };
            self.push(at_us, event);
        }
        let Some(next_at_us) = next_at_us else {
            return;
        };
        if next_at_us < self.owners[index].tick_at_us {
            self.owners[index].tick_at_us = next_at_us;
            self.push(next_at_us, Event::Tick(index));
        }
    }

    /// Lets the oracle plan the next step of an engine.
    pub(super) fn consult_oracle(&mut self, index: usize) {
        let Scheduling::Oracle(rules) = self.scheduling else {
            return;
        };
        let next_step_at_us = self.now_us + 1;
        let owner = &self.owners[index];
        let continuing: Vec<u64> = owner
            .in_flight()
            .iter()
            .copied()
            .filter(|item| owner.remaining_tokens(*item) > 1 && !owner.is_part(*item))
            .collect();
        let outlook = self.outlook(index, next_step_at_us, continuing.len());
        let allowance = rules.decide(&outlook, self.params);
        self.preempt_items(index, &continuing, allowance.items);
        let start_max = allowance.items.saturating_sub(continuing.len());
        self.start_items(index, start_max, allowance.prompt_tokens);
        if self.engines[index].step_ends_at_us.is_none() {
            self.push(self.now_us + IDLE_POLL_US, Event::Oracle(index));
        }
    }

    fn outlook(&mut self, index: usize, next_step_at_us: u64, items: usize) -> Outlook {
        let region = self.shape.engine_region(index);
        let in_burst = self.workload.bursts.iter().any(|burst| {
            let length_us = self.workload.params.burst_s * US_PER_S;
            burst.0 == region && (burst.1..burst.1 + length_us).contains(&self.now_us)
        });
        let engine = &mut self.engines[index];
        let mut online = 0;
        let mut online_prompt_tokens = 0;
        for active in &engine.online {
            let request = &self.workload.online[active.request];
            let joins_next_step = active.arrived_at_us > engine.step_began_at_us;
            if joins_next_step {
                online_prompt_tokens += request.prompt_tokens;
            }
            online += usize::from(joins_next_step || active.tokens + 1 < request.output_tokens);
        }
        while engine
            .known_arrivals
            .last()
            .is_some_and(|at_us| *at_us < next_step_at_us)
        {
            engine.known_arrivals.pop();
        }
        Outlook {
            online,
            online_prompt_tokens,
            next_arrival_us: engine
                .known_arrivals
                .last()
                .map(|at_us| us_to_f64(*at_us - next_step_at_us)),
            in_burst,
            steps_since_prompt: engine.steps_since_prompt,
            items,
        }
    }

    /// Preempts items beyond `keep_count`, those with the fewest tokens first.
    /// The token that the current step produces for them counts.
    fn preempt_items(&mut self, index: usize, continuing: &[u64], keep_count: usize) {
        let excess = continuing.len().saturating_sub(keep_count);
        if excess == 0 {
            return;
        }
        let owner = &self.owners[index];
        let mut by_progress = continuing.to_vec();
        by_progress.sort_by_key(|item| owner.tokens_done(*item));
        for item in &by_progress[..excess] {
            self.cancel_item(index, *item);
            self.owners[index].on_token(*item, false, self.now_us);
            self.count_batch_tokens(1);
            self.owners[index].on_cancelled(*item, self.now_us);
        }
    }

    /// Starts up to `start_max` items, or parts of their prompts, with at most
    /// `prompt_tokens` tokens to prefill.
    fn start_items(&mut self, index: usize, start_max: usize, prompt_tokens: u32) {
        let mut budget_tokens = prompt_tokens;
        for _ in 0..start_max {
            let Some((sequence, tokens)) = self.owners[index].start_next(budget_tokens, false)
            else {
                return;
            };
            budget_tokens = budget_tokens.saturating_sub(tokens);
            self.engines[index].steps_since_prompt = 0;
            self.submit_sequence(index, sequence);
        }
    }

    /// Records the start of a burst at its first request.
    pub(super) fn record_burst_start(&mut self, request: usize) {
        let request = &self.workload.online[request];
        if !request.in_burst {
            return;
        }
        let region = self.shape.entry_region(request.entry);
        let bursts = &self.workload.bursts;
        let latest_burst = bursts
            .iter()
            .rev()
            .find(|burst| burst.0 == region && burst.1 <= request.at_us)
            .copied();
        let Some(burst) = latest_burst else {
            return;
        };
        if self.seen_bursts.contains(&burst) {
            return;
        }
        self.seen_bursts.push(burst);
        self.undrained_bursts.push((region, request.at_us));
        self.record_drained_bursts();
    }

    /// Records the bursts whose region has no batch work left, and those that
    /// ended while their region still had batch work.
    fn record_drained_bursts(&mut self) {
        let mut index = 0;
        while index < self.undrained_bursts.len() {
            let (region, started_at_us) = self.undrained_bursts[index];
            let elapsed_us = self.now_us - started_at_us;
            let is_over = elapsed_us > self.workload.params.burst_s * US_PER_S;
            let mut region_engines = (0..self.engines.len())
                .filter(|engine| self.shape.engine_region(*engine) == region);
            if is_over {
                self.outcome.bursts_not_drained += 1;
            } else if region_engines.all(|engine| self.engines[engine].batch_items == 0) {
                record(&mut self.outcome.batch_drain_us, elapsed_us);
            } else {
                index += 1;
                continue;
            }
            self.undrained_bursts.swap_remove(index);
        }
    }

    pub(super) fn finish(mut self) -> RunResult {
        for index in 0..self.requests.len() {
            if self.is_measured(index) {
                self.count_request(index);
            }
        }
        let bytes = self.routers.iter().map(policy::Router::cross_region_bytes);
        self.outcome.cross_region_bytes = bytes.sum();
        RunResult {
            outcome: self.outcome,
            assignment: self.requests.iter().map(|state| state.engine).collect(),
        }
    }

    fn count_request(&mut self, index: usize) {
        let phase: Phase = self.phase(index);
        let request = &self.workload.online[index];
        let params = &self.workload.params;
        let state = &self.requests[index];
        let outcome = &mut self.outcome;
        outcome.requests += 1;
        if state.is_refused {
            outcome.refused += 1;
            outcome.late += 1;
            return;
        }
        if !state.is_complete || state.tokens != request.output_tokens {
            outcome.errors += 1;
        }
        let Some(first_at_us) = state.first_token_at_us else {
            outcome.late += 1;
            return;
        };
        let first_token_us = first_at_us - request.at_us;
        let is_late = first_token_us > params.first_token_us
            || state.longest_gap_us > params.between_tokens_us;
        outcome.late += u64::from(is_late);
        record(&mut outcome.phase_mut(phase).first_token_us, first_token_us);
    }
}

/// Returns whether a sequence belongs to a batch item. Its ID is then odd.
fn is_batch(id: u64) -> bool {
    id % 2 == 1
}

fn request_index(id: u64) -> usize {
    usize::try_from(id >> 32).unwrap_or(usize::MAX)
}

fn us_to_f64(time_us: u64) -> f64 {
    u32::try_from(time_us).map_or(f64::MAX, f64::from)
}
