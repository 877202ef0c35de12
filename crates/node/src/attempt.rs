//! One attempt to send a request to an upstream, from opening the connection to
//! receiving the head of the answer.

use std::rc::Rc;

use bytes::Bytes;
use gateway::{AttemptEnd, LostRequest, RequestContent, RequiredWeights, Target, WorkKind};
use http::{HeaderMap, Method, Response, StatusCode, Uri, request};
use model::{CustomerName, PromptPart};

use crate::{
    crash_detection,
    end_to_end_headers::forwarded_headers,
    exchange::{
        ExchangeFailure, FailureMeaning, UsedConnection, exchange_on, take_idle_connection,
    },
    frame_reader::FrameReader,
    identity_checks,
    node::Node,
    proxied_attempt::{self, ProxyGuard},
    quarantine, rate_limits,
    read_limit::LimitedBody,
};

/// Time for which no request is sent to an upstream after it answered that it is full,
/// milliseconds.
const FULL_BACKOFF_MS: u64 = 100;
/// Maximum body size of a request that uses a pooled connection, or whose connection
/// is returned to the pool, bytes. A larger body may still be in transmission when the
/// answer arrives, so the connection is not ready for another request.
const REUSE_BODY_MAX_BYTES: usize = 16 * 1024;

/// Number of events that an upstream must send, and time for which it must go on sending
/// them, in milliseconds, to have survived the request.
const SURVIVAL_EVENTS: u64 = 10;
const SURVIVAL_MS: u64 = 200;

/// A request to be sent to an upstream or a peer.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: Rc<str>,
    pub(crate) content: Rc<RequestContent>,
    pub(crate) required_weights: RequiredWeights,
    /// Parts of the prompt in order; empty if upstreams are not chosen by them.
    pub(crate) prompt_parts: Rc<[PromptPart]>,
}

impl OutgoingRequest {
    /// Creates the request to forward from a caller's request. Leaves out the hop-by-hop
    /// headers.
    pub(crate) fn new(parts: &request::Parts, body: Bytes, request_id: &str) -> Self {
        Self {
            method: parts.method.clone(),
            uri: parts.uri.clone(),
            headers: forwarded_headers(&parts.headers),
            body,
            request_id: Rc::from(request_id),
            content: Rc::default(),
            required_weights: platform::decode_required_weights(&parts.headers),
            prompt_parts: Rc::default(),
        }
    }

    /// Sets the content of the request.
    pub(crate) fn with_content(mut self, content: RequestContent) -> Self {
        self.content = Rc::new(content);
        self
    }

    /// Sets the parts of the prompt, by which an upstream is chosen.
    pub(crate) fn with_prompt_parts(mut self, parts: Vec<PromptPart>) -> Self {
        self.prompt_parts = Rc::from(parts);
        self
    }

    /// Removes the caller's key, and sets the customer on whose behalf the request runs.
    pub(crate) fn with_customer(mut self, customer: Option<&CustomerName>) -> Self {
        platform::set_customer(&mut self.headers, customer);
        self
    }

    /// Returns whether the body is small enough to have been sent in full before an
    /// answer arrives.
    pub(crate) fn has_small_body(&self) -> bool {
        self.body.len() <= REUSE_BODY_MAX_BYTES
    }
}

/// Options of one attempt. Times are milliseconds on the node's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptOptions {
    pub(crate) kind: WorkKind,
    /// When the answer must be complete.
    pub(crate) deadline_ms: u64,
    /// Time at which the attempt fails if the head of the answer has not arrived.
    pub(crate) head_deadline_ms: u64,
    /// From when on an upstream that is still silent is considered failed. It may be later than
    /// the deadline, whose end says nothing about the upstream.
    pub(crate) unresponsive_at_ms: u64,
    /// When the head of the answer is expected.
    pub(crate) expected_at_ms: u64,
    /// Id of the event after which the upstream resumes the stream.
    pub(crate) resume_after: Option<u64>,
    /// Whether the request may be sent again if the connection fails while the
    /// outcome is unknown.
    pub(crate) is_retryable: bool,
}

