//! Placement of requests whose prompts begin alike, at each load, as memory runs out, and
//! over a replayed load.

mod support;

use gateway::{Placement, PlacementRequest, ServiceMemory, Target, UpstreamTable, WorkKind};
use model::{PromptPart, PromptPartId};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use support::{GOAL_MS, SLOTS, entry, service, target_of, upstream_table};

/// Time for which a request holds its slot, milliseconds.
const HOLD_MS: u32 = 400;
/// Time in which the upstreams read one token, milliseconds.
const READ_MS_PER_TOKEN: f64 = 0.02;
const MEMORY_TOKENS: u64 = 1_000_000;
const OWN_TOKENS: u32 = 100;
const PAIR: [(&str, &str); 2] = [("u1", "north-a"), ("u2", "north-a")];
const EIGHT: [(&str, &str); 8] = [
    ("u1", "north-a"),
    ("u2", "north-a"),
    ("u3", "north-a"),
    ("u4", "north-a"),
    ("u5", "north-a"),
    ("u6", "north-a"),
    ("u7", "north-a"),
    ("u8", "north-a"),
];

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart {
        id: PromptPartId::new(id),
        tokens,
    }
}

/// Returns a prompt of a shared part and one of the request's own.
fn prompt(shared: u64, shared_tokens: u32, own: u64) -> [PromptPart; 2] {
    [
        part(shared, shared_tokens),
        part(1_000_000 + own, OWN_TOKENS),
    ]
}

fn table(instance: &str, upstreams: &[(&str, &str)], memory_tokens: u64) -> UpstreamTable {
    let mut table = upstream_table(instance, upstreams);
    table.set_prompt_memory(&[ServiceMemory {
        service: service(),
        capacity_tokens: memory_tokens,
    }]);
    table
}

/// Creates a table that has measured how long requests hold their slots and prompts take.
fn measured_table(upstreams: &[(&str, &str)]) -> UpstreamTable {
    let mut table = table("me", upstreams, MEMORY_TOKENS);
    let target = target(&mut table, upstreams[0].0);
    for index in 0_u32..128 {
        let tokens = 500 + (index * 37 % 64) * 100;
        let after_ms = 10.0 + f64::from(tokens) * READ_MS_PER_TOKEN;
        let own = [part(5_000_000 + u64::from(index), tokens)];
        table.record_prompt_read(&target, &own, whole_ms(after_ms), 0);
    }
    table.record_completion(&target, WorkKind::Online, u64::from(HOLD_MS));
    table
}

/// Returns the target of an upstream.
fn target(table: &mut UpstreamTable, id: &str) -> Target {
    for _ in 0..1_000 {
        let placement = place(table, &[]);
        if target_of(&placement).upstream.as_str() == id {
            return target_of(&placement).clone();
        }
    }
    panic!("no request was sent to {id}");
}

fn place(table: &mut UpstreamTable, parts: &[PromptPart]) -> Placement {
    place_at(table, parts, 0)
}

fn place_at(table: &mut UpstreamTable, parts: &[PromptPart], now_ms: u64) -> Placement {
    let service = service();
    let request = PlacementRequest {
        service: &service,
        prompt_parts: parts,
        tried: &[],
        goal_ms: GOAL_MS,
        waited_ms: 0,
        version: None,
        weights: None,
        may_refuse: true,
    };
    table.place(&request, now_ms)
}

fn kept_tokens(placement: &Placement) -> u32 {
    match placement {
        Placement::Send { kept_tokens, .. } => *kept_tokens,
        Placement::Refuse { .. } => panic!("refused: {placement:?}"),
    }
}

/// Returns where a request with a part of `tokens` goes that is kept at an upstream with
/// `load` requests, and that takes `load` there and none elsewhere.
fn chosen_at_load(tokens: u32, load: u32) -> String {
    let mut table = measured_table(&PAIR);
    let keeper = target(&mut table, "u1");
    table.record_prompt_read(&keeper, &prompt(1, tokens, 1), 50, 0);
    for _ in 0..load {
        table.record_start(&keeper, WorkKind::Online, 0);
    }
    let placement = place(&mut table, &prompt(1, tokens, 2));
    target_of(&placement).upstream.to_string()
}

