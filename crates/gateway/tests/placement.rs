//! Placement of online requests during bursts, failures and restarts of
//! upstreams.

mod support;

use gateway::{
    ConnectFailure, Placement, PlacementRequest, RefusalReason, UpstreamState, VersionHash,
    WorkKind,
};
use model::UpstreamId;
use support::{
    GOAL_MS, SLOTS, entry, expected_ms_of, notice, place, place_after_attempts, service, target_of,
    upstream_table,
};

/// Time for which a request holds its slot, milliseconds.
const HOLD_MS: u64 = 800;
const SAME_DOMAIN: [(&str, &str); 2] = [("u1", "north-a"), ("u2", "north-a")];
const TWO_REGIONS: [(&str, &str); 2] = [("u1", "north-a"), ("u2", "south-a")];

#[test]
fn place_burst_fills_own_region_before_another() {
    let mut table = upstream_table("me", &TWO_REGIONS);
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
fn place_burst_beyond_capacity_is_refused_with_jittered_retries() {
    let mut table = upstream_table("me", &SAME_DOMAIN);
    let mut retry_delays_ms = Vec::new();
    for _ in 0..SLOTS * 6 {
        match place(&mut table, 0) {
            Placement::Send { target, .. } => table.record_start(&target, WorkKind::Online, 0),
            Placement::Refuse {
                reason,
                retry_after_ms,
                ..
            } => {
                assert_eq!(reason, RefusalReason::Saturated);
                retry_delays_ms.push(retry_after_ms);
            }
        }
    }
    let sent = (SLOTS * 6) as usize - retry_delays_ms.len();
    assert!(sent >= 2 * SLOTS as usize, "only {sent} requests sent");
    retry_delays_ms.sort_unstable();
    retry_delays_ms.dedup();
    assert!(
        retry_delays_ms.len() > 8,
        "too few different retry delays: {retry_delays_ms:?}"
    );
}

#[test]
fn place_counts_requests_of_peers() {
    let mut table = upstream_table("me", &SAME_DOMAIN);
    table.receive_notice(notice("peer", 1, &[("u1", 8, 0)]), 0);
    for _ in 0..4 {
        assert_eq!(target_of(&place(&mut table, 0)).upstream.as_str(), "u2");
    }
    // A silent peer expires and counts as having nothing in flight.
    table.receive_notice(notice("other", 1, &[("u2", 8, 0)]), 10_000);
    table.expire(10_000);
    assert_eq!(
        target_of(&place(&mut table, 10_000)).upstream.as_str(),
        "u1"
    );
}

#[test]
fn receive_notice_ignores_older_notice() {
    let mut table = upstream_table("me", &SAME_DOMAIN);
    table.receive_notice(notice("peer", 2, &[("u1", 8, 0)]), 0);
    table.receive_notice(notice("peer", 1, &[("u2", 8, 0)]), 0);
    assert_eq!(target_of(&place(&mut table, 0)).upstream.as_str(), "u2");
}

#[test]
fn place_skips_draining_upstream() {
    let mut table = upstream_table("me", &SAME_DOMAIN);
    let mut draining_entry = entry("u1", "north-a");
    draining_entry.state = UpstreamState::Draining;
    table.upsert(draining_entry, 0);
    for _ in 0..8 {
        assert_eq!(target_of(&place(&mut table, 0)).upstream.as_str(), "u2");
    }
}

#[test]
fn place_failed_upstream_is_ejected_then_probed_by_one_request() {
    let mut table = upstream_table("me", &SAME_DOMAIN);
    let placement = place_after_attempts(&mut table, &[UpstreamId::new("u2")], true, 0);
    let target = target_of(&placement).clone();
    table.record_failure(&target, 0);
    let placement_after_failure = place(&mut table, 10);
    assert_eq!(target_of(&placement_after_failure).upstream.as_str(), "u2");
    let tried = [UpstreamId::new("u2")];
    let probe = place_after_attempts(&mut table, &tried, true, 5_000);
    assert_eq!(target_of(&probe).upstream.as_str(), "u1");
    table.record_start(target_of(&probe), WorkKind::Online, 5_000);
    let second = place_after_attempts(&mut table, &tried, true, 5_000);
    assert_eq!(target_of(&second).upstream.as_str(), "u2");
}

#[test]
fn upsert_new_incarnation_starts_without_history() {
    let mut table = upstream_table("me", &[("u1", "north-a")]);
    let placement = place(&mut table, 0);
    let target = target_of(&placement).clone();
    table.record_start(&target, WorkKind::Online, 0);
    table.record_failure(&target, 0);
    let mut restarted_entry = entry("u1", "north-a");
    restarted_entry.started_unix_ms = 2;
    table.upsert(restarted_entry, 10);
    let placement_after_restart = place(&mut table, 10);
    assert_eq!(target_of(&placement_after_restart).started_unix_ms, 2);
    // The end of a request at the old incarnation does not change the load of
    // the new one.
    table.record_start(target_of(&placement_after_restart), WorkKind::Online, 10);
    table.record_end(&target, WorkKind::Online);
    assert_eq!(table.own_loads()[0].online, 1);
}

#[test]
fn remove_lapsed_entry_after_grace_period() {
    let id = UpstreamId::new("u1");
    let mut table = upstream_table("me", &[("u1", "north-a")]);
    table.remove(&id, true, 1_000);
    table.expire(2_900);
    assert!(matches!(place(&mut table, 2_900), Placement::Send { .. }));
    table.expire(3_000);
    assert!(matches!(place(&mut table, 3_000), Placement::Refuse { .. }));
}

#[test]
fn remove_without_outage_is_immediate() {
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
fn retain_registered_removes_unregistered() {
    let mut table = upstream_table("me", &SAME_DOMAIN);
    table.retain_registered(&[UpstreamId::new("u2")], false, 0);
    assert_eq!(table.ready_count(), 1);
}

/// A request whose first connection failed has exceeded its latency goal. A
/// free slot is better for it than a refusal.
#[test]
fn place_late_request_is_sent_if_wait_is_short() {
    let service = service();
    let request = |waited_ms| PlacementRequest {
        service: &service,
        prompt_parts: &[],
        tried: &[],
        goal_ms: GOAL_MS,
        waited_ms,
        version: None,
        weights: None,
        may_refuse: true,
    };
    let mut table = upstream_table("me", &SAME_DOMAIN);
    let sent = table.place(&request(GOAL_MS + 100), 0);
    assert!(matches!(sent, Placement::Send { .. }), "{sent:?}");
}

/// Guards against streams that are refused when their callers come back in a burst: a new
/// request can come again, a stream that is refused is lost. One that would wait too long is
/// refused all the same.
#[test]
fn place_stream_that_goes_on_is_sent_where_a_new_request_is_refused() {
    let service = service();
    let request = |version| PlacementRequest {
        service: &service,
        prompt_parts: &[],
        tried: &[],
        goal_ms: GOAL_MS,
        waited_ms: 0,
        version,
        weights: None,
        may_refuse: true,
    };
    let mut table = upstream_table("me", &SAME_DOMAIN);
    let version = Some(VersionHash::new(&entry("u1", "north-a").version));
    while let Placement::Send { target, .. } = table.place(&request(None), 0) {
        table.record_start(&target, WorkKind::Online, 0);
    }
    let mut sent = 0;
    while let Placement::Send { target, .. } = table.place(&request(version), 0) {
        table.record_start(&target, WorkKind::Online, 0);
        sent += 1;
    }
    assert!((1..SLOTS * 10).contains(&sent), "{sent}");
}

/// A batch item at a full upstream is preempted as soon as its owner is
/// notified, whereas an online request has to end by itself.
#[test]
fn place_expects_shorter_wait_with_preemptible_items() {
    let expected = |loads: &[(&str, u16, u16)]| {
        let mut table = upstream_table("me", &SAME_DOMAIN[..1]);
        let first = place(&mut table, 0);
        table.record_completion(target_of(&first), WorkKind::Online, HOLD_MS);
        table.receive_notice(notice("peer", 1, loads), 0);
        expected_ms_of(&place(&mut table, 0))
    };
    assert!(expected(&[("u1", 4, 4)]) < expected(&[("u1", 8, 0)]));
    assert!(expected(&[("u1", 8, 0)]) < expected(&[("u1", 12, 0)]));
}

#[test]
fn connect_timeout_ms_follows_measured_round_trip() {
    let mut table = upstream_table("me", &TWO_REGIONS);
    let target = target_of(&place(&mut table, 0)).clone();
    let default_timeout_ms = table.connect_timeout_ms(&target);
    for _ in 0..40 {
        table.record_round_trip(&target, 100.0);
    }
    assert!(default_timeout_ms < 100, "{default_timeout_ms}");
    assert!(table.connect_timeout_ms(&target) > 250);
}

/// A connect time-out says that the path is lost, not that the upstream is slow: requests
/// would be refused as if it were saturated.
#[test]
fn place_connect_timeouts_do_not_delay_answers() {
    let mut table = upstream_table("me", &[("u1", "north-a")]);
    let target = target_of(&place(&mut table, 0)).clone();
    table.record_round_trip(&target, 1.0);
    let first_timeout_ms = table.connect_timeout_ms(&target);
    for _ in 0..20 {
        table.record_connect_failure(&target, ConnectFailure::TimedOut, 0, 0);
    }
    assert!(expected_ms_of(&place(&mut table, 0)) < 10);
    assert!(table.connect_timeout_ms(&target) >= 4 * first_timeout_ms);
    table.record_connected(&target, 0);
    assert_eq!(table.connect_timeout_ms(&target), first_timeout_ms);
}

/// The only upstream has just failed. Sending a request to it is still better
/// than refusing the request.
#[test]
fn place_only_upstream_is_last_resort_after_failure() {
    let mut table = upstream_table("me", &SAME_DOMAIN[..1]);
    let target = target_of(&place(&mut table, 0)).clone();
    table.record_failure(&target, 0);
    let placement_after_failure =
        place_after_attempts(&mut table, &[UpstreamId::new("u1")], false, 10);
    assert_eq!(target_of(&placement_after_failure).upstream.as_str(), "u1");
    table.record_full(&target, 200);
    let full = place(&mut table, 100);
    assert!(matches!(full, Placement::Refuse { .. }), "{full:?}");
}

/// Guards against requests that are closed without an answer (CONFIG): answers that begin and end
/// within a millisecond were measured as 0 ms, by which rates are divided.
#[test]
fn place_after_answers_without_measurable_duration() {
    const PEERS: usize = 30;
    let mut table = upstream_table("me", &SAME_DOMAIN);
    for peer in 0..PEERS {
        let name = format!("peer-{peer}");
        table.receive_notice(notice(&name, 1, &[("u1", 1, 1), ("u2", 1, 0)]), 0);
    }
    let first = place_after_attempts(&mut table, &[], false, 0);
    for kind in [WorkKind::Online, WorkKind::Batch] {
        table.record_completion(target_of(&first), kind, 0);
    }
    for _ in 0..100 {
        let placement = place_after_attempts(&mut table, &[], false, 0);
        assert!(expected_ms_of(&placement) < GOAL_MS, "{placement:?}");
    }
    // Nothing waits; the plan is made without a panic as well.
    assert_eq!(table.batch_plan(&service(), 0), []);
}

/// A route may state a latency goal of 0, which is the estimate before the first measurement.
#[test]
fn place_with_goal_of_zero() {
    let mut table = upstream_table("me", &SAME_DOMAIN);
    for peer in 0..30 {
        let name = format!("peer-{peer}");
        table.receive_notice(notice(&name, 1, &[("u1", 1, 0), ("u2", 1, 0)]), 0);
    }
    let service = service();
    let request = PlacementRequest {
        service: &service,
        prompt_parts: &[],
        tried: &[],
        goal_ms: 0,
        waited_ms: 0,
        version: None,
        weights: None,
        may_refuse: false,
    };
    for _ in 0..100 {
        assert!(matches!(table.place(&request, 0), Placement::Send { .. }));
    }
}
