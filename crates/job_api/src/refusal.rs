//! Refusals: an error kind with what the caller is told.

use job_store::StoreError;
use jobs::InputError;
use model::{ErrorKind, RetryAdvice};
use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
};
use serde_json::json;

const RAN_HEADER: &str = "redwingtack-ran";
/// Header by which `OpenAI`'s clients are told not to resend.
const SHOULD_RETRY_HEADER: &str = "x-should-retry";

/// Why a request is not answered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Kind, which decides status, code and headers.
    pub kind: ErrorKind,
    /// Text for the caller.
    pub message: String,
    /// Parameter of the request that is at fault.
    pub param: Option<&'static str>,
}

impl Refusal {
    /// Refuses with the table's answer.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            param: None,
        }
    }

    /// A malformed parameter.
    #[must_use]
    pub fn invalid(param: &'static str, message: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::InvalidRequest,
            message: message.into(),
            param: Some(param),
        }
    }

    /// Names the parameter at fault.
    #[must_use]
    pub fn with_param(mut self, param: &'static str) -> Self {
        self.param = Some(param);
        self
    }

    /// Writes status, headers and body.
    pub fn render(&self, res: &mut Response) {
        let answer = self.kind.answer();
        let status = StatusCode::from_u16(answer.status);
        res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        let headers = res.headers_mut();
        headers.insert(RAN_HEADER, HeaderValue::from_static(answer.ran.as_str()));
        match answer.retry {
            RetryAdvice::AfterS(seconds) => {
                headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            }
            RetryAdvice::Never => {
                headers.insert(SHOULD_RETRY_HEADER, HeaderValue::from_static("false"));
            }
        }
        let body = json!({"error": {
            "message": self.message,
            "type": error_type(answer.status),
            "param": self.param,
            "code": answer.code,
        }});
        res.render(salvo::writing::Json(body));
    }
}

impl From<StoreError> for Refusal {
    fn from(error: StoreError) -> Self {
        Self::new(error.kind(), error.to_string())
    }
}

impl From<InputError> for Refusal {
    fn from(error: InputError) -> Self {
        Self::new(error.kind(), error.to_string()).with_param("file")
    }
}

fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..500 => "invalid_request_error",
        _ => "server_error",
    }
}
