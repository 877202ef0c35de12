//! The batch window: how much batch work its owner keeps at one engine.
//!
//! Engines admit requests as they arrive and know no priorities, so all that
//! protects online callers is what batch work is not sent and what is taken
//! back. The owner learns of online requests by notices of the entries, which
//! arrive about when the requests reach the engine. Prompt tokens are what
//! online callers feel most: each lengthens the step in which it is prefilled
//! for every sequence. Starts are therefore bounded by the length of the step
//! that they bring about, one group of them is under way at a time, and those
//! that still wait for their step are taken back when an online request comes.
//! Running items cost little each and are bounded by number.

use std::cmp::Reverse;

use model::{DispatchNotice, UpstreamId};

use crate::{
    EngineCost, UpstreamLoad, WindowLimits, WindowRules, online::Online, rules::whole, table::us,
    urgency::Urgency,
};

/// Number of a batch item at one owner, in order of creation.
pub type BatchItemId = u64;

/// One-way time between owner and engine, microseconds.
const LINK_US: u64 = 1_000;
/// Tokens that come further apart belong to different steps, microseconds.
const STEP_GAP_US: u64 = 3_000;
/// Most items started at once.
const START_ITEMS: u32 = 16;
/// Fewest uncached prompt tokens of any start.
const START_TOKENS: f64 = 16.0;
/// Time over which unused prompt tokens are saved up, seconds.
const CREDIT_S: f64 = 0.1;
/// Bounds of the learned factor on the cost of steps.
const SCALE_RANGE: (f64, f64) = (0.25, 16.0);
/// Weight of the newest step in that factor.
const SCALE_WEIGHT: f64 = 0.05;
/// Time after which a start without a first token no longer blocks the next,
/// microseconds.
const START_PATIENCE_US: u64 = 1_000_000;

/// Share of the urgency that still counts after a miss of an online target.
const URGENCY_SHARE_AFTER_MISS: f64 = 0.8;
/// Time after which urgency counts in full again, microseconds.
const URGENCY_RECOVERY_US: f64 = 20_000_000.0;

/// Target of online requests at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnlineTarget {
    /// Time to first token, microseconds.
    pub first_token_us: u32,
    /// Time between tokens, microseconds.
    pub between_tokens_us: u32,
}

/// What an owner does now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowPlan {
    /// Items to start at most.
    pub start_items: u32,
    /// Uncached prompt tokens to start at most.
    ///
    /// An item with a longer prompt starts in parts: its leading tokens are
    /// sent with an output limit of one token, which is thrown away, so that
    /// the engine's prefix cache holds them when the rest is sent.
    pub start_prompt_tokens: u32,
    /// Whether an owner that does not start prompts in parts may let the first
    /// item exceed that number, so that long prompts start at all.
    pub first_item_may_exceed: bool,
    /// Items to cancel; their partial output is kept and continued later.
    pub cancel: Vec<BatchItemId>,
    /// When the next tick is due without further events, microseconds.
    pub next_tick_at_us: u64,
}

