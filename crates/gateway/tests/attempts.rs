//! The next step after a failed attempt, by route kind and by whether the
//! request may have run.

mod support;

use std::sync::Arc;

use gateway::{AttemptEnd, FinalAnswer, NextStep, RetryState, RouteKind};
use model::UpstreamId;
use support::route;

use AttemptEnd::{Broken, Failed, NotRun, NotSent, Silent};
use FinalAnswer::{TimedOut, Unknown};

const DEADLINE_MS: u64 = 5_000;
const NOT_RESUMABLE: RouteKind = RouteKind::Stream {
    is_resumable: false,
};
const RESUMABLE: RouteKind = RouteKind::Stream { is_resumable: true };

fn record_attempts(kind: RouteKind, ends: &[(AttemptEnd, u64)]) -> NextStep {
    let mut retry_state = RetryState::new(Arc::new(route(kind)), DEADLINE_MS);
    let mut next_step = NextStep::Retry;
    for (index, (end, now_ms)) in ends.iter().enumerate() {
        assert_eq!(
            next_step,
            NextStep::Retry,
            "attempt recorded after the final answer"
        );
        let upstream = UpstreamId::new(&format!("u{index}"));
        next_step = retry_state.record_attempt(&upstream, *end, *now_ms);
    }
    next_step
}

#[test]
fn record_attempt_by_route_kind_and_attempt_end() {
    let answer = NextStep::Answer;
    let cases = [
        (NOT_RESUMABLE, vec![(NotSent, 0)], NextStep::Retry),
        (NOT_RESUMABLE, vec![(NotRun, 0)], NextStep::Retry),
        (NOT_RESUMABLE, vec![(Broken, 0)], answer(Unknown)),
        (NOT_RESUMABLE, vec![(Failed, 0)], answer(Unknown)),
        (
            NOT_RESUMABLE,
            vec![(NotRun, 0), (Broken, 0)],
            answer(Unknown),
        ),
        (
            NOT_RESUMABLE,
            vec![(NotRun, 0); 4],
            answer(FinalAnswer::NotRun),
        ),
        (RouteKind::NonIdempotent, vec![(Silent, 0)], answer(Unknown)),
        (RouteKind::Idempotent, vec![(Broken, 0)], NextStep::Retry),
        (RESUMABLE, vec![(Broken, 0)], NextStep::Retry),
        (RESUMABLE, vec![(Broken, 0), (Silent, 0)], answer(Unknown)),
        (RESUMABLE, vec![(NotSent, 0), (Broken, 0)], NextStep::Retry),
        (RESUMABLE, vec![(Broken, 4_990)], answer(TimedOut)),
        (
            RESUMABLE,
            vec![(NotRun, 4_990)],
            answer(FinalAnswer::NotRun),
        ),
    ];
    for (kind, ends, expected) in cases {
        assert_eq!(record_attempts(kind, &ends), expected, "{kind:?} {ends:?}");
    }
}

#[test]
fn has_spare_attempt_only_if_retryable() {
    let has_spare_attempt =
        |kind| RetryState::new(Arc::new(route(kind)), DEADLINE_MS).has_spare_attempt();
    assert!(has_spare_attempt(RESUMABLE));
    assert!(!has_spare_attempt(NOT_RESUMABLE));
    let mut single_attempt_route = route(RESUMABLE);
    single_attempt_route.attempts_max = 1;
    assert!(!RetryState::new(Arc::new(single_attempt_route), DEADLINE_MS).has_spare_attempt());
}
