//! Client of the platform: the transactional table, the object store and the
//! list of instances.
//!
//! This crate exists so that one place knows the platform's protocol and its
//! failures. Decisions about what to store live in the cores.

mod client;
mod error;
mod protocol;
mod settle;
mod transport;

pub use crate::{
    client::{ByteStream, Platform},
    error::PlatformError,
    protocol::{
        Condition, Expected, InstanceListing, ListedInstance, ListedRole, Mutation, Row, RowPage,
        TransactOutcome, TransactRequest, paths,
    },
};
