//! What control programs tell each other.

use std::sync::Arc;

use model::{
    FailureDomain, FleetConfig, InstanceId, InstanceRole, Liveness, Region, UpstreamEntry,
    UpstreamId,
};
use serde::{Deserialize, Serialize};

/// One exchange of news between two control programs, as question or answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipFrame {
    /// Node that sends the frame.
    pub sender: InstanceId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its region.
    pub region: Region,
    /// Highest configuration version that the sender has in force.
    pub config_version: u64,
    /// Whether the sender knows the nodes and upstreams of its region.
    pub knows_region: bool,
    /// Whether the answer should carry the configuration.
    pub wants_config: bool,
    /// The configuration, if it was asked for.
    pub config: Option<Arc<FleetConfig>>,
    /// Within a region, digest of everything that the sender knows; towards
    /// another region, digest of the sample that it has of that region.
    pub digest: u64,
    /// Digests of the parts of it, sent when `digest` keeps differing.
    pub buckets: Vec<u32>,
    /// News of nodes.
    pub nodes: Vec<NodeRecord>,
    /// News of upstreams.
    pub upstreams: Vec<UpstreamRecord>,
    /// News of other regions.
    pub summaries: Vec<RegionSummary>,
}

/// State of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The node.
    pub id: InstanceId,
    /// Region of the node.
    pub region: Region,
    /// Failure domain of the node.
    pub failure_domain: FailureDomain,
    /// Peer address of its control program, `IP:PORT`.
    pub peer_address: String,
    /// Grows with each change that the node makes to its own state.
    pub incarnation: u64,
    /// Whether it takes work.
    pub liveness: Liveness,
    /// Entry and batch programs on the node, sorted by role.
    pub programs: Vec<Program>,
}

/// An entry or batch program beside a control program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Which program.
    pub role: InstanceRole,
    /// Its peer address, `IP:PORT`.
    pub peer_address: String,
    /// Whether it takes work.
    pub liveness: Liveness,
    /// Distinguishes successive runs; higher is newer.
    pub incarnation: u64,
}

/// State of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// The upstream.
    pub entry: UpstreamEntry,
    /// Distinguishes successive lives; higher is newer.
    pub incarnation: u64,
    /// Time of the contact or listing that the state rests on, Unix
    /// milliseconds.
    pub seen_at_ms: u64,
    /// Time at which this life was first seen, Unix milliseconds; earlier
    /// evidence belongs to another life.
    pub born_at_ms: u64,
}

/// What nodes outside a region need to know of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The region.
    pub region: Region,
    /// Time of the summary, Unix milliseconds; newer replaces older.
    pub made_at_ms: u64,
    /// Nodes that take work.
    pub live: u32,
    /// Nodes that are suspected or leaving.
    pub other: u32,
    /// A bounded sample of the region's nodes, sorted by id.
    pub sample: Vec<NodeRecord>,
    /// Whether the region can be reached, as seen from the sender's region.
    pub contact: RegionReachability,
}

/// Whether a region can be reached from another one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionReachability {
    /// No node of the region answers.
    pub lost: bool,
    /// Time of the last change, Unix milliseconds; newer replaces older.
    pub changed_at_ms: u64,
}

/// Direct evidence about an upstream, from a program that talked to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEvidence {
    /// The upstream.
    pub id: UpstreamId,
    /// What the contact showed: `Leaving` if the upstream said so, `Suspect` if
    /// it could not be reached, `Live` only if it said that it takes new work.
    pub liveness: Liveness,
    /// Unix time of the contact, milliseconds.
    pub seen_at_ms: u64,
}
