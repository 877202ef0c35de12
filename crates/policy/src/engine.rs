//! Cost model of an engine's steps, and the known load of an engine.

use model::UpstreamId;
use serde::{Deserialize, Serialize};

/// Cost of one step of an engine that uses continuous batching.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCost {
    /// Fixed cost of a step, microseconds.
    pub base_step_us: f64,
    /// Cost of each sequence decoded in the step, microseconds.
    pub per_sequence_us: f64,
    /// Cost of each prompt token prefilled in the step, microseconds.
    pub per_prompt_token_us: f64,
}

impl Default for EngineCost {
    fn default() -> Self {
        Self {
            base_step_us: 12_000.0,
            per_sequence_us: 50.0,
            per_prompt_token_us: 50.0,
        }
    }
}

impl EngineCost {
    /// Returns the duration of a step that decodes `sequences` and prefills
    /// `prompt_tokens`, microseconds.
    #[must_use]
    pub fn step_duration_us(&self, sequences: f64, prompt_tokens: f64) -> f64 {
        self.base_step_us
            + self.per_sequence_us * sequences
            + self.per_prompt_token_us * prompt_tokens
    }
}

/// Work at an engine, as known from notices to the owner of its batch window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The engine.
    pub upstream: UpstreamId,
    /// Number of online requests in flight.
    pub online_running: u32,
    /// Online prompt tokens sent recently that may not be prefilled yet.
    pub online_prompt_tokens: u32,
    /// Number of batch items in flight.
    pub batch_running: u32,
    /// Batch prompt tokens sent recently that may not be prefilled yet.
    pub batch_prompt_tokens: u32,
}
