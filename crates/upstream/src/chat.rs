//! Streamed responses of engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use model::ErrorKind;
use tokio::{runtime::Handle, time::Instant};

use crate::{ChatChunk, UpstreamClient, UpstreamError, events::EventParser, transport};

/// Data of the event that marks the regular end of a stream.
const END_OF_STREAM: &str = "[DONE]";

/// Chunks of one chat completion. Dropping a stream before its end cancels the
/// request at the engine. A stream that ended with an error other than an expired
/// deadline is not cancelled, so that it can be resumed.
#[derive(Debug)]
pub struct ChatStream {
    body: Incoming,
    parser: EventParser,
    deadline: Instant,
    last_token_index: u32,
    is_leaving: bool,
    has_ended: bool,
    cancel_guard: CancelGuard,
}

impl ChatStream {
    pub(crate) fn new(body: Incoming, cancel_guard: CancelGuard, deadline: Instant) -> Self {
        Self {
            body,
            parser: EventParser::default(),
            deadline,
            last_token_index: 0,
            is_leaving: false,
            has_ended: false,
            cancel_guard,
        }
    }

    /// Sets whether the engine announced that it is leaving the fleet.
    pub(crate) fn with_leaving(mut self, is_leaving: bool) -> Self {
        self.is_leaving = is_leaving;
        self
    }

    /// Sets the index of the token that precedes the stream, counted from one.
    pub(crate) fn with_last_token_index(mut self, last_token_index: u32) -> Self {
        self.last_token_index = last_token_index;
        self
    }

    /// Replaces the deadline, for example after the first token was received.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = deadline;
    }

    /// Returns whether the engine announced that it is leaving the fleet.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the index of the last token delivered, counted from one, or zero
    /// if none was.
    #[must_use]
    pub fn last_token_index(&self) -> u32 {
        self.last_token_index
    }

    /// Returns the next chunk, or `None` after the end marker of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::StreamCut`] if the stream ended early or became
    /// invalid after tokens were delivered, [`ErrorKind::ConnectionLost`] if no
    /// token was delivered before, and [`ErrorKind::DeadlineExceeded`] if the
    /// deadline expired.
    pub async fn next(&mut self) -> Result<Option<ChatChunk>, UpstreamError> {
        loop {
            if self.has_ended {
                return Ok(None);
            }
            if let Some(data) = self.parser.next_data() {
                return self.parse_chunk(&data);
            }
            let bytes = self.read_bytes().await?;
            if !self.parser.push(&bytes) {
                return Err(self.fail("server-sent event exceeds the size limit"));
            }
        }
    }

    fn parse_chunk(&mut self, data: &str) -> Result<Option<ChatChunk>, UpstreamError> {
        if data == END_OF_STREAM {
            self.has_ended = true;
            self.cancel_guard.disarm();
            return Ok(None);
        }
        let chunk: ChatChunk = match serde_json::from_str(data) {
            Ok(chunk) => chunk,
            Err(error) => return Err(self.fail(&format!("malformed chat chunk: {error}"))),
        };
        if chunk.finish_reason.is_none() && chunk.token_index != self.last_token_index + 1 {
            let index = chunk.token_index;
            return Err(self.fail(&format!(
                "token index {index} does not follow the previous token"
            )));
        }
        self.last_token_index = self.last_token_index.max(chunk.token_index);
        Ok(Some(chunk))
    }

    async fn read_bytes(&mut self) -> Result<Bytes, UpstreamError> {
        let frame = match tokio::time::timeout_at(self.deadline, self.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(self.fail(&error.to_string())),
            Ok(None) => return Err(self.fail("stream ended without its end marker")),
            Err(_) => {
                self.has_ended = true;
                return Err(transport::deadline_exceeded());
            }
        };
        Ok(frame.into_data().unwrap_or_default())
    }

    /// Ends the stream without cancelling the request, so that it can be resumed,
    /// and returns the error to report.
    fn fail(&mut self, message: &str) -> UpstreamError {
        self.has_ended = true;
        self.cancel_guard.disarm();
        let kind = if self.last_token_index == 0 {
            ErrorKind::ConnectionLost
        } else {
            ErrorKind::StreamCut
        };
        UpstreamError::new(kind, message)
    }
}

/// Cancels a request at its engine when dropped, unless disarmed before.
#[derive(Debug)]
pub(crate) struct CancelGuard {
    client: UpstreamClient,
    address: SocketAddr,
    attempt_id: String,
    is_armed: bool,
}

impl CancelGuard {
    pub(crate) fn new(client: UpstreamClient, address: SocketAddr, attempt_id: &str) -> Self {
        Self {
            client,
            address,
            attempt_id: attempt_id.to_owned(),
            is_armed: true,
        }
    }

    pub(crate) fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        // Without a runtime the process is ending. The request then ends by the
        // engine's own time-out.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let client = self.client.clone();
        let address = self.address;
        let attempt_id = std::mem::take(&mut self.attempt_id);
        runtime.spawn(async move {
            if let Err(error) = client.cancel(address, &attempt_id).await {
                log::warn!(
                    "event=cancel_failed upstream={address} attempt={attempt_id} error={error:?}"
                );
            }
        });
    }
}
