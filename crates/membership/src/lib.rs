//! Fleet membership as a state machine without I/O: gossip dissemination,
//! failure detection with suspicion time-outs and incarnations, propagation of
//! the configuration, and ownership by rendezvous hashing.
//!
//! The caller passes in the time and the events, and executes the [`Action`]s
//! that come out, so that tests can run the protocol in virtual time. A node
//! keeps the full state of its own region and a summary of every other region.
//!
//! Begin reading at [`Fleet`], then at [`GossipFrame`], the message that nodes
//! exchange.

mod digest;
mod exchange;
mod fleet;
mod gossip;
mod listing;
mod node;
mod ownership;
mod region;
mod rumor;
pub mod simulation;
mod tick;
mod upstream;
mod view;

pub use crate::{
    fleet::{Action, Fleet, GossipRequest},
    gossip::{
        GossipFrame, NodeRecord, Program, RegionReachability, RegionSummary, UpstreamEvidence,
        UpstreamRecord,
    },
    listing::{ListedNode, Listing},
    ownership::{batch_window_owner, idempotency_key_home, order_issuer, rendezvous_weight},
};
