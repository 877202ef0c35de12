//! What is known of an upstream from its registration.

use std::net::SocketAddr;

use model::{FailureDomain, ServiceName, UpstreamId};

/// Registration of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Id.
    pub id: UpstreamId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: UpstreamState,
    /// How much longer it is slow after its start, milliseconds.
    pub warm_up_remaining_ms: u64,
    /// When it started, Unix milliseconds; 0 if unknown. Another value under
    /// the same id is another incarnation.
    pub started_unix_ms: u64,
}

/// Whether an upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
}
