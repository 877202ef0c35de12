//! Client of the platform: the transactional table, the object store and the
//! list of instances.
//!
//! This crate exists so that one place knows the platform's protocol and its
//! failures. Decisions about what to store live in the cores.

mod protocol;

pub use crate::protocol::{
    Condition, Expected, InstanceListing, ListedInstance, ListedRole, Mutation, Row, RowPage,
    TransactOutcome, TransactRequest, paths,
};
