//! Structured logs: one line of `key=value` pairs per event.

use std::{fmt, io::Write};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record};

/// Starts logging to standard error. `level` is a log specification of
/// `flexi_logger`, such as `info`. The returned handle must be kept alive
/// until the program ends.
///
/// # Errors
///
/// Returns an error if `level` cannot be parsed or a logger is already
/// installed.
pub fn init_logs(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .log_to_stderr()
        .format(write_line)
        .start()
}

/// Formats the value of a log key. A value that is empty or contains
/// whitespace, double quotes, equals signs or backslashes is quoted.
#[must_use]
pub fn quote(value: &impl fmt::Display) -> String {
    let text = value.to_string();
    let is_unquoted = |c: char| !c.is_whitespace() && !matches!(c, '"' | '=' | '\\');
    if !text.is_empty() && text.chars().all(is_unquoted) {
        text
    } else {
        format!("{text:?}")
    }
}

/// Writes one log line without a newline. The message of a record is already
/// of the form `event=… key=value …`; the time and the level are prepended.
pub(crate) fn write_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format_rfc3339();
    let level = record.level().as_str().to_lowercase();
    write!(out, "time={time} level={level} {}", record.args())
}
