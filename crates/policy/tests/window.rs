//! Starts and cancellations of [`BatchWindow`], and [`Urgency`].

use model::{DispatchNotice, UpstreamId};
use policy::{BatchWindow, OnlineTarget, Urgency, WindowRules};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest};

fn notice(started_requests: u32, ended_requests: u32) -> DispatchNotice {
    DispatchNotice {
        upstream: UpstreamId::new("a"),
        uncached_prompt_tokens: 100 * started_requests,
        started_requests,
        ended_requests,
        first_token_us: 0,
        between_tokens_us: 0,
    }
}

fn window() -> BatchWindow {
    BatchWindow::new(UpstreamId::new("a"))
}

/// Starts items, each of which produces one token, until the window allows no
/// more; returns their number.
fn fill(window: &mut BatchWindow, now_us: u64) -> u64 {
    let mut next_item = 0;
    loop {
        let plan = window.tick(now_us);
        if plan.start_items == 0 {
            return next_item;
        }
        window.on_batch_started(next_item, 300, now_us);
        window.on_batch_token(next_item, now_us);
        next_item += 1;
    }
}

#[test]
fn tick_fills_idle_engine() {
    let mut window = window();
    assert!(fill(&mut window, 0) > 16);
}

#[test]
fn tick_bounds_step_by_prompt_tokens() {
    let mut window = window();
    let plan = window.tick(0);
    assert!(plan.first_item_may_exceed);
    let limits = WindowRules::default().relaxed;
    let step_us = 12_000 + 50 + 50 * u64::from(plan.start_prompt_tokens);
    assert!(step_us <= limits.idle_step_us + 50, "{step_us}");
}

#[test]
fn tick_starts_one_group_at_a_time() {
    let mut window = window();
    assert!(window.tick(0).start_items > 0);
    window.on_batch_started(1, 100, 0);
    assert_eq!(window.tick(1).start_items, 0);
    window.on_batch_token(1, 20_000);
    assert!(window.tick(20_001).start_items > 0);
}

#[test]
fn tick_pauses_starts_until_online_prompt_is_prefilled() {
    let mut rules = WindowRules::default();
    rules.relaxed.start_pause_us = 10_000_000;
    rules.relaxed.online_prompt_tokens_per_s = 1_000_000;
    let mut window = window().with_rules(rules);
    fill(&mut window, 0);
    for item in 0..10 {
        window.on_batch_ended(item, 1);
    }
    window.on_notice(&notice(1, 0), 1_000);
    assert_eq!(window.tick(1_000).start_items, 0);
    // A step ends after the request arrived at the engine. From then on, the
    // window treats the prompt of the request as prefilled.
    window.on_batch_token(20, 14_000);
    let plan = window.tick(14_001);
    assert!(plan.start_items > 0);
    assert!(!plan.first_item_may_exceed);
}

#[test]
fn tick_cancels_start_that_waits_with_online_prompt() {
    let mut window = window();
    window.on_batch_started(1, 100, 0);
    window.on_batch_token(1, 20_000);
    window.on_batch_started(2, 100, 20_100);
    window.on_notice(&notice(1, 0), 25_000);
    assert_eq!(window.tick(25_000).cancel, [2]);
    assert!(window.tick(25_001).cancel.is_empty());
}

#[test]
fn tick_keeps_start_whose_step_is_running() {
    let mut window = window();
    window.on_batch_started(1, 100, 0);
    window.on_batch_token(1, 20_000);
    window.on_batch_started(2, 100, 20_100);
    window.on_batch_token(1, 34_000);
    window.on_notice(&notice(1, 0), 36_000);
    assert!(window.tick(36_000).cancel.is_empty());
}

#[test]
fn tick_cancels_youngest_beyond_online_items() {
    let mut rules = WindowRules::default();
    rules.relaxed.online_items = 4;
    let mut window = window().with_rules(rules);
    let started = fill(&mut window, 0);
    window.on_notice(&notice(1, 0), 1_000);
    let plan = window.tick(1_000);
    assert_eq!(plan.start_items, 0);
    assert_eq!(plan.cancel.len() as u64, started - 4);
    assert!(plan.cancel.contains(&(started - 1)));
    assert!(!plan.cancel.contains(&0));
    assert!(window.tick(1_001).cancel.is_empty());
}

