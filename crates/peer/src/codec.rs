//! Bodies: bincode with a limit of size.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::{Serialize, de::DeserializeOwned};

use crate::PeerError;

/// Longest message, bytes.
pub const MESSAGE_MAX_BYTES: usize = 8 * 1024 * 1024;

type Codec = Configuration<LittleEndian, Varint, Limit<MESSAGE_MAX_BYTES>>;

/// Encodes a message.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] if it exceeds [`MESSAGE_MAX_BYTES`].
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, PeerError> {
    let body = bincode::serde::encode_to_vec(message, codec())
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    if body.len() > MESSAGE_MAX_BYTES {
        return Err(PeerError::TooLarge);
    }
    Ok(body)
}

/// Decodes a message that takes up the whole of `body`.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] or [`PeerError::Malformed`].
pub fn decode<M: DeserializeOwned>(body: &[u8]) -> Result<M, PeerError> {
    if body.len() > MESSAGE_MAX_BYTES {
        return Err(PeerError::TooLarge);
    }
    let (message, used_bytes) = bincode::serde::decode_from_slice(body, codec())
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    if used_bytes != body.len() {
        return Err(PeerError::Malformed("bytes follow the message".to_owned()));
    }
    Ok(message)
}

const fn codec() -> Codec {
    bincode::config::standard().with_limit::<MESSAGE_MAX_BYTES>()
}
