//! Evidence about requests that crash upstreams: which upstreams crashed while which
//! requests were in flight there, and which ones were answered without a crash.
//!
//! Load pattern: callers send the same request, or requests with the same prompt part, to
//! every instance, and each instance sees only some of the crashes. The instances exchange
//! their evidence. It merges to the same whatever the order, and however often a piece
//! arrives. All times are milliseconds on the store's clock, which the instances share.

use model::PromptPartId;
use serde::{Deserialize, Serialize};

use crate::{
    request_content::{CrashCause, RequestContent, RequestFingerprint},
    upstream_table::WorkKind,
};

/// Maximum number of crashes that are remembered. The oldest ones are forgotten first.
const CRASHES_MAX: usize = 64;
/// Maximum number of requests, and likewise of parts, of which it is remembered when they
/// were answered last.
const SURVIVALS_MAX: usize = 1_024;
/// Maximum number of requests in the report of one crash, and of parts of one request.
const REQUESTS_PER_CRASH_MAX: usize = 32;
const PARTS_PER_REQUEST_MAX: usize = 64;
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
    /// Requests that were in flight at the upstream, sorted by kind and fingerprint.
    pub requests: Vec<RequestInFlight>,
}

/// A request that is in flight at an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestInFlight {
    /// Fingerprint of its content.
    pub fingerprint: RequestFingerprint,
    /// Whether it is an item of a job. An item never crashes upstreams by itself, but a
    /// part of its prompt may.
    pub is_item: bool,
    /// When it was last sent to the upstream, milliseconds on the store's clock.
    pub sent_at_ms: u64,
    /// Parts of its prompt that other requests may share, sorted.
    pub shared_parts: Vec<PromptPartId>,
}

/// The last time at which an upstream answered a request, or one with a part, and did not
/// crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survival {
    /// The request or part.
    pub cause: CrashCause,
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
    request_survivals: Survivals,
    part_survivals: Survivals,
}

/// Survivals of one kind of cause, sorted by cause.
#[derive(Debug, Default)]
struct Survivals(Vec<Survival>);

impl CrashEvidence {
    /// Adds a crash, or the requests of another report of the same crash.
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

    /// Records that a request, or one with a part, was answered and its upstream did not
    /// crash.
    pub(crate) fn add_survival(&mut self, survival: Survival) {
        match survival.cause {
            CrashCause::Request(_) => self.request_survivals.add(survival),
            CrashCause::Part(_) => self.part_survivals.add(survival),
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

    /// Returns when a request, or one with a part, was last answered without a crash.
    pub(crate) fn survived_at_ms(&self, cause: CrashCause) -> Option<u64> {
        match cause {
            CrashCause::Request(_) => self.request_survivals.at_ms(cause),
            CrashCause::Part(_) => self.part_survivals.at_ms(cause),
        }
    }

    /// Returns whether a cause may have crashed an upstream at which it was in flight: it was
    /// not answered since.
    pub(crate) fn is_suspect(&self, cause: CrashCause, crash: &CrashReport) -> bool {
        self.survived_at_ms(cause)
            .is_none_or(|survived_at_ms| survived_at_ms <= crash.at_ms)
    }

    fn find_crash(&self, incarnation: u64) -> Result<usize, usize> {
        self.crashes
            .binary_search_by_key(&incarnation, |row| row.report.incarnation)
    }
}

impl Survivals {
    fn add(&mut self, survival: Survival) {
        match self.find(survival.cause) {
            Ok(index) => {
                let known = &mut self.0[index];
                known.at_ms = known.at_ms.max(survival.at_ms);
            }
            Err(index) => {
                self.0.insert(index, survival);
                self.limit();
            }
        }
    }

    fn limit(&mut self) {
        if self.0.len() <= SURVIVALS_MAX {
            return;
        }
        let survivals = self.0.iter().enumerate();
        let oldest = survivals.min_by_key(|(_, survival)| survival.at_ms);
        if let Some((index, _)) = oldest {
            self.0.remove(index);
        }
    }

    fn at_ms(&self, cause: CrashCause) -> Option<u64> {
        let index = self.find(cause).ok()?;
        Some(self.0[index].at_ms)
    }

    fn find(&self, cause: CrashCause) -> Result<usize, usize> {
        self.0
            .binary_search_by_key(&cause, |survival| survival.cause)
    }
}

impl CrashReport {
    /// Returns whether a cause was in flight at the upstream.
    pub(crate) fn has_cause(&self, cause: CrashCause) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|request| request.has_cause(cause))
    }

    fn merge(&mut self, other: &Self) {
        self.at_ms = self.at_ms.min(other.at_ms);
        self.requests.extend_from_slice(&other.requests);
        self.normalize();
    }

    fn normalize(&mut self) {
        for request in &mut self.requests {
            request.shared_parts.truncate(PARTS_PER_REQUEST_MAX);
        }
        // Of several times at which a request was sent, the last one comes first.
        self.requests.sort_by(|a, b| {
            let by_time = || b.sent_at_ms.cmp(&a.sent_at_ms);
            let by_parts = || a.shared_parts.cmp(&b.shared_parts);
            a.key().cmp(&b.key()).then_with(by_time).then_with(by_parts)
        });
        self.requests.dedup_by_key(|request| request.key());
        self.requests.truncate(REQUESTS_PER_CRASH_MAX);
    }
}

impl RequestInFlight {
    /// Creates the report of a request with this content that was sent at `sent_at_ms`.
    pub(crate) fn new(content: &RequestContent, kind: WorkKind, sent_at_ms: u64) -> Self {
        Self {
            fingerprint: content.fingerprint,
            is_item: kind == WorkKind::Batch,
            sent_at_ms,
            shared_parts: content.shared_parts.clone(),
        }
    }

    /// Returns whether the request may crash an upstream because of a cause.
    pub(crate) fn has_cause(&self, cause: CrashCause) -> bool {
        match cause {
            CrashCause::Request(fingerprint) => !self.is_item && self.fingerprint == fingerprint,
            CrashCause::Part(part) => self.shared_parts.binary_search(&part).is_ok(),
        }
    }

    /// Returns the request as a whole as a possible cause; none for an item.
    pub(crate) fn own_cause(&self) -> impl Iterator<Item = CrashCause> {
        let cause = CrashCause::Request(self.fingerprint);
        (!self.is_item).then_some(cause).into_iter()
    }

    /// Returns the parts of the prompt as possible causes.
    pub(crate) fn part_causes(&self) -> impl Iterator<Item = CrashCause> {
        self.shared_parts.iter().copied().map(CrashCause::Part)
    }

    fn key(&self) -> (bool, RequestFingerprint) {
        (self.is_item, self.fingerprint)
    }
}
