//! Notices about online requests for the owners of batch windows, coalesced
//! until the next send.

use model::{DispatchNotice, UpstreamId};

/// Time for which notices are held back to be coalesced, microseconds. A notice
/// of a started request is due at once.
const COALESCE_US: u64 = 20_000;

/// At most one pending notice per upstream, sorted by upstream.
#[derive(Debug, Default)]
pub struct PendingNotices {
    pending: Vec<DispatchNotice>,
    /// Whether a pending notice reports a started request.
    has_start: bool,
    taken_at_us: u64,
}

impl PendingNotices {
    /// Records that a request with `prompt_tokens` uncached prompt tokens was
    /// sent.
    pub fn on_started(&mut self, upstream: &UpstreamId, prompt_tokens: u32) {
        self.has_start = true;
        let notice = self.notice_mut(upstream);
        notice.started_requests += 1;
        notice.uncached_prompt_tokens = notice.uncached_prompt_tokens.saturating_add(prompt_tokens);
    }

    /// Records that a request ended.
    pub fn on_ended(&mut self, upstream: &UpstreamId) {
        self.notice_mut(upstream).ended_requests += 1;
    }

    /// Records the time to first token of a request. The notice reports only the
    /// longest time.
    pub fn on_first_token(&mut self, upstream: &UpstreamId, latency_us: u64) {
        let notice = self.notice_mut(upstream);
        notice.first_token_us = notice.first_token_us.max(saturating_u32(latency_us));
    }

    /// Records the time between two successive tokens. The notice reports only
    /// the longest time.
    pub fn on_token_interval(&mut self, upstream: &UpstreamId, interval_us: u64) {
        let notice = self.notice_mut(upstream);
        notice.between_tokens_us = notice.between_tokens_us.max(saturating_u32(interval_us));
    }

    /// Returns when the pending notices are due, microseconds (0 for at once),
    /// or `None` if there are none.
    pub fn due_at_us(&self) -> Option<u64> {
        if self.has_start {
            return Some(0);
        }
        (!self.pending.is_empty()).then_some(self.taken_at_us + COALESCE_US)
    }

    /// Removes and returns the pending notices.
    pub fn take(&mut self, now_us: u64) -> Vec<DispatchNotice> {
        self.has_start = false;
        self.taken_at_us = now_us;
        std::mem::take(&mut self.pending)
    }

    fn notice_mut(&mut self, upstream: &UpstreamId) -> &mut DispatchNotice {
        let found = self
            .pending
            .binary_search_by(|notice| notice.upstream.cmp(upstream));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                self.pending.insert(index, empty_notice(upstream));
                index
            }
        };
        &mut self.pending[index]
    }
}

fn empty_notice(upstream: &UpstreamId) -> DispatchNotice {
    DispatchNotice {
        upstream: upstream.clone(),
        uncached_prompt_tokens: 0,
        started_requests: 0,
        ended_requests: 0,
        first_token_us: 0,
        between_tokens_us: 0,
    }
}

fn saturating_u32(time_us: u64) -> u32 {
    u32::try_from(time_us).unwrap_or(u32::MAX)
}
