//! The platform's list of instances, which it publishes as rows of a table.

use model::{FailureDomain, Liveness, ModelName, Region, ServiceName};
use platform::Row;
use serde::{Deserialize, Serialize};

/// Table of the list of instances; the key of a row is the name of the instance.
pub const INSTANCES_TABLE: &str = "instances";

/// The platform's list of instances, which lags behind the running ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceListing {
    /// All instances that the platform runs, sorted by id.
    pub instances: Vec<ListedInstance>,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: String,
    /// What the instance runs.
    pub role: ListedRole,
    /// Address as `IP:PORT`; for nodes, the peer address of the control program.
    pub address: String,
    /// Region of the instance.
    pub region: Region,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Either `Live` or `Leaving`.
    pub state: Liveness,
}

/// What a listed instance runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// An instance of the project's own programs.
    Node,
    /// A model engine.
    Engine {
        /// Loaded models, sorted.
        models: Vec<ModelName>,
    },
    /// An upstream of a plain service.
    Service {
        /// Name of the service.
        service: ServiceName,
    },
}

/// Decodes a row of the list. Returns `None` and logs a warning if the row is
/// malformed.
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