/// The window of one engine.
#[derive(Debug)]
pub struct BatchWindow {
    upstream: UpstreamId,
    rules: WindowRules,
    cost: EngineCost,
    scale: f64,
    urgency: Urgency,
    target: Option<OnlineTarget>,
    /// Share of the urgency that counts; falls when online targets are
    /// missed.
    urgency_share: f64,
    urgency_share_at_us: u64,
    items: Vec<Item>,
    online: Online,
    step_at_us: u64,
    prompt_credit: f64,
    credit_at_us: u64,
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
    /// The window of `upstream` with the default rules.
    #[must_use]
    pub fn new(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            rules: WindowRules::default(),
            cost: EngineCost::default(),
            scale: 1.0,
            urgency: Urgency::NONE,
            target: None,
            urgency_share: 1.0,
            urgency_share_at_us: 0,
            items: Vec::new(),
            online: Online::default(),
            step_at_us: 0,
            prompt_credit: 0.0,
            credit_at_us: 0,
            burst_until_us: 0,
        }
    }

    /// Sets the rules.
    #[must_use]
    pub fn with_rules(mut self, rules: WindowRules) -> Self {
        self.rules = rules;
        self
    }

    /// Sets the expected cost of the engine's step.
    #[must_use]
    pub fn with_engine_cost(mut self, cost: EngineCost) -> Self {
        self.cost = cost;
        self
    }

    /// Sets how pressing the batch work is.
    pub fn set_urgency(&mut self, urgency: Urgency) {
        self.urgency = urgency;
    }

    /// Sets the strictest target of the online classes that use the engine.
    pub fn set_online_target(&mut self, target: OnlineTarget) {
        self.target = Some(target);
    }

    /// An entry sent online work to the engine, or tells how it went.
    ///
    /// Each miss of the online target takes a part of the slack that urgent
    /// batch work uses; it comes back with time.
    pub fn on_notice(&mut self, notice: &DispatchNotice, now_us: u64) {
        self.online.on_notice(notice, now_us);
        let is_missed = self.target.is_some_and(|target| {
            notice.first_token_us > target.first_token_us
                || notice.between_tokens_us > target.between_tokens_us
        });
        if is_missed {
            self.recover(now_us);
            self.urgency_share *= URGENCY_SHARE_AFTER_MISS;
        }
    }

    /// The engine reported how many sequences it runs, `age_us` ago.
    ///
    /// Corrects the count of online requests when notices were lost.
    pub fn on_report(&mut self, running: u32, age_us: u64, now_us: u64) {
        self.online
            .on_report(running, now_us.saturating_sub(age_us));
    }

    /// An item was sent to the engine.
    pub fn on_batch_started(&mut self, item: BatchItemId, prompt_tokens: u32, now_us: u64) {
        self.refill(now_us);
        self.prompt_credit -= f64::from(prompt_tokens);
        let row = Item {
            id: item,
            sent_at_us: now_us,
            prompt_tokens,
            tokens: 0,
            is_cancelling: false,
        };
        match self.find(item) {
            Ok(index) => self.items[index] = row,
            Err(index) => self.items.insert(index, row),
        }
    }

    /// A token of an item came.
    pub fn on_batch_token(&mut self, item: BatchItemId, now_us: u64) {
        if now_us >= self.step_at_us + STEP_GAP_US {
            self.learn_scale(now_us);
            self.step_at_us = now_us;
            let began_us = now_us.saturating_sub(LINK_US);
            let is_past = self
                .online
                .started_at_us
                .is_none_or(|at_us| at_us < began_us);
            self.online.is_waiting &= !is_past;
        }
        if let Ok(index) = self.find(item) {
            self.items[index].tokens += 1;
        }
    }

    /// An item ended, failed, or was cancelled at the engine.
    pub fn on_batch_ended(&mut self, item: BatchItemId, _now_us: u64) {
        if let Ok(index) = self.find(item) {
            self.items.remove(index);
        }
    }

    /// Decides what to start and what to cancel.
    pub fn tick(&mut self, now_us: u64) -> WindowPlan {
        self.recover(now_us);
        self.refill(now_us);
        self.online.forget(now_us);
        let limits = self.limits();
        let is_burst = self.is_burst(&limits, now_us);
        let is_online = self.online.running > 0;
        let allowed = match (is_burst, is_online) {
            (true, _) => limits.burst_items,
            (false, true) => limits.online_items,
            (false, false) => limits.idle_items,
        };
        let mut cancel = self.take_back_waiting(now_us);
        cancel.extend(self.cancel_down_to(allowed));
        let mut plan = WindowPlan {
            start_items: 0,
            start_prompt_tokens: 0,
            first_item_may_exceed: false,
            cancel,
            next_tick_at_us: now_us + u64::from(whole(self.cost.step_us / 4.0)),
        };
        if !is_burst && self.may_start(&limits, now_us) {
            self.plan_starts(&limits, allowed, &mut plan);
        }
        plan
    }

    /// Work at the engine, as news for the entries.
    #[must_use]
    pub fn load(&self) -> UpstreamLoad {
        let waiting = self.items.iter().filter(|item| item.tokens == 0);
        UpstreamLoad {
            upstream: self.upstream.clone(),
            online_running: self.online.running,
            online_prompt_tokens: self.online.prompt_tokens(),
            batch_running: length(self.items.len()),
            batch_prompt_tokens: waiting.map(|item| item.prompt_tokens).sum(),
        }
    }

    /// Items in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.items.len()
    }
}

impl BatchWindow {
    fn limits(&self) -> WindowLimits {
        self.rules.limits(self.urgency.scaled(self.urgency_share))
    }

    fn recover(&mut self, now_us: u64) {
        let elapsed_us = us(now_us.saturating_sub(self.urgency_share_at_us));
        self.urgency_share_at_us = self.urgency_share_at_us.max(now_us);
        self.urgency_share = (self.urgency_share + elapsed_us / URGENCY_RECOVERY_US).min(1.0);
    }

    fn is_burst(&mut self, limits: &WindowLimits, now_us: u64) -> bool {
        let requests = self.online.starts_within(limits.burst_window_us, now_us);
        if requests >= limits.burst_requests {
            self.burst_until_us = now_us + limits.burst_hold_us;
        }
        now_us < self.burst_until_us
    }

