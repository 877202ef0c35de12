//! Which batch items can still be in time.

use gateway::{RunForecast, Urgency};

#[test]
fn remaining_ms_before_anything_was_measured() {
    assert_eq!(RunForecast::default().remaining_ms(400, 0), 0);
}

#[test]
fn remaining_ms_from_measured_pace() {
    let mut forecast = RunForecast::default();
    forecast.record_run(5_000, 250);
    forecast.record_completed_item(500, 250);
    assert_eq!(forecast.remaining_ms(500, 0), 5_000);
    assert_eq!(forecast.remaining_ms(500, 200), 1_000);
    assert_eq!(forecast.remaining_ms(500, 400), 0);
}

/// In overload, one item that is late anyway must not make others late.
#[test]
fn urgency_late_items_go_last() {
    let now_ms = 100_000;
    let late = Urgency::new(102_000, 4_000, now_ms);
    let in_time = Urgency::new(110_000, 4_000, now_ms);
    let later = Urgency::new(118_000, 4_000, now_ms);
    assert!(in_time < later);
    assert!(later < late);
    assert!(!late.lacks_slack);
}

#[test]
fn urgency_tight_items_have_no_time_to_lose() {
    assert!(Urgency::new(104_500, 4_000, 100_000).lacks_slack);
    assert!(!Urgency::new(106_000, 4_000, 100_000).lacks_slack);
}
