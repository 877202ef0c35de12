//! Messages between programs.

use std::sync::Arc;

use membership::{GossipFrame, UpstreamEvidence};
use model::{
    DispatchNotice, ErrorKind, InstanceEntry, InstanceId, JobId, Region, View, ViewRevision,
};
use serde::{Deserialize, Serialize};

/// Version of the protocol, sent with each request; others are refused.
pub const PROTOCOL_VERSION: u16 = 1;
/// Header that carries the version, in requests and answers.
pub(crate) const VERSION_HEADER: &str = "redwingtack-protocol";

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// News between control programs.
    Gossip(GossipFrame),
    /// From entry and batch to the control program beside them: answers with a
    /// [`PeerResponse::View`] as soon as its revision differs from `revision`,
    /// or with the same view when `wait_ms` have passed. Revisions do not
    /// outlive the control program, hence "differs" and not "exceeds".
    ViewSince {
        /// Revision that the sender has.
        revision: ViewRevision,
        /// Longest wait, milliseconds.
        wait_ms: u64,
    },
    /// From entry and batch to the control program beside them: the sender
    /// runs, and with which state.
    Register(InstanceEntry),
    /// From entry and batch to control: contacts with upstreams.
    Evidence(Vec<UpstreamEvidence>),
    /// From an entry to the owner of a batch window: online work sent to its
    /// upstreams, coalesced.
    Notices(Vec<DispatchNotice>),
    /// From an entry to batch programs: a job was cancelled.
    CancelJob(JobId),
    /// From an entry to the home entry of an idempotency key.
    Coalesce {
        /// Customer and key.
        key: Arc<str>,
    },
    /// Between control programs: which configuration versions are in force.
    ConfigStatus {
        /// Whether the receiver asks the other nodes of its region too.
        region_wide: bool,
    },
}

/// Configuration version that a node has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub id: InstanceId,
    /// Its region.
    pub region: Region,
    /// The version, or `None` if the node did not answer.
    pub config_version: Option<u64>,
}

/// The answer of a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Done.
    Ack,
    /// The view asked for.
    View(Box<View>),
    /// Versions in force, one entry per node.
    ConfigStatus(Vec<NodeStatus>),
    /// News in return.
    Gossip(GossipFrame),
    /// Refused.
    Refused(ErrorKind),
}
