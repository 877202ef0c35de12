//! Load generation and benchmarks: latency, throughput and cost of the serving
//! system, compared with baselines.
//!
//! This crate exists so that the figures in the documentation come from
//! commands that can be run again. It is not shipped.
//!
//! Begin reading at `src/main.rs`, which lists the subcommands. Each has a
//! module of its own here:
//!
//! - [`compare`](compare::compare) runs the decisions of crate `policy` in the
//!   discrete-event simulation of the module `simulation`.
//! - [`replay`](replay::replay) runs the decisions of crate `gateway` in a
//!   simulation of its own.
//! - [`route`](route::route), [`capacity`](capacity::capacity) and
//!   [`overhead`](overhead::overhead) measure on the machine that they run on.
//!
//! Terms:
//!
//! - *Entry program*, or *entry*: the program that sends callers' online requests
//!   to upstreams.
//! - *Engine*: an upstream that runs models with continuous batching, here the
//!   stand-in engine of crate `standin`.
//! - *Owner*: the batch program that submits batch items to one engine.
//! - *Alone*: a run without batch work, which the others are compared with.
//! - *Harm*: the largest ratio of a 99th-percentile online latency to the one
//!   alone.
//! - *Oracle*: a batch scheduler that knows future requests. Its batch throughput
//!   is the reference for that of the policies.

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
