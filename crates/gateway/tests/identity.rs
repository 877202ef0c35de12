//! Upstreams that refuse requests as ones for another server.

mod support;

use gateway::{Occupant, Placement, Target, UpstreamTable};
use model::UpstreamId;
use support::{place, target_of, upstream_table};

/// Time for which an answer proves that an upstream is at its address, ms.
const PROOF_VALID_MS: u64 = 1_000;
const DOUBT_MAX_MS: u64 = 32_000;

fn two_upstreams() -> (UpstreamTable, Target) {
    let table = upstream_table("n0", &[("a", "north-a"), ("b", "north-a")]);
    let a = table.target(&UpstreamId::new("a"), 1).unwrap();
    (table, a)
}

fn is_used(table: &mut UpstreamTable, id: &str, now_ms: u64) -> bool {
    (0..40).any(|_| target_of(&place(table, now_ms)).upstream.as_str() == id)
}

#[test]
fn refusal_says_nothing_of_an_upstream_that_has_just_answered() {
    let (mut table, a) = two_upstreams();
    table.record_identity(&a, 100);
    assert!(!table.record_misdirected(&a, false, 200));
    assert!(!table.is_doubted(&a, 200));
    assert!(is_used(&mut table, "a", 200));
}

#[test]
fn refusal_that_may_be_due_to_the_request_leads_to_a_check_only() {
    let (mut table, a) = two_upstreams();
    assert!(table.record_misdirected(&a, true, 200));
    assert!(!table.record_misdirected(&a, true, 210));
    assert!(is_used(&mut table, "a", 210));
}

#[test]
fn doubted_upstream_is_avoided_until_it_answers() {
    let (mut table, a) = two_upstreams();
    assert!(table.record_misdirected(&a, false, 200));
    assert!(!is_used(&mut table, "a", 210));
    table.record_occupant(&a, Occupant::Upstream, 200, 220);
    assert!(is_used(&mut table, "a", 220));
}

#[test]
fn doubted_upstreams_are_used_if_there_are_no_others() {
    let (mut table, a) = two_upstreams();
    let b = table.target(&UpstreamId::new("b"), 1).unwrap();
    table.record_misdirected(&a, false, 200);
    table.record_misdirected(&b, false, 200);
    // More than one at a time: the reason may lie in the requests of one caller.
    for _ in 0..4 {
        let Placement::Send { target, .. } = place(&mut table, 210) else {
            panic!("refused");
        };
        table.record_start(&target, gateway::WorkKind::Online, 210);
    }
}

#[test]
fn doubts_last_longer_each_time() {
    let (mut table, a) = two_upstreams();
    let mut now_ms = 0;
    let mut lasted = Vec::new();
    for _ in 0..8 {
        let since_ms = now_ms;
        table.record_misdirected(&a, false, now_ms);
        while table.is_doubted(&a, now_ms) {
            now_ms += 100;
        }
        lasted.push(now_ms - since_ms);
    }
    assert_eq!(lasted[..4], [500, 1_000, 2_000, 4_000]);
    assert_eq!(lasted[7], DOUBT_MAX_MS);
}

#[test]
fn address_with_another_server_is_used_again_after_a_registration() {
    let (mut table, a) = two_upstreams();
    table.record_misdirected(&a, false, 200);
    table.record_occupant(&a, Occupant::Other, 200, 220);
    assert!(!is_used(&mut table, "a", 200 + 10 * DOUBT_MAX_MS));
    let mut registration = support::entry("a", "north-a");
    registration.started_unix_ms = 2;
    table.upsert(registration, 300);
    assert!(is_used(&mut table, "a", 310));
}

#[test]
fn answer_of_the_upstream_outweighs_an_earlier_question() {
    let (mut table, a) = two_upstreams();
    table.record_misdirected(&a, false, 200);
    table.record_identity(&a, 210);
    table.record_occupant(&a, Occupant::Other, 200, 220);
    assert!(is_used(&mut table, "a", 220));
    table.record_occupant(&a, Occupant::Unknown, 220, 220 + PROOF_VALID_MS);
    assert!(is_used(&mut table, "a", 220 + PROOF_VALID_MS));
}
