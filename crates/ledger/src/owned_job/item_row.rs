//! State of an item of an owned job.

use crate::{
    end_statements::EndStatements,
    item::{ItemOutcome, ItemResult, JobItem, PartialOutput},
};

/// Initial backoff before an item runs again after a failed or interrupted
/// run, in milliseconds. It doubles with every further such run.
const RERUN_DELAY_MS: u64 = 100;
/// Maximum backoff before an item runs again, in milliseconds.
const RERUN_DELAY_MAX_MS: u64 = 2_000;

/// An item of an owned job.
#[derive(Debug)]
pub(super) struct ItemRow {
    pub(super) item: JobItem,
    /// Tokens that count towards the limit of the route while the item waits.
    pub(super) tokens: u32,
    pub(super) state: ItemState,
    pub(super) partial: PartialOutput,
    /// Last event of the output that was returned for saving.
    pub(super) last_saved_event: Option<u64>,
    /// Number of reruns that were delayed by the backoff.
    delayed_reruns: u32,
    pub(super) end_statements: EndStatements,
}

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ItemState {
    Waiting { not_before_ms: u64 },
    Running,
    Ended(ItemOutcome),
    Committed,
}

impl ItemRow {
    /// Creates an item that waits and has no output yet.
    pub(super) fn new(index: u32, item: JobItem, tokens: u32) -> Self {
        Self {
            item,
            tokens,
            state: ItemState::Waiting { not_before_ms: 0 },
            partial: PartialOutput::new(index),
            last_saved_event: None,
            delayed_reruns: 0,
            end_statements: EndStatements::default(),
        }
    }

    /// Returns whether a run may start now.
    pub(super) fn is_startable(&self, now_ms: u64) -> bool {
        matches!(self.state, ItemState::Waiting { not_before_ms } if not_before_ms <= now_ms)
    }

    /// Returns whether the item waits or runs.
    pub(super) fn is_unfinished(&self) -> bool {
        matches!(self.state, ItemState::Waiting { .. } | ItemState::Running)
    }

    /// Returns the backoff before the next run, and counts it.
    pub(super) fn rerun_delay_ms(&mut self) -> u64 {
        let doublings = self.delayed_reruns.min(8);
        self.delayed_reruns += 1;
        (RERUN_DELAY_MS << doublings).min(RERUN_DELAY_MAX_MS)
    }

    /// Returns the result of an item that has ended.
    pub(super) fn result(&self) -> ItemResult {
        let outcome = match self.state {
            ItemState::Ended(outcome) => outcome,
            _ => ItemOutcome::Failed,
        };
        let output = match outcome {
            ItemOutcome::Done => self.partial.output.clone(),
            ItemOutcome::Failed => String::new(),
        };
        ItemResult {
            item: self.item.id.clone(),
            outcome,
            output,
        }
    }
}
