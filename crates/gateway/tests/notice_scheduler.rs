//! Who is told of load when: work at home, work elsewhere, and time.

mod support;

use gateway::{NoticeScheduler, RegionPeers, Target, UpstreamTable, WorkKind};
use model::{Region, UpstreamId};
use support::{entry, service, upstream_table};

const UPSTREAMS: [(&str, &str); 2] = [("u1", "north-a"), ("u2", "south-a")];

fn start(table: &mut UpstreamTable, upstream: &str, domain: &str) {
    let entry = entry(upstream, domain);
    let target = Target {
        upstream: UpstreamId::new(upstream),
        service: service(),
        address: entry.address,
        started_unix_ms: entry.started_unix_ms,
    };
    table.record_start(&target, WorkKind::Online, 0);
}

fn due(pace: &mut NoticeScheduler, table: &UpstreamTable, now_ms: u64) -> Vec<String> {
    due_with(pace, table, 40, now_ms)
}

/// Regions that are due while there are so many peers in the other one.
fn due_with(
    pace: &mut NoticeScheduler,
    table: &UpstreamTable,
    away: u64,
    now_ms: u64,
) -> Vec<String> {
    let regions = [("north", 2), ("south", away)].map(|(name, count)| RegionPeers {
        region: Region::new(name),
        count,
    });
    let due = pace.due_regions(table, &regions, now_ms);
    due.iter()
        .map(|region| region.as_str().to_owned())
        .collect()
}

#[test]
fn due_by_where_the_load_changed() {
    let mut table = upstream_table("me", &UPSTREAMS);
    let mut pace = NoticeScheduler::default();
    assert_eq!(due(&mut pace, &table, 0), ["north", "south"], "first");
    start(&mut table, "u1", "north-a");
    assert_eq!(due(&mut pace, &table, 20), ["north"], "load at home");
    start(&mut table, "u2", "south-a");
    assert_eq!(due(&mut pace, &table, 40), ["north", "south"], "load there");
    assert_eq!(due(&mut pace, &table, 60), ["north"], "told already");
}

/// The more peers there are elsewhere, the less often each is told.
#[test]
fn due_elsewhere_by_the_number_of_peers() {
    for (away, told_at_ms) in [
        (3, &[20, 40, 60, 80, 100, 120][..6]),
        (30, &[200, 400, 600, 800, 1_000, 1_200][..]),
        (3_600, &[500, 1_000, 1_500, 2_000, 2_500, 3_000][..]),
    ] {
        let mut table = upstream_table("me", &UPSTREAMS);
        let mut pace = NoticeScheduler::default();
        due_with(&mut pace, &table, away, 0);
        let mut told = Vec::new();
        for now_ms in (20..=3_000).step_by(20) {
            start(&mut table, "u1", "north-a");
            let due = due_with(&mut pace, &table, away, now_ms);
            if due.contains(&"south".to_owned()) {
                told.push(now_ms);
            }
        }
        assert_eq!(told[..6], *told_at_ms, "{away} peers elsewhere");
    }
}