/// An upstream's answer of which the head has arrived.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub(crate) head: http::response::Parts,
    pub(crate) body: FrameReader<LimitedBody>,
    /// Whether the body ends with its connection, so that it looks whole if the upstream breaks
    /// off.
    pub(crate) is_undelimited: bool,
    pub(crate) in_flight: InFlightGuard,
    /// When the answer must be complete, in milliseconds on the node's clock. Upstreams stop
    /// work then.
    pub(crate) deadline_ms: u64,
    transport: Transport,
    prompt_parts: Rc<[PromptPart]>,
    /// When the first event arrived, in milliseconds on the node's clock.
    first_event_ms: Option<u64>,
    /// When the last event arrived, in milliseconds on the node's clock.
    last_event_ms: u64,
    event_count: u64,
    /// Whether it is recorded that the upstream survived the request.
    has_survived: bool,
}

/// How an answer reaches this instance.
#[derive(Debug)]
pub(crate) enum Transport {
    /// From the upstream.
    Direct(UsedConnection),
    /// Through a peer.
    Proxied(ProxyGuard),
}

/// A failed attempt, which has no answer for the caller.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) end: AttemptEnd,
    pub(crate) reason: String,
}

impl AttemptFailure {
    /// Creates a failure with a reason for the log.
    pub(crate) fn new(end: AttemptEnd, reason: impl std::fmt::Display) -> Self {
        Self {
            end,
            reason: reason.to_string(),
        }
    }
}

/// Guard that counts a request as in flight at its upstream until the guard is
/// dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    node: Rc<Node>,
    pub(crate) target: Target,
    kind: WorkKind,
    content: Rc<RequestContent>,
    started_ms: u64,
}

impl InFlightGuard {
    /// Counts a request as in flight at `target`.
    pub(crate) fn new(
        node: &Rc<Node>,
        target: Target,
        kind: WorkKind,
        content: Rc<RequestContent>,
    ) -> Self {
        let started_ms = node.now_ms();
        node.upstreams
            .borrow_mut()
            .record_start(&target, kind, started_ms);
        node.load_changed.notify_one();
        node.metrics.on_attempt();
        Self {
            node: Rc::clone(node),
            target,
            kind,
            content,
            started_ms,
        }
    }

    /// Records that the upstream completed the request.
    pub(crate) fn record_completion(&self) {
        let held_ms = self.node.now_ms().saturating_sub(self.started_ms);
        let mut upstreams = self.node.upstreams.borrow_mut();
        upstreams.record_completion(&self.target, self.kind, held_ms);
    }

    /// Records that the upstream failed the request.
    pub(crate) fn record_failure(&self) {
        let now_ms = self.node.now_ms();
        let mut upstreams = self.node.upstreams.borrow_mut();
        if let Some(until_ms) = upstreams.record_failure(&self.target, now_ms) {
            log::warn!(
                "event=upstream_ejected upstream={} ejection_ms={}",
                self.target.upstream,
                until_ms.saturating_sub(now_ms)
            );
        }
    }

    /// Records that the upstream failed the request and that its answer is lost, which
    /// may mean that the upstream crashed.
    pub(crate) fn record_lost_answer(&self) {
        self.record_failure();
        let held_ms = self.node.now_ms().saturating_sub(self.started_ms);
        let lost_at_ms = self.node.store_now_ms();
        let lost = LostRequest {
            content: Rc::clone(&self.content),
            kind: self.kind,
            sent_at_ms: lost_at_ms.saturating_sub(held_ms),
            lost_at_ms,
        };
        crash_detection::check_upstream(&self.node, &self.target, lost);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node
            .upstreams
            .borrow_mut()
            .record_end(&self.target, self.kind);
        if self.kind == WorkKind::Online {
            quarantine::record_attempt_end(&self.node, &self.content);
        }
        self.node.load_changed.notify_one();
        self.node.batch_state_changed.notify_one();
    }
}

impl UpstreamAnswer {
    /// Records that an event arrived. An upstream that goes on sending them has survived
    /// the request.
    pub(crate) fn record_event(&mut self, node: &Node) {
        let now_ms = node.now_ms();
        if self.first_event_ms.is_none() {
            self.record_prompt_read(node, now_ms);
        }
        let first_event_ms = *self.first_event_ms.get_or_insert(now_ms);
        self.last_event_ms = now_ms;
        self.event_count += 1;
        if !self.has_survived
            && self.event_count >= SURVIVAL_EVENTS
            && now_ms >= first_event_ms + SURVIVAL_MS
        {
            self.record_survival(node);
        }
    }

