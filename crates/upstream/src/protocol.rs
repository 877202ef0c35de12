//! Messages of the engine protocol: `OpenAI` chat completions over HTTP with
//! server-sent events, plus streams, load reports and orders.

use model::ModelName;
use serde::{Deserialize, Serialize};

/// Paths of an engine.
pub mod paths {
    /// `POST` of a [`super::ChatRequest`].
    pub const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
    /// `GET /v1/streams/{id}?after=N` resumes a stream after token number N
    /// (404 once forgotten); `DELETE` cancels it (200, also when unknown).
    pub const STREAMS: &str = "/v1/streams/";
    /// `GET`; 200 with a [`super::LoadReport`].
    pub const LOAD: &str = "/load";
    /// `POST` of a [`super::Order`]; 200 with a [`super::OrderAnswer`],
    /// 409 when its fencing number is older than one seen.
    pub const ORDERS: &str = "/orders";
}

/// Header names of the engine protocol.
pub mod headers {
    /// Request: identifies one attempt. The answer's stream id equals it.
    pub const ATTEMPT: &str = "x-attempt-id";
    /// Answer: `no` when the engine refused without running.
    pub const RAN: &str = "x-ran";
    /// Answer: present when the engine is leaving.
    pub const LEAVING: &str = "x-leaving";
}

/// A chat completion request, in `OpenAI`'s form. Unknown fields pass through.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model to run.
    pub model: String,
    /// Conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether to answer by server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Limit of generated tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u32>,
    /// Tokens already produced elsewhere; generation goes on after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub continue_from_tokens: Vec<String>,
    /// Every other field.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text, or a list of parts in `OpenAI`'s form.
    pub content: serde_json::Value,
    /// Every other field.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// One server-sent event of a streamed answer. The stream ends with `[DONE]`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Number of the token, counted from one over the whole answer.
    pub token_index: u32,
    /// Text of the token; empty in the final chunk.
    pub text: String,
    /// `stop` or `length` in the final chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
    /// Counts, in the final chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated, those of an earlier part included.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// What an engine says of itself; it describes the engine some time ago.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Age of the figures, milliseconds.
    pub age_ms: u64,
    /// Sequences being decoded.
    pub running: u32,
    /// Prompt tokens admitted but not yet prefilled.
    pub waiting_prompt_tokens: u32,
    /// Models loaded, sorted.
    pub models: Vec<ModelName>,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Highest fencing number seen in an order.
    pub fence: u64,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Grows with each new issuer.
    pub fence: u64,
    /// Unique per order, so that a resend is recognised.
    pub order_id: String,
    /// What to do.
    pub action: OrderAction,
}

/// What an engine can be ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model's weights.
    Load {
        /// The model.
        model: ModelName,
    },
    /// Drop a model's weights.
    Unload {
        /// The model.
        model: ModelName,
    },
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Models loaded after the order, sorted.
    pub models: Vec<ModelName>,
    /// Highest fencing number seen.
    pub fence: u64,
}