    /// Takes back the items whose prompts would be prefilled in one step with
    /// an online prompt.
    ///
    /// An item sent before the current step began is in that step already:
    /// to cancel it would waste its prefill and shorten nothing.
    fn take_back_waiting(&mut self, now_us: u64) -> Vec<BatchItemId> {
        let has_steps = self.items.iter().any(|item| item.tokens > 0);
        if !self.online.is_waiting || !has_steps {
            return Vec::new();
        }
        let joined_us = self.step_at_us.saturating_sub(2 * LINK_US);
        let step_us = self.cost.step_duration_us(self.sequences(), 0.0) * self.scale;
        let ends_us = us(self.step_at_us - LINK_US.min(self.step_at_us)) + step_us;
        if us(now_us + LINK_US) >= ends_us {
            return Vec::new();
        }
        let mut cancel = Vec::new();
        for item in &mut self.items {
            if item.tokens == 0 && item.sent_at_us > joined_us && !item.is_cancelling {
                item.is_cancelling = true;
                cancel.push(item.id);
            }
        }
        cancel
    }

    /// Marks the youngest items until at most `allowed` are left.
    fn cancel_down_to(&mut self, allowed: u32) -> Vec<BatchItemId> {
        let mut staying: Vec<(u32, Reverse<BatchItemId>)> = self
            .items
            .iter()
            .filter(|item| !item.is_cancelling)
            .map(|item| (item.tokens, Reverse(item.id)))
            .collect();
        let excess = staying.len().saturating_sub(allowed as usize);
        if excess == 0 {
            return Vec::new();
        }
        staying.sort_unstable();
        let cancel: Vec<BatchItemId> = staying[..excess].iter().map(|key| key.1.0).collect();
        for id in &cancel {
            if let Ok(index) = self.find(*id) {
                self.items[index].is_cancelling = true;
            }
        }
        cancel
    }

    fn may_start(&self, limits: &WindowLimits, now_us: u64) -> bool {
        let is_prefilling = self.items.iter().any(|item| {
            item.tokens == 0 && !item.is_cancelling && now_us < item.sent_at_us + START_PATIENCE_US
        });
        let is_quiet = self.online.is_waiting
            && self
                .online
                .started_at_us
                .is_some_and(|at_us| now_us < at_us + limits.start_pause_us);
        let is_spent = self.online.running > 0 && self.prompt_credit <= 0.0;
        !is_prefilling && !is_quiet && !is_spent
    }

    fn plan_starts(&self, limits: &WindowLimits, allowed: u32, plan: &mut WindowPlan) {
        let is_online = self.online.running > 0;
        let longest_us = if is_online {
            limits.online_step_us
        } else {
            limits.idle_step_us
        };
        let bare_us = self.cost.step_duration_us(self.sequences() + 1.0, 0.0) * self.scale;
        let token_us = self.cost.prompt_token_us * self.scale;
        let tokens = (us(longest_us) - bare_us) / token_us;
        let room = allowed.saturating_sub(length(self.items.len()));
        if tokens < START_TOKENS || room == 0 {
            return;
        }
        plan.start_items = room.min(START_ITEMS);
        plan.start_prompt_tokens = whole(tokens);
        plan.first_item_may_exceed = !is_online;
    }

    /// Sequences at the engine.
    fn sequences(&self) -> f64 {
        f64::from(self.online.running) + f64::from(length(self.items.len()))
    }

    /// Compares a step without prompts with its expected length.
    fn learn_scale(&mut self, now_us: u64) {
        let took_us = us(now_us - self.step_at_us);
        let has_prompts = self.online.is_waiting || self.items.iter().any(|item| item.tokens == 0);
        let expected_us = self.cost.step_duration_us(self.sequences(), 0.0);
        if has_prompts || took_us > expected_us * SCALE_RANGE.1 {
            return;
        }
        let scale = self.scale + (took_us / expected_us - self.scale) * SCALE_WEIGHT;
        self.scale = scale.clamp(SCALE_RANGE.0, SCALE_RANGE.1);
    }

    fn refill(&mut self, now_us: u64) {
        let limits = self.limits();
        let elapsed_us = us(now_us.saturating_sub(self.credit_at_us));
        self.credit_at_us = self.credit_at_us.max(now_us);
        let per_s = f64::from(limits.online_prompt_tokens_per_s);
        let credit = self.prompt_credit + per_s * elapsed_us / 1e6;
        self.prompt_credit = credit.clamp(-per_s, per_s * CREDIT_S);
    }

    fn find(&self, item: BatchItemId) -> Result<usize, usize> {
        self.items.binary_search_by_key(&item, |row| row.id)
    }
}

fn length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
