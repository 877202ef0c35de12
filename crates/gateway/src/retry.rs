//! What follows when an attempt at an upstream ends without an answer for the
//! caller.
//!
//! A refusal promises that the request did not run and never will, so it is
//! given only while every attempt provably ran nothing.

use std::sync::Arc;

use model::UpstreamId;

use crate::route::Route;

/// Attempts that ran nothing and may follow one another.
const NOT_RUN_TRIES_MAX: u32 = 4;
/// No further attempt is made with less time left, milliseconds.
const ATTEMPT_MIN_MS: u64 = 20;

/// How an attempt ended without an answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing of the request left this instance.
    NotSent,
    /// The upstream says that it did not run the request.
    NotRun,
    /// The answer broke off or cannot be trusted; the request may have run.
    Broken,
    /// The upstream ran the request and failed.
    Failed,
    /// The upstream said nothing for too long and was given up.
    Silent,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another upstream.
    Retry,
    /// Give the caller this answer.
    Answer(FinalAnswer),
}

/// Final answer without an upstream's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Did not run and never will.
    NotRun,
    /// May have run; the answer is lost.
    Unknown,
    /// Time is up; may have run.
    TimedOut,
}

/// What was spent on one request of a caller.
#[derive(Debug, Clone)]
pub struct RetryState {
    route: Arc<Route>,
    deadline_ms: u64,
    may_have_run: u32,
    not_run: u32,
    tried: Vec<UpstreamId>,
}

impl AttemptEnd {
    /// Name in logs and metrics.
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
    /// Nothing spent yet. The final answer is due at `deadline_ms`.
    #[must_use]
    pub fn new(route: Arc<Route>, deadline_ms: u64) -> Self {
        Self {
            route,
            deadline_ms,
            may_have_run: 0,
            not_run: 0,
            tried: Vec::new(),
        }
    }

    /// Upstreams that the request was sent to.
    #[must_use]
    pub fn tried(&self) -> &[UpstreamId] {
        &self.tried
    }

    /// Whether an upstream may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Attempts so far, whether they ran or not.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.may_have_run + self.not_run
    }

    /// Whether one more attempt may reach an upstream after the present one.
    #[must_use]
    pub fn has_spare_attempt(&self) -> bool {
        self.route.is_retryable() && self.may_have_run + 1 < self.route.attempts_max
    }

    /// Records the end of an attempt and decides what follows.
    pub fn record_attempt(
        &mut self,
        upstream: &UpstreamId,
        end: AttemptEnd,
        now_ms: u64,
    ) -> NextStep {
        self.tried.push(upstream.clone());
        match end {
            AttemptEnd::NotSent | AttemptEnd::NotRun => self.not_run += 1,
            AttemptEnd::Broken | AttemptEnd::Failed | AttemptEnd::Silent => self.may_have_run += 1,
        }
        if now_ms + ATTEMPT_MIN_MS >= self.deadline_ms {
            return NextStep::Answer(self.answer_at_deadline());
        }
        if self.may_have_run > 0 && !self.route.is_retryable() {
            return NextStep::Answer(FinalAnswer::Unknown);
        }
        if self.may_have_run >= self.route.attempts_max.max(1) || self.not_run >= NOT_RUN_TRIES_MAX
        {
            return NextStep::Answer(self.final_answer());
        }
        NextStep::Retry
    }

    /// The answer if no further attempt can be made.
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
