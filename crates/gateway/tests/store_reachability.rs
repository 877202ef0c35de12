//! Which peers relay calls to the store while the store rejects some instances.

mod support;

use gateway::{LoadNotice, StoreReachability};
use model::Region;
use support::{notice, upstream_table};

/// Returns the reachability of the store for an instance whose peers report
/// these ages of the last answer from the store.
fn reachability(ages_ms: &[Option<u64>], has_peers: bool) -> StoreReachability {
    let notices = ages_ms
        .iter()
        .enumerate()
        .map(|(index, age_ms)| LoadNotice {
            store_age_ms: *age_ms,
            ..notice(&format!("peer{index}"), 1, &[])
        });
    reachability_from_notices(notices, has_peers)
}

fn reachability_from_notices(
    notices: impl IntoIterator<Item = LoadNotice>,
    has_peers: bool,
) -> StoreReachability {
    let mut table = upstream_table("me", &[("u1", "north-a")]);
    for notice in notices {
        table.receive_notice(notice, 0);
    }
    table.store_reachability(has_peers)
}

fn peer_names(reachability: &StoreReachability) -> Vec<&str> {
    match reachability {
        StoreReachability::ViaPeers(peers) => peers.iter().map(model::InstanceId::as_str).collect(),
        StoreReachability::Unreachable | StoreReachability::Isolated => Vec::new(),
    }
}

#[test]
fn store_reachability_by_peer_reports() {
    assert_eq!(
        peer_names(&reachability(&[None, Some(100)], true)),
        ["peer1"],
        "one peer reaches the store"
    );
    for (ages_ms, has_peers, expected, case) in [
        (
            &[None, Some(9_000)][..],
            true,
            StoreReachability::Unreachable,
            "no peer reaches the store",
        ),
        (
            &[None, None][..],
            true,
            StoreReachability::Unreachable,
            "the last call of every peer failed",
        ),
        (
            &[][..],
            true,
            StoreReachability::Isolated,
            "no peer sends notices",
        ),
        (
            &[][..],
            false,
            StoreReachability::Unreachable,
            "there are no other instances",
        ),
    ] {
        assert_eq!(reachability(ages_ms, has_peers), expected, "{case}");
    }
}

/// A third of the instances is rejected by the store. Their calls stay in their
/// region if possible and are spread over the peers there.
#[test]
fn store_reachability_prefers_own_region_and_shuffles_peers() {
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
        let reachability = table.store_reachability(true);
        let peer_names = peer_names(&reachability);
        assert_eq!(peer_names.len(), 2, "{peer_names:?}");
        chosen.push(peer_names[0].to_owned());
        assert!(
            !["peer0", "peer1"].contains(&peer_names[0]),
            "{peer_names:?}"
        );
    }
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 4, "{chosen:?}");
}
