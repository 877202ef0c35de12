//! Client of the table, the object store and the instance list that the own
//! interface's programs use. The users' platform is met by `platform` instead.
//!
//! This crate exists so that one place knows the platform's protocol and its
//! failures. Decisions about what to store live in the cores.

mod client;
mod error;
mod gate;
mod pacing;
mod protocol;
mod settle;
mod transport;

pub use crate::{
    client::{ByteStream, Platform},
    error::PlatformError,
    pacing::{Admission, Backoff, CallOutcome, Operation, Pacer, PacerSettings, Priority},
    protocol::{
        Condition, Expected, InstanceListing, ListedInstance, ListedRole, Mutation, Row, RowPage,
        TransactOutcome, TransactRequest, paths,
    },
};
