//! The batch window.

use model::{DispatchNotice, UpstreamId};
use policy::{BatchWindow, Urgency};

fn notice(started: u32, ended: u32) -> DispatchNotice {
    DispatchNotice {
        upstream: UpstreamId::new("a"),
        prompt_tokens: 100 * started,
        started,
        ended,
        first_token_us: 0,
        between_tokens_us: 0,
    }
}

fn window() -> BatchWindow {
    BatchWindow::new(UpstreamId::new("a"))
}

/// Fills the window with items that have produced a token each.
fn fill(window: &mut BatchWindow, now_us: u64) -> u64 {
    let mut next = 0;
    loop {
        let plan = window.tick(now_us);
        if plan.start_items == 0 {
            return next;
        }
        window.on_batch_started(next, 300, now_us);
        window.on_batch_progress(next, now_us);
        next += 1;
    }
}

#[test]
fn tick_grows_into_idle_engine() {
    let mut window = window();
    assert!(fill(&mut window, 0) > 16);
}

#[test]
fn tick_bounds_unprefilled_items() {
    let mut window = window();
    let plan = window.tick(0);
    assert!(plan.start_items >= 1);
    for item in 0..plan.start_items {
        window.on_batch_started(u64::from(item), 300, 0);
    }
    assert_eq!(window.tick(1).start_items, 0);
}

#[test]
fn tick_cancels_youngest_when_online_work_arrives() {
    let mut window = window();
    let started = fill(&mut window, 0);
    window.on_notice(&notice(1, 0), 1_000);
    let plan = window.tick(1_000);
    assert_eq!(plan.start_items, 0);
    assert!(!plan.cancel.is_empty());
    assert!(plan.cancel.contains(&(started - 1)));
    assert!(!plan.cancel.contains(&0));
    assert!(window.tick(1_001).cancel.is_empty());
}

#[test]
fn tick_cancels_everything_in_a_burst() {
    let mut window = window();
    let started = fill(&mut window, 0);
    window.on_notice(&notice(8, 0), 1_000);
    let plan = window.tick(1_000);
    assert_eq!(plan.cancel.len() as u64, started);
}

#[test]
fn tick_grows_again_after_silence() {
    let mut window = window();
    window.on_notice(&notice(8, 0), 1_000);
    assert_eq!(window.tick(1_000).start_items, 0);
    assert!(window.tick(10_000_000).start_items > 0);
}

#[test]
fn urgency_rises_as_slack_shrinks() {
    let check = |remaining, per_s, deadline_us, expected: f64| {
        let urgency = Urgency::new(remaining, per_s, deadline_us, 0).value();
        assert!((urgency - expected).abs() < 0.01, "{urgency} {expected}");
    };
    check(0, 10, 1_000_000, 0.0);
    check(100, 0, 1_000_000, 1.0);
    check(100, 1_000, 1_000_000, 0.0);
    check(700, 1_000, 1_000_000, 0.5);
    check(2_000, 1_000, 1_000_000, 1.0);
}
