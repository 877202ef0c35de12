//! The parts of a prompt, each identified together with all parts before it.

use model::PromptPart;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of parts of a prompt that are told apart. Callers name the parts, and each
/// costs time.
const PARTS_MAX: usize = 32;

/// Identifies a part of a prompt with all parts before it. An upstream can use a kept part
/// only after the same beginning.
pub(crate) type ChainHash = u64;

/// A part of a prompt with the identity of all parts up to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ChainedPart {
    pub(crate) hash: ChainHash,
    pub(crate) tokens: u32,
}

/// The parts of one prompt in order; empty if the request names none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct PromptChain {
    parts: Vec<ChainedPart>,
}

impl PromptChain {
    pub(crate) fn new(prompt: &[PromptPart]) -> Self {
        let mut hash = 0;
        let chained = prompt.iter().take(PARTS_MAX).map(|part| {
            hash = xxh3_64_with_seed(&part.id.as_u64().to_le_bytes(), hash);
            ChainedPart {
                hash,
                tokens: part.tokens,
            }
        });
        Self {
            parts: chained.collect(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns all parts in order.
    pub(crate) fn parts(&self) -> &[ChainedPart] {
        &self.parts
    }

    /// Returns the parts that other requests may share: all but the last one, which belongs
    /// to the request itself or to its session.
    pub(crate) fn shared(&self) -> &[ChainedPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Returns the part that belongs to the request itself or to its session.
    pub(crate) fn own(&self) -> Option<ChainedPart> {
        self.parts.last().copied()
    }

    /// Returns the length of the prompt in tokens.
    pub(crate) fn tokens(&self) -> u32 {
        token_sum(&self.parts)
    }
}

/// Returns the length of parts in tokens. Callers name the lengths, so the sum may be any.
pub(crate) fn token_sum(parts: &[ChainedPart]) -> u32 {
    let tokens = parts.iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add)
}
