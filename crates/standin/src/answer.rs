//! Answers that follow from the prompt alone, so that any caller can check
//! the whole answer to its own request.

use upstream::ChatRequest;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Shortest answer, tokens.
const ANSWER_MIN_TOKENS: u64 = 8;
/// Number of different answer lengths.
const ANSWER_SPREAD_TOKENS: u64 = 33;
/// Words of the answers.
const WORDS: [&str; 16] = [
    "amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "heron", "indigo", "juniper",
    "kelp", "lagoon", "maple", "north", "opal", "pine",
];

/// Text of the conversation: role and content of each message.
#[must_use]
pub fn prompt_text(request: &ChatRequest) -> String {
    let mut text = String::new();
    for message in &request.messages {
        text.push_str(&message.role);
        text.push(' ');
        match message.content.as_str() {
            Some(content) => text.push_str(content),
            None => text.push_str(&message.content.to_string()),
        }
        text.push('\n');
    }
    text
}

/// Every token of the answer, from the first on; those that the request
/// continues from are included. A marker `[[tokens=N]]` sets the length.
#[must_use]
pub fn answer_tokens(request: &ChatRequest) -> Vec<String> {
    let text = prompt_text(request);
    let hash = xxh3_64(text.as_bytes());
    let natural =
        marker(&text, "tokens").map_or(ANSWER_MIN_TOKENS + hash % ANSWER_SPREAD_TOKENS, u64::from);
    let limit = output_limit(request).map_or(u64::MAX, u64::from);
    (1..=natural.min(limit))
        .map(|index| token(hash, index))
        .collect()
}

/// Limit of generated tokens that the request sets.
#[must_use]
pub fn output_limit(request: &ChatRequest) -> Option<u32> {
    request.max_completion_tokens.or(request.max_tokens)
}

/// Whether the limit of the request cut the answer short.
pub(crate) fn is_cut_by_limit(request: &ChatRequest) -> bool {
    let mut unlimited = request.clone();
    unlimited.max_tokens = None;
    unlimited.max_completion_tokens = None;
    answer_tokens(&unlimited).len() > answer_tokens(request).len()
}

/// Number of prompt tokens and the chained hash of each whole leading block.
#[must_use]
pub fn prompt_blocks(model: &str, prompt: &str, block_tokens: u32) -> (u32, Vec<u64>) {
    let words: Vec<_> = prompt.split_whitespace().collect();
    let mut chain = xxh3_64(model.as_bytes());
    let mut blocks = Vec::new();
    for block in words.chunks_exact(block_tokens.max(1) as usize) {
        chain = xxh3_64_with_seed(block.join(" ").as_bytes(), chain);
        blocks.push(chain);
    }
    (u32::try_from(words.len()).unwrap_or(u32::MAX), blocks)
}

/// Value of a marker `[[name=N]]` in the prompt.
pub(crate) fn marker(text: &str, name: &str) -> Option<u32> {
    let (_, rest) = text.split_once(&format!("[[{name}="))?;
    rest.split_once("]]")?.0.parse().ok()
}

fn token(hash: u64, index: u64) -> String {
    let mixed = xxh3_64_with_seed(&index.to_le_bytes(), hash);
    let word = WORDS[usize::try_from(mixed % WORDS.len() as u64).unwrap_or(0)];
    format!("{word}{:02x} ", (mixed >> 32) & 0xff)
}
