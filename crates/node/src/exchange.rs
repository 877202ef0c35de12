//! Sends a request to an upstream on a connection of this instance, and waits for the head of
//! the answer.

use std::rc::Rc;

use bytes::Bytes;
use gateway::{AttemptEnd, Target};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Body;
use model::is_valid_status;
use tokio::time::timeout_at;

use crate::{
    attempt::{AttemptFailure, AttemptOptions, OutgoingRequest, record_statements},
    connection_pool::Connection,
    node::Node,
    path_probes,
    read_limit::{LimitedBody, limit_answer},
    upstream_connections,
};

/// An answer on a connection to its upstream.
#[derive(Debug)]
pub(crate) struct DirectExchange {
    pub(crate) response: Response<LimitedBody>,
    pub(crate) connection: UsedConnection,
}

/// A connection on which an answer arrives.
#[derive(Debug)]
pub(crate) struct UsedConnection {
    /// `None` once it has been returned to the pool.
    connection: Option<Connection>,
    can_reuse: bool,
}

/// A failed exchange with an upstream.
#[derive(Debug)]
pub(crate) struct ExchangeFailure {
    pub(crate) failure: AttemptFailure,
    pub(crate) meaning: FailureMeaning,
}

/// What a failed exchange says about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FailureMeaning {
    /// Nothing, or what it says is recorded already.
    Nothing,
    /// It failed.
    Failed,
    /// Its answer is lost, so it may have crashed.
    AnswerLost,
}

impl FailureMeaning {
    /// Returns what an exchange that failed at `now_ms`, in milliseconds on the node's clock, says
    /// about the upstream. Upstreams stop work at the deadline that they are told.
    pub(crate) fn of(end: AttemptEnd, options: AttemptOptions, now_ms: u64) -> Self {
        let is_own_end = match end {
            AttemptEnd::Silent => now_ms < options.unresponsive_at_ms,
            _ => now_ms >= options.deadline_ms,
        };
        if is_own_end {
            return Self::Nothing;
        }
        match end {
            AttemptEnd::Broken => Self::AnswerLost,
            _ => Self::Failed,
        }
    }
}

impl ExchangeFailure {
    pub(crate) fn new(failure: AttemptFailure, meaning: FailureMeaning) -> Self {
        Self { failure, meaning }
    }

    /// Creates the failure of a request of which no part was sent.
    pub(crate) fn not_sent(reason: impl std::fmt::Display) -> Self {
        let failure = AttemptFailure::new(AttemptEnd::NotSent, reason);
        Self::new(failure, FailureMeaning::Nothing)
    }
}

impl DirectExchange {
    /// Returns the connection to the pool after the body has been read to its end, if it can
    /// be reused.
    pub(crate) fn return_connection(&mut self, node: &Node, target: &Target) {
        self.connection
            .return_to_pool(node, target, self.response.headers());
    }
}

impl UsedConnection {
    /// Returns the connection to the pool after the body has been read to its end, if it can
    /// be reused.
    pub(crate) fn return_to_pool(&mut self, node: &Node, target: &Target, headers: &HeaderMap) {
        if self.can_reuse
            && let Some(connection) = self.connection.take()
        {
            let keep_alive_ms = platform::keep_alive_timeout_ms(headers);
            connection.request_progress.end();
            node.connection_pool
                .put_idle(target.address, connection, keep_alive_ms, node.now_ms());
        }
    }
}

