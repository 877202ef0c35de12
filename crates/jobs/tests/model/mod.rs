//! A small explicit-state model of entry programs, batch programs and the
//! platform's table, which runs the real code of crate `jobs`.
//!
//! Each step of an actor is one request to the table or one decision. A pause of
//! a process needs no step of its own, because the search also covers runs in
//! which an actor takes no step while the others continue.

pub mod actor;
pub mod explore;
pub mod table;

use std::hash::{Hash, Hasher};

use jobs::{JobState, RowValue, job_key};
use xxhash_rust::xxh3::Xxh3Default;

use actor::{Entry, Holder};
use table::Table;

/// Length of a lease in the model, in milliseconds.
pub const LEASE_MS: u64 = 10;

/// A fault injected into the harness to show that the model check finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    None,
    /// Commits are not conditional on the version of the chunk's row.
    CommitWithoutFence,
    /// Entry programs acknowledge a job before its row is known to exist.
    AcknowledgementBeforeRow,
}

/// Number of times that each kind of event may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EventBudget {
    /// Processes that crash and lose their state.
    pub crashes: u8,
    /// Replies lost after the write took effect.
    pub lost_replies: u8,
    /// Requests lost before the write takes effect, with an unknown outcome.
    pub lost_writes: u8,
    /// Writes that take effect later, with an unknown outcome.
    pub delayed_writes: u8,
    /// Transactions that fail and are known not to have been applied.
    pub refusals: u8,
    /// Advances of the clock by which every current lease lapses.
    pub lapses: u8,
    pub renewals: u8,
    pub releases: u8,
    pub cancellations: u8,
}

impl EventBudget {
    pub const NONE: Self = Self {
        crashes: 0,
        lost_replies: 0,
        lost_writes: 0,
        delayed_writes: 0,
        refusals: 0,
        lapses: 0,
        renewals: 0,
        releases: 0,
        cancellations: 0,
    };
}

/// One state of the modelled system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub table: Table,
    pub entries: Vec<Entry>,
    pub holders: Vec<Holder>,
    pub canceller: Holder,
    pub budget: EventBudget,
    pub injected_fault: InjectedFault,
    pub now_ms: u64,
    pub items: u32,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation(pub String);

impl World {
    /// Returns a 128-bit hash that identifies the state.
    pub fn fingerprint(&self) -> u128 {
        let mut hasher = Xxh3Default::new();
        self.hash(&mut hasher);
        // `finish` does not change the hasher, so the digest covers the whole
        // state.
        let _ = hasher.finish();
        hasher.digest128()
    }

    /// Runs the acceptance of the job by the first entry program without failures.
    pub fn accept_at_first_entry(&mut self) {
        self.entries[0].start_acceptance(self.items, self.injected_fault);
        while let Some(request) = self.entries[0].next_request() {
            let reply = actor::execute(&mut self.table, request.as_request()).unwrap();
            self.entries[0].on_reply(&reply);
        }
    }

    /// Returns the job's state, or `None` if the job has no row.
    pub fn job_state(&self) -> Option<&JobState> {
        let key = job_key(&actor::new_job(0, self.items).job);
        match self.table.row(&key) {
            Some((_, RowValue::Job(row))) => Some(&row.state),
            _ => None,
        }
    }

    /// Checks the invariants that must hold in every state.
    pub fn check_invariants(&self) -> Result<(), Violation> {
        let acknowledged = self.entries.iter().filter(|entry| entry.is_acknowledged());
        let contents: Vec<u8> = acknowledged.map(|entry| entry.content).collect();
        if !contents.is_empty() && self.job_state().is_none() {
            return violation("a job was acknowledged and has no row");
        }
        if contents.windows(2).any(|pair| pair[0] != pair[1]) {
            return violation("two contents were acknowledged under one idempotency key");
        }
        self.check_results()
    }

    fn check_results(&self) -> Result<(), Violation> {
        let mut result_counts = vec![0_u32; self.items as usize];
        for (chunk, row) in self.table.chunk_rows() {
            let jobs::ChunkState::Done {
                completed, failed, ..
            } = &row.state
            else {
                continue;
            };
            let range = actor::items_in(chunk, self.items);
            if completed + failed != range.end - range.start {
                return violation("a committed chunk lacks results");
            }
            for item in range {
                result_counts[item as usize] += 1;
            }
        }
        if result_counts.iter().any(|count| *count > 1) {
            return violation("an item has two results");
        }
        let is_completed = matches!(self.job_state(), Some(JobState::Completed { .. }));
        if is_completed && result_counts.contains(&0) {
            return violation("a job is completed but an item has no result");
        }
        Ok(())
    }
}

pub fn violation<T>(message: &str) -> Result<T, Violation> {
    Err(Violation(message.to_owned()))
}
