//! Messages of the platform's HTTP protocol, JSON encoded.

use model::{FailureDomain, Liveness, ModelName, Region, ServiceName};
use serde::{Deserialize, Serialize};

/// Paths of the protocol.
pub mod paths {
    /// `POST` of a [`super::TransactRequest`]; 200 with a [`super::TransactOutcome`].
    pub const TRANSACT: &str = "/table/transact";
    /// `GET ?prefix=…&after=…&limit=…`; 200 with a [`super::RowPage`].
    pub const ROWS: &str = "/table/rows";
    /// `GET ?key=…`; 200 with a [`super::Row`], 404 without one.
    pub const ROW: &str = "/table/row";
    /// Prefix of objects: `PUT` replaces, `GET` reads (with `Range: bytes=a-b`),
    /// `DELETE` removes.
    pub const OBJECTS: &str = "/objects/";
    /// `GET`; 200 with a [`super::InstanceListing`].
    pub const INSTANCES: &str = "/instances";
}

/// A set of mutations that take effect together if all conditions hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransactRequest {
    /// Conditions on rows as they are before the mutations.
    pub conditions: Vec<Condition>,
    /// Changes to apply.
    pub mutations: Vec<Mutation>,
}

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// State that the row must have.
    pub expected: Expected,
}

/// Expected state of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// No such row.
    Absent,
    /// The row exists with this version.
    Version(u64),
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mutation {
    /// Inserts or replaces a row; its version grows by one (from zero).
    Put {
        /// Key of the row.
        key: String,
        /// New value, opaque to the table.
        value: String,
    },
    /// Removes a row.
    Delete {
        /// Key of the row.
        key: String,
    },
}

/// Answer of the table to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactOutcome {
    /// Every mutation took effect; versions of the put rows in request order.
    Committed {
        /// New versions.
        versions: Vec<u64>,
    },
    /// Nothing took effect; the first condition that did not hold.
    Conflict {
        /// Key of its row.
        key: String,
        /// The row as it is, if it exists.
        row: Option<Row>,
    },
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Increases with each put; starts at one.
    pub version: u64,
    /// Value.
    pub value: String,
}

/// A page of rows in key order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowPage {
    /// Rows.
    pub rows: Vec<Row>,
    /// Whether rows follow the last one.
    pub more: bool,
}

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
