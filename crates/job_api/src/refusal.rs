//! Refusals of the job routes, with conversions from errors of the job store and
//! of input validation.

use job_store::StoreError;
use jobs::InputError;
use model::ErrorKind;
use salvo::Response;

/// Why a request is refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error(transparent)]
pub struct Refusal(process::Refusal);

impl Refusal {
    /// Creates a refusal. `kind` selects the status, the error code and the headers.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self(process::Refusal::new(kind, message))
    }

    /// Creates a refusal because of an invalid parameter.
    #[must_use]
    pub fn invalid_param(param: &'static str, message: impl Into<String>) -> Self {
        Self::new(ErrorKind::InvalidRequest, message).with_param(param)
    }

    /// Sets the name of the parameter that caused the refusal.
    #[must_use]
    pub fn with_param(self, param: &'static str) -> Self {
        Self(self.0.with_param(param))
    }

    /// Returns the kind, which selects the status, the error code and the headers.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.0.kind
    }

    /// Writes status, headers and body to `res`.
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
