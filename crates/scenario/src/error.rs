//! Errors of parsing and running scenarios.

use thiserror::Error;

/// A line of a scenario that is not a valid command.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}: {message}")]
pub struct ParseError {
    /// Line number, counted from one.
    pub line: usize,
    /// Which part of the line is invalid, and what is expected where known.
    pub message: String,
}

/// Why a scenario failed.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The script could not be parsed.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// A command failed or found something other than the scenario expects.
    #[error("line {line}: {message}")]
    Command {
        /// Line number of the command, counted from one; zero if the scenario
        /// could not be set up.
        line: usize,
        /// The expected and the actual result, then the last lines of all logs.
        message: String,
    },
}
