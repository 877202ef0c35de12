//! Fleet membership as a state machine without I/O: gossip dissemination,
//! failure detection with suspicion time-outs and incarnations, propagation of
//! the configuration, and ownership by rendezvous hashing.
//!
//! This crate exists so that tests can run the membership protocol with many
//! nodes and injected failures in virtual time, as [`simulation`] does. The
//! caller passes in the time and the events, and executes the [`Action`]s that
//! come out.
//!
//! A node keeps the records of all nodes of its own region, a summary of the
//! nodes of every other region, and the records of all upstreams.
//!
//! Begin reading at [`Fleet`], then at [`GossipFrame`], the message that nodes
//! exchange.
//!
//! Terms:
//!
//! - *Node*: a control program and the instance that it runs on. The entry and
//!   batch programs of the instance register with it.
//! - *Core*: the state machine of one node, [`Fleet`].
//! - *Table* and *list*: two services of the platform. The table stores the
//!   configuration row. The list contains the instances and upstreams, and lags
//!   behind their real state.
//! - *Neighbor*: a node of the same region that a node probes and gossips with.
//! - *Delegate*: one of the few nodes of a region that exchange frames with
//!   other regions.
//! - *Rumor*: a changed record that is still to be spread by gossip.
//! - *Incarnation*: a number that orders the records of one node or upstream; a
//!   record with a higher number replaces one with a lower number.
//! - *Tombstone*: the record of a dead node or upstream, which is kept so that
//!   older records cannot revive it.
//! - *Anti-entropy*: the comparison of digests by which two nodes find and send
//!   records that did not spread as rumors.

mod anti_entropy;
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
