//! Answers of the stand-in engine and the streams through which they are read.

use std::sync::Arc;

use tokio::{sync::watch, time::Instant};
use upstream::{ChatChunk, ChatRequest, Usage};

use crate::answer;

/// Answer to one request, which is fully known before it is generated.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) attempt_id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) tokens: Vec<String>,
    pub(crate) prompt_tokens: u32,
    pub(crate) cached_tokens: u32,
    pub(crate) finish_reason: &'static str,
    /// Index of the token after which the first stream of the prompt breaks.
    pub(crate) crash_after_token: Option<u32>,
}

/// Progress of generating an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) last_token_index: u32,
    pub(crate) is_cancelled: bool,
}

/// An answer that is being generated or can be read, and its readers.
#[derive(Debug)]
pub(crate) struct Stream {
    /// Id of the sequence in the simulated engine.
    pub(crate) id: u64,
    pub(crate) answer: Arc<Answer>,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) reader_count: u32,
    /// When the latest reader left, or when the stream was created.
    pub(crate) unread_since: Instant,
}

impl Answer {
    pub(crate) fn new(attempt_id: &str, request: &ChatRequest, block_tokens: u32) -> Self {
        let prompt = answer::prompt_text(request);
        let (prompt_tokens, _) = answer::prompt_blocks(&request.model, &prompt, block_tokens);
        let finish_reason = if answer::is_cut_by_limit(request) {
            "length"
        } else {
            "stop"
        };
        Self {
            attempt_id: attempt_id.to_owned(),
            model: request.model.clone(),
            tokens: answer::answer_tokens(request),
            prompt_tokens,
            cached_tokens: 0,
            finish_reason,
            crash_after_token: answer::marker_value(&prompt, "crash-after"),
            prompt,
        }
    }

    pub(crate) fn last_token_index(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns the chunk of a token, or the final chunk if `token_index` is beyond
    /// the last token.
    pub(crate) fn chunk(&self, token_index: u32) -> ChatChunk {
        let position = (token_index as usize).saturating_sub(1);
        match self.tokens.get(position) {
            Some(text) => ChatChunk {
                token_index,
                text: text.clone(),
                finish_reason: None,
                usage: None,
            },
            None => ChatChunk {
                token_index: self.last_token_index(),
                text: String::new(),
                finish_reason: Some(self.finish_reason.to_owned()),
                usage: Some(self.usage()),
            },
        }
    }

    pub(crate) fn usage(&self) -> Usage {
        let completion_tokens = self.last_token_index();
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens,
            total_tokens: self.prompt_tokens + completion_tokens,
            cached_tokens: self.cached_tokens,
        }
    }
}
