//! Quarantine of prompt parts that crash upstreams.
//!
//! Load pattern: each request with a certain part crashes the upstream that answers it.
//! Attempts, resumed streams, repeats by callers and batch items carry the part from one
//! upstream to the next, until none is left for anybody. Requests that merely were at the
//! same upstream share nothing else with them, or share all other parts.
//!
//! A crash accuses all parts that were in flight at the upstream. A part is quarantined
//! once it alone explains enough crashes: more than any other part, and without a single
//! answer in between. Crashes that a quarantined part explains accuse nobody else. While
//! a part is in quarantine, requests with it are refused, except that now and then one
//! request of the fleet tries whether the part still crashes an upstream. Any answer to
//! a request with the part ends the quarantine.
//!
//! All times are milliseconds on the store's clock.

use std::rc::Rc;

use model::PromptPartId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    UpstreamTable,
    crash_evidence::{CrashEvidence, CrashReport, CrashRow, PartInFlight, PartSurvival},
    crash_suspects::{Suspect, convicted_parts, is_explained},
    peers::incarnation_hash,
    placement::Target,
    request_content::RequestContent,
};

/// Time from the last crash until the first trial of a quarantined part, milliseconds. It
/// doubles with each trial that crashes an upstream.
const TRIAL_BASE_MS: u64 = 20_000;
/// Maximum time until the next trial, milliseconds.
const TRIAL_MAX_MS: u64 = 600_000;
/// Time after which a trial without a result is made again, milliseconds.
const TRIAL_TIMEOUT_MS: u64 = 5_000;
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
/// Maximum number of quarantined parts. The ones that crashed an upstream least recently
/// are released first.
const QUARANTINED_MAX: usize = 64;
/// Time after the next trial is due in which nobody sent the part, so that it is
/// forgotten, milliseconds.
const UNUSED_RETENTION_MS: u64 = 3_600_000;
/// Time for which peers are told of a crash, milliseconds: until it is explained, or
/// for as long as notices may be lost.
const UNEXPLAINED_NOTICE_MS: u64 = 30_000;
const EXPLAINED_NOTICE_MS: u64 = 3_000;
/// Time for which peers are told of the answer that released a part, milliseconds.
const RELEASE_NOTICE_MS: u64 = 10_000;
/// Maximum number of crashes, of their parts, and of survivals in a notice.
const NOTICE_CRASHES_MAX: usize = 16;
const NOTICE_PARTS_MAX: usize = 256;
const NOTICE_SURVIVALS_MAX: usize = 64;

/// A part that is in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PromptPartId,
    /// Time of its last known crash. An answer after it ends the quarantine.
    pub crashed_at_ms: u64,
    /// Number of trials that crashed an upstream.
    pub failed_trials: u32,
    /// When the last trial began; 0 if there was none.
    pub tried_at_ms: u64,
}

/// A request whose answer was lost because its upstream crashed.
#[derive(Debug, Clone)]
pub struct LostRequest {
    /// Content of the request.
    pub content: Rc<RequestContent>,
    /// When the request was sent, milliseconds on the store's clock.
    pub sent_at_ms: u64,
    /// When its answer broke off, milliseconds on the store's clock.
    pub lost_at_ms: u64,
}

/// What an instance tells its peers about crashes and quarantined parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// Crashes, newest first.
    pub crashes: Vec<CrashReport>,
    /// Survivals of parts in these crashes and of quarantined parts.
    pub survivals: Vec<PartSurvival>,
    /// Parts in quarantine.
    pub quarantined: Vec<QuarantinedPart>,
}

/// Whether a request may be sent, by the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartCheck {
    /// None of the parts is quarantined.
    Allowed,
    /// The request must not be sent.
    Quarantined {
        /// The quarantined part.
        part: PromptPartId,
        /// Delay after which the caller should retry, milliseconds.
        retry_after_ms: u64,
    },
    /// The request may be sent as a trial of the part.
    Trial {
        /// The quarantined part.
        part: PromptPartId,
        /// Whether the trial must go to an idle upstream.
        needs_idle_upstream: bool,
    },
}

