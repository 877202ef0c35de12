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
/// Crashes within this time count as one, milliseconds: upstreams that crash together have
/// another cause than the requests that they have in common.
const SIMULTANEOUS_MS: u64 = 200;
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
    let most = suspects.iter().map(Suspect::crash_count).max();
    let is_convicted =
        |suspect: &Suspect| Some(suspect.crash_count()) == most && suspect.is_convicted(now_ms);
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
    for suspect in &mut suspects {
        suspect.merge_simultaneous_crashes();
    }
    suspects
}

/// A part that may have caused crashes.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    pub(crate) part: PromptPartId,
    survived_at_ms: Option<u64>,
    /// Times of the crashes, and when this instance learned of them; sorted. Only the first
    /// of those that happened together is kept.
    crashes: Vec<CrashTimes>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CrashTimes {
    at_ms: u64,
    learned_at_ms: u64,
}

impl Suspect {
    fn new(part: PromptPartId, survived_at_ms: Option<u64>) -> Self {
        Self {
            part,
            survived_at_ms,
            crashes: Vec::new(),
        }
    }

    fn add_crash(&mut self, row: &CrashRow) {
        self.crashes.push(CrashTimes {
            at_ms: row.report.at_ms,
            learned_at_ms: row.learned_at_ms,
        });
    }

    fn merge_simultaneous_crashes(&mut self) {
        self.crashes.sort_unstable();
        self.crashes
            .dedup_by(|next, kept| next.at_ms < kept.at_ms + SIMULTANEOUS_MS);
    }

    /// Returns the number of crashes. Those that happened together count once.
    pub(crate) fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the time of the last crash, milliseconds.
    pub(crate) fn last_crash_ms(&self) -> u64 {
        self.crashes.last().map_or(0, |crash| crash.at_ms)
    }

    fn first_crash_ms(&self) -> u64 {
        self.crashes.first().map_or(0, |crash| crash.at_ms)
    }

    fn is_convicted(&self, now_ms: u64) -> bool {
        let required = if self.is_established() {
            CRASHES_OF_ESTABLISHED_PART
        } else {
            CRASHES_OF_NEW_PART
        };
        let mut learned_at_ms: Vec<_> = self
            .crashes
            .iter()
            .map(|crash| crash.learned_at_ms)
            .collect();
        learned_at_ms.sort_unstable();
        let decisive_ms = learned_at_ms.get(required - 1);
        decisive_ms.is_some_and(|decisive_ms| now_ms >= decisive_ms + OBJECTION_MS)
    }

    /// Returns whether a request with the part was answered lately before it is supposed
    /// to have crashed an upstream.
    fn is_established(&self) -> bool {
        self.survived_at_ms
            .is_some_and(|at_ms| at_ms + ESTABLISHED_MS >= self.first_crash_ms())
    }
}
