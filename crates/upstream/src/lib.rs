//! Client of model engines and plain services.
//!
//! This crate exists so that one place knows the upstream protocol, and tells
//! apart what certainly did not run, what may have run and what ran.

mod chat;
mod client;
mod error;
mod events;
mod protocol;
mod transport;

pub use crate::{
    chat::ChatStream,
    client::{ServiceAnswer, ServiceCall, UpstreamClient},
    error::UpstreamError,
    protocol::{
        ChatChunk, ChatMessage, ChatRequest, LoadReport, Order, OrderAction, OrderAnswer, Usage,
        headers, paths,
    },
};
