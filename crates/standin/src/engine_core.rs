//! Simulation of a model engine with continuous batching. It does no I/O and reads
//! no clock: the caller submits requests, passes the time and takes the tokens.

use std::collections::VecDeque;

use crate::prefix_cache::PrefixCache;

/// Step costs and limits of the simulated engine.
///
/// A step takes `base_us`, plus `per_sequence_us` for each sequence in it, plus
/// `prompt_token_us` for each prompt token that it prefills.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineParams {
    /// Fixed cost of a step, in microseconds.
    pub base_us: f64,
    /// Cost of each sequence in a step, in microseconds.
    pub per_sequence_us: f64,
    /// Cost of each uncached prompt token prefilled in a step, in microseconds.
    pub prompt_token_us: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk_tokens: u32,
    /// Maximum number of sequences in a step; further ones wait in a FIFO queue.
    pub running_max: usize,
    /// Number of tokens per block of the prefix cache.
    pub block_tokens: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

/// A request to generate tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequenceRequest {
    /// Id of the sequence, chosen by the caller; must be unique.
    pub id: u64,
    /// Number of prompt tokens, including those of an answer to continue.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's full leading blocks.
    pub blocks: Vec<u64>,
    /// Index of the first token to generate, counted from one over the whole answer.
    pub first_token_index: u32,
    /// Index of the last token to generate.
    pub last_token_index: u32,
}

/// A generated token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EmittedToken {
    /// Id of the sequence.
    pub id: u64,
    /// Index of the token, counted from one over the whole answer.
    pub token_index: u32,
    /// End of the step that generated the token, in microseconds.
    pub at_us: u64,
    /// Whether this is the last token of the sequence.
    pub is_last: bool,
}

/// Simulated engine with continuous batching.
///
/// Steps follow each other without a gap while there are sequences. A request
/// that arrives during a step joins the next one. Each step generates one token
/// of every sequence in it whose prompt is prefilled.
///
/// Times are microseconds since an origin that the caller chooses, and must not
/// go backwards.
#[derive(Debug)]
pub struct EngineCore {
    params: EngineParams,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    cache: PrefixCache,
    /// End of the current step; `None` while the engine is idle.
    step_ends_at_us: Option<u64>,
}

#[derive(Debug)]
struct Sequence {
    request: SequenceRequest,
    /// Prompt tokens still to prefill; 0 once the sequence decodes.
    prefill_tokens: u32,
    /// Prompt tokens that the current step prefills.
    step_prefill_tokens: u32,
    /// Index of the next token to generate.
    next_index: u32,
    /// Whether the sequence takes part in the current step.
    is_in_step: bool,
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
    /// Creates an idle engine.
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

    /// Replaces the step costs and limits from the next step on. The capacity of the prefix
    /// cache stays as it is.
    pub fn set_params(&mut self, params: EngineParams) {
        self.params = params;
    }

    /// Submits a request and returns how many of its prompt tokens are cached.
    /// Call [`EngineCore::advance`] with the same `now_us` first.
    pub fn submit(&mut self, request: SequenceRequest, now_us: u64) -> u32 {
        let cached_blocks = u32::try_from(self.cache.lookup(&request.blocks)).unwrap_or(u32::MAX);
        let cached_tokens = (cached_blocks * self.params.block_tokens).min(request.prompt_tokens);
        let sequence = Sequence {
            // The last prompt token is always computed, because that yields the
            // first generated token.
            prefill_tokens: (request.prompt_tokens - cached_tokens).max(1),
            step_prefill_tokens: 0,
            next_index: request.first_token_index,
            is_in_step: false,
            request,
        };
        self.waiting.push_back(sequence);
        if self.step_ends_at_us.is_none() {
            self.begin_step(now_us);
        }
        cached_tokens
    }

    /// Removes a sequence. An unknown id is ignored.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|sequence| sequence.request.id != id);
        self.running.retain(|sequence| sequence.request.id != id);
    }

    /// Runs every step that ends by `now_us` and appends its tokens to `emitted`.
    pub fn advance(&mut self, now_us: u64, emitted: &mut Vec<EmittedToken>) {
        while let Some(ends_at_us) = self
            .step_ends_at_us
            .filter(|ends_at_us| *ends_at_us <= now_us)
        {
            self.end_step(ends_at_us, emitted);
            self.begin_step(ends_at_us);
        }
    }

    /// Returns the end of the current step in microseconds, or `None` while the
    /// engine is idle.
    #[must_use]
    pub fn next_event_us(&self) -> Option<u64> {
        self.step_ends_at_us
    }

    /// Returns the number of running sequences.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of sequences that wait because the batch is full or
    /// because a step is in progress.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of submitted prompt tokens that are not yet prefilled.
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
            sequence.is_in_step = true;
            sequence.step_prefill_tokens = sequence.prefill_tokens.min(budget_tokens);
            budget_tokens -= sequence.step_prefill_tokens;
            prefilled_tokens += sequence.step_prefill_tokens;
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
            if !std::mem::take(&mut sequence.is_in_step) {
                continue;
            }
            let was_prefilling = sequence.prefill_tokens > 0;
            sequence.prefill_tokens -= std::mem::take(&mut sequence.step_prefill_tokens);
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
