//! Versions of the weights that requests require and upstreams have.

mod support;

use gateway::{Placement, PlacementRequest, RefusalReason, Target, UpstreamTable, WeightVersion};
use model::UpstreamId;
use support::{GOAL_MS, entry, place, service, target_of, upstream_table};

const OLD: WeightVersion = WeightVersion::new(1);
const NEW: WeightVersion = WeightVersion::new(2);
/// Time for which an upstream that lacks a version gets no requests that require it, ms.
const LACK_VALID_MS: u64 = 1_000;

fn place_requiring(table: &mut UpstreamTable, version: WeightVersion, now_ms: u64) -> Placement {
    let service = service();
    let request = PlacementRequest {
        service: &service,
        prompt_parts: &[],
        tried: &[],
        goal_ms: GOAL_MS,
        waited_ms: 0,
        version: None,
        weights: Some(version),
        may_refuse: true,
    };
    table.place(&request, now_ms)
}

fn sent_to(placement: &Placement) -> &str {
    target_of(placement).upstream.as_str()
}

fn target(table: &UpstreamTable, id: &str) -> Target {
    table.target(&UpstreamId::new(id), 1).unwrap()
}

fn two_upstreams() -> UpstreamTable {
    upstream_table("n0", &[("a", "north-a"), ("b", "north-a")])
}

#[test]
fn place_chooses_the_upstream_that_states_the_weights() {
    let mut table = two_upstreams();
    let (a, b) = (target(&table, "a"), target(&table, "b"));
    table.record_weights(&a, NEW, 0);
    table.record_weights(&b, OLD, 0);
    // However old the statement is.
    for now_ms in [0, 10 * LACK_VALID_MS] {
        for _ in 0..20 {
            assert_eq!(sent_to(&place_requiring(&mut table, OLD, now_ms)), "b");
            assert_eq!(sent_to(&place_requiring(&mut table, NEW, now_ms)), "a");
        }
    }
}

#[test]
fn place_refuses_weights_that_all_upstreams_lack() {
    let mut table = two_upstreams();
    for id in ["a", "b"] {
        let target = target(&table, id);
        table.record_weights_refusal(&target, OLD, 0);
    }
    let placement = place_requiring(&mut table, OLD, 10);
    let Placement::Refuse { reason, .. } = placement else {
        panic!("{placement:?}");
    };
    assert_eq!(reason, RefusalReason::WeightsGone);
    assert!(!table.may_have_weights(&service(), OLD, 10));
    // Other requests are served, and after a while it is tried whether the upstreams have
    // changed.
    assert!(matches!(place(&mut table, 10), Placement::Send { .. }));
    assert!(matches!(
        place_requiring(&mut table, NEW, 10),
        Placement::Send { .. }
    ));
    let later = place_requiring(&mut table, OLD, LACK_VALID_MS);
    assert!(matches!(later, Placement::Send { .. }));
}

#[test]
fn place_prefers_an_upstream_that_has_not_lacked_the_weights() {
    let mut table = two_upstreams();
    let a = target(&table, "a");
    table.record_weights_refusal(&a, OLD, 0);
    for _ in 0..20 {
        let placement = place_requiring(&mut table, OLD, 5 * LACK_VALID_MS);
        assert_eq!(sent_to(&placement), "b");
    }
}

#[test]
fn refusal_outweighs_an_earlier_statement_and_a_statement_an_earlier_refusal() {
    let mut table = two_upstreams();
    let (a, b) = (target(&table, "a"), target(&table, "b"));
    table.record_weights(&a, OLD, 0);
    table.record_weights_refusal(&a, OLD, 10);
    table.record_weights_refusal(&b, OLD, 0);
    table.record_weights(&b, OLD, 10);
    assert!(table.lacks_weights(&a, OLD, 20));
    assert!(!table.lacks_weights(&b, OLD, 20));
    assert_eq!(sent_to(&place_requiring(&mut table, OLD, 20)), "b");
}

#[test]
fn upsert_takes_weights_only_when_the_registration_changes_them() {
    let mut table = two_upstreams();
    let mut registration = entry("a", "north-a");
    registration.weights = Some(OLD);
    table.upsert(registration.clone(), 0);
    let a = target(&table, "a");
    assert_eq!(sent_to(&place_requiring(&mut table, OLD, 0)), "a");
    // The answers are newer than a registration that is repeated.
    table.record_weights(&a, NEW, 10);
    table.upsert(registration.clone(), 20);
    assert!(table.lacks_weights(&a, OLD, 20));
    registration.started_unix_ms = 2;
    table.upsert(registration, 30);
    let restarted = table.target(&UpstreamId::new("a"), 2).unwrap();
    assert!(!table.lacks_weights(&restarted, OLD, 30));
}

#[test]
fn batch_target_with_weights_tries_an_upstream_with_one_item() {
    let mut table = two_upstreams();
    let a = target(&table, "a");
    table.record_weights_refusal(&a, OLD, 0);
    let first = table.batch_target_with_weights(&service(), OLD, 0).unwrap();
    assert_eq!(first.upstream.as_str(), "b");
    table.record_item_with_weights(&first, 0);
    assert_eq!(table.batch_target_with_weights(&service(), OLD, 1), None);
    table.record_weights(&first, OLD, 2);
    for _ in 0..3 {
        let next = table.batch_target_with_weights(&service(), OLD, 2);
        assert_eq!(next.as_ref(), Some(&first));
        table.record_item_with_weights(&first, 2);
    }
}
