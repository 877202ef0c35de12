//! Placement of online requests under the load patterns it answers.

mod support;

use gateway::{Placement, PlacementRequest, RefusalReason, UpstreamState, WorkKind};
use model::UpstreamId;
use support::{
    GOAL_MS, SLOTS, entry, notice, place, place_without, service, target_of, upstream_table,
};

/// Time that a request holds its slot, milliseconds.
const HOLD_MS: u64 = 800;
const NEAR: [(&str, &str); 2] = [("u1", "north-a"), ("u2", "north-a")];
const SPREAD: [(&str, &str); 2] = [("u1", "north-a"), ("u2", "south-a")];

#[test]
fn place_burst_fills_home_before_another_region() {
    let mut table = upstream_table("me", &SPREAD);
    let first = place(&mut table, 0);
    table.record_completion(target_of(&first), WorkKind::Online, HOLD_MS);
    for index in 0..SLOTS {
        let placement = place(&mut table, 0);
        let target = target_of(&placement).clone();
        assert_eq!(target.upstream.as_str(), "u1", "request {index}");
        table.record_start(&target, WorkKind::Online, 0);
    }
    let placement = place(&mut table, 0);
    assert_eq!(target_of(&placement).upstream.as_str(), "u2");
}

#[test]
fn place_burst_beyond_all_places_is_refused_with_spread_returns() {
    let mut table = upstream_table("me", &NEAR);
    let mut returns = Vec::new();
    for _ in 0..SLOTS * 6 {
        match place(&mut table, 0) {
            Placement::Send { target, .. } => table.record_start(&target, WorkKind::Online, 0),
            Placement::Refuse {
                reason,
                retry_after_ms,
                ..
            } => {
                assert_eq!(reason, RefusalReason::Saturated);
                returns.push(retry_after_ms);
            }
        }
    }
    let sent = (SLOTS * 6) as usize - returns.len();
    assert!(sent >= 2 * SLOTS as usize, "sent only {sent}");
    returns.sort_unstable();
    returns.dedup();
    assert!(returns.len() > 8, "returns come together: {returns:?}");
}

#[test]
fn place_counts_what_peers_have_in_flight() {
    let mut table = upstream_table("me", &NEAR);
    table.receive_notice(notice("peer", 1, &[("u1", 8, 0)]), 0);
    for _ in 0..4 {
        assert_eq!(target_of(&place(&mut table, 0)).upstream.as_str(), "u2");
    }
    // A peer that died has nothing in flight any more.
    table.receive_notice(notice("other", 1, &[("u2", 8, 0)]), 10_000);
    table.expire(10_000);
    assert_eq!(
        target_of(&place(&mut table, 10_000)).upstream.as_str(),
        "u1"
    );
}

#[test]
fn receive_notice_older_one_is_ignored() {
    let mut table = upstream_table("me", &NEAR);
    table.receive_notice(notice("peer", 2, &[("u1", 8, 0)]), 0);
    table.receive_notice(notice("peer", 1, &[("u2", 8, 0)]), 0);
    assert_eq!(target_of(&place(&mut table, 0)).upstream.as_str(), "u2");
}

#[test]
fn place_draining_or_changed_upstream_gets_nothing() {
    let mut table = upstream_table("me", &NEAR);
    let mut draining = entry("u1", "north-a");
    draining.state = UpstreamState::Draining;
    table.upsert(draining, 0);
    for _ in 0..8 {
        assert_eq!(target_of(&place(&mut table, 0)).upstream.as_str(), "u2");
    }
}

#[test]
fn failed_upstream_is_left_out_and_then_tried_by_one_request() {
    let mut table = upstream_table("me", &NEAR);
    let placement = place_without(&mut table, &[UpstreamId::new("u2")], true, 0);
    let target = target_of(&placement).clone();
    table.record_failure(&target, 0);
    let only_u2 = place(&mut table, 10);
    assert_eq!(target_of(&only_u2).upstream.as_str(), "u2");
    let tried = [UpstreamId::new("u2")];
    let trial = place_without(&mut table, &tried, true, 5_000);
    assert_eq!(target_of(&trial).upstream.as_str(), "u1");
    table.record_start(target_of(&trial), WorkKind::Online, 5_000);
    let second = place_without(&mut table, &tried, true, 5_000);
    assert_eq!(target_of(&second).upstream.as_str(), "u2");
}

