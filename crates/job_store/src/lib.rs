//! Stores jobs, chunks and files in the platform's table and object store.
//!
//! This crate exists so that the callers' API and the batch program access the
//! platform in the same way: they encode rows alike, limit the rate of their
//! calls, and repeat conditional writes until the outcome is known. Crate `jobs`
//! decides what is written.
//!
//! Terms: a *job* is a batch that a caller created. Its input file is stored as
//! *segments*; a *chunk* is a range of lines in one segment, and the file's
//! *manifest* lists the chunks. One process at a time holds the lease of a chunk.
//!
//! Begin reading at [`JobStore`].

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
