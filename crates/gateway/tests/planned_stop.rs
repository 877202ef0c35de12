//! Which requests are taken during a planned stop, and which silent attempts are replaced.

mod support;

use gateway::{EndBound, PlannedStop, RequestDurations, Route, RouteKind};
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

fn bound(kind: RouteKind, is_in_rotation: bool, deadline_ms: u64) -> Option<EndBound> {
    let route = route(kind);
    let durations = short_durations(&route);
    stop(is_in_rotation).find_bound(&route, deadline_ms, &durations, NOW_MS)
}

#[test]
fn find_bound_takes_deadline_before_end() {
    for kind in [STREAM, RouteKind::Idempotent, RouteKind::NonIdempotent] {
        for is_in_rotation in [true, false] {
            let found = bound(kind, is_in_rotation, END_MS);
            assert_eq!(found, Some(EndBound::Deadline));
        }
    }
}

#[test]
fn find_bound_takes_expected_end_in_rotation() {
    for kind in [STREAM, RouteKind::Idempotent, RouteKind::NonIdempotent] {
        let found = bound(kind, true, END_MS + 1);
        assert_eq!(found, Some(EndBound::Durations));
    }
}

#[test]
fn find_bound_takes_only_deadline_of_stream_out_of_rotation() {
    assert_eq!(bound(STREAM, false, END_MS + 1), None);
    let found = bound(RouteKind::Idempotent, false, END_MS + 1);
    assert_eq!(found, Some(EndBound::Durations));
}

#[test]
fn find_bound_takes_nothing_unknown() {
    let route = route(RouteKind::Idempotent);
    let durations = RequestDurations::default();
    let found = stop(true).find_bound(&route, END_MS + 1, &durations, NOW_MS);
    assert_eq!(found, None);
}

#[test]
fn may_replace_silent_by_time_of_silence() {
    let deadline_ms = END_MS + 5_000;
    let may_replace = |silence_ms| {
        let silent_until_ms = NOW_MS + silence_ms;
        stop(true).may_replace_silent(NOW_MS, silent_until_ms, deadline_ms)
    };
    assert!(may_replace(600));
    assert!(!may_replace(601));
}

#[test]
fn may_replace_silent_before_deadline_within_stop() {
    let silent_until_ms = NOW_MS + 2_000;
    assert!(stop(false).may_replace_silent(NOW_MS, silent_until_ms, END_MS));
}
