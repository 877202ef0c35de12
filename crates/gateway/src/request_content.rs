//! What of a request may crash an upstream: its content as a whole, or a part that its
//! prompt shares with other requests.

use std::fmt;

use model::PromptPartId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::upstream_table::WorkKind;

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

    /// Returns the number of the fingerprint.
    pub(crate) fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What may be the cause of crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashCause {
    /// A request as a whole, whenever it is sent.
    Request(RequestFingerprint),
    /// A part of prompts, whatever else the requests with it hold.
    Part(PromptPartId),
}

impl CrashCause {
    /// Returns the number of the fingerprint or part.
    pub(crate) fn as_u64(self) -> u64 {
        match self {
            Self::Request(fingerprint) => fingerprint.0,
            Self::Part(part) => part.as_u64(),
        }
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "fingerprint={fingerprint}"),
            Self::Part(part) => write!(f, "part={part}"),
        }
    }
}

/// Content of a request that is sent to upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestContent {
    /// Fingerprint of the whole request.
    pub fingerprint: RequestFingerprint,
    /// Parts of the prompt that other requests may share, sorted.
    pub shared_parts: Vec<PromptPartId>,
}

impl RequestContent {
    /// Returns the parts of the prompt as possible causes of a crash.
    pub(crate) fn part_causes(&self) -> impl Iterator<Item = CrashCause> {
        self.shared_parts.iter().copied().map(CrashCause::Part)
    }

    /// Returns everything of the request that may be the cause of a crash. An item of a job
    /// never is as a whole.
    pub(crate) fn causes(&self, kind: WorkKind) -> impl Iterator<Item = CrashCause> {
        let whole = match kind {
            WorkKind::Online => Some(CrashCause::Request(self.fingerprint)),
            WorkKind::Batch => None,
        };
        whole.into_iter().chain(self.part_causes())
    }
}
