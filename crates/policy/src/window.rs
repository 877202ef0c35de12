//! The batch window: how much batch work its owner keeps at one engine.
//!
//! Engines admit requests in order of arrival and have no priorities, so online
//! callers are protected only by batch work that is not sent or is cancelled.
//! The owner learns of online requests from notices of entry programs, which
//! arrive about when the requests reach the engine. Prompt tokens affect online
//! latency most: each lengthens the step in which it is prefilled, for every
//! sequence. Starts are therefore bounded by the duration of the step that
//! prefills their prompts, only one group of starts is prefilled at a time, and
//! items that still wait for their prefill step are cancelled when an online
//! request arrives. Items that are being decoded cost little each and are
//! bounded by number.

use std::cmp::Reverse;

use model::{DispatchNotice, UpstreamId};

use crate::{
    EngineCost, UpstreamLoad, WindowLimits, WindowRules, online::OnlineLoad, rules::round_to_u32,
    table::to_f64, urgency::Urgency,
};

/// Number of a batch item, unique at the owner of the window. A later item has a
/// higher number.
pub type BatchItemId = u64;

/// Assumed one-way latency between owner and engine, microseconds.
const LINK_LATENCY_US: u64 = 1_000;
/// Tokens that arrive at least this far apart belong to different steps,
/// microseconds.
const MIN_STEP_INTERVAL_US: u64 = 3_000;
/// Maximum number of items started at once.
const MAX_START_ITEMS: u32 = 16;
/// Minimum allowance of uncached prompt tokens for a start; below it no item is
/// started.
const MIN_START_TOKENS: f64 = 16.0;
/// Time over which unused prompt tokens accumulate as credit, seconds.
const MAX_CREDIT_S: f64 = 0.1;
/// Bounds of the learned factor on the modelled cost of steps.
const COST_SCALE_RANGE: (f64, f64) = (0.25, 16.0);
/// Weight of the newest step in the learned cost factor.
const COST_SCALE_WEIGHT: f64 = 0.05;
/// Time after which a start without a first token no longer blocks further
/// starts, microseconds.
const START_TIMEOUT_US: u64 = 1_000_000;

/// Factor applied to the urgency at each miss of an online target.
const URGENCY_FACTOR_PER_MISS: f64 = 0.8;
/// Time in which the urgency factor recovers from 0 to 1, microseconds.
const URGENCY_RECOVERY_US: f64 = 20_000_000.0;

/// Latency target of online requests at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnlineTarget {
    /// Time to first token, microseconds.
    pub first_token_us: u32,
    /// Time between tokens, microseconds.
    pub between_tokens_us: u32,
}

/// Actions that the owner of a window must perform after a tick.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowPlan {
    /// Maximum number of items to start.
    pub start_items: u32,
    /// Maximum number of uncached prompt tokens to start.
    ///
    /// An item with a longer prompt is started in parts: its leading tokens are
    /// sent with an output limit of one token, which is discarded, so that the
    /// engine's prefix cache holds them when the rest is sent.
    pub start_prompt_tokens: u32,
    /// Whether an owner that does not start prompts in parts may exceed
    /// `start_prompt_tokens` with the first item. Otherwise long prompts would
    /// never start.
    pub first_item_may_exceed: bool,
    /// Items to cancel. Their partial output is kept, and generation continues
    /// from it later.
    pub cancel: Vec<BatchItemId>,
    /// When the next tick is due unless an event arrives earlier, microseconds.
    pub next_tick_at_us: u64,
}

/// Batch window of one engine, which decides when batch items are started and
/// cancelled there.
#[derive(Debug)]
pub struct BatchWindow {
    upstream: UpstreamId,
    rules: WindowRules,
    cost: EngineCost,
    /// Learned factor on the modelled cost of steps.
    cost_scale: f64,
    urgency: Urgency,
    online_target: Option<OnlineTarget>,
    /// Factor on the urgency, from 0 to 1; falls when online targets are missed
    /// and recovers with time.
    urgency_factor: f64,
    urgency_factor_updated_at_us: u64,
    items: Vec<Item>,
    online: OnlineLoad,
    /// When the first token of the engine's last observed step arrived,
    /// microseconds.
    last_step_end_us: u64,
    /// Number of uncached prompt tokens that may be started under the rate limit;
    /// negative after a start that exceeded it.
    prompt_credit: f64,
    credit_updated_at_us: u64,
    burst_until_us: u64,
}

