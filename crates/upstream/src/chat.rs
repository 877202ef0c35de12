//! Streamed answers of engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use model::ErrorKind;
use tokio::{runtime::Handle, time::Instant};

use crate::{ChatChunk, UpstreamClient, UpstreamError, events::EventParser, transport};

/// Data of the event that ends a whole stream.
const END_OF_STREAM: &str = "[DONE]";

/// Chunks of one answer. Dropping it before its end cancels the request at the
/// engine; a stream that broke stays there to be resumed.
#[derive(Debug)]
pub struct ChatStream {
    body: Incoming,
    parser: EventParser,
    deadline: Instant,
    last_token_index: u32,
    is_leaving: bool,
    is_over: bool,
    guard: CancelGuard,
}

impl ChatStream {
    pub(crate) fn new(body: Incoming, guard: CancelGuard, deadline: Instant) -> Self {
        Self {
            body,
            parser: EventParser::default(),
            deadline,
            last_token_index: 0,
            is_leaving: false,
            is_over: false,
            guard,
        }
    }

    pub(crate) fn with_leaving(mut self, is_leaving: bool) -> Self {
        self.is_leaving = is_leaving;
        self
    }

    pub(crate) fn with_last_token_index(mut self, last_token_index: u32) -> Self {
        self.last_token_index = last_token_index;
        self
    }

    /// Replaces the deadline, such as once the first token has come.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = deadline;
    }

    /// Whether the engine said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Number of the last token delivered.
    #[must_use]
    pub fn last_token_index(&self) -> u32 {
        self.last_token_index
    }

    /// The next chunk; `None` after the explicit end of the stream.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StreamCut`] if the stream ended early after tokens were
    /// delivered, [`ErrorKind::ConnectionLost`] if none was,
    /// [`ErrorKind::DeadlineExceeded`] if the deadline passed.
    pub async fn next(&mut self) -> Result<Option<ChatChunk>, UpstreamError> {
        loop {
            if self.is_over {
                return Ok(None);
            }
            if let Some(data) = self.parser.take() {
                return self.accept(&data);
            }
            let bytes = self.read().await?;
            if !self.parser.push(&bytes) {
                return Err(self.broken("an event exceeds the limit"));
            }
        }
    }

    fn accept(&mut self, data: &str) -> Result<Option<ChatChunk>, UpstreamError> {
        if data == END_OF_STREAM {
            self.is_over = true;
            self.guard.disarm();
            return Ok(None);
        }
        let chunk: ChatChunk = match serde_json::from_str(data) {
            Ok(chunk) => chunk,
            Err(error) => return Err(self.broken(&format!("malformed event: {error}"))),
        };
        if chunk.finish_reason.is_none() && chunk.token_index != self.last_token_index + 1 {
            let index = chunk.token_index;
            return Err(self.broken(&format!("token {index} is out of order")));
        }
        self.last_token_index = self.last_token_index.max(chunk.token_index);
        Ok(Some(chunk))
    }

    async fn read(&mut self) -> Result<Bytes, UpstreamError> {
        let frame = match tokio::time::timeout_at(self.deadline, self.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(self.broken(&error.to_string())),
            Ok(None) => return Err(self.broken("the stream has no end mark")),
            Err(_) => {
                self.is_over = true;
                return Err(transport::deadline_exceeded());
            }
        };
        Ok(frame.into_data().unwrap_or_default())
    }

    fn broken(&mut self, message: &str) -> UpstreamError {
        self.is_over = true;
        self.guard.disarm();
        let kind = if self.last_token_index == 0 {
            ErrorKind::ConnectionLost
        } else {
            ErrorKind::StreamCut
        };
        UpstreamError::new(kind, message)
    }
}

/// Cancels a request at its engine when dropped while armed.
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
        // Outside a runtime the process is ending and the engine times out.
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
