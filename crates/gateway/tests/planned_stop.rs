//! Which requests are taken during a planned stop, and when another attempt is made.

mod support;

use gateway::{ExpectedEnd, PlannedStop, RequestDurations, Route, RouteKind};
use support::route;

const STREAM: RouteKind = RouteKind::Stream { is_resumable: true };
const NOW_MS: u64 = 100_000;
const END_MS: u64 = NOW_MS + 3_000;

fn stop(is_in_rotation: bool) -> PlannedStop {
    PlannedStop {
        end_ms: END_MS,
        is_in_rotation,
    }
}

/// Durations of a route whose requests have lasted 100 ms.
fn short_durations(route: &Route) -> RequestDurations {
    let mut durations = RequestDurations::default();
    durations.record(&route.name, 100, NOW_MS - 10);
    durations
}

fn expected_end(kind: RouteKind, is_in_rotation: bool, deadline_ms: u64) -> Option<ExpectedEnd> {
    let route = route(kind);
    let durations = short_durations(&route);
    stop(is_in_rotation).find_expected_end(&route, deadline_ms, &durations, NOW_MS)
}

#[test]
fn find_expected_end_takes_deadline_before_end() {
    for kind in [STREAM, RouteKind::Idempotent, RouteKind::NonIdempotent] {
        for is_in_rotation in [true, false] {
            let found = expected_end(kind, is_in_rotation, END_MS);
            assert_eq!(found, Some(ExpectedEnd::Certain));
        }
    }
}

#[test]
fn find_expected_end_takes_expected_end_in_rotation() {
    for kind in [STREAM, RouteKind::Idempotent, RouteKind::NonIdempotent] {
        let found = expected_end(kind, true, END_MS + 1);
        assert_eq!(found, Some(ExpectedEnd::Likely));
    }
}

#[test]
fn find_expected_end_takes_only_deadline_out_of_rotation() {
    for kind in [STREAM, RouteKind::Idempotent, RouteKind::NonIdempotent] {
        assert_eq!(expected_end(kind, false, END_MS + 1), None);
    }
}

#[test]
fn find_expected_end_takes_nothing_unknown() {
    let route = route(RouteKind::Idempotent);
    let durations = RequestDurations::default();
    let found = stop(true).find_expected_end(&route, END_MS + 1, &durations, NOW_MS);
    assert_eq!(found, None);
}

fn has_time_to_retry(last_ms: Option<u64>, may_have_run: bool, deadline_ms: u64) -> bool {
    let route = route(RouteKind::Idempotent);
    let mut durations = RequestDurations::default();
    if let Some(last_ms) = last_ms {
        durations.record(&route.name, last_ms, NOW_MS - 10);
    }
    stop(false).has_time_to_retry(&route, deadline_ms, may_have_run, &durations, NOW_MS)
}

#[test]
fn has_time_to_retry_by_known_duration() {
    for may_have_run in [true, false] {
        assert!(has_time_to_retry(Some(2_400), may_have_run, END_MS + 1));
        assert!(!has_time_to_retry(Some(2_401), may_have_run, END_MS + 1));
        assert!(has_time_to_retry(Some(2_401), may_have_run, END_MS));
    }
}

#[test]
fn has_time_to_retry_what_may_have_run_without_known_duration() {
    assert!(has_time_to_retry(None, true, END_MS + 1));
    assert!(!has_time_to_retry(None, false, END_MS + 1));
}