/// 40 ms are saved. A free slot costs up to 10 ms more at a higher load, and the first wait
/// for a slot takes an eighth of the hold time, 50 ms.
#[test]
fn place_goes_where_prompt_is_kept_until_slots_are_full() {
    for load in 0..SLOTS {
        assert_eq!(chosen_at_load(2_000, load), "u1", "load {load}");
    }
    for load in SLOTS..SLOTS * 3 {
        assert_eq!(chosen_at_load(2_000, load), "u2", "load {load}");
    }
}

/// 120 ms are saved, which is worth a wait for one or two slots of 50 ms each.
#[test]
fn place_waits_as_long_as_reading_would_take() {
    assert_eq!(chosen_at_load(6_000, SLOTS), "u1");
    assert_eq!(chosen_at_load(6_000, SLOTS + 2), "u2");
}

/// 400 ms are saved, but an answer from there would begin after the goal.
#[test]
fn place_late_upstream_is_not_chosen_for_what_it_keeps() {
    assert_eq!(chosen_at_load(20_000, SLOTS * 2), "u2");
}

/// 2 ms are saved, less than a higher load costs.
#[test]
fn place_short_part_gives_way_to_load() {
    assert_eq!(chosen_at_load(100, 0), "u1");
    assert_eq!(chosen_at_load(100, SLOTS - 1), "u2");
}

/// Only the upstream that keeps the part has answered lately, as late as is usual. That no
/// delay of the other one is known does not make it sooner.
#[test]
fn place_unknown_delay_counts_as_usual_one() {
    let mut table = measured_table(&PAIR);
    let keeper = target(&mut table, "u1");
    table.record_prompt_read(&keeper, &prompt(1, 100, 1), 50, 0);
    table.record_answer_delay(&keeper, 20.0, 0);
    let placement = place(&mut table, &prompt(1, 100, 2));
    assert_eq!(target_of(&placement).upstream.as_str(), "u1");
}

/// The upstream that keeps the part answers 20 ms later than the others; 2 ms are saved.
#[test]
fn place_late_answers_outweigh_short_part() {
    let mut table = measured_table(&EIGHT);
    let keeper = target(&mut table, "u1");
    table.record_prompt_read(&keeper, &prompt(1, 100, 1), 50, 0);
    for (id, _) in EIGHT {
        let upstream = target(&mut table, id);
        let delay_ms = if id == "u1" { 25.0 } else { 5.0 };
        for answer in 0..8 {
            table.record_answer_delay(&upstream, delay_ms, answer * 200);
        }
    }
    let placement = place(&mut table, &prompt(1, 100, 2));
    assert_ne!(target_of(&placement).upstream.as_str(), "u1");
}

/// Without a measurement, nothing is known to be saved.
#[test]
fn place_unmeasured_rate_saves_nothing() {
    let mut table = table("me", &PAIR, MEMORY_TOKENS);
    let keeper = target(&mut table, "u1");
    table.record_prompt_read(&keeper, &prompt(1, 20_000, 1), 50, 0);
    for _ in 0..SLOTS - 1 {
        table.record_start(&keeper, WorkKind::Online, 0);
    }
    let placement = place(&mut table, &prompt(1, 20_000, 2));
    assert_eq!(target_of(&placement).upstream.as_str(), "u2");
}

/// The configuration names no memory for the service.
#[test]
fn place_without_memory_ignores_prompts() {
    let mut table = measured_table(&PAIR);
    let keeper = target(&mut table, "u1");
    table.record_prompt_read(&keeper, &prompt(1, 20_000, 1), 50, 0);
    table.set_prompt_memory(&[]);
    let placements = (0..64).map(|_| place(&mut table, &prompt(1, 20_000, 2)));
    let sent: Vec<_> = placements
        .map(|placement| {
            assert_eq!(kept_tokens(&placement), 0);
            target_of(&placement).upstream.to_string()
        })
        .collect();
    assert!(sent.iter().any(|id| id == "u1") && sent.iter().any(|id| id == "u2"));
}

