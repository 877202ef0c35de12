//! Drives one request through its attempts at engines.

use std::{sync::Arc, time::Duration};

use model::{Class, ErrorKind, Ran, RetryAdvice, UpstreamId};
use policy::{Destination, RouteRequest};
use process::Refusal;
use tokio::time::Instant;
use upstream::{ChatChunk, ChatRequest, ChatStream, UpstreamError, Usage};
use uuid::Uuid;

use super::prompt::Prompt;
use crate::{clock, deadlines::Deadlines, dispatch::Ticket, refusal, server::Shared};

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
pub(crate) struct ChatFlow {
    shared: Arc<Shared>,
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
    current: Option<Attempt>,
}

/// One attempt with its open stream.
struct Attempt {
    id: String,
    ticket: Ticket,
    stream: ChatStream,
    /// Tokens that the caller had when the stream was last resumed.
    resumed_after: Option<u32>,
}

impl ChatFlow {
    /// A request that has been admitted and not been sent.
    pub(crate) fn new(shared: Arc<Shared>, request: ChatRequest, class: &Class) -> Self {
        Self {
            shared,
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
            current: None,
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
            if self.current.is_none() {
                self.start().await?;
            }
            let Some(attempt) = &mut self.current else {
                continue;
            };
            match attempt.stream.next().await {
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
    async fn start(&mut self) -> Result<(), Refusal> {
        loop {
            let view = self.shared.view()?;
            let route = self.shared.dispatcher.route(&view, &self.route_request());
            // After a failed attempt its error says more than "no upstream".
            let ticket = route.map_err(|refusal| self.last_refusal.take().unwrap_or(refusal))?;
            let id = Uuid::new_v4().simple().to_string();
            self.attempts += 1;
            self.request
                .continue_from_tokens
                .clone_from(&self.delivered);
            let opened = self
                .shared
                .upstreams
                .chat(ticket.address(), &id, &self.request, self.deadline())
                .await;
            match opened {
                Ok(stream) => {
                    self.open(id, ticket, stream, None);
                    return Ok(());
                }
                Err(error) if error.kind == ErrorKind::ConnectionLost => {
                    // The engine may have read the request and be at work.
                    let after = self.delivered_count();
                    match self.resume(&id, &ticket, after).await {
                        Some(stream) => {
                            self.open(id, ticket, stream, Some(after));
                            return Ok(());
                        }
                        None => self.give_up_attempt(ticket, &error)?,
                    }
                }
                Err(error) => self.give_up_attempt(ticket, &error)?,
            }
        }
    }

    fn open(&mut self, id: String, ticket: Ticket, stream: ChatStream, resumed_after: Option<u32>) {
        if stream.is_leaving() {
            ticket.on_leaving();
        }
        self.current = Some(Attempt {
            id,
            ticket,
            stream,
            resumed_after,
        });
    }

    /// Goes on after the stream of the current attempt broke: at the same
    /// engine if it still has the stream, else elsewhere.
    async fn recover(&mut self, error: UpstreamError) -> Result<(), Refusal> {
        let Some(attempt) = self.current.take() else {
            return Ok(());
        };
        let Attempt {
            id,
            ticket,
            stream,
            resumed_after,
        } = attempt;
        drop(stream);
        let is_cut = matches!(error.kind, ErrorKind::ConnectionLost | ErrorKind::StreamCut);
        let after = self.delivered_count();
        // A stream that breaks twice at the same token would break for ever.
        if is_cut
            && resumed_after != Some(after)
            && let Some(stream) = self.resume(&id, &ticket, after).await
        {
            self.open(id, ticket, stream, Some(after));
            return Ok(());
        }
        self.give_up_attempt(ticket, &error)
    }

    async fn resume(&self, id: &str, ticket: &Ticket, after: u32) -> Option<ChatStream> {
        let resumed = self
            .shared
            .upstreams
            .resume(ticket.address(), id, after, self.deadline())
            .await;
        match resumed {
            Ok(stream) => {
                log::info!(
                    "event=stream_resumed upstream={} after={after}",
                    ticket.upstream()
                );
                Some(stream)
            }
            Err(error) => {
                log::info!(
                    "event=resume_failed upstream={} error={}",
                    ticket.upstream(),
                    process::quote(&error)
                );
                None
            }
        }
    }

    /// Ends an attempt that failed; refuses if there may be no other.
    fn give_up_attempt(&mut self, ticket: Ticket, error: &UpstreamError) -> Result<(), Refusal> {
        log::info!(
            "event=attempt_failed upstream={} kind={} tokens={} error={}",
            ticket.upstream(),
            error.kind.answer().code,
            self.delivered.len(),
            process::quote(&error.message)
        );
        self.ran = refusal::worse(self.ran, error.ran());
        self.excluded.push(ticket.upstream().clone());
        ticket.fail(error);
        if self.delivered.is_empty() && error.ran() != Ran::No {
            self.failed_runs += 1;
        }
        let refusal = self.refusal(error);
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
        let in_time = !self.delivered.is_empty() || !self.deadlines.is_over();
        is_safe && in_time && self.shared.dispatcher.try_retry()
    }

    fn refusal(&self, error: &UpstreamError) -> Refusal {
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
            self.finish().await;
            return ChatEvent::End {
                finish_reason,
                usage: chunk.usage,
            };
        }
        if let Some(attempt) = &mut self.current {
            if self.delivered.is_empty() {
                attempt.ticket.on_first_token();
                let took_us = clock::now_us().saturating_sub(self.arrived_at_us);
                self.shared.metrics.on_first_token(took_us);
            } else {
                attempt.ticket.on_token();
            }
            attempt.stream.set_deadline(self.deadlines.stalls_at());
        }
        self.delivered.push(chunk.text.clone());
        ChatEvent::Text(chunk.text)
    }

    /// Reads the end mark, so that the connection can serve the next request.
    async fn finish(&mut self) {
        if let Some(mut attempt) = self.current.take() {
            let wait = Duration::from_millis(END_MARK_WAIT_MS);
            attempt.stream.set_deadline(Instant::now() + wait);
            if let Err(error) = attempt.stream.next().await {
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

    fn deadline(&self) -> Instant {
        if self.delivered.is_empty() {
            return self.deadlines.give_up_at;
        }
        self.deadlines.stalls_at()
    }

    fn delivered_count(&self) -> u32 {
        u32::try_from(self.delivered.len()).unwrap_or(u32::MAX)
    }
}
