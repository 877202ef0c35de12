//! Types that all programs share: identifiers, classes of work with their
//! targets, the fleet configuration, and the closed list of error kinds.
//!
//! This crate exists so that the sans-I/O decision crates and the programs that
//! execute their decisions exchange the same types. It performs no I/O and
//! reads no clock.
//!
//! Begin reading at [`FleetConfig`], which operators set, and at [`View`], the
//! state of the fleet. [`ErrorKind`] defines every error response.
//!
//! Terms:
//!
//! - *Instance*: a machine that runs Redwingtack programs.
//! - *Upstream*: a model engine or a plain service, to which requests are sent.
//! - *Failure domain*: instances and upstreams that can fail together.
//! - *Customer*: the holder of an API key, on whose behalf callers send requests.
//! - *Class*: a service-level target for requests or batch jobs, which callers
//!   choose by name.

mod class;
mod config;
mod error;
mod name;
mod notice;
mod prompt;
mod status;
mod view;

pub use crate::{
    class::{Class, ClassTarget, ServiceTarget},
    config::{ConfigProblem, FleetConfig, ModelDefaults, parse_config},
    error::{Answer, ErrorKind, Ran, RetryAdvice},
    name::{
        ClassName, CustomerId, CustomerName, FailureDomain, InstanceId, JobId, ModelName, Region,
        ServiceName, SoftwareVersion, UpstreamId,
    },
    notice::DispatchNotice,
    prompt::{PromptPart, PromptPartId, shared_parts},
    status::is_valid_status,
    view::{
        InstanceEntry, InstanceRole, Liveness, UpstreamEntry, UpstreamKind, View, ViewRevision,
    },
};
