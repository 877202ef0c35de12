//! HTTP server for callers: chat completions, models, files, batches and calls
//! to plain services.
//!
//! This crate exists so that every instance offers callers the same HTTP API,
//! which follows `OpenAI`'s. The `policy` crate decides where a request goes;
//! this crate does the I/O that follows from the decision.
//!
//! Terms: an *upstream* is a model engine or a plain service that requests are sent
//! to. The *view* is the state of the fleet that the control program publishes. The
//! *home entry* of an idempotency key is the entry at which all resends of a chat
//! request under this key share one run.
//!
//! Begin reading at [`Entry`], which starts and stops the server. The private
//! module `routes` lists the paths, `dispatch` connects requests to the policy,
//! and `chat` and `service` handle the two kinds of online requests.

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
