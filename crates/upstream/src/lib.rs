//! Client of model engines and plain services.
//!
//! This crate exists so that one place knows the upstream protocol, and tells
//! apart what certainly did not run, what may have run and what ran.

mod protocol;

pub use crate::protocol::{
    ChatChunk, ChatMessage, ChatRequest, LoadReport, Order, OrderAction, OrderAnswer, Usage,
    headers, paths,
};
