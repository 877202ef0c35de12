//! Which software version a stream may go on at, by records and by registrations.

mod support;

use gateway::{
    AttemptHash, HolderUse, ObservedVersions, OriginRecord, Placement, PlacementRequest,
    RecordHolder, RefusalReason, StreamOrigins, UpstreamTable, VersionHash, VersionHistory,
    record_holders,
};
use model::{InstanceId, Region, SoftwareVersion, UpstreamId};
use proptest::prelude::*;
use support::{entry, service, target_of, upstream_table};

/// Longer than any stream lives, milliseconds.
const LONG_MS: u64 = 100_000;
const START_MS: u64 = 1_000_000;
/// Version of the store.
const VERSION: u64 = 300;

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new(name)
}

fn hash(name: &str) -> VersionHash {
    VersionHash::new(&version(name))
}

fn record(attempt: &str, name: &str) -> OriginRecord {
    OriginRecord {
        attempt: AttemptHash::new(attempt),
        version: hash(name),
    }
}

fn register(table: &mut UpstreamTable, id: &str, name: &str, started_unix_ms: u64) {
    let mut entry = entry(id, "north-a");
    entry.version = version(name);
    entry.started_unix_ms = started_unix_ms;
    table.upsert(entry, 0);
}

fn table_of(versions: &[(&str, &str)]) -> UpstreamTable {
    let mut table = upstream_table("a", &[]);
    for (id, name) in versions {
        register(&mut table, id, name, 1);
    }
    table
}

fn place_at(table: &mut UpstreamTable, version: Option<VersionHash>) -> Placement {
    let request = PlacementRequest {
        service: &service(),
        prompt_parts: &[],
        tried: &[],
        goal_ms: 300,
        waited_ms: 0,
        version,
        weights: None,
        may_refuse: true,
    };
    table.place(&request, 0)
}

#[test]
fn version_of_recorded_attempt() {
    let mut origins = StreamOrigins::default();
    origins.receive(record("a", "v1"), START_MS);
    origins.receive(record("b", "v2"), START_MS);
    let version_of = |attempt, now_ms| origins.version_of(AttemptHash::new(attempt), now_ms);
    assert_eq!(version_of("a", START_MS + 5), Some(hash("v1")));
    assert_eq!(version_of("b", START_MS + 5), Some(hash("v2")));
    assert_eq!(version_of("c", START_MS + 5), None);
    assert_eq!(version_of("a", START_MS + LONG_MS), None);
}

/// Two streams with one id began at different versions, so neither record can be trusted.
#[test]
fn version_of_contradictory_records() {
    let mut origins = StreamOrigins::default();
    origins.receive(record("a", "v1"), START_MS);
    origins.receive(record("a", "v2"), START_MS);
    origins.receive(record("a", "v1"), START_MS);
    assert_eq!(
        origins.version_of(AttemptHash::new("a"), START_MS + 5),
        None
    );
}

/// Own streams are told whether or not there is another version yet, those of peers are not.
#[test]
fn unsent_until_they_are_sent() {
    let mut origins = StreamOrigins::default();
    origins.record_own(record("a", "v1"), START_MS);
    origins.receive(record("b", "v1"), START_MS);
    assert_eq!(origins.unsent(START_MS), [record("a", "v1")]);
    assert_eq!(origins.unsent(START_MS + LONG_MS), []);
    origins.record_sent(AttemptHash::new("a"));
    assert_eq!(origins.unsent(START_MS), []);
}

#[test]
fn records_are_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..33_000_u64 {
        origins.receive(record(&number.to_string(), "v1"), START_MS + number / 100);
    }
    let known = |number: u64| {
        let attempt = AttemptHash::new(&number.to_string());
        origins.version_of(attempt, START_MS + 400).is_some()
    };
    assert!(known(32_999));
    assert_eq!((0..33_000).filter(|number| known(*number)).count(), 32_768);
}

#[test]
fn place_stays_at_version() {
    let mut table = table_of(&[("u1", "v1"), ("u2", "v2"), ("u3", "v1")]);
    for _ in 0..20 {
        let placement = place_at(&mut table, Some(hash("v2")));
        assert_eq!(target_of(&placement).upstream, UpstreamId::new("u2"));
    }
}

