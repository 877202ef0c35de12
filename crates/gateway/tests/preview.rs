//! Previews of placements: they decide as placements do, and change nothing.

mod support;

use gateway::{
    BatchDemand, Exclusion, Placement, PlacementRequest, UpstreamState, Urgency, WorkKind,
    service_hash,
};
use model::ServiceName;
use support::{GOAL_MS, SLOTS, entry, notice, place, service, target_of, upstream_table};

const UPSTREAMS: [(&str, &str); 4] = [
    ("u1", "north-a"),
    ("u2", "north-a"),
    ("u3", "north-b"),
    ("u4", "south-a"),
];

fn request(service: &ServiceName) -> PlacementRequest<'_> {
    PlacementRequest {
        service,
        prompt_parts: &[],
        tried: &[],
        goal_ms: GOAL_MS,
        waited_ms: 0,
        version: None,
        weights: None,
        may_refuse: true,
    }
}

/// As upstreams fill, fail and become full, a preview tells what the next placement does.
#[test]
fn preview_decides_as_place_and_changes_nothing() {
    let service = service();
    let request = request(&service);
    let mut table = upstream_table("me", &UPSTREAMS);
    table.receive_notice(notice("peer", 1, &[("u1", 3, 2)]), 0);
    let mut refused = 0;
    for now_ms in 0..u64::from(SLOTS) * 8 {
        let before = format!("{table:?}");
        let preview = table.preview(&request, now_ms);
        assert_eq!(format!("{table:?}"), before);
        let placement = table.place(&request, now_ms);
        assert_eq!(preview.placement, placement);
        match placement {
            Placement::Send { target, .. } => {
                table.record_start(&target, WorkKind::Online, now_ms);
                if now_ms % 9 == 0 {
                    table.record_failure(&target, now_ms);
                }
            }
            Placement::Refuse { .. } => refused += 1,
        }
    }
    assert!(refused > 0);
}

#[test]
fn preview_tells_why_upstreams_are_left_out() {
    let service = service();
    let mut table = upstream_table("me", &UPSTREAMS);
    let full = target_of(&place(&mut table, 0)).clone();
    table.record_full(&full, 100);
    let mut draining = entry("u4", "south-a");
    draining.state = UpstreamState::Draining;
    table.upsert(draining, 0);
    let preview = table.preview(&request(&service), 10);
    let exclusion = |id: &str| {
        let mut upstreams = preview.upstreams.iter();
        let upstream = upstreams.find(|upstream| upstream.upstream.as_str() == id);
        upstream.unwrap().weighing.err()
    };
    assert_eq!(
        exclusion(full.upstream.as_str()),
        Some(Exclusion::Suspended)
    );
    assert_eq!(exclusion("u4"), Some(Exclusion::Leaving));
    assert_eq!(preview.upstreams.len(), UPSTREAMS.len());
    // The upstream that would be chosen is among those that were weighed.
    let chosen = target_of(&preview.placement).upstream.clone();
    assert_eq!(exclusion(chosen.as_str()), None);
}

/// An item starts after those that are more urgent, and waits if no slot is left for it.
#[test]
fn preview_item_starts_in_free_slot_and_changes_nothing() {
    let mut table = upstream_table("me", &UPSTREAMS[..1]);
    let urgency = Urgency::new(10_000, 0, 0);
    let before = format!("{table:?}");
    let target = table.preview_item(&service(), urgency, 0).unwrap();
    assert_eq!(target.upstream.as_str(), "u1");
    assert_eq!(format!("{table:?}"), before);
    let waiting = |key, item_count| BatchDemand {
        service: service_hash(&service()),
        key,
        item_count,
    };
    table.set_batch_queue(vec![waiting(20_000, SLOTS)]);
    assert!(table.preview_item(&service(), urgency, 0).is_some());
    table.set_batch_queue(vec![waiting(5_000, SLOTS)]);
    assert_eq!(table.preview_item(&service(), urgency, 0), None);
    table.set_batch_queue(Vec::new());
    for _ in 0..SLOTS {
        table.record_start(&target, WorkKind::Batch, 0);
    }
    assert_eq!(table.preview_item(&service(), urgency, 0), None);
}
