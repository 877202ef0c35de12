//! Correction of clock offsets between the logs of several processes.
//!
//! The store assigns versions from one counter, so versions give the order of
//! events at different processes regardless of their clocks.

use super::line::LogLine;

/// Minimum offset that is corrected, in milliseconds. Smaller offsets cannot be
/// distinguished from the time that a new version takes to reach a process.
const MIN_CORRECTED_OFFSET_MS: i64 = 500;

/// Clock offset of each process relative to a reference process.
#[derive(Debug)]
pub(super) struct Clocks {
    /// Sorted by source.
    rows: Vec<ClockRow>,
}

/// Clock of one process.
#[derive(Debug)]
struct ClockRow {
    source: String,
    /// Time by which the clock is ahead of the reference clock. Zero if the
    /// offset is too small to be corrected.
    ahead_ms: i64,
}

/// Time at which a process logged a version of the store.
#[derive(Debug, Clone, Copy)]
struct VersionTime {
    version: u64,
    at_ms: i64,
}

impl Clocks {
    /// Computes the clock offset of each source relative to the source that logged
    /// the most versions.
    pub(super) fn new(lines: &[LogLine]) -> Self {
        let mut sources: Vec<_> = lines.iter().map(|line| line.source.as_str()).collect();
        sources.sort_unstable();
        sources.dedup();
        let times_of = |source: &str| version_times(lines, source);
        let reference = sources
            .iter()
            .map(|source| times_of(source))
            .max_by_key(Vec::len)
            .unwrap_or_default();
        let rows = sources
            .iter()
            .map(|source| ClockRow {
                source: (*source).to_owned(),
                ahead_ms: ahead_ms(&reference, &times_of(source)),
            })
            .collect();
        Self { rows }
    }

    /// Returns the time of a line on the reference clock, in Unix milliseconds.
    pub(super) fn corrected_ms(&self, line: &LogLine) -> i64 {
        let found_index = self
            .rows
            .binary_search_by(|row| row.source.cmp(&line.source));
        line.at_ms - found_index.map_or(0, |index| self.rows[index].ahead_ms)
    }

    /// Returns a note about each corrected clock.
    pub(super) fn notes(&self) -> impl Iterator<Item = String> {
        self.rows
            .iter()
            .filter(|row| row.ahead_ms != 0)
            .map(|row| format!("clock of {} corrected by {} ms", row.source, -row.ahead_ms))
    }
}

/// Returns the version times of a source, in order of the version.
fn version_times(lines: &[LogLine], source: &str) -> Vec<VersionTime> {
    let mut times: Vec<_> = lines
        .iter()
        .filter(|line| line.source == source)
        .filter_map(|line| {
            Some(VersionTime {
                version: line.value("version")?.parse().ok()?,
                at_ms: line.at_ms,
            })
        })
        .collect();
    times.sort_by_key(|time| time.version);
    times
}

/// Returns the median offset of a clock from the reference clock, in
/// milliseconds, or zero if it is below [`MIN_CORRECTED_OFFSET_MS`]. Each time is
/// compared with the reference time interpolated for its version.
fn ahead_ms(reference: &[VersionTime], times: &[VersionTime]) -> i64 {
    let mut offsets: Vec<_> = times
        .iter()
        .filter_map(|time| Some(time.at_ms - reference_ms(reference, time.version)?))
        .collect();
    offsets.sort_unstable();
    let median = offsets.get(offsets.len() / 2).copied().unwrap_or(0);
    if median.abs() < MIN_CORRECTED_OFFSET_MS {
        0
    } else {
        median
    }
}

/// Returns the time at which the store reached a version on the reference clock,
/// interpolated between the nearest logged versions. Returns `None` if the
/// version lies outside the logged range.
fn reference_ms(reference: &[VersionTime], version: u64) -> Option<i64> {
    let next_index = reference.partition_point(|time| time.version < version);
    let next = reference.get(next_index)?;
    if next.version == version {
        return Some(next.at_ms);
    }
    let previous = reference.get(next_index.checked_sub(1)?)?;
    let version_span = i64::try_from(next.version - previous.version).ok()?;
    let version_step = i64::try_from(version - previous.version).ok()?;
    Some(previous.at_ms + (next.at_ms - previous.at_ms) * version_step / version_span)
}
