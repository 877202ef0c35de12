//! Owners of batch work: each submits batch items to one engine and cancels
//! them as the policy under test decides.

use std::collections::VecDeque;

use model::DispatchNotice;
use policy::{BatchWindow, OnlineTarget, UpstreamLoad, Urgency, WindowRules};
use standin::SequenceRequest;

use crate::{
    OracleRules,
    fleet::engine_id,
    workload::{BatchItem, Workload},
};

/// Tokens per block of the engines' prefix cache.
const BLOCK_TOKENS: u32 = 16;

/// Smallest part of a prompt that is submitted on its own, tokens.
const PART_TOKENS_MIN: u32 = 32;
/// Number of ready items among which an owner chooses the next one to start.
const READY_ITEMS: usize = 32;

/// Policy that limits batch work for the sake of online work.
#[derive(Debug, Clone, PartialEq)]
pub enum Scheduling {
    /// Runs no batch work.
    Alone,
    /// Adapts the number of items with the product's batch window.
    Window {
        /// Parameters of the window.
        rules: WindowRules,
        /// How close the batch jobs are to missing their targets.
        urgency: Urgency,
        /// Whether long prompts are prefilled in parts.
        in_parts: bool,
    },
    /// Keeps a fixed number of items at each engine.
    Fixed(u32),
    /// Reserves some engines of each region for batch work and the others for
    /// online work.
    Split {
        /// Engines per region that run only batch work.
        batch_engines: usize,
        /// Items at each of these engines.
        items: u32,
    },
    /// Decides with knowledge of future online requests.
    Oracle(OracleRules),
}

/// The owner of the batch work at one engine.
#[derive(Debug)]
pub struct BatchOwner {
    engine: usize,
    /// Tracks the online load of the engine under every policy, and plans the
    /// batch work under [`Scheduling::Window`].
    window: BatchWindow,
    uses_window: bool,
    splits_prompts: bool,
    fixed_items: u32,
    backlog: Vec<BatchItem>,
    items: Vec<Item>,
    ready: VecDeque<u64>,
    /// Items at the engine or on their way to it, in order of their start.
    in_flight: Vec<u64>,
    /// Time of the earliest scheduled tick, microseconds.
    pub tick_at_us: u64,
}

#[derive(Debug)]
struct Item {
    lengths: BatchItem,
    tokens_done: u32,
    /// Leading prompt tokens that the engine should hold in its prefix cache
    /// because it was sent them before.
    cached_tokens: u32,
    in_flight: bool,
    /// Whether the engine prefills only a part of the item's prompt.
    is_part: bool,
}

/// A message from an owner to its engine.
#[derive(Debug)]
pub enum Command {
    /// Starts or continues an item.
    Submit(SequenceRequest),
    /// Cancels an item.
    Cancel(u64),
}

impl BatchOwner {
    /// Creates the owner of an engine's batch work.
    pub fn new(engine: usize, scheduling: &Scheduling, workload: &Workload) -> Self {
        let mut window = BatchWindow::new(engine_id(engine));
        window.set_online_target(OnlineTarget {
            first_token_us: saturating_u32(workload.params.first_token_us),
            between_tokens_us: saturating_u32(workload.params.between_tokens_us),
        });
        let mut fixed_items = 0;
        match scheduling {
            Scheduling::Window { rules, urgency, .. } => {
                window = window.with_rules(*rules);
                window.set_urgency(*urgency);
            }
            Scheduling::Fixed(items) | Scheduling::Split { items, .. } => fixed_items = *items,
            Scheduling::Alone | Scheduling::Oracle(_) => {}
        }
        Self {
            engine,
            window,
            uses_window: matches!(scheduling, Scheduling::Window { .. }),
            splits_prompts: match scheduling {
                Scheduling::Window { in_parts, .. } => *in_parts,
                _ => matches!(scheduling, Scheduling::Oracle(_)),
            },
            fixed_items,
            backlog: workload.batch.clone(),
            items: Vec::new(),
            ready: VecDeque::new(),
            in_flight: Vec::new(),
            tick_at_us: u64::MAX,
        }
    }

