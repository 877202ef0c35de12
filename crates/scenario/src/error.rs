//! Failures of scenarios.

use thiserror::Error;

/// A line that is not a command.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}: {message}")]
pub struct ParseError {
    /// Line, counted from one.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

/// Why a scenario failed.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The script could not be read.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// A command failed or an expectation did not hold.
    #[error("line {line}: {message}")]
    Command {
        /// Line of the command, counted from one.
        line: usize,
        /// What was expected and what was seen.
        message: String,
    },
}
