//! Quarantine of requests and prompt parts that crash upstreams.
//!
//! Load pattern: a request, or each request with a certain part, crashes the upstream that
//! answers it. Attempts, resumed streams, repeats by callers and batch items carry the cause
//! from one upstream to the next, until none is left for anybody. Requests that merely were
//! at the same upstream share nothing else with them, or share all other parts.
//!
//! A crash accuses all requests that were in flight at the upstream, and their parts. A
//! cause is quarantined once it alone explains enough crashes: more than any other of its
//! kind, and without a single answer in between. Crashes that a quarantined cause explains
//! accuse nobody else. Requests with a quarantined cause are refused, except that now and
//! then one request of the fleet tries whether it still crashes an upstream. Any answer to a
//! request with the cause ends the quarantine. Until the verdict, a request that was at two
//! crashes is sent to one upstream at a time.
//!
//! All times are milliseconds on the store's clock.

use std::{mem::discriminant, rc::Rc};

use model::PromptPartId;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    UpstreamTable, WorkKind,
    crash_evidence::{CrashEvidence, CrashReport, RequestInFlight, Survival},
    crash_suspects::{Suspect, convicted_causes, request_suspect},
    peers::incarnation_hash,
    probation::Probation,
    quarantine_notice::{QuarantineNotice, Quarantined},
    request_content::{CrashCause, RequestContent, RequestFingerprint},
    target::Target,
};

/// How long a trial that is due waits for an idle upstream, so that no other request is
/// lost with it, milliseconds.
const TRIAL_PATIENCE_MS: u64 = 30_000;
/// Time for which one instance of the fleet may make a trial, until it is another one's
/// turn, milliseconds.
const TRIAL_TURN_MS: u64 = 5_000;
/// Interval between decisions without new evidence, milliseconds.
const DECISION_INTERVAL_MS: u64 = 50;
/// Minimum retry delay that callers are told, milliseconds.
const RETRY_MIN_MS: u64 = 1_000;
/// Maximum number of quarantined causes of each kind. The ones that crashed an upstream
/// least recently are released first.
const QUARANTINED_MAX: usize = 64;
/// Time after the next trial is due in which nobody sent the cause, so that it
/// is forgotten, milliseconds.
const UNUSED_RETENTION_MS: u64 = 3_600_000;
/// Time for which peers are told of the answer that released a cause, milliseconds.
const RELEASE_NOTICE_MS: u64 = 10_000;

/// A request whose answer was lost because its upstream crashed.
#[derive(Debug, Clone)]
pub struct LostRequest {
    /// Content of the request.
    pub content: Rc<RequestContent>,
    /// Whether it is an online request or an item of a job.
    pub kind: WorkKind,
    /// When the request was sent, milliseconds on the store's clock.
    pub sent_at_ms: u64,
    /// When its answer broke off, milliseconds on the store's clock.
    pub lost_at_ms: u64,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineCheck {
    /// Nothing speaks against the request.
    Allowed,
    /// The request must not be sent.
    Refused {
        /// What is quarantined, or waits for a verdict.
        cause: CrashCause,
        /// Delay after which the caller should retry, milliseconds.
        retry_after_ms: u64,
    },
    /// The request may be sent as a trial of the cause.
    Trial {
        /// What is tried.
        cause: CrashCause,
        /// Whether the trial must go to an idle upstream.
        needs_idle_upstream: bool,
    },
}

impl QuarantineCheck {
    /// Returns whether the request may be sent to an upstream that has `load` other requests.
    #[must_use]
    pub fn permits(self, load: u32) -> bool {
        match self {
            Self::Allowed => true,
            Self::Refused { .. } => false,
            Self::Trial {
                needs_idle_upstream,
                ..
            } => !needs_idle_upstream || load == 0,
        }
    }
}

/// A change of the quarantine, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A cause was quarantined because it explains this number of crashes.
    Quarantined {
        /// The cause.
        cause: CrashCause,
        /// Number of crashes that it explains.
        crash_count: usize,
    },
    /// A cause was quarantined because a peer did so.
    Learned(CrashCause),
    /// A request with the cause was answered, so it is no longer quarantined.
    Released(CrashCause),
}

/// Causes of crashes in quarantine and the evidence that decides about them, as known to
/// one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    pub(crate) evidence: CrashEvidence,
    /// Sorted by cause.
    pub(crate) quarantined: Vec<Quarantined>,
    pub(crate) probation: Probation,
    recently_released: Vec<Released>,
    /// Whether there is evidence that the last decision did not know.
    has_new_evidence: bool,
    decided_at_ms: u64,
}

/// A cause that is no longer quarantined, of which peers are told until `told_until_ms`.
#[derive(Debug, Clone, Copy)]
struct Released {
    cause: CrashCause,
    told_until_ms: u64,
}

impl Quarantine {
    /// Records that an upstream crashed while a request was in flight there.
    pub fn record_crash(&mut self, target: &Target, lost: &LostRequest, now_ms: u64) {
        let request = RequestInFlight::new(&lost.content, lost.kind, lost.sent_at_ms);
        let report = CrashReport {
            incarnation: incarnation_hash(&target.upstream, target.started_unix_ms),
            at_ms: lost.lost_at_ms,
            requests: vec![request],
        };
        self.evidence.add_crash(&report, now_ms);
        self.has_new_evidence = true;
    }

