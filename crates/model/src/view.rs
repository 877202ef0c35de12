//! What a program knows of the fleet: configuration, instances and upstreams.

use serde::{Deserialize, Serialize};

use crate::{FailureDomain, FleetConfig, InstanceId, ModelName, Region, ServiceName, UpstreamId};

/// Counts the changes of a view within one process.
pub type ViewRevision = u64;

/// The state that a control program serves to the programs beside it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Increases with each change.
    pub revision: ViewRevision,
    /// Configuration in force.
    pub config: FleetConfig,
    /// Instances that run our programs, sorted by id.
    pub instances: Vec<InstanceEntry>,
    /// Upstreams, sorted by id.
    pub upstreams: Vec<UpstreamEntry>,
}

/// One instance that runs our programs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance.
    pub id: InstanceId,
    /// Program that this entry stands for.
    pub role: InstanceRole,
    /// Peer protocol address, `IP:PORT`.
    pub peer_address: String,
    /// Region of the instance.
    pub region: Region,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Whether it takes work.
    pub liveness: Liveness,
    /// Distinguishes successive lives under the same id; higher is newer.
    pub incarnation: u64,
}

/// Program on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InstanceRole {
    /// Serves callers.
    Entry,
    /// Runs batch items.
    Batch,
    /// Serves operators and keeps the view.
    Control,
}

/// Whether an instance or upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// Takes work.
    Live,
    /// Did not answer lately; may be dead.
    Suspect,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Gone.
    Dead,
}

/// One back end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The upstream.
    pub id: UpstreamId,
    /// HTTP address, `IP:PORT`.
    pub address: String,
    /// What it serves.
    pub kind: UpstreamKind,
    /// Region of the upstream.
    pub region: Region,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Whether it takes work.
    pub liveness: Liveness,
}

/// What an upstream serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamKind {
    /// A model engine with the models it has loaded.
    Engine {
        /// Loaded models, sorted.
        models: Vec<ModelName>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

impl UpstreamEntry {
    /// Whether this is an engine that serves `model`.
    #[must_use]
    pub fn serves_model(&self, model: &ModelName) -> bool {
        match &self.kind {
            UpstreamKind::Engine { models } => models.binary_search(model).is_ok(),
            UpstreamKind::Service { .. } => false,
        }
    }
}
