//! An engine that batches continuously, without I/O: requests in, tokens out,
//! time passed in.

use std::collections::VecDeque;

use crate::prefix_cache::PrefixCache;

/// Cost of a step and limits of the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineParams {
    /// Fixed cost of a step, microseconds.
    pub base_us: f64,
    /// Cost of each sequence in a step, microseconds.
    pub per_sequence_us: f64,
    /// Cost of each uncached prompt token prefilled in a step, microseconds.
    pub prompt_token_us: f64,
    /// Most prompt tokens prefilled in one step.
    pub prefill_chunk_tokens: u32,
    /// Most sequences in a step; the rest waits first in, first out.
    pub running_max: usize,
    /// Tokens of a block of the prefix cache.
    pub block_tokens: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

/// A request to generate tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequenceRequest {
    /// Caller's number of the sequence; must be unique.
    pub id: u64,
    /// Prompt tokens, continued ones included.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
    /// Number of the first token to generate, counted from one.
    pub first_token_index: u32,
    /// Number of the last token to generate.
    pub last_token_index: u32,
}

/// One token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EmittedToken {
    /// Number of its sequence.
    pub id: u64,
    /// Number of the token, counted from one over the whole answer.
    pub token_index: u32,
    /// When its step ended, microseconds.
    pub at_us: u64,
    /// Whether the sequence is complete.
    pub is_last: bool,
}

/// The engine. Steps run while a sequence is present; what arrives during a
/// step joins at the next.
#[derive(Debug)]
pub struct EngineCore {
    params: EngineParams,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    cache: PrefixCache,
    step_ends_at_us: Option<u64>,
}

#[derive(Debug)]
struct Sequence {
    request: SequenceRequest,
    /// Prompt tokens still to prefill; none are left once it decodes.
    prefill_tokens: u32,
    /// Prompt tokens that the current step prefills.
    step_tokens: u32,
    next_index: u32,
    in_step: bool,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            base_us: 12_000.0,
            per_sequence_us: 40.0,
            prompt_token_us: 50.0,
            prefill_chunk_tokens: 2_048,
            running_max: 256,
            block_tokens: 16,
            cache_blocks: 4_096,
        }
    }
}

impl EngineCore {
    /// An idle engine.
    #[must_use]
    pub fn new(params: EngineParams) -> Self {
        let cache = PrefixCache::new(params.cache_blocks);
        Self {
            params,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache,
            step_ends_at_us: None,
        }
    }

    /// Admits a request and returns how many of its prompt tokens are cached.
    /// Call [`EngineCore::advance`] up to `now_us` first.
    pub fn submit(&mut self, request: SequenceRequest, now_us: u64) -> u32 {
        let hits = u32::try_from(self.cache.hit(&request.blocks)).unwrap_or(u32::MAX);
        let cached = (hits * self.params.block_tokens).min(request.prompt_tokens);
        let sequence = Sequence {
            // The last prompt token is always computed, it yields the first token.
            prefill_tokens: (request.prompt_tokens - cached).max(1),
            step_tokens: 0,
            next_index: request.first_token_index,
            in_step: false,
            request,
        };
        self.waiting.push_back(sequence);
        if self.step_ends_at_us.is_none() {
            self.begin_step(now_us);
        }
        cached
    }

    /// Forgets a sequence; unknown ones are ignored.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|sequence| sequence.request.id != id);
        self.running.retain(|sequence| sequence.request.id != id);
    }

    /// Runs every step that ends by `now_us` and appends its tokens.
    pub fn advance(&mut self, now_us: u64, emitted: &mut Vec<EmittedToken>) {
        while let Some(ends_at_us) = self.step_ends_at_us.filter(|ends| *ends <= now_us) {
            self.end_step(ends_at_us, emitted);
            self.begin_step(ends_at_us);
        }
    }

    /// When the current step ends, if one runs.
    #[must_use]
    pub fn next_event_us(&self) -> Option<u64> {
        self.step_ends_at_us
    }

    /// Sequences present in steps.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sequences that wait for a place.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Prompt tokens admitted but not yet prefilled.
    #[must_use]
    pub fn waiting_prompt_tokens(&self) -> u32 {
        let all = self.waiting.iter().chain(&self.running);
        all.map(|sequence| sequence.prefill_tokens).sum()
    }

    fn begin_step(&mut self, now_us: u64) {
        while self.running.len() < self.params.running_max {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(sequence);
        }
        if self.running.is_empty() {
            self.step_ends_at_us = None;
            return;
        }
        let mut budget_tokens = self.params.prefill_chunk_tokens.max(1);
        let mut prefilled_tokens = 0;
        for sequence in &mut self.running {
            sequence.in_step = true;
            sequence.step_tokens = sequence.prefill_tokens.min(budget_tokens);
            budget_tokens -= sequence.step_tokens;
            prefilled_tokens += sequence.step_tokens;
        }
        let step_us = self.step_us(self.running.len(), prefilled_tokens);
        self.step_ends_at_us = Some(now_us + step_us);
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "step times are small positive numbers of microseconds"
    )]
    fn step_us(&self, sequences: usize, prefilled_tokens: u32) -> u64 {
        let params = &self.params;
        let step_us = params.base_us
            + params.per_sequence_us * sequences as f64
            + params.prompt_token_us * f64::from(prefilled_tokens);
        step_us.max(1.0) as u64
    }

    fn end_step(&mut self, at_us: u64, emitted: &mut Vec<EmittedToken>) {
        for sequence in &mut self.running {
            if !std::mem::take(&mut sequence.in_step) {
                continue;
            }
            let was_prefilling = sequence.prefill_tokens > 0;
            sequence.prefill_tokens -= std::mem::take(&mut sequence.step_tokens);
            if sequence.prefill_tokens > 0 {
                continue;
            }
            if was_prefilling {
                self.cache.insert(&sequence.request.blocks);
            }
            emitted.push(EmittedToken {
                id: sequence.request.id,
                token_index: sequence.next_index,
                at_us,
                is_last: sequence.next_index >= sequence.request.last_token_index,
            });
            sequence.next_index += 1;
        }
        self.running
            .retain(|sequence| sequence.next_index <= sequence.request.last_token_index);
    }
}
