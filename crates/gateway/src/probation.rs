//! Requests that were at several crashes and whose verdict is not known yet.
//!
//! Load pattern: callers send a request that crashes upstreams to many instances at once.
//! Until the evidence of three crashes is known everywhere, each of them would send it to
//! another upstream. So a request that was at two crashes is sent to one upstream at a time,
//! fleet-wide. A sound request, which was there by chance, loses nothing by this, since its
//! caller makes one attempt after the other, and its first answer clears it.

use serde::{Deserialize, Serialize};

use crate::{
    crash_suspects::{OBJECTION_MS, Suspect},
    quarantine::QuarantineCheck,
    request_content::{CrashCause, RequestFingerprint},
};

/// Number of crashes from which a request is sent to one upstream at a time.
const CRASHES_TO_PROBATION: usize = 2;
/// Number of crashes from which the verdict is waited for before the next attempt.
const CRASHES_TO_VERDICT: usize = 3;
/// Time after which an attempt without a result no longer holds back others, milliseconds.
const TRIAL_TIMEOUT_MS: u64 = 5_000;
/// Retry delay that callers are told, milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Maximum number of attempts that are remembered. The oldest ones are forgotten first.
const TRIALS_MAX: usize = 32;

/// An attempt of a request on probation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTrial {
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// When it was sent, milliseconds on the store's clock.
    pub sent_at_ms: u64,
    /// When the last attempt before this one, or this one, ended; 0 if none has.
    pub ended_at_ms: u64,
}

/// The last attempts of requests on probation, of all instances.
#[derive(Debug, Default)]
pub(crate) struct Probation {
    /// Sorted by request.
    trials: Vec<RequestTrial>,
}

impl Probation {
    /// Returns whether a request may be sent that is suspected of crashes and was last
    /// answered at `survived_at_ms`.
    pub(crate) fn check(
        &self,
        request: RequestFingerprint,
        suspect: &Suspect,
        survived_at_ms: Option<u64>,
        now_ms: u64,
    ) -> QuarantineCheck {
        let crash_count = suspect.crash_count();
        if crash_count < CRASHES_TO_PROBATION {
            return QuarantineCheck::Allowed;
        }
        let cause = CrashCause::Request(request);
        let last_result_ms = suspect.last_crash_ms().max(survived_at_ms.unwrap_or(0));
        let waits_for_verdict =
            crash_count >= CRASHES_TO_VERDICT && now_ms < suspect.last_crash_ms() + OBJECTION_MS;
        if waits_for_verdict || self.is_in_flight(request, last_result_ms, now_ms) {
            return QuarantineCheck::Refused {
                cause,
                retry_after_ms: RETRY_AFTER_MS,
            };
        }
        QuarantineCheck::Trial {
            cause,
            needs_idle_upstream: false,
        }
    }

    /// Records that a request on probation was sent.
    pub(crate) fn record_trial(&mut self, request: RequestFingerprint, now_ms: u64) {
        let trial = RequestTrial {
            request,
            sent_at_ms: now_ms,
            ended_at_ms: 0,
        };
        self.receive(&[trial], now_ms);
    }

    /// Records that an attempt of a request ended, whatever its result.
    pub(crate) fn record_end(&mut self, request: RequestFingerprint, now_ms: u64) {
        if let Ok(index) = self.find(request) {
            self.trials[index].ended_at_ms = now_ms;
        }
    }

    /// Adds attempts of which a peer knows.
    pub(crate) fn receive(&mut self, trials: &[RequestTrial], now_ms: u64) {
        for trial in trials {
            match self.find(trial.request) {
                Ok(index) => {
                    let known = &mut self.trials[index];
                    known.sent_at_ms = known.sent_at_ms.max(trial.sent_at_ms);
                    known.ended_at_ms = known.ended_at_ms.max(trial.ended_at_ms);
                }
                Err(index) => self.trials.insert(index, *trial),
            }
        }
        self.trials
            .retain(|trial| now_ms < trial.sent_at_ms + TRIAL_TIMEOUT_MS);
        while self.trials.len() > TRIALS_MAX {
            let trials = self.trials.iter().enumerate();
            let oldest = trials.min_by_key(|(_, trial)| trial.sent_at_ms);
            let index = oldest.map_or(0, |(index, _)| index);
            self.trials.remove(index);
        }
    }

    /// Returns the attempts of which peers should know.
    pub(crate) fn trials(&self) -> &[RequestTrial] {
        &self.trials
    }

    /// Returns whether an attempt is in flight that has had no result since it was sent.
    fn is_in_flight(&self, request: RequestFingerprint, last_result_ms: u64, now_ms: u64) -> bool {
        self.find(request).is_ok_and(|index| {
            let RequestTrial {
                sent_at_ms,
                ended_at_ms,
                ..
            } = self.trials[index];
            let last_end_ms = last_result_ms.max(ended_at_ms);
            last_end_ms < sent_at_ms && now_ms < sent_at_ms + TRIAL_TIMEOUT_MS
        })
    }

    fn find(&self, request: RequestFingerprint) -> Result<usize, usize> {
        self.trials
            .binary_search_by_key(&request, |trial| trial.request)
    }
}
