//! Parts of prompts, which requests may have in common.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifier of a part of a prompt. Parts with the same identifier have the same text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPartId(u64);

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: PromptPartId,
    /// Length of the part in tokens.
    pub tokens: u32,
}

impl PromptPartId {
    /// Creates an identifier from its number.
    #[must_use]
    pub fn new(id: u64) -> Self {
        Self(id)
    }

    /// Returns the number of the identifier.
    #[must_use]
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Returns the parts that other requests may share, sorted and each once: all but the
/// last one, which belongs to the request itself or to its session.
#[must_use]
pub fn shared_parts(prompt: &[PromptPart]) -> Vec<PromptPartId> {
    let shared = prompt.len().saturating_sub(1);
    let mut ids: Vec<_> = prompt[..shared].iter().map(|part| part.id).collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}
