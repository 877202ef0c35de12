//! Passes calls about jobs on to a peer, while the store turns this instance
//! away and serves others.

use std::rc::Rc;

use bytes::Bytes;
use gateway::StoreReachability;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use model::{InstanceId, JobId};
use tokio::time::timeout_at;

use crate::{
    attempt::OutgoingRequest, connection_pool::connect, forward::copy_end_to_end_headers,
    node::Node,
};

/// Marks a call that came through a peer; it is not passed on again.
const PASSED_ON: HeaderName = HeaderName::from_static("x-redwingtack-passed-on");
/// Limit of setting up a connection to a peer, milliseconds: a few round trips
/// between regions.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// What came of passing a call on.
#[derive(Debug)]
pub(super) enum Passed {
    /// A peer's answer for the caller.
    Answered(Response<Bytes>),
    /// Certainly no peer did anything.
    NotDone,
    /// A peer may have done what was asked.
    Unknown,
}

/// Where the store can be reached if not from here.
pub(super) fn store_reach(node: &Node) -> StoreReachability {
    let has_peers = node.directory.borrow().peers().next().is_some();
    node.upstreams.borrow_mut().store_reachability(has_peers)
}

/// Has a peer that reaches the store answer a call about a job. All such calls
/// may be repeated.
pub(super) async fn pass_on(
    node: &Rc<Node>,
    id: &JobId,
    call: &OutgoingRequest,
    deadline_ms: u64,
) -> Passed {
    let StoreReachability::ViaPeers(peers) = store_reach(node) else {
        return Passed::NotDone;
    };
    if call.headers.contains_key(PASSED_ON) {
        return Passed::NotDone;
    }
    let mut may_be_done = false;
    for peer in peers {
        let began_ms = node.now_ms();
        let passed = ask(node, &peer, call, deadline_ms).await;
        log::info!(
            "event=job_call_passed_on job={id} method={} peer={peer} outcome={} took_ms={}",
            call.method,
            process::quote(&passed.describe()),
            node.now_ms().saturating_sub(began_ms)
        );
        match passed {
            Passed::Answered(_) => return passed,
            Passed::Unknown => may_be_done = true,
            Passed::NotDone => {}
        }
    }
    if may_be_done {
        Passed::Unknown
    } else {
        Passed::NotDone
    }
}

async fn ask(node: &Node, peer: &InstanceId, call: &OutgoingRequest, deadline_ms: u64) -> Passed {
    let Some(address) = node.directory.borrow().callers_address(peer) else {
        return Passed::NotDone;
    };
    let Ok(mut connection) = connect(address, CONNECT_TIMEOUT_MS).await else {
        return Passed::NotDone;
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    headers.insert(PASSED_ON, HeaderValue::from_static("1"));
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
        Ok(Some(response)) => sort(response),
        Ok(None) | Err(_) => Passed::Unknown,
    }
}

/// A refusal of the peer promises that it did nothing; other failures do not.
fn sort(response: Response<Bytes>) -> Passed {
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Passed::NotDone,
        status if status.is_server_error() => Passed::Unknown,
        _ => Passed::Answered(response),
    }
}

impl Passed {
    fn describe(&self) -> String {
        match self {
            Self::Answered(response) => format!("status {}", response.status().as_u16()),
            Self::NotDone => "not done".to_owned(),
            Self::Unknown => "unknown".to_owned(),
        }
    }
}