    /// Returns whether the crash of an upstream is known.
    #[must_use]
    pub fn knows_crash(&self, target: &Target) -> bool {
        let incarnation = incarnation_hash(&target.upstream, target.started_unix_ms);
        self.evidence.knows_crash(incarnation)
    }

    /// Returns the parts of a prompt that were in flight at a crash and have not been answered
    /// since. Items with such a part in common are to run one at a time: each crash must come
    /// after the one before to tell whether the part is the cause.
    #[must_use]
    pub fn suspected_parts(&self, content: &RequestContent) -> Vec<PromptPartId> {
        let crashes = self.evidence.crashes();
        let is_suspected = |part: &&PromptPartId| {
            let cause = CrashCause::Part(**part);
            crashes.iter().any(|crash| {
                let mut requests = crash.report.requests.iter();
                requests.any(|request| request.has_cause(cause))
                    && self.evidence.is_suspect(cause, &crash.report)
            })
        };
        let parts = content.shared_parts.iter();
        parts.filter(is_suspected).copied().collect()
    }

    /// Records that a request with this content was answered and its upstream did not crash.
    pub fn record_survival(&mut self, content: &RequestContent, kind: WorkKind, now_ms: u64) {
        for cause in content.causes(kind) {
            let survival = Survival {
                cause,
                at_ms: now_ms,
            };
            self.evidence.add_survival(survival);
            self.has_new_evidence |= self.find(cause).is_ok();
        }
    }

    /// Returns whether a notice reports a crash that is not known yet. Peers should be told
    /// at once of the answers that speak for its parts.
    #[must_use]
    pub fn has_news(&self, notice: &QuarantineNotice) -> bool {
        let mut crashes = notice.crashes.iter();
        crashes.any(|crash| self.evidence.is_news(crash))
    }

    /// Adds what a peer knows. Returns what is now quarantined because the peer
    /// says so.
    pub fn receive(&mut self, notice: &QuarantineNotice, now_ms: u64) -> Vec<QuarantineChange> {
        self.has_new_evidence = true;
        for survival in &notice.survivals {
            self.evidence.add_survival(*survival);
        }
        for crash in &notice.crashes {
            self.evidence.add_crash(crash, now_ms);
        }
        let mut learned = Vec::new();
        for quarantined in &notice.quarantined {
            if is_answered_since(&self.evidence, quarantined) {
                self.tell_release(quarantined.cause, now_ms);
            } else if self.merge_quarantined(*quarantined) {
                learned.push(QuarantineChange::Learned(quarantined.cause));
            }
        }
        self.probation.receive(&notice.trials, now_ms);
        learned
    }

    /// Decides again what is quarantined, at once if there is new evidence and else
    /// at intervals, since the time for objections passes. Returns what has changed.
    pub fn update(&mut self, now_ms: u64) -> Vec<QuarantineChange> {
        if !self.has_new_evidence && now_ms < self.decided_at_ms + DECISION_INTERVAL_MS {
            return Vec::new();
        }
        self.has_new_evidence = false;
        self.decided_at_ms = now_ms;
        self.evidence.expire(now_ms);
        let mut changes = self.release_answered(now_ms);
        // A full quarantine may drop what is added, so the rounds are bounded.
        for _ in 0..QUARANTINED_MAX {
            let convicted = convicted_causes(&self.evidence, &self.quarantined, now_ms);
            if convicted.is_empty() {
                break;
            }
            changes.extend(convicted.iter().map(|suspect| self.quarantine(suspect)));
        }
        changes
    }

    fn quarantine(&mut self, suspect: &Suspect) -> QuarantineChange {
        self.merge_quarantined(Quarantined {
            cause: suspect.cause,
            crashed_at_ms: suspect.last_crash_ms(),
            failed_trials: 0,
            tried_at_ms: 0,
        });
        QuarantineChange::Quarantined {
            cause: suspect.cause,
            crash_count: suspect.crash_count(),
        }
    }

    /// Returns whether a request with this content may be sent. `table` knows the peers, of
    /// which one at a time may try a quarantined cause.
    #[must_use]
    pub fn check(
        &self,
        content: &RequestContent,
        kind: WorkKind,
        table: &UpstreamTable,
        now_ms: u64,
    ) -> QuarantineCheck {
        let mut result = self.check_probation(content, kind, now_ms);
        for cause in content.causes(kind) {
            let Ok(index) = self.find(cause) else {
                continue;
            };
            let check = check_quarantined(&self.quarantined[index], table, now_ms);
            if matches!(check, QuarantineCheck::Refused { .. }) {
                return check;
            }
            result = check;
        }
        result
    }

