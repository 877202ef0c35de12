//! Requests and responses exchanged by the programs.

use std::sync::Arc;

use membership::{GossipFrame, UpstreamEvidence};
use model::{
    ClassName, DispatchNotice, ErrorKind, InstanceEntry, InstanceId, JobId, Ran, Region, View,
    ViewRevision,
};
use serde::{Deserialize, Serialize};

/// Version of the protocol, sent with each request. A server refuses requests
/// of any other version.
pub const PROTOCOL_VERSION: u16 = 1;
/// Header that carries the protocol version in requests and responses.
pub(crate) const VERSION_HEADER: &str = "redwingtack-protocol";

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Gossip exchange between control programs.
    Gossip(GossipFrame),
    /// Long poll from entry and batch programs to the control program on their
    /// instance. The response is a [`PeerResponse::View`] as soon as its
    /// revision differs from `revision`, or the unchanged view once `wait_ms`
    /// have passed. A smaller revision counts as different too, because the
    /// revisions of a restarted control program cannot be compared with earlier
    /// ones.
    ViewSince {
        /// Revision of the view that the sender has.
        revision: ViewRevision,
        /// Maximum wait, in milliseconds.
        wait_ms: u64,
    },
    /// Heartbeat from entry and batch programs to the control program on their
    /// instance: the sender is running, in the state given by the entry.
    Register(InstanceEntry),
    /// From entry and batch programs to the control program: the liveness of
    /// upstreams that the sender observed in its calls to them.
    Evidence(Vec<UpstreamEvidence>),
    /// From an entry to the program that owns the batch windows of some upstreams:
    /// online work that the entry sent to these upstreams, combined into one
    /// notice per upstream.
    Notices(Vec<DispatchNotice>),
    /// From an entry to batch programs: the job was cancelled.
    CancelJob(JobId),
    /// Long poll from an entry to the home entry of an idempotency key. The
    /// response is a [`PeerResponse::Chat`] as soon as there are new tokens or
    /// the run has ended.
    Coalesce(CoalesceRequest),
    /// Between control programs: asks which configuration versions are in
    /// force.
    ConfigStatus {
        /// Whether the receiver also asks the other nodes of its region.
        region_wide: bool,
    },
}

/// Polls the single run of a chat request. All requests with the same
/// idempotency key share that run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoalesceRequest {
    /// Customer and idempotency key.
    pub key: Arc<str>,
    /// Digest of the request, which tells apart two different requests with the
    /// same key.
    pub digest: u128,
    /// Class of the chat request.
    pub class: ClassName,
    /// The chat request as JSON, so that the home entry can start the run.
    /// `None` in polls that follow a run which exists already.
    pub body: Option<String>,
    /// Number of tokens that the sender has received already.
    pub received_tokens: u32,
    /// Maximum wait, in milliseconds.
    pub wait_ms: u64,
}

/// Progress of a chat request that runs at the home entry of its key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatUpdate {
    /// Tokens after the first [`CoalesceRequest::received_tokens`].
    pub tokens: Vec<String>,
    /// How the request ended. `None` while there may be tokens after those of
    /// this update.
    pub end: Option<ChatEnd>,
}

/// How a chat request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChatEnd {
    /// The answer is complete.
    Finished {
        /// Finish reason as in the `OpenAI` API: `stop` or `length`.
        finish_reason: String,
        /// Number of prompt tokens, of completion tokens and of cached prompt
        /// tokens, in this order.
        usage: Option<[u32; 3]>,
    },
    /// The request failed, without an answer or with an incomplete one.
    Refused {
        /// Kind of the failure.
        kind: ErrorKind,
        /// Error message for the caller.
        message: String,
        /// Whether the request ran at an upstream.
        ran: Ran,
        /// Time after which the caller may retry, in seconds. `None` if the
        /// default of the error kind applies.
        retry_after_s: Option<u32>,
    },
}

/// Configuration version in force on a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Instance id of the node.
    pub id: InstanceId,
    /// Region of the node.
    pub region: Region,
    /// The version, or `None` if the node did not respond.
    pub config_version: Option<u64>,
}

/// A response of a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The request was handled; there is nothing to return.
    Ack,
    /// Response to [`PeerRequest::ViewSince`].
    View(Box<View>),
    /// Response to [`PeerRequest::ConfigStatus`]: one element per node.
    ConfigStatus(Vec<NodeStatus>),
    /// Response to [`PeerRequest::Gossip`]: the frame that the receiver sends
    /// in return.
    Gossip(GossipFrame),
    /// Response to [`PeerRequest::Coalesce`].
    Chat(ChatUpdate),
    /// The request was refused.
    Refused(ErrorKind),
}
