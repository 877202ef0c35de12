//! What an instance and the peer that makes an attempt for it tell each other, besides the
//! request and its answer. Each message is one header value: `bincode` in base64.

use base64::{Engine as _, engine::general_purpose::STANDARD_NO_PAD as BASE64};
use gateway::{AttemptEnd, RequestContent, WorkKind};
use http::{HeaderMap, HeaderName, HeaderValue};
use model::{InstanceId, UpstreamId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::codec;

/// Header of a request with its [`ProxiedAttempt`].
const ATTEMPT: HeaderName = HeaderName::from_static("x-redwingtack-attempt");
/// Header of a request with a [`PathQuery`].
const PATH_QUERY: HeaderName = HeaderName::from_static("x-redwingtack-path-query");
/// Header of an answer with an [`AttemptError`], if no upstream answered.
const ATTEMPT_ERROR: HeaderName = HeaderName::from_static("x-redwingtack-attempt-error");

/// Header of an answer of an upstream that has neither a length nor chunks and ends with its
/// connection. Between peers each answer has an end.
const UNDELIMITED: HeaderName = HeaderName::from_static("x-redwingtack-undelimited");

/// Marks an answer as undelimited, or removes what the upstream has sent under the name of the
/// mark.
pub(crate) fn mark_undelimited(headers: &mut HeaderMap, is_undelimited: bool) {
    headers.remove(UNDELIMITED);
    if is_undelimited {
        headers.insert(UNDELIMITED, HeaderValue::from_static("1"));
    }
}

/// Takes the mark out of the headers of an answer. Returns whether there was one.
pub(crate) fn take_undelimited_mark(headers: &mut HeaderMap) -> bool {
    headers.remove(UNDELIMITED).is_some()
}

/// An attempt that a peer makes. Times count from the arrival of the message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProxiedAttempt {
    /// The instance that has the caller or owns the item.
    pub(crate) sender: InstanceId,
    /// Id of the request, for logs.
    pub(crate) request_id: String,
    /// The upstream.
    pub(crate) upstream: UpstreamId,
    /// When its incarnation started, Unix milliseconds.
    pub(crate) started_unix_ms: u64,
    pub(crate) kind: WorkKind,
    pub(crate) content: RequestContent,
    /// Time left until the answer must be complete, milliseconds.
    pub(crate) time_left_ms: u64,
    /// Time left until the head of the answer must have arrived, milliseconds.
    pub(crate) head_time_left_ms: u64,
    pub(crate) resume_after: Option<u64>,
    pub(crate) is_retryable: bool,
}

/// Asks a peer to open a connection to an upstream. It answers with [`AttemptError`] if it
/// cannot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PathQuery {
    /// The upstream.
    pub(crate) upstream: UpstreamId,
    /// When its incarnation started, Unix milliseconds.
    pub(crate) started_unix_ms: u64,
}

/// Why an attempt has no answer of the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AttemptError {
    pub(crate) end: AttemptEnd,
    /// Reason for the log.
    pub(crate) reason: String,
}

impl ProxiedAttempt {
    pub(crate) fn insert_into(&self, headers: &mut HeaderMap) {
        headers.insert(ATTEMPT, encode(self));
    }

    /// Takes the message out of the headers of a request.
    pub(crate) fn remove_from(headers: &mut HeaderMap) -> Option<Self> {
        decode(&headers.remove(ATTEMPT)?)
    }
}

impl PathQuery {
    pub(crate) fn insert_into(&self, headers: &mut HeaderMap) {
        headers.insert(PATH_QUERY, encode(self));
    }

    pub(crate) fn find_in(headers: &HeaderMap) -> Option<Self> {
        decode(headers.get(PATH_QUERY)?)
    }
}

impl AttemptError {
    pub(crate) fn not_sent(reason: impl std::fmt::Display) -> Self {
        Self {
            end: AttemptEnd::NotSent,
            reason: reason.to_string(),
        }
    }

    pub(crate) fn insert_into(&self, headers: &mut HeaderMap) {
        headers.insert(ATTEMPT_ERROR, encode(self));
    }

    /// Returns the message in the headers of an answer, if it is not one of an upstream.
    pub(crate) fn find_in(headers: &HeaderMap) -> Option<Self> {
        decode(headers.get(ATTEMPT_ERROR)?)
    }

    /// Removes what an upstream may have sent under the name of the header.
    pub(crate) fn strip(headers: &mut HeaderMap) {
        headers.remove(ATTEMPT_ERROR);
    }
}

fn encode(message: &impl Serialize) -> HeaderValue {
    // Encoding into memory cannot fail.
    let bytes = codec::encode(message).unwrap_or_default();
    HeaderValue::from_str(&BASE64.encode(bytes)).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn decode<T: DeserializeOwned>(value: &HeaderValue) -> Option<T> {
    let bytes = BASE64.decode(value).ok()?;
    let (message, _) = codec::decode_message(&bytes).ok()?;
    Some(message)
}
