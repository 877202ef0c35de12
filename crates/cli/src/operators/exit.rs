//! Exit codes of the operators' commands.

use std::process::ExitCode;

use super::client::CallError;

/// Explanation of the exit codes in `--help`.
pub const HELP: &str = "Exit codes: 0 success; 1 unexpected failure; 2 invalid flags or an invalid document; \
    3 conflict with a change by another operator; 4 the control program or the platform \
    cannot be reached, nothing was changed; 5 the outcome is unknown, see `redwingtack audit`; \
    6 not found; 7 not yet in force on all nodes.";

/// Result of a command, which determines its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed for a reason without an exit code of its own.
    Failed,
    /// A flag or the configuration document is invalid.
    InvalidInput,
    /// Another operator changed the configuration since the version that the
    /// document replaces.
    Conflict,
    /// The control program or the platform could not be reached, and nothing was
    /// changed.
    Unreachable,
    /// The outcome is unknown: a change may have been made.
    Unknown,
    /// The requested resource does not exist.
    NotFound,
    /// At least one node has not confirmed the version, or a region cannot be
    /// reached.
    NotInForce,
}

impl Exit {
    /// Returns the exit that reports `error`.
    pub fn from_error(error: &CallError) -> Self {
        match error {
            CallError::Unreachable(_) => Self::Unreachable,
            CallError::Lost(_) => Self::Unknown,
            CallError::Malformed(_) => Self::Failed,
            CallError::Refused { body } => match body["error"]["code"].as_str() {
                Some("invalid_request" | "body_too_large") => Self::InvalidInput,
                Some("config_conflict") => Self::Conflict,
                Some("platform_unavailable" | "stopping" | "not_ready") => Self::Unreachable,
                Some("outcome_unknown") => Self::Unknown,
                Some("not_found") => Self::NotFound,
                _ => Self::Failed,
            },
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::InvalidInput => 2,
            Exit::Conflict => 3,
            Exit::Unreachable => 4,
            Exit::Unknown => 5,
            Exit::NotFound => 6,
            Exit::NotInForce => 7,
        })
    }
}
