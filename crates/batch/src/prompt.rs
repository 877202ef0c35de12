//! Estimates prompt lengths and truncates prompts to their leading tokens.
//!
//! An engine prefills a prompt in one step or a few, and every sequence in these
//! steps waits for them. A long prompt is therefore sent in parts: first its leading
//! tokens, with an output limit of one token, so that they are in the engine's prefix
//! cache when a longer part of the prompt is sent.

use jobs::ItemRequest;
use serde_json::Value;

/// Approximate number of characters per prompt token.
const CHARS_PER_TOKEN: usize = 4;
/// Minimum number of prompt tokens that a part must add.
const PART_MIN_TOKENS: u32 = 64;

/// Number of prompt tokens that may be prefilled now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PromptBudget {
    /// Maximum number of uncached prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Whether a prompt that cannot be sent in parts may exceed that number.
    pub(crate) may_exceed: bool,
}

/// How much of a prompt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromptSlice {
    /// The whole prompt.
    Whole {
        /// Number of tokens that the engine has to prefill.
        uncached_tokens: u32,
    },
    /// Only the leading tokens.
    Part {
        /// Length of the part, in tokens.
        leading_tokens: u32,
        /// Number of tokens that the engine has to prefill.
        uncached_tokens: u32,
    },
}

impl PromptSlice {
    /// Returns the number of tokens that the engine has to prefill.
    pub(crate) const fn uncached_tokens(self) -> u32 {
        match self {
            Self::Whole { uncached_tokens }
            | Self::Part {
                uncached_tokens, ..
            } => uncached_tokens,
        }
    }

    /// Returns how much of an item's prompt may be sent, if the engine has cached its
    /// first `cached_tokens` tokens. Returns `None` if the budget is too small.
    pub(crate) fn choose(
        request: &ItemRequest,
        cached_tokens: u32,
        budget: PromptBudget,
    ) -> Option<Self> {
        let tokens = prompt_tokens(request);
        let uncached_tokens = tokens.saturating_sub(cached_tokens);
        if uncached_tokens <= budget.prompt_tokens {
            return Some(Self::Whole { uncached_tokens });
        }
        let leading_tokens = cached_tokens + budget.prompt_tokens;
        if budget.prompt_tokens >= PART_MIN_TOKENS && prefix_end(request, leading_tokens).is_some()
        {
            return Some(Self::Part {
                leading_tokens,
                uncached_tokens: budget.prompt_tokens,
            });
        }
        budget.may_exceed.then_some(Self::Whole { uncached_tokens })
    }
}

/// Returns an estimate of the number of tokens of an item's prompt.
pub(crate) fn prompt_tokens(request: &ItemRequest) -> u32 {
    let chars = request.body.get("messages").map_or(0, string_bytes);
    u32::try_from(chars / CHARS_PER_TOKEN).unwrap_or(u32::MAX)
}

/// Returns the messages of a prompt, truncated to about `leading_tokens` tokens.
/// Returns `None` if the last message is not a string or is too short to be truncated
/// that far.
pub(crate) fn prefix(request: &ItemRequest, leading_tokens: u32) -> Option<Value> {
    let end = prefix_end(request, leading_tokens)?;
    let mut messages = request.body.get("messages")?.clone();
    let content = messages.as_array_mut()?.last_mut()?.get_mut("content")?;
    *content = Value::from(&content.as_str()?[..end]);
    Some(messages)
}

/// Returns the length of the last message after this truncation, in bytes.
fn prefix_end(request: &ItemRequest, leading_tokens: u32) -> Option<usize> {
    let messages = request.body.get("messages")?;
    let kept_bytes = usize::try_from(leading_tokens).ok()? * CHARS_PER_TOKEN;
    let drop_bytes = string_bytes(messages).checked_sub(kept_bytes)?;
    let text = messages.as_array()?.last()?.get("content")?.as_str()?;
    let end = text.len().checked_sub(drop_bytes)?;
    (end > 0).then(|| text.floor_char_boundary(end))
}

/// Returns the total length of all strings in a value, in bytes.
fn string_bytes(value: &Value) -> usize {
    match value {
        Value::String(text) => text.len(),
        Value::Array(values) => values.iter().map(string_bytes).sum(),
        Value::Object(fields) => fields.values().map(string_bytes).sum(),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}
