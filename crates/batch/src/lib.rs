//! The batch program: claims chunks of jobs, runs their items at upstreams
//! within the batch window, and commits results.
//!
//! This crate exists so that batch work can be killed at any moment without an
//! online caller noticing. One task owns all state and ticks; calls to the
//! platform and to upstreams are tasks that report back by events.

mod chunk_execution;
mod chunks;
mod claims;
mod context;
mod dispatch;
mod event;
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
