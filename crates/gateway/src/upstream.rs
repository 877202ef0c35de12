//! Registration of an upstream.

use std::net::SocketAddr;

use model::{FailureDomain, ServiceName, SoftwareVersion, UpstreamId};

use crate::weights::WeightVersion;

/// Registered properties of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Failure domain that the upstream runs in.
    pub failure_domain: FailureDomain,
    /// Version of the software that it runs.
    pub version: SoftwareVersion,
    /// Version of the weights of its models; `None` if it is not registered or if they have
    /// several.
    pub weights: Option<WeightVersion>,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Whether the upstream accepts requests.
    pub state: UpstreamState,
    /// Remaining time for which the upstream is slow after its start,
    /// milliseconds.
    pub warm_up_remaining_ms: u64,
    /// When the upstream started, Unix milliseconds; 0 if unknown. A different
    /// value under the same id denotes a different incarnation.
    pub started_unix_ms: u64,
}

/// Whether an upstream accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts requests.
    Ready,
    /// Completes its running requests and accepts no further ones.
    Draining,
}
