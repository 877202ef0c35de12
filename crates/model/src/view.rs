//! State of the fleet as known to one program: configuration, instances and
//! upstreams.

use serde::{Deserialize, Serialize};

use crate::{FailureDomain, FleetConfig, InstanceId, ModelName, Region, ServiceName, UpstreamId};

/// Revision number of a [`View`]. The process that maintains the view increases
/// it with each change.
pub type ViewRevision = u64;

/// State of the fleet, served by a control program to the other programs of its
/// instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Revision of the view, by which a program recognizes that the view changed.
    pub revision: ViewRevision,
    /// Configuration in force.
    pub config: FleetConfig,
    /// Programs on instances, sorted by instance id.
    pub instances: Vec<InstanceEntry>,
    /// Upstreams, sorted by id.
    pub upstreams: Vec<UpstreamEntry>,
}

/// One program on an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Instance that runs the program.
    pub id: InstanceId,
    /// Program that the entry describes.
    pub role: InstanceRole,
    /// Peer protocol address, `IP:PORT`.
    pub peer_address: String,
    /// Region of the instance.
    pub region: Region,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Whether the program accepts work.
    pub liveness: Liveness,
    /// Incarnation number, which orders successive runs under the same id; a
    /// higher number is newer.
    pub incarnation: u64,
}

/// Kind of program on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InstanceRole {
    /// Serves the API of callers.
    Entry,
    /// Runs batch items.
    Batch,
    /// Serves the API of operators and maintains the view.
    Control,
}

/// Whether a program or an upstream accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// Accepts work.
    Live,
    /// Did not respond recently and may have failed.
    Suspect,
    /// Completes the work in progress and accepts no new work.
    Leaving,
    /// Has failed or has left the fleet.
    Dead,
}

/// One upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The upstream.
    pub id: UpstreamId,
    /// HTTP address, `IP:PORT`.
    pub address: String,
    /// What the upstream serves.
    pub kind: UpstreamKind,
    /// Region of the upstream.
    pub region: Region,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Whether the upstream accepts work.
    pub liveness: Liveness,
}

/// What an upstream serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamKind {
    /// A model engine with its loaded models.
    Engine {
        /// Loaded models, sorted by name.
        models: Vec<ModelName>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

impl UpstreamEntry {
    /// Returns whether the upstream is an engine that has loaded `model`.
    #[must_use]
    pub fn serves_model(&self, model: &ModelName) -> bool {
        match &self.kind {
            UpstreamKind::Engine { models } => models.binary_search(model).is_ok(),
            UpstreamKind::Service { .. } => false,
        }
    }
}
