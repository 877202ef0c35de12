//! Messages of the engine protocol: `OpenAI` chat completions over HTTP with
//! server-sent events, extended by resumable streams, load reports and orders.

use model::ModelName;
use serde::{Deserialize, Serialize};

/// URL paths of an engine.
pub mod paths {
    /// `POST` a [`super::ChatRequest`]. The response is a stream of
    /// [`super::ChatChunk`]s.
    pub const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
    /// `GET /v1/streams/{id}?after=N` resumes a stream after the token with index
    /// N, or responds with 404 if the engine no longer keeps the stream. `DELETE`
    /// cancels the stream and responds with 200 even if it is unknown.
    pub const STREAMS: &str = "/v1/streams/";
    /// `GET` responds with 200 and a [`super::LoadReport`].
    pub const LOAD: &str = "/load";
    /// `POST` a [`super::Order`]. Responds with 200 and a
    /// [`super::OrderAnswer`], or with 409 if the fencing token of the order is
    /// lower than one that the engine has seen.
    pub const ORDERS: &str = "/orders";
}

/// Header names of the engine protocol.
pub mod headers {
    /// In a request: id of the attempt, which becomes the id of the stream. In a
    /// response: id of the attempt that the response belongs to.
    pub const ATTEMPT: &str = "x-attempt-id";
    /// In a response: `no` if the engine refused the request without running it.
    pub const RAN: &str = "x-ran";
    /// In a response: present if the engine is leaving the fleet.
    pub const LEAVING: &str = "x-leaving";
}

/// Chat completion request in `OpenAI`'s format. Unknown fields are forwarded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model to run.
    pub model: String,
    /// Conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of generated tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Name of `max_tokens` in newer versions of `OpenAI`'s API.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u32>,
    /// Tokens that an earlier attempt already generated. Generation continues
    /// after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub continue_from_tokens: Vec<String>,
    /// Every other field.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// Message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author of the message: `system`, `user` or `assistant`.
    pub role: String,
    /// String, or an array of content parts in `OpenAI`'s format.
    pub content: serde_json::Value,
    /// Every other field.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// One server-sent event of a streamed response. The stream ends with `[DONE]`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Index of the token, counted from one over the whole completion, including
    /// tokens that an earlier attempt generated.
    pub token_index: u32,
    /// Text of the token. Empty in the final chunk.
    pub text: String,
    /// `stop` or `length` in the final chunk, absent otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
    /// Token counts in the final chunk, absent otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Token counts of a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens, including those of earlier attempts.
    pub completion_tokens: u32,
    /// Sum of prompt and completion tokens.
    pub total_tokens: u32,
    /// Number of prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// Load report of an engine. It describes the state of the engine
/// [`LoadReport::age_ms`] ago.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Number of sequences being decoded.
    pub running: u32,
    /// Number of prompt tokens admitted but not yet prefilled.
    pub waiting_prompt_tokens: u32,
    /// Loaded models, sorted.
    pub models: Vec<ModelName>,
    /// Whether the engine is leaving the fleet.
    pub leaving: bool,
    /// Highest fencing token seen in an order.
    pub fence: u64,
}

/// Order to an engine to load or unload a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token, which increases with each new issuer.
    pub fence: u64,
    /// Unique id of the order, by which the engine recognizes a resent order.
    pub order_id: String,
    /// Action to perform.
    pub action: OrderAction,
}

/// Action of an [`Order`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads the weights of a model.
    Load {
        /// Model to load.
        model: ModelName,
    },
    /// Unloads the weights of a model.
    Unload {
        /// Model to unload.
        model: ModelName,
    },
}

/// Response to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Models that are loaded after the order, sorted.
    pub models: Vec<ModelName>,
    /// Highest fencing token that the engine has seen.
    pub fence: u64,
}
