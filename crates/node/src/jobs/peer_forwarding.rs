//! Forwards requests about jobs to a peer that reaches the store, while this instance
//! cannot reach it.

use std::rc::Rc;

use bytes::Bytes;
use gateway::StoreReachability;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use model::{InstanceId, JobId};
use tokio::time::timeout_at;

use crate::{
    attempt::OutgoingRequest, connection_pool::connect,
    end_to_end_headers::copy_end_to_end_headers, node::Node,
};

/// Marks a request that a peer forwarded. The receiving instance does not forward it
/// again.
const FORWARDED_BY_PEER: HeaderName = HeaderName::from_static("x-redwingtack-passed-on");
/// Time-out for connecting to a peer, milliseconds: a few round trips between
/// regions.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Outcome of forwarding a request to one or more peers.
#[derive(Debug)]
pub(super) enum PeerOutcome {
    /// A peer answered. The response is to be sent to the caller.
    Answered(Response<Bytes>),
    /// It is certain that no peer carried out the request.
    NotDone,
    /// A peer may have carried out the request.
    Unknown,
}

/// Returns which peers reach the store, if any.
pub(super) fn store_reachability(node: &Node) -> StoreReachability {
    let has_peers = node.directory.borrow().peers().next().is_some();
    node.upstreams.borrow_mut().store_reachability(has_peers)
}

/// Forwards a request about a job to peers that reach the store, one after the
/// other, until one answers. Trying several peers is safe because all requests
/// about jobs are idempotent.
pub(super) async fn forward_to_peers(
    node: &Rc<Node>,
    id: &JobId,
    outgoing: &OutgoingRequest,
    deadline_ms: u64,
) -> PeerOutcome {
    let StoreReachability::ViaPeers(peers) = store_reachability(node) else {
        return PeerOutcome::NotDone;
    };
    if outgoing.headers.contains_key(FORWARDED_BY_PEER) {
        return PeerOutcome::NotDone;
    }
    let mut may_be_done = false;
    for peer in peers {
        let started_ms = node.now_ms();
        let outcome = forward_to_peer(node, &peer, outgoing, deadline_ms).await;
        log::info!(
            "event=job_call_passed_on job={id} method={} peer={peer} outcome={} took_ms={}",
            outgoing.method,
            process::quote(&outcome.describe()),
            node.now_ms().saturating_sub(started_ms)
        );
        match outcome {
            // The refusal would promise that nothing was done, but an earlier peer may
            // have stored the job.
            PeerOutcome::Answered(response) if may_be_done && is_refusal(&response) => {}
            PeerOutcome::Answered(_) => return outcome,
            PeerOutcome::Unknown => may_be_done = true,
            PeerOutcome::NotDone => {}
        }
    }
    if may_be_done {
        PeerOutcome::Unknown
    } else {
        PeerOutcome::NotDone
    }
}

async fn forward_to_peer(
    node: &Node,
    peer: &InstanceId,
    outgoing: &OutgoingRequest,
    deadline_ms: u64,
) -> PeerOutcome {
    let Some(address) = node.directory.borrow().callers_address(peer) else {
        return PeerOutcome::NotDone;
    };
    let Ok(mut connection) = connect(address, CONNECT_TIMEOUT_MS).await else {
        return PeerOutcome::NotDone;
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&outgoing.headers);
    headers.insert(FORWARDED_BY_PEER, HeaderValue::from_static("1"));
    platform::set_time_left(headers, deadline_ms.saturating_sub(node.now_ms()));
    let exchange = async {
        let response = connection.sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        copy_end_to_end_headers(&head.headers, response.headers_mut());
        Some(response)
    };
    match timeout_at(node.clock.instant(deadline_ms), exchange).await {
        Ok(Some(response)) => classify(response),
        Ok(None) | Err(_) => PeerOutcome::Unknown,
    }
}

/// Classifies a peer's response. Status 503 guarantees that the peer did not carry out
/// the request; after another server error, the outcome is unknown.
fn classify(response: Response<Bytes>) -> PeerOutcome {
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => PeerOutcome::NotDone,
        status if status.is_server_error() => PeerOutcome::Unknown,
        _ => PeerOutcome::Answered(response),
    }
}

/// Returns whether a response guarantees that the request was not carried out.
pub(super) fn is_refusal(response: &Response<Bytes>) -> bool {
    matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

impl PeerOutcome {
    fn describe(&self) -> String {
        match self {
            Self::Answered(response) => format!("status {}", response.status().as_u16()),
            Self::NotDone => "not done".to_owned(),
            Self::Unknown => "unknown".to_owned(),
        }
    }
}
