//! Refusals of callers' requests: an error kind and the response that reports
//! it.

use model::{Answer, ErrorKind, Ran, RetryAdvice};
use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
};
use serde::Serialize;

/// Response header that tells whether a refused request ran at an upstream.
pub const RAN_HEADER: &str = "redwingtack-ran";
/// Response header that tells `OpenAI`'s client libraries not to retry.
const SHOULD_RETRY_HEADER: &str = "x-should-retry";

/// Reason for refusing a request, with the content of the error response.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Error kind. It determines the status, the error code and the default
    /// headers through [`ErrorKind::answer`].
    pub kind: ErrorKind,
    /// Message for the caller.
    pub message: String,
    /// Request parameter that is invalid.
    pub param: Option<&'static str>,
    /// When to retry, if known more accurately than in [`ErrorKind::answer`].
    pub retry: Option<RetryAdvice>,
    /// Whether the request ran, if known more accurately than in
    /// [`ErrorKind::answer`].
    pub ran: Option<Ran>,
}

impl Refusal {
    /// Creates a refusal with the defaults of [`ErrorKind::answer`].
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            param: None,
            retry: None,
            ran: None,
        }
    }

    /// Sets the request parameter that is invalid.
    #[must_use]
    pub fn with_param(mut self, param: &'static str) -> Self {
        self.param = Some(param);
        self
    }

    /// Sets when to retry, overriding the default of the kind.
    #[must_use]
    pub fn with_retry(mut self, retry: RetryAdvice) -> Self {
        self.retry = Some(retry);
        self
    }

    /// Sets whether the request ran, overriding the default of the kind.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = Some(ran);
        self
    }

    /// Returns whether the request ran at an upstream.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.ran.unwrap_or(self.kind.answer().ran)
    }

    /// Returns the delay before a retry, in seconds, or `None` if a retry does
    /// not help.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u32> {
        match self.retry.unwrap_or(self.kind.answer().retry) {
            RetryAdvice::AfterS(seconds) => Some(seconds),
            RetryAdvice::Never => None,
        }
    }

    /// Returns the response body: a JSON error object in `OpenAI`'s format.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let answer = self.kind.answer();
        let body = ErrorBody {
            error: ErrorObject {
                message: &self.message,
                r#type: error_type(answer.status),
                param: self.param,
                code: answer.code,
            },
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Writes status, headers and body to `res`.
    pub fn render(&self, res: &mut Response) {
        let answer = self.kind.answer();
        res.status_code(status_code(&answer));
        let headers = res.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(RAN_HEADER, HeaderValue::from_static(self.ran().as_str()));
        if let Some(seconds) = self.retry_after_s() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        } else {
            headers.insert(SHOULD_RETRY_HEADER, HeaderValue::from_static("false"));
        }
        res.body(self.body());
    }
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorObject<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorObject<'a> {
    message: &'a str,
    r#type: &'static str,
    param: Option<&'static str>,
    code: &'static str,
}

fn status_code(answer: &Answer) -> StatusCode {
    StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..500 => "invalid_request_error",
        _ => "server_error",
    }
}
