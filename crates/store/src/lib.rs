//! Access of programs to the platform's store. All programs use the exponential
//! backoff. Those of the project's own interface also use rows by key, objects,
//! the list of instances, rate-limited calls and transactions whose outcome is
//! resolved after a lost answer.
//!
//! This crate exists so that these programs share one call budget, one circuit
//! breaker and one way to resolve a lost answer. The protocol itself is
//! implemented by `platform`. Decisions about what to store are made in the
//! sans-I/O cores of the programs.
//!
//! Begin reading at [`RateLimitedStore`].

mod instances;
mod limiter;
mod rate_limited_store;
mod resolve;
mod shared_limiter;

pub use platform::{Row, RowCondition, RowPage, StoreError, TransactOutcome, Transaction};

pub use crate::{
    instances::{INSTANCES_TABLE, InstanceListing, ListedInstance, ListedRole},
    limiter::{
        Admission, Backoff, CallLimiter, CallLimiterSettings, CallOutcome, Operation, Priority,
    },
    rate_limited_store::{PROGRAMS_TABLE, RateLimitedStore, row_id},
};
