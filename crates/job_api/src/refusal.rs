//! Refusals of the job routes, which also come from the job store and from the
//! checks of input.

use job_store::StoreError;
use jobs::InputError;
use model::ErrorKind;
use salvo::Response;

/// Why a request is not answered.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error(transparent)]
pub struct Refusal(process::Refusal);

impl Refusal {
    /// Refuses with the table's answer.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self(process::Refusal::new(kind, message))
    }

    /// A malformed parameter.
    #[must_use]
    pub fn invalid_param(param: &'static str, message: impl Into<String>) -> Self {
        Self::new(ErrorKind::InvalidRequest, message).with_param(param)
    }

    /// Names the parameter at fault.
    #[must_use]
    pub fn with_param(self, param: &'static str) -> Self {
        Self(self.0.with_param(param))
    }

    /// Kind, which decides status, code and headers.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.0.kind
    }

    /// Writes status, headers and body.
    pub fn render(&self, res: &mut Response) {
        self.0.render(res);
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
