//! Notices about online work at upstreams, sent between programs.

use serde::{Deserialize, Serialize};

use crate::UpstreamId;

/// Online work that an entry program sent to one upstream since its previous
/// notice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DispatchNotice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Number of prompt tokens sent that the prefix cache of the upstream is not
    /// expected to hold.
    pub uncached_prompt_tokens: u32,
    /// Number of requests sent.
    pub started_requests: u32,
    /// Number of requests that ended.
    pub ended_requests: u32,
    /// Longest time to first token measured since the previous notice,
    /// microseconds.
    pub first_token_us: u32,
    /// Longest time between two successive tokens measured since the previous
    /// notice, microseconds.
    pub between_tokens_us: u32,
}
