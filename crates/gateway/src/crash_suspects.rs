//! Which requests and prompt parts are convicted of crashing upstreams, by the evidence of
//! all instances.
//!
//! Load pattern: a crash ends up to a dozen requests, and only one of them has caused it.
//! A request that crashes every upstream is at one crash after the other. Others may be at
//! several crashes by chance, but at fewer than the cause. Parts that many requests share
//! are in flight at every upstream that crashes, but requests with them are answered
//! elsewhere all the time.
//!
//! The most specific cause is considered first: a part is convicted only if different
//! requests with it crash upstreams.

use crate::{
    Quarantined,
    crash_evidence::{CrashEvidence, CrashReport, CrashRow, RequestInFlight},
    request_content::{CrashCause, RequestFingerprint},
};

/// Number of crashes that a cause must explain to be quarantined if it was not answered
/// lately.
const CRASHES_OF_NEW_CAUSE: usize = 3;
/// Number of crashes that a cause must explain if it was answered lately, and that two
/// causes must explain if they are in flight at exactly the same ones.
const CRASHES_OF_ESTABLISHED_CAUSE: usize = 5;
/// Number of different requests with a part that must be at its crashes.
const REQUESTS_OF_PART: usize = 3;
/// The same if the part was not answered lately and explains as many crashes as an
/// established one must.
const REQUESTS_OF_NEW_PART: usize = 2;
/// How long before the first crash an answer counts as lately, milliseconds.
const ESTABLISHED_MS: u64 = 60_000;
/// Time in which peers can object that they know an answer, milliseconds.
pub(crate) const OBJECTION_MS: u64 = 500;

/// What is suspected of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Granularity {
    /// The request as a whole.
    WholeRequest,
    /// Each part of its prompt.
    Parts,
}

/// Returns the causes that must be quarantined next: the one that explains the most crashes
/// that no quarantined cause explains, or several if all of them are at exactly as many.
pub(crate) fn convicted_causes(
    evidence: &CrashEvidence,
    quarantined: &[Quarantined],
    now_ms: u64,
) -> Vec<Suspect> {
    [Granularity::WholeRequest, Granularity::Parts]
        .into_iter()
        .map(|granularity| suspects(evidence, quarantined, granularity))
        .map(|suspects| leading_suspects(suspects, now_ms))
        .find(|convicted| !convicted.is_empty())
        .unwrap_or_default()
}

/// Returns the unexplained crashes of a request as a whole.
pub(crate) fn request_suspect(
    evidence: &CrashEvidence,
    quarantined: &[Quarantined],
    fingerprint: RequestFingerprint,
) -> Suspect {
    let cause = CrashCause::Request(fingerprint);
    let mut suspect = Suspect::new(cause, evidence);
    for row in evidence.crashes() {
        let requests = unexplained_requests(&row.report, quarantined, Granularity::WholeRequest);
        for request in requests.filter(|request| request.has_cause(cause)) {
            suspect.add_request(row, request);
        }
    }
    suspect.keep_successive_crashes();
    suspect
}

/// Returns whether a quarantined cause was in flight at a crash.
pub(crate) fn is_explained(crash: &CrashReport, quarantined: &[Quarantined]) -> bool {
    let mut requests = crash.requests.iter();
    requests.any(|request| {
        is_any_quarantined(request.own_cause(), quarantined)
            || is_any_quarantined(request.part_causes(), quarantined)
    })
}

/// Returns the requests that may have caused a crash which no quarantined cause explains. A
/// quarantined request explains it as a whole, but may still be evidence against one of its
/// parts.
fn unexplained_requests<'a>(
    crash: &'a CrashReport,
    quarantined: &'a [Quarantined],
    granularity: Granularity,
) -> impl Iterator<Item = &'a RequestInFlight> {
    let is_quarantined =
        |request: &RequestInFlight| is_any_quarantined(request.own_cause(), quarantined);
    let has_quarantined_part =
        |request: &RequestInFlight| is_any_quarantined(request.part_causes(), quarantined);
    let by_request = crash.requests.iter().any(is_quarantined);
    let by_part = crash.requests.iter().any(has_quarantined_part);
    crash.requests.iter().filter(move |request| {
        let may_accuse_parts = granularity == Granularity::Parts && is_quarantined(request);
        !by_part && (!by_request || may_accuse_parts)
    })
}

fn is_any_quarantined(
    mut causes: impl Iterator<Item = CrashCause>,
    quarantined: &[Quarantined],
) -> bool {
    causes.any(|cause| {
        let found = quarantined.binary_search_by_key(&cause, |quarantined| quarantined.cause);
        found.is_ok()
    })
}

fn leading_suspects(suspects: Vec<Suspect>, now_ms: u64) -> Vec<Suspect> {
    let most = suspects.iter().map(Suspect::crash_count).max();
    let is_convicted =
        |suspect: &Suspect| Some(suspect.crash_count()) == most && suspect.is_convicted(now_ms);
    let convicted: Vec<_> = suspects.into_iter().filter(is_convicted).collect();
    let has_few_crashes = most.is_some_and(|most| most < CRASHES_OF_ESTABLISHED_CAUSE);
    if convicted.len() > 1 && has_few_crashes {
        // The next crash may tell them apart.
        return Vec::new();
    }
    convicted
}

