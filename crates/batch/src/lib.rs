//! The batch program: claims chunks of jobs, runs their items at upstreams within the
//! batch window of each upstream, and commits the results.
//!
//! This crate exists so that batch work runs in processes of its own, which can be
//! killed at any moment without an online caller noticing. One task owns all state and
//! advances it on events and timer ticks. Calls to the platform and to upstreams run in
//! separate tasks, which report to it by events.
//!
//! Begin reading at `worker`, which holds the state.

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
