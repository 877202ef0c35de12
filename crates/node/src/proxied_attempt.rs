//! Attempts that a peer makes for this instance, at upstreams to which this instance has no
//! path. The peer's side is in [`crate::proxy_listener`].

use std::{rc::Rc, time::Duration};

use gateway::{AttemptEnd, ProxyPeer, Target};
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use model::InstanceId;
use tokio::time::{timeout, timeout_at};

use crate::{
    attempt::{AttemptFailure, AttemptOptions, OutgoingRequest},
    exchange::{ExchangeFailure, FailureMeaning, check_status},
    node::Node,
    peer_connections::PeerSender,
    proxy_message::{AttemptError, PathQuery, ProxiedAttempt, take_undelimited_mark},
    read_limit::LimitedBody,
};

/// Authority in the URIs of requests to peers, which HTTP/2 requires. The host that the
/// caller named stays in the `Host` header.
const PEER_AUTHORITY: &str = "peer";

/// Time-out for the answer to a query: the peer may need a connect time-out of its own.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Guard that counts an attempt as made by a peer until the guard is dropped.
#[derive(Debug)]
pub(crate) struct ProxyGuard {
    node: Rc<Node>,
    peer: InstanceId,
    sender: PeerSender,
}

impl ProxyGuard {
    fn new(node: &Rc<Node>, peer: InstanceId, sender: PeerSender) -> Self {
        node.upstreams.borrow_mut().record_proxied_start(&peer);
        node.metrics.on_proxied_attempt();
        Self {
            node: Rc::clone(node),
            peer,
            sender,
        }
    }

    /// Records that the connection to the peer is lost.
    pub(crate) fn record_lost(&self) {
        record_proxy_failure(&self.node, &self.peer);
    }
}

impl Drop for ProxyGuard {
    fn drop(&mut self) {
        self.node
            .upstreams
            .borrow_mut()
            .record_proxied_end(&self.peer);
    }
}

