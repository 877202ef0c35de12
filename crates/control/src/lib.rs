//! The control program of an instance: the operators' API, the configuration,
//! fleet membership, and orders to engines.
//!
//! This crate exists so that the request path of the other programs does not
//! wait for slow responses of the platform. The `membership` crate makes the
//! decisions without I/O; this crate executes them.
//!
//! A node is the control program of one instance as a member of the fleet. The
//! table is the platform's table of versioned rows, in which the configuration,
//! the audit trail and the issuers' leases are stored. The issuer is the one node
//! of a region that may send orders to engines.
//!
//! Begin reading at [`Control`], then at the `node` module, which drives the
//! membership core, and the `orders` module.

mod api;
mod clock;
mod config_status;
mod config_store;
mod listing;
mod node;
mod orders;
mod peer_service;
mod server;
mod settings;

pub use crate::{
    config_status::{ConfigStatus, NodeConfigStatus},
    config_store::{AuditOutcome, AuditRecord, ConfigSummary},
    orders::{
        EngineState, IssuerLease, LeaseRow, LeaseTimes, Permission, TableOp, WriteOutcome,
        plan_order,
    },
    server::{Control, StartError},
    settings::{ControlOptions, ControlSettings, options},
};
