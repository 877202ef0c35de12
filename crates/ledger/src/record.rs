//! The stored record of a job.

use std::sync::Arc;

use model::InstanceId;
use serde::{Deserialize, Serialize};

/// One incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OwnerId {
    /// The instance.
    pub instance: InstanceId,
    /// When its process started, Unix milliseconds.
    pub started_unix_ms: u64,
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Items may run.
    Open,
    /// Ended by its caller; nothing more starts.
    Ended,
    /// Every item has a result.
    Complete,
}

/// What is stored of a job besides items and results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Who runs it; `None` if it was released.
    pub owner: Option<OwnerId>,
    /// Where it stands.
    pub phase: JobPhase,
    /// Host of its route.
    pub host: Arc<str>,
    /// Path that it was submitted to.
    pub path: Arc<str>,
    /// Number of items.
    pub item_count: u32,
    /// When it was accepted, Unix milliseconds.
    pub accepted_unix_ms: u64,
    /// When its results are due, Unix milliseconds.
    pub due_unix_ms: u64,
    /// When unfinished items may be given up, Unix milliseconds.
    pub give_up_unix_ms: u64,
    /// Indices of the items with results, by the position of the result.
    #[serde(rename = "listed")]
    pub committed: Vec<u32>,
    /// Items that upstreams failed, sorted by index.
    pub failures: Vec<ItemFailures>,
}

/// Failures of one item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemFailures {
    /// Index of the item.
    pub item_index: u32,
    /// Runs that ended with a server error.
    pub errors: u32,
}

impl JobRecord {
    /// Whether an owner has work on the job.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.phase == JobPhase::Open
    }

    /// Number of results.
    #[must_use]
    pub fn committed_count(&self) -> u64 {
        self.committed.len() as u64
    }

    /// Server errors of an item so far.
    #[must_use]
    pub fn error_count(&self, item_index: u32) -> u32 {
        self.failures
            .binary_search_by_key(&item_index, |failures| failures.item_index)
            .map_or(0, |index| self.failures[index].errors)
    }

    /// Counts one more server error of an item.
    pub fn record_error(&mut self, item_index: u32) {
        match self
            .failures
            .binary_search_by_key(&item_index, |failures| failures.item_index)
        {
            Ok(index) => self.failures[index].errors += 1,
            Err(index) => self.failures.insert(
                index,
                ItemFailures {
                    item_index,
                    errors: 1,
                },
            ),
        }
    }
}