    /// Stops the owner from submitting batch work.
    pub fn disable(&mut self) {
        self.uses_window = false;
        self.fixed_items = 0;
    }

    /// Handles a dispatch notice of an entry and returns the engine's load.
    pub fn on_notice(&mut self, notice: &DispatchNotice, now_us: u64) -> UpstreamLoad {
        self.window.on_notice(notice, now_us);
        self.window.load()
    }

    /// Handles a token of an item. Returns whether the token belongs to the
    /// answer, which the token of a partial prefill does not.
    pub fn on_token(&mut self, item: u64, is_last: bool, now_us: u64) -> bool {
        let state = &mut self.items[item_index(item)];
        if !state.in_flight {
            return false;
        }
        let was_part = std::mem::take(&mut state.is_part);
        if !was_part {
            state.tokens_done += 1;
        }
        if self.uses_window {
            self.window.on_batch_token(item, now_us);
        }
        if is_last || was_part {
            self.record_end(item, now_us);
        }
        if was_part {
            self.ready.push_front(item);
        }
        !was_part
    }

    /// Handles the engine's confirmation that it cancelled an item.
    pub fn on_cancelled(&mut self, item: u64, now_us: u64) {
        if self.items[item_index(item)].in_flight {
            self.items[item_index(item)].is_part = false;
            self.record_end(item, now_us);
            self.ready.push_front(item);
        }
    }

    /// Returns the messages to send now and, if the batch window plans the
    /// work, the time of the next tick in microseconds.
    pub fn tick(&mut self, now_us: u64) -> (Vec<Command>, Option<u64>) {
        if !self.uses_window {
            return (self.fill_fixed_window(), None);
        }
        let plan = self.window.tick(now_us);
        let mut commands: Vec<Command> = plan.cancel.into_iter().map(Command::Cancel).collect();
        let mut budget_tokens = plan.start_prompt_tokens;
        for position in 0..plan.start_items {
            let may_exceed = position == 0 && plan.first_item_may_exceed && !self.splits_prompts;
            let Some((sequence, tokens)) = self.start_next(budget_tokens, may_exceed) else {
                break;
            };
            budget_tokens = budget_tokens.saturating_sub(tokens);
            self.window
                .on_batch_started(sequence.id / 2, tokens, now_us);
            commands.push(Command::Submit(sequence));
        }
        (commands, Some(plan.next_tick_at_us))
    }

    /// Starts the next item, or a part of its prompt, with at most
    /// `prompt_tokens` tokens to prefill unless `may_exceed`. Returns the
    /// request and the number of tokens that the engine has to prefill.
    pub fn start_next(
        &mut self,
        prompt_tokens: u32,
        may_exceed: bool,
    ) -> Option<(SequenceRequest, u32)> {
        if self.splits_prompts {
            let item = self.next_item(u32::MAX)?;
            let prefill_tokens = self.uncached_tokens(item);
            if prefill_tokens <= prompt_tokens {
                return Some((self.start_item(item), prefill_tokens));
            }
            let part = prompt_tokens / BLOCK_TOKENS * BLOCK_TOKENS;
            if part < PART_TOKENS_MIN {
                self.ready.push_front(item);
                return None;
            }
            return Some((self.start_part(item, part), part));
        }
        let tokens_max = if may_exceed { u32::MAX } else { prompt_tokens };
        let item = self.next_item(tokens_max)?;
        let prefill_tokens = self.uncached_tokens(item);
        Some((self.start_item(item), prefill_tokens))
    }

    /// Returns the items at the engine or on their way to it.
    pub fn in_flight(&self) -> &[u64] {
        &self.in_flight
    }

    /// Returns the number of tokens that an item still has to produce.
    pub fn remaining_tokens(&self, item: u64) -> u32 {
        let state = &self.items[item_index(item)];
        state.lengths.output_tokens - state.tokens_done
    }

    /// Returns whether the engine prefills only a part of the item's prompt.
    pub fn is_part(&self, item: u64) -> bool {
        self.items[item_index(item)].is_part
    }

    /// Returns the number of tokens that an item has produced.
    pub fn tokens_done(&self, item: u64) -> u32 {
        self.items[item_index(item)].tokens_done
    }

