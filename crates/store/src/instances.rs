//! The platform's list of instances, as rows of a table of its own.

use model::{FailureDomain, Liveness, ModelName, Region, ServiceName};
use platform::Row;
use serde::{Deserialize, Serialize};

/// Table of the list; the key of a row is the name of the instance.
pub const INSTANCES_TABLE: &str = "instances";

/// The platform's lagging list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceListing {
    /// Everything the platform runs, sorted by id.
    pub instances: Vec<ListedInstance>,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: String,
    /// What runs there.
    pub role: ListedRole,
    /// `IP:PORT`; for nodes the peer address of the control program.
    pub address: String,
    /// Region.
    pub region: Region,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// `Live` or `Leaving`.
    pub state: Liveness,
}

/// What a listed instance runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// An instance of our own programs.
    Node,
    /// A model engine.
    Engine {
        /// Models loaded, sorted.
        models: Vec<ModelName>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// Decodes a row of the list. One that cannot be read names no instance.
pub(crate) fn decode_instance(row: &Row) -> Option<ListedInstance> {
    let decoded = serde_json::from_slice(&row.value);
    decoded
        .inspect_err(|error| {
            log::warn!(
                "event=instance_unreadable instance={} error={error:?}",
                row.key
            );
        })
        .ok()
}
