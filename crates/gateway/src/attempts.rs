//! Retries: what follows when an attempt at an upstream ends without an answer
//! for the caller.
//!
//! A refusal promises that the request did not run and never will. It is
//! therefore given only while every attempt provably ran nothing.

use std::sync::Arc;

use model::UpstreamId;
use serde::{Deserialize, Serialize};

use crate::route::Route;

/// Maximum number of attempts of one request that did not run at an upstream.
const NOT_RUN_ATTEMPTS_MAX: u32 = 4;
/// Minimum time before the deadline for another attempt, milliseconds.
const ATTEMPT_MIN_MS: u64 = 20;

/// How an attempt ended without an answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// No part of the request was sent.
    NotSent,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// The answer was cut off or is malformed. The request may have run.
    Broken,
    /// The upstream ran the request and answered with an error.
    Failed,
    /// The upstream did not answer before a time-out. The request may have run.
    Silent,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another upstream.
    Retry,
    /// Send this final answer to the caller.
    Answer(FinalAnswer),
}

/// Final answer to the caller if no upstream provided one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run, but its answer is lost.
    Unknown,
    /// The deadline passed. The request may have run.
    TimedOut,
}

/// Attempts made so far for one request of a caller.
#[derive(Debug, Clone)]
pub struct RetryState {
    route: Arc<Route>,
    deadline_ms: u64,
    /// Attempts that may have run the request.
    maybe_run: u32,
    /// Attempts that provably did not run the request.
    not_run: u32,
    tried: Vec<UpstreamId>,
}

impl AttemptEnd {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::Failed => "failed",
            Self::Silent => "silent",
        }
    }
}

impl RetryState {
    /// Creates the state of a request without attempts. The final answer is due
    /// at `deadline_ms`.
    #[must_use]
    pub fn new(route: Arc<Route>, deadline_ms: u64) -> Self {
        Self {
            route,
            deadline_ms,
            maybe_run: 0,
            not_run: 0,
            tried: Vec::new(),
        }
    }

    /// Returns the upstreams of the attempts so far.
    #[must_use]
    pub fn tried(&self) -> &[UpstreamId] {
        &self.tried
    }

    /// Returns whether an upstream may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.maybe_run > 0
    }

    /// Returns the number of attempts so far, whether they ran or not.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.maybe_run + self.not_run
    }

    /// Returns whether the request may be retried even if the current attempt
    /// fails and may have run it.
    #[must_use]
    pub fn has_spare_attempt(&self) -> bool {
        self.route.is_retryable() && self.maybe_run + 1 < self.route.attempts_max
    }

    /// Records how an attempt at `upstream` ended and decides what follows.
    pub fn record_attempt(
        &mut self,
        upstream: &UpstreamId,
        end: AttemptEnd,
        now_ms: u64,
    ) -> NextStep {
        self.tried.push(upstream.clone());
        match end {
            AttemptEnd::NotSent | AttemptEnd::NotRun => self.not_run += 1,
            AttemptEnd::Broken | AttemptEnd::Failed | AttemptEnd::Silent => self.maybe_run += 1,
        }
        if now_ms + ATTEMPT_MIN_MS >= self.deadline_ms {
            return NextStep::Answer(self.answer_at_deadline());
        }
        if self.maybe_run > 0 && !self.route.is_retryable() {
            return NextStep::Answer(FinalAnswer::Unknown);
        }
        if self.maybe_run >= self.route.attempts_max.max(1) || self.not_run >= NOT_RUN_ATTEMPTS_MAX
        {
            return NextStep::Answer(self.final_answer());
        }
        NextStep::Retry
    }

    /// Returns the final answer if no further attempt can be made.
    #[must_use]
    pub fn final_answer(&self) -> FinalAnswer {
        if self.may_have_run() {
            FinalAnswer::Unknown
        } else {
            FinalAnswer::NotRun
        }
    }

    fn answer_at_deadline(&self) -> FinalAnswer {
        if self.may_have_run() {
            FinalAnswer::TimedOut
        } else {
            FinalAnswer::NotRun
        }
    }
}
