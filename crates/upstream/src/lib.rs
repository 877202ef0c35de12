//! Client of model engines and plain services.
//!
//! This crate exists so that the upstream protocol is implemented in one place,
//! which classifies each failure by whether the request certainly did not run,
//! may have run or ran.
//!
//! Begin reading at [`UpstreamClient`].

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
