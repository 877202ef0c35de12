//! Protocol between redwingtack's own programs: h2 streams with bincode bodies.
//!
//! This crate exists so that every program speaks one versioned protocol. It
//! carries messages; what they mean is decided elsewhere.

mod message;

pub use model::DispatchNotice;

pub use crate::message::{PROTOCOL_VERSION, PeerRequest, PeerResponse};
