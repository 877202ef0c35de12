//! What control programs tell each other.

use model::{FleetConfig, InstanceEntry, Liveness, UpstreamEntry, UpstreamId};
use serde::{Deserialize, Serialize};

/// One exchange of news between two control programs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipFrame {
    /// The sender as it sees itself.
    pub sender: InstanceEntry,
    /// Highest configuration version that the sender has in force.
    pub config_version: u64,
    /// The configuration, when the receiver is known or suspected to lack it.
    pub config: Option<FleetConfig>,
    /// Changes of instances.
    pub instances: Vec<InstanceRumor>,
    /// Changes of upstreams.
    pub upstreams: Vec<UpstreamRumor>,
}

/// News of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceRumor {
    /// State of the instance.
    pub entry: InstanceEntry,
    /// Configuration version it had in force when last heard.
    pub config_version: u64,
}

/// News of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRumor {
    /// State of the upstream.
    pub entry: UpstreamEntry,
    /// Distinguishes successive lives; higher is newer.
    pub incarnation: u64,
}

/// Direct evidence about an upstream, from a program that talked to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEvidence {
    /// The upstream.
    pub id: UpstreamId,
    /// What the contact showed.
    pub liveness: Liveness,
    /// Unix time of the contact, milliseconds.
    pub seen_at_ms: u64,
}