/// All requests of a burst begin with the same long part. Their upstream fills, then the next
/// one reads the part, and no slot stays free while requests wait.
#[test]
fn place_hot_part_spreads_as_upstreams_fill() {
    let mut table = measured_table(&EIGHT);
    let mut loads = [0_u32; 8];
    for own in 0..u64::from(SLOTS) * 8 {
        let request = prompt(1, 2_000, own);
        let placement = place(&mut table, &request);
        let target = target_of(&placement).clone();
        table.record_start(&target, WorkKind::Online, 0);
        table.record_prompt_read(&target, &request, 50, 0);
        let position = EIGHT
            .iter()
            .position(|(id, _)| *id == target.upstream.as_str());
        loads[position.unwrap()] += 1;
    }
    assert_eq!(loads, [SLOTS; 8]);
}

/// A part that all requests have, but that saves little, must not draw them to one upstream.
#[test]
fn place_short_part_of_all_requests_spreads_over_equal_upstreams() {
    let mut table = table("me", &EIGHT, MEMORY_TOKENS);
    let first = target(&mut table, "u1");
    for own in 0..40 {
        table.record_prompt_read(&first, &prompt(1, 100, own), 50, 0);
    }
    let mut chosen: Vec<_> = (0..64)
        .map(|own| place(&mut table, &prompt(1, 100, 100 + own)))
        .map(|placement| target_of(&placement).upstream.clone())
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), EIGHT.len());
}

/// Instances that know nothing of each other's requests send equal parts to the same
/// upstream, and different parts to different ones.
#[test]
fn place_instances_agree_on_equal_upstreams() {
    let mut one = table("one", &EIGHT, MEMORY_TOKENS);
    let mut other = table("other", &EIGHT, MEMORY_TOKENS);
    let mut chosen = Vec::new();
    for shared in 0..64 {
        let upstream = target_of(&place(&mut one, &prompt(shared, 200, 1)))
            .upstream
            .clone();
        for own in 2..6 {
            let placement = place(&mut other, &prompt(shared, 200, own));
            assert_eq!(target_of(&placement).upstream, upstream);
        }
        chosen.push(upstream);
    }
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), EIGHT.len());
}

#[test]
fn kept_tokens_follow_order_of_parts() {
    let mut table = table("me", &PAIR[..1], MEMORY_TOKENS);
    let target = target(&mut table, "u1");
    let [first, second, own] = [part(1, 100), part(2, 200), part(3, 50)];
    table.record_prompt_read(&target, &[first, second, own], 50, 0);
    let mut kept = |parts: &[PromptPart]| kept_tokens(&place(&mut table, parts));
    assert_eq!(kept(&[first, second, part(4, 50)]), 300);
    assert_eq!(kept(&[first, part(5, 200), part(4, 50)]), 100);
    assert_eq!(kept(&[first, part(5, 100), second, part(4, 50)]), 100);
    assert_eq!(kept(&[second, part(4, 50)]), 0);
    assert_eq!(kept(&[second, first, part(4, 50)]), 0);
}

/// The last part belongs to a request or to its session: it is kept track of when it comes a
/// second time.
#[test]
fn kept_tokens_include_own_part_of_session_that_comes_again() {
    let mut table = table("me", &PAIR[..1], MEMORY_TOKENS);
    let target = target(&mut table, "u1");
    let session = prompt(1, 200, 7);
    for expected in [0, 200, 200 + OWN_TOKENS] {
        assert_eq!(kept_tokens(&place(&mut table, &session)), expected);
        table.record_prompt_read(&target, &session, 50, 0);
    }
}

/// Half of the memory holds prompts, here 5,000 tokens. Part 1 is used again in between, part
/// 2 is not.
#[test]
fn kept_tokens_least_recently_used_parts_yield() {
    let mut table = table("me", &PAIR[..1], 10_000);
    let target = target(&mut table, "u1");
    let read = |table: &mut UpstreamTable, shared, own| {
        table.record_prompt_read(&target, &prompt(shared, 900, own), 50, 0);
    };
    read(&mut table, 1, 1);
    read(&mut table, 2, 2);
    for shared in 3..6 {
        read(&mut table, shared, shared);
    }
    assert_eq!(kept_tokens(&place(&mut table, &prompt(2, 900, 10))), 900);
    read(&mut table, 1, 6);
    read(&mut table, 7, 7);
    assert_eq!(kept_tokens(&place(&mut table, &prompt(1, 900, 10))), 900);
    assert_eq!(kept_tokens(&place(&mut table, &prompt(2, 900, 10))), 0);
}

