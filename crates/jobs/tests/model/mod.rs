//! A small explicit-state model of entries, batch programs and the platform
//! around the real job and lease core.
//!
//! Each step of an actor is one call to the table or one decision. Pauses need
//! no action of their own: an actor may stand still while others go on.

pub mod actor;
pub mod explore;
pub mod table;

use std::hash::{Hash, Hasher};

use jobs::{JobState, RowValue, job_key};
use xxhash_rust::xxh3::Xxh3Default;

use actor::{Entry, Holder};
use table::Table;

/// Length of a lease in the model, milliseconds.
pub const LEASE_MS: u64 = 10;

/// A fault planted into the harness to show that the check would find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Planted {
    Nothing,
    /// Commits are not conditional on the chunk's row.
    CommitWithoutFence,
    /// Entries acknowledge a job before its row is known to exist.
    AcknowledgementBeforeRow,
}

/// How often each kind of failure may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Processes that lose their memory.
    pub crashes: u8,
    /// Answers lost after the write took effect.
    pub lost_answers: u8,
    /// Writes that vanish, with an unknown outcome.
    pub lost_writes: u8,
    /// Writes that take effect only later, with an unknown outcome.
    pub late_writes: u8,
    /// Calls that are refused.
    pub refusals: u8,
    /// Times at which every lease lapses.
    pub lapses: u8,
    pub renewals: u8,
    pub hand_backs: u8,
    pub cancels: u8,
}

impl Budget {
    pub const NONE: Self = Self {
        crashes: 0,
        lost_answers: 0,
        lost_writes: 0,
        late_writes: 0,
        refusals: 0,
        lapses: 0,
        renewals: 0,
        hand_backs: 0,
        cancels: 0,
    };
}

/// One state of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub table: Table,
    pub entries: Vec<Entry>,
    pub holders: Vec<Holder>,
    pub canceller: Holder,
    pub budget: Budget,
    pub planted: Planted,
    pub now_ms: u64,
    pub items: u32,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation(pub String);

impl World {
    /// Two halves of a hash that stands for the state.
    pub fn fingerprint(&self) -> u128 {
        let mut hasher = Xxh3Default::new();
        self.hash(&mut hasher);
        // `finish` mixes in nothing, so that both halves see the whole state.
        let _ = hasher.finish();
        hasher.digest128()
    }

    /// Lets the first entry accept the job without failures.
    pub fn accept_first(&mut self) {
        self.entries[0].begin(self.items, self.planted);
        while let Some(ask) = self.entries[0].next_request() {
            let reply = actor::answer(&mut self.table, ask.as_ask()).unwrap();
            self.entries[0].on_reply(&reply);
        }
    }

    /// The job's state, if it was accepted.
    pub fn job_state(&self) -> Option<&JobState> {
        let key = job_key(&actor::new_job(0, self.items).job);
        match self.table.row(&key) {
            Some((_, RowValue::Job(row))) => Some(&row.state),
            _ => None,
        }
    }

    /// Checks what must hold in every state.
    pub fn check(&self) -> Result<(), Violation> {
        let acknowledged = self.entries.iter().filter(|entry| entry.is_acknowledged());
        let contents: Vec<u8> = acknowledged.map(|entry| entry.content).collect();
        if !contents.is_empty() && self.job_state().is_none() {
            return violated("a job was acknowledged and has no row");
        }
        if contents.windows(2).any(|pair| pair[0] != pair[1]) {
            return violated("two contents were acknowledged under one key");
        }
        self.check_results()
    }

    fn check_results(&self) -> Result<(), Violation> {
        let mut results = vec![0_u32; self.items as usize];
        for (chunk, row) in self.table.chunks() {
            let jobs::ChunkState::Done {
                completed, failed, ..
            } = &row.state
            else {
                continue;
            };
            let range = actor::items_of(chunk, self.items);
            if completed + failed != range.end - range.start {
                return violated("a committed chunk lacks items");
            }
            for item in range {
                results[item as usize] += 1;
            }
        }
        if results.iter().any(|count| *count > 1) {
            return violated("an item has two results");
        }
        let is_completed = matches!(self.job_state(), Some(JobState::Completed { .. }));
        if is_completed && results.contains(&0) {
            return violated("a job is completed and lacks a result");
        }
        Ok(())
    }
}

pub fn violated<T>(message: &str) -> Result<T, Violation> {
    Err(Violation(message.to_owned()))
}
