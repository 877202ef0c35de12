//! The batch window: how much batch work its owner keeps at one engine.
//!
//! Engines admit requests as they arrive and know no priorities, so all that
//! protects online callers is what batch work is not sent and what is taken
//! back. The owner learns of online requests by notices of the entries, which
//! arrive about when the requests reach the engine. Prompt tokens are what
//! online callers feel most: each lengthens the step in which it is prefilled
//! for every sequence, so starts are paced in prompt tokens, and few prefills
//! are under way at any moment. Running items cost little each and are bounded
//! by number.

use model::{DispatchNotice, UpstreamId};

use crate::{
    EngineCost, UpstreamLoad,
    table::us,
    urgency::{Urgency, blend},
};

/// Number of a batch item at one owner, in order of creation.
pub type BatchItemId = u64;

/// Time without any notice after which no online request is thought to run,
/// microseconds. Entries send notices as long as tokens come.
const NOTICE_SILENCE_US: u64 = 5_000_000;
/// Time for which an online prompt counts as not yet prefilled, microseconds.
const PREFILL_US: u64 = 60_000;

/// Bounds of the batch work at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// Items in flight while no online request runs at the engine.
    pub idle_items: u32,
    /// Items in flight while online requests run.
    pub online_items: u32,
    /// Items without a first token at any moment while none runs.
    pub idle_prefills: u32,
    /// Items without a first token at any moment while some run.
    pub online_prefills: u32,
    /// Batch prompt tokens per second while online requests run.
    pub online_prompt_tokens_per_s: u32,
    /// Time without starts after an online request was sent, microseconds.
    pub quiet_us: u64,
    /// Online requests within [`WindowLimits::burst_window_us`] that make a
    /// burst.
    pub burst_requests: u32,
    /// Time over which requests count towards a burst, microseconds.
    pub burst_window_us: u64,
    /// Items in flight during a burst.
    pub burst_items: u32,
    /// Time after the last sign of a burst until it is over, microseconds.
    pub burst_hold_us: u64,
}

/// Bounds for batch work that is ahead of its target and for batch work that
/// is about to miss it; between them they are blended by urgency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowRules {
    /// Online latency is to be indistinguishable from alone.
    pub relaxed: WindowLimits,
    /// Online latency may use up the online target.
    pub tight: WindowLimits,
}

impl Default for WindowRules {
    fn default() -> Self {
        let relaxed = WindowLimits {
            idle_items: 48,
            online_items: 16,
            idle_prefills: 2,
            online_prefills: 1,
            online_prompt_tokens_per_s: 1_500,
            quiet_us: 30_000,
            burst_requests: 3,
            burst_window_us: 200_000,
            burst_items: 0,
            burst_hold_us: 500_000,
        };
        let tight = WindowLimits {
            idle_items: 96,
            online_items: 96,
            idle_prefills: 2,
            online_prefills: 2,
            online_prompt_tokens_per_s: 9_000,
            quiet_us: 0,
            burst_requests: 4,
            burst_window_us: 200_000,
            burst_items: 0,
            burst_hold_us: 500_000,
        };
        Self { relaxed, tight }
    }
}

/// What an owner does now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowPlan {
    /// Items to start at most.
    pub start_items: u32,
    /// Uncached prompt tokens to start at most; the first item may exceed it.
    pub start_prompt_tokens: u32,
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
    urgency: Urgency,
    items: Vec<Item>,
    online: Online,
    prompt_credit: f64,
    credit_at_us: u64,
    hold_until_us: u64,
}

#[derive(Debug)]
struct Item {
    id: BatchItemId,
    prompt_tokens: u32,
    tokens: u32,
    cancelling: bool,
}

/// Online work at the engine as far as notices tell.
#[derive(Debug, Default)]
struct Online {
    running: u32,
    heard_at_us: u64,
    last_start_at_us: Option<u64>,
    recent: Vec<(u64, u32, u32)>,
    first_token_us: u32,
    between_tokens_us: u32,
}

