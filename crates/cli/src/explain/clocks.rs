//! Clocks of several processes, brought together.
//!
//! Versions of the store come from one counter, so they tell the order of
//! events at different processes whatever their clocks say.

use super::line::LogLine;

/// Differences below this are not corrected, milliseconds: news takes that
/// long to arrive.
const TOLERATED_MS: i64 = 500;

/// How far the clock of each process is off.
#[derive(Debug)]
pub(super) struct Clocks {
    /// Sorted by source.
    rows: Vec<ClockRow>,
}

#[derive(Debug)]
struct ClockRow {
    source: String,
    ahead_ms: i64,
}

/// A moment that the store's counter dates.
#[derive(Debug, Clone, Copy)]
struct Mark {
    version: u64,
    at_ms: i64,
}

impl Clocks {
    /// Compares the clocks of all sources with that of the source that has most
    /// marks.
    pub(super) fn new(lines: &[LogLine]) -> Self {
        let mut sources: Vec<_> = lines.iter().map(|line| line.source.as_str()).collect();
        sources.sort_unstable();
        sources.dedup();
        let marks_of = |source: &str| marks(lines, source);
        let reference = sources
            .iter()
            .map(|source| marks_of(source))
            .max_by_key(Vec::len)
            .unwrap_or_default();
        let rows = sources
            .iter()
            .map(|source| ClockRow {
                source: (*source).to_owned(),
                ahead_ms: ahead_ms(&reference, &marks_of(source)),
            })
            .collect();
        Self { rows }
    }

    /// Time of a line on the common clock, Unix milliseconds.
    pub(super) fn common_ms(&self, line: &LogLine) -> i64 {
        let found = self
            .rows
            .binary_search_by(|row| row.source.cmp(&line.source));
        line.at_ms - found.map_or(0, |index| self.rows[index].ahead_ms)
    }

    /// A note for each clock that was corrected.
    pub(super) fn notes(&self) -> impl Iterator<Item = String> {
        self.rows
            .iter()
            .filter(|row| row.ahead_ms != 0)
            .map(|row| format!("clock of {} corrected by {} ms", row.source, -row.ahead_ms))
    }
}

/// Lines that name a version of the store, in order of the version.
fn marks(lines: &[LogLine], source: &str) -> Vec<Mark> {
    let mut marks: Vec<_> = lines
        .iter()
        .filter(|line| line.source == source)
        .filter_map(|line| {
            Some(Mark {
                version: line.value("version")?.parse().ok()?,
                at_ms: line.at_ms,
            })
        })
        .collect();
    marks.sort_by_key(|mark| mark.version);
    marks
}

/// Median difference to the reference's clock, each mark compared with where it
/// falls between the reference's marks.
fn ahead_ms(reference: &[Mark], marks: &[Mark]) -> i64 {
    let mut differences: Vec<_> = marks
        .iter()
        .filter_map(|mark| Some(mark.at_ms - reference_ms(reference, mark.version)?))
        .collect();
    differences.sort_unstable();
    let median = differences.get(differences.len() / 2).copied().unwrap_or(0);
    if median.abs() < TOLERATED_MS {
        0
    } else {
        median
    }
}

/// When the store had a version, by the reference's clock.
fn reference_ms(reference: &[Mark], version: u64) -> Option<i64> {
    let after = reference.partition_point(|mark| mark.version < version);
    let next = reference.get(after)?;
    if next.version == version {
        return Some(next.at_ms);
    }
    let previous = reference.get(after.checked_sub(1)?)?;
    let span = i64::try_from(next.version - previous.version).ok()?;
    let step = i64::try_from(version - previous.version).ok()?;
    Some(previous.at_ms + (next.at_ms - previous.at_ms) * step / span)
}