/// Returns everything that may have caused crashes that are not explained, sorted by cause.
fn suspects(
    evidence: &CrashEvidence,
    quarantined: &[Quarantined],
    granularity: Granularity,
) -> Vec<Suspect> {
    let mut suspects: Vec<Suspect> = Vec::new();
    for row in evidence.crashes() {
        for request in unexplained_requests(&row.report, quarantined, granularity) {
            let causes: Vec<_> = match granularity {
                Granularity::WholeRequest => request.own_cause().collect(),
                Granularity::Parts => request.part_causes().collect(),
            };
            for cause in causes {
                let found = suspects.binary_search_by_key(&cause, |suspect| suspect.cause);
                let index = found.unwrap_or_else(|index| {
                    suspects.insert(index, Suspect::new(cause, evidence));
                    index
                });
                suspects[index].add_request(row, request);
            }
        }
    }
    for suspect in &mut suspects {
        suspect.keep_successive_crashes();
    }
    suspects
}

/// A request or part that may have caused crashes.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    pub(crate) cause: CrashCause,
    survived_at_ms: Option<u64>,
    /// Sorted by time. Upstreams that crash together have another cause than the requests
    /// that they have in common, so each crash but the first counts only if a request with
    /// the cause was sent to the upstream after the one before.
    crashes: Vec<SuspectedCrash>,
}

/// A crash that a suspect may have caused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SuspectedCrash {
    at_ms: u64,
    incarnation: u64,
    /// When the last request with the cause was sent to the upstream.
    sent_at_ms: u64,
    /// When this instance learned of the crash.
    learned_at_ms: u64,
    /// Requests with the cause; not items.
    requests: Vec<RequestFingerprint>,
    has_item: bool,
}

impl Suspect {
    fn new(cause: CrashCause, evidence: &CrashEvidence) -> Self {
        Self {
            cause,
            survived_at_ms: evidence.survived_at_ms(cause),
            crashes: Vec::new(),
        }
    }

    /// Adds a request with the cause that was in flight at a crash, unless the cause was
    /// answered since. The requests of one crash must be added one after the other.
    fn add_request(&mut self, row: &CrashRow, request: &RequestInFlight) {
        let CrashReport {
            incarnation, at_ms, ..
        } = row.report;
        if self
            .survived_at_ms
            .is_some_and(|survived_at_ms| survived_at_ms > at_ms)
        {
            return;
        }
        if self
            .crashes
            .last()
            .is_none_or(|last| last.incarnation != incarnation)
        {
            self.crashes.push(SuspectedCrash {
                at_ms,
                incarnation,
                sent_at_ms: 0,
                learned_at_ms: row.learned_at_ms,
                requests: Vec::new(),
                has_item: false,
            });
        }
        if let Some(crash) = self.crashes.last_mut() {
            crash.sent_at_ms = crash.sent_at_ms.max(request.sent_at_ms);
            if request.is_item {
                crash.has_item = true;
            } else {
                crash.requests.push(request.fingerprint);
            }
        }
    }

    fn keep_successive_crashes(&mut self) {
        self.crashes.sort_unstable();
        self.crashes
            .dedup_by(|next, kept| next.sent_at_ms < kept.at_ms);
        if let CrashCause::Part(_) = self.cause {
            self.limit_crashes_per_request();
        }
    }

    /// Keeps only as many crashes of each request as it takes to convict the request itself.
    fn limit_crashes_per_request(&mut self) {
        let mut counted: Vec<RequestFingerprint> = Vec::new();
        self.crashes.retain(|crash| {
            let is_new = |request: &RequestFingerprint| {
                let times = counted.iter().filter(|known| *known == request).count();
                times < CRASHES_OF_NEW_CAUSE
            };
            let is_kept = crash.has_item || crash.requests.iter().any(is_new);
            counted.extend(&crash.requests);
            is_kept
        });
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
        self.decisive_ms()
            .is_some_and(|decisive_ms| now_ms >= decisive_ms + OBJECTION_MS)
    }

    /// Returns when this instance learned of the crash from which the evidence is enough.
    fn decisive_ms(&self) -> Option<u64> {
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_unstable_by_key(|crash| crash.learned_at_ms);
        let decisive = (1..=crashes.len()).find(|count| self.is_enough(&crashes[..*count]))?;
        Some(crashes[decisive - 1].learned_at_ms)
    }

    /// Returns whether some of the crashes are enough for a verdict. The crashes of a part
    /// must not be due to single requests that have it in common with sound ones.
    fn is_enough(&self, crashes: &[&SuspectedCrash]) -> bool {
        let has_many_crashes = crashes.len() >= CRASHES_OF_ESTABLISHED_CAUSE;
        if !has_many_crashes && (self.is_established() || crashes.len() < CRASHES_OF_NEW_CAUSE) {
            return false;
        }
        match self.cause {
            CrashCause::Request(_) => true,
            CrashCause::Part(_) if has_many_crashes && !self.is_established() => {
                request_count(crashes) >= REQUESTS_OF_NEW_PART
            }
            CrashCause::Part(_) => request_count(crashes) >= REQUESTS_OF_PART,
        }
    }

    /// Returns whether a request with the cause was answered lately before it is supposed
    /// to have crashed an upstream.
    fn is_established(&self) -> bool {
        self.survived_at_ms
            .is_some_and(|at_ms| at_ms + ESTABLISHED_MS >= self.first_crash_ms())
    }
}

/// Returns the number of different requests at some crashes. Items never crash upstreams by
/// themselves, so each of their runs counts as a different one.
fn request_count(crashes: &[&SuspectedCrash]) -> usize {
    let mut requests: Vec<_> = crashes.iter().flat_map(|crash| &crash.requests).collect();
    requests.sort_unstable();
    requests.dedup();
    let item_crashes = crashes.iter().filter(|crash| crash.has_item).count();
    requests.len() + item_crashes
}
