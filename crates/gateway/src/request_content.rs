//! What of a request may crash an upstream: its content as a whole, or a part that its
//! prompt shares with other requests.

use std::fmt;

use model::PromptPartId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Fingerprint of the content of a request. Attempts of callers that send the same request
/// again have the same fingerprint, although their ids, deadlines and positions in a stream
/// differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Creates the fingerprint of a request to `host` for a path with its query. Instances
    /// agree on it, however the body was transferred.
    #[must_use]
    pub fn new(method: &str, host: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for field in [
            method.as_bytes(),
            host.as_bytes(),
            path_and_query.as_bytes(),
            body,
        ] {
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest())
    }

    /// Creates a fingerprint from its number.
    #[must_use]
    pub fn from_u64(fingerprint: u64) -> Self {
        Self(fingerprint)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Content of a request that is sent to upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestContent {
    /// Fingerprint of the whole request.
    pub fingerprint: RequestFingerprint,
    /// Parts of the prompt that other requests may share, sorted.
    pub shared_parts: Vec<PromptPartId>,
}