#[derive(Debug)]
struct Item {
    id: BatchItemId,
    sent_at_us: u64,
    prompt_tokens: u32,
    tokens: u32,
    is_cancelling: bool,
}

impl BatchWindow {
    /// Creates an empty window of `upstream` with the default rules.
    #[must_use]
    pub fn new(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            rules: WindowRules::default(),
            cost: EngineCost::default(),
            cost_scale: 1.0,
            urgency: Urgency::NONE,
            online_target: None,
            urgency_factor: 1.0,
            urgency_factor_updated_at_us: 0,
            items: Vec::new(),
            online: OnlineLoad::default(),
            last_step_end_us: 0,
            prompt_credit: 0.0,
            credit_updated_at_us: 0,
            burst_until_us: 0,
        }
    }

    /// Sets the bounds of batch work.
    #[must_use]
    pub fn with_rules(mut self, rules: WindowRules) -> Self {
        self.rules = rules;
        self
    }

    /// Sets the cost model of the engine's steps.
    #[must_use]
    pub fn with_engine_cost(mut self, cost: EngineCost) -> Self {
        self.cost = cost;
        self
    }

    /// Sets the urgency of the batch work.
    pub fn set_urgency(&mut self, urgency: Urgency) {
        self.urgency = urgency;
    }

    /// Sets the latency target of online requests: the strictest one of the
    /// online classes that use the engine.
    pub fn set_online_target(&mut self, target: OnlineTarget) {
        self.online_target = Some(target);
    }

    /// Records a notice of an entry program about online requests at the engine
    /// and their latency.
    ///
    /// Each miss of the online target reduces the effect of urgency, so that
    /// urgent batch work uses less of the slack; the effect recovers with time.
    pub fn on_notice(&mut self, notice: &DispatchNotice, now_us: u64) {
        self.online.on_notice(notice, now_us);
        let misses_target = self.online_target.is_some_and(|target| {
            notice.first_token_us > target.first_token_us
                || notice.between_tokens_us > target.between_tokens_us
        });
        if misses_target {
            self.recover_urgency(now_us);
            self.urgency_factor *= URGENCY_FACTOR_PER_MISS;
        }
    }

    /// Records that the engine reported `age_us` ago how many sequences it runs.
    ///
    /// The report corrects the number of online requests after lost notices.
    pub fn on_report(&mut self, running: u32, age_us: u64, now_us: u64) {
        self.online
            .on_report(running, now_us.saturating_sub(age_us));
    }

    /// Records that an item was sent to the engine with `prompt_tokens` uncached
    /// prompt tokens.
    pub fn on_batch_started(&mut self, item: BatchItemId, prompt_tokens: u32, now_us: u64) {
        self.refill_prompt_credit(now_us);
        self.prompt_credit -= f64::from(prompt_tokens);
        let new_item = Item {
            id: item,
            sent_at_us: now_us,
            prompt_tokens,
            tokens: 0,
            is_cancelling: false,
        };
        match self.item_index(item) {
            Ok(index) => self.items[index] = new_item,
            Err(index) => self.items.insert(index, new_item),
        }
    }

    /// Records that a token of an item arrived.
    pub fn on_batch_token(&mut self, item: BatchItemId, now_us: u64) {
        if now_us >= self.last_step_end_us + MIN_STEP_INTERVAL_US {
            self.update_cost_scale(now_us);
            self.last_step_end_us = now_us;
            let step_start_us = now_us.saturating_sub(LINK_LATENCY_US);
            let is_prefilled = self
                .online
                .last_start_us
                .is_none_or(|at_us| at_us < step_start_us);
            self.online.has_unprefilled_prompt &= !is_prefilled;
        }
        if let Ok(index) = self.item_index(item) {
            self.items[index].tokens += 1;
        }
    }

    /// Records that an item completed, failed, or was cancelled at the engine.
    pub fn on_batch_ended(&mut self, item: BatchItemId, _now_us: u64) {
        if let Ok(index) = self.item_index(item) {
            self.items.remove(index);
        }
    }

    /// Returns which items to cancel and how many to start.
    ///
    /// Items in the plan are not started by this call; the caller reports each
    /// start with [`BatchWindow::on_batch_started`].
    pub fn tick(&mut self, now_us: u64) -> WindowPlan {
        self.recover_urgency(now_us);
        self.refill_prompt_credit(now_us);
        self.online.expire(now_us);
        let limits = self.limits();
        let is_burst = self.is_burst(&limits, now_us);
        let has_online_requests = self.online.running > 0;
        let max_items = match (is_burst, has_online_requests) {
            (true, _) => limits.burst_items,
            (false, true) => limits.online_items,
            (false, false) => limits.idle_items,
        };
        let mut cancel = self.cancel_unprefilled(now_us);
        cancel.extend(self.cancel_down_to(max_items));
        let mut plan = WindowPlan {
            start_items: 0,
            start_prompt_tokens: 0,
            first_item_may_exceed: false,
            cancel,
            next_tick_at_us: now_us + u64::from(round_to_u32(self.cost.base_step_us / 4.0)),
        };
        if !is_burst && self.may_start(&limits, now_us) {
            self.plan_starts(&limits, max_items, &mut plan);
        }
        plan
    }

    /// Returns the work at the engine, to be reported to entry programs.
    #[must_use]
    pub fn load(&self) -> UpstreamLoad {
        let unprefilled = self.items.iter().filter(|item| item.tokens == 0);
        UpstreamLoad {
            upstream: self.upstream.clone(),
            online_running: self.online.running,
            online_prompt_tokens: self.online.prompt_tokens(),
            batch_running: count_u32(self.items.len()),
            batch_prompt_tokens: unprefilled.map(|item| item.prompt_tokens).sum(),
        }
    }

    /// Returns the number of items in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.items.len()
    }
}

