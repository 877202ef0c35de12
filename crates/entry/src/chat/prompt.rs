//! Properties of a prompt that routing depends on.

use model::ModelName;
use serde_json::Value;
use upstream::ChatRequest;

/// Bytes per token that the estimate of a prompt's tokens assumes.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of leading bytes of a prompt that are hashed for prefix
/// affinity.
const PREFIX_MAX_BYTES: usize = 4_096;

/// Size of a prompt and hashes of its prefix.
#[derive(Debug, Clone)]
pub(crate) struct Prompt {
    /// Model that the prompt is for.
    pub(crate) model: ModelName,
    /// Estimated number of tokens.
    pub(crate) tokens: u32,
    /// Length of the roles and contents, in bytes.
    pub(crate) bytes: u64,
    /// Hashes of the leading blocks.
    pub(crate) prefix_hashes: Vec<u64>,
}

impl Prompt {
    pub(crate) fn new(request: &ChatRequest) -> Self {
        let mut prefix = Vec::new();
        let mut total_bytes = 0;
        for message in &request.messages {
            add_text(&message.role, &mut prefix, &mut total_bytes);
            match &message.content {
                Value::String(text) => add_text(text, &mut prefix, &mut total_bytes),
                content => add_text(&content.to_string(), &mut prefix, &mut total_bytes),
            }
        }
        Self {
            model: ModelName::new(&request.model),
            tokens: u32::try_from(total_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
            bytes: u64::try_from(total_bytes).unwrap_or(u64::MAX),
            prefix_hashes: policy::prefix_hashes(&prefix),
        }
    }
}

fn add_text(text: &str, prefix: &mut Vec<u8>, total_bytes: &mut usize) {
    let remaining_bytes = PREFIX_MAX_BYTES.saturating_sub(prefix.len());
    let taken_bytes = remaining_bytes.min(text.len());
    prefix.extend_from_slice(&text.as_bytes()[..taken_bytes]);
    *total_bytes += text.len();
}
