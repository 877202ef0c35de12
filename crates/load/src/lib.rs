//! Measuring tools: load, the two measures of the product, and baselines.
//!
//! This crate exists so that figures in the docs come from commands that can
//! be run again. It is not shipped.

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
