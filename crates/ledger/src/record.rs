//! The stored record of a job.

use std::sync::Arc;

use model::{CustomerName, InstanceId};
use serde::{Deserialize, Serialize};

/// One incarnation of an instance, as the owner of jobs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OwnerId {
    /// The instance.
    pub instance: InstanceId,
    /// When the instance's process started, in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// State of a job's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Items may run.
    Open,
    /// The caller ended the job; no further items start.
    Ended,
    /// Every item has a result.
    Complete,
}

/// What is stored of a job besides its items and results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The incarnation that runs the job; `None` if its last owner released it
    /// when it stopped.
    pub owner: Option<OwnerId>,
    /// State of the job.
    pub phase: JobPhase,
    /// Host of the route on which the job was submitted.
    pub host: Arc<str>,
    /// Request path on which the job was submitted.
    pub path: Arc<str>,
    /// Name of the route on which the job was submitted. Empty in records written by
    /// earlier versions of the program.
    #[serde(default)]
    pub route: Arc<str>,
    /// Customer that submitted the job; `None` if the configuration named no customers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
    /// Tokens of the items that have no stored result.
    #[serde(default)]
    pub unfinished_tokens: u64,
    /// Whether the job is admitted. Otherwise it has been acknowledged to nobody and may
    /// be removed, because too many tokens wait on its route.
    #[serde(default = "admitted", skip_serializing_if = "is_true")]
    pub is_admitted: bool,
    /// Number of items.
    pub item_count: u32,
    /// When the job was accepted, in milliseconds of the store's clock.
    pub accepted_at_ms: u64,
    /// When the results are due, in milliseconds of the store's clock.
    pub due_at_ms: u64,
    /// When unfinished items may be given up, in milliseconds of the store's clock.
    pub give_up_at_ms: u64,
    /// Indices of the items whose results are stored, in the order of their
    /// result positions.
    #[serde(rename = "listed")]
    pub committed: Vec<u32>,
    /// Numbers of server errors of the items that had any, sorted by item index.
    pub failures: Vec<ItemFailures>,
}

/// Server errors of one item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemFailures {
    /// Index of the item.
    pub item_index: u32,
    /// Number of runs that ended with a server error.
    pub errors: u32,
}

impl JobRecord {
    /// Returns whether items of the job may still run.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.phase == JobPhase::Open
    }

    /// Returns the tokens of the items that wait for a result.
    #[must_use]
    pub fn waiting_tokens(&self) -> u64 {
        if self.is_open() {
            self.unfinished_tokens
        } else {
            0
        }
    }

    /// Returns the number of stored results.
    #[must_use]
    pub fn committed_count(&self) -> u64 {
        self.committed.len() as u64
    }

    /// Returns the number of items without a stored result.
    #[must_use]
    pub fn unfinished_items(&self) -> u64 {
        u64::from(self.item_count).saturating_sub(self.committed_count())
    }

    /// Returns how many runs of an item have ended with a server error.
    #[must_use]
    pub fn error_count(&self, item_index: u32) -> u32 {
        self.failures
            .binary_search_by_key(&item_index, |failures| failures.item_index)
            .map_or(0, |index| self.failures[index].errors)
    }

    /// Records one more server error of an item.
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

/// Returns whether a job is admitted if its record does not say: such jobs have no limit.
fn admitted() -> bool {
    true
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde requires this signature"
)]
fn is_true(value: &bool) -> bool {
    *value
}
