//! What an engine's step costs and what it is known to hold.

use model::UpstreamId;
use serde::{Deserialize, Serialize};

/// Cost of one step of an engine that batches continuously.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCost {
    /// Cost of any step, microseconds.
    pub step_us: f64,
    /// Cost of each sequence being decoded, microseconds.
    pub sequence_us: f64,
    /// Cost of each prompt token prefilled in the step, microseconds.
    pub prompt_token_us: f64,
}

impl Default for EngineCost {
    fn default() -> Self {
        Self {
            step_us: 12_000.0,
            sequence_us: 50.0,
            prompt_token_us: 50.0,
        }
    }
}

impl EngineCost {
    /// Length of a step, microseconds.
    #[must_use]
    pub fn step_duration_us(&self, sequences: f64, prompt_tokens: f64) -> f64 {
        self.step_us + self.sequence_us * sequences + self.prompt_token_us * prompt_tokens
    }
}

/// Work at an engine, as the owner of its batch window knows it from notices.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Online requests in flight.
    pub online_running: u32,
    /// Online prompt tokens sent lately that may not be prefilled yet.
    pub online_prompt_tokens: u32,
    /// Batch items in flight.
    pub batch_running: u32,
    /// Batch prompt tokens sent lately that may not be prefilled yet.
    pub batch_prompt_tokens: u32,
}