    /// Records that the upstream has read the prompt.
    fn record_prompt_read(&self, node: &Node, now_ms: u64) {
        let InFlightGuard {
            target, started_ms, ..
        } = &self.in_flight;
        let after_ms = now_ms.saturating_sub(*started_ms);
        let mut upstreams = node.upstreams.borrow_mut();
        let read = upstreams.record_prompt_read(target, &self.prompt_parts, after_ms, now_ms);
        node.metrics.on_prompt_read(read);
    }

    fn record_survival(&mut self, node: &Node) {
        if self.head.status.is_success() {
            self.has_survived = true;
            let InFlightGuard { content, kind, .. } = &self.in_flight;
            quarantine::record_survival(node, content, *kind);
        }
    }

    /// Records the completion of an answer whose body has been read to its end,
    /// and returns the connection to the pool if it can be reused.
    pub(crate) fn finish(mut self, node: &Node) {
        self.in_flight.record_completion();
        self.record_pace(node);
        if !self.is_undelimited {
            self.record_survival(node);
        }
        if let Transport::Direct(connection) = &mut self.transport {
            connection.return_to_pool(node, &self.in_flight.target, &self.head.headers);
        }
    }

    /// Records how fast the events of the answer followed each other.
    fn record_pace(&self, node: &Node) {
        if let Some(first_event_ms) = self.first_event_ms {
            let duration_ms = self.last_event_ms.saturating_sub(first_event_ms);
            node.upstreams.borrow_mut().record_pace(
                &self.in_flight.target,
                self.event_count,
                duration_ms,
                node.now_ms(),
            );
        }
    }

    /// Returns whether the time of the request is up, so that the end of the answer is not a
    /// failure of the upstream.
    pub(crate) fn is_out_of_time(&self) -> bool {
        self.in_flight.node.now_ms() >= self.deadline_ms
    }

    /// Records that the upstream failed the request, unless its time is up.
    pub(crate) fn record_failure(&self) {
        if !self.is_out_of_time() {
            self.in_flight.record_failure();
        }
    }

    /// Records that the answer broke off, unless its time is up.
    pub(crate) fn record_lost_answer(&self) {
        if self.is_out_of_time() {
            return;
        }
        match &self.transport {
            Transport::Direct(_) => self.in_flight.record_lost_answer(),
            // The end of a peer says nothing about the upstream.
            Transport::Proxied(guard) if self.body.body().has_lost_peer() => guard.record_lost(),
            // The peer finds out what happened to the upstream.
            Transport::Proxied(_) => self.in_flight.record_failure(),
        }
    }
}

