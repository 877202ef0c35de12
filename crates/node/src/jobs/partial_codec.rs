//! Encodes and decodes the partial outputs that are saved.

use bytes::Bytes;
use ledger::PartialOutput;
use platform::StoreError;

use super::storage::{decode, encode};
use crate::codec;

/// Encodes a partial output, followed by its software version.
pub(super) fn encode_partial(partial: &PartialOutput) -> Result<Vec<u8>, StoreError> {
    let mut payload = encode(partial)?;
    payload.extend(encode(&partial.version)?);
    Ok(payload)
}

/// Decodes a partial output. Earlier versions of the program saved no software version.
pub(super) fn decode_partial(payload: &Bytes) -> Result<PartialOutput, StoreError> {
    let decoded = codec::decode_stored::<PartialOutput>(payload);
    let (mut partial, length) = decoded.map_err(|error| StoreError::Protocol(error.to_string()))?;
    let rest = payload.slice(length..);
    if !rest.is_empty() {
        partial.version = decode(&rest)?;
    }
    Ok(partial)
}
