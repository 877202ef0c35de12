//! The batch program: claims chunks of jobs, runs their items at upstreams within the
//! batch window of each upstream, and commits the results.
//!
//! This crate exists so that batch work runs in processes of its own, which can be
//! killed at any moment without an online caller noticing. One task owns all state and
//! advances it on events and timer ticks. Calls to the platform and to upstreams run in
//! separate tasks, which report to it by events.
//!
//! Terms: a *job* is a batch that a caller created, and an *item* is one line of its
//! input file. A *chunk* is a range of items that one process leases as a whole. The
//! *open row* of a job lists the job as open and shows which of its chunks are active.
//! The *batch window* of an upstream bounds the batch work in flight there; one batch
//! process owns it.
//!
//! Begin reading at `worker`, which holds the state, then `schedule`, which selects the
//! work, and `chunks`, which loads chunks and writes their rows.

mod chunks;
mod claims;
mod context;
mod dispatch;
mod event;
mod held;
mod open_jobs;
mod program;
mod prompt;
mod schedule;
mod settings;
mod watch_list;
mod windows;
mod worker;
mod writes;

pub use crate::{
    program::{Batch, BatchError},
    settings::{BatchOptions, BatchSettings, options},
};
