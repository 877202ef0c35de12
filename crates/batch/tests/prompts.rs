//! Checks that a long prompt is sent to an engine in parts, so that no single step
//! prefills the whole prompt.

mod support;

use std::fmt::Write;

use policy::WindowRules;
use serde_json::json;
use standin::{EngineParams, answer_tokens};
use support::{Fleet, line};
use upstream::ChatRequest;

/// Number of words in the prompt; the stand-in engine counts each as a token.
const PROMPT_WORDS: usize = 2_000;
/// Length of each word including its space, in characters.
const WORD_CHARS: usize = 4;
const CUSTOM_ID: &str = "long";

fn long_prompt() -> String {
    (0..PROMPT_WORDS).fold(String::new(), |mut prompt, word| {
        let _ = write!(prompt, "{:03} ", word % 1_000);
        prompt
    })
}

/// Maximum number of characters that a part adds while no online request is running.
fn part_max_chars() -> f64 {
    let params = EngineParams::default();
    let step_us = f64::from(u32::try_from(WindowRules::default().relaxed.idle_step_us).unwrap());
    let tokens = (step_us - params.base_us) / params.prompt_token_us;
    tokens * f64::from(u32::try_from(WORD_CHARS).unwrap())
}

#[tokio::test]
async fn long_prompt_is_sent_in_parts_and_answered_in_full() {
    let fleet = Fleet::start_with(1, EngineParams::default()).await;
    let _batch = fleet.start_batch("b-1");
    let client = fleet.client();
    let prompt = long_prompt();
    let id = client.submit(&line(CUSTOM_ID, &prompt, 6)).await;
    client.wait_until_completed(&id).await;
    let mut sent: Vec<String> = fleet
        .prompt_runs()
        .await
        .into_iter()
        .map(|run| run.0)
        .collect();
    sent.sort_by_key(String::len);
    assert!(sent.len() > 1, "the whole prompt was sent in one attempt");
    let full_prompt = sent.last().unwrap().clone();
    let mut previous_len = 0;
    for part in &sent {
        assert!(full_prompt.starts_with(part.trim_end()));
        let added = f64::from(u32::try_from(part.len() - previous_len).unwrap());
        assert!(added <= part_max_chars(), "a part added {added} characters");
        previous_len = part.len();
    }
    // The answer must equal the answer to the whole prompt sent in one request.
    let output = client.results(&id, "output").await;
    let content = &output[0]["response"]["body"]["choices"][0]["message"]["content"];
    let request = json!({
        "model": "oraculo",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 6,
    });
    let request: ChatRequest = serde_json::from_value(request).unwrap();
    assert_eq!(
        content.as_str(),
        Some(answer_tokens(&request).concat().as_str())
    );
}
