//! Errors of calls to upstreams.

use model::{ErrorKind, Ran};
use thiserror::Error;

/// Why an upstream call failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}: {message}", kind.answer().code)]
pub struct UpstreamError {
    /// Kind of the failure. It determines whether the request ran.
    pub kind: ErrorKind,
    /// Description of the failure, for logs.
    pub message: String,
    /// HTTP status, if the upstream responded.
    pub status: Option<u16>,
    /// Delay after which the upstream asks for a retry, in seconds.
    pub retry_after_s: Option<u32>,
    /// Whether the upstream announced that it is leaving the fleet.
    pub is_leaving: bool,
    /// Whether the response carried the id of another attempt and was dropped.
    pub is_attempt_mismatch: bool,
}

impl UpstreamError {
    /// Creates an error of a call that received no response from the upstream.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            status: None,
            retry_after_s: None,
            is_leaving: false,
            is_attempt_mismatch: false,
        }
    }

    /// Returns whether the request ran at the upstream.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.kind.answer().ran
    }
}
