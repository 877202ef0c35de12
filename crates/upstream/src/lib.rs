//! Client of model engines and plain services.
//!
//! This crate exists so that the upstream protocol is implemented in one place,
//! which classifies each failure by whether the request certainly did not run,
//! may have run or ran.
//!
//! An upstream is a model engine, which streams chat completions, or a plain
//! service, to which HTTP requests are forwarded. An attempt is one try to run a
//! request at one upstream; its id also identifies the stream of its response. An
//! order to load or unload a model carries a fencing token, so that an engine can
//! refuse late orders of an earlier issuer.
//!
//! Begin reading at [`UpstreamClient`], then at [`UpstreamError`].

mod chat;
mod client;
mod connector;
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
