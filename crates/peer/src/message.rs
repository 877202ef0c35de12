//! Messages between programs.

use std::sync::Arc;

use membership::{GossipFrame, UpstreamEvidence};
use model::{
    ClassName, DispatchNotice, ErrorKind, InstanceEntry, InstanceId, JobId, Ran, Region, View,
    ViewRevision,
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
    /// From an entry to the home entry of an idempotency key: answers with
    /// [`PeerResponse::Chat`] as soon as there is news.
    Coalesce(CoalesceRequest),
    /// Between control programs: which configuration versions are in force.
    ConfigStatus {
        /// Whether the receiver asks the other nodes of its region too.
        region_wide: bool,
    },
}

/// Follows the one run of a chat request that several resends share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoalesceRequest {
    /// Customer and idempotency key.
    pub key: Arc<str>,
    /// Tells apart two requests under one key.
    pub digest: u128,
    /// Class of the request.
    pub class: ClassName,
    /// The request as JSON, so that the home entry can run it. `None` when the
    /// sender follows a run that it has seen.
    pub body: Option<String>,
    /// Tokens that the sender has.
    pub received_tokens: u32,
    /// Longest wait, milliseconds.
    pub wait_ms: u64,
}

/// News of a chat request that runs at the home entry of its key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatUpdate {
    /// Tokens after those that the receiver has.
    pub tokens: Vec<String>,
    /// How the request ended, once it has and all tokens are passed on.
    pub end: Option<ChatEnd>,
}

/// How a chat request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChatEnd {
    /// The answer is whole.
    Finished {
        /// `stop` or `length`.
        finish_reason: String,
        /// Tokens of the prompt, of the answer and of the prompt's cached part.
        usage: Option<[u32; 3]>,
    },
    /// There is no whole answer.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// Text for the caller.
        message: String,
        /// Whether it ran.
        ran: Ran,
        /// When to come back, seconds, if the table's time is not right.
        retry_after_s: Option<u32>,
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
    /// News of a chat request.
    Chat(ChatUpdate),
    /// Refused.
    Refused(ErrorKind),
}
