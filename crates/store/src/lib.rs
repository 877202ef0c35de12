//! Rate-limited access to the platform's store: rows by key, objects, the list
//! of instances, and transactions whose outcome is resolved after a lost answer.
//!
//! This crate exists so that all programs limit their calls and resolve a lost
//! answer in the same way. All clones of a client share one call budget and one
//! circuit breaker. Crate `platform` implements the store's protocol, and
//! the sans-I/O crates decide what is stored. The program `node` has its own
//! calls to the store and uses only [`Backoff`].
//!
//! Begin reading at [`RateLimitedStore`], then at [`CallLimiter`], which decides
//! when its calls are sent.

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
