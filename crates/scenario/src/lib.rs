//! A small test language that starts the real programs as processes, injects
//! faults, and checks what callers and upstreams observe.
//!
//! This crate exists so that each guarantee is tested with processes that are
//! actually killed, paused and disconnected. Only tests use it. A scenario is
//! a text file with one command per line. Begin reading with `command.rs`,
//! which describes each command, and continue with `runner.rs`, which runs
//! them.

mod address;
mod arguments;
mod command;
mod error;
mod fleet;
mod http_client;
mod jobs;
mod load;
mod parser;
mod process;
mod runner;
mod upstreams;

pub use crate::{
    address::AddressBlock,
    command::Script,
    error::{ParseError, ScenarioError},
    parser::parse_script,
    runner::run_script,
};
