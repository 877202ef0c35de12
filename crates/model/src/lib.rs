//! Types that all programs share: identifiers, classes of work with their
//! targets, the fleet configuration, and the closed list of error kinds.
//!
//! This crate exists so that the sans-I/O decision crates and the programs that
//! execute their decisions exchange the same types. It performs no I/O and
//! reads no clock.
//!
//! Begin reading at [`FleetConfig`], which operators set, and at [`View`], the
//! state of the fleet. [`ErrorKind`] defines every error response.

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
