//! The oracle: a batch scheduler that knows future online requests. The batch
//! throughput of the policies is reported relative to the oracle's.
//!
//! The oracle acts at the engine without any delay, just before each step. It
//! knows when the next online request will arrive there and how long each
//! request will run. It does not know the best schedule: a search picks the
//! rules that yield the most batch tokens within the bound on online latency.

use standin::EngineParams;

/// Limits on the batch work that the oracle schedules.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OracleRules {
    /// Maximum number of items in a step without online requests.
    pub idle_items: usize,
    /// Longest step without online requests, microseconds.
    pub idle_step_us: f64,
    /// Maximum number of items in a step with online requests.
    pub online_items: usize,
    /// Length up to which batch prompts may extend a step with online
    /// requests, microseconds.
    pub online_step_us: f64,
    /// Minimum number of steps between two steps with batch prompts while
    /// online requests are present.
    pub online_prompt_every: u32,
    /// Whether a step during which an online request arrives gets no batch
    /// prompts.
    pub spare_arrivals_from_prompts: bool,
    /// Maximum number of items in a step during which an online request
    /// arrives at an engine that has no other online request.
    pub arrival_items: usize,
    /// Whether the engines of a region get no batch work during a burst.
    pub spare_bursts: bool,
}

/// State of an engine and time of its next online arrival, as the oracle knows
/// them just before a step.
#[derive(Debug, Clone, Copy)]
pub struct Outlook {
    /// Number of online requests in the next step.
    pub online: usize,
    /// Number of online prompt tokens in the next step.
    pub online_prompt_tokens: u32,
    /// Time from the start of the step to the next online arrival,
    /// microseconds; `None` if there is no further arrival.
    pub next_arrival_us: Option<f64>,
    /// Whether the region is in a burst.
    pub in_burst: bool,
    /// Number of steps since the last step with batch prompts.
    pub steps_since_prompt: u32,
    /// Number of batch items that would continue.
    pub items: usize,
}

/// Batch work that the oracle allows in the next step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Maximum number of batch items.
    pub items: usize,
    /// Maximum number of batch prompt tokens.
    pub prompt_tokens: u32,
}

impl OracleRules {
    /// Rules from which the search for the best rules starts.
    pub const START: [Self; 3] = [
        Self::sparing_arrivals_and_bursts(136, 67_500.0, 16, 20_400.0),
        Self::sparing_arrivals_and_bursts(100, 50_000.0, 52, 21_250.0),
        Self::sparing_arrivals_and_bursts(100, 30_000.0, 100, 26_000.0),
    ];

    /// Creates rules that keep batch prompts out of steps with arrivals, and
    /// all batch work out of bursts.
    const fn sparing_arrivals_and_bursts(
        idle_items: usize,
        idle_step_us: f64,
        online_items: usize,
        online_step_us: f64,
    ) -> Self {
        Self {
            idle_items,
            idle_step_us,
            online_items,
            online_step_us,
            online_prompt_every: 1,
            spare_arrivals_from_prompts: true,
            arrival_items: 256,
            spare_bursts: true,
        }
    }

    /// Returns the rules that differ from these in a single field.
    #[must_use]
    pub fn neighbours(&self) -> Vec<Self> {
        let mut neighbours = Vec::new();
        for factor in [1.35, 0.75] {
            let scaled = |items: usize| truncated(factor * to_f64(items)) as usize + 1;
            neighbours.push(Self {
                idle_items: scaled(self.idle_items),
                ..*self
            });
            neighbours.push(Self {
                online_items: scaled(self.online_items),
                ..*self
            });
            neighbours.push(Self {
                idle_step_us: self.idle_step_us * factor,
                ..*self
            });
        }
        for factor in [0.85, 0.95, 1.07, 1.2] {
            neighbours.push(Self {
                online_step_us: self.online_step_us * factor,
                ..*self
            });
        }
        neighbours.push(Self {
            online_prompt_every: if self.online_prompt_every == 1 { 2 } else { 1 },
            ..*self
        });
        neighbours.push(Self {
            spare_arrivals_from_prompts: !self.spare_arrivals_from_prompts,
            ..*self
        });
        neighbours.push(Self {
            arrival_items: if self.arrival_items == 0 { 256 } else { 0 },
            ..*self
        });
        neighbours.push(Self {
            spare_bursts: !self.spare_bursts,
            ..*self
        });
        neighbours
    }

    /// Returns the batch work allowed in the next step of an engine whose step
    /// costs are `params`.
    #[must_use]
    pub fn decide(&self, outlook: &Outlook, params: &EngineParams) -> Allowance {
        if self.spare_bursts && outlook.in_burst {
            return Allowance::default();
        }
        let is_online = outlook.online > 0;
        let (mut items, max_step_us) = if is_online {
            (self.online_items, self.online_step_us)
        } else {
            (self.idle_items, self.idle_step_us)
        };
        let allows_prompts = !is_online || outlook.steps_since_prompt >= self.online_prompt_every;
        let bare_step_us = outlook.step_us(params, outlook.items.min(items) + 1, 0);
        let mut prompt_tokens = 0;
        if allows_prompts && outlook.online_prompt_tokens == 0 {
            prompt_tokens = truncated((max_step_us - bare_step_us) / params.prompt_token_us);
        }
        let arrives_within = |step_us: f64| {
            outlook
                .next_arrival_us
                .is_some_and(|arrival_us| arrival_us < step_us)
        };
        let full_step_us = bare_step_us + params.prompt_token_us * f64::from(prompt_tokens);
        if self.spare_arrivals_from_prompts && arrives_within(full_step_us) {
            prompt_tokens = 0;
        }
        if !is_online && arrives_within(bare_step_us) {
            items = items.min(self.arrival_items);
        }
        Allowance {
            items,
            prompt_tokens,
        }
    }
}

impl Outlook {
    fn step_us(&self, params: &EngineParams, items: usize, prompt_tokens: u32) -> f64 {
        let sequences = u32::try_from(self.online + items).unwrap_or(u32::MAX);
        params.base_us
            + params.per_sequence_us * f64::from(sequences)
            + params.prompt_token_us * f64::from(self.online_prompt_tokens + prompt_tokens)
    }
}

fn to_f64(items: usize) -> f64 {
    u32::try_from(items).map_or(f64::MAX, f64::from)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "negative numbers become 0"
)]
fn truncated(tokens: f64) -> u32 {
    tokens as u32
}
