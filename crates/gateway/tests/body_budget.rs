//! How the memory for bodies is divided among them.

use gateway::{BodyBudget, BodyId, Room};
use proptest::prelude::*;

const KIB: u64 = 1_024;
const MIB: u64 = 1_024 * KIB;
const BUDGET_BYTES: u64 = 8 * MIB;

/// Adds a body of this size, which gets its room at once.
fn add(budget: &mut BodyBudget, size_bytes: u64, now_ms: u64) -> BodyId {
    let id = budget.begin(now_ms);
    assert_eq!(budget.reserve(id, size_bytes, now_ms), Room::Granted);
    id
}

#[test]
fn reserve_evicts_the_body_that_stopped_long_ago() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let stopped = add(&mut budget, 2 * MIB, 0);
    let fast = add(&mut budget, 3 * MIB, 9_000);
    let new = budget.begin(9_100);
    assert_eq!(
        budget.reserve(new, 2 * MIB, 9_100),
        Room::AfterEviction(vec![stopped])
    );
    // It is evicted once.
    assert_eq!(
        budget.reserve(new, 2 * MIB, 9_100),
        Room::AfterEviction(vec![])
    );
    assert!(!budget.complete(stopped));
    budget.end(stopped);
    assert_eq!(budget.reserve(new, 2 * MIB, 9_100), Room::Granted);
    assert!(budget.complete(fast));
}

#[test]
fn reserve_takes_no_room_from_a_body_whose_request_may_have_run() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let running = add(&mut budget, 5 * MIB, 0);
    assert!(budget.complete(running));
    let new = budget.begin(9_000);
    assert_eq!(budget.reserve(new, 2 * MIB, 9_000), Room::Refused);
    budget.end(running);
    assert_eq!(budget.reserve(new, 2 * MIB, 9_000), Room::Granted);
}

#[test]
fn reserve_refuses_the_body_that_has_occupied_the_most_itself() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let slow = add(&mut budget, 2 * MIB, 0);
    let fast = add(&mut budget, 3 * MIB, 9_000);
    assert_eq!(budget.reserve(slow, 4 * MIB, 9_001), Room::Refused);
    assert!(budget.complete(fast));
}

/// A large body that goes on for long had to make room for small ones that had stopped.
#[test]
fn reserve_evicts_no_large_body_that_goes_on_beside_small_ones_that_stopped() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let upload = add(&mut budget, 4 * MIB, 0);
    let mut stopped = Vec::new();
    for now_ms in 1_000..1_060 {
        budget.record_progress(upload, now_ms);
        stopped.push(add(&mut budget, 60 * KIB, now_ms));
    }
    budget.record_progress(upload, 3_000);
    let new = budget.begin(3_001);
    let Room::AfterEviction(evicted) = budget.reserve(new, 64 * KIB, 3_001) else {
        panic!("the new body needs room");
    };
    assert!(evicted.iter().all(|id| stopped.contains(id)));
}

#[test]
fn reserve_keeps_room_for_small_bodies() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    for _ in 0..100 {
        let id = budget.begin(0);
        if budget.reserve(id, MIB, 0) == Room::Granted {
            assert!(budget.complete(id));
        } else {
            budget.end(id);
        }
    }
    for now_ms in 0..20 {
        add(&mut budget, 64 * KIB, now_ms);
    }
}

#[test]
fn reserve_grants_more_than_the_budget_to_a_single_body() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let id = budget.begin(0);
    assert_eq!(budget.reserve(id, 16 * MIB, 60_000), Room::Granted);
    assert!(budget.complete(id));
}

/// A body that needs nearly the whole budget was refused while any other was in use.
#[test]
fn reserve_grants_nearly_the_whole_budget_to_one_body_beside_small_ones() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    for _ in 0..10 {
        let small = add(&mut budget, 64 * KIB, 0);
        assert!(budget.complete(small));
    }
    let id = budget.begin(0);
    assert_eq!(budget.reserve(id, 7 * MIB, 60_000), Room::Granted);
    assert!(budget.complete(id));
}

/// What happens to a body.
#[derive(Debug, Clone)]
enum Event {
    Begin,
    Grow {
        body: prop::sample::Index,
        factor: u64,
    },
    Complete {
        body: prop::sample::Index,
    },
    End {
        body: prop::sample::Index,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        3 => Just(Event::Begin),
        6 => (index(), 1_u64..64).prop_map(|(body, factor)| Event::Grow { body, factor }),
        2 => index().prop_map(|body| Event::Complete { body }),
        2 => index().prop_map(|body| Event::End { body }),
    ]
}

proptest! {
    #[test]
    fn bodies_stay_within_the_budget(events in prop::collection::vec(event(), 1..200)) {
        let mut budget = BodyBudget::new(BUDGET_BYTES);
        let mut bodies: Vec<BodyId> = Vec::new();
        let mut complete: Vec<BodyId> = Vec::new();
        for (now_ms, event) in (0..).zip(events) {
            match event {
                Event::Begin => bodies.push(budget.begin(now_ms)),
                Event::Grow { body, factor } if !bodies.is_empty() => {
                    let id = *body.get(&bodies);
                    // Evicted bodies are dropped at once.
                    while let Room::AfterEviction(evicted) = budget.reserve(id, factor * 100 * KIB, now_ms) {
                        prop_assert!(!evicted.is_empty());
                        prop_assert!(evicted.iter().all(|id| !complete.contains(id)));
                        for id in evicted {
                            budget.end(id);
                            bodies.retain(|body| *body != id);
                        }
                    }
                }
                Event::Complete { body } if !bodies.is_empty() => {
                    let id = *body.get(&bodies);
                    prop_assert!(budget.complete(id));
                    complete.push(id);
                }
                Event::End { body } if !bodies.is_empty() => {
                    let id = *body.get(&bodies);
                    budget.end(id);
                    bodies.retain(|body| *body != id);
                }
                Event::Grow { .. } | Event::Complete { .. } | Event::End { .. } => {}
            }
            prop_assert!(budget.used_bytes() <= BUDGET_BYTES);
        }
        for id in bodies {
            budget.end(id);
        }
        prop_assert_eq!(budget.used_bytes(), 0);
    }
}
