//! Serializes chat completions in `OpenAI`'s format, as one JSON object or as
//! server-sent events.

use bytes::{BufMut, Bytes, BytesMut};
use process::Refusal;
use serde::Serialize;
use upstream::Usage;

use crate::clock;

/// Event that ends a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
const CHUNK_OBJECT: &str = "chat.completion.chunk";

/// Serializes one completion. Holds the fields that all its events share.
#[derive(Debug, Clone)]
pub(crate) struct CompletionWriter {
    id: String,
    created_s: u64,
    model: String,
}

/// A completion as one JSON object.
#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Option<UsageObject>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    message: Message<'a>,
    logprobs: Option<()>,
    finish_reason: &'a str,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
    refusal: Option<()>,
}

/// One event of a streamed completion.
#[derive(Debug, Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: &'a [ChunkChoice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageObject>,
}

#[derive(Debug, Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    logprobs: Option<()>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Default, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct UsageObject {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Debug, Serialize)]
struct PromptTokensDetails {
    cached_tokens: u32,
}

impl CompletionWriter {
    pub(crate) fn new(id: String, model: &str) -> Self {
        Self {
            id,
            created_s: clock::unix_s(),
            model: model.to_owned(),
        }
    }

    /// Returns the whole completion as JSON.
    pub(crate) fn completion_json(
        &self,
        content: &str,
        finish_reason: &str,
        usage: Option<Usage>,
    ) -> Vec<u8> {
        let completion = Completion {
            id: &self.id,
            object: "chat.completion",
            created: self.created_s,
            model: &self.model,
            choices: [Choice {
                index: 0,
                message: Message {
                    role: "assistant",
                    content,
                    refusal: None,
                },
                logprobs: None,
                finish_reason,
            }],
            usage: usage.map(UsageObject::from),
        };
        serde_json::to_vec(&completion).unwrap_or_default()
    }

    /// Writes the first event, which contains the role.
    pub(crate) fn write_role(&self, out: &mut BytesMut) {
        let delta = Delta {
            role: Some("assistant"),
            content: Some(""),
        };
        self.write_choice(out, delta, None);
    }

    /// Writes an event with the text of one token.
    pub(crate) fn write_text(&self, out: &mut BytesMut, text: &str) {
        let delta = Delta {
            role: None,
            content: Some(text),
        };
        self.write_choice(out, delta, None);
    }

    /// Writes the event with the finish reason.
    pub(crate) fn write_finish(&self, out: &mut BytesMut, finish_reason: &str) {
        self.write_choice(out, Delta::default(), Some(finish_reason));
    }

    /// Writes the event with the token counts, whose array of choices is empty.
    pub(crate) fn write_usage(&self, out: &mut BytesMut, usage: Usage) {
        self.write_chunk(out, &[], Some(usage.into()));
    }

    fn write_choice(&self, out: &mut BytesMut, delta: Delta<'_>, finish_reason: Option<&str>) {
        let choice = ChunkChoice {
            index: 0,
            delta,
            logprobs: None,
            finish_reason,
        };
        self.write_chunk(out, &[choice], None);
    }

    fn write_chunk(
        &self,
        out: &mut BytesMut,
        choices: &[ChunkChoice<'_>],
        usage: Option<UsageObject>,
    ) {
        let chunk = Chunk {
            id: &self.id,
            object: CHUNK_OBJECT,
            created: self.created_s,
            model: &self.model,
            choices,
            usage,
        };
        out.put_slice(b"data: ");
        // Serialization cannot fail: the buffer grows as needed, and the keys of
        // these types are strings.
        let _ = serde_json::to_writer(out.writer(), &chunk);
        out.put_slice(b"\n\n");
    }
}

/// Writes the event that ends a complete stream.
pub(crate) fn write_done(out: &mut BytesMut) {
    out.put_slice(DONE_EVENT);
}

/// Returns the event that ends a stream which could not be completed.
pub(crate) fn error_event(refusal: &Refusal) -> Bytes {
    let mut out = BytesMut::new();
    out.put_slice(b"data: ");
    out.put_slice(&refusal.body());
    out.put_slice(b"\n\n");
    out.freeze()
}

impl From<Usage> for UsageObject {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.total_tokens,
            prompt_tokens_details: PromptTokensDetails {
                cached_tokens: usage.cached_tokens,
            },
        }
    }
}
