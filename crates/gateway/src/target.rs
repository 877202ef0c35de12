//! One incarnation of an upstream, as the address of a request.

use std::net::SocketAddr;

use model::{ServiceName, SoftwareVersion, UpstreamId};

use crate::upstream::UpstreamEntry;

/// One incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the software that it runs.
    pub version: SoftwareVersion,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// When the upstream started, Unix milliseconds. Incarnations of the same
    /// upstream differ in it.
    pub started_unix_ms: u64,
}

impl Target {
    pub(crate) fn new(entry: &UpstreamEntry) -> Self {
        Self {
            upstream: entry.id.clone(),
            service: entry.service.clone(),
            version: entry.version.clone(),
            address: entry.address,
            started_unix_ms: entry.started_unix_ms,
        }
    }
}
