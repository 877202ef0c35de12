//! What instances tell each other about crashes and quarantined causes.

use serde::{Deserialize, Serialize};

use crate::{
    crash_evidence::{CrashReport, CrashRow, Survival},
    crash_suspects::is_explained,
    probation::RequestTrial,
    quarantine::Quarantine,
    request_content::CrashCause,
};

/// Time from the last crash until the first trial of a quarantined part, milliseconds. It
/// doubles with each trial that crashes an upstream. Sound requests may hold the part.
const PART_TRIAL_BASE_MS: u64 = 20_000;
/// Maximum time until the next trial of a part, milliseconds.
const PART_TRIAL_MAX_MS: u64 = 600_000;
/// The same for a request as a whole, of which no sound request can have anything.
const REQUEST_TRIAL_BASE_MS: u64 = 600_000;
const REQUEST_TRIAL_MAX_MS: u64 = 86_400_000;
/// Time after which a trial without a result is made again, milliseconds.
const TRIAL_TIMEOUT_MS: u64 = 5_000;
/// Time for which peers are told of a crash, milliseconds: until it is explained, or
/// for as long as notices may be lost.
const UNEXPLAINED_NOTICE_MS: u64 = 30_000;
const EXPLAINED_NOTICE_MS: u64 = 3_000;
/// Maximum number of crashes, of their requests and parts, and of survivals in a notice.
const NOTICE_CRASHES_MAX: usize = 16;
const NOTICE_REQUESTS_MAX: usize = 192;
const NOTICE_PARTS_MAX: usize = 256;
const NOTICE_SURVIVALS_MAX: usize = 128;

/// What an instance tells its peers about crashes and quarantined causes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// Crashes, newest first.
    pub crashes: Vec<CrashReport>,
    /// Survivals of causes in these crashes and of quarantined causes.
    pub survivals: Vec<Survival>,
    /// Causes in quarantine.
    pub quarantined: Vec<Quarantined>,
    /// Requests of which an attempt is in flight while their verdict is not known.
    pub trials: Vec<RequestTrial>,
}

/// A cause that is in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The cause.
    pub cause: CrashCause,
    /// Time of its last known crash. An answer after it ends the quarantine.
    pub crashed_at_ms: u64,
    /// Number of trials that crashed an upstream.
    pub failed_trials: u32,
    /// When the last trial began; 0 if there was none.
    pub tried_at_ms: u64,
}

impl Quarantine {
    /// Returns what peers should know, or `None` if there is nothing.
    #[must_use]
    pub fn notice(&self, now_ms: u64) -> Option<QuarantineNotice> {
        let crashes = self.crashes_to_tell(now_ms);
        let has_release = self.releases_to_tell(now_ms).next().is_some();
        if crashes.is_empty() && self.quarantined.is_empty() && !has_release {
            return None;
        }
        Some(QuarantineNotice {
            crashes,
            survivals: self.survivals_to_tell(now_ms),
            quarantined: self.quarantined.clone(),
            trials: self.probation.trials().to_vec(),
        })
    }

    fn crashes_to_tell(&self, now_ms: u64) -> Vec<CrashReport> {
        let rows = self.evidence.crashes().iter();
        let mut crashes: Vec<_> = rows
            .filter_map(|row| self.crash_to_tell(row, now_ms))
            .collect();
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.at_ms));
        crashes.truncate(NOTICE_CRASHES_MAX);
        let mut request_count = 0;
        let mut part_count = 0;
        crashes.retain(|crash| {
            let parts = crash
                .requests
                .iter()
                .map(|request| request.shared_parts.len());
            part_count += parts.sum::<usize>();
            request_count += crash.requests.len();
            part_count <= NOTICE_PARTS_MAX && request_count <= NOTICE_REQUESTS_MAX
        });
        crashes
    }

    /// Returns a crash as peers are told of it, with what may have caused it.
    fn crash_to_tell(&self, row: &CrashRow, now_ms: u64) -> Option<CrashReport> {
        let notice_ms = if is_explained(&row.report, &self.quarantined) {
            EXPLAINED_NOTICE_MS
        } else {
            UNEXPLAINED_NOTICE_MS
        };
        if now_ms >= row.learned_at_ms + notice_ms {
            return None;
        }
        let is_suspect = |cause| self.evidence.is_suspect(cause, &row.report);
        let mut report = row.report.clone();
        for request in &mut report.requests {
            request
                .shared_parts
                .retain(|part| is_suspect(CrashCause::Part(*part)));
        }
        report.requests.retain(|request| {
            !request.shared_parts.is_empty() || request.own_cause().any(is_suspect)
        });
        (!report.requests.is_empty()).then_some(report)
    }

    /// Returns the survivals of all causes of recent crashes and of the quarantined causes,
    /// so that peers which do not know them accuse nobody wrongly.
    fn survivals_to_tell(&self, now_ms: u64) -> Vec<Survival> {
        let recent = self
            .evidence
            .crashes()
            .iter()
            .filter(|row| now_ms < row.learned_at_ms + UNEXPLAINED_NOTICE_MS);
        let requests = recent.flat_map(|row| &row.report.requests);
        let accused = requests.flat_map(|request| request.own_cause().chain(request.part_causes()));
        let quarantined = self.quarantined.iter().map(|quarantined| quarantined.cause);
        let released = self.releases_to_tell(now_ms);
        let mut causes: Vec<_> = accused.chain(quarantined).chain(released).collect();
        causes.sort_unstable();
        causes.dedup();
        let mut survivals: Vec<_> = causes
            .into_iter()
            .filter_map(|cause| {
                let at_ms = self.evidence.survived_at_ms(cause)?;
                Some(Survival { cause, at_ms })
            })
            .collect();
        survivals.sort_by_key(|survival| std::cmp::Reverse(survival.at_ms));
        survivals.truncate(NOTICE_SURVIVALS_MAX);
        survivals
    }
}

impl Quarantined {
    /// Returns when the next trial is due. A trial that ends neither with an answer nor
    /// with a crash, such as one whose connection was lost, is made again soon.
    #[must_use]
    pub fn next_trial_ms(&self) -> u64 {
        let (base_ms, max_ms) = match self.cause {
            CrashCause::Request(_) => (REQUEST_TRIAL_BASE_MS, REQUEST_TRIAL_MAX_MS),
            CrashCause::Part(_) => (PART_TRIAL_BASE_MS, PART_TRIAL_MAX_MS),
        };
        let delay_ms = base_ms << self.failed_trials.min(16);
        let after_crash_ms = self.crashed_at_ms + delay_ms.min(max_ms);
        after_crash_ms.max(self.tried_at_ms + TRIAL_TIMEOUT_MS)
    }

    pub(crate) fn record_crash(&mut self, at_ms: u64) {
        if at_ms <= self.crashed_at_ms {
            return;
        }
        if self.crashed_at_ms < self.tried_at_ms && self.tried_at_ms <= at_ms {
            self.failed_trials += 1;
        }
        self.crashed_at_ms = at_ms;
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.crashed_at_ms = self.crashed_at_ms.max(other.crashed_at_ms);
        self.failed_trials = self.failed_trials.max(other.failed_trials);
        self.tried_at_ms = self.tried_at_ms.max(other.tried_at_ms);
    }
}
