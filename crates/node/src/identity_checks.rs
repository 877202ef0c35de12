//! Finds out whether an upstream that refused a request as one for another server is still at
//! its address. The decisions are in [`gateway::UpstreamTable`].
//!
//! The process at the address is sent a health check that names the upstream, on a connection of
//! its own. Another server refuses it, or answers with its own id.

use std::rc::Rc;

use bytes::Bytes;
use gateway::{Occupant, RequestContent, RequiredWeights, Target, WorkKind};
use http::{HeaderMap, HeaderValue, Method, Response, Uri, header};
use tokio::task::spawn_local;

use crate::{
    attempt::{AttemptOptions, OutgoingRequest, exchange},
    node::Node,
    read_limit::LimitedBody,
};

/// Time-out of a health check, milliseconds.
const CHECK_TIMEOUT_MS: u64 = 1_000;

/// Records that an upstream refused a request as one for another server. If the request required
/// weights, the upstream may lack them; a refusal that may be due to the request says nothing
/// about other requests.
pub(crate) fn record_misdirected(node: &Rc<Node>, target: &Target, required: RequiredWeights) {
    let now_ms = node.now_ms();
    let mut upstreams = node.upstreams.borrow_mut();
    if let Some(version) = required.version() {
        upstreams.record_weights_refusal(target, version, now_ms);
    }
    let may_be_due_to_request = required != RequiredWeights::Any;
    let must_check = upstreams.record_misdirected(target, may_be_due_to_request, now_ms);
    log::warn!(
        "event=request_misdirected upstream={} required_weights={required:?} is_doubted={} is_checked={must_check}",
        target.upstream,
        upstreams.is_doubted(target, now_ms)
    );
    drop(upstreams);
    if must_check {
        start_check(node, target.clone());
    }
}

fn start_check(node: &Rc<Node>, target: Target) {
    let Some(path) = health_path(node, &target) else {
        return;
    };
    let node = Rc::clone(node);
    spawn_local(async move {
        let asked_ms = node.now_ms();
        let occupant = find_occupant(&node, &target, path).await;
        log::info!(
            "event=upstream_checked upstream={} occupant={occupant:?}",
            target.upstream
        );
        let now_ms = node.now_ms();
        let mut upstreams = node.upstreams.borrow_mut();
        upstreams.record_occupant(&target, occupant, asked_ms, now_ms);
        drop(upstreams);
        node.batch_state_changed.notify_one();
    });
}

fn health_path(node: &Node, target: &Target) -> Option<Uri> {
    let routes = node.routes()?;
    routes.health_path(&target.service)?.parse().ok()
}

async fn find_occupant(node: &Rc<Node>, target: &Target, path: Uri) -> Occupant {
    let now_ms = node.now_ms();
    let deadline_ms = now_ms + CHECK_TIMEOUT_MS;
    let check = OutgoingRequest {
        method: Method::GET,
        uri: path,
        headers: host_header(target),
        body: Bytes::new(),
        request_id: Rc::from("health-check"),
        content: Rc::new(RequestContent::default()),
        required_weights: RequiredWeights::Any,
        prompt_parts: Rc::default(),
    };
    let options = AttemptOptions {
        kind: WorkKind::Online,
        deadline_ms,
        head_deadline_ms: deadline_ms,
        // That the check has no answer in time says nothing about the upstream.
        unresponsive_at_ms: u64::MAX,
        expected_at_ms: now_ms,
        resume_after: None,
        // Only a new connection reaches the process that listens now.
        is_retryable: false,
    };
    match exchange(node, target, &check, options).await {
        Ok((response, _)) => occupant_of(&response, target),
        Err(_) => Occupant::Unknown,
    }
}

fn host_header(target: &Target) -> HeaderMap {
    let host = HeaderValue::from_str(&target.address.to_string());
    host.map(|host| HeaderMap::from_iter([(header::HOST, host)]))
        .unwrap_or_default()
}

/// Returns who answered a health check that named an upstream.
fn occupant_of(response: &Response<LimitedBody>, target: &Target) -> Occupant {
    let stated = platform::stated_instance(response.headers());
    match stated {
        Some(id) if id == target.upstream.as_str() => Occupant::Upstream,
        Some(_) => Occupant::Other,
        None if platform::is_misdirected(response.status()) => Occupant::Other,
        None => Occupant::Upstream,
    }
}
