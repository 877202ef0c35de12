//! One line of a log.

/// Start of the text of a line, whatever a collector put before it.
const TIME_KEY: &str = "time=";
const MS_PER_S: i64 = 1_000;
const S_PER_DAY: i64 = 86_400;

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

/// Reads `2026-10-09T15:30:01.008+00:00`; the logs are always in UTC.
fn unix_ms(time: &str) -> Option<i64> {
    let (date, clock) = time.split_once('T')?;
    let mut date = date.split('-').map(str::parse::<i64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let clock = clock.split(['+', 'Z']).next()?;
    let (seconds, fraction) = clock.split_once('.').unwrap_or((clock, "0"));
    let mut parts = seconds.split(':').map(str::parse::<i64>);
    let (hour, minute, second) = (
        parts.next()?.ok()?,
        parts.next()?.ok()?,
        parts.next()?.ok()?,
    );
    let ms: i64 = format!("{fraction:0<3}").get(..3)?.parse().ok()?;
    let day_seconds = hour * 3_600 + minute * 60 + second;
    Some((days_since_epoch(year, month, day) * S_PER_DAY + day_seconds) * MS_PER_S + ms)
}

/// Days from 1970-01-01 in the Gregorian calendar.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    // Counts years from March, so that the leap day is the last of a year.
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let month_from_march = (month + 9) % 12;
    let day_of_year = (153 * month_from_march + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}
