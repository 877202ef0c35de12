//! State machines of accepted jobs: what is stored of a job, which instance owns
//! it, how the owner runs its items, and how results get positions that never
//! change.
//!
//! This crate exists so that the guarantees about jobs can be tested against lost
//! responses, late writes and failed owners without any I/O. Callers pass in the
//! time and the outcome of each write. A job has one owner at a time. Every write
//! is conditional on the version of the job's record (optimistic concurrency).
//! The version acts as a fencing token: it rejects writes of an owner that lost
//! the job without noticing. The program `node` performs the writes.
//! The jobs of the `OpenAI`-compatible interface are in crate `jobs`.
//!
//! Terms: each instance holds a *lease*, which its heartbeats renew. A job is
//! *orphaned* if it has no owner that holds a lease. A *commit* writes results of
//! items and their positions. A *partial output* is the output so far of an item
//! that has not ended; a later run resumes after it.
//!
//! Begin reading at [`JobRecord`], which defines what is stored. [`OwnedJob`]
//! runs a job on its owner, and [`Directory`] decides which instance takes over
//! an orphaned job.

mod call_interval;
mod call_timeouts;
mod content_room;
mod customer_backlog;
mod directory;
mod end_statements;
mod heartbeat_monitor;
mod item;
mod owned_job;
mod record;
mod store_clock;
mod waiting_tokens;

pub use crate::{
    call_interval::call_interval_ms,
    call_timeouts::CallTimeouts,
    content_room::{ContentRoom, HeldContents},
    directory::{Directory, Heartbeat, StoredJob},
    heartbeat_monitor::HeartbeatMonitor,
    item::{
        ItemOutcome, ItemResult, ItemRun, JobItem, PartialOutput, ResultPage, RunOutcome,
        StoredItems,
    },
    owned_job::{Commit, CommitOutcome, CommitStep, OwnedJob},
    record::{ItemFailures, JobPhase, JobRecord, OwnerId},
    store_clock::StoreClock,
    waiting_tokens::{Admission, AdmissionRequest},
};
