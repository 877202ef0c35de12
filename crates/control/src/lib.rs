//! The control program: operators' API, configuration, membership and orders
//! to engines on one instance.
//!
//! This crate exists so that slow answers of the platform stay out of the data
//! paths. Decisions are made by the membership core; this crate performs them.

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
