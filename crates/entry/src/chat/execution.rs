//! Executes one chat request: makes attempts at engines, resumes interrupted streams
//! and retries failed attempts.

use std::{sync::Arc, time::Duration};

use model::{Class, ErrorKind, Ran, RetryAdvice, UpstreamId};
use policy::{Destination, RouteRequest};
use process::Refusal;
use tokio::time::Instant;
use upstream::{ChatChunk, ChatRequest, ChatStream, UpstreamError, Usage};
use uuid::Uuid;

use super::prompt::Prompt;
use crate::{clock, deadlines::Deadlines, dispatch::Attempt, refusal, server::ServerState};

/// Maximum number of attempts of one request, including the first.
const ATTEMPTS_MAX: u32 = 4;
/// Number of upstreams on which a request may run and fail before the request
/// itself is considered the cause.
const FAILED_RUNS_MAX: u32 = 2;
/// Maximum wait for the stream's end mark after the final chunk, in milliseconds.
const END_MARK_WAIT_MS: u64 = 200;

/// Event of a chat request.
#[derive(Debug, Clone)]
pub(crate) enum ChatEvent {
    /// Text of the next token.
    Text(String),
    /// End of the answer.
    End {
        /// `stop` or `length`.
        finish_reason: String,
        /// Token counts, if the engine sent them.
        usage: Option<Usage>,
    },
}

/// Execution of one chat request, across all of its attempts.
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

/// The open stream of the current attempt.
struct OpenStream {
    id: String,
    attempt: Attempt,
    stream: ChatStream,
    /// Number of tokens delivered when the stream was resumed; `None` if it was
    /// not.
    resumed_after: Option<u32>,
}

impl ChatExecution {
    /// Creates the execution of a request that has been admitted.
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

    /// Makes the execution continue an answer whose leading tokens the caller
    /// already has.
    pub(crate) fn with_delivered(mut self, delivered: Vec<String>) -> Self {
        self.delivered = delivered;
        self
    }

    /// Returns the next event. Must not be called after an error or the end.
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

    /// Makes attempts until an engine accepts the request. The engine continues
    /// after the tokens that were already delivered.
    async fn start_attempt(&mut self) -> Result<(), Refusal> {
        loop {
            let view = self.state.view()?;
            let route = self.state.dispatcher.route(&view, &self.route_request());
            // After a failed attempt, the attempt's error is more informative than
            // "no upstream".
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
                    // The engine may have received the request and be running it.
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

    /// Recovers after the stream of the current attempt failed: resumes it at the
    /// same engine if possible, otherwise ends the attempt so that another engine
    /// can be tried.
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
        // A resumed stream that fails before its first new token would fail at that
        // token forever.
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

    /// Ends a failed attempt; returns a refusal if there may be no other attempt.
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
        // The next attempt continues after the delivered tokens and repeats none
        // of them. So a stall or a cut in mid-stream is as safe to retry as an
        // attempt that delivered nothing.
        let is_safe = match error.kind {
            ErrorKind::StreamCut | ErrorKind::ConnectionLost => true,
            ErrorKind::DeadlineExceeded => !self.delivered.is_empty(),
            kind => policy::retry_is_safe(kind, true, 0),
        };
        let is_in_time = !self.delivered.is_empty() || !self.deadlines.has_expired();
        is_safe && is_in_time && self.state.dispatcher.try_retry()
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

    /// Reads the stream's end mark, so that the connection can be reused.
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
            // The target no longer counts for a later attempt: a late answer is
            // better than none.
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
