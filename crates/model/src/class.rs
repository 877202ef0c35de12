//! Classes of work and their targets.

use serde::{Deserialize, Serialize};

use crate::{ClassName, ServiceName};

/// A class of work: a service-level target and the name that callers use for it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name that callers put into the `Redwingtack-Class` header.
    pub name: ClassName,
    /// Service-level target of the class.
    pub target: ClassTarget,
    /// Maximum number of requests per second that are accepted from one
    /// customer; `None` for no limit, and always `None` for batch classes.
    pub customer_requests_per_s: Option<u32>,
}

/// Service-level target of a class of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClassTarget {
    /// Online requests to a model, whose caller waits for the response.
    Online {
        /// Time to first token, milliseconds.
        first_token_ms: u64,
        /// Time between tokens, milliseconds.
        between_tokens_ms: u64,
        /// Share of requests that must meet both times, percent.
        percent: u8,
    },
    /// Batch jobs, all of whose items must be completed by a deadline.
    Batch {
        /// Time from the acceptance of the job to its last result,
        /// milliseconds.
        complete_within_ms: u64,
    },
    /// Calls to a plain service, whose caller waits for the response.
    Service(ServiceTarget),
}

/// Service-level target of calls to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// Service that receives the calls.
    pub service: ServiceName,
    /// Time to the complete response, milliseconds.
    pub answer_within_ms: u64,
    /// Whether the calls are idempotent, so that a call may be sent more than
    /// once.
    pub idempotent: bool,
}

impl Class {
    /// Returns whether callers wait for the responses, which holds for online
    /// requests and for calls to plain services.
    #[must_use]
    pub fn is_interactive(&self) -> bool {
        !matches!(self.target, ClassTarget::Batch { .. })
    }
}
