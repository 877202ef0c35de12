//! The prompts of the last requests of this instance: how large a share of the requests has
//! a part, and whether the own part of a session has come before.

use std::collections::VecDeque;

use crate::prompt_chain::{ChainHash, PromptChain};

/// Number of parts that are remembered.
const PARTS_MAX: usize = 512;

/// Parts of the last prompts, oldest first.
#[derive(Debug, Default, Clone)]
pub(crate) struct RecentPrompts {
    parts: VecDeque<RecentPart>,
    /// Number of prompts in `parts`.
    prompt_count: u32,
}

#[derive(Debug, Clone, Copy)]
struct RecentPart {
    hash: ChainHash,
    is_last: bool,
}

impl RecentPrompts {
    /// Records the prompt of a request.
    pub(crate) fn record(&mut self, prompt: &PromptChain) {
        let count = prompt.parts().len();
        for (index, part) in prompt.parts().iter().enumerate() {
            let is_last = index + 1 == count;
            self.prompt_count += u32::from(is_last);
            self.parts.push_back(RecentPart {
                hash: part.hash,
                is_last,
            });
        }
        while self.parts.len() > PARTS_MAX {
            let oldest = self.parts.pop_front();
            self.prompt_count -= u32::from(oldest.is_some_and(|part| part.is_last));
        }
    }

    /// Returns the share of the requests that have a part, between 0 and 1.
    pub(crate) fn share(&self, hash: ChainHash) -> f64 {
        let with_part = self.parts.iter().filter(|part| part.hash == hash).count();
        let with_part = u32::try_from(with_part).unwrap_or(u32::MAX);
        f64::from(with_part) / f64::from(self.prompt_count.max(1))
    }

    /// Returns whether a request had a part.
    pub(crate) fn contains(&self, hash: ChainHash) -> bool {
        self.parts.iter().any(|part| part.hash == hash)
    }
}
