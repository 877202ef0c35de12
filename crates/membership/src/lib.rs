//! View of the fleet: gossip, suspicion, incarnations, configuration versions
//! and ownership, as a core without I/O.
//!
//! Time and events come in as arguments, what to do comes out as [`Action`]s.
//! A node knows its own region in full and of each other region a summary.

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
