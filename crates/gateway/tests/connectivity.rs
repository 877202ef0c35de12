//! Lost paths: what counts as lost, what is probed, and which peers make attempts.

mod support;

use std::net::SocketAddr;

use gateway::{
    ConnectFailure, PathLoss, PathNotice, Placement, PlacementRequest, RefusalReason, Target,
    UpstreamTable, WorkKind, upstream_hash,
};
use model::{InstanceId, Region, UpstreamId};
use support::{GOAL_MS, entry, expected_ms_of, notice, place, service, target_of, upstream_table};

const UPSTREAMS: [(&str, &str); 4] = [
    ("u1", "north-a"),
    ("u2", "north-a"),
    ("u3", "north-a"),
    ("u4", "north-a"),
];

fn table() -> UpstreamTable {
    upstream_table("me", &UPSTREAMS)
}

fn target(table: &UpstreamTable, id: &str) -> Target {
    table.target(&UpstreamId::new(id), started_of(id)).unwrap()
}

fn started_of(id: &str) -> u64 {
    entry(id, "north-a").started_unix_ms
}

fn lose(table: &mut UpstreamTable, id: &str, now_ms: u64) -> PathLoss {
    let target = target(table, id);
    table.record_connect_failure(&target, ConnectFailure::TimedOut, now_ms, now_ms)
}

fn add_peer(table: &mut UpstreamTable, instance: &str, paths: Option<PathNotice>) {
    let port = 7_000 + u16::try_from(instance.len()).unwrap();
    let address = SocketAddr::from(([10, 0, 0, instance.as_bytes()[5]], port));
    table.receive_notice(notice(instance, 1, &[]), 0);
    table.receive_paths(&InstanceId::new(instance), address, paths);
}

fn lost_upstreams(ids: &[&str]) -> PathNotice {
    let mut upstreams: Vec<_> = ids
        .iter()
        .map(|id| upstream_hash(&UpstreamId::new(id)))
        .collect();
    upstreams.sort_unstable();
    PathNotice {
        upstreams,
        ..PathNotice::default()
    }
}

#[test]
fn record_connect_failure_one_upstream_leaves_others_usable() {
    let mut table = table();
    assert!(lose(&mut table, "u1", 100).is_upstream_news);
    assert!(!lose(&mut table, "u1", 200).is_upstream_news);
    assert_eq!(table.service_state(&service()).unreachable, 1);
    for _ in 0..50 {
        let placement = place(&mut table, 200);
        assert_ne!(target_of(&placement).upstream.as_str(), "u1");
    }
}

#[test]
fn record_connect_failure_three_upstreams_lose_the_service() {
    let mut table = table();
    lose(&mut table, "u1", 100);
    lose(&mut table, "u2", 110);
    assert!(!lose(&mut table, "u2", 120).is_service_news);
    assert!(lose(&mut table, "u3", 130).is_service_news);
    assert_eq!(table.service_state(&service()).unreachable, 4);
    // One connection proves that there is a path.
    let target = target(&table, "u4");
    table.record_connected(&target, 200);
    assert_eq!(table.service_state(&service()).unreachable, 3);
}

/// Slow answers, refusals and errors say nothing about the path.
#[test]
fn record_failure_without_connect_failure_loses_no_path() {
    let mut table = table();
    for id in ["u1", "u2", "u3", "u4"] {
        let target = target(&table, id);
        table.record_failure(&target, 100);
        table.record_full(&target, 200);
        table.record_answer_delay(&target, 5_000.0, 100);
    }
    assert_eq!(table.service_state(&service()).unreachable, 0);
    assert_eq!(table.path_notice(0), None);
}

#[test]
fn record_connect_failure_in_silence_probes_others() {
    let mut table = table();
    table.record_heard(&service(), 100);
    let in_silence = {
        let target = target(&table, "u1");
        table.record_connect_failure(&target, ConnectFailure::TimedOut, 150, 200)
    };
    assert_eq!(in_silence.probes.len(), 2);
    let mut table = self::table();
    table.record_heard(&service(), 180);
    let while_others_answer = {
        let target = target(&table, "u1");
        table.record_connect_failure(&target, ConnectFailure::TimedOut, 150, 200)
    };
    assert_eq!(while_others_answer.probes, []);
}

#[test]
fn begin_due_probes_is_bounded() {
    let ids: Vec<_> = (0..50).map(|index| format!("u{index}")).collect();
    let upstreams: Vec<_> = ids.iter().map(|id| (id.as_str(), "north-a")).collect();
    let mut table = upstream_table("me", &upstreams);
    for id in &ids {
        lose(&mut table, id, 0);
    }
    assert_eq!(table.begin_due_probes(10_000).len(), 8);
    assert_eq!(table.begin_due_probes(10_000).len(), 0);
}

