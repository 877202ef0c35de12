//! Parser of log lines.

use chrono::DateTime;

/// Start of the structured part of a line. A log collector may put a prefix
/// before it.
const TIME_KEY: &str = "time=";

/// Log line of `key=value` pairs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LogLine {
    /// Name of the process that wrote the line: the last word of the collector's
    /// prefix, or the name of the file if there is no prefix.
    pub(super) source: String,
    /// Time on the clock of the process, in Unix milliseconds.
    pub(super) at_ms: i64,
    /// Part of the line that follows the time.
    pub(super) text: String,
}

impl LogLine {
    /// Parses a line of a file named `file`. Returns `None` if it is not a log
    /// line.
    pub(super) fn parse(file: &str, line: &str) -> Option<Self> {
        let start = line.find(TIME_KEY)?;
        let (prefix, text) = line.split_at(start);
        let (time, text) = text[TIME_KEY.len()..].split_once(' ')?;
        let source = prefix.split_whitespace().last().unwrap_or(file);
        Some(Self {
            source: source.to_owned(),
            at_ms: unix_ms(time)?,
            text: text.trim_end().to_owned(),
        })
    }

    /// Returns the value of a key.
    pub(super) fn value(&self, key: &str) -> Option<&str> {
        self.text
            .split(' ')
            .filter_map(|word| word.split_once('='))
            .find(|(name, _)| *name == key)
            .map(|(_, value)| value)
    }

    /// Returns whether the line names `id` as its request, job or item, or as a fingerprint
    /// or a part of a prompt.
    pub(super) fn mentions(&self, id: &str) -> bool {
        let is_named = |key: &&str| self.value(key) == Some(id);
        ["request", "job", "item", "fingerprint", "part"]
            .iter()
            .any(is_named)
            || self
                .value("shared_parts")
                .is_some_and(|parts| parts.split(',').any(|part| part == id))
    }

    /// Returns whether the line is about the start or stop of its process.
    pub(super) fn is_process_lifecycle(&self) -> bool {
        matches!(
            self.value("event"),
            Some("started" | "stopping" | "stopped")
        )
    }

    /// Returns whether the line is about a job and not about one of its items.
    pub(super) fn is_about_job_only(&self, job: &str) -> bool {
        self.value("job") == Some(job) && self.value("item").is_none()
    }
}

/// Converts an RFC 3339 time such as `2026-10-09T15:30:01.008+00:00` to Unix
/// milliseconds.
fn unix_ms(time: &str) -> Option<i64> {
    let time = DateTime::parse_from_rfc3339(time).ok()?;
    Some(time.timestamp_millis())
}
