//! View of the fleet: gossip, suspicion, incarnations, configuration versions
//! and ownership, as a core without I/O.
//!
//! Time and events come in as arguments, what to do comes out as [`Action`]s.
//! A node knows its own region in full and of each other region a summary.

pub mod bench;
mod digest;
mod exchange;
mod fleet;
mod gossip;
mod listing;
mod node;
mod ownership;
mod region;
mod rumor;
mod tick;
mod upstream;
mod view;

pub use crate::{
    fleet::{Action, Fleet, Question},
    gossip::{
        GossipFrame, NodeRumor, Program, RegionContact, RegionSummary, UpstreamEvidence,
        UpstreamRumor,
    },
    listing::{ListedNode, Listing},
    ownership::{batch_window_owner, key_home, order_issuer, rendezvous_weight},
};