/// Has `peer` send a request to an upstream, and waits for the head of the answer.
///
/// # Errors
///
/// Returns a failure if the peer cannot be reached, or if it got no answer.
pub(crate) async fn exchange(
    node: &Rc<Node>,
    peer: ProxyPeer,
    target: &Target,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Result<(Response<LimitedBody>, ProxyGuard), ExchangeFailure> {
    log::info!(
        "event=attempt_proxied request={} upstream={} peer={}",
        outgoing.request_id,
        target.upstream,
        peer.instance
    );
    let request =
        build_request(node, target, outgoing, options).map_err(ExchangeFailure::not_sent)?;
    let sender = match obtain_sender(node, &peer).await {
        Ok(sender) => sender,
        Err(error) => {
            record_proxy_failure(node, &peer.instance);
            let reason = format!("peer {}: {error}", peer.instance);
            return Err(ExchangeFailure::not_sent(reason));
        }
    };
    let mut guard = ProxyGuard::new(node, peer.instance, sender);
    let exchange = guard.sender.try_send_request(request);
    let deadline = node.clock.instant(options.head_deadline_ms);
    let failure = match timeout_at(deadline, exchange).await {
        Ok(Ok(response)) => match AttemptError::find_in(response.headers()) {
            None => {
                // An earlier version of the program passes on answers with an invalid status.
                check_status(node, response.status(), options)?;
                return Ok((answer_of_peer(response), guard));
            }
            Some(error) => failure_at_peer(&guard, &error, options),
        },
        Ok(Err(mut error)) => {
            record_proxy_failure(node, &guard.peer);
            let end = if error.take_message().is_some() {
                AttemptEnd::NotSent
            } else {
                AttemptEnd::Broken
            };
            let reason = format!("peer {}: {}", guard.peer, error.error());
            ExchangeFailure::new(AttemptFailure::new(end, reason), FailureMeaning::Nothing)
        }
        Err(_) => {
            let reason = format!(
                "peer {}: the head of the answer did not arrive in time",
                guard.peer
            );
            let meaning = FailureMeaning::of(AttemptEnd::Silent, options, node.now_ms());
            ExchangeFailure::new(AttemptFailure::new(AttemptEnd::Silent, reason), meaning)
        }
    };
    Err(failure)
}

fn answer_of_peer(mut response: Response<Incoming>) -> Response<LimitedBody> {
    let is_undelimited = take_undelimited_mark(response.headers_mut());
    response.map(|body| LimitedBody::of_peer(body, is_undelimited))
}

/// Asks a peer whether it can connect to an upstream. Returns `None` if the peer does not
/// answer.
pub(crate) async fn query_path(node: &Node, peer: &ProxyPeer, target: &Target) -> Option<bool> {
    let mut sender = obtain_sender(node, peer).await.ok()?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = peer_uri("/").ok()?;
    let query = PathQuery {
        upstream: target.upstream.clone(),
        started_unix_ms: target.started_unix_ms,
    };
    query.insert_into(request.headers_mut());
    let response = timeout(QUERY_TIMEOUT, sender.send_request(request)).await;
    let response = response.ok()?.ok()?;
    Some(AttemptError::find_in(response.headers()).is_none())
}

/// Returns the failure that the peer reports.
fn failure_at_peer(
    guard: &ProxyGuard,
    error: &AttemptError,
    options: AttemptOptions,
) -> ExchangeFailure {
    let meaning = match error.end {
        AttemptEnd::NotSent => {
            // Its next notice says which paths it has lost as well.
            record_proxy_failure(&guard.node, &guard.peer);
            FailureMeaning::Nothing
        }
        // The peer finds out whether the upstream has crashed.
        end => match FailureMeaning::of(end, options, guard.node.now_ms()) {
            FailureMeaning::AnswerLost => FailureMeaning::Failed,
            meaning => meaning,
        },
    };
    let reason = format!("peer {}: {}", guard.peer, error.reason);
    ExchangeFailure::new(AttemptFailure::new(error.end, reason), meaning)
}

async fn obtain_sender(node: &Node, peer: &ProxyPeer) -> std::io::Result<PeerSender> {
    let connections = &node.peer_connections;
    if let Some(sender) = connections.find_open(peer.address, node.now_ms()) {
        return Ok(sender);
    }
    let started = tokio::time::Instant::now();
    let sender = connections.open(peer.address, node.now_ms()).await?;
    let elapsed_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let mut upstreams = node.upstreams.borrow_mut();
    upstreams.record_proxy_round_trip(&peer.instance, elapsed_ms);
    Ok(sender)
}

fn build_request(
    node: &Node,
    target: &Target,
    outgoing: &OutgoingRequest,
    options: AttemptOptions,
) -> Result<Request<Full<bytes::Bytes>>, http::Error> {
    let path = outgoing.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = peer_uri(path)?;
    request.headers_mut().clone_from(&outgoing.headers);
    let now_ms = node.now_ms();
    let attempt = ProxiedAttempt {
        sender: node.owner_id.instance.clone(),
        request_id: outgoing.request_id.to_string(),
        upstream: target.upstream.clone(),
        started_unix_ms: target.started_unix_ms,
        kind: options.kind,
        content: (*outgoing.content).clone(),
        time_left_ms: options.deadline_ms.saturating_sub(now_ms),
        head_time_left_ms: options.head_deadline_ms.saturating_sub(now_ms),
        resume_after: options.resume_after,
        is_retryable: options.is_retryable,
    };
    attempt.insert_into(request.headers_mut());
    Ok(request)
}

fn peer_uri(path: &str) -> Result<Uri, http::Error> {
    Uri::builder()
        .scheme("http")
        .authority(PEER_AUTHORITY)
        .path_and_query(path)
        .build()
}

fn record_proxy_failure(node: &Node, peer: &InstanceId) {
    let now_ms = node.now_ms();
    node.upstreams
        .borrow_mut()
        .record_proxy_failure(peer, now_ms);
}
