//! Tests of the simulated engine. The time is an argument, so no real time elapses.

use proptest::prelude::*;
use standin::{EmittedToken, EngineCore, EngineParams, SequenceRequest, prompt_blocks};

/// Time within which any submitted sequence finishes.
const END_US: u64 = 1_000_000_000;

fn params() -> EngineParams {
    EngineParams {
        base_us: 10_000.0,
        per_sequence_us: 100.0,
        prompt_token_us: 50.0,
        prefill_chunk_tokens: 1_000,
        running_max: 8,
        block_tokens: 16,
        cache_blocks: 64,
    }
}

fn request(id: u64, prompt_tokens: u32, tokens: u32) -> SequenceRequest {
    SequenceRequest {
        id,
        prompt_tokens,
        blocks: Vec::new(),
        first_token_index: 1,
        last_token_index: tokens,
    }
}

fn advance_until(core: &mut EngineCore, until_us: u64) -> Vec<EmittedToken> {
    let mut emitted = Vec::new();
    core.advance(until_us, &mut emitted);
    emitted
}

/// Returns the times of the tokens of one sequence.
fn token_times_us(emitted: &[EmittedToken], id: u64) -> Vec<u64> {
    let tokens_of_sequence = emitted.iter().filter(|token| token.id == id);
    tokens_of_sequence.map(|token| token.at_us).collect()
}

#[test]
fn advance_adds_step_sequence_and_prefill_costs() {
    let mut core = EngineCore::new(params());
    core.submit(request(1, 300, 3), 0);
    let emitted = advance_until(&mut core, END_US);
    // The first step takes 10 ms + 0.1 ms + 300 x 0.05 ms; the others prefill nothing.
    assert_eq!(token_times_us(&emitted, 1), [25_100, 35_200, 45_300]);
    assert_eq!(core.next_event_us(), None);
}

#[test]
fn submit_during_step_joins_next_step() {
    let mut core = EngineCore::new(params());
    core.submit(request(1, 100, 3), 0);
    advance_until(&mut core, 1);
    core.submit(request(2, 100, 1), 1);
    let emitted = advance_until(&mut core, END_US);
    assert_eq!(token_times_us(&emitted, 1)[0], 15_100);
    // The prefill of the second prompt prolongs the step that both sequences share.
    assert_eq!(
        token_times_us(&emitted, 1)[1],
        15_100 + 10_000 + 200 + 5_000
    );
    assert_eq!(token_times_us(&emitted, 2), [15_100 + 10_000 + 200 + 5_000]);
}

#[test]
fn advance_prefills_long_prompts_in_chunks() {
    let mut core = EngineCore::new(params());
    core.submit(request(1, 2_500, 1), 0);
    let emitted = advance_until(&mut core, END_US);
    let expected_us = 3 * 10_100 + 2_500 * 50;
    assert_eq!(token_times_us(&emitted, 1), [expected_us]);
}

#[test]
fn submit_beyond_running_max_queues_fifo() {
    let mut core = EngineCore::new(params());
    for id in 0..20 {
        core.submit(request(id, 10, 5), 0);
    }
    let emitted = advance_until(&mut core, END_US);
    let last_tokens: Vec<_> = emitted.iter().filter(|token| token.is_last).collect();
    let finished_ids: Vec<_> = last_tokens.iter().map(|token| token.id).collect();
    assert_eq!(finished_ids, (0..20).collect::<Vec<_>>());
    assert!(last_tokens[7].at_us < last_tokens[8].at_us);
}

#[test]
fn submit_finds_cached_prefix_blocks() {
    let mut core = EngineCore::new(params());
    let prompt = "word ".repeat(160);
    let (prompt_tokens, blocks) = prompt_blocks("oraculo", &prompt, 16);
    let request_with_blocks = |id| SequenceRequest {
        blocks: blocks.clone(),
        ..request(id, prompt_tokens, 1)
    };
    assert_eq!(core.submit(request_with_blocks(1), 0), 0);
    let first_us = token_times_us(&advance_until(&mut core, END_US), 1)[0];
    assert_eq!(core.submit(request_with_blocks(2), END_US), 160);
    let second_us = token_times_us(&advance_until(&mut core, 2 * END_US), 2)[0] - END_US;
    assert_eq!(first_us - second_us, 159 * 50);
}

#[test]
fn submit_misses_evicted_blocks() {
    let mut core = EngineCore::new(params());
    let request_with_blocks = |id, first_block: u64, count: u64| SequenceRequest {
        blocks: (first_block..first_block + count).collect(),
        ..request(id, u32::try_from(count * 16).unwrap(), 1)
    };
    core.submit(request_with_blocks(1, 0, 40), 0);
    advance_until(&mut core, END_US);
    core.submit(request_with_blocks(2, 1_000, 40), END_US);
    advance_until(&mut core, 2 * END_US);
    // The cache holds 64 blocks: all 40 of the second prompt and the leading 24
    // of the first one.
    assert_eq!(
        core.submit(request_with_blocks(3, 0, 40), 2 * END_US),
        24 * 16
    );
}

#[test]
fn cancel_ends_a_sequence_at_once() {
    let mut core = EngineCore::new(params());
    core.submit(request(1, 10, 100), 0);
    core.submit(request(2, 10, 2), 0);
    advance_until(&mut core, 12_000);
    core.cancel(1);
    let emitted = advance_until(&mut core, END_US);
    assert!(token_times_us(&emitted, 1).is_empty());
    assert_eq!(core.running(), 0);
}

proptest! {
    #[test]
    fn advance_emits_each_token_once_in_order(
        requests in prop::collection::vec((0..30_000u64, 1..600u32, 1..30u32), 1..40),
        stride_us in 1..50_000u64,
    ) {
        let mut core = EngineCore::new(params());
        let mut emitted = Vec::new();
        let mut now_us = 0;
        for (id, (delay_us, prompt_tokens, tokens)) in requests.iter().enumerate() {
            now_us += delay_us;
            core.advance(now_us, &mut emitted);
            core.submit(request(id as u64, *prompt_tokens, *tokens), now_us);
        }
        while core.next_event_us().is_some() {
            now_us += stride_us;
            core.advance(now_us, &mut emitted);
        }
        prop_assert!(emitted.is_sorted_by_key(|token| token.at_us));
        for (id, (_, _, tokens)) in requests.iter().enumerate() {
            let tokens_of_sequence = emitted.iter().filter(|token| token.id == id as u64);
            let indexes: Vec<_> = tokens_of_sequence.map(|token| token.token_index).collect();
            prop_assert_eq!(indexes, (1..=*tokens).collect::<Vec<_>>());
        }
    }
}
