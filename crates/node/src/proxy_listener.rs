//! Makes attempts at upstreams for peers that have no path to them.
//!
//! The listener is on the port for peers, which callers do not reach. An attempt is made
//! directly or not at all, so it passes at most one peer. Placement, retries and the accounts
//! of loads, limits and streams stay with the sender; what this instance observes of its own
//! paths, and of upstreams that crash, is recorded here.

use std::{convert::Infallible, io, rc::Rc};

use bytes::Bytes;
use futures::{StreamExt, stream};
use gateway::{LostRequest, PlannedStop, Target, WorkKind};
use http::{Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Either, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http2::Builder,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use model::UpstreamId;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{spawn_local, yield_now},
};

use crate::{
    answer::{self, AnswerBody, Truncated},
    attempt::{AttemptFailure, AttemptOptions, OutgoingRequest},
    body_memory::BodyError,
    crash_detection,
    end_to_end_headers::copy_end_to_end_headers,
    exchange::{DirectExchange, ExchangeFailure, FailureMeaning, exchange_directly},
    listener::{OpenConnectionGuard, accept, bind, serve_until_closing, wait_for_stage},
    node::{Node, Stage},
    peer_connections::{HEADERS_MAX_BYTES, LocalExecutor, PING_INTERVAL, PING_TIMEOUT},
    proxy_message::{AttemptError, PathQuery, ProxiedAttempt, mark_undelimited},
    upstream_connections,
};

/// Maximum number of attempts that are made for peers at a time. Each holds a connection and
/// buffers; a peer that is told so asks another instance.
const PROXIED_MAX: u32 = 512;
/// Maximum size of a request body, bytes, until a configuration has been read.
const BODY_MAX_DEFAULT_BYTES: u64 = 4 * 1024 * 1024;
/// Number of copies of a body that an attempt needs.
const BODY_COPIES: usize = 1;

/// Opens the listener and starts accepting connections of peers.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn start(node: &Rc<Node>) -> io::Result<()> {
    let listener = bind(node.settings().peer_listen).await?;
    spawn_local(accept_peers(Rc::clone(node), listener));
    Ok(())
}

async fn accept_peers(node: Rc<Node>, listener: TcpListener) {
    let mut stage = node.stage.subscribe();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = wait_for_stage(&mut stage, Stage::Closing) => return,
        };
        let open_connection = OpenConnectionGuard::new(Rc::clone(&node));
        spawn_local(serve_peer(open_connection, stream));
    }
}

