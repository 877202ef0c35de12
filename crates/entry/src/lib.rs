//! The callers' API: online calls to models and plain services.
//!
//! This crate exists so that callers meet one HTTP interface, in `OpenAI`'s
//! form, on every instance. Where a request goes is decided by the policy
//! core; this crate performs what the core decides.

mod background;
mod caller;
mod chat;
mod clock;
mod completion;
mod deadlines;
mod dispatch;
mod evidence;
mod metrics;
mod models;
mod peer_service;
mod refusal;
mod routes;
mod server;
mod service;
mod settings;
mod view_source;

pub use crate::{
    server::{Entry, StartError},
    settings::{EntryOptions, EntrySettings, options},
    view_source::ViewSource,
};
