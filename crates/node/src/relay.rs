//! Relays the body of an upstream's answer to the caller. If a stream breaks and
//! its route allows it, another upstream resumes the stream after the last
//! complete event.

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use gateway::{AttemptEnd, EventSplitter, VersionHash};
use http::StatusCode;
use http_body_util::{Either, StreamBody};
use hyper::body::Frame;
use tokio::{task::yield_now, time::timeout_at};

use crate::{
    answer::{AnswerBody, Truncated},
    attempt::{AttemptFailure, UpstreamAnswer},
    forward::OnlineRequest,
    node::Stage,
};

/// Time-out between complete events if another upstream can resume the stream, in
/// multiples of the route's goal for pauses. After a longer pause the upstream is
/// considered failed, even if it goes on sending bytes.
const STALL_TIMEOUT_GOALS: u64 = 2;

/// State of the body that is relayed for one request.
#[derive(Debug)]
pub(crate) struct Relay {
    request: OnlineRequest,
    /// `None` once the body has ended.
    answer: Option<UpstreamAnswer>,
    /// Splits an event stream. `None` for other bodies, which are relayed as they
    /// arrive.
    splitter: Option<EventSplitter>,
    /// Time at which the upstream is considered failed if no event is complete by then,
    /// in milliseconds on the node's clock. `None` until the next event is waited for, so
    /// that a slow caller is not held against the upstream.
    stall_deadline_ms: Option<u64>,
    first_bytes_ms: Option<u64>,
    last_bytes_ms: u64,
    longest_pause_ms: u64,
    resume_count: u32,
    /// Whether the current answer has brought an event.
    has_event: bool,
    /// Whether an upstream has said that nothing follows, and that end was uncertain.
    is_end_stated: bool,
    has_ended: bool,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        if self.request.node.stage() == Stage::Ending {
            self.log_outcome("cut", "this instance has stopped");
        } else {
            self.log_outcome("abandoned", "the caller closed the connection");
        }
    }
}

/// Result of waiting for the next part of the body.
#[derive(Debug)]
enum Received {
    Bytes(Bytes),
    End,
    /// The stream ended without an event and may have broken off, and this is the first upstream
    /// to say that nothing follows.
    UnconfirmedEnd,
    Broken(AttemptFailure),
    DeadlinePassed,
}

impl Relay {
    /// Creates a relay of the body of `answer`. If the body is an event stream, only
    /// complete events are relayed, so that another upstream can resume after them.
    pub(crate) fn new(
        request: OnlineRequest,
        answer: UpstreamAnswer,
        is_event_stream: bool,
    ) -> Self {
        let splitter =
            is_event_stream.then(|| EventSplitter::new().with_last_id(request.resume_after));
        Self {
            stall_deadline_ms: None,
            request,
            answer: Some(answer),
            splitter,
            first_bytes_ms: None,
            last_bytes_ms: 0,
            longest_pause_ms: 0,
            resume_count: 0,
            has_event: false,
            is_end_stated: false,
            has_ended: false,
        }
    }

