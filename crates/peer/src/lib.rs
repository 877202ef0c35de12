//! Protocol between redwingtack's own programs: HTTP/2 requests with bincode
//! bodies.
//!
//! This crate exists so that every program speaks one versioned protocol. It
//! only transports messages; the receiving program interprets them.
//!
//! A peer is any redwingtack program that is called over this protocol. The home
//! entry of an idempotency key is the entry that runs the chat request with that
//! key, also if callers send the request to other entries.
//!
//! Begin reading at [`PeerRequest`], then at [`PeerClient`] and [`serve`], the
//! two ends of a call. [`ViewWatch`] keeps a program's copy of the fleet view.

mod client;
mod codec;
mod error;
mod freshness;
mod message;
mod pause_detector;
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