/// For ten seconds all probes fail; then the path is back.
#[test]
fn begin_due_probes_lost_service_is_found_again_within_half_a_second() {
    let mut table = table();
    for id in ["u1", "u2", "u3", "u4"] {
        lose(&mut table, id, 0);
    }
    let mut probes = 0;
    let mut regained_ms = None;
    for now_ms in (0..12_000).step_by(50) {
        for target in table.begin_due_probes(now_ms) {
            probes += 1;
            if now_ms < 10_000 {
                let refused = ConnectFailure::Refused;
                table.record_connect_failure(&target, refused, now_ms, now_ms);
            } else {
                table.record_connected(&target, now_ms);
            }
        }
        if table.unreachable_count() == 0 {
            regained_ms.get_or_insert(now_ms);
        }
    }
    assert!(
        regained_ms.is_some_and(|at_ms| at_ms <= 10_500),
        "{regained_ms:?}"
    );
    assert!(probes <= 4 * 12, "{probes}");
}

/// Nothing is held that cannot be served, and nothing counts as load at upstreams that it does
/// not reach.
#[test]
fn place_lost_service_without_peers_is_refused_at_once() {
    let mut table = table();
    for id in ["u1", "u2", "u3"] {
        lose(&mut table, id, 0);
    }
    for _ in 0..10 {
        let placement = place(&mut table, 10);
        let Placement::Refuse { reason, .. } = placement else {
            panic!("sent: {placement:?}");
        };
        assert_eq!(reason, RefusalReason::Unreachable);
    }
    let target = target(&table, "u2");
    table.record_connected(&target, 20);
    assert!(matches!(place(&mut table, 20), Placement::Send { .. }));
}

/// A service of one upstream is probed at once, since a single lost packet may be all.
#[test]
fn begin_due_probes_lost_service_is_probed_at_once() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    lose(&mut table, "u1", 1_000);
    assert_eq!(table.begin_due_probes(1_000).len(), 1);
}

#[test]
fn proxy_for_lost_upstream_is_a_peer_that_reaches_it() {
    let mut table = table();
    add_peer(&mut table, "peer-a", Some(lost_upstreams(&["u1"])));
    add_peer(&mut table, "peer-b", None);
    let u1 = target(&table, "u1");
    assert_eq!(table.proxy_for(&u1, 0), None, "the path is not lost");
    lose(&mut table, "u1", 0);
    assert_eq!(table.proxy_for(&u1, 0), None, "it may have crashed");
    assert!(table.peer_to_ask(&u1, &[], 0).is_some());
    table.record_reached_by_peer(&u1);
    for _ in 0..20 {
        let proxy = table.proxy_for(&u1, 0).unwrap();
        assert_eq!(proxy.instance.as_str(), "peer-b");
    }
    add_peer_again(&mut table, "peer-b", 2, Some(lost_upstreams(&["u1", "u2"])));
    assert_eq!(table.proxy_for(&u1, 0), None, "all have lost it");
}

fn add_peer_again(
    table: &mut UpstreamTable,
    instance: &str,
    sequence: u64,
    paths: Option<PathNotice>,
) {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
    table.receive_notice(notice(instance, sequence, &[]), 0);
    table.receive_paths(&InstanceId::new(instance), address, paths);
}

/// The path to a whole service is named by the service, however many upstreams it has.
#[test]
fn path_notice_lost_service_has_bounded_size() {
    let ids: Vec<_> = (0..500).map(|index| format!("u{index}")).collect();
    let upstreams: Vec<_> = ids.iter().map(|id| (id.as_str(), "north-a")).collect();
    let mut table = upstream_table("me", &upstreams);
    for id in &ids {
        lose(&mut table, id, 0);
    }
    let notice = table.path_notice(0).unwrap();
    assert_eq!((notice.services.len(), notice.upstreams.len()), (1, 0));
    let mut peer = upstream_table("peer", &upstreams);
    add_peer(&mut peer, "peer-a", Some(notice));
    lose(&mut peer, "u7", 0);
    let lost = target(&peer, "u7");
    peer.record_reached_by_peer(&lost);
    assert_eq!(peer.proxy_for(&lost, 0), None);
}

