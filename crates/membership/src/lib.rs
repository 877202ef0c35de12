//! View of the fleet: gossip, suspicion, incarnations and configuration
//! versions, as a core without I/O.

mod gossip;

pub use crate::gossip::{GossipFrame, InstanceRumor, UpstreamEvidence, UpstreamRumor};
