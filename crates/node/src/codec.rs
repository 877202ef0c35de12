//! Encodes and decodes what instances send each other and what they store of jobs.
//!
//! Anybody may send a datagram, and another writer may leave a row. The length of a text or a
//! list stands before it, and memory for it is set aside before its content is read, so both
//! are limited.

use bincode::{
    config::{self, Configuration, Limit, LittleEndian, Varint},
    error::{DecodeError, EncodeError},
    serde::{decode_from_slice, encode_to_vec},
};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum memory that a decoded message may take up, bytes.
const MESSAGE_MAX_BYTES: usize = 1024 * 1024;
/// Maximum memory that a decoded value from the store may take up, bytes.
const STORED_MAX_BYTES: usize = 64 * 1024 * 1024;

type Limited<const BYTES: usize> = Configuration<LittleEndian, Varint, Limit<BYTES>>;

const MESSAGE: Limited<MESSAGE_MAX_BYTES> = config::standard().with_limit();
const STORED: Limited<STORED_MAX_BYTES> = config::standard().with_limit();

/// Encodes a value.
///
/// # Errors
///
/// Returns an error if a part of the value cannot be encoded. Encoding into memory alone
/// cannot fail.
pub(crate) fn encode(value: impl Serialize) -> Result<Vec<u8>, EncodeError> {
    encode_to_vec(value, config::standard())
}

/// Decodes a message of another instance. Returns it and the number of its bytes.
///
/// # Errors
///
/// Returns an error if the message is malformed or would take up too much memory.
pub(crate) fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), DecodeError> {
    decode_from_slice(bytes, MESSAGE)
}

/// Decodes a value from the store. Returns it and the number of its bytes.
///
/// # Errors
///
/// Returns an error if the value is malformed or would take up too much memory.
pub(crate) fn decode_stored<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), DecodeError> {
    decode_from_slice(bytes, STORED)
}
