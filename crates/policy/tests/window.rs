//! The batch window.

use model::{DispatchNotice, UpstreamId};
use policy::{BatchWindow, OnlineTarget, Urgency, WindowRules};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest};

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
        window.on_batch_token(next, now_us);
        next += 1;
    }
}

#[test]
fn tick_grows_into_idle_engine() {
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
fn tick_holds_starts_until_online_prompt_is_prefilled() {
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
    // The step that the request fell into ends, then the one with its prompt.
    window.on_batch_token(20, 14_000);
    let plan = window.tick(14_001);
    assert!(plan.start_items > 0);
    assert!(!plan.first_item_may_exceed);
}

#[test]
fn tick_takes_back_start_that_waits_beside_online_prompt() {
    let mut window = window();
    window.on_batch_started(1, 100, 0);
    window.on_batch_token(1, 20_000);
    window.on_batch_started(2, 100, 20_100);
    window.on_notice(&notice(1, 0), 25_000);
    assert_eq!(window.tick(25_000).cancel, [2]);
    assert!(window.tick(25_001).cancel.is_empty());
}

#[test]
fn tick_leaves_start_whose_step_runs() {
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
fn tick_opens_with_urgency() {
    let mut calm = window();
    let mut pressed = window();
    pressed.set_urgency(Urgency::FULL);
    assert!(fill(&mut pressed, 0) > fill(&mut calm, 0));
}

#[test]
fn on_notice_of_missed_target_closes_window() {
    let mut window = window();
    window.set_urgency(Urgency::FULL);
    window.set_online_target(OnlineTarget {
        first_token_us: 430_000,
        between_tokens_us: 64_000,
    });
    let started = fill(&mut window, 0);
    for _ in 0..10 {
        let mut late = notice(0, 0);
        late.between_tokens_us = 70_000;
        window.on_notice(&late, 0);
    }
    assert!(!window.tick(1).cancel.is_empty());
    let left = window.tick(2);
    assert_eq!(left.start_items, 0);
    assert!(started > u64::from(WindowRules::default().relaxed.idle_items));
}

#[test]
fn tick_starts_less_at_a_slower_engine() {
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

#[derive(Debug, Clone)]
enum Event {
    Online(u32, u32),
    Progress(u64),
    Ended(u64),
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
    /// Whatever happens, the window keeps its bounds, cancels only what is in
    /// flight and each item once.
    #[test]
    fn tick_keeps_bounds(events in prop::collection::vec(event(), 1..200), full in any::<bool>()) {
        let mut window = window();
        let rules = WindowRules::default();
        let urgency = if full { Urgency::FULL } else { Urgency::NONE };
        window.set_urgency(urgency);
        let limits = rules.limits(urgency);
        let most = limits.idle_items.max(limits.online_items) as usize;
        let (mut now_us, mut next) = (0, 0);
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
                window.on_batch_started(next, 50, now_us);
                in_flight.push(next);
                next += 1;
            }
            prop_assert!(window.in_flight() <= most);
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
