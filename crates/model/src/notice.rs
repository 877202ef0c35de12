//! News about work at upstreams that programs pass among themselves.

use serde::{Deserialize, Serialize};

use crate::UpstreamId;

/// Online work that an entry sent to an upstream since its last notice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DispatchNotice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Prompt tokens sent that are not expected in its prefix cache.
    pub uncached_prompt_tokens: u32,
    /// Requests sent.
    pub started_requests: u32,
    /// Requests that ended.
    pub ended_requests: u32,
    /// Highest time to first token seen since the last notice, microseconds.
    pub first_token_us: u32,
    /// Highest time between tokens seen since the last notice, microseconds.
    pub between_tokens_us: u32,
}