/// Running requests hold memory, which kept prompts yield to.
#[test]
fn kept_tokens_yield_to_running_requests() {
    let mut table = table("me", &PAIR[..1], 10_000);
    let target = target(&mut table, "u1");
    table.record_prompt_read(&target, &prompt(1, 900, 1), 50, 0);
    table.record_prompt_read(&target, &prompt(2, 900, 2), 50, 0);
    assert_eq!(kept_tokens(&place(&mut table, &prompt(1, 900, 10))), 900);
    for _ in 0..SLOTS - 1 {
        table.record_start(&target, WorkKind::Online, 0);
    }
    assert_eq!(kept_tokens(&place(&mut table, &prompt(1, 900, 10))), 0);
}

/// Callers name parts and lengths as they like.
#[test]
fn kept_tokens_any_prompt_is_accepted() {
    let mut table = table("me", &PAIR, MEMORY_TOKENS);
    let target = target(&mut table, "u1");
    let longest = [part(1, u32::MAX), part(2, u32::MAX), part(3, u32::MAX)];
    let many: Vec<_> = (0..2_000).map(|id| part(id, 1)).collect();
    for _ in 0..3 {
        for parts in [&longest[..], &many, &[part(7, 0)], &[]] {
            table.record_prompt_read(&target, parts, 50, 0);
            assert!(kept_tokens(&place(&mut table, parts)) <= 32);
        }
    }
}

#[test]
fn kept_tokens_new_incarnation_keeps_nothing() {
    let mut table = table("me", &PAIR[..1], MEMORY_TOKENS);
    let target = target(&mut table, "u1");
    table.record_prompt_read(&target, &prompt(1, 900, 1), 50, 0);
    assert_eq!(kept_tokens(&place(&mut table, &prompt(1, 900, 2))), 900);
    let mut restarted_entry = entry("u1", "north-a");
    restarted_entry.started_unix_ms = 2;
    table.upsert(restarted_entry, 10);
    assert_eq!(kept_tokens(&place(&mut table, &prompt(1, 900, 2))), 0);
    // An answer of the old incarnation says nothing about the new one.
    table.record_prompt_read(&target, &prompt(1, 900, 1), 50, 20);
    assert_eq!(kept_tokens(&place(&mut table, &prompt(1, 900, 2))), 0);
}

#[test]
fn best_for_prompt_prefers_target_that_keeps_more() {
    let mut table = table("me", &EIGHT, MEMORY_TOKENS);
    let targets = EIGHT.map(|(id, _)| target(&mut table, id));
    assert_eq!(table.best_for_prompt(&targets, &[]), None);
    assert_eq!(table.best_for_prompt(&targets, &[part(1, 100)]), None);
    let home = table.best_for_prompt(&targets, &prompt(1, 100, 1));
    let keeper = (home.unwrap() + 1) % targets.len();
    table.record_prompt_read(&targets[keeper], &prompt(1, 100, 1), 50, 0);
    let best = table.best_for_prompt(&targets, &prompt(1, 100, 2));
    assert_eq!(best, Some(keeper));
}

/// Number of shared parts for which an upstream of the replay has memory.
const KEPT_PARTS: usize = 10;

/// An upstream of the replay: it reads prompts one after the other, runs as many requests as
/// it has slots, and keeps the parts that were used last.
#[derive(Debug, Default)]
struct Engine {
    slots_free_at_ms: [f64; SLOTS as usize],
    reading_until_ms: f64,
    kept: Vec<u64>,
}

impl Engine {
    /// Runs a request. Returns when its answer begins and ends.
    fn run(&mut self, request: &[PromptPart], now_ms: f64) -> (f64, f64) {
        let slots = self.slots_free_at_ms.iter_mut();
        let slot = slots.min_by(|a, b| a.total_cmp(b)).unwrap();
        let shared = request[0];
        let is_kept = self.kept.contains(&shared.id.as_u64());
        self.kept.retain(|id| *id != shared.id.as_u64());
        self.kept.truncate(KEPT_PARTS - 1);
        self.kept.insert(0, shared.id.as_u64());
        let read_tokens = OWN_TOKENS + if is_kept { 0 } else { shared.tokens };
        let starts_at_ms = now_ms.max(*slot).max(self.reading_until_ms);
        self.reading_until_ms = starts_at_ms + f64::from(read_tokens) * READ_MS_PER_TOKEN;
        *slot = self.reading_until_ms + f64::from(HOLD_MS);
        (self.reading_until_ms, *slot)
    }
}

