//! Accepted jobs: what is stored of them, who owns them, how their items are
//! worked off and how results get positions that never change.
//!
//! This crate exists so that the promises about jobs can be checked against
//! lost answers, late writes and lost owners without any I/O. Callers pass the
//! time and the outcome of each write. A job has one owner at a time; every
//! write is conditional on the version of the job's record, which fences an
//! owner that lost the job without noticing.

mod call_interval;
mod call_timeouts;
mod directory;
mod heartbeat_monitor;
mod item;
mod owned_job;
mod record;

pub use crate::{
    call_interval::call_interval_ms,
    call_timeouts::CallTimeouts,
    directory::{Directory, Heartbeat, StoredJob},
    heartbeat_monitor::HeartbeatMonitor,
    item::{ItemOutcome, ItemResult, JobItem, PartialOutput, ResultPage},
    owned_job::{Commit, CommitOutcome, CommitStep, ItemRun, OwnedJob, RunOutcome},
    record::{ItemFailures, JobPhase, JobRecord, OwnerId},
};
