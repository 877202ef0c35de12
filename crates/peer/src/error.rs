//! Errors of calls to peers.

use std::io;

use model::ErrorKind;
use thiserror::Error;

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The address is not `IP:PORT`.
    #[error("invalid peer address {0:?}: expected IP:PORT")]
    Address(String),
    /// The connection could not be established; nothing was sent.
    #[error("cannot connect to the peer: {0}")]
    Connect(io::Error),
    /// The connection broke after the request may have been sent.
    #[error("connection to the peer lost: {0}")]
    Lost(h2::Error),
    /// The deadline passed; the peer may have handled the request.
    #[error("deadline passed before the peer responded")]
    Deadline,
    /// The peer uses another version of the protocol and did not handle the
    /// request.
    #[error("peer uses unsupported protocol version {theirs}")]
    Version {
        /// Version in the peer's response; zero if it has none.
        theirs: u16,
    },
    /// A message exceeds [`MESSAGE_MAX_BYTES`](crate::MESSAGE_MAX_BYTES).
    #[error("message exceeds the size limit")]
    TooLarge,
    /// A message could not be encoded or decoded, or is not the expected one.
    #[error("malformed message: {0}")]
    Malformed(String),
}

impl PeerError {
    /// Returns the [`ErrorKind`] that corresponds to this error.
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

    /// Returns whether the request cannot have reached the peer's handler.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Address(_) | Self::Connect(_) | Self::Version { .. }
        )
    }
}
