//! Protocol between redwingtack's own programs: h2 streams with bincode bodies.
//!
//! This crate exists so that every program speaks one versioned protocol. It
//! carries messages; what they mean is decided elsewhere.

mod client;
mod codec;
mod error;
mod freshness;
mod gap;
mod message;
mod server;
mod view_watch;

pub use model::DispatchNotice;

pub use crate::{
    client::PeerClient,
    codec::{MESSAGE_MAX_BYTES, decode, encode},
    error::PeerError,
    freshness::Freshness,
    message::{
        ChatEnd, ChatUpdate, CoalesceRequest, NodeStatus, PROTOCOL_VERSION, PeerRequest,
        PeerResponse,
    },
    server::{PeerHandler, serve},
    view_watch::ViewWatch,
};