#[test]
fn place_refuses_at_version_that_is_gone() {
    let mut table = table_of(&[("u1", "v1"), ("u2", "v2")]);
    table.remove(&UpstreamId::new("u2"), false, 0);
    let placement = place_at(&mut table, Some(hash("v2")));
    assert!(
        matches!(
            placement,
            Placement::Refuse {
                reason: RefusalReason::VersionGone,
                ..
            }
        ),
        "{placement:?}"
    );
    assert!(matches!(place_at(&mut table, None), Placement::Send { .. }));
}

/// The process that listens where an upstream crashed may run another version.
#[test]
fn place_avoids_crashed_incarnation_of_version() {
    let mut table = table_of(&[("u1", "v1")]);
    let crashed = target_of(&place_at(&mut table, None)).clone();
    table.record_crash(&crashed, 0);
    let refused = place_at(&mut table, Some(hash("v1")));
    assert!(matches!(refused, Placement::Refuse { .. }), "{refused:?}");
    register(&mut table, "u1", "v1", 2);
    let placement = place_at(&mut table, Some(hash("v1")));
    assert_eq!(target_of(&placement).started_unix_ms, 2);
}

#[test]
fn only_version_takes_the_lifetime_of_a_stream() {
    let table = table_of(&[("u1", "v1"), ("u2", "v1")]);
    let mut history = VersionHistory::default();
    let only = |history: &VersionHistory, now_ms| history.only_version(&service(), &table, now_ms);
    assert_eq!(only(&history, START_MS), None);
    history.record_snapshot(VERSION, START_MS);
    assert_eq!(only(&history, START_MS + 1_000), None);
    assert_eq!(only(&history, START_MS + LONG_MS), Some(version("v1")));
}

#[test]
fn only_version_is_none_while_another_one_is_remembered() {
    let table = table_of(&[("u1", "v1")]);
    let mut history = VersionHistory::default();
    history.record_snapshot(VERSION, START_MS);
    let vanished_ms = START_MS + LONG_MS;
    history.record_vanished(&service(), &version("v1"), vanished_ms);
    assert_eq!(
        history.only_version(&service(), &table, vanished_ms),
        Some(version("v1"))
    );
    history.record_vanished(&service(), &version("v2"), vanished_ms);
    assert_eq!(history.only_version(&service(), &table, vanished_ms), None);
    let later_ms = vanished_ms + LONG_MS;
    history.expire(later_ms);
    assert_eq!(
        history.only_version(&service(), &table, later_ms),
        Some(version("v1"))
    );
}

/// A registration came and went between two reads, so its version is not known.
#[test]
fn only_version_is_none_after_an_unseen_registration() {
    let table = table_of(&[("u1", "v1")]);
    let mut history = VersionHistory::default();
    history.record_snapshot(VERSION, START_MS);
    history.record_unseen(START_MS + LONG_MS);
    assert_eq!(
        history.only_version(&service(), &table, START_MS + LONG_MS),
        None
    );
}

#[test]
fn only_version_is_none_for_mixed_registrations() {
    let table = table_of(&[("u1", "v1"), ("u2", "v2")]);
    let mut history = VersionHistory::default();
    history.record_snapshot(VERSION, START_MS);
    assert_eq!(
        history.only_version(&service(), &table, START_MS + LONG_MS),
        None
    );
}

/// An instance that has just started takes over what a peer has observed, but only if
/// nothing lies between.
#[test]
fn receive_joins_observations() {
    let table = table_of(&[("u1", "v1")]);
    let mut peer = VersionHistory::default();
    peer.record_snapshot(VERSION, START_MS);
    let started_ms = START_MS + LONG_MS;
    let mut own = VersionHistory::default();
    own.record_snapshot(VERSION + 7, started_ms);
    peer.record_changes(VERSION + 6);
    own.receive(&peer.observed().unwrap());
    assert_eq!(own.only_version(&service(), &table, started_ms + 10), None);
    peer.record_changes(VERSION + 7);
    own.receive(&peer.observed().unwrap());
    assert_eq!(
        own.only_version(&service(), &table, started_ms + 10),
        Some(version("v1"))
    );
}