impl BatchWindow {
    /// The window of `upstream` with the default rules.
    #[must_use]
    pub fn new(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            rules: WindowRules::default(),
            cost: EngineCost::default(),
            urgency: Urgency::NONE,
            items: Vec::new(),
            online: Online::default(),
            prompt_credit: 0.0,
            credit_at_us: 0,
            hold_until_us: 0,
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

    /// An entry sent online work to the engine.
    pub fn on_notice(&mut self, notice: &DispatchNotice, now_us: u64) {
        let online = &mut self.online;
        online.running = (online.running + notice.started).saturating_sub(notice.ended);
        online.heard_at_us = now_us;
        online.first_token_us = online.first_token_us.max(notice.first_token_us);
        online.between_tokens_us = online.between_tokens_us.max(notice.between_tokens_us);
        if notice.started > 0 {
            online.last_start_at_us = Some(now_us);
            online
                .recent
                .push((now_us, notice.started, notice.prompt_tokens));
        }
    }

    /// The engine reported how many sequences it runs, `age_us` ago.
    ///
    /// Corrects the count of online requests when notices were lost.
    pub fn on_report(&mut self, running: u32, age_us: u64, now_us: u64) {
        let at_us = now_us.saturating_sub(age_us);
        if self.online.heard_at_us < at_us {
            self.online.running = self.online.running.min(running);
        }
    }

    /// An item was sent to the engine.
    pub fn on_batch_started(&mut self, item: BatchItemId, prompt_tokens: u32, now_us: u64) {
        self.refill(now_us);
        self.prompt_credit -= f64::from(prompt_tokens);
        let row = Item {
            id: item,
            prompt_tokens,
            tokens: 0,
            cancelling: false,
        };
        match self.find(item) {
            Ok(index) => self.items[index] = row,
            Err(index) => self.items.insert(index, row),
        }
    }

    /// A token of an item came.
    pub fn on_batch_progress(&mut self, item: BatchItemId, _now_us: u64) {
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
        self.refill(now_us);
        self.online.forget(now_us);
        let limits = self.limits();
        let is_burst = self.is_burst(&limits, now_us);
        let online = self.online.running > 0;
        let allowed = if is_burst {
            limits.burst_items
        } else if online {
            limits.online_items
        } else {
            limits.idle_items
        };
        let cancel = self.cancel_down_to(allowed);
        let start_items = if is_burst {
            0
        } else {
            self.startable(&limits, allowed, now_us)
        };
        WindowPlan {
            start_items,
            start_prompt_tokens: self.start_prompt_tokens(online, start_items),
            cancel,
            next_tick_at_us: now_us + rounded_step(&self.cost),
        }
    }

    /// Work at the engine, as news for the entries.
    #[must_use]
    pub fn load(&self) -> UpstreamLoad {
        let waiting = self.items.iter().filter(|item| item.tokens == 0);
        UpstreamLoad {
            upstream: self.upstream.clone(),
            online_running: self.online.running,
            online_prompt_tokens: self.online.recent_prompt_tokens(),
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
        blend(&self.rules.relaxed, &self.rules.tight, self.urgency)
    }

    fn is_burst(&mut self, limits: &WindowLimits, now_us: u64) -> bool {
        let since_us = now_us.saturating_sub(limits.burst_window_us);
        let requests: u32 = self
            .online
            .recent
            .iter()
            .filter(|recent| recent.0 >= since_us)
            .map(|recent| recent.1)
            .sum();
        if requests >= limits.burst_requests {
            self.hold_until_us = now_us + limits.burst_hold_us;
        }
        now_us < self.hold_until_us
    }

    /// Marks the youngest items until at most `allowed` are left.
    fn cancel_down_to(&mut self, allowed: u32) -> Vec<BatchItemId> {
        let staying = self.items.iter().filter(|item| !item.cancelling).count();
        let excess = staying.saturating_sub(allowed as usize);
        if excess == 0 {
            return Vec::new();
        }
        let mut youngest: Vec<(u32, std::cmp::Reverse<BatchItemId>)> = self
            .items
            .iter()
            .filter(|item| !item.cancelling)
            .map(|item| (item.tokens, std::cmp::Reverse(item.id)))
            .collect();
        youngest.sort_unstable();
        let cancel: Vec<BatchItemId> = youngest.iter().take(excess).map(|key| key.1.0).collect();
        for id in &cancel {
            if let Ok(index) = self.find(*id) {
                self.items[index].cancelling = true;
            }
        }
        cancel
    }

    fn startable(&self, limits: &WindowLimits, allowed: u32, now_us: u64) -> u32 {
        let online = self.online.running > 0;
        if online && self.prompt_credit <= 0.0 {
            return 0;
        }
        let quiet_until_us = self
            .online
            .last_start_at_us
            .map_or(0, |at_us| at_us + limits.quiet_us);
        if now_us < quiet_until_us {
            return 0;
        }
        let waiting = self.items.iter().filter(|item| item.tokens == 0).count();
        let prefills = if online {
            limits.online_prefills
        } else {
            limits.idle_prefills
        };
        let room = allowed.saturating_sub(length(self.items.len()));
        room.min(prefills.saturating_sub(length(waiting)))
    }

    fn start_prompt_tokens(&self, online: bool, start_items: u32) -> u32 {
        if start_items == 0 {
            return 0;
        }
        if online {
            return whole(self.prompt_credit);
        }
        u32::MAX
    }

    fn refill(&mut self, now_us: u64) {
        let limits = self.limits();
        let elapsed_us = us(now_us.saturating_sub(self.credit_at_us));
        self.credit_at_us = self.credit_at_us.max(now_us);
        let rate = f64::from(limits.online_prompt_tokens_per_s) / 1e6;
        let most = f64::from(limits.online_prompt_tokens_per_s) / 10.0;
        let credit = self.prompt_credit.max(-2.0 * most.max(1_000.0)) + rate * elapsed_us;
        self.prompt_credit = credit.min(most);
    }

    fn find(&self, item: BatchItemId) -> Result<usize, usize> {
        self.items.binary_search_by_key(&item, |row| row.id)
    }
}

impl Online {
    fn forget(&mut self, now_us: u64) {
        let keep_us = now_us.saturating_sub(NOTICE_SILENCE_US);
        self.recent.retain(|recent| recent.0 >= keep_us);
        if self.heard_at_us < keep_us {
            self.running = 0;
        }
    }

    fn recent_prompt_tokens(&self) -> u32 {
        let since_us = self.heard_at_us.saturating_sub(PREFILL_US);
        self.recent
            .iter()
            .filter(|recent| recent.0 >= since_us)
            .map(|recent| recent.2)
            .sum()
    }
}

fn length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a credit is clamped to the range of u32"
)]
fn whole(credit: f64) -> u32 {
    credit.clamp(1.0, f64::from(u32::MAX)) as u32
}

fn rounded_step(cost: &EngineCost) -> u64 {
    u64::from(whole(cost.step_us / 4.0))
}
