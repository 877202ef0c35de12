//! Deadlines of a request, from the target of its class.

use std::time::Duration;

use model::ClassTarget;
use tokio::time::Instant;

use crate::clock;

/// A request is given up when it is this many targets late.
const TIMEOUT_TARGET_FACTOR: u64 = 4;
/// Shortest time until a request is given up.
const TIMEOUT_MIN_MS: u64 = 2_000;
/// An engine that is silent for this many targets between tokens has stalled.
const STALL_TARGET_FACTOR: u64 = 50;
/// Shortest silence that counts as a stall.
const STALL_MIN_MS: u64 = 3_000;
const US_PER_MS: u64 = 1_000;

/// When a request is due and when it is given up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadlines {
    /// When the first token or the answer is due, monotonic microseconds.
    pub(crate) due_at_us: u64,
    /// When it is given up without a first token or an answer.
    pub(crate) expires_at: Instant,
    /// Silence of an engine that counts as a stall, milliseconds.
    pub(crate) stall_timeout_ms: u64,
}

impl Deadlines {
    /// Deadlines of a request that arrives now.
    pub(crate) fn new(target: &ClassTarget) -> Self {
        let (due_ms, between_tokens_ms) = match target {
            ClassTarget::Online {
                first_token_ms,
                between_tokens_ms,
                ..
            } => (*first_token_ms, *between_tokens_ms),
            ClassTarget::Service(service) => (service.answer_within_ms, 0),
            ClassTarget::Batch { .. } => (TIMEOUT_MIN_MS, 0),
        };
        let timeout_ms = due_ms
            .saturating_mul(TIMEOUT_TARGET_FACTOR)
            .max(TIMEOUT_MIN_MS);
        Self {
            due_at_us: clock::now_us() + due_ms.saturating_mul(US_PER_MS),
            expires_at: Instant::now() + Duration::from_millis(timeout_ms),
            stall_timeout_ms: between_tokens_ms
                .saturating_mul(STALL_TARGET_FACTOR)
                .max(STALL_MIN_MS),
        }
    }

    /// Whether it is too late for a first token or an answer.
    pub(crate) fn has_expired(&self) -> bool {
        Instant::now() >= self.expires_at
    }

    /// Time until the request is given up, milliseconds.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let remaining = self.expires_at.saturating_duration_since(Instant::now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    /// When a silence that begins now becomes a stall.
    pub(crate) fn stall_deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.stall_timeout_ms)
    }
}
