//! Measuring tools: load, the two measures of the product, and baselines.
//!
//! This crate exists so that figures in the docs come from commands that can
//! be run again. It is not shipped.

pub mod capacity;
pub mod compare;
mod driver;
mod fleet;
mod measure;
mod oracle;
pub mod overhead;
mod plot;
pub mod replay;
pub mod route;
mod workload;
mod world;

pub use crate::{
    driver::Scheduling,
    fleet::FleetShape,
    measure::{Outcome, Phase},
    oracle::OracleRules,
    workload::{Workload, WorkloadParams},
    world::run,
};