#[test]
fn list_same_id_started_anew_knows_nothing_of_before() {
    let mut table = upstream_table("me", &[("u1", "north-a")]);
    let placement = place(&mut table, 0);
    let target = target_of(&placement).clone();
    table.record_start(&target, WorkKind::Online, 0);
    table.record_failure(&target, 0);
    let mut restarted = entry("u1", "north-a");
    restarted.started_unix_ms = 2;
    table.upsert(restarted, 10);
    let again = place(&mut table, 10);
    assert_eq!(target_of(&again).started_unix_ms, 2);
    // The end of the old request does not count for the new incarnation.
    table.record_start(target_of(&again), WorkKind::Online, 10);
    table.record_end(&target, WorkKind::Online);
    assert_eq!(table.own_loads()[0].online, 1);
}

#[test]
fn unlist_lapsed_entry_stays_for_a_while() {
    let id = UpstreamId::new("u1");
    let mut table = upstream_table("me", &[("u1", "north-a")]);
    table.remove(&id, true, 1_000);
    table.expire(2_900);
    assert!(matches!(place(&mut table, 2_900), Placement::Send { .. }));
    table.expire(3_000);
    assert!(matches!(place(&mut table, 3_000), Placement::Refuse { .. }));
}

#[test]
fn unlist_without_an_outage_is_at_once() {
    let mut table = upstream_table("me", &[("u1", "north-a")]);
    table.remove(&UpstreamId::new("u1"), false, 1_000);
    let refused = place(&mut table, 1_000);
    assert!(
        matches!(
            refused,
            Placement::Refuse {
                reason: RefusalReason::NoUpstream,
                ..
            }
        ),
        "{refused:?}"
    );
}

#[test]
fn retain_listed_takes_out_what_is_missing() {
    let mut table = upstream_table("me", &NEAR);
    table.retain_registered(&[UpstreamId::new("u2")], false, 0);
    assert_eq!(table.ready_count(), 1);
}

/// A request whose first connection failed has used up its goal: a slot now is
/// better for it than a refusal.
#[test]
fn place_late_request_is_sent_while_the_wait_is_short() {
    let service = service();
    let request = |waited_ms| PlacementRequest {
        service: &service,
        tried: &[],
        goal_ms: GOAL_MS,
        waited_ms,
        may_refuse: true,
    };
    let mut table = upstream_table("me", &NEAR);
    let sent = table.place(&request(GOAL_MS + 100), 0);
    assert!(matches!(sent, Placement::Send { .. }), "{sent:?}");
}

/// A batch item at a full upstream is preempted within a notice; other requests
/// have to end first.
#[test]
fn place_full_upstream_with_batch_items_is_expected_to_make_room() {
    let expected = |loads: &[(&str, u16, u16)]| {
        let mut table = upstream_table("me", &NEAR[..1]);
        let first = place(&mut table, 0);
        table.record_completion(target_of(&first), WorkKind::Online, HOLD_MS);
        table.receive_notice(notice("peer", 1, loads), 0);
        match place(&mut table, 0) {
            Placement::Send { expected_ms, .. } | Placement::Refuse { expected_ms, .. } => {
                expected_ms
            }
        }
    };
    assert!(expected(&[("u1", 4, 4)]) < expected(&[("u1", 8, 0)]));
    assert!(expected(&[("u1", 8, 0)]) < expected(&[("u1", 12, 0)]));
}

#[test]
fn connect_timeout_ms_follows_the_measured_way() {
    let mut table = upstream_table("me", &SPREAD);
    let near = target_of(&place(&mut table, 0)).clone();
    let before_ms = table.connect_timeout_ms(&near);
    for _ in 0..40 {
        table.record_round_trip(&near, 100.0);
    }
    assert!(before_ms < 100, "{before_ms}");
    assert!(table.connect_timeout_ms(&near) > 250);
}

/// The only upstream failed a moment ago: trying it is better than refusing.
#[test]
fn place_only_upstream_that_failed_is_the_last_resort() {
    let mut table = upstream_table("me", &NEAR[..1]);
    let target = target_of(&place(&mut table, 0)).clone();
    table.record_failure(&target, 0);
    let again = place_without(&mut table, &[UpstreamId::new("u1")], false, 10);
    assert_eq!(target_of(&again).upstream.as_str(), "u1");
    table.record_full(&target, 200);
    let full = place(&mut table, 100);
    assert!(matches!(full, Placement::Refuse { .. }), "{full:?}");
}
