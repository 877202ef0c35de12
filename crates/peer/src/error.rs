//! Why a call to a peer failed.

use std::io;

use model::ErrorKind;
use thiserror::Error;

/// Failure of a call.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The address is not `IP:PORT`.
    #[error("{0:?} is not IP:PORT")]
    Address(String),
    /// No connection came about; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection broke after the request may have been sent.
    #[error("connection lost: {0}")]
    Lost(h2::Error),
    /// The deadline passed; the peer may have handled the request.
    #[error("the deadline passed")]
    Deadline,
    /// The peer speaks another version of the protocol.
    #[error("the peer speaks protocol version {theirs}")]
    Version {
        /// Version that the peer named; zero if it named none.
        theirs: u16,
    },
    /// A message exceeds the limit of size.
    #[error("the message is too large")]
    TooLarge,
    /// A message could not be decoded.
    #[error("malformed message: {0}")]
    Malformed(String),
}

impl PeerError {
    /// The kind in the closed list of errors.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Address(_) | Self::Connect(_) => ErrorKind::ConnectRefused,
            Self::Lost(_) => ErrorKind::ConnectionLost,
            Self::Deadline => ErrorKind::DeadlineExceeded,
            Self::Version { .. } => ErrorKind::PeerVersion,
            Self::TooLarge => ErrorKind::BodyTooLarge,
            Self::Malformed(_) => ErrorKind::InvalidRequest,
        }
    }

    /// Whether no byte of the request can have reached the peer's handler.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Address(_) | Self::Connect(_) | Self::Version { .. }
        )
    }
}
