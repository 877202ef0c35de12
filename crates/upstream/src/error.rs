//! Failures of upstream calls.

use model::{ErrorKind, Ran};
use thiserror::Error;

/// Why an upstream call failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}: {message}", kind.answer().code)]
pub struct UpstreamError {
    /// Class of the failure; tells whether the request ran.
    pub kind: ErrorKind,
    /// What was seen.
    pub message: String,
    /// HTTP status, if the upstream answered.
    pub status: Option<u16>,
    /// When the upstream asks to come back, seconds.
    pub retry_after_s: Option<u32>,
    /// Whether the upstream said that it is leaving.
    pub is_leaving: bool,
    /// Whether the answer belonged to another attempt and was dropped.
    pub is_attempt_mismatch: bool,
}

impl UpstreamError {
    /// A failure without an answer from the upstream.
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

    /// Whether the request ran at the upstream.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.kind.answer().ran
    }
}