    fn check_probation(
        &self,
        content: &RequestContent,
        kind: WorkKind,
        now_ms: u64,
    ) -> QuarantineCheck {
        let fingerprint = content.fingerprint;
        let cause = CrashCause::Request(fingerprint);
        let mut crashes = self.evidence.crashes().iter();
        let was_at_crash = crashes.any(|row| row.report.has_cause(cause));
        if kind == WorkKind::Batch || !was_at_crash {
            return QuarantineCheck::Allowed;
        }
        let suspect = request_suspect(&self.evidence, &self.quarantined, fingerprint);
        let survived_at_ms = self.evidence.survived_at_ms(cause);
        self.probation
            .check(fingerprint, &suspect, survived_at_ms, now_ms)
    }

    /// Records that a request was sent as a trial.
    pub fn record_trial(&mut self, cause: CrashCause, now_ms: u64) {
        match (self.find(cause), cause) {
            (Ok(index), _) => self.quarantined[index].tried_at_ms = now_ms,
            (Err(_), CrashCause::Request(request)) => self.probation.record_trial(request, now_ms),
            (Err(_), CrashCause::Part(_)) => {}
        }
    }

    /// Records that an attempt of a request ended, whatever its result. Others of the same
    /// request may have waited for it.
    pub fn record_attempt_end(&mut self, request: RequestFingerprint, now_ms: u64) {
        self.probation.record_end(request, now_ms);
    }

    /// Returns what is in quarantine, sorted.
    #[must_use]
    pub fn quarantined(&self) -> &[Quarantined] {
        &self.quarantined
    }

    /// Returns the causes of whose release peers should be told.
    pub(crate) fn releases_to_tell(&self, now_ms: u64) -> impl Iterator<Item = CrashCause> {
        let recent = self.recently_released.iter();
        recent
            .filter(move |released| now_ms < released.told_until_ms)
            .map(|released| released.cause)
    }

    fn release_answered(&mut self, now_ms: u64) -> Vec<QuarantineChange> {
        let crashes = self.evidence.crashes();
        for quarantined in &mut self.quarantined {
            let own_crashes = crashes
                .iter()
                .filter(|row| row.report.has_cause(quarantined.cause));
            if let Some(last_ms) = own_crashes.map(|row| row.report.at_ms).max() {
                quarantined.record_crash(last_ms);
            }
        }
        let evidence = &self.evidence;
        let released = self.quarantined.extract_if(.., |quarantined| {
            is_answered_since(evidence, quarantined)
                || now_ms >= quarantined.next_trial_ms() + UNUSED_RETENTION_MS
        });
        let released: Vec<_> = released.map(|quarantined| quarantined.cause).collect();
        for cause in &released {
            self.tell_release(*cause, now_ms);
        }
        let changes = released.into_iter().map(QuarantineChange::Released);
        changes.collect()
    }

    fn tell_release(&mut self, cause: CrashCause, now_ms: u64) {
        self.recently_released
            .retain(|released| released.cause != cause && now_ms < released.told_until_ms);
        self.recently_released.push(Released {
            cause,
            told_until_ms: now_ms + RELEASE_NOTICE_MS,
        });
    }

    /// Adds a quarantined cause, or merges what is known of it. Returns whether it was not
    /// quarantined before.
    fn merge_quarantined(&mut self, other: Quarantined) -> bool {
        match self.find(other.cause) {
            Ok(index) => {
                self.quarantined[index].merge(&other);
                false
            }
            Err(index) => {
                self.quarantined.insert(index, other);
                self.limit_quarantined(other.cause);
                true
            }
        }
    }

    /// Limits the number of quarantined causes of the same kind as `cause`.
    fn limit_quarantined(&mut self, cause: CrashCause) {
        let same_kind = self.quarantined.iter().enumerate();
        let same_kind = same_kind
            .filter(|(_, quarantined)| discriminant(&quarantined.cause) == discriminant(&cause));
        if same_kind.clone().count() <= QUARANTINED_MAX {
            return;
        }
        let oldest = same_kind.min_by_key(|(_, quarantined)| quarantined.crashed_at_ms);
        if let Some((index, _)) = oldest {
            self.quarantined.remove(index);
        }
    }

    fn find(&self, cause: CrashCause) -> Result<usize, usize> {
        self.quarantined
            .binary_search_by_key(&cause, |quarantined| quarantined.cause)
    }
}

fn check_quarantined(
    quarantined: &Quarantined,
    table: &UpstreamTable,
    now_ms: u64,
) -> QuarantineCheck {
    let cause = quarantined.cause;
    let next_trial_ms = quarantined.next_trial_ms();
    let turn = now_ms / TRIAL_TURN_MS;
    let election = xxh3_64(&[cause.as_u64().to_le_bytes(), turn.to_le_bytes()].concat());
    if now_ms >= next_trial_ms && table.is_elected(election) {
        return QuarantineCheck::Trial {
            cause,
            needs_idle_upstream: now_ms < next_trial_ms + TRIAL_PATIENCE_MS,
        };
    }
    QuarantineCheck::Refused {
        cause,
        retry_after_ms: next_trial_ms.saturating_sub(now_ms).max(RETRY_MIN_MS),
    }
}

fn is_answered_since(evidence: &CrashEvidence, quarantined: &Quarantined) -> bool {
    evidence
        .survived_at_ms(quarantined.cause)
        .is_some_and(|at_ms| at_ms > quarantined.crashed_at_ms)
}
