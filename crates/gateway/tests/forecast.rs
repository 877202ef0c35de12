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
