//! Load generation and benchmarks: latency and throughput of the product,
//! next to baselines.
//!
//! This crate exists so that the figures in the documentation come from
//! commands that can be run again. It is not shipped. `src/main.rs` lists the
//! subcommands; each has a module of its own here.

mod batch_owner;
pub mod capacity;
pub mod compare;
mod fleet;
mod oracle;
mod outcome;
pub mod overhead;
mod plot;
pub mod replay;
pub mod route;
mod simulation;
mod workload;

pub use crate::{
    batch_owner::Scheduling,
    fleet::FleetShape,
    oracle::OracleRules,
    outcome::{Outcome, Phase},
    simulation::run,
    workload::{Workload, WorkloadParams},
};
