//! Online load at one engine, as known from the notices of entry programs.

use model::DispatchNotice;

/// Time without any notice after which no online request is assumed to run,
/// microseconds. Entry programs send notices as long as tokens arrive.
const NOTICE_TIMEOUT_US: u64 = 5_000_000;
/// Time for which an online prompt counts as not yet prefilled, microseconds.
const PREFILL_WINDOW_US: u64 = 60_000;

/// Online requests at an engine.
#[derive(Debug, Default)]
pub struct OnlineLoad {
    /// Number of requests in flight, estimated from notices and the engine's
    /// reports.
    pub running: u32,
    /// When the last request was sent, microseconds.
    pub last_start_us: Option<u64>,
    /// Whether the prompts sent last may still wait for their prefill step.
    pub has_unprefilled_prompt: bool,
    last_notice_us: u64,
    recent_starts: Vec<Start>,
}

/// Requests that one notice reported as started.
#[derive(Debug)]
struct Start {
    at_us: u64,
    requests: u32,
    prompt_tokens: u32,
}

impl OnlineLoad {
    /// Records a notice of an entry program.
    pub fn on_notice(&mut self, notice: &DispatchNotice, now_us: u64) {
        self.running =
            (self.running + notice.started_requests).saturating_sub(notice.ended_requests);
        self.last_notice_us = now_us;
        if notice.started_requests == 0 {
            return;
        }
        self.last_start_us = Some(now_us);
        self.has_unprefilled_prompt = true;
        self.recent_starts.push(Start {
            at_us: now_us,
            requests: notice.started_requests,
            prompt_tokens: notice.uncached_prompt_tokens,
        });
    }

    /// Records the engine's own report that it ran `running` sequences at
    /// `at_us`. A report older than the last notice is ignored.
    pub fn on_report(&mut self, running: u32, at_us: u64) {
        if self.last_notice_us < at_us {
            self.running = self.running.min(running);
        }
    }

    /// Drops starts older than the notice time-out, and resets the number of
    /// running requests if no notice came within it.
    pub fn expire(&mut self, now_us: u64) {
        let cutoff_us = now_us.saturating_sub(NOTICE_TIMEOUT_US);
        self.recent_starts.retain(|start| start.at_us >= cutoff_us);
        if self.last_notice_us < cutoff_us {
            self.running = 0;
        }
    }

    /// Returns the number of requests sent within the last `window_us`.
    pub fn requests_within(&self, window_us: u64, now_us: u64) -> u32 {
        let since_us = now_us.saturating_sub(window_us);
        self.recent_starts
            .iter()
            .filter(|start| start.at_us >= since_us)
            .map(|start| start.requests)
            .sum()
    }

    /// Returns the number of prompt tokens sent recently that may not be
    /// prefilled yet.
    pub fn prompt_tokens(&self) -> u32 {
        let since_us = self.last_notice_us.saturating_sub(PREFILL_WINDOW_US);
        self.recent_starts
            .iter()
            .filter(|start| start.at_us >= since_us)
            .map(|start| start.prompt_tokens)
            .sum()
    }
}