#[test]
fn proxy_for_many_attempts_spreads_them() {
    let mut table = table();
    for instance in ["peer-a", "peer-b", "peer-c", "peer-d", "peer-e", "peer-f"] {
        add_peer(&mut table, instance, None);
    }
    lose(&mut table, "u1", 0);
    let u1 = target(&table, "u1");
    table.record_reached_by_peer(&u1);
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..120 {
        let proxy = table.proxy_for(&u1, 0).unwrap();
        table.record_proxied_start(&proxy.instance);
        *counts.entry(proxy.instance).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 6, "{counts:?}");
    assert!(
        counts.values().all(|count| (10..=30).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn proxy_for_pauses_after_failure() {
    let mut table = table();
    add_peer(&mut table, "peer-a", None);
    lose(&mut table, "u1", 0);
    let u1 = target(&table, "u1");
    table.record_reached_by_peer(&u1);
    table.record_proxy_failure(&InstanceId::new("peer-a"), 0);
    assert_eq!(table.proxy_for(&u1, 100), None);
    assert!(table.proxy_for(&u1, 1_000).is_some());
}

/// An upstream that only peers reach costs the way through the peer, and no more.
#[test]
fn place_lost_upstream_through_peer_expects_the_longer_way() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    add_peer(&mut table, "peer-a", None);
    let direct_ms = expected_ms_of(&place(&mut table, 0));
    lose(&mut table, "u1", 0);
    let placement = place(&mut table, 0);
    assert_eq!(target_of(&placement).upstream.as_str(), "u1");
    let proxied_ms = expected_ms_of(&placement);
    assert!(
        proxied_ms > direct_ms && proxied_ms < direct_ms + 20,
        "{proxied_ms}"
    );
}

/// Requests through peers are not limited to one at a time as those of a last resort.
#[test]
fn place_through_peer_is_not_limited_to_one_request() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    add_peer(&mut table, "peer-a", None);
    lose(&mut table, "u1", 0);
    for index in 0..3 {
        let service = service();
        let request = PlacementRequest {
            service: &service,
            prompt_parts: &[],
            tried: &[],
            goal_ms: GOAL_MS,
            waited_ms: 0,
            version: None,
            weights: None,
            may_refuse: true,
        };
        let placement = table.place(&request, 0);
        let target = target_of(&placement).clone();
        table.record_start(&target, WorkKind::Online, 0);
        assert_eq!(target.upstream.as_str(), "u1", "request {index}");
    }
}

/// Callers of an instance without a path are served as often as those of others, also while
/// requests have to wait.
#[test]
fn place_detour_through_peer_is_no_reason_to_refuse() {
    let mut table = upstream_table("me", &[("u1", "north-a"), ("u2", "south-a")]);
    let u1 = target(&table, "u1");
    table.record_completion(&u1, WorkKind::Online, 800);
    // Two requests have to end before another one can run.
    table.receive_notice(notice("peer-a", 1, &[("u1", 9, 0), ("u2", 9, 0)]), 0);
    let direct = place(&mut table, 0);
    assert!(matches!(direct, Placement::Send { .. }), "{direct:?}");
    let mut remote = notice("peer-b", 1, &[]);
    remote.region = Region::new("south");
    table.receive_notice(remote, 0);
    let address = SocketAddr::from(([10, 0, 0, 2], 7_000));
    table.receive_paths(&InstanceId::new("peer-b"), address, None);
    lose(&mut table, "u1", 0);
    lose(&mut table, "u2", 0);
    let proxied = place(&mut table, 0);
    assert!(matches!(proxied, Placement::Send { .. }), "{proxied:?}");
    assert!(expected_ms_of(&proxied) > GOAL_MS);
}

/// All upstreams crash, and others take their place.
#[test]
fn begin_due_probes_finds_successors_of_a_lost_service() {
    let mut table = upstream_table("me", &UPSTREAMS[..3]);
    for id in ["u1", "u2", "u3"] {
        lose(&mut table, id, 0);
    }
    table.retain_registered(&[], false, 100);
    table.upsert(entry("u9", "north-a"), 100);
    let probes = table.begin_due_probes(1_000);
    assert_eq!(probes.len(), 1);
    table.record_connected(&probes[0], 1_000);
    assert!(matches!(place(&mut table, 1_000), Placement::Send { .. }));
}

/// Upstreams crash now and then while nobody needs a new connection to the others.
#[test]
fn record_connect_failure_long_ago_says_nothing_about_the_service() {
    let mut table = table();
    for (id, now_ms) in [("u1", 0), ("u2", 60_000), ("u3", 120_000)] {
        assert!(!lose(&mut table, id, now_ms).is_service_news);
    }
}

/// Upstreams that have crashed go on failing, while no request needs a new connection to the
/// others.
#[test]
fn record_connect_failure_of_crashed_upstreams_loses_no_service() {
    let mut table = table();
    for (id, now_ms) in [("u1", 0), ("u2", 10_000), ("u3", 20_000)] {
        lose(&mut table, id, now_ms);
    }
    for now_ms in (30_000..40_000).step_by(100) {
        for id in ["u1", "u2", "u3"] {
            assert!(!lose(&mut table, id, now_ms).is_service_news);
        }
    }
    assert!(
        lose(&mut table, "u4", 40_000).is_service_news,
        "none is left"
    );
}