#[test]
fn receive_takes_over_vanished_versions() {
    let table = table_of(&[("u1", "v2")]);
    let mut peer = VersionHistory::default();
    peer.record_snapshot(VERSION, START_MS);
    let started_ms = START_MS + LONG_MS;
    peer.record_vanished(&service(), &version("v1"), started_ms - 1_000);
    peer.record_changes(VERSION + 7);
    let mut own = VersionHistory::default();
    own.record_snapshot(VERSION + 7, started_ms);
    own.receive(&peer.observed().unwrap());
    assert_eq!(own.only_version(&service(), &table, started_ms + 10), None);
}

fn peers(count: usize) -> Vec<RecordHolder> {
    let regions = ["north", "south", "east"];
    let peers = (0..count).map(|index| RecordHolder {
        instance: InstanceId::new(&format!("i-{index}")),
        region: Region::new(regions[index % regions.len()]),
        has_lease: true,
    });
    peers.collect()
}

/// The sender sees that a peer has no lease, which is out of touch with the store and sees
/// none of anybody. Both find the same holders.
#[test]
fn record_holders_without_leases() {
    let region = Region::new("north");
    for attempt in 0..200 {
        let attempt = AttemptHash::new(&format!("a{attempt}"));
        let mut peers = peers(11);
        peers[0].has_lease = false;
        let sent = record_holders(attempt, &peers, &region, HolderUse::Send);
        assert!(!sent.contains(&0));
        for peer in &mut peers {
            peer.has_lease = false;
        }
        let asked = record_holders(attempt, &peers, &region, HolderUse::Ask);
        assert!(sent.iter().all(|holder| asked.contains(holder)));
        assert!(asked.len() <= 10);
    }
}

/// A peer without a lease may be alive, and is better than none.
#[test]
fn record_holders_fill_up_with_those_without_lease() {
    let mut peers = peers(4);
    for peer in &mut peers[1..] {
        peer.has_lease = false;
    }
    let attempt = AttemptHash::new("a");
    let sent = record_holders(attempt, &peers, &Region::new("north"), HolderUse::Send);
    assert_eq!(sent[..2], [0, 3]);
}

proptest! {
    /// An instance that asks finds a holder, also when some instances have come or gone
    /// since the record was sent. The number of both does not grow with the fleet.
    #[test]
    fn record_holders_are_found(
        attempt in any::<u64>(),
        count in 2..400_usize,
        is_same_region in any::<bool>(),
    ) {
        let attempt = AttemptHash::new(&attempt.to_string());
        let peers = peers(count);
        let sender = Region::new("north");
        let asker = Region::new(if is_same_region { "north" } else { "south" });
        let sent = record_holders(attempt, &peers, &sender, HolderUse::Send);
        prop_assert!(!sent.is_empty() && sent.len() <= 3);
        // The first holder in the sender's region has gone.
        let mut remaining = peers.clone();
        let gone = remaining.remove(sent[0]);
        let asked = record_holders(attempt, &remaining, &asker, HolderUse::Ask);
        prop_assert!(asked.len() <= 5);
        let holders: Vec<_> = sent.iter().map(|index| &peers[*index].instance).collect();
        let is_found = asked.iter().any(|index| holders.contains(&&remaining[*index].instance));
        if is_same_region && sent.iter().any(|index| peers[*index] != gone && peers[*index].region == sender) {
            prop_assert!(is_found);
        }
    }

    /// What instances take over from each other never hides a version that one of them saw.
    #[test]
    fn receive_never_forgets_a_version(
        since_ms in prop::collection::vec(0..200_000_u64, 3),
        vanished_ms in 0..200_000_u64,
        order in prop::collection::vec((0..3_usize, 0..3_usize), 0..12),
    ) {
        let table = table_of(&[("u1", "v1")]);
        let now_ms = 290_000;
        let mut instances: Vec<_> = since_ms
            .iter()
            .map(|since_ms| {
                let mut history = VersionHistory::default();
                history.record_snapshot(*since_ms, *since_ms);
                if vanished_ms >= *since_ms {
                    history.record_vanished(&service(), &version("v2"), vanished_ms);
                }
                history.record_changes(now_ms);
                history
            })
            .collect();
        for (from, to) in order {
            let observed: ObservedVersions = instances[from].observed().unwrap();
            instances[to].receive(&observed);
        }
        for instance in &instances {
            if instance.only_version(&service(), &table, now_ms).is_some() {
                prop_assert!(vanished_ms + 90_000 <= now_ms);
            }
        }
    }
}
