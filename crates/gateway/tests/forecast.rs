//! Remaining run times and urgency of batch items.

use gateway::{RunForecast, Urgency};

#[test]
fn remaining_ms_before_first_measurement() {
    assert_eq!(RunForecast::default().remaining_ms(400, 0), 0);
}

#[test]
fn remaining_ms_from_measured_rates() {
    let mut forecast = RunForecast::default();
    forecast.record_run(5_000, 250);
    forecast.record_completed_item(500, 250);
    assert_eq!(forecast.remaining_ms(500, 0), 5_000);
    assert_eq!(forecast.remaining_ms(500, 200), 1_000);
    assert_eq!(forecast.remaining_ms(500, 400), 0);
}

/// Under overload, an item that is late in any case must not make other items
/// late.
#[test]
fn urgency_late_items_sort_last() {
    let now_ms = 100_000;
    let late = Urgency::new(102_000, 4_000, now_ms);
    let in_time = Urgency::new(110_000, 4_000, now_ms);
    let due_later = Urgency::new(118_000, 4_000, now_ms);
    assert!(in_time < due_later);
    assert!(due_later < late);
    assert!(!late.lacks_slack);
}

#[test]
fn urgency_lacks_slack_shortly_before_due_time() {
    assert!(Urgency::new(104_500, 4_000, 100_000).lacks_slack);
    assert!(!Urgency::new(106_000, 4_000, 100_000).lacks_slack);
}

/// Guards against slots that are taken, under overload, by items which are given up before they
/// can be complete, so that nothing is done any more.
#[test]
fn urgency_items_that_will_be_given_up_sort_last() {
    let now_ms = 100_000;
    let late = |give_up_at_ms: u64, remaining_ms: u64| {
        Urgency::new(give_up_at_ms - 40_000, remaining_ms, now_ms).with_give_up_at(
            give_up_at_ms,
            remaining_ms,
            now_ms,
        )
    };
    let no_time = late(102_000, 4_000);
    let hardly_enough_time = late(105_000, 4_000);
    let enough_time = late(107_000, 4_000);
    let more_time = late(120_000, 4_000);
    let nearly_complete = late(102_000, 1_000);
    assert!(nearly_complete < enough_time);
    assert!(enough_time < more_time);
    assert!(more_time < hardly_enough_time);
    assert!(hardly_enough_time < no_time);
    let deferred = more_time.deferred_behind(10_000);
    assert!(deferred < hardly_enough_time);
}

/// An item that is not late keeps its place, however little time it has.
#[test]
fn urgency_before_due_time_ignores_give_up_time() {
    let urgency = Urgency::new(104_500, 4_000, 100_000);
    assert_eq!(urgency.with_give_up_at(104_500, 4_000, 100_000), urgency);
}

/// One customer has 400 items due before its last job. The job of another customer that is due
/// later, but has nothing in front of it, goes first; both stay before what is late anyway.
#[test]
fn urgency_defers_the_long_queue_of_one_customer() {
    let now_ms = 100_000;
    let many_ahead = Urgency::new(118_000, 4_000, now_ms).deferred_behind(400);
    let none_ahead = Urgency::new(119_000, 4_000, now_ms).deferred_behind(0);
    let late = Urgency::new(102_000, 4_000, now_ms);
    assert!(none_ahead < many_ahead);
    assert!(many_ahead < late);
    assert_eq!(none_ahead, Urgency::new(119_000, 4_000, now_ms));
}
