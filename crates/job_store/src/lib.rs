//! Keeps jobs, chunks and files in the platform's table and object store.
//!
//! This crate exists so that the callers' API and the batch program talk to the
//! platform in one way: encoded rows, paced calls, and conditional writes
//! carried to a certain outcome. What is written is decided by crate `jobs`.

mod clock;
mod codec;
mod metrics;
mod objects;
mod rows;
mod store;

pub use crate::{
    clock::unix_ms,
    metrics::CallCounts,
    objects::{manifest_name, segment_name},
    store::{JobStore, StoreError},
};
