//! One line of a log.

use chrono::DateTime;

/// Start of the text of a line, whatever a collector put before it.
const TIME_KEY: &str = "time=";

/// A line of `key=value` pairs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LogLine {
    /// Process that wrote it: the word before the text, or the file's name.
    pub(super) source: String,
    /// Time on the clock of that process, Unix milliseconds.
    pub(super) at_ms: i64,
    /// What follows the time.
    pub(super) text: String,
}

impl LogLine {
    /// Parses a line of a file named `file`; `None` if it is of another kind.
    pub(super) fn parse(file: &str, line: &str) -> Option<Self> {
        let start = line.find(TIME_KEY)?;
        let (before, text) = line.split_at(start);
        let (time, text) = text[TIME_KEY.len()..].split_once(' ')?;
        let source = before.split_whitespace().last().unwrap_or(file);
        Some(Self {
            source: source.to_owned(),
            at_ms: unix_ms(time)?,
            text: text.trim_end().to_owned(),
        })
    }

    /// Value of a key.
    pub(super) fn value(&self, key: &str) -> Option<&str> {
        self.text
            .split(' ')
            .filter_map(|word| word.split_once('='))
            .find(|(name, _)| *name == key)
            .map(|(_, value)| value)
    }

    /// Whether the line is about the request, job or item.
    pub(super) fn mentions(&self, id: &str) -> bool {
        ["request", "job", "item"]
            .iter()
            .any(|key| self.value(key) == Some(id))
    }

    /// Whether the line is about the start or end of its process.
    pub(super) fn is_about_the_process(&self) -> bool {
        matches!(
            self.value("event"),
            Some("started" | "stopping" | "stopped")
        )
    }

    /// Whether the line is about a job and none of its items.
    pub(super) fn is_about_whole_job(&self, job: &str) -> bool {
        self.value("job") == Some(job) && self.value("item").is_none()
    }
}

/// Reads `2026-10-09T15:30:01.008+00:00`.
fn unix_ms(time: &str) -> Option<i64> {
    let time = DateTime::parse_from_rfc3339(time).ok()?;
    Some(time.timestamp_millis())
}
