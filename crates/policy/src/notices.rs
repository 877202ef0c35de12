//! Notices of online work, coalesced until the next send.

use model::{DispatchNotice, UpstreamId};

/// Time for which notices without a started request are held back to be
/// coalesced, microseconds.
const COALESCE_US: u64 = 20_000;

/// One pending notice per upstream, sorted by upstream.
#[derive(Debug, Default)]
pub struct Notices {
    pending: Vec<DispatchNotice>,
    has_started: bool,
    taken_at_us: u64,
}

impl Notices {
    /// A request with that many uncached prompt tokens was sent.
    pub fn on_started(&mut self, upstream: &UpstreamId, prompt_tokens: u32) {
        self.has_started = true;
        let notice = self.notice(upstream);
        notice.started += 1;
        notice.prompt_tokens = notice.prompt_tokens.saturating_add(prompt_tokens);
    }

    /// A request ended.
    pub fn on_ended(&mut self, upstream: &UpstreamId) {
        self.notice(upstream).ended += 1;
    }

    /// A first token came after that time.
    pub fn on_first_token(&mut self, upstream: &UpstreamId, took_us: u64) {
        let notice = self.notice(upstream);
        notice.first_token_us = notice.first_token_us.max(saturated(took_us));
    }

    /// A token came after that time since the one before.
    pub fn on_gap(&mut self, upstream: &UpstreamId, gap_us: u64) {
        let notice = self.notice(upstream);
        notice.between_tokens_us = notice.between_tokens_us.max(saturated(gap_us));
    }

    /// When the pending notices are due, microseconds; none if there are none.
    pub fn due_at_us(&self) -> Option<u64> {
        if self.has_started {
            return Some(0);
        }
        (!self.pending.is_empty()).then_some(self.taken_at_us + COALESCE_US)
    }

    /// Takes what is pending.
    pub fn take(&mut self, now_us: u64) -> Vec<DispatchNotice> {
        self.has_started = false;
        self.taken_at_us = now_us;
        std::mem::take(&mut self.pending)
    }

    fn notice(&mut self, upstream: &UpstreamId) -> &mut DispatchNotice {
        let found = self
            .pending
            .binary_search_by(|notice| notice.upstream.cmp(upstream));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                self.pending.insert(index, empty(upstream));
                index
            }
        };
        &mut self.pending[index]
    }
}

fn empty(upstream: &UpstreamId) -> DispatchNotice {
    DispatchNotice {
        upstream: upstream.clone(),
        prompt_tokens: 0,
        started: 0,
        ended: 0,
        first_token_us: 0,
        between_tokens_us: 0,
    }
}

fn saturated(time_us: u64) -> u32 {
    u32::try_from(time_us).unwrap_or(u32::MAX)
}