#[test]
fn tick_cancels_all_items_in_burst() {
    let mut window = window();
    let started = fill(&mut window, 0);
    window.on_notice(&notice(8, 0), 1_000);
    let plan = window.tick(1_000);
    assert_eq!(plan.cancel.len() as u64, started);
}

/// Without the time-out, a lost notice of ended requests would stop batch work
/// for good.
#[test]
fn tick_starts_again_after_notice_timeout() {
    let mut window = window();
    window.on_notice(&notice(8, 0), 1_000);
    assert_eq!(window.tick(1_000).start_items, 0);
    assert!(window.tick(10_000_000).start_items > 0);
}

#[test]
fn tick_allows_more_items_with_urgency() {
    let mut relaxed = window();
    let mut urgent = window();
    urgent.set_urgency(Urgency::FULL);
    assert!(fill(&mut urgent, 0) > fill(&mut relaxed, 0));
}

#[test]
fn on_notice_missed_target_shrinks_window() {
    let mut window = window();
    window.set_urgency(Urgency::FULL);
    window.set_online_target(OnlineTarget {
        first_token_us: 430_000,
        between_tokens_us: 64_000,
    });
    let started = fill(&mut window, 0);
    for _ in 0..10 {
        let mut late_notice = notice(0, 0);
        late_notice.between_tokens_us = 70_000;
        window.on_notice(&late_notice, 0);
    }
    assert!(!window.tick(1).cancel.is_empty());
    let plan = window.tick(2);
    assert_eq!(plan.start_items, 0);
    assert!(started > u64::from(WindowRules::default().relaxed.idle_items));
}

#[test]
fn tick_starts_fewer_tokens_at_slower_engine() {
    let mut window = window();
    let before = window.tick(0).start_prompt_tokens;
    window.on_batch_started(1, 10, 0);
    let mut now_us = 20_000;
    for _ in 0..200 {
        window.on_batch_token(1, now_us);
        now_us += 18_000;
    }
    assert!(window.tick(now_us).start_prompt_tokens < before / 2);
}

/// An event at a window. Items are given by number.
#[derive(Debug, Clone)]
enum Event {
    /// A notice with the numbers of started and ended online requests.
    Online(u32, u32),
    /// A token of an item.
    Progress(u64),
    /// The end of an item.
    Ended(u64),
    /// A wait, in microseconds.
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0_u32..4, 0_u32..4).prop_map(|(started, ended)| Event::Online(started, ended)),
        (0_u64..200).prop_map(Event::Progress),
        (0_u64..200).prop_map(Event::Ended),
        (0_u64..300_000).prop_map(Event::Wait),
    ]
}

proptest! {
    /// For any sequence of events, the window keeps its bounds, cancels only items
    /// in flight, and cancels each item only once.
    #[test]
    fn tick_keeps_bounds(
        events in prop::collection::vec(event(), 1..200),
        is_urgent in any::<bool>(),
    ) {
        let mut window = window();
        let rules = WindowRules::default();
        let urgency = if is_urgent { Urgency::FULL } else { Urgency::NONE };
        window.set_urgency(urgency);
        let limits = rules.limits(urgency);
        let max_items = limits.idle_items.max(limits.online_items) as usize;
        let (mut now_us, mut next_item) = (0, 0);
        let mut in_flight: Vec<u64> = Vec::new();
        let mut cancelled: Vec<u64> = Vec::new();
        for event in events {
            match event {
                Event::Online(started, ended) => window.on_notice(&notice(started, ended), now_us),
                Event::Progress(item) => window.on_batch_token(item, now_us),
                Event::Ended(item) => {
                    window.on_batch_ended(item, now_us);
                    in_flight.retain(|other| *other != item);
                }
                Event::Wait(wait_us) => now_us += wait_us,
            }
            let plan = window.tick(now_us);
            prop_assert!(plan.next_tick_at_us > now_us);
            for item in plan.cancel {
                prop_assert!(in_flight.contains(&item));
                prop_assert!(!cancelled.contains(&item));
                cancelled.push(item);
            }
            for _ in 0..plan.start_items {
                window.on_batch_started(next_item, 50, now_us);
                in_flight.push(next_item);
                next_item += 1;
            }
            prop_assert!(window.in_flight() <= max_items);
            prop_assert_eq!(window.in_flight(), in_flight.len());
        }
    }
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