/// Sends a request to an upstream on a connection of this instance, and waits for the head of
/// the answer.
///
/// # Errors
///
/// Returns a failure if the request cannot be sent, or if the head of the answer does not
/// arrive before its deadline.
pub(crate) async fn exchange_directly(
    node: &Rc<Node>,
    target: &Target,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Result<DirectExchange, ExchangeFailure> {
    let idle = take_idle_connection(node, target, outgoing, options);
    if idle.is_none() && node.upstreams.borrow().has_lost_path(target) {
        return Err(ExchangeFailure::not_sent("the upstream cannot be reached"));
    }
    exchange_on(node, target, idle, outgoing, options).await
}

/// Like [`exchange_directly`], on an idle connection, or on a new one if there is none.
pub(crate) async fn exchange_on(
    node: &Rc<Node>,
    target: &Target,
    idle: Option<Connection>,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Result<DirectExchange, ExchangeFailure> {
    let is_reused = idle.is_some();
    let mut connection = match idle {
        Some(connection) => connection,
        None => open_connection(node, target).await?,
    };
    // The upstream may have said so while the connection was opened.
    if node.upstreams.borrow().is_leaving(target) {
        return Err(ExchangeFailure::not_sent("the upstream is leaving"));
    }
    let request = build_request(node, target, outgoing, options);
    let response = match exchange_head(node, &mut connection, request, options).await {
        Ok(response) => response,
        Err(failure) => {
            let meaning = FailureMeaning::of(failure.end, options, node.now_ms());
            if failure.end == AttemptEnd::Silent && meaning != FailureMeaning::Nothing {
                // Either the upstream or the path is silent.
                path_probes::start(node, target.clone());
            }
            return Err(ExchangeFailure::new(failure, meaning));
        }
    };
    check_status(node, response.status(), options)?;
    if is_reused && is_unattributed_refusal(&response) {
        let reason = "a refusal on a connection that was used before names no request";
        let failure = AttemptFailure::new(AttemptEnd::Broken, reason);
        return Err(ExchangeFailure::new(failure, FailureMeaning::Failed));
    }
    let mut upstreams = node.upstreams.borrow_mut();
    upstreams.record_heard(&target.service, node.now_ms());
    drop(upstreams);
    record_statements(node, target, response.headers());
    Ok(DirectExchange {
        response,
        connection: UsedConnection {
            connection: Some(connection),
            can_reuse: outgoing.has_small_body(),
        },
    })
}

/// Rejects an answer whose status is invalid, whatever its headers say. The request may have run.
///
/// # Errors
///
/// Returns the failure of an upstream that answered with a server error.
pub(crate) fn check_status(
    node: &Node,
    status: StatusCode,
    options: AttemptOptions,
) -> Result<(), ExchangeFailure> {
    let status = status.as_u16();
    if is_valid_status(status) {
        return Ok(());
    }
    let reason = format!("the status {status} is invalid");
    let failure = AttemptFailure::new(AttemptEnd::Failed, reason);
    let meaning = FailureMeaning::of(failure.end, options, node.now_ms());
    Err(ExchangeFailure::new(failure, meaning))
}

/// Returns whether an answer says that a request did not run, but not which one: an upstream
/// may have written an earlier refusal once more.
fn is_unattributed_refusal(response: &Response<LimitedBody>) -> bool {
    let headers = response.headers();
    platform::did_not_run(response.status(), headers)
        && platform::echoed_request_id(headers).is_none()
}

async fn open_connection(node: &Rc<Node>, target: &Target) -> Result<Connection, ExchangeFailure> {
    upstream_connections::open(node, target)
        .await
        .map_err(ExchangeFailure::not_sent)
}

/// Takes a connection from the pool. A request that must not be sent twice gets a new
/// connection: if an idle connection is reset when it is reused, it is unknown whether the
/// upstream ran the request.
pub(crate) fn take_idle_connection(
    node: &Node,
    target: &Target,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Option<Connection> {
    let can_reuse_connection = options.is_retryable && outgoing.has_small_body();
    let pool = can_reuse_connection.then_some(&node.connection_pool)?;
    pool.take_idle(target.address, node.now_ms())
}

/// Sends a request on a connection and waits for the head of its answer.
async fn exchange_head(
    node: &Node,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    options: AttemptOptions,
) -> Result<Response<LimitedBody>, AttemptFailure> {
    let read_limit = Rc::clone(&connection.read_limit);
    read_limit.begin_head();
    let has_body = !request.body().is_end_stream();
    connection.request_progress.begin(has_body);
    let exchange = connection.sender.try_send_request(request);
    let deadline = node.clock.instant(options.head_deadline_ms);
    let result = tokio::select! {
        // A head may be complete in the same bytes that exceed the limit.
        biased;
        result = timeout_at(deadline, exchange) => result,
        () = read_limit.head_exceeded() => {
            return Err(AttemptFailure::new(AttemptEnd::Broken, "the head of the answer is too long"));
        }
    };
    match result {
        Ok(Ok(response)) => Ok(limit_answer(response, read_limit)),
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
