//! Slots of batch items, worked out by each instance alone.

mod support;

use gateway::{
    BatchDemand, BatchRun, LoadNotice, Placement, Preemption, UpstreamTable, Urgency, WorkKind,
    service_hash,
};
use model::{InstanceId, UpstreamId};
use support::{SLOTS, notice, place, service, target_of, upstream_table};

const UPSTREAMS: [(&str, &str); 3] = [("u1", "north-a"), ("u2", "north-b"), ("u3", "south-a")];
const DUE_MS: u64 = 1_000_000;

fn demand(key: u64, item_count: u32) -> BatchDemand {
    BatchDemand {
        service: service_hash(&service()),
        key,
        item_count,
    }
}

/// Starts what the plan gives this instance; returns the number of items.
fn start_plan(table: &mut UpstreamTable) -> usize {
    let plan = table.batch_plan(&service(), 0);
    for target in &plan {
        table.record_start(target, WorkKind::Batch, 0);
    }
    plan.len()
}

fn waiting(instance: &str, key: u64, count: u32) -> LoadNotice {
    let mut notice = notice(instance, 1, &[]);
    notice.batch_queue = vec![demand(key, count)];
    notice
}

fn runs(upstream: &str, count: usize, lacks_slack: bool) -> Vec<BatchRun> {
    let run = BatchRun {
        upstream: UpstreamId::new(upstream),
        // As the notices of the tests say.
        urgency: Urgency {
            key: 1,
            lacks_slack,
        },
    };
    vec![run; count]
}

#[test]
fn batch_plan_alone_takes_every_place_while_nothing_is_online() {
    let mut table = upstream_table("me", &UPSTREAMS);
    table.set_batch_queue(vec![demand(DUE_MS, 100)]);
    assert_eq!(start_plan(&mut table), (SLOTS * 3) as usize);
    assert!(table.batch_plan(&service(), 0).is_empty());
}

#[test]
fn batch_plan_starts_no_more_than_waits() {
    let mut table = upstream_table("me", &UPSTREAMS);
    table.set_batch_queue(vec![demand(DUE_MS, 5)]);
    assert_eq!(start_plan(&mut table), 5);
}

#[test]
fn batch_plan_leaves_a_reserve_while_online_requests_come() {
    let mut table = upstream_table("me", &UPSTREAMS);
    table.receive_notice(notice("peer", 1, &[("u1", 2, 0)]), 0);
    table.set_batch_queue(vec![demand(DUE_MS, 100)]);
    assert_eq!(start_plan(&mut table), (3 * (SLOTS - 1) - 2) as usize);
}

/// Idle capacity appears at once for all: together the instances fill it, and
/// do not start more than there are places.
#[test]
fn batch_plan_many_instances_fill_the_places_once() {
    let names = ["a", "b", "c", "d", "e"];
    let mut total = 0;
    for me in names {
        let mut table = upstream_table(me, &UPSTREAMS);
        for peer in names.iter().filter(|peer| **peer != me) {
            table.receive_notice(waiting(peer, DUE_MS, 10), 0);
        }
        table.set_batch_queue(vec![demand(DUE_MS, 10)]);
        total += start_plan(&mut table);
    }
    assert_eq!(total, (SLOTS * 3) as usize);
}

#[test]
fn batch_plan_most_urgent_items_of_all_instances_first() {
    let plan = |me: &str, own: u64, peer: &str, of_peer: u64| {
        let mut table = upstream_table(me, &UPSTREAMS[..1]);
        table.receive_notice(waiting(peer, of_peer, 6), 0);
        table.set_batch_queue(vec![demand(own, 6)]);
        start_plan(&mut table)
    };
    assert_eq!(plan("a", 2, "b", 1), 2);
    assert_eq!(plan("b", 1, "a", 2), 6);
}

#[test]
fn batch_plan_ignores_what_waits_for_other_services() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    let mut other = waiting("peer", 1, 10);
    other.batch_queue[0].service += 1;
    table.receive_notice(other, 0);
    table.set_batch_queue(vec![demand(2, 10)]);
    assert_eq!(start_plan(&mut table), SLOTS as usize);
}

#[test]
fn yields_only_when_online_requests_wait() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    table.set_batch_queue(vec![demand(DUE_MS, 100)]);
    start_plan(&mut table);
    table.set_batch_runs(&runs("u1", SLOTS as usize, false));
    assert!(table.preemptions().is_empty(), "nothing online");
    table.receive_notice(notice("peer", 1, &[("u1", 2, 0)]), 0);
    let preemptions: Vec<_> = table
        .preemptions()
        .into_iter()
        .map(|(_, count)| count)
        .collect();
    assert_eq!(preemptions, [2]);
}

