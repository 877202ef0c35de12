//! A small test language that starts the real programs as processes, makes
//! them fail, and checks what callers and upstreams have seen.
//!
//! This crate exists so that each promise is tested with processes that are
//! really killed, paused and cut off. It is used by tests only. A scenario is
//! a text file with one command a line; `command.rs` describes each.

mod address;
mod arguments;
mod caller;
mod command;
mod error;
mod fleet;
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
