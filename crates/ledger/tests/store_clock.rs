//! The estimate of the store's clock.

use ledger::StoreClock;

#[test]
fn at_follows_answer_with_least_delay() {
    let mut clock = StoreClock::default();
    clock.record_answer(1_000_000, 500);
    assert_eq!(clock.at(700), 1_000_200);
    // This answer was under way for 300 ms.
    clock.record_answer(1_000_300, 1_100);
    assert_eq!(clock.at(1_100), 1_000_600);
}

/// The local clock does not count the time for which the machine is suspended.
#[test]
fn at_catches_up_after_suspension() {
    let mut clock = StoreClock::default();
    clock.record_answer(10_000, 1_000);
    clock.record_answer(15_100, 2_100);
    assert_eq!(clock.at(2_200), 15_200);
}

#[test]
fn at_before_first_answer_is_local_time() {
    assert_eq!(StoreClock::default().at(42), 42);
}

#[test]
fn at_with_clock_behind_local_one() {
    let mut clock = StoreClock::default();
    clock.record_answer(5, 1_000);
    assert_eq!(clock.at(1_010), 15);
    assert_eq!(clock.at(0), 0);
}
