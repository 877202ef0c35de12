//! Drives one request through its attempts at engines.

use std::{sync::Arc, time::Duration};

use model::{Class, ErrorKind, Ran, RetryAdvice, UpstreamId};
use policy::{Destination, RouteRequest};
use process::Refusal;
use tokio::time::Instant;
use upstream::{ChatChunk, ChatRequest, ChatStream, UpstreamError, Usage};
use uuid::Uuid;

use super::prompt::Prompt;
use crate::{clock, deadlines::Deadlines, dispatch::Attempt, refusal, server::ServerState};

/// Attempts of one request at most, the first included.
const ATTEMPTS_MAX: u32 = 4;
/// Upstreams that may fail on a request before the request itself is blamed.
const FAILED_RUNS_MAX: u32 = 2;
/// Longest wait for the end mark once the final chunk has come.
const END_MARK_WAIT_MS: u64 = 200;

/// What a request yields.
#[derive(Debug, Clone)]
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
pub(crate) struct ChatExecution {
    state: Arc<ServerState>,
    request: ChatRequest,
    prompt: Prompt,
    arrived_at_us: u64,
    deadlines: Deadlines,
    delivered: Vec<String>,
    attempts: u32,
    failed_runs: u32,
    excluded: Vec<UpstreamId>,
    ran: Ran,
    last_refusal: Option<Refusal>,
    open_stream: Option<OpenStream>,
}

/// One attempt with its open stream.
struct OpenStream {
    id: String,
    attempt: Attempt,
    stream: ChatStream,
    /// Tokens that the caller had when the stream was last resumed.
    resumed_after: Option<u32>,
}

impl ChatExecution {
    /// A request that has been admitted and not been sent.
    pub(crate) fn new(state: Arc<ServerState>, request: ChatRequest, class: &Class) -> Self {
        Self {
            state,
            prompt: Prompt::new(&request),
            request,
            arrived_at_us: clock::now_us(),
            deadlines: Deadlines::new(&class.target),
            delivered: Vec::new(),
            attempts: 0,
            failed_runs: 0,
            excluded: Vec::new(),
            ran: Ran::No,
            last_refusal: None,
            open_stream: None,
        }
    }

    /// Continues an answer whose leading tokens the caller has.
    pub(crate) fn with_delivered(mut self, delivered: Vec<String>) -> Self {
        self.delivered = delivered;
        self
    }

    /// The next event. After an error or the end there is none.
    pub(crate) async fn next(&mut self) -> Result<ChatEvent, Refusal> {
        loop {
            if self.open_stream.is_none() {
                self.start_attempt().await?;
            }
            let Some(open_stream) = &mut self.open_stream else {
                continue;
            };
            match open_stream.stream.next().await {
                Ok(Some(chunk)) => return Ok(self.deliver(chunk).await),
                Ok(None) => {
                    let message = "the engine ended its stream without a finish reason";
                    let error = UpstreamError::new(ErrorKind::StreamCut, message);
                    self.recover(error).await?;
                }
                Err(error) => self.recover(error).await?,
            }
        }
    }

    /// Sends the request, or what is left of it, until an engine accepts it.
    async fn start_attempt(&mut self) -> Result<(), Refusal> {
        loop {
            let view = self.state.view()?;
            let route = self.state.dispatcher.route(&view, &self.route_request());
            // After a failed attempt its error says more than "no upstream".
            let attempt = route.map_err(|refusal| self.last_refusal.take().unwrap_or(refusal))?;
            let id = Uuid::new_v4().simple().to_string();
            self.attempts += 1;
            self.request
                .continue_from_tokens
                .clone_from(&self.delivered);
            let opened = self
                .state
                .upstreams
                .chat(attempt.address(), &id, &self.request, self.read_deadline())
                .await;
            match opened {
                Ok(stream) => {
                    self.set_open_stream(id, attempt, stream, None);
                    return Ok(());
                }
                Err(error) if error.kind == ErrorKind::ConnectionLost => {
                    // The engine may have read the request and be at work.
                    let after = self.delivered_count();
                    match self.try_resume(&id, &attempt, after).await {
                        Some(stream) => {
                            self.set_open_stream(id, attempt, stream, Some(after));
                            return Ok(());
                        }
                        None => self.record_failed_attempt(attempt, &error)?,
                    }
                }
                Err(error) => self.record_failed_attempt(attempt, &error)?,
            }
        }
    }

    fn set_open_stream(
        &mut self,
        id: String,
        attempt: Attempt,
        stream: ChatStream,
        resumed_after: Option<u32>,
    ) {
        if stream.is_leaving() {
            attempt.on_leaving();
        }
        self.open_stream = Some(OpenStream {
            id,
            attempt,
            stream,
            resumed_after,
        });
    }

    /// Goes on after the stream of the current attempt broke: at the same
    /// engine if it still has the stream, else elsewhere.
    async fn recover(&mut self, error: UpstreamError) -> Result<(), Refusal> {
        let Some(open_stream) = self.open_stream.take() else {
            return Ok(());
        };
        let OpenStream {
            id,
            attempt,
            stream,
            resumed_after,
        } = open_stream;
        drop(stream);
        let is_cut = matches!(error.kind, ErrorKind::ConnectionLost | ErrorKind::StreamCut);
        let after = self.delivered_count();
        // A stream that breaks twice at the same token would break for ever.
        if is_cut
            && resumed_after != Some(after)
            && let Some(stream) = self.try_resume(&id, &attempt, after).await
        {
            self.set_open_stream(id, attempt, stream, Some(after));
            return Ok(());
        }
        self.record_failed_attempt(attempt, &error)
    }

