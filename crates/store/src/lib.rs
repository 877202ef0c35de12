//! How programs use the platform's store: waits after failures for all of them;
//! for those of the own interface rows under keys, objects, the list of
//! instances, paced calls and settled transactions.
//!
//! This crate exists so that these programs share one budget of calls, one
//! circuit breaker and one way to settle a lost answer. The protocol itself is
//! spoken by `platform`. Decisions about what to store live in the cores.

mod instances;
mod limiter;
mod resolve;
mod shared_limiter;
mod table;

pub use platform::{Row, RowCondition, RowPage, StoreError, TransactOutcome, Transaction};

pub use crate::{
    instances::{INSTANCES_TABLE, InstanceListing, ListedInstance, ListedRole},
    limiter::{
        Admission, Backoff, CallLimiter, CallLimiterSettings, CallOutcome, Operation, Priority,
    },
    table::{PROGRAMS_TABLE, RateLimitedStore, row_id},
};
