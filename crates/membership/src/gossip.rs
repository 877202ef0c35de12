//! The messages that control programs exchange by gossip.

use std::sync::Arc;

use model::{
    FailureDomain, FleetConfig, InstanceId, InstanceRole, Liveness, Region, UpstreamEntry,
    UpstreamId,
};
use serde::{Deserialize, Serialize};

/// A gossip message between two control programs, sent as a request or as a
/// response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipFrame {
    /// The node that sends the frame.
    pub sender: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Region of the sender.
    pub region: Region,
    /// Configuration version that is in force at the sender.
    pub config_version: u64,
    /// Whether the sender knows the nodes and upstreams of its region.
    pub knows_region: bool,
    /// Whether the sender asks the receiver to send its configuration.
    pub wants_config: bool,
    /// The sender's configuration, if it was requested or is offered.
    pub config: Option<Arc<FleetConfig>>,
    /// In a frame within a region, the digest of the sender's tables. In a
    /// frame to another region, the digest of the sample that the sender has of
    /// that region.
    pub digest: u64,
    /// Truncated digests of the sender's buckets, for anti-entropy. Empty
    /// unless the sender compares buckets.
    pub bucket_digests: Vec<u32>,
    /// Records of nodes to merge.
    pub nodes: Vec<NodeRecord>,
    /// Records of upstreams to merge.
    pub upstreams: Vec<UpstreamRecord>,
    /// Summaries of regions to merge.
    pub summaries: Vec<RegionSummary>,
}

/// Versioned state of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Identifies the node.
    pub id: InstanceId,
    /// Region of the node.
    pub region: Region,
    /// Failure domain of the node.
    pub failure_domain: FailureDomain,
    /// Peer address of the control program on the node, `IP:PORT`.
    pub peer_address: String,
    /// Number that only the node itself increases, with each change of its
    /// state. A record with a higher incarnation replaces one with a lower.
    pub incarnation: u64,
    /// Whether the node accepts work.
    pub liveness: Liveness,
    /// Entry and batch programs on the node, sorted by role.
    pub programs: Vec<Program>,
}

/// An entry or batch program on a control program's node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Role of the program: entry or batch.
    pub role: InstanceRole,
    /// Peer address of the program, `IP:PORT`.
    pub peer_address: String,
    /// Whether the program accepts work.
    pub liveness: Liveness,
    /// Distinguishes successive runs of the program; a higher number is newer.
    pub incarnation: u64,
}

/// Versioned state of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Address, kind, location and liveness of the upstream.
    pub entry: UpstreamEntry,
    /// Distinguishes successive incarnations of the upstream; a higher number
    /// is newer.
    pub incarnation: u64,
    /// Time of the contact or listing from which the state was derived, Unix
    /// milliseconds.
    pub seen_at_ms: u64,
    /// Time at which this incarnation was first seen, Unix milliseconds.
    /// Evidence from before this time belongs to an earlier incarnation.
    pub first_seen_at_ms: u64,
}

/// Summary of a region for nodes in other regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The summarized region.
    pub region: Region,
    /// Time at which the summary was created, Unix milliseconds. A newer
    /// summary replaces an older one.
    pub created_at_ms: u64,
    /// Number of nodes that accept work.
    pub live_nodes: u32,
    /// Number of nodes that are suspect or leaving.
    pub non_live_nodes: u32,
    /// A bounded sample of the region's nodes, sorted by id.
    pub sample: Vec<NodeRecord>,
    /// Whether the region can be reached from the sender's region.
    pub reachability: RegionReachability,
}

/// Whether a region can be reached from another region.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionReachability {
    /// Whether several consecutive requests to the region failed.
    pub is_unreachable: bool,
    /// Time of the last change, Unix milliseconds. A newer value replaces an
    /// older one.
    pub changed_at_ms: u64,
}

/// Evidence about an upstream from a program that contacted it directly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEvidence {
    /// Identifies the upstream.
    pub id: UpstreamId,
    /// Liveness that the contact showed: `Leaving` if the upstream said that it
    /// is leaving, `Suspect` if it could not be reached, `Live` only if it said
    /// that it accepts new work.
    pub liveness: Liveness,
    /// Time of the contact, Unix milliseconds.
    pub seen_at_ms: u64,
}
