//! The callers' API: online calls to models and plain services.
//!
//! This crate exists so that callers meet one HTTP interface, in `OpenAI`'s
//! form, on every instance. Where a request goes is decided by the policy
//! core; this crate performs what the core decides.

mod answer;
mod caller;
mod chat;
mod clock;
mod engine;
mod fleet;
mod models;
mod refusal;
mod routing;
mod server;
mod settings;

pub use crate::{
    fleet::FleetWatch,
    refusal::Refusal,
    server::{Entry, StartError},
    settings::{EntryOptions, EntrySettings, options},
};
