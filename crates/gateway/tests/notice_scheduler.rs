//! Which regions are due for a notice after load changes and after time passes.

mod support;

use gateway::{NoticeScheduler, Target, UpstreamTable, WorkKind, notice_pause_ms};
use model::{Region, SoftwareVersion, UpstreamId};
use support::{entry, service, upstream_table};

const UPSTREAMS: [(&str, &str); 2] = [("u1", "north-a"), ("u2", "south-a")];

fn record_online_start(table: &mut UpstreamTable, upstream: &str, domain: &str) {
    let entry = entry(upstream, domain);
    let target = Target {
        upstream: UpstreamId::new(upstream),
        service: service(),
        version: SoftwareVersion::new("v1"),
        address: entry.address,
        started_unix_ms: entry.started_unix_ms,
    };
    table.record_start(&target, WorkKind::Online, 0);
}

/// Returns how many peers of the own region and of the other one are due, if there are
/// 2 and `remote_peers` of them.
fn due_counts(
    scheduler: &mut NoticeScheduler,
    table: &UpstreamTable,
    remote_peers: usize,
    now_ms: u64,
) -> (usize, usize) {
    let mut regions = vec![Region::new("north"); 2];
    regions.resize(2 + remote_peers, Region::new("south"));
    let due = scheduler.due_peers(table, &regions, now_ms);
    let own = due.iter().filter(|index| **index < 2).count();
    (own, due.len() - own)
}

#[test]
fn due_peers_by_region_of_load_change() {
    let mut table = upstream_table("me", &UPSTREAMS);
    let mut scheduler = NoticeScheduler::default();
    let mut due = |table: &UpstreamTable, now_ms| due_counts(&mut scheduler, table, 40, now_ms);
    assert_eq!(due(&table, 0), (2, 40), "first notices");
    record_online_start(&mut table, "u1", "north-a");
    assert_eq!(due(&table, 0), (2, 0), "load in the own region");
    record_online_start(&mut table, "u2", "south-a");
    assert_eq!(due(&table, 0), (2, 40), "load in the other region");
    assert_eq!(due(&table, 0), (2, 0), "already notified");
}

/// Few peers of other regions are notified together, at intervals that grow with their
/// number.
#[test]
fn due_peers_of_other_regions_together() {
    for (remote_peers, expected_ms) in [
        (3, &[20, 40, 60, 80, 100, 120][..]),
        (30, &[200, 400, 600, 800, 1_000, 1_200][..]),
    ] {
        let mut table = upstream_table("me", &UPSTREAMS);
        let mut scheduler = NoticeScheduler::default();
        due_counts(&mut scheduler, &table, remote_peers, 0);
        let mut notified_ms = Vec::new();
        for now_ms in (20..=3_000).step_by(20) {
            record_online_start(&mut table, "u1", "north-a");
            match due_counts(&mut scheduler, &table, remote_peers, now_ms) {
                (2, 0) => {}
                (2, due) if due == remote_peers => notified_ms.push(now_ms),
                other => panic!("{other:?} are due"),
            }
        }
        assert_eq!(
            notified_ms[..6],
            *expected_ms,
            "{remote_peers} remote peers"
        );
    }
}

/// Many peers of other regions are notified in turn at a limited rate. The more of them
/// there are, the less often each of them is notified, and none is left out.
#[test]
fn due_peers_of_other_regions_in_turn() {
    for remote_peers in [100, 200, 2_400] {
        let mut table = upstream_table("me", &UPSTREAMS);
        let mut scheduler = NoticeScheduler::default();
        due_counts(&mut scheduler, &table, remote_peers, 0);
        let mut regions = vec![Region::new("north"); 2];
        regions.resize(2 + remote_peers, Region::new("south"));
        let mut notified = vec![0_u32; remote_peers];
        for now_ms in (20..=20_000).step_by(20) {
            record_online_start(&mut table, "u1", "north-a");
            for index in scheduler.due_peers(&table, &regions, now_ms) {
                if index >= 2 {
                    notified[index - 2] += 1;
                }
            }
        }
        let total: u32 = notified.iter().sum();
        assert!((2_900..=3_010).contains(&total), "{remote_peers}: {total}");
        let least = notified.iter().min().unwrap();
        assert!(
            notified.iter().max().unwrap() - least <= 1,
            "{remote_peers}"
        );
    }
}

/// The peers of other regions take a limited share of the notices, so that those of the
/// own region are notified more than three times a second in a fleet of 295 instances.
#[test]
fn due_peers_of_other_regions_do_not_delay_own_region() {
    let mut table = upstream_table("me", &UPSTREAMS);
    let mut scheduler = NoticeScheduler::default();
    let mut regions = vec![Region::new("north"); 98];
    regions.resize(294, Region::new("south"));
    let mut now_ms = 0;
    let mut notices = 0;
    while now_ms < 10_000 {
        record_online_start(&mut table, "u1", "north-a");
        let due = scheduler.due_peers(&table, &regions, now_ms);
        now_ms += notice_pause_ms(due.len());
        notices += 1;
    }
    assert!(notices > 30, "{notices} notices in 10 s");
}