impl BatchWindow {
    fn limits(&self) -> WindowLimits {
        self.rules.limits(self.urgency.scaled(self.urgency_factor))
    }

    fn recover_urgency(&mut self, now_us: u64) {
        let elapsed_us = to_f64(now_us.saturating_sub(self.urgency_factor_updated_at_us));
        self.urgency_factor_updated_at_us = self.urgency_factor_updated_at_us.max(now_us);
        self.urgency_factor = (self.urgency_factor + elapsed_us / URGENCY_RECOVERY_US).min(1.0);
    }

    fn is_burst(&mut self, limits: &WindowLimits, now_us: u64) -> bool {
        let requests = self.online.requests_within(limits.burst_window_us, now_us);
        if requests >= limits.burst_requests {
            self.burst_until_us = now_us + limits.burst_hold_us;
        }
        now_us < self.burst_until_us
    }

    /// Marks as being cancelled the items whose prompts would be prefilled in the
    /// same step as an online prompt, and returns these items.
    ///
    /// An item sent before the current step began is already part of that step,
    /// so that cancelling the item would waste its prefill without shortening the
    /// step.
    fn cancel_unprefilled(&mut self, now_us: u64) -> Vec<BatchItemId> {
        let is_decoding = self.items.iter().any(|item| item.tokens > 0);
        if !self.online.has_unprefilled_prompt || !is_decoding {
            return Vec::new();
        }
        let joined_before_us = self.last_step_end_us.saturating_sub(2 * LINK_LATENCY_US);
        let step_us = self.cost.step_duration_us(self.sequences(), 0.0) * self.cost_scale;
        let step_end_us =
            to_f64(self.last_step_end_us - LINK_LATENCY_US.min(self.last_step_end_us)) + step_us;
        if to_f64(now_us + LINK_LATENCY_US) >= step_end_us {
            return Vec::new();
        }
        let mut cancel = Vec::new();
        for item in &mut self.items {
            if item.tokens == 0 && item.sent_at_us > joined_before_us && !item.is_cancelling {
                item.is_cancelling = true;
                cancel.push(item.id);
            }
        }
        cancel
    }