/// A change of the quarantine, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A part was quarantined because it explains this number of crashes.
    Quarantined {
        /// The part.
        part: PromptPartId,
        /// Number of crashes that it explains.
        crash_count: usize,
    },
    /// A part was quarantined because a peer did so.
    Learned(PromptPartId),
    /// A request with the part was answered, so the part is no longer quarantined.
    Released(PromptPartId),
}

/// Parts in quarantine and the evidence that decides about them, as known to one
/// instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: CrashEvidence,
    /// Sorted by part.
    quarantined: Vec<QuarantinedPart>,
    recently_released: Vec<ReleasedPart>,
    /// Whether there is evidence that the last decision did not know.
    has_new_evidence: bool,
    decided_at_ms: u64,
}

/// A part that is no longer quarantined, of which peers are told until `told_until_ms`.
#[derive(Debug, Clone, Copy)]
struct ReleasedPart {
    part: PromptPartId,
    told_until_ms: u64,
}

impl Quarantine {
    /// Records that an upstream crashed while a request was in flight there.
    pub fn record_crash(&mut self, target: &Target, lost: &LostRequest, now_ms: u64) {
        let parts = lost.content.shared_parts.iter().map(|part| PartInFlight {
            part: *part,
            sent_at_ms: lost.sent_at_ms,
        });
        let report = CrashReport {
            incarnation: incarnation_hash(&target.upstream, target.started_unix_ms),
            at_ms: lost.lost_at_ms,
            parts: parts.collect(),
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

    /// Records that a request with these parts was answered and its upstream did not
    /// crash.
    pub fn record_survival(&mut self, parts: &[PromptPartId], now_ms: u64) {
        for part in parts {
            let survival = PartSurvival {
                part: *part,
                at_ms: now_ms,
            };
            self.evidence.add_survival(survival);
            self.has_new_evidence |= self.find(*part).is_ok();
        }
    }

    /// Returns whether a notice reports a crash that is not known yet. Peers should be told
    /// at once of the answers that speak for its parts.
    #[must_use]
    pub fn has_news(&self, notice: &QuarantineNotice) -> bool {
        let mut crashes = notice.crashes.iter();
        crashes.any(|crash| self.evidence.is_news(crash))
    }

    /// Adds what a peer knows. Returns the parts that are now quarantined because the
    /// peer says so.
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
                self.tell_release(quarantined.part, now_ms);
            } else if self.merge_quarantined(*quarantined) {
                learned.push(QuarantineChange::Learned(quarantined.part));
            }
        }
        learned
    }

    /// Decides again which parts are quarantined, at once if there is new evidence and else
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
            let convicted = convicted_parts(&self.evidence, &self.quarantined, now_ms);
            if convicted.is_empty() {
                break;
            }
            changes.extend(convicted.iter().map(|suspect| self.quarantine(suspect)));
        }
        changes
    }

    fn quarantine(&mut self, suspect: &Suspect) -> QuarantineChange {
        self.merge_quarantined(QuarantinedPart {
            part: suspect.part,
            crashed_at_ms: suspect.last_crash_ms(),
            failed_trials: 0,
            tried_at_ms: 0,
        });
        QuarantineChange::Quarantined {
            part: suspect.part,
            crash_count: suspect.crash_count(),
        }
    }

    /// Returns whether a request whose prompt has these parts may be sent. `table` knows
    /// the peers, of which one at a time may make a trial.
    #[must_use]
    pub fn check(&self, parts: &[PromptPartId], table: &UpstreamTable, now_ms: u64) -> PartCheck {
        let mut result = PartCheck::Allowed;
        for part in parts {
            let Ok(index) = self.find(*part) else {
                continue;
            };
            result = check_part(&self.quarantined[index], table, now_ms);
            if matches!(result, PartCheck::Quarantined { .. }) {
                return result;
            }
        }
        result
    }

    /// Records that a request with a quarantined part was sent as a trial.
    pub fn record_trial(&mut self, part: PromptPartId, now_ms: u64) {
        if let Ok(index) = self.find(part) {
            self.quarantined[index].tried_at_ms = now_ms;
        }
    }

    /// Returns the parts in quarantine, sorted.
    #[must_use]
    pub fn quarantined(&self) -> &[QuarantinedPart] {
        &self.quarantined
    }

    /// Returns what peers should know, or `None` if there is nothing.
    #[must_use]
    pub fn notice(&self, now_ms: u64) -> Option<QuarantineNotice> {
        let mut crashes: Vec<_> = self
            .evidence
            .crashes()
            .iter()
            .filter_map(|row| self.crash_to_tell(row, now_ms))
            .collect();
        let has_release = self.releases_to_tell(now_ms).next().is_some();
        if crashes.is_empty() && self.quarantined.is_empty() && !has_release {
            return None;
        }
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.at_ms));
        crashes.truncate(NOTICE_CRASHES_MAX);
        let mut part_count = 0;
        crashes.retain(|crash| {
            part_count += crash.parts.len();
            part_count <= NOTICE_PARTS_MAX
        });
        Some(QuarantineNotice {
            crashes,
            survivals: self.survivals_to_tell(now_ms),
            quarantined: self.quarantined.clone(),
        })
    }

    /// Returns a crash as peers are told of it, with the parts that may have caused it.
    fn crash_to_tell(&self, row: &CrashRow, now_ms: u64) -> Option<CrashReport> {
        let notice_ms = if is_explained(&row.report, &self.quarantined) {
            EXPLAINED_NOTICE_MS
        } else {
            UNEXPLAINED_NOTICE_MS
        };
        if now_ms >= row.learned_at_ms + notice_ms {
            return None;
        }
        let mut report = row.report.clone();
        report
            .parts
            .retain(|in_flight| self.evidence.is_suspect(in_flight.part, &row.report));
        (!report.parts.is_empty()).then_some(report)
    }

    /// Returns the survivals of all parts of recent crashes and of the quarantined parts,
    /// so that peers which do not know them accuse nobody wrongly.
    fn survivals_to_tell(&self, now_ms: u64) -> Vec<PartSurvival> {
        let recent = self
            .evidence
            .crashes()
            .iter()
            .filter(|row| now_ms < row.learned_at_ms + UNEXPLAINED_NOTICE_MS);
        let accused =
            recent.flat_map(|row| row.report.parts.iter().map(|in_flight| in_flight.part));
        let quarantined = self.quarantined.iter().map(|quarantined| quarantined.part);
        let released = self.releases_to_tell(now_ms);
        let mut parts: Vec<_> = accused.chain(quarantined).chain(released).collect();
        parts.sort_unstable();
        parts.dedup();
        let mut survivals: Vec<_> = parts
            .into_iter()
            .filter_map(|part| {
                let at_ms = self.evidence.survived_at_ms(part)?;
                Some(PartSurvival { part, at_ms })
            })
            .collect();
        survivals.sort_by_key(|survival| std::cmp::Reverse(survival.at_ms));
        survivals.truncate(NOTICE_SURVIVALS_MAX);
        survivals
    }

    fn releases_to_tell(&self, now_ms: u64) -> impl Iterator<Item = PromptPartId> {
        let recent = self.recently_released.iter();
        recent
            .filter(move |released| now_ms < released.told_until_ms)
            .map(|released| released.part)
    }

    fn release_answered(&mut self, now_ms: u64) -> Vec<QuarantineChange> {
        let crashes = self.evidence.crashes();
        for quarantined in &mut self.quarantined {
            let own_crashes = crashes
                .iter()
                .filter(|row| row.report.part_in_flight(quarantined.part).is_some());
            if let Some(last_ms) = own_crashes.map(|row| row.report.at_ms).max() {
                quarantined.record_crash(last_ms);
            }
        }
        let evidence = &self.evidence;
        let released = self.quarantined.extract_if(.., |quarantined| {
            is_answered_since(evidence, quarantined)
                || now_ms >= quarantined.next_trial_ms() + UNUSED_RETENTION_MS
        });
        let released: Vec<_> = released.map(|quarantined| quarantined.part).collect();
        for part in &released {
            self.tell_release(*part, now_ms);
        }
        let changes = released.into_iter().map(QuarantineChange::Released);
        changes.collect()
    }

    fn tell_release(&mut self, part: PromptPartId, now_ms: u64) {
        self.recently_released
            .retain(|released| released.part != part && now_ms < released.told_until_ms);
        self.recently_released.push(ReleasedPart {
            part,
            told_until_ms: now_ms + RELEASE_NOTICE_MS,
        });
    }

    /// Adds a quarantined part, or merges what is known of it. Returns whether the part
    /// was not quarantined before.
    fn merge_quarantined(&mut self, other: QuarantinedPart) -> bool {
        match self.find(other.part) {
            Ok(index) => {
                self.quarantined[index].merge(&other);
                false
            }
            Err(index) => {
                self.quarantined.insert(index, other);
                self.limit_quarantined();
                true
            }
        }
    }

    fn limit_quarantined(&mut self) {
        if self.quarantined.len() <= QUARANTINED_MAX {
            return;
        }
        let oldest = self
            .quarantined
            .iter()
            .enumerate()
            .min_by_key(|(_, quarantined)| quarantined.crashed_at_ms);
        if let Some((index, _)) = oldest {
            self.quarantined.remove(index);
        }
    }

    fn find(&self, part: PromptPartId) -> Result<usize, usize> {
        self.quarantined
            .binary_search_by(|quarantined| quarantined.part.cmp(&part))
    }
}

