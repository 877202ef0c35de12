//! Where calls that need the store go while the store turns instances away.

mod support;

use gateway::{LoadNotice, StoreReachability};
use model::Region;
use support::{notice, upstream_table};

/// What an instance does whose peers say these ages of the store's last answer.
fn reach(ages_ms: &[Option<u64>], has_peers: bool) -> StoreReachability {
    let notices = ages_ms
        .iter()
        .enumerate()
        .map(|(index, age_ms)| LoadNotice {
            store_age_ms: *age_ms,
            ..notice(&format!("peer{index}"), 1, &[])
        });
    reach_with(notices, has_peers)
}

fn reach_with(notices: impl IntoIterator<Item = LoadNotice>, has_peers: bool) -> StoreReachability {
    let mut table = upstream_table("me", &[("u1", "north-a")]);
    for notice in notices {
        table.receive_notice(notice, 0);
    }
    table.store_reachability(has_peers)
}

fn names(reach: &StoreReachability) -> Vec<&str> {
    match reach {
        StoreReachability::ViaPeers(peers) => peers.iter().map(model::InstanceId::as_str).collect(),
        StoreReachability::Unreachable | StoreReachability::Isolated => Vec::new(),
    }
}

#[test]
fn store_reach_by_what_peers_say() {
    assert_eq!(
        names(&reach(&[None, Some(100)], true)),
        ["peer1"],
        "one peer reaches it"
    );
    for (ages_ms, has_peers, expected, case) in [
        (
            &[None, Some(9_000)][..],
            true,
            StoreReachability::Unreachable,
            "away for all",
        ),
        (
            &[None, None][..],
            true,
            StoreReachability::Unreachable,
            "all have just lost it",
        ),
        (
            &[][..],
            true,
            StoreReachability::Isolated,
            "cut off from all",
        ),
        (
            &[][..],
            false,
            StoreReachability::Unreachable,
            "no other instance",
        ),
    ] {
        assert_eq!(reach(ages_ms, has_peers), expected, "{case}");
    }
}

/// A third of the instances is turned away: their calls stay in their region
/// where they can, and spread over the peers there.
#[test]
fn store_reach_prefers_the_own_region_and_spreads() {
    let mut chosen = Vec::new();
    for seed in 0..40 {
        let notices = (0..6).map(|index| {
            let mut notice = notice(&format!("peer{index}"), 1, &[]);
            notice.store_age_ms = Some(10);
            notice.region = Region::new(if index < 2 { "south" } else { "north" });
            notice
        });
        let mut table = gateway::UpstreamTable::new(support::locality("me"), seed);
        for notice in notices {
            table.receive_notice(notice, 0);
        }
        let reach = table.store_reachability(true);
        let names = names(&reach);
        assert_eq!(names.len(), 2, "{names:?}");
        chosen.push(names[0].to_owned());
        assert!(!["peer0", "peer1"].contains(&names[0]), "{names:?}");
    }
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 4, "{chosen:?}");
}
