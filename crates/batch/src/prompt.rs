//! Lengths of prompts, and prompts cut to their leading tokens.
//!
//! An engine prefills a prompt in one step or few, and every sequence in those
//! steps waits. A long prompt is therefore sent in parts: its leading tokens
//! first, with an output limit of one token, so that the engine's prefix cache
//! holds them when more of it is sent.

use jobs::ItemRequest;
use serde_json::Value;

/// Characters of a prompt that make about one token.
const CHARS_PER_TOKEN: usize = 4;
/// Fewest prompt tokens of a part.
const PART_MIN_TOKENS: u32 = 64;

/// How much of a prompt may be sent now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PromptBudget {
    /// Uncached prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Whether a prompt that cannot be cut may exceed that number.
    pub(crate) may_exceed: bool,
}

/// What of a prompt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromptSlice {
    /// All of it; `uncached_tokens` of it are new to the engine.
    Whole {
        /// Tokens to prefill.
        uncached_tokens: u32,
    },
    /// Its leading tokens.
    Part {
        /// Length of the part, tokens.
        leading_tokens: u32,
        /// Tokens to prefill.
        uncached_tokens: u32,
    },
}

impl PromptSlice {
    /// Tokens to prefill.
    pub(crate) const fn uncached_tokens(self) -> u32 {
        match self {
            Self::Whole { uncached_tokens }
            | Self::Part {
                uncached_tokens, ..
            } => uncached_tokens,
        }
    }

    /// What may be sent of an item's prompt of which the engine holds
    /// `warmed_tokens`; nothing if the allowance is too small.
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

/// A rough count of the tokens of a prompt.
pub(crate) fn prompt_tokens(request: &ItemRequest) -> u32 {
    let chars = request.body.get("messages").map_or(0, string_bytes);
    u32::try_from(chars / CHARS_PER_TOKEN).unwrap_or(u32::MAX)
}

/// The messages of a prompt cut to about its leading tokens; nothing if its
/// last message is not text or is too short to be cut that far.
pub(crate) fn prefix(request: &ItemRequest, leading_tokens: u32) -> Option<Value> {
    let end = prefix_end(request, leading_tokens)?;
    let mut messages = request.body.get("messages")?.clone();
    let content = messages.as_array_mut()?.last_mut()?.get_mut("content")?;
    *content = Value::from(&content.as_str()?[..end]);
    Some(messages)
}

/// Where the text of the last message ends in such a cut, bytes.
fn prefix_end(request: &ItemRequest, leading_tokens: u32) -> Option<usize> {
    let messages = request.body.get("messages")?;
    let kept_bytes = usize::try_from(leading_tokens).ok()? * CHARS_PER_TOKEN;
    let drop_bytes = string_bytes(messages).checked_sub(kept_bytes)?;
    let text = messages.as_array()?.last()?.get("content")?.as_str()?;
    let end = text.len().checked_sub(drop_bytes)?;
    (end > 0).then(|| text.floor_char_boundary(end))
}

/// Length of all texts in a value, bytes.
fn string_bytes(value: &Value) -> usize {
    match value {
        Value::String(text) => text.len(),
        Value::Array(values) => values.iter().map(string_bytes).sum(),
        Value::Object(fields) => fields.values().map(string_bytes).sum(),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}
