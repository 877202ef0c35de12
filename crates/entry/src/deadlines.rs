//! Deadlines of a request, derived from the target of its class.

use std::time::Duration;

use model::ClassTarget;
use tokio::time::Instant;

use crate::clock;

/// A request times out after this multiple of its target.
const TIMEOUT_TARGET_FACTOR: u64 = 4;
/// Minimum time-out of a request, in milliseconds.
const TIMEOUT_MIN_MS: u64 = 2_000;
/// An engine has stalled if it sends no token for this multiple of the target
/// between tokens.
const STALL_TARGET_FACTOR: u64 = 50;
/// Minimum time without a token that counts as a stall, in milliseconds.
const STALL_MIN_MS: u64 = 3_000;
const US_PER_MS: u64 = 1_000;

/// Times at which a request is due and times out, and its stall time-out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadlines {
    /// Time at which the first token or the answer is due, in microseconds of
    /// [`clock::now_us`].
    pub(crate) due_at_us: u64,
    /// Time at which the request fails unless its first token or its answer has
    /// arrived.
    pub(crate) expires_at: Instant,
    /// Time without a token that counts as a stall, in milliseconds.
    pub(crate) stall_timeout_ms: u64,
}

impl Deadlines {
    /// Computes the deadlines of a request that arrives now.
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

    /// Returns whether the request has timed out.
    pub(crate) fn has_expired(&self) -> bool {
        Instant::now() >= self.expires_at
    }

    /// Returns the time until the request times out, in milliseconds.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let remaining = self.expires_at.saturating_duration_since(Instant::now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time at which the stream has stalled if no token arrives from
    /// now on.
    pub(crate) fn stall_deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.stall_timeout_ms)
    }
}
