//! Accepted jobs: what is stored of them, who owns them, how their items are
//! worked off and how results get positions that never change.
//!
//! This crate exists so that the promises about jobs can be checked against
//! lost answers, late writes and lost owners without any I/O. Callers pass the
//! time and the outcome of each write. A job has one owner at a time; every
//! write is conditional on the version of the job's record, which fences an
//! owner that lost the job without noticing.

mod beat_watch;
mod call_pace;
mod call_times;
mod directory;
mod item;
mod owned_job;
mod record;

pub use crate::{
    beat_watch::BeatWatch,
    call_pace::call_interval_ms,
    call_times::CallTimes,
    directory::{Directory, Heartbeat, StoredJob},
    item::{ItemOutcome, ItemResult, JobItem, Partial, ResultPage},
    owned_job::{Commit, CommitOutcome, CommitStep, ItemRun, OwnedJob, RunEnd},
    record::{ItemFailures, JobPhase, JobRecord, OwnerId},
};
