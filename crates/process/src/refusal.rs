//! Refusals of callers' requests: an error kind with what the caller is told.

use model::{Answer, ErrorKind, Ran, RetryAdvice};
use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
};
use serde::Serialize;

/// Header that says whether a refused request ran.
pub const RAN_HEADER: &str = "redwingtack-ran";
/// Header by which `OpenAI`'s clients are told not to resend.
const SHOULD_RETRY_HEADER: &str = "x-should-retry";

/// Why a request is not answered.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Kind, which decides status, code and headers.
    pub kind: ErrorKind,
    /// Text for the caller.
    pub message: String,
    /// Parameter of the request that is at fault.
    pub param: Option<&'static str>,
    /// When to come back, if known better than by the table.
    pub retry: Option<RetryAdvice>,
    /// Whether the request ran, if known better than the table.
    pub ran: Option<Ran>,
}

impl Refusal {
    /// Refuses with the table's answer.
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

    /// Names the parameter at fault.
    #[must_use]
    pub fn with_param(mut self, param: &'static str) -> Self {
        self.param = Some(param);
        self
    }

    /// Sets when to come back.
    #[must_use]
    pub fn with_retry(mut self, retry: RetryAdvice) -> Self {
        self.retry = Some(retry);
        self
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = Some(ran);
        self
    }

    /// Whether the request ran.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.ran.unwrap_or(self.kind.answer().ran)
    }

    /// When to come back, seconds, if that helps.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u32> {
        match self.retry.unwrap_or(self.kind.answer().retry) {
            RetryAdvice::AfterS(seconds) => Some(seconds),
            RetryAdvice::Never => None,
        }
    }

    /// The error object of the body.
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

    /// Writes status, headers and body.
    pub fn render(&self, res: &mut Response) {
        let answer = self.kind.answer();
        res.status_code(status(&answer));
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

fn status(answer: &Answer) -> StatusCode {
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