    /// Converts the relay into the body for the caller.
    pub(crate) fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(self, |mut relay| async move {
            let frame = relay.next_frame().await?;
            Some((frame, relay))
        });
        Either::Right(StreamBody::new(frames.boxed_local()))
    }

    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, Truncated>> {
        loop {
            let received = self.receive().await?;
            let failure = match received {
                Received::Bytes(bytes) => match self.complete_events(bytes) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => {
                        self.record_origin();
                        self.record_bytes();
                        self.finish_at_known_length();
                        return Some(Ok(Frame::data(events)));
                    }
                    Err(reason) => AttemptFailure::new(AttemptEnd::Broken, reason),
                },
                Received::End => {
                    self.finish();
                    return None;
                }
                Received::UnconfirmedEnd => {
                    self.is_end_stated = true;
                    AttemptFailure::new(self.end_without_events(), "the stream has no events")
                }
                Received::Broken(failure) => failure,
                Received::DeadlinePassed => return Some(self.truncate("deadline passed").await),
            };
            if !self.resume(&failure).await {
                return Some(self.truncate(&failure.reason).await);
            }
        }
    }

    async fn receive(&mut self) -> Option<Received> {
        let deadline_ms = self.request.deadline_ms;
        let can_resume = self.splitter.is_some() && self.request.retries.has_spare_attempt();
        let node = &self.request.node;
        let stall_timeout_ms = STALL_TIMEOUT_GOALS * self.request.route.pause_goal_ms;
        let stall_deadline_ms = *self
            .stall_deadline_ms
            .get_or_insert(node.now_ms() + stall_timeout_ms);
        let wait_until_ms = if can_resume {
            deadline_ms.min(stall_deadline_ms)
        } else {
            deadline_ms
        };
        let wait_until = node.clock.instant(wait_until_ms);
        let answer = self.answer.as_mut()?;
        let frame = timeout_at(wait_until, answer.body.next()).await;
        Some(match frame {
            Ok(Some(Ok(bytes))) => Received::Bytes(bytes),
            Ok(Some(Err(error))) => broken_stream(error),
            Ok(None) => self.end_of_body(),
            Err(_) if wait_until_ms >= deadline_ms => Received::DeadlinePassed,
            Err(_) => Received::Broken(AttemptFailure::new(
                AttemptEnd::Silent,
                "the stream stalled",
            )),
        })
    }

    fn end_of_body(&self) -> Received {
        let is_partial = |splitter: &EventSplitter| splitter.has_partial_event();
        if self.splitter.as_ref().is_some_and(is_partial) {
            broken_stream("the stream ended within an event")
        } else if self.may_lack_events() {
            Received::UnconfirmedEnd
        } else {
            Received::End
        }
    }

    /// Returns whether a stream that has ended without an event may have broken off.
    fn may_lack_events(&self) -> bool {
        let is_stream = self.splitter.is_some();
        let is_uncertain = self.resume_count > 0 || self.is_undelimited();
        is_stream && is_uncertain && !self.has_event && !self.is_end_stated
    }

    fn is_undelimited(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|answer| answer.is_undelimited)
    }

    /// Returns how the attempt ended that has brought no event. An upstream that marked the end
    /// of its answer has not crashed.
    fn end_without_events(&self) -> AttemptEnd {
        if self.is_undelimited() {
            AttemptEnd::Broken
        } else {
            AttemptEnd::Failed
        }
    }

    /// Returns the events that are complete with `bytes` and with the frames that are
    /// already buffered on the connection, so that they are sent in one write.
    fn complete_events(&mut self, bytes: Bytes) -> Result<Bytes, String> {
        let Some(splitter) = &mut self.splitter else {
            return Ok(bytes);
        };
        splitter.push(&bytes);
        if let Some(answer) = &mut self.answer {
            while let Some(bytes) = answer.body.next_ready() {
                splitter.push(&bytes);
            }
        }
        let mut events = BytesMut::new();
        loop {
            match splitter.next_event() {
                Ok(Some(event)) => {
                    events.extend_from_slice(&event.bytes);
                    self.has_event = true;
                    self.is_end_stated = false;
                    if let Some(answer) = &mut self.answer {
                        answer.record_event(&self.request.node);
                    }
                }
                Err(error) if events.is_empty() => return Err(format!("{error:?}")),
                // Events before the error are relayed first; the next call returns
                // the error again.
                Ok(None) | Err(_) => return Ok(events.freeze()),
            }
        }
    }

    /// Resumes the stream at another upstream. Returns whether an upstream resumed it.
    async fn resume(&mut self, failure: &AttemptFailure) -> bool {
        let Some(answer) = self.answer.take() else {
            return false;
        };
        match failure.end {
            // An upstream that says that nothing follows has not crashed.
            AttemptEnd::Failed => answer.record_failure(),
            _ => answer.record_lost_answer(),
        }
        let target = answer.in_flight.target.clone();
        // Closes the connection, which makes the upstream abort the request.
        drop(answer);
        let next_step = self.request.record_failed_attempt(&target, failure);
        let Some(splitter) = &self.splitter else {
            return false;
        };
        if next_step.is_err() || !self.request.route.is_retryable() {
            return false;
        }
        let last_event = splitter.last_id();
        if last_event.is_some() {
            self.request.version = Some(VersionHash::new(&target.version));
        }
        let Ok(answer) = self.request.next_answer(last_event).await else {
            return false;
        };
        if answer.head.status != StatusCode::OK {
            return false;
        }
        log::info!(
            "event=stream_resumed request={} upstream={} version={} after_event={}",
            self.request.outgoing.request_id,
            answer.in_flight.target.upstream,
            process::quote(&answer.in_flight.target.version),
            last_event.map_or_else(|| "none".to_owned(), |id| id.to_string())
        );
        self.splitter = Some(EventSplitter::new().with_last_id(last_event));
        self.stall_deadline_ms = None;
        self.has_event = false;
        self.answer = Some(answer);
        self.request.node.metrics.on_stream_resumed();
        self.resume_count += 1;
        true
    }

    /// Records where the stream began, before its first event is passed on.
    fn record_origin(&self) {
        if self.first_bytes_ms.is_none()
            && self.splitter.is_some()
            && let Some(answer) = &self.answer
        {
            self.request.record_origin(&answer.in_flight.target);
        }
    }

    fn record_bytes(&mut self) {
        let now_ms = self.request.node.now_ms();
        if self.first_bytes_ms.is_some() {
            let pause_ms = now_ms.saturating_sub(self.last_bytes_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.first_bytes_ms.get_or_insert(now_ms);
        self.last_bytes_ms = now_ms;
        self.stall_deadline_ms = None;
    }

    /// Finishes a body of known length after its last byte, because the HTTP server does
    /// not poll for the end of such a body.
    fn finish_at_known_length(&mut self) {
        let is_at_end = |answer: &UpstreamAnswer| answer.body.is_at_known_end();
        if self.splitter.is_none() && self.answer.as_ref().is_some_and(is_at_end) {
            self.finish();
        }
    }

    fn finish(&mut self) {
        let Some(answer) = self.answer.take() else {
            return;
        };
        self.log_end("complete", &answer.head.status.to_string());
        answer.finish(&self.request.node);
    }

    async fn truncate(&mut self, reason: &str) -> Result<Frame<Bytes>, Truncated> {
        self.answer = None;
        self.log_end("cut", reason);
        // The HTTP server drops what it has not written when it meets the error.
        yield_now().await;
        Err(Truncated)
    }

    fn log_end(&mut self, outcome: &'static str, reason: &str) {
        self.has_ended = true;
        self.log_outcome(outcome, reason);
    }

    fn log_outcome(&self, outcome: &'static str, reason: &str) {
        let request = &self.request;
        let now_ms = request.node.now_ms();
        let since_arrival = |at_ms: u64| at_ms.saturating_sub(request.arrived_ms);
        let metrics = &request.node.metrics;
        metrics.on_request_end(&request.route, outcome, since_arrival(now_ms));
        let mut durations = request.node.request_durations.borrow_mut();
        durations.record(&request.route.name, since_arrival(now_ms), now_ms);
        if let Some(first_ms) = self.first_bytes_ms {
            metrics.on_first_event(&request.route, since_arrival(first_ms));
            metrics.on_longest_pause(&request.route, self.longest_pause_ms);
        }
        log::info!(
            "event=request_answered request={} route={} outcome={outcome} reason={} first_bytes_ms={} total_ms={} longest_pause_ms={} resumed={}",
            request.outgoing.request_id,
            request.route.name,
            process::quote(&reason),
            self.first_bytes_ms.map_or(0, since_arrival),
            since_arrival(now_ms),
            self.longest_pause_ms,
            self.resume_count
        );
    }
}

fn broken_stream(reason: impl std::fmt::Display) -> Received {
    Received::Broken(AttemptFailure::new(AttemptEnd::Broken, reason))
}
