//! Answers that are passed on only once they are complete.
//!
//! When the head of an answer has been passed on, the caller can no longer be told of a failure; the
//! answer could only be cut.

use bytes::BytesMut;
use http_body_util::{Either, Full};

use crate::{
    answer::{AnswerBody, Truncated},
    relay::Relay,
};

/// Size from which an answer is passed on although it is not complete, bytes.
const HELD_MAX_BYTES: usize = 1024 * 1024;

/// Reads the body of an answer to its end, and returns it.
///
/// # Errors
///
/// Returns an error if the answer broke off.
pub(crate) async fn hold(mut relay: Relay) -> Result<AnswerBody, Truncated> {
    let mut held = BytesMut::new();
    while held.len() < HELD_MAX_BYTES {
        let Some(frame) = relay.next_frame().await else {
            return Ok(Either::Left(Full::new(held.freeze())));
        };
        held.extend_from_slice(&frame?.into_data().unwrap_or_default());
    }
    Ok(relay.into_body_after(held.freeze()))
}
