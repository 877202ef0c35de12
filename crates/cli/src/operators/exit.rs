//! Exit codes of the operators' commands.

use std::process::ExitCode;

use super::client::CallError;

/// Explanation for `--help`.
pub const HELP: &str = "Exit codes: 0 done; 1 failed; 2 wrong flags or a document with mistakes; \
    3 another operator was faster; 4 the control program or the platform cannot be reached, \
    nothing was changed; 5 the outcome is not known, see `redwingtack audit`; 6 not found; \
    7 not yet in force on every node.";

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Everything was done.
    Done,
    /// Something unexpected happened.
    Failed,
    /// A flag or a document is wrong.
    WrongInput,
    /// Another operator replaced the version first.
    Conflict,
    /// Nobody could be reached, nothing was changed.
    Unreachable,
    /// A change may have been made.
    Unknown,
    /// There is no such thing.
    NotFound,
    /// Some node has not confirmed the version.
    NotInForce,
}

impl Exit {
    /// The exit that tells of `error`.
    pub fn of(error: &CallError) -> Self {
        match error {
            CallError::Unreachable(_) => Self::Unreachable,
            CallError::Lost(_) => Self::Unknown,
            CallError::Malformed(_) => Self::Failed,
            CallError::Refused { body } => match body["error"]["code"].as_str() {
                Some("invalid_request" | "body_too_large") => Self::WrongInput,
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
            Exit::WrongInput => 2,
            Exit::Conflict => 3,
            Exit::Unreachable => 4,
            Exit::Unknown => 5,
            Exit::NotFound => 6,
            Exit::NotInForce => 7,
        })
    }
}