/// Sends a request to an upstream and waits for the head of its answer.
///
/// # Errors
///
/// Returns a failure if the request cannot be sent, if the head of the answer does not
/// arrive before its deadline, or if the answer is not one for the caller.
pub(crate) async fn send_attempt(
    node: &Rc<Node>,
    target: &Target,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Result<UpstreamAnswer, AttemptFailure> {
    let content = Rc::clone(&outgoing.content);
    let in_flight = InFlightGuard::new(node, target.clone(), options.kind, content);
    send_counted_attempt(node, in_flight, outgoing, options).await
}

/// Like [`send_attempt`], for a request that is already counted as in flight.
pub(crate) async fn send_counted_attempt(
    node: &Rc<Node>,
    in_flight: InFlightGuard,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Result<UpstreamAnswer, AttemptFailure> {
    let (response, transport) = exchange(node, &in_flight.target, outgoing, options)
        .await
        .map_err(|error| {
            match error.meaning {
                FailureMeaning::Nothing => {}
                FailureMeaning::Failed => in_flight.record_failure(),
                FailureMeaning::AnswerLost => in_flight.record_lost_answer(),
            }
            error.failure
        })?;
    check_head(node, &in_flight, &response, outgoing, options)?;
    let (head, body) = response.into_parts();
    Ok(UpstreamAnswer {
        head,
        is_undelimited: body.is_undelimited(),
        body: FrameReader::new(body),
        in_flight,
        deadline_ms: options.deadline_ms,
        transport,
        prompt_parts: Rc::clone(&outgoing.prompt_parts),
        first_event_ms: None,
        last_event_ms: 0,
        event_count: 0,
        has_survived: false,
    })
}

/// Sends a request to an upstream, or has a peer send it if this instance has no path there,
/// and waits for the head of the answer.
pub(crate) async fn exchange(
    node: &Rc<Node>,
    target: &Target,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Result<(Response<LimitedBody>, Transport), ExchangeFailure> {
    let idle = take_idle_connection(node, target, outgoing, options);
    let proxy = match idle {
        Some(_) => None,
        None => node.upstreams.borrow_mut().proxy_for(target, node.now_ms()),
    };
    if let Some(peer) = proxy {
        let (response, guard) =
            proxied_attempt::exchange(node, peer, target, outgoing, options).await?;
        record_statements(node, target, response.headers());
        return Ok((response, Transport::Proxied(guard)));
    }
    let exchange = exchange_on(node, target, idle, outgoing, options).await?;
    Ok((exchange.response, Transport::Direct(exchange.connection)))
}

/// Records what an upstream says about itself in an answer.
pub(crate) fn record_statements(node: &Node, target: &Target, headers: &HeaderMap) {
    record_if_leaving(node, target, headers);
    record_weights(node, target, headers);
    rate_limits::record_statement(node, target, headers);
}

/// Takes an upstream out of use if its answer says that it is leaving, and lets peers know.
fn record_if_leaving(node: &Node, target: &Target, headers: &HeaderMap) {
    if platform::is_leaving(headers) && node.upstreams.borrow_mut().record_leaving(target) {
        log::info!("event=server_leaving upstream={}", target.upstream);
        node.load_changed.notify_one();
    }
}

fn record_weights(node: &Node, target: &Target, headers: &HeaderMap) {
    if let Some(version) = platform::decode_stated_weights(headers) {
        let now_ms = node.now_ms();
        let mut upstreams = node.upstreams.borrow_mut();
        upstreams.record_weights(target, version, now_ms);
    }
}

/// Rejects answers to other requests, answers that say that the request did not run,
/// and successful answers that are not as the server produced them: they lack the
/// server's stamp or have a content encoding. Records the delay of all other answers.
fn check_head(
    node: &Rc<Node>,
    in_flight: &InFlightGuard,
    response: &Response<LimitedBody>,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Result<(), AttemptFailure> {
    let status = response.status();
    let headers = response.headers();
    if platform::echoed_request_id(headers).is_some_and(|id| *id != *outgoing.request_id) {
        in_flight.record_failure();
        return Err(AttemptFailure::new(
            AttemptEnd::Broken,
            "the answer echoes the id of another request",
        ));
    }
    let now_ms = node.now_ms();
    if platform::did_not_run(status, headers) {
        record_not_run(node, in_flight, status, outgoing.required_weights);
        return Err(AttemptFailure::new(AttemptEnd::NotRun, status));
    }
    if status.is_success() && !platform::is_signed(headers) {
        in_flight.record_failure();
        return Err(AttemptFailure::new(
            AttemptEnd::Broken,
            "the successful answer is not signed",
        ));
    }
    let delay_ms = now_ms.saturating_sub(options.expected_at_ms);
    let mut upstreams = node.upstreams.borrow_mut();
    upstreams.record_identity(&in_flight.target, now_ms);
    let served = outgoing.required_weights.version();
    if let Some(version) = served.filter(|_| status.is_success()) {
        // It has them, whether it states that or not.
        upstreams.record_weights(&in_flight.target, version, now_ms);
    }
    #[expect(clippy::cast_precision_loss, reason = "delays are short")]
    upstreams.record_answer_delay(&in_flight.target, delay_ms as f64, now_ms);
    Ok(())
}

/// Records that the upstream did not run the request, because it is full or because the request
/// is one for another server.
fn record_not_run(
    node: &Rc<Node>,
    in_flight: &InFlightGuard,
    status: StatusCode,
    required: RequiredWeights,
) {
    let target = &in_flight.target;
    if platform::is_misdirected(status) {
        identity_checks::record_misdirected(node, target, required);
        return;
    }
    let now_ms = node.now_ms();
    let mut upstreams = node.upstreams.borrow_mut();
    upstreams.record_identity(target, now_ms);
    upstreams.record_full(target, now_ms + FULL_BACKOFF_MS);
}
