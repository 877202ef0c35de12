//! Runs of requests and items at upstreams, from their start to their end or a
//! crash of the upstream.

use gateway::{Target, WorkKind};
use standin::{EmittedToken, SequenceRequest};

use super::{
    super::{
        arrivals::{EVENT_TOKENS, RequestSize},
        scheduler::upstream_index,
        tally::{Class, WorkEnd},
    },
    ATTEMPTS_MAX, CALLER_LINK_US, Event, Sequence, SequenceWork, Simulation, US_PER_MS,
};

impl Simulation {
    /// Sends a request to an upstream and returns the index of its sequence.
    /// The answer continues after `tokens_done` tokens.
    pub(super) fn start_sequence(
        &mut self,
        instance: usize,
        target: Target,
        work: SequenceWork,
        size: RequestSize,
        tokens_done: u32,
        expected_ms: u64,
    ) -> usize {
        let sequence = self.sequences.len();
        let upstream = upstream_index(&target.upstream);
        let one_way_link_us = self.one_way_link_us(instance, upstream);
        let round_trip_ms = f64::from(u32::try_from(2 * one_way_link_us).unwrap_or(u32::MAX)) / 1e3;
        let upstream_table = &mut self.schedulers[instance].upstream_table;
        upstream_table.record_round_trip(&target, round_trip_ms);
        self.sequences.push(Sequence {
            instance,
            upstream,
            target,
            work,
            request: SequenceRequest {
                id: sequence as u64,
                prompt_tokens: size.prompt_tokens + tokens_done,
                blocks: Vec::new(),
                first_token_index: tokens_done + 1,
                last_token_index: size.output_tokens,
            },
            began_us: self.now_us,
            first_event_us: 0,
            expected_ms,
            tokens_done,
            has_begun: false,
            is_ended: false,
        });
        self.push(
            self.now_us + one_way_link_us,
            Event::SubmitSequence { sequence },
        );
        self.share_state_at_once(instance);
        sequence
    }

    pub(super) fn submit_sequence(&mut self, sequence: usize) {
        let Sequence {
            instance,
            upstream,
            is_ended,
            ..
        } = self.sequences[sequence];
        if is_ended {
            return;
        }
        if !self.upstreams[upstream].is_alive {
            let at_us = self.now_us + self.one_way_link_us(instance, upstream);
            self.push(at_us, Event::Interrupted { sequence });
            return;
        }
        self.advance(upstream);
        let request = self.sequences[sequence].request.clone();
        self.upstreams[upstream].core.submit(request, self.now_us);
        self.queue_step(upstream);
    }

    pub(super) fn advance(&mut self, upstream: usize) {
        let mut emitted = Vec::new();
        self.upstreams[upstream]
            .core
            .advance(self.now_us, &mut emitted);
        for token in emitted {
            self.on_token(&token);
        }
    }

    pub(super) fn queue_step(&mut self, upstream: usize) {
        let due_us = self.upstreams[upstream].core.next_event_us();
        if self.upstreams[upstream].step_due_us == due_us {
            return;
        }
        self.upstreams[upstream].step_due_us = due_us;
        if let Some(due_us) = due_us {
            self.push(due_us, Event::StepEnd { upstream });
        }
    }

    fn on_token(&mut self, token: &EmittedToken) {
        let sequence = usize::try_from(token.id).unwrap_or(usize::MAX);
        let run = &mut self.sequences[sequence];
        if run.is_ended {
            return;
        }
        run.tokens_done = token.token_index;
        let event_end = run.request.first_token_index + EVENT_TOKENS - 1;
        let is_first = !run.has_begun && (token.token_index >= event_end || token.is_last);
        run.has_begun |= is_first;
        let (instance, upstream) = (run.instance, run.upstream);
        let at_us = token.at_us + self.one_way_link_us(instance, upstream);
        if is_first {
            self.push(at_us, Event::AnswerStart { sequence });
        }
        if token.is_last {
            self.push(at_us, Event::AnswerEnd { sequence });
        }
    }

    pub(super) fn on_answer_start(&mut self, sequence: usize) {
        let seen_at_us = self.now_us + CALLER_LINK_US;
        let now_ms = self.now_ms();
        let run = &mut self.sequences[sequence];
        run.first_event_us = self.now_us;
        let SequenceWork::Online { request } = run.work else {
            return;
        };
        let expected_at_ms = run.began_us / US_PER_MS + run.expected_ms;
        let delay_ms = u32::try_from(now_ms.saturating_sub(expected_at_ms)).unwrap_or(u32::MAX);
        let upstream_table = &mut self.schedulers[run.instance].upstream_table;
        upstream_table.record_answer_delay(&run.target, f64::from(delay_ms), now_ms);
        let first_us = &mut self.requests[request].first_event_us;
        first_us.get_or_insert(seen_at_us);
    }

    pub(super) fn on_answer_end(&mut self, sequence: usize) {
        let now_ms = self.now_ms();
        let run = &mut self.sequences[sequence];
        if std::mem::replace(&mut run.is_ended, true) {
            return;
        }
        let instance = run.instance;
        let first_token = run.request.first_token_index;
        let events = u64::from((run.tokens_done + 1 - first_token) / EVENT_TOKENS);
        let duration_ms = (self.now_us - run.first_event_us) / US_PER_MS;
        self.schedulers[instance].upstream_table.record_pace(
            &run.target,
            events,
            duration_ms,
            now_ms,
        );
        match run.work {
            SequenceWork::Online { request } => {
                let held_ms = now_ms - run.began_us / US_PER_MS;
                let upstream_table = &mut self.schedulers[instance].upstream_table;
                upstream_table.record_end(&run.target, WorkKind::Online);
                upstream_table.record_completion(&run.target, WorkKind::Online, held_ms);
                let request = &self.requests[request];
                let work_end = request.work_end();
                self.tally
                    .add(Class::Online, request.first_sent_us, work_end);
            }
            SequenceWork::Item { index } => {
                let tokens_done = run.tokens_done;
                let scheduler = &mut self.schedulers[instance];
                scheduler.record_item_end(index, tokens_done, now_ms);
                let item = &scheduler.items[index];
                let work_end = if now_ms <= item.due_ms {
                    WorkEnd::OnTime
                } else {
                    WorkEnd::Late
                };
                self.tally.add(Class::Item, item.accepted_us, work_end);
            }
        }
        self.share_state_at_once(instance);
    }

    pub(super) fn on_interrupted(&mut self, sequence: usize) {
        let now_ms = self.now_ms();
        let run = &mut self.sequences[sequence];
        if std::mem::replace(&mut run.is_ended, true) {
            return;
        }
        let (instance, tokens_done) = (run.instance, run.tokens_done);
        let scheduler = &mut self.schedulers[instance];
        scheduler.upstream_table.record_failure(&run.target, now_ms);
        match run.work {
            SequenceWork::Online { request } => {
                scheduler
                    .upstream_table
                    .record_end(&run.target, WorkKind::Online);
                let interrupted = &mut self.requests[request];
                interrupted.tokens_done = tokens_done;
                interrupted.tried.push(run.target.upstream.clone());
                if interrupted.tried.len() < ATTEMPTS_MAX {
                    self.place_request(request);
                } else {
                    let sent_us = interrupted.first_sent_us;
                    self.tally.add(Class::Online, sent_us, WorkEnd::Failed);
                }
            }
            SequenceWork::Item { index } => {
                scheduler.record_item_end(index, tokens_done, now_ms);
            }
        }
        self.share_state_at_once(instance);
    }
}