#[test]
fn yields_of_tight_items_are_none() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    table.set_batch_queue(vec![demand(DUE_MS, 100)]);
    start_plan(&mut table);
    table.set_batch_runs(&runs("u1", SLOTS as usize, true));
    table.receive_notice(notice("peer", 1, &[("u1", 2, 0)]), 0);
    assert!(table.preemptions().is_empty());
}

/// Two owners see the same overload; only as many items as needed are preempted.
#[test]
fn yields_of_two_owners_add_up_to_the_need() {
    let yields_of = |me: &str, own: u32, peer: &str, peers: u16| {
        let mut table = upstream_table(me, &UPSTREAMS[..1]);
        table.set_batch_queue(vec![demand(DUE_MS, own)]);
        start_plan(&mut table);
        table.set_batch_runs(&runs("u1", own as usize, false));
        table.receive_notice(notice(peer, 1, &[("u1", 0, peers)]), 0);
        table.receive_notice(notice("online", 1, &[("u1", 4, 0)]), 0);
        table
            .preemptions()
            .iter()
            .map(|(_, count)| count)
            .sum::<u32>()
    };
    assert_eq!(yields_of("a", 5, "b", 2) + yields_of("b", 2, "a", 5), 3);
    assert_eq!(yields_of("a", 3, "b", 3) + yields_of("b", 3, "a", 3), 2);
}

/// A burst meets upstreams whose slots items have filled. The item that gives
/// up its slot is one of the instance's own if it has any there; else the
/// owners of the least urgent ones hear of it.
#[test]
fn place_names_whose_items_give_up_a_slot() {
    for (own, of_peer, expected) in [
        (SLOTS, 0, Preemption::Own),
        (1, SLOTS - 1, Preemption::Own),
        (0, SLOTS, Preemption::Peers(vec![InstanceId::new("peer")])),
        (0, SLOTS - 1, Preemption::Nothing),
    ] {
        let mut table = upstream_table("me", &UPSTREAMS[..1]);
        if own > 0 {
            table.set_batch_queue(vec![demand(DUE_MS, own)]);
            start_plan(&mut table);
            table.set_batch_runs(&runs("u1", own as usize, false));
        }
        let batch = u16::try_from(of_peer).unwrap();
        table.receive_notice(notice("peer", 1, &[("u1", 0, batch)]), 0);
        let placement = place(&mut table, 0);
        let Placement::Send { preemption, .. } = placement else {
            panic!("{placement:?}");
        };
        assert_eq!(preemption, expected, "{own} own items, {of_peer} of a peer");
    }
}

/// An own item can be preempted without a message, so a full upstream with one
/// is better than a full one with items of peers.
#[test]
fn place_prefers_full_upstreams_with_own_items() {
    let mut table = upstream_table("me", &[("u1", "north-a"), ("u2", "north-a")]);
    let full = u16::try_from(SLOTS).unwrap();
    table.receive_notice(
        notice("peer", 1, &[("u1", 0, full), ("u2", 0, full - 1)]),
        0,
    );
    table.set_batch_queue(vec![demand(DUE_MS, 1)]);
    assert_eq!(start_plan(&mut table), 1);
    table.set_batch_runs(&runs("u2", 1, false));
    for _ in 0..20 {
        table.set_batch_runs(&runs("u2", 1, false));
        assert_eq!(target_of(&place(&mut table, 0)).upstream.as_str(), "u2");
    }
}

/// The larger the fleet, the later a region hears of what another one sends to
/// its own upstreams, and the more slots its items leave free there.
#[test]
fn batch_plan_leaves_slots_in_other_regions_by_the_age_of_news() {
    for (peers, expected) in [(3, SLOTS - 1 - 4), (60, SLOTS - 1 - 4 - 2)] {
        let mut table = upstream_table("me", &[("u1", "south-a")]);
        let target = target_of(&place(&mut table, 0)).clone();
        table.record_completion(&target, WorkKind::Online, 800);
        for peer in 0..peers {
            let loads = if peer == 0 { &[("u1", 4, 0)][..] } else { &[] };
            let mut notice = notice(&format!("peer{peer}"), 1, loads);
            notice.region = model::Region::new("south");
            table.receive_notice(notice, 0);
        }
        table.set_batch_queue(vec![demand(DUE_MS, 100)]);
        assert_eq!(start_plan(&mut table), expected as usize, "{peers} peers");
    }
}
