//! Evidence about prompt parts that crash upstreams: which upstreams crashed while which
//! parts were in flight there, and which parts were answered without a crash.
//!
//! Load pattern: callers send requests with the same part to every instance, and each
//! instance sees only some of the crashes. The instances exchange their evidence. It
//! merges to the same whatever the order, and however often a piece arrives. All times
//! are milliseconds on the store's clock, which the instances share.

use model::PromptPartId;
use serde::{Deserialize, Serialize};

/// Maximum number of crashes that are remembered. The oldest ones are forgotten first.
const CRASHES_MAX: usize = 64;
/// Maximum number of parts of which it is remembered when they were answered last.
const SURVIVALS_MAX: usize = 1_024;
/// Maximum number of parts in the report of one crash.
const PARTS_PER_CRASH_MAX: usize = 64;
/// Time after which a crash is forgotten, milliseconds.
const CRASH_RETENTION_MS: u64 = 120_000;

/// Crash of one incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the incarnation.
    pub incarnation: u64,
    /// When an instance first saw that the upstream had crashed, milliseconds on the
    /// store's clock.
    pub at_ms: u64,
    /// Shared parts of the prompts that were in flight at the upstream, sorted by part.
    pub parts: Vec<PartInFlight>,
}

/// A shared part of prompts that are in flight at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartInFlight {
    /// The part.
    pub part: PromptPartId,
    /// When the last of these prompts was sent, milliseconds on the store's clock.
    pub sent_at_ms: u64,
}

/// The last time at which an upstream answered a request with a part and did not crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartSurvival {
    /// The part.
    pub part: PromptPartId,
    /// When the answer ended, milliseconds on the store's clock.
    pub at_ms: u64,
}

/// A crash and when this instance learned of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CrashRow {
    pub(crate) report: CrashReport,
    pub(crate) learned_at_ms: u64,
}

/// Crashes and survivals known to one instance.
#[derive(Debug, Default)]
pub(crate) struct CrashEvidence {
    /// Sorted by incarnation.
    crashes: Vec<CrashRow>,
    /// Sorted by part.
    survivals: Vec<PartSurvival>,
}

impl CrashEvidence {
    /// Adds a crash, or the parts of another report of the same crash.
    pub(crate) fn add_crash(&mut self, report: &CrashReport, now_ms: u64) {
        if report.at_ms + CRASH_RETENTION_MS <= now_ms {
            return;
        }
        match self.find_crash(report.incarnation) {
            Ok(index) => self.crashes[index].report.merge(report),
            Err(index) => self.insert_crash(index, report, now_ms),
        }
    }

    /// Returns whether a crash is not known yet.
    pub(crate) fn is_news(&self, report: &CrashReport) -> bool {
        self.find_crash(report.incarnation).is_err()
    }

    fn insert_crash(&mut self, index: usize, report: &CrashReport, now_ms: u64) {
        let mut row = CrashRow {
            report: report.clone(),
            learned_at_ms: now_ms,
        };
        row.report.normalize();
        self.crashes.insert(index, row);
        if self.crashes.len() > CRASHES_MAX {
            let oldest = self.crashes.iter().map(|row| row.report.at_ms).min();
            let position = self
                .crashes
                .iter()
                .position(|row| Some(row.report.at_ms) == oldest);
            self.crashes.remove(position.unwrap_or(0));
        }
    }

    /// Records that a request with a part was answered at `at_ms` and its upstream did
    /// not crash.
    pub(crate) fn add_survival(&mut self, survival: PartSurvival) {
        match self.find_survival(survival.part) {
            Ok(index) => {
                let known = &mut self.survivals[index];
                known.at_ms = known.at_ms.max(survival.at_ms);
            }
            Err(index) => {
                self.survivals.insert(index, survival);
                self.limit_survivals();
            }
        }
    }

    fn limit_survivals(&mut self) {
        if self.survivals.len() <= SURVIVALS_MAX {
            return;
        }
        let oldest = self
            .survivals
            .iter()
            .enumerate()
            .min_by_key(|(_, survival)| survival.at_ms);
        if let Some((index, _)) = oldest {
            self.survivals.remove(index);
        }
    }

    /// Forgets crashes of long ago.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.crashes
            .retain(|row| now_ms < row.report.at_ms + CRASH_RETENTION_MS);
    }

    /// Returns the known crashes.
    pub(crate) fn crashes(&self) -> &[CrashRow] {
        &self.crashes
    }

    /// Returns whether the crash of an incarnation is known.
    pub(crate) fn knows_crash(&self, incarnation: u64) -> bool {
        self.find_crash(incarnation).is_ok()
    }

    /// Returns when a request with a part was last answered without a crash.
    pub(crate) fn survived_at_ms(&self, part: PromptPartId) -> Option<u64> {
        let index = self.find_survival(part).ok()?;
        Some(self.survivals[index].at_ms)
    }

    /// Returns whether a part may have caused a crash: it was in flight there, and no
    /// request with it has been answered since.
    pub(crate) fn is_suspect(&self, part: PromptPartId, crash: &CrashReport) -> bool {
        crash.part_in_flight(part).is_some()
            && self
                .survived_at_ms(part)
                .is_none_or(|survived_at_ms| survived_at_ms <= crash.at_ms)
    }

    fn find_crash(&self, incarnation: u64) -> Result<usize, usize> {
        self.crashes
            .binary_search_by_key(&incarnation, |row| row.report.incarnation)
    }

    fn find_survival(&self, part: PromptPartId) -> Result<usize, usize> {
        self.survivals
            .binary_search_by_key(&part, |survival| survival.part)
    }
}

impl CrashReport {
    /// Returns what was in flight of a part.
    pub(crate) fn part_in_flight(&self, part: PromptPartId) -> Option<PartInFlight> {
        let found = self
            .parts
            .binary_search_by(|in_flight| in_flight.part.cmp(&part));
        Some(self.parts[found.ok()?])
    }

    fn merge(&mut self, other: &Self) {
        self.at_ms = self.at_ms.min(other.at_ms);
        self.parts.extend_from_slice(&other.parts);
        self.normalize();
    }

    fn normalize(&mut self) {
        self.parts.sort_unstable();
        // The last prompt of each part comes last.
        self.parts.reverse();
        self.parts.dedup_by_key(|in_flight| in_flight.part);
        self.parts.reverse();
        self.parts.truncate(PARTS_PER_CRASH_MAX);
    }
}
