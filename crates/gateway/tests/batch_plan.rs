//! The batch plan and preemptions, which each instance computes by itself.

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

/// Starts the items that the plan assigns to this instance, and returns their
/// number.
fn start_plan(table: &mut UpstreamTable) -> usize {
    let plan = table.batch_plan(&service(), 0);
    for target in &plan {
        table.record_start(target, WorkKind::Batch, 0);
    }
    plan.len()
}

fn notice_with_queue(instance: &str, key: u64, count: u32) -> LoadNotice {
    let mut notice = notice(instance, 1, &[]);
    notice.batch_queue = vec![demand(key, count)];
    notice
}

fn runs(upstream: &str, count: usize, lacks_slack: bool) -> Vec<BatchRun> {
    let run = BatchRun {
        upstream: UpstreamId::new(upstream),
        // The same urgency key as in the notices of the test support.
        urgency: Urgency {
            key: 1,
            lacks_slack,
        },
    };
    vec![run; count]
}

#[test]
fn batch_plan_without_online_requests_takes_all_slots() {
    let mut table = upstream_table("me", &UPSTREAMS);
    table.set_batch_queue(vec![demand(DUE_MS, 100)]);
    assert_eq!(start_plan(&mut table), (SLOTS * 3) as usize);
    assert!(table.batch_plan(&service(), 0).is_empty());
}

/// Guards against slots that a process leaves free in its first seconds for online requests that
/// nobody has sent: what it had measured of items counted as an online request at time 0.
#[test]
fn batch_plan_after_first_item_takes_all_slots() {
    let mut table = upstream_table("me", &UPSTREAMS);
    table.set_batch_queue(vec![demand(DUE_MS, 1)]);
    let target = table.batch_plan(&service(), 0).remove(0);
    table.record_start(&target, WorkKind::Batch, 0);
    table.record_completion(&target, WorkKind::Batch, 100);
    table.record_end(&target, WorkKind::Batch);
    table.set_batch_queue(vec![demand(DUE_MS, 100)]);
    assert_eq!(start_plan(&mut table), (SLOTS * 3) as usize);
}

#[test]
fn batch_plan_starts_only_waiting_items() {
    let mut table = upstream_table("me", &UPSTREAMS);
    table.set_batch_queue(vec![demand(DUE_MS, 5)]);
    assert_eq!(start_plan(&mut table), 5);
}

#[test]
fn batch_plan_with_online_requests_leaves_reserve() {
    let mut table = upstream_table("me", &UPSTREAMS);
    table.receive_notice(notice("peer", 1, &[("u1", 2, 0)]), 0);
    table.set_batch_queue(vec![demand(DUE_MS, 100)]);
    assert_eq!(start_plan(&mut table), (3 * (SLOTS - 1) - 2) as usize);
}

/// Several instances see idle capacity at the same time. Together they fill it
/// without starting more items than there are slots.
#[test]
fn batch_plan_of_several_instances_fills_each_slot_once() {
    let instances = ["a", "b", "c", "d", "e"];
    let mut started_items = 0;
    for instance in instances {
        let mut table = upstream_table(instance, &UPSTREAMS);
        for peer in instances.iter().filter(|peer| **peer != instance) {
            table.receive_notice(notice_with_queue(peer, DUE_MS, 10), 0);
        }
        table.set_batch_queue(vec![demand(DUE_MS, 10)]);
        started_items += start_plan(&mut table);
    }
    assert_eq!(started_items, (SLOTS * 3) as usize);
}

#[test]
fn batch_plan_prefers_most_urgent_items_of_all_instances() {
    let started_count = |instance: &str, own_key: u64, peer: &str, peer_key: u64| {
        let mut table = upstream_table(instance, &UPSTREAMS[..1]);
        table.receive_notice(notice_with_queue(peer, peer_key, 6), 0);
        table.set_batch_queue(vec![demand(own_key, 6)]);
        start_plan(&mut table)
    };
    assert_eq!(started_count("a", 2, "b", 1), 2);
    assert_eq!(started_count("b", 1, "a", 2), 6);
}

