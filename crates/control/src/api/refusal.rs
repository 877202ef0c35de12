//! Error responses of the operators' API.

use model::{ConfigProblem, ErrorKind, RetryAdvice};
use salvo::{Response, handler, http::StatusCode, writing::Json};
use serde::Serialize;

use crate::{AuditRecord, config_store::ApplyError};

/// Refusal of a call, rendered as an error response.
#[derive(Debug)]
pub(crate) struct Refusal {
    kind: ErrorKind,
    message: String,
    problems: Vec<Problem>,
    winner: Option<Box<AuditRecord>>,
    operation: Option<String>,
}

#[derive(Debug, Serialize)]
struct ErrorBody {
    error: ErrorDetails,
}

#[derive(Debug, Serialize)]
struct ErrorDetails {
    code: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    problems: Vec<Problem>,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<Box<AuditRecord>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    operation: Option<String>,
}

#[derive(Debug, Serialize)]
struct Problem {
    line: usize,
    message: String,
}

impl Refusal {
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            problems: Vec::new(),
            winner: None,
            operation: None,
        }
    }

    /// Refuses a configuration document because of the problems found in it.
    pub(crate) fn with_problems(problems: Vec<ConfigProblem>) -> Self {
        let mut refusal = Self::new(
            ErrorKind::InvalidRequest,
            "the configuration document is invalid",
        );
        refusal.problems = problems
            .into_iter()
            .map(|problem| Problem {
                line: problem.line,
                message: problem.message,
            })
            .collect();
        refusal
    }

    /// Adds the idempotency key of the call, so that the operator can repeat the
    /// call to learn its outcome.
    pub(crate) fn with_operation(mut self, operation: String) -> Self {
        self.operation = Some(operation);
        self
    }

    pub(crate) fn render(self, res: &mut Response) {
        let answer = self.kind.answer();
        res.status_code(
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        );
        if let RetryAdvice::AfterS(seconds) = answer.retry {
            // Digits are always a valid header value, so this cannot fail.
            let _ = res.add_header("retry-after", seconds.to_string(), true);
        }
        res.render(Json(ErrorBody {
            error: ErrorDetails {
                code: answer.code,
                message: self.message,
                problems: self.problems,
                winner: self.winner,
                operation: self.operation,
            },
        }));
    }
}

impl From<ApplyError> for Refusal {
    fn from(error: ApplyError) -> Self {
        let message = error.to_string();
        match error {
            ApplyError::Conflict { winner, .. } => {
                let mut refusal = Self::new(ErrorKind::ConfigConflict, message);
                refusal.winner = winner;
                refusal
            }
            ApplyError::Unavailable(_) => Self::new(ErrorKind::PlatformUnavailable, message),
            ApplyError::Unknown(_) => Self::new(ErrorKind::OutcomeUnknown, message),
            ApplyError::Malformed(_) => Self::new(ErrorKind::Internal, message),
        }
    }
}

/// Responds to requests that no route handled.
#[handler]
pub(crate) fn refuse_unrouted(res: &mut Response) {
    let kind = match res.status_code {
        Some(StatusCode::METHOD_NOT_ALLOWED) => ErrorKind::MethodNotAllowed,
        Some(StatusCode::PAYLOAD_TOO_LARGE) => ErrorKind::BodyTooLarge,
        Some(StatusCode::INTERNAL_SERVER_ERROR) => ErrorKind::Internal,
        _ => ErrorKind::NotFound,
    };
    Refusal::new(kind, "nothing is served at this path with this method").render(res);
}
