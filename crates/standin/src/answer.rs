//! Generated answers. An answer is a function of the request alone, so that a
//! caller can compute the expected answer to its own request and compare.

use upstream::ChatRequest;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Length of the shortest answer without a `[[tokens=N]]` marker, in tokens.
const ANSWER_MIN_TOKENS: u64 = 8;
/// Number of different answer lengths, one token apart.
const ANSWER_LENGTH_COUNT: u64 = 33;
/// Vocabulary of the answers.
const WORDS: [&str; 16] = [
    "amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "heron", "indigo", "juniper",
    "kelp", "lagoon", "maple", "north", "opal", "pine",
];

/// Returns the text of the conversation: the role and content of each message,
/// one message per line.
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

/// Returns all tokens of the answer, including those that the request
/// continues from.
///
/// A marker `[[tokens=N]]` in the prompt sets the length of the answer, which
/// the token limit of the request may shorten. Without a marker the length
/// follows from the hash of the prompt.
#[must_use]
pub fn answer_tokens(request: &ChatRequest) -> Vec<String> {
    let text = prompt_text(request);
    let hash = xxh3_64(text.as_bytes());
    let unlimited_len = marker_value(&text, "tokens")
        .map_or(ANSWER_MIN_TOKENS + hash % ANSWER_LENGTH_COUNT, u64::from);
    let limit = output_limit(request).map_or(u64::MAX, u64::from);
    (1..=unlimited_len.min(limit))
        .map(|index| token_at(hash, index))
        .collect()
}

/// Returns the maximum number of generated tokens that the request allows.
#[must_use]
pub fn output_limit(request: &ChatRequest) -> Option<u32> {
    request.max_completion_tokens.or(request.max_tokens)
}

/// Returns whether the token limit of the request shortens the answer.
pub(crate) fn is_cut_by_limit(request: &ChatRequest) -> bool {
    let mut unlimited = request.clone();
    unlimited.max_tokens = None;
    unlimited.max_completion_tokens = None;
    answer_tokens(&unlimited).len() > answer_tokens(request).len()
}

/// Returns the number of prompt tokens and the chained hash of each full block
/// of `block_tokens` tokens. A chained hash covers the model and every block up
/// to its own, so equal hashes mean equal prefixes. A trailing partial block has
/// no hash.
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

/// Returns the number `N` of a marker `[[name=N]]` in the prompt.
pub(crate) fn marker_value(text: &str, name: &str) -> Option<u32> {
    let (_, rest) = text.split_once(&format!("[[{name}="))?;
    rest.split_once("]]")?.0.parse().ok()
}

fn token_at(hash: u64, index: u64) -> String {
    let token_hash = xxh3_64_with_seed(&index.to_le_bytes(), hash);
    let word = WORDS[usize::try_from(token_hash % WORDS.len() as u64).unwrap_or(0)];
    format!("{word}{:02x} ", (token_hash >> 32) & 0xff)
}