#[test]
fn batch_plan_ignores_other_services() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    let mut other = notice_with_queue("peer", 1, 10);
    other.batch_queue[0].service += 1;
    table.receive_notice(other, 0);
    table.set_batch_queue(vec![demand(2, 10)]);
    assert_eq!(start_plan(&mut table), SLOTS as usize);
}

#[test]
fn preemptions_only_if_online_requests_wait() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    table.set_batch_queue(vec![demand(DUE_MS, 100)]);
    start_plan(&mut table);
    table.set_batch_runs(&runs("u1", SLOTS as usize, false));
    assert!(table.preemptions().is_empty(), "no online requests");
    table.receive_notice(notice("peer", 1, &[("u1", 2, 0)]), 0);
    let preemptions: Vec<_> = table
        .preemptions()
        .into_iter()
        .map(|(_, count)| count)
        .collect();
    assert_eq!(preemptions, [2]);
}

#[test]
fn preemptions_exclude_items_without_slack() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    table.set_batch_queue(vec![demand(DUE_MS, 100)]);
    start_plan(&mut table);
    table.set_batch_runs(&runs("u1", SLOTS as usize, true));
    table.receive_notice(notice("peer", 1, &[("u1", 2, 0)]), 0);
    assert!(table.preemptions().is_empty());
}

/// Two owners see the same overload. Together they preempt only as many items
/// as needed.
#[test]
fn preemptions_of_two_owners_add_up_to_excess() {
    let preemption_count = |instance: &str, own_items: u32, peer: &str, peer_items: u16| {
        let mut table = upstream_table(instance, &UPSTREAMS[..1]);
        table.set_batch_queue(vec![demand(DUE_MS, own_items)]);
        start_plan(&mut table);
        table.set_batch_runs(&runs("u1", own_items as usize, false));
        table.receive_notice(notice(peer, 1, &[("u1", 0, peer_items)]), 0);
        table.receive_notice(notice("online", 1, &[("u1", 4, 0)]), 0);
        table
            .preemptions()
            .iter()
            .map(|(_, count)| count)
            .sum::<u32>()
    };
    assert_eq!(
        preemption_count("a", 5, "b", 2) + preemption_count("b", 2, "a", 5),
        3
    );
    assert_eq!(
        preemption_count("a", 3, "b", 3) + preemption_count("b", 3, "a", 3),
        2
    );
}

/// A burst of online requests reaches upstreams that are full of batch items.
/// If the instance that places a request has an item there, it preempts that
/// item. Otherwise the placement names the owners of the least urgent items.
#[test]
fn place_names_owners_of_items_to_preempt() {
    for (own_items, peer_items, expected) in [
        (SLOTS, 0, Preemption::Own),
        (1, SLOTS - 1, Preemption::Own),
        (0, SLOTS, Preemption::Peers(vec![InstanceId::new("peer")])),
        (0, SLOTS - 1, Preemption::Nothing),
    ] {
        let mut table = upstream_table("me", &UPSTREAMS[..1]);
        if own_items > 0 {
            table.set_batch_queue(vec![demand(DUE_MS, own_items)]);
            start_plan(&mut table);
            table.set_batch_runs(&runs("u1", own_items as usize, false));
        }
        let batch = u16::try_from(peer_items).unwrap();
        table.receive_notice(notice("peer", 1, &[("u1", 0, batch)]), 0);
        let placement = place(&mut table, 0);
        let Placement::Send { preemption, .. } = placement else {
            panic!("{placement:?}");
        };
        assert_eq!(
            preemption, expected,
            "{own_items} own items, {peer_items} of a peer"
        );
    }
}

/// An item of the placing instance can be preempted without a notice. A full
/// upstream with such an item is therefore better than one with items of peers
/// only.
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

/// The more instances there are, the later an instance is notified of the online
/// requests at the upstreams of another region, and the more slots its batch
/// items leave free at these upstreams.
#[test]
fn batch_plan_remote_reserve_grows_with_notice_age() {
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
