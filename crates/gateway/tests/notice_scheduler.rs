//! Which regions are due for a notice after load changes and after time passes.

mod support;

use gateway::{NoticeScheduler, RegionPeers, Target, UpstreamTable, WorkKind};
use model::{Region, UpstreamId};
use support::{entry, service, upstream_table};

const UPSTREAMS: [(&str, &str); 2] = [("u1", "north-a"), ("u2", "south-a")];

fn record_online_start(table: &mut UpstreamTable, upstream: &str, domain: &str) {
    let entry = entry(upstream, domain);
    let target = Target {
        upstream: UpstreamId::new(upstream),
        service: service(),
        address: entry.address,
        started_unix_ms: entry.started_unix_ms,
    };
    table.record_start(&target, WorkKind::Online, 0);
}

fn due_with_40_remote_peers(
    scheduler: &mut NoticeScheduler,
    table: &UpstreamTable,
    now_ms: u64,
) -> Vec<String> {
    due_with_remote_peers(scheduler, table, 40, now_ms)
}

/// Returns the regions that are due if the other region has `remote_peers`
/// peers.
fn due_with_remote_peers(
    scheduler: &mut NoticeScheduler,
    table: &UpstreamTable,
    remote_peers: u64,
    now_ms: u64,
) -> Vec<String> {
    let regions = [("north", 2), ("south", remote_peers)].map(|(name, count)| RegionPeers {
        region: Region::new(name),
        count,
    });
    let due = scheduler.due_regions(table, &regions, now_ms);
    due.iter()
        .map(|region| region.as_str().to_owned())
        .collect()
}

#[test]
fn due_regions_by_region_of_load_change() {
    let mut table = upstream_table("me", &UPSTREAMS);
    let mut scheduler = NoticeScheduler::default();
    assert_eq!(
        due_with_40_remote_peers(&mut scheduler, &table, 0),
        ["north", "south"],
        "first notices"
    );
    record_online_start(&mut table, "u1", "north-a");
    assert_eq!(
        due_with_40_remote_peers(&mut scheduler, &table, 20),
        ["north"],
        "load in the own region"
    );
    record_online_start(&mut table, "u2", "south-a");
    assert_eq!(
        due_with_40_remote_peers(&mut scheduler, &table, 40),
        ["north", "south"],
        "load in the other region"
    );
    assert_eq!(
        due_with_40_remote_peers(&mut scheduler, &table, 60),
        ["north"],
        "already notified"
    );
}

/// The more peers there are in other regions, the less often each of them is
/// notified.
#[test]
fn due_regions_remote_interval_grows_with_peer_count() {
    for (remote_peers, expected_ms) in [
        (3, &[20, 40, 60, 80, 100, 120][..6]),
        (30, &[200, 400, 600, 800, 1_000, 1_200][..]),
        (3_600, &[500, 1_000, 1_500, 2_000, 2_500, 3_000][..]),
    ] {
        let mut table = upstream_table("me", &UPSTREAMS);
        let mut scheduler = NoticeScheduler::default();
        due_with_remote_peers(&mut scheduler, &table, remote_peers, 0);
        let mut notified_ms = Vec::new();
        for now_ms in (20..=3_000).step_by(20) {
            record_online_start(&mut table, "u1", "north-a");
            let due = due_with_remote_peers(&mut scheduler, &table, remote_peers, now_ms);
            if due.contains(&"south".to_owned()) {
                notified_ms.push(now_ms);
            }
        }
        assert_eq!(
            notified_ms[..6],
            *expected_ms,
            "{remote_peers} remote peers"
        );
    }
}
