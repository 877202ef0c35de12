//! Places of batch items, worked out by each instance alone.

mod support;

use gateway::{BatchDemand, Fleet, WorkKind};
use support::{SLOTS, fleet, notice, service};

const UPSTREAMS: [(&str, &str); 3] = [("u1", "north-a"), ("u2", "north-b"), ("u3", "south-a")];

/// Starts items until there is no place; returns their number.
fn fill(fleet: &mut Fleet, now_ms: u64) -> u32 {
    let mut started = 0;
    while let Some(target) = fleet.batch_place(&service(), &[], now_ms) {
        fleet.started(&target, WorkKind::Batch, now_ms);
        started += 1;
        assert!(started <= SLOTS * 3, "more items than places");
    }
    started
}

fn waiting(instance: &str, loads: &[(&str, u16, u16)]) -> gateway::LoadNotice {
    let mut notice = notice(instance, 1, loads);
    notice.batch_waiting = 10;
    notice
}

#[test]
fn batch_place_alone_takes_every_place_while_nothing_is_online() {
    let mut fleet = fleet("me", &UPSTREAMS);
    assert_eq!(fill(&mut fleet, 0), SLOTS * 3);
}

#[test]
fn batch_place_leaves_a_reserve_while_online_requests_come() {
    let mut fleet = fleet("me", &UPSTREAMS);
    fleet.receive_notice(notice("peer", 1, &[("u1", 2, 0)]), 0);
    assert_eq!(fill(&mut fleet, 0), 3 * (SLOTS - 1) - 2);
}

/// Idle capacity appears at once for all: together the owners fill it, and do
/// not start more than there are places.
#[test]
fn batch_place_many_owners_at_once_share_what_is_free() {
    let names = ["a", "b", "c", "d", "e"];
    let mut total = 0;
    for me in names {
        let mut fleet = fleet(me, &UPSTREAMS);
        for peer in names.iter().filter(|peer| **peer != me) {
            fleet.receive_notice(waiting(peer, &[]), 0);
        }
        fleet.set_batch_demand(BatchDemand {
            waiting: 10,
            due_unix_ms: 1,
        });
        total += fill(&mut fleet, 0);
    }
    assert_eq!(total, SLOTS * 3);
}

#[test]
fn batch_place_owners_with_nothing_waiting_keep_what_they_run() {
    let mut fleet = fleet("me", &UPSTREAMS[..1]);
    fleet.receive_notice(notice("peer", 1, &[("u1", 0, 3)]), 0);
    assert_eq!(fill(&mut fleet, 0), SLOTS - 3);
}

#[test]
fn yields_only_when_online_requests_wait() {
    let mut fleet = fleet("me", &UPSTREAMS[..1]);
    assert_eq!(fill(&mut fleet, 0), SLOTS);
    assert!(fleet.yields().is_empty(), "nothing online");
    fleet.receive_notice(notice("peer", 1, &[("u1", 2, 0)]), 0);
    let yields: Vec<_> = fleet.yields().into_iter().map(|(_, count)| count).collect();
    assert_eq!(yields, [2]);
}

/// Two owners see the same overload; only as many items as needed make room.
#[test]
fn yields_of_two_owners_add_up_to_the_need() {
    let yields_of = |me: &str, own: u32, peer: &str, peers: u16| {
        let mut fleet = fleet(me, &UPSTREAMS[..1]);
        let target = fleet.batch_place(&service(), &[], 0).unwrap();
        for _ in 0..own {
            fleet.started(&target, WorkKind::Batch, 0);
        }
        fleet.receive_notice(notice(peer, 1, &[("u1", 0, peers)]), 0);
        fleet.receive_notice(notice("online", 1, &[("u1", 4, 0)]), 0);
        fleet.yields().iter().map(|(_, count)| count).sum::<u32>()
    };
    assert_eq!(yields_of("a", 5, "b", 2) + yields_of("b", 2, "a", 5), 3);
    assert_eq!(yields_of("a", 3, "b", 3) + yields_of("b", 3, "a", 3), 2);
}
