//! Online work at one engine, as far as the notices of entries tell.

use model::DispatchNotice;

/// Time without any notice after which no online request is thought to run,
/// microseconds. Entries send notices as long as tokens come.
const SILENCE_US: u64 = 5_000_000;
/// Time for which an online prompt counts as not yet prefilled, microseconds.
const PREFILL_US: u64 = 60_000;

/// Counts of online requests at an engine.
#[derive(Debug, Default)]
pub struct Online {
    /// Requests in flight.
    pub running: u32,
    /// When the last request was sent, microseconds.
    pub started_at_us: Option<u64>,
    /// Whether the prompts sent last may still wait for their step.
    pub is_waiting: bool,
    heard_at_us: u64,
    recent: Vec<Start>,
}

#[derive(Debug)]
struct Start {
    at_us: u64,
    requests: u32,
    prompt_tokens: u32,
}

impl Online {
    /// An entry sent work.
    pub fn on_notice(&mut self, notice: &DispatchNotice, now_us: u64) {
        self.running = (self.running + notice.started).saturating_sub(notice.ended);
        self.heard_at_us = now_us;
        if notice.started == 0 {
            return;
        }
        self.started_at_us = Some(now_us);
        self.is_waiting = true;
        self.recent.push(Start {
            at_us: now_us,
            requests: notice.started,
            prompt_tokens: notice.prompt_tokens,
        });
    }

    /// The engine reported how many sequences it ran at some time.
    pub fn on_report(&mut self, running: u32, at_us: u64) {
        if self.heard_at_us < at_us {
            self.running = self.running.min(running);
        }
    }

    /// Drops what is too old to matter.
    pub fn forget(&mut self, now_us: u64) {
        let keep_us = now_us.saturating_sub(SILENCE_US);
        self.recent.retain(|start| start.at_us >= keep_us);
        if self.heard_at_us < keep_us {
            self.running = 0;
        }
    }

    /// Requests sent within the last `window_us`.
    pub fn starts_within(&self, window_us: u64, now_us: u64) -> u32 {
        let since_us = now_us.saturating_sub(window_us);
        self.recent
            .iter()
            .filter(|start| start.at_us >= since_us)
            .map(|start| start.requests)
            .sum()
    }

    /// Prompt tokens sent lately that may not be prefilled yet.
    pub fn prompt_tokens(&self) -> u32 {
        let since_us = self.heard_at_us.saturating_sub(PREFILL_US);
        self.recent
            .iter()
            .filter(|start| start.at_us >= since_us)
            .map(|start| start.prompt_tokens)
            .sum()
    }
}
