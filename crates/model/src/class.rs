//! Classes of work and their targets.

use serde::{Deserialize, Serialize};

use crate::{ClassName, ServiceName};

/// A class of work: a name and what is asked of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name that callers put into the `Redwingtack-Class` header.
    pub name: ClassName,
    /// What the class must reach.
    pub target: ClassTarget,
    /// Limit of accepted requests per second and customer; none for batch work.
    pub customer_requests_per_s: Option<u32>,
}

/// How fast, by when, how much.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClassTarget {
    /// A caller waits for the answer of a model.
    Online {
        /// Time to first token, milliseconds.
        first_token_ms: u64,
        /// Time between tokens, milliseconds.
        between_tokens_ms: u64,
        /// Share of requests that must meet both, percent.
        percent: u8,
    },
    /// Items of a job that must all be done by a deadline.
    Batch {
        /// Time from acceptance to the last result, milliseconds.
        complete_within_ms: u64,
    },
    /// A caller waits for the answer of a plain service.
    Service(ServiceTarget),
}

/// Target of calls to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// Service that the calls go to.
    pub service: ServiceName,
    /// Time to the whole answer, milliseconds.
    pub answer_within_ms: u64,
    /// Whether a call may be sent more than once.
    pub idempotent: bool,
}

impl Class {
    /// Whether callers wait for answers of this class.
    #[must_use]
    pub fn is_interactive(&self) -> bool {
        !matches!(self.target, ClassTarget::Batch { .. })
    }
}
