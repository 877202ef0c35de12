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
    crash_evidence::{CrashEvidence, CrashReport, PartInFlight},
};

/// Number of crashes that a part must explain to be quarantined if it was not answered
/// lately.
const CRASHES_OF_NEW_PART: usize = 3;
/// Number of crashes that a part must explain if it was answered lately, and that two
/// parts must explain if they are in flight at exactly the same ones.
const CRASHES_OF_ESTABLISHED_PART: usize = 5;
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
    quarantined.any(|quarantined| crash.part_in_flight(quarantined.part).is_some())
}

/// Returns all parts that may have caused crashes that are not explained, sorted.
fn suspects(evidence: &CrashEvidence, quarantined: &[QuarantinedPart]) -> Vec<Suspect> {
    let mut suspects: Vec<Suspect> = Vec::new();
    let crashes = evidence.crashes().iter();
    for row in crashes.filter(|row| !is_explained(&row.report, quarantined)) {
        for PartInFlight { part, sent_at_ms } in &row.report.parts {
            if !evidence.is_suspect(*part, &row.report) {
                continue;
            }
            let found = suspects.binary_search_by(|suspect| suspect.part.cmp(part));
            let index = found.unwrap_or_else(|index| {
                let survived_at_ms = evidence.survived_at_ms(*part);
                suspects.insert(index, Suspect::new(*part, survived_at_ms));
                index
            });
            suspects[index].crashes.push(CrashTimes {
                at_ms: row.report.at_ms,
                sent_at_ms: *sent_at_ms,
                learned_at_ms: row.learned_at_ms,
            });
        }
    }
    for suspect in &mut suspects {
        suspect.keep_successive_crashes();
    }
    suspects
}

/// A part that may have caused crashes.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    pub(crate) part: PromptPartId,
    survived_at_ms: Option<u64>,
    /// Sorted by time. Upstreams that crash together have another cause than the requests
    /// that they have in common, so each crash but the first counts only if a request with
    /// the part was sent to the upstream after the one before.
    crashes: Vec<CrashTimes>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
struct CrashTimes {
    at_ms: u64,
    /// When the last request with the part was sent to the upstream.
    sent_at_ms: u64,
    /// When this instance learned of the crash.
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

    fn keep_successive_crashes(&mut self) {
        self.crashes.sort_unstable();
        self.crashes
            .dedup_by(|next, kept| next.sent_at_ms < kept.at_ms);
    }

    /// Returns the number of successive crashes.
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