/// Serves a connection of a peer until it ends. During a planned stop, the peer is told to
/// send no further attempts, and those in progress end.
async fn serve_peer(open_connection: OpenConnectionGuard, stream: TcpStream) {
    let node = Rc::clone(&open_connection.node);
    let service = service_fn(|request| serve(Rc::clone(&node), request));
    let mut builder = Builder::new(LocalExecutor);
    builder
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(2 * PROXIED_MAX)
        .max_header_list_size(HEADERS_MAX_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = serve_until_closing(&node, connection).await {
        log::debug!(
            "event=peer_connection_ended error={}",
            process::quote(&error)
        );
    }
}

async fn serve(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    if let Some(query) = PathQuery::find_in(request.headers()) {
        return Ok(match answer_path_query(&node, &query).await {
            Ok(()) => answer::text(StatusCode::OK, "connected"),
            Err(error) => error_response(&error),
        });
    }
    let (mut parts, body) = request.into_parts();
    let Some(attempt) = ProxiedAttempt::remove_from(&mut parts.headers) else {
        log::warn!("event=proxied_attempt_unreadable");
        return Ok(error_response(&AttemptError::not_sent("unreadable")));
    };
    let guard = ProxiedGuard::new(&node);
    let result = make_attempt(&node, &attempt, parts, body).await;
    log::info!(
        "event=proxied_attempt request={} sender={} upstream={} outcome={}",
        attempt.request_id,
        attempt.sender,
        attempt.upstream,
        match &result {
            Ok(answer) => answer.exchange.response.status().to_string(),
            Err(error) => process::quote(&format!("{}: {}", error.end.as_str(), error.reason)),
        }
    );
    Ok(match result {
        Ok(answer) => answer.into_response(guard),
        Err(error) => error_response(&error),
    })
}

fn error_response(error: &AttemptError) -> Response<AnswerBody> {
    let mut response = answer::text(StatusCode::BAD_GATEWAY, "no upstream answered");
    error.insert_into(response.headers_mut());
    response
}

/// An answer of an upstream that is passed on to a peer.
#[derive(Debug)]
struct ProxiedAnswer {
    node: Rc<Node>,
    target: Target,
    attempt: ProxiedAttempt,
    sent_at_ms: u64,
    /// When the answer must be complete, in milliseconds on the node's clock.
    deadline_ms: u64,
    exchange: DirectExchange,
}

/// Guard that counts an attempt for a peer until it is dropped.
#[derive(Debug)]
struct ProxiedGuard {
    node: Rc<Node>,
}

impl ProxiedGuard {
    fn new(node: &Rc<Node>) -> Self {
        node.proxied_count.set(node.proxied_count.get() + 1);
        node.load_changed.notify_one();
        Self {
            node: Rc::clone(node),
        }
    }
}

impl Drop for ProxiedGuard {
    fn drop(&mut self) {
        self.node
            .proxied_count
            .set(self.node.proxied_count.get() - 1);
        self.node.load_changed.notify_one();
    }
}

async fn make_attempt(
    node: &Rc<Node>,
    attempt: &ProxiedAttempt,
    mut parts: http::request::Parts,
    mut body: Incoming,
) -> Result<ProxiedAnswer, AttemptError> {
    let not_sent = AttemptError::not_sent;
    if node.proxied_count.get() > PROXIED_MAX {
        return Err(not_sent("too many attempts for peers"));
    }
    let now_ms = node.now_ms();
    let deadline_ms = now_ms + attempt.time_left_ms;
    let body = read_body(node, &mut body, deadline_ms).await;
    let body = body.map_err(AttemptError::not_sent)?;
    let target = find_target(node, &attempt.upstream, attempt.started_unix_ms)?;
    if !has_time(node, attempt, deadline_ms) {
        return Err(not_sent("the instance is stopping"));
    }
    let may_be_succeeded = node.upstreams.borrow().may_be_succeeded(&target, now_ms);
    if attempt.resume_after.is_some() && may_be_succeeded {
        return Err(not_sent("another version may listen at the address"));
    }
    // The authority is that of the peer; the host that the caller named is in the headers.
    let path = parts.uri.path_and_query().cloned();
    parts.uri = path.map_or_else(Uri::default, Uri::from);
    parts.headers.remove(header::TE);
    let outgoing = OutgoingRequest::new(&parts, body, &attempt.request_id);
    let options = AttemptOptions {
        kind: attempt.kind,
        deadline_ms,
        head_deadline_ms: now_ms + attempt.head_time_left_ms,
        unresponsive_at_ms: now_ms + attempt.head_time_left_ms,
        expected_at_ms: now_ms,
        resume_after: attempt.resume_after,
        is_retryable: attempt.is_retryable,
    };
    let sent_at_ms = node.store_now_ms();
    let result = exchange_directly(node, &target, &outgoing, options).await;
    match result {
        Ok(exchange) => Ok(ProxiedAnswer {
            node: Rc::clone(node),
            target,
            attempt: attempt.clone(),
            sent_at_ms,
            deadline_ms,
            exchange,
        }),
        Err(ExchangeFailure { failure, meaning }) => {
            if meaning == FailureMeaning::AnswerLost {
                check_upstream(node, &target, attempt, sent_at_ms);
            }
            let AttemptFailure { end, reason } = failure;
            Err(AttemptError { end, reason })
        }
    }
}

/// Returns whether an attempt is certain to end before a planned stop cuts it. The sender can ask
/// another peer. Items are taken all the same: they go on elsewhere after the events that their
/// owner has.
fn has_time(node: &Node, attempt: &ProxiedAttempt, deadline_ms: u64) -> bool {
    let ends_in_time = |stop: PlannedStop| deadline_ms <= stop.end_ms;
    attempt.kind == WorkKind::Batch || node.planned_stop().is_none_or(ends_in_time)
}

/// Returns an incarnation of an upstream by its registration here.
fn find_target(
    node: &Node,
    upstream: &UpstreamId,
    started_unix_ms: u64,
) -> Result<Target, AttemptError> {
    let target = node.upstreams.borrow().target(upstream, started_unix_ms);
    target.ok_or_else(|| AttemptError::not_sent("the upstream is not in service here"))
}

/// Opens a connection to an upstream, whose path a peer has lost.
async fn answer_path_query(node: &Rc<Node>, query: &PathQuery) -> Result<(), AttemptError> {
    let target = find_target(node, &query.upstream, query.started_unix_ms)?;
    upstream_connections::open_idle(node, &target)
        .await
        .map_err(AttemptError::not_sent)
}

/// Finds out whether the upstream has crashed under the request.
fn check_upstream(node: &Rc<Node>, target: &Target, attempt: &ProxiedAttempt, sent_at_ms: u64) {
    let lost = LostRequest {
        content: Rc::new(attempt.content.clone()),
        kind: attempt.kind,
        sent_at_ms,
        lost_at_ms: node.store_now_ms(),
    };
    crash_detection::check_upstream(node, target, lost);
}

async fn read_body(node: &Node, body: &mut Incoming, deadline_ms: u64) -> Result<Bytes, BodyError> {
    let max_bytes = node.routes().map_or(BODY_MAX_DEFAULT_BYTES, |routes| {
        routes.limits.body_max_bytes
    });
    let memory = &node.body_memory;
    memory.read(body, max_bytes, BODY_COPIES, deadline_ms).await
}

impl ProxiedAnswer {
    /// Converts the answer into the response to the peer. Its body is passed on frame by
    /// frame, as fast as the peer reads it.
    fn into_response(self, guard: ProxiedGuard) -> Response<AnswerBody> {
        let mut head = Response::new(());
        *head.status_mut() = self.exchange.response.status();
        copy_end_to_end_headers(self.exchange.response.headers(), head.headers_mut());
        AttemptError::strip(head.headers_mut());
        let is_undelimited = self.exchange.response.body().is_undelimited();
        mark_undelimited(head.headers_mut(), is_undelimited);
        let frames = stream::unfold(Some((self, guard)), |state| async move {
            let (mut answer, guard) = state?;
            match answer.next_frame().await? {
                Ok(frame) => Some((Ok(frame), Some((answer, guard)))),
                Err(error) => Some((Err(error), None)),
            }
        });
        head.map(|()| Either::Right(StreamBody::new(frames.boxed_local())))
    }

    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, Truncated>> {
        match self.exchange.response.body_mut().frame().await {
            Some(Ok(frame)) => Some(Ok(frame)),
            Some(Err(error)) => {
                log::warn!(
                    "event=proxied_answer_lost request={} upstream={} error={}",
                    self.attempt.request_id,
                    self.attempt.upstream,
                    process::quote(&error)
                );
                // An upstream that stops at the deadline has not crashed.
                if self.node.now_ms() < self.deadline_ms {
                    check_upstream(&self.node, &self.target, &self.attempt, self.sent_at_ms);
                }
                // The HTTP server drops what it has not written when it meets the error.
                yield_now().await;
                Some(Err(Truncated))
            }
            None => {
                self.exchange.return_connection(&self.node, &self.target);
                None
            }
        }
    }
}
