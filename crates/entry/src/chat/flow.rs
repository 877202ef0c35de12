//! Drives one request through its attempts at engines.

use std::sync::Arc;

use model::{Class, ClassTarget, ErrorKind, ModelName, UpstreamId};
use tokio::time::{Duration, timeout};
use upstream::{ChatChunk, ChatRequest, Usage};
use uuid::Uuid;

use crate::{
    Refusal, clock,
    engine::{AttemptError, EngineStream},
    routing::Slot,
    server::Shared,
};

/// Longest wait for the next token, milliseconds.
const TOKEN_TIMEOUT_MS: u64 = 30_000;

/// What a request yields.
#[derive(Debug)]
pub(crate) enum ChatEvent {
    /// Text of the next token.
    Text(String),
    /// The explicit end.
    End {
        /// `stop` or `length`.
        finish_reason: String,
        /// Token counts, if the engine gave them.
        usage: Option<Usage>,
    },
}

/// One request on its way.
pub(crate) struct ChatFlow {
    shared: Arc<Shared>,
    request: ChatRequest,
    model: ModelName,
    deadline_ms: u64,
    failed: Vec<UpstreamId>,
    delivered: Vec<String>,
    attempt: Option<Attempt>,
}

/// One attempt at one engine. Dropping it before the end cancels the stream.
struct Attempt {
    shared: Arc<Shared>,
    id: String,
    slot: Slot,
    stream: EngineStream,
    ended: bool,
}

impl ChatFlow {
    pub(crate) fn new(shared: Arc<Shared>, request: ChatRequest, class: &Class) -> Self {
        let within_ms = match class.target {
            ClassTarget::Online { first_token_ms, .. } => first_token_ms,
            ClassTarget::Batch { .. } | ClassTarget::Service(_) => TOKEN_TIMEOUT_MS,
        };
        Self {
            shared,
            model: ModelName::new(&request.model),
            request,
            deadline_ms: clock::now_ms() + within_ms + TOKEN_TIMEOUT_MS,
            failed: Vec::new(),
            delivered: Vec::new(),
            attempt: None,
        }
    }

    /// The next event.
    pub(crate) async fn next(&mut self) -> Result<ChatEvent, Refusal> {
        loop {
            if self.attempt.is_none() {
                let attempt = self.start().await?;
                self.attempt = Some(attempt);
            }
            let Some(attempt) = &mut self.attempt else {
                continue;
            };
            match attempt.next().await {
                Ok(chunk) => return Ok(self.deliver(chunk)),
                Err(error) => self.fail(error)?,
            }
        }
    }

    async fn start(&mut self) -> Result<Attempt, Refusal> {
        loop {
            let view = self.shared.view()?;
            let slot = self
                .shared
                .routing
                .pick(&view, &self.model, &self.failed)
                .ok_or_else(|| {
                    let message = format!("No live upstream serves the model {}.", self.model);
                    Refusal::new(ErrorKind::NoUpstream, message)
                })?;
            let id = Uuid::new_v4().simple().to_string();
            self.request.continue_from_tokens.clone_from(&self.delivered);
            let started = self
                .shared
                .engines
                .start(&slot.upstream.address, &id, &self.request)
                .await;
            match started {
                Ok(stream) => {
                    return Ok(Attempt {
                        shared: Arc::clone(&self.shared),
                        id,
                        slot,
                        stream,
                        ended: false,
                    });
                }
                Err(error) => {
                    self.failed.push(slot.upstream.id.clone());
                    self.fail(error)?;
                }
            }
        }
    }

    fn fail(&mut self, error: AttemptError) -> Result<(), Refusal> {
        if let Some(attempt) = self.attempt.take() {
            self.failed.push(attempt.slot.upstream.id.clone());
        }
        let retryable = error.kind != ErrorKind::UpstreamFailed;
        if retryable && clock::now_ms() < self.deadline_ms {
            return Ok(());
        }
        Err(Refusal::new(error.kind, error.message))
    }

    fn deliver(&mut self, chunk: ChatChunk) -> ChatEvent {
        if let Some(finish_reason) = chunk.finish_reason {
            if let Some(attempt) = &mut self.attempt {
                attempt.ended = true;
            }
            return ChatEvent::End {
                finish_reason,
                usage: chunk.usage,
            };
        }
        self.delivered.push(chunk.text.clone());
        ChatEvent::Text(chunk.text)
    }
}

impl Attempt {
    async fn next(&mut self) -> Result<ChatChunk, AttemptError> {
        let next = timeout(Duration::from_millis(TOKEN_TIMEOUT_MS), self.stream.next());
        match next.await {
            Ok(Ok(Some(chunk))) => Ok(chunk),
            Ok(Ok(None)) => Err(AttemptError {
                kind: ErrorKind::StreamCut,
                message: "the engine ended the stream without a finish reason".to_owned(),
            }),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(AttemptError {
                kind: ErrorKind::DeadlineExceeded,
                message: "the engine sent no token in time".to_owned(),
            }),
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let id = std::mem::take(&mut self.id);
        let address = self.slot.upstream.address.clone();
        tokio::spawn(async move { shared.engines.cancel(&address, &id).await });
    }
}