    /// Takes the next item to start: the first ready item whose prefill needs
    /// at most `prompt_tokens`. Preempted items are at the front.
    fn next_item(&mut self, prompt_tokens: u32) -> Option<u64> {
        while self.ready.len() < READY_ITEMS {
            self.add_ready_item();
        }
        let fits = |item: &u64| self.uncached_tokens(*item) <= prompt_tokens;
        let position = self.ready.iter().position(fits)?;
        self.ready.remove(position)
    }

    /// Adds an item of the backlog to the ready items.
    fn add_ready_item(&mut self) {
        let id = self.items.len();
        // Each owner begins at a different place of the backlog.
        let lengths = self.backlog[(id * 7 + self.engine * 131) % self.backlog.len()];
        self.items.push(Item {
            lengths,
            tokens_done: 0,
            cached_tokens: 0,
            in_flight: false,
            is_part: false,
        });
        self.ready.push_back(id as u64);
    }

    /// Returns the number of prompt tokens that the engine has to prefill to
    /// start an item.
    fn uncached_tokens(&self, item: u64) -> u32 {
        let state = &self.items[item_index(item)];
        (state.lengths.prompt_tokens + state.tokens_done - state.cached_tokens).max(1)
    }

    /// Starts the prefill of the next part of a prompt. The request makes the
    /// engine cache these tokens; its only output token is discarded.
    fn start_part(&mut self, item: u64, part_tokens: u32) -> SequenceRequest {
        let engine = self.engine as u64;
        let state = &mut self.items[item_index(item)];
        let blocks = (state.cached_tokens + part_tokens) / BLOCK_TOKENS;
        state.cached_tokens = blocks * BLOCK_TOKENS;
        state.in_flight = true;
        state.is_part = true;
        self.in_flight.push(item);
        let token_index = state.tokens_done + 1;
        SequenceRequest {
            id: item * 2 + 1,
            prompt_tokens: blocks * BLOCK_TOKENS,
            blocks: block_hashes(engine << 40 | item << 1 | 1, blocks),
            first_token_index: token_index,
            last_token_index: token_index,
        }
    }

    /// Starts an item with its whole prompt and returns the request.
    fn start_item(&mut self, item: u64) -> SequenceRequest {
        let engine = self.engine as u64;
        let state = &mut self.items[item_index(item)];
        let prompt_tokens = state.lengths.prompt_tokens + state.tokens_done;
        let blocks = prompt_tokens / BLOCK_TOKENS;
        state.in_flight = true;
        state.cached_tokens = blocks * BLOCK_TOKENS;
        self.in_flight.push(item);
        SequenceRequest {
            id: item * 2 + 1,
            prompt_tokens,
            blocks: block_hashes(engine << 40 | item << 1 | 1, blocks),
            first_token_index: state.tokens_done + 1,
            last_token_index: state.lengths.output_tokens,
        }
    }

    fn fill_fixed_window(&mut self) -> Vec<Command> {
        let mut commands = Vec::new();
        while self.in_flight.len() < self.fixed_items as usize {
            let Some((sequence, _)) = self.start_next(u32::MAX, true) else {
                break;
            };
            commands.push(Command::Submit(sequence));
        }
        commands
    }

    fn record_end(&mut self, item: u64, now_us: u64) {
        self.items[item_index(item)].in_flight = false;
        self.in_flight.retain(|other_item| *other_item != item);
        if self.uses_window {
            self.window.on_batch_ended(item, now_us);
        }
    }
}

/// Returns hashes of the leading blocks of a prompt that shares no prefix
/// with other prompts.
pub fn block_hashes(prompt: u64, blocks: u32) -> Vec<u64> {
    // The factor is that of Fibonacci hashing: 2^64 divided by the golden ratio.
    (0..u64::from(blocks))
        .map(|block| (prompt << 8 | block).wrapping_mul(0x9E37_79B9_7F4A_7C15))
        .collect()
}

fn item_index(item: u64) -> usize {
    usize::try_from(item).unwrap_or(usize::MAX)
}

fn saturating_u32(time_us: u64) -> u32 {
    u32::try_from(time_us).unwrap_or(u32::MAX)
}
