//! Whether a request is expected to end in time, by what requests of its route have lasted.

mod support;

use std::sync::Arc;

use gateway::{RequestDurations, Route, RouteKind};
use support::route;

const STREAM: RouteKind = RouteKind::Stream { is_resumable: true };
const NOW_MS: u64 = 100_000;
const LONG_DEADLINE_MS: u64 = NOW_MS + 5_000;

fn durations_of(route: &Route, durations_ms: &[u64], at_ms: u64) -> RequestDurations {
    let mut durations = RequestDurations::default();
    for duration_ms in durations_ms {
        durations.record(&route.name, *duration_ms, at_ms);
    }
    durations
}

/// Returns the earliest end by which a request that begins now is expected to be over.
fn expected_end_ms(durations: &RequestDurations, route: &Route, deadline_ms: u64) -> u64 {
    let is_expected =
        |end_ms: &u64| durations.is_expected_to_end_by(*end_ms, route, deadline_ms, NOW_MS);
    (NOW_MS..=deadline_ms).find(is_expected).unwrap()
}

#[test]
fn is_expected_to_end_by_longest_recent_duration_and_margin() {
    for (kind, end_ms) in [(STREAM, 1_250), (RouteKind::NonIdempotent, 1_500)] {
        let route = route(kind);
        let durations = durations_of(&route, &[200, 1_000, 400], NOW_MS - 10);
        let expected_ms = expected_end_ms(&durations, &route, LONG_DEADLINE_MS);
        assert_eq!(expected_ms, NOW_MS + end_ms);
    }
}

#[test]
fn is_expected_to_end_by_deadline_at_the_latest() {
    let route = route(RouteKind::NonIdempotent);
    let durations = durations_of(&route, &[4_000], NOW_MS);
    let expected_ms = expected_end_ms(&durations, &route, NOW_MS + 3_000);
    assert_eq!(expected_ms, NOW_MS + 3_000);
}

#[test]
fn is_expected_to_end_by_deadline_without_recent_requests() {
    let mut other = route(STREAM);
    other.name = Arc::from("other");
    let route = route(STREAM);
    for durations in [
        RequestDurations::default(),
        durations_of(&other, &[100], NOW_MS),
        durations_of(&route, &[100], NOW_MS - 60_000),
    ] {
        let expected_ms = expected_end_ms(&durations, &route, LONG_DEADLINE_MS);
        assert_eq!(expected_ms, LONG_DEADLINE_MS);
    }
}

#[test]
fn record_forgets_durations_of_earlier_windows() {
    let route = route(STREAM);
    let mut durations = durations_of(&route, &[2_000], NOW_MS - 65_000);
    durations.record(&route.name, 400, NOW_MS - 25_000);
    let expected_ms = expected_end_ms(&durations, &route, LONG_DEADLINE_MS);
    assert_eq!(expected_ms, NOW_MS + 500);
    // The long request is in the window before.
    let mut durations = durations_of(&route, &[2_000], NOW_MS - 40_000);
    durations.record(&route.name, 400, NOW_MS - 5_000);
    let expected_ms = expected_end_ms(&durations, &route, LONG_DEADLINE_MS);
    assert_eq!(expected_ms, NOW_MS + 2_500);
}