/// An event of an answer, for the instance that sent the request.
#[derive(Debug)]
enum Answer {
    Began,
    Ended,
}

/// Replays requests whose rate swings between a quarter and all of what the upstreams can
/// serve. Returns the sorted times to the first event, milliseconds.
fn replay(shared_tokens: u32, weighs_prompts: bool) -> Vec<f64> {
    let prompt_tokens = u64::from(shared_tokens + OWN_TOKENS);
    let mut table = table("me", &EIGHT, 2 * prompt_tokens * KEPT_PARTS as u64);
    let mut engines: Vec<_> = EIGHT.iter().map(|_| Engine::default()).collect();
    let mut rng = SmallRng::seed_from_u64(11);
    let mut pending: Vec<(f64, Answer, Target, [PromptPart; 2], f64)> = Vec::new();
    let mut first_event_ms = Vec::new();
    let mut now_ms = 0.0;
    let peak_per_ms = f64::from(SLOTS) * 8.0 / f64::from(HOLD_MS);
    for own in 0..6_000 {
        let swing = 0.625 + 0.375 * (now_ms / 1_000.0_f64).sin();
        now_ms += -rng.random_range(0.001_f64..1.0).ln() / (peak_per_ms * swing);
        pending.sort_by(|a, b| a.0.total_cmp(&b.0));
        let due = pending.partition_point(|(at_ms, ..)| *at_ms <= now_ms);
        for (at_ms, answer, target, request, sent_ms) in pending.drain(..due) {
            let after_ms = whole_ms(at_ms - sent_ms);
            match answer {
                Answer::Began => {
                    table.record_prompt_read(&target, &request, after_ms, whole_ms(at_ms));
                }
                Answer::Ended => {
                    table.record_end(&target, WorkKind::Online);
                    table.record_completion(&target, WorkKind::Online, after_ms);
                }
            }
        }
        let request = prompt(rng.random_range(0..40), shared_tokens, own);
        let weighed: &[_] = if weighs_prompts { &request } else { &[] };
        let Placement::Send { target, .. } = place_at(&mut table, weighed, whole_ms(now_ms)) else {
            continue;
        };
        table.record_start(&target, WorkKind::Online, whole_ms(now_ms));
        let position = EIGHT
            .iter()
            .position(|(id, _)| *id == target.upstream.as_str());
        let (began_ms, ended_ms) = engines[position.unwrap()].run(&request, now_ms);
        first_event_ms.push(began_ms - now_ms);
        pending.push((began_ms, Answer::Began, target.clone(), request, now_ms));
        pending.push((ended_ms, Answer::Ended, target, request, now_ms));
    }
    first_event_ms.sort_by(f64::total_cmp);
    first_event_ms
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the replay takes minutes"
)]
fn whole_ms(ms: f64) -> u64 {
    ms.round() as u64
}

/// Returns the value that `percent` of the sorted values do not exceed.
fn percentile(sorted: &[f64], percent: usize) -> f64 {
    sorted[(sorted.len() - 1) * percent / 100]
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len()).unwrap();
    values.iter().sum::<f64>() / f64::from(count)
}

/// Parts of 5,000 tokens take 100 ms to read.
#[test]
fn place_replayed_long_prompts_begin_sooner() {
    let without = replay(5_000, false);
    let with = replay(5_000, true);
    assert!(with.len() >= without.len(), "more requests are refused");
    assert!(percentile(&with, 50) < percentile(&without, 50));
    assert!(percentile(&with, 99) <= percentile(&without, 99));
    assert!(mean(&with) < mean(&without));
    assert!(with.last() <= without.last());
}

/// Parts of 200 tokens take 4 ms to read.
#[test]
fn place_replayed_short_prompts_begin_no_later() {
    let without = replay(200, false);
    let with = replay(200, true);
    assert!(with.len() >= without.len(), "more requests are refused");
    assert!(percentile(&with, 99) <= percentile(&without, 99));
    assert!(mean(&with) <= mean(&without));
}