    /// Marks items as being cancelled until at most `max_items` others remain, and
    /// returns the marked items. Items with the fewest tokens are cancelled first,
    /// and among these the items that were created last.
    fn cancel_down_to(&mut self, max_items: u32) -> Vec<BatchItemId> {
        let mut running: Vec<(u32, Reverse<BatchItemId>)> = self
            .items
            .iter()
            .filter(|item| !item.is_cancelling)
            .map(|item| (item.tokens, Reverse(item.id)))
            .collect();
        let excess = running.len().saturating_sub(max_items as usize);
        if excess == 0 {
            return Vec::new();
        }
        running.sort_unstable();
        let cancel: Vec<BatchItemId> = running[..excess].iter().map(|key| key.1.0).collect();
        for id in &cancel {
            if let Ok(index) = self.item_index(*id) {
                self.items[index].is_cancelling = true;
            }
        }
        cancel
    }

    fn may_start(&self, limits: &WindowLimits, now_us: u64) -> bool {
        let is_prefilling = self.items.iter().any(|item| {
            item.tokens == 0 && !item.is_cancelling && now_us < item.sent_at_us + START_TIMEOUT_US
        });
        let is_paused = self.online.has_unprefilled_prompt
            && self
                .online
                .last_start_us
                .is_some_and(|at_us| now_us < at_us + limits.start_pause_us);
        let is_credit_spent = self.online.running > 0 && self.prompt_credit <= 0.0;
        !is_prefilling && !is_paused && !is_credit_spent
    }

    fn plan_starts(&self, limits: &WindowLimits, max_items: u32, plan: &mut WindowPlan) {
        let has_online_requests = self.online.running > 0;
        let max_step_us = if has_online_requests {
            limits.online_step_us
        } else {
            limits.idle_step_us
        };
        let decode_us = self.cost.step_duration_us(self.sequences() + 1.0, 0.0) * self.cost_scale;
        let token_us = self.cost.per_prompt_token_us * self.cost_scale;
        let tokens = (to_f64(max_step_us) - decode_us) / token_us;
        let free_items = max_items.saturating_sub(count_u32(self.items.len()));
        if tokens < MIN_START_TOKENS || free_items == 0 {
            return;
        }
        plan.start_items = free_items.min(MAX_START_ITEMS);
        plan.start_prompt_tokens = round_to_u32(tokens);
        plan.first_item_may_exceed = !has_online_requests;
    }

    /// Returns the number of sequences at the engine.
    fn sequences(&self) -> f64 {
        f64::from(self.online.running) + f64::from(count_u32(self.items.len()))
    }

    /// Updates the learned cost factor from the duration of the last step, if it
    /// contained no prompts.
    fn update_cost_scale(&mut self, now_us: u64) {
        let step_us = to_f64(now_us - self.last_step_end_us);
        let has_prompts =
            self.online.has_unprefilled_prompt || self.items.iter().any(|item| item.tokens == 0);
        let expected_us = self.cost.step_duration_us(self.sequences(), 0.0);
        if has_prompts || step_us > expected_us * COST_SCALE_RANGE.1 {
            return;
        }
        let cost_scale =
            self.cost_scale + (step_us / expected_us - self.cost_scale) * COST_SCALE_WEIGHT;
        self.cost_scale = cost_scale.clamp(COST_SCALE_RANGE.0, COST_SCALE_RANGE.1);
    }

    fn refill_prompt_credit(&mut self, now_us: u64) {
        let limits = self.limits();
        let elapsed_us = to_f64(now_us.saturating_sub(self.credit_updated_at_us));
        self.credit_updated_at_us = self.credit_updated_at_us.max(now_us);
        let tokens_per_s = f64::from(limits.online_prompt_tokens_per_s);
        let credit = self.prompt_credit + tokens_per_s * elapsed_us / 1e6;
        self.prompt_credit = credit.clamp(-tokens_per_s, tokens_per_s * MAX_CREDIT_S);
    }

    fn item_index(&self, item: BatchItemId) -> Result<usize, usize> {
        self.items
            .binary_search_by_key(&item, |in_flight| in_flight.id)
    }
}

fn count_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
