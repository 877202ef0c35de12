//! Structured logs: one line of key=value pairs per event.

use std::{fmt, io::Write};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record};

/// Starts logging to standard error. `level` is a `flexi_logger` specification
/// such as `info`. Keep the handle alive as long as the program runs.
///
/// # Errors
///
/// Returns an error if `level` cannot be parsed or a logger already runs.
pub fn init_logs(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .log_to_stderr()
        .format(write_line)
        .start()
}

/// Quotes a log value that holds blanks, quotes or equal signs.
#[must_use]
pub fn quote(value: &impl fmt::Display) -> String {
    let text = value.to_string();
    let plain = |c: char| !c.is_whitespace() && !matches!(c, '"' | '=' | '\\');
    if !text.is_empty() && text.chars().all(plain) {
        text
    } else {
        format!("{text:?}")
    }
}

/// Writes one line. Message texts are `event=… key=value …` already; this adds time and level.
pub(crate) fn write_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format_rfc3339();
    let level = record.level().as_str().to_lowercase();
    write!(out, "time={time} level={level} {}", record.args())
}
