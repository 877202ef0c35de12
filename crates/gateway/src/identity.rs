//! Whether the process at the address of an upstream is the upstream.
//!
//! Load pattern: an upstream has ended, and its address belongs to another server before its
//! registration has gone. Every request names the upstream that it is for, and any other
//! server refuses it. But an upstream may refuse a request in the same way for a reason that
//! lies in the request. So a refusal counts only if the upstream has not answered others
//! lately, and then the process at the address is asked who it is.

use crate::{target::Target, upstream_table::UpstreamTable};

/// Time for which an answer proves that the upstream is at its address, milliseconds.
const PROOF_VALID_MS: u64 = 1_000;
/// First and maximum time for which an upstream is avoided if it is not known who refused a
/// request, milliseconds.
const DOUBT_BASE_MS: u64 = 500;
const DOUBT_MAX_MS: u64 = 32_000;

/// What is known of the process at the address of an upstream.
#[derive(Debug, Clone, Default)]
pub(crate) struct Identity {
    /// When the upstream last answered a request as itself.
    proven_ms: Option<u64>,
    /// Number of times that it was doubted since.
    doubts: u32,
    doubted_until_ms: u64,
    /// Before this time, the process is not asked again who it is.
    next_check_ms: u64,
}

/// Who is at the address of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Occupant {
    /// The upstream.
    Upstream,
    /// Another server.
    Other,
    /// That could not be found out.
    Unknown,
}

impl Identity {
    /// Returns whether another server may be at the address.
    pub(crate) fn is_doubted(&self, now_ms: u64) -> bool {
        now_ms < self.doubted_until_ms
    }

    fn is_proven(&self, now_ms: u64) -> bool {
        self.proven_ms
            .is_some_and(|proven_ms| now_ms < proven_ms + PROOF_VALID_MS)
    }

    fn record_proof(&mut self, now_ms: u64) {
        self.proven_ms = Some(now_ms);
        self.doubts = 0;
        self.doubted_until_ms = 0;
    }

    fn doubt(&mut self, now_ms: u64) {
        if !self.is_doubted(now_ms) {
            let doubt_ms = (DOUBT_BASE_MS << self.doubts.min(8)).min(DOUBT_MAX_MS);
            self.doubts += 1;
            self.doubted_until_ms = now_ms + doubt_ms;
        }
    }
}

impl UpstreamTable {
    /// Records an answer that only the upstream itself gives.
    pub fn record_identity(&mut self, target: &Target, now_ms: u64) {
        if let Some(row) = self.incarnation_row(target) {
            row.identity.record_proof(now_ms);
        }
    }

    /// Records that a request was refused as one for another server. If the request itself may
    /// be the reason, the upstream is not avoided. Returns whether the process at the address
    /// is to be asked who it is.
    pub fn record_misdirected(
        &mut self,
        target: &Target,
        may_be_due_to_request: bool,
        now_ms: u64,
    ) -> bool {
        let Some(row) = self.incarnation_row(target) else {
            return false;
        };
        let identity = &mut row.identity;
        if identity.is_proven(now_ms) {
            return false;
        }
        if !may_be_due_to_request {
            identity.doubt(now_ms);
        }
        let is_due = now_ms >= identity.next_check_ms;
        if is_due {
            identity.next_check_ms = now_ms + PROOF_VALID_MS;
        }
        is_due
    }

    /// Records who is at the address of an upstream, found out by a question asked at
    /// `asked_ms`. An upstream whose address has another server gets no requests until it
    /// registers as a new incarnation.
    pub fn record_occupant(
        &mut self,
        target: &Target,
        occupant: Occupant,
        asked_ms: u64,
        now_ms: u64,
    ) {
        let Some(row) = self.incarnation_row(target) else {
            return;
        };
        let is_proven_since = row
            .identity
            .proven_ms
            .is_some_and(|proven_ms| proven_ms > asked_ms);
        match occupant {
            Occupant::Upstream => row.identity.record_proof(now_ms),
            Occupant::Other if !is_proven_since => row.health.suspend_until(u64::MAX),
            Occupant::Other | Occupant::Unknown => {}
        }
    }

    /// Returns whether another server may be at the address of an upstream.
    #[must_use]
    pub fn is_doubted(&self, target: &Target, now_ms: u64) -> bool {
        self.known_incarnation(target)
            .is_some_and(|row| row.identity.is_doubted(now_ms))
    }
}