    async fn try_resume(&self, id: &str, attempt: &Attempt, after: u32) -> Option<ChatStream> {
        let resumed = self
            .state
            .upstreams
            .resume(attempt.address(), id, after, self.read_deadline())
            .await;
        match resumed {
            Ok(stream) => {
                log::info!(
                    "event=stream_resumed upstream={} after={after}",
                    attempt.upstream()
                );
                Some(stream)
            }
            Err(error) => {
                log::info!(
                    "event=resume_failed upstream={} error={}",
                    attempt.upstream(),
                    process::quote(&error)
                );
                None
            }
        }
    }

    /// Ends an attempt that failed; refuses if there may be no other.
    fn record_failed_attempt(
        &mut self,
        attempt: Attempt,
        error: &UpstreamError,
    ) -> Result<(), Refusal> {
        log::info!(
            "event=attempt_failed upstream={} kind={} tokens={} error={}",
            attempt.upstream(),
            error.kind.answer().code,
            self.delivered.len(),
            process::quote(&error.message)
        );
        self.ran = refusal::combined_ran(self.ran, error.ran());
        self.excluded.push(attempt.upstream().clone());
        attempt.record_failure(error);
        if self.delivered.is_empty() && error.ran() != Ran::No {
            self.failed_runs += 1;
        }
        let refusal = self.refusal_for(error);
        if !self.may_retry(error) {
            return Err(refusal);
        }
        self.last_refusal = Some(refusal);
        Ok(())
    }

    fn may_retry(&self, error: &UpstreamError) -> bool {
        if self.attempts >= ATTEMPTS_MAX || self.failed_runs >= FAILED_RUNS_MAX {
            return false;
        }
        // Tokens already passed on are continued, not repeated; so a stall or
        // a cut in mid-stream counts as an attempt that showed nothing.
        let is_safe = match error.kind {
            ErrorKind::StreamCut | ErrorKind::ConnectionLost => true,
            ErrorKind::DeadlineExceeded => !self.delivered.is_empty(),
            kind => policy::retry_is_safe(kind, true, 0),
        };
        let in_time = !self.delivered.is_empty() || !self.deadlines.has_expired();
        is_safe && in_time && self.state.dispatcher.try_retry()
    }

    fn refusal_for(&self, error: &UpstreamError) -> Refusal {
        let kind = if self.delivered.is_empty() {
            error.kind
        } else {
            ErrorKind::StreamCut
        };
        let message = format!("The upstream failed: {}.", error.message);
        let refusal = Refusal::new(kind, message).with_ran(self.ran);
        match error.retry_after_s {
            Some(seconds) => refusal.with_retry(RetryAdvice::AfterS(seconds)),
            None => refusal,
        }
    }

    async fn deliver(&mut self, chunk: ChatChunk) -> ChatEvent {
        if let Some(finish_reason) = chunk.finish_reason {
            self.read_end_mark().await;
            return ChatEvent::End {
                finish_reason,
                usage: chunk.usage,
            };
        }
        if let Some(open_stream) = &mut self.open_stream {
            if self.delivered.is_empty() {
                open_stream.attempt.on_first_token();
                let elapsed_us = clock::now_us().saturating_sub(self.arrived_at_us);
                self.state.metrics.on_first_token(elapsed_us);
            } else {
                open_stream.attempt.on_token();
            }
            open_stream
                .stream
                .set_deadline(self.deadlines.stall_deadline());
        }
        self.delivered.push(chunk.text.clone());
        ChatEvent::Text(chunk.text)
    }

    /// Reads the end mark, so that the connection can serve the next request.
    async fn read_end_mark(&mut self) {
        if let Some(mut open_stream) = self.open_stream.take() {
            let wait = Duration::from_millis(END_MARK_WAIT_MS);
            open_stream.stream.set_deadline(Instant::now() + wait);
            if let Err(error) = open_stream.stream.next().await {
                log::debug!("event=end_mark_missing error={}", process::quote(&error));
            }
        }
    }

    fn route_request(&self) -> RouteRequest {
        let first_token_deadline_us = if self.attempts == 0 && self.delivered.is_empty() {
            self.deadlines.due_at_us
        } else {
            // A second attempt that comes late is still worth more than none.
            u64::MAX
        };
        RouteRequest {
            destination: Destination::Model(self.prompt.model.clone()),
            prompt_tokens: self.prompt.tokens + self.delivered_count(),
            prefix_hashes: self.prompt.prefix_hashes.clone(),
            first_token_deadline_us,
            excluded: self.excluded.clone(),
            link_bytes: self.prompt.bytes,
        }
    }

    fn read_deadline(&self) -> Instant {
        if self.delivered.is_empty() {
            return self.deadlines.expires_at;
        }
        self.deadlines.stall_deadline()
    }

    fn delivered_count(&self) -> u32 {
        u32::try_from(self.delivered.len()).unwrap_or(u32::MAX)
    }
}
