//! Types that every program shares: identifiers, classes of work with their
//! targets, the fleet configuration, and the closed list of error kinds.
//!
//! This crate exists so that the decision cores and the process edges agree on
//! the same words. It performs no I/O and reads no clock.

mod class;
mod config;
mod error;
mod name;
mod notice;
mod view;

pub use crate::{
    class::{Class, ClassTarget, ServiceTarget},
    config::{ConfigProblem, FleetConfig, ModelDefaults, parse_config},
    error::{Answer, ErrorKind, Ran, RetryAdvice},
    name::{
        ClassName, CustomerId, FailureDomain, InstanceId, JobId, ModelName, Region, ServiceName,
        UpstreamId,
    },
    notice::DispatchNotice,
    view::{
        InstanceEntry, InstanceRole, Liveness, UpstreamEntry, UpstreamKind, View, ViewRevision,
    },
};
