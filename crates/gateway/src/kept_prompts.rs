//! Which beginnings of prompts one incarnation of an upstream still keeps.
//!
//! Upstreams keep what they have read until their memory is full, and then drop what was
//! used least recently. What they keep is inferred from the requests that they answered: a
//! part is kept until other parts that were used after it fill the memory. Parts that may be
//! needed again are remembered one by one, of all others only their tokens are counted.

use crate::prompt_chain::{ChainHash, ChainedPart, PromptChain};

/// Share of an upstream's memory that is assumed to hold prompts. The rest holds generated
/// tokens, which are not counted.
const PROMPT_MEMORY_SHARE: f64 = 0.5;
/// Maximum number of parts that are remembered for one upstream.
const PARTS_MAX: usize = 256;

/// The parts of prompts that one incarnation of an upstream has read.
#[derive(Debug, Default, Clone)]
pub(crate) struct KeptPrompts {
    /// Sorted by hash.
    parts: Vec<KeptPart>,
    /// Number of prompts that were read.
    prompt_count: u64,
    /// Tokens of all parts that were read and are not remembered.
    other_tokens: f64,
    /// When the tokens of requests of peers were last added, milliseconds.
    updated_at_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct KeptPart {
    hash: ChainHash,
    tokens: u32,
    /// Number of the prompt that last used the part.
    used_by: u64,
    /// Value of `other_tokens` at that time.
    other_tokens: f64,
}

/// Memory of an upstream, as far as it is available to prompts that have been read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PromptMemory {
    /// Memory of the upstream in tokens.
    pub(crate) capacity_tokens: u64,
    /// Expected number of tokens of the requests that run there, which are not dropped.
    pub(crate) running_tokens: f64,
}

impl PromptMemory {
    fn available_tokens(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "memories are far below 2^52")]
        let capacity_tokens = self.capacity_tokens as f64;
        capacity_tokens * PROMPT_MEMORY_SHARE - self.running_tokens
    }
}

impl KeptPrompts {
    /// Returns the number of leading parts that are still kept.
    pub(crate) fn kept_parts(&self, prompt: &PromptChain, memory: PromptMemory) -> usize {
        let parts = prompt.parts().iter();
        parts
            .take_while(|part| self.keeps(part.hash, memory))
            .count()
    }

    /// Adds the tokens that peers are expected to have sent since the last update.
    pub(crate) fn record_peer_tokens(&mut self, tokens: f64, now_ms: u64) {
        self.other_tokens += tokens;
        self.updated_at_ms = now_ms;
    }

    /// Returns the time since the last update, milliseconds.
    pub(crate) fn since_update_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.updated_at_ms)
    }

    /// Records that the upstream has read a prompt. `remembered` are the leading parts that
    /// may be needed again.
    pub(crate) fn record_read(&mut self, prompt: &PromptChain, remembered: &[ChainedPart]) {
        let others = &prompt.parts()[remembered.len()..];
        self.other_tokens += others
            .iter()
            .map(|part| f64::from(part.tokens))
            .sum::<f64>();
        self.prompt_count += 1;
        for part in remembered {
            let kept = KeptPart {
                hash: part.hash,
                tokens: part.tokens,
                used_by: self.prompt_count,
                other_tokens: self.other_tokens,
            };
            match self.find(part.hash) {
                Ok(index) => self.parts[index] = kept,
                Err(index) => self.parts.insert(index, kept),
            }
        }
        if self.parts.len() > PARTS_MAX {
            self.forget_oldest_half();
        }
    }

    fn keeps(&self, hash: ChainHash, memory: PromptMemory) -> bool {
        let Ok(index) = self.find(hash) else {
            return false;
        };
        let part = self.parts[index];
        let used_later = self
            .parts
            .iter()
            .filter(|other| other.used_by > part.used_by);
        let later_tokens: f64 = used_later.map(|other| f64::from(other.tokens)).sum();
        let other_tokens = self.other_tokens - part.other_tokens;
        f64::from(part.tokens) + later_tokens + other_tokens <= memory.available_tokens()
    }

    fn find(&self, hash: ChainHash) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&hash, |part| part.hash)
    }

    fn forget_oldest_half(&mut self) {
        let mut uses: Vec<_> = self.parts.iter().map(|part| part.used_by).collect();
        let (_, median, _) = uses.select_nth_unstable(PARTS_MAX / 2);
        let median = *median;
        self.parts.retain(|part| part.used_by > median);
    }
}