impl QuarantinedPart {
    /// Returns when the next trial is due. A trial that ends neither with an answer nor
    /// with a crash, such as one whose connection was lost, is made again soon.
    #[must_use]
    pub fn next_trial_ms(&self) -> u64 {
        let delay_ms = TRIAL_BASE_MS << self.failed_trials.min(16);
        let after_crash_ms = self.crashed_at_ms + delay_ms.min(TRIAL_MAX_MS);
        after_crash_ms.max(self.tried_at_ms + TRIAL_TIMEOUT_MS)
    }

    fn record_crash(&mut self, at_ms: u64) {
        if at_ms <= self.crashed_at_ms {
            return;
        }
        if self.crashed_at_ms < self.tried_at_ms && self.tried_at_ms <= at_ms {
            self.failed_trials += 1;
        }
        self.crashed_at_ms = at_ms;
    }

    fn merge(&mut self, other: &Self) {
        self.crashed_at_ms = self.crashed_at_ms.max(other.crashed_at_ms);
        self.failed_trials = self.failed_trials.max(other.failed_trials);
        self.tried_at_ms = self.tried_at_ms.max(other.tried_at_ms);
    }
}

fn check_part(quarantined: &QuarantinedPart, table: &UpstreamTable, now_ms: u64) -> PartCheck {
    let part = quarantined.part;
    let next_trial_ms = quarantined.next_trial_ms();
    let turn = now_ms / TRIAL_TURN_MS;
    let election = xxh3_64(&[part.as_u64().to_le_bytes(), turn.to_le_bytes()].concat());
    if now_ms >= next_trial_ms && table.is_elected(election) {
        return PartCheck::Trial {
            part,
            needs_idle_upstream: now_ms < next_trial_ms + TRIAL_PATIENCE_MS,
        };
    }
    PartCheck::Quarantined {
        part,
        retry_after_ms: next_trial_ms.saturating_sub(now_ms).max(RETRY_MIN_MS),
    }
}

fn is_answered_since(evidence: &CrashEvidence, quarantined: &QuarantinedPart) -> bool {
    evidence
        .survived_at_ms(quarantined.part)
        .is_some_and(|at_ms| at_ms > quarantined.crashed_at_ms)
}
