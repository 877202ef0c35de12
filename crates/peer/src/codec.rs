//! Encoding of message bodies: bincode with a size limit.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::{Serialize, de::DeserializeOwned};

use crate::PeerError;

/// Maximum length of an encoded message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 8 * 1024 * 1024;

type Codec = Configuration<LittleEndian, Varint, Limit<MESSAGE_MAX_BYTES>>;

/// Encodes a message.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] if the encoded message exceeds
/// [`MESSAGE_MAX_BYTES`], and [`PeerError::Malformed`] if it cannot be encoded.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, PeerError> {
    let body = bincode::serde::encode_to_vec(message, codec())
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    if body.len() > MESSAGE_MAX_BYTES {
        return Err(PeerError::TooLarge);
    }
    Ok(body)
}

/// Decodes a message that must fill the entire `body`.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] if `body` exceeds [`MESSAGE_MAX_BYTES`], and
/// [`PeerError::Malformed`] if it is not exactly one message.
pub fn decode<M: DeserializeOwned>(body: &[u8]) -> Result<M, PeerError> {
    if body.len() > MESSAGE_MAX_BYTES {
        return Err(PeerError::TooLarge);
    }
    let (message, used_bytes) = bincode::serde::decode_from_slice(body, codec())
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    if used_bytes != body.len() {
        return Err(PeerError::Malformed(
            "unexpected bytes after the message".to_owned(),
        ));
    }
    Ok(message)
}

const fn codec() -> Codec {
    bincode::config::standard().with_limit::<MESSAGE_MAX_BYTES>()
}
