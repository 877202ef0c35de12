//! What follows a failed attempt, by kind of route and what may have run.

mod support;

use std::sync::Arc;

use gateway::{AttemptEnd, FinalAnswer, NextStep, RetryState, RouteKind};
use model::UpstreamId;
use support::route;

use AttemptEnd::{Broken, Failed, NotRun, NotSent, Silent};
use FinalAnswer::{TimedOut, Unknown};

const DEADLINE_MS: u64 = 5_000;
const ONCE: RouteKind = RouteKind::Stream {
    is_resumable: false,
};
const RESUMABLE: RouteKind = RouteKind::Stream { is_resumable: true };

fn play(kind: RouteKind, ends: &[(AttemptEnd, u64)]) -> NextStep {
    let mut retries = RetryState::new(Arc::new(route(kind)), DEADLINE_MS);
    let mut last = NextStep::Retry;
    for (index, (end, now_ms)) in ends.iter().enumerate() {
        assert_eq!(last, NextStep::Retry, "an attempt after the answer");
        let upstream = UpstreamId::new(&format!("u{index}"));
        last = retries.record_attempt(&upstream, *end, *now_ms);
    }
    last
}

#[test]
fn attempt_ended_by_kind_and_end() {
    let answer = NextStep::Answer;
    let cases = [
        (ONCE, vec![(NotSent, 0)], NextStep::Retry),
        (ONCE, vec![(NotRun, 0)], NextStep::Retry),
        (ONCE, vec![(Broken, 0)], answer(Unknown)),
        (ONCE, vec![(Failed, 0)], answer(Unknown)),
        (ONCE, vec![(NotRun, 0), (Broken, 0)], answer(Unknown)),
        (ONCE, vec![(NotRun, 0); 4], answer(FinalAnswer::NotRun)),
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
        assert_eq!(play(kind, &ends), expected, "{kind:?} {ends:?}");
    }
}

#[test]
fn has_spare_attempt_only_where_a_repeat_is_allowed() {
    let spare = |kind| RetryState::new(Arc::new(route(kind)), DEADLINE_MS).has_spare_attempt();
    assert!(spare(RESUMABLE));
    assert!(!spare(ONCE));
    let mut single = route(RESUMABLE);
    single.attempts_max = 1;
    assert!(!RetryState::new(Arc::new(single), DEADLINE_MS).has_spare_attempt());
}
