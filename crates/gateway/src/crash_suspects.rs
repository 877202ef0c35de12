//! Which prompt parts are convicted of crashing upstreams, by the evidence of all
//! instances.
//!
//! Load pattern: a crash ends up to a dozen requests, and only one of them has caused it.
//! Parts that many requests share are in flight at every upstream that crashes, but
//! requests with them are answered elsewhere all the time. Parts that few requests share
//! may be at several crashes by chance, but at fewer than the part that causes them.

use model::PromptPartId;

use crate::{
    QuarantinedPart,
    crash_evidence::{CrashEvidence, CrashReport, CrashRow},
};

/// Number of crashes that a part must explain to be quarantined if it was not answered
/// lately.
const CRASHES_OF_NEW_PART: usize = 3;
/// Number of crashes that a part must explain if it was answered lately, and that two
/// parts must explain if they are in flight at exactly the same ones.
const CRASHES_OF_ESTABLISHED_PART: usize = 5;
/// Minimum time from the first to the last of these crashes if the part was answered
/// lately, milliseconds. Many upstreams that crash at once have another cause.
const ESTABLISHED_SPREAD_MS: u64 = 2_000;
/// How long before the first crash an answer counts as lately, milliseconds.
const ESTABLISHED_MS: u64 = 60_000;
/// Time in which peers can object that they know an answer, milliseconds.
const OBJECTION_MS: u64 = 500;

/// Returns the parts that must be quarantined next: the one that explains the most crashes
/// that no quarantined part explains, or several if all of them are at exactly as many.
pub(crate) fn convicted_parts(
    evidence: &CrashEvidence,
    quarantined: &[QuarantinedPart],
    now_ms: u64,
) -> Vec<Suspect> {
    let suspects = suspects(evidence, quarantined);
    let most = suspects.iter().map(|suspect| suspect.crash_count).max();
    let is_convicted =
        |suspect: &Suspect| Some(suspect.crash_count) == most && suspect.is_convicted(now_ms);
    let convicted: Vec<_> = suspects.into_iter().filter(is_convicted).collect();
    let has_few_crashes = most.is_some_and(|most| most < CRASHES_OF_ESTABLISHED_PART);
    if convicted.len() > 1 && has_few_crashes {
        // The next crash may tell them apart.
        return Vec::new();
    }
    convicted
}

/// Returns whether a quarantined part was in flight at a crash.
pub(crate) fn is_explained(crash: &CrashReport, quarantined: &[QuarantinedPart]) -> bool {
    let mut quarantined = quarantined.iter();
    quarantined.any(|quarantined| crash.parts.binary_search(&quarantined.part).is_ok())
}

/// Returns all parts that may have caused crashes that are not explained, sorted.
fn suspects(evidence: &CrashEvidence, quarantined: &[QuarantinedPart]) -> Vec<Suspect> {
    let mut suspects: Vec<Suspect> = Vec::new();
    let crashes = evidence.crashes().iter();
    for row in crashes.filter(|row| !is_explained(&row.report, quarantined)) {
        for part in &row.report.parts {
            if !evidence.is_suspect(*part, &row.report) {
                continue;
            }
            let found = suspects.binary_search_by(|suspect| suspect.part.cmp(part));
            let index = found.unwrap_or_else(|index| {
                let survived_at_ms = evidence.survived_at_ms(*part);
                suspects.insert(index, Suspect::new(*part, survived_at_ms));
                index
            });
            suspects[index].add_crash(row);
        }
    }
    suspects
}

/// A part that may have caused crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Suspect {
    pub(crate) part: PromptPartId,
    survived_at_ms: Option<u64>,
    pub(crate) crash_count: usize,
    first_crash_ms: u64,
    pub(crate) last_crash_ms: u64,
    /// When this instance learned of each crash.
    learned_at_ms: Vec<u64>,
}

impl Suspect {
    fn new(part: PromptPartId, survived_at_ms: Option<u64>) -> Self {
        Self {
            part,
            survived_at_ms,
            crash_count: 0,
            first_crash_ms: u64::MAX,
            last_crash_ms: 0,
            learned_at_ms: Vec::new(),
        }
    }

    fn add_crash(&mut self, row: &CrashRow) {
        self.crash_count += 1;
        self.first_crash_ms = self.first_crash_ms.min(row.report.at_ms);
        self.last_crash_ms = self.last_crash_ms.max(row.report.at_ms);
        self.learned_at_ms.push(row.learned_at_ms);
    }

    fn is_convicted(&self, now_ms: u64) -> bool {
        let required = if self.is_established() {
            CRASHES_OF_ESTABLISHED_PART
        } else {
            CRASHES_OF_NEW_PART
        };
        if self.crash_count < required {
            return false;
        }
        let spread_ms = self.last_crash_ms - self.first_crash_ms;
        if self.is_established() && spread_ms < ESTABLISHED_SPREAD_MS {
            return false;
        }
        let mut learned_at_ms = self.learned_at_ms.clone();
        learned_at_ms.sort_unstable();
        now_ms >= learned_at_ms[required - 1] + OBJECTION_MS
    }

    /// Returns whether a request with the part was answered lately before it is supposed
    /// to have crashed an upstream.
    fn is_established(&self) -> bool {
        self.survived_at_ms
            .is_some_and(|at_ms| at_ms + ESTABLISHED_MS >= self.first_crash_ms)
    }
}
