//! One attempt to send a request to an upstream, from opening the connection to
//! receiving the head of the answer.

use std::{io::ErrorKind, rc::Rc};

use bytes::Bytes;
use gateway::{AttemptEnd, LostRequest, RequestContent, Target, UpstreamTable, WorkKind};
use http::{HeaderMap, Method, Request, Response, Uri, header, request};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::{
    connection_pool::Connection, crash_detection, forward::forwarded_headers, node::Node,
    quarantine, rate_limits, upstream_connections,
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
        }
    }

    /// Sets the content of the request.
    pub(crate) fn with_content(mut self, content: RequestContent) -> Self {
        self.content = Rc::new(content);
        self
    }

    /// Returns whether the body is small enough to have been sent in full before an
    /// answer arrives.
    fn has_small_body(&self) -> bool {
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
    pub(crate) body: Incoming,
    pub(crate) in_flight: InFlightGuard,
    connection: Connection,
    can_reuse_connection: bool,
    /// When the first event arrived, in milliseconds on the node's clock.
    first_event_ms: Option<u64>,
    event_count: u64,
    /// Whether it is recorded that the upstream survived the request.
    has_survived: bool,
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
        self.node
            .upstreams
            .borrow_mut()
            .record_failure(&self.target, now_ms);
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
        if self.has_survived {
            return;
        }
        let now_ms = node.now_ms();
        let first_event_ms = *self.first_event_ms.get_or_insert(now_ms);
        self.event_count += 1;
        if self.event_count >= SURVIVAL_EVENTS && now_ms >= first_event_ms + SURVIVAL_MS {
            self.record_survival(node);
        }
    }

    fn record_survival(&mut self, node: &Node) {
        if self.head.status.is_success() {
            self.has_survived = true;
            let InFlightGuard { content, kind, .. } = &self.in_flight;
            quarantine::record_survival(node, content, *kind);
        }
    }

    /// Returns whether the end of the body can be told from the end of the connection.
    fn is_delimited(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Records the completion of an answer whose body has been read to its end,
    /// and returns the connection to the pool if it can be reused.
    pub(crate) fn finish(mut self, node: &Node) {
        self.in_flight.record_completion();
        if self.is_delimited() {
            self.record_survival(node);
        }
        if self.can_reuse_connection {
            let keep_alive_ms = platform::keep_alive_timeout_ms(&self.head.headers);
            let address = self.in_flight.target.address;
            node.connection_pool
                .put_idle(address, self.connection, keep_alive_ms, node.now_ms());
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
    let target = &in_flight.target;
    let mut connection = match obtain_connection(node, target, outgoing, options).await {
        Ok(connection) => connection,
        Err(error) => {
            in_flight.record_failure();
            if error.kind() == ErrorKind::ConnectionRefused {
                let now_ms = node.now_ms();
                node.upstreams.borrow_mut().record_crash(target, now_ms);
            }
            return Err(AttemptFailure::new(AttemptEnd::NotSent, error));
        }
    };
    // The upstream may have said so while the connection was opened.
    if node.upstreams.borrow().is_leaving(target) {
        return Err(AttemptFailure::new(
            AttemptEnd::NotSent,
            "the upstream is leaving",
        ));
    }
    let request = build_request(node, target, outgoing, options);
    let response = match exchange_head(node, &mut connection, request, options).await {
        Ok(response) => response,
        Err(failure) => {
            if failure.end == AttemptEnd::Broken {
                in_flight.record_lost_answer();
            } else {
                in_flight.record_failure();
            }
            return Err(failure);
        }
    };
    record_if_leaving(node, target, response.headers());
    rate_limits::record_statement(node, target, response.headers());
    check_head(node, &in_flight, &response, outgoing, options)?;
    let (head, body) = response.into_parts();
    Ok(UpstreamAnswer {
        head,
        body,
        in_flight,
        connection,
        can_reuse_connection: outgoing.has_small_body(),
        first_event_ms: None,
        event_count: 0,
        has_survived: false,
    })
}

/// Sends a request on a connection and waits for the head of its answer.
async fn exchange_head(
    node: &Node,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    options: AttemptOptions,
) -> Result<Response<Incoming>, AttemptFailure> {
    let head_limit = Rc::clone(&connection.head_limit);
    head_limit.begin_head();
    let exchange = connection.sender.try_send_request(request);
    let deadline = node.clock.instant(options.head_deadline_ms);
    let result = tokio::select! {
        // A head may be complete in the same bytes that exceed the limit.
        biased;
        result = timeout_at(deadline, exchange) => result,
        () = head_limit.exceeded() => {
            return Err(AttemptFailure::new(AttemptEnd::Broken, "the head of the answer is too long"));
        }
    };
    match result {
        Ok(Ok(response)) => {
            head_limit.end_head();
            Ok(response)
        }
        Ok(Err(mut error)) => {
            let was_sent = error.take_message().is_none();
            let end = if was_sent {
                AttemptEnd::Broken
            } else {
                AttemptEnd::NotSent
            };
            Err(AttemptFailure::new(end, error.error()))
        }
        Err(_) => Err(AttemptFailure::new(
            AttemptEnd::Silent,
            "the head of the answer did not arrive in time",
        )),
    }
}

/// Takes a connection from the pool or opens one. A request that must not be sent
/// twice gets a new connection: if an idle connection is reset when it is reused, it
/// is unknown whether the upstream ran the request.
async fn obtain_connection(
    node: &Rc<Node>,
    target: &Target,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> std::io::Result<Connection> {
    let can_reuse_connection = options.is_retryable && outgoing.has_small_body();
    if can_reuse_connection
        && let Some(idle) = node
            .connection_pool
            .take_idle(target.address, node.now_ms())
    {
        return Ok(idle);
    }
    upstream_connections::open(node, target).await
}

fn build_request(
    node: &Node,
    target: &Target,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&outgoing.headers);
    let time_left_ms = options.deadline_ms.saturating_sub(node.now_ms());
    platform::set_attempt_headers(
        headers,
        &target.upstream,
        time_left_ms,
        options.resume_after,
    );
    request
}

/// Takes an upstream out of use if its answer says that it is leaving, and lets peers know.
fn record_if_leaving(node: &Node, target: &Target, headers: &HeaderMap) {
    if platform::is_leaving(headers) && node.upstreams.borrow_mut().record_leaving(target) {
        log::info!("event=server_leaving upstream={}", target.upstream);
        node.load_changed.notify_one();
    }
}

/// Rejects answers to other requests, answers that say that the request did not run,
/// and successful answers that are not as the server produced them: they lack the
/// server's stamp or have a content encoding. Records the delay of all other answers.
fn check_head(
    node: &Node,
    in_flight: &InFlightGuard,
    response: &Response<Incoming>,
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
    let mut upstreams = node.upstreams.borrow_mut();
    if platform::did_not_run(status, headers) {
        record_not_run(
            &mut upstreams,
            in_flight,
            platform::is_wrong_instance(status),
            now_ms,
        );
        return Err(AttemptFailure::new(AttemptEnd::NotRun, status));
    }
    if status.is_success() && !platform::is_signed(headers) {
        upstreams.record_failure(&in_flight.target, now_ms);
        return Err(AttemptFailure::new(
            AttemptEnd::Broken,
            "the successful answer is not signed",
        ));
    }
    let delay_ms = now_ms.saturating_sub(options.expected_at_ms);
    #[expect(clippy::cast_precision_loss, reason = "delays are short")]
    upstreams.record_answer_delay(&in_flight.target, delay_ms as f64, now_ms);
    Ok(())
}

/// Records that the upstream did not run the request because another server has its
/// address or because it is full.
fn record_not_run(
    upstreams: &mut UpstreamTable,
    in_flight: &InFlightGuard,
    is_wrong_instance: bool,
    now_ms: u64,
) {
    if is_wrong_instance {
        upstreams.record_replaced(&in_flight.target);
    } else {
        upstreams.record_full(&in_flight.target, now_ms + FULL_BACKOFF_MS);
    }
}
