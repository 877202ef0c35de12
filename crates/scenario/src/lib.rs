//! A small scenario language, whose commands start the real programs as
//! processes, inject faults, and check what callers and upstreams observe.
//!
//! This crate exists so that each guarantee is tested with processes that are
//! actually killed, paused and disconnected. Only tests use it. A scenario is
//! a text file with one command per line. Begin reading with `command.rs`,
//! which describes each command, and continue with `runner.rs`, which runs
//! them.
//!
//! An instance is a machine that runs a control, an entry and a batch program;
//! here it is a loopback address. An upstream is an engine or a plain service.
//! The upstreams and the platform are stand-ins from the crate `standin`.

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
