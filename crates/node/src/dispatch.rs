//! Dispatches callers' requests: requests about jobs and submissions of jobs go to
//! the `jobs` module, requests of other routes are forwarded to upstreams.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use gateway::{Customer, Route, RouteKind, RouteTable};
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, Limited};
use platform::RequestHeaders;
use tokio::time::timeout_at;

use crate::{
    answer::{self, AnswerBody},
    customers::{self, CallId, KeyedCall},
    forward::forward,
    jobs,
    listener::wait_for_stage,
    node::{Node, Stage},
    read_limit::LimitedBody,
};

/// Retry-after hint while this instance has no configuration, milliseconds.
const NOT_CONFIGURED_RETRY_AFTER_MS: u64 = 500;
/// Retry-after hint for a request that a planned stop ended, milliseconds. The hint is short
/// because other instances can serve the request.
const STOPPED_RETRY_AFTER_MS: u64 = 10;
/// Time-out for reading a request body if the caller sets no deadline,
/// milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Answers one request of a caller. The request counts as open until its answer
/// begins; the body of the answer may be relayed later.
pub(crate) async fn serve(
    node: Rc<Node>,
    request: Request<LimitedBody>,
) -> Result<Response<AnswerBody>, Infallible> {
    let _open_request = OpenRequestGuard::new(&node);
    let arrived_ms = node.now_ms();
    let progress = Progress::default();
    let answer = answer_request(&node, request, arrived_ms, &progress);
    let mut stage = node.stage.subscribe();
    let mut response = tokio::select! {
        response = answer => response,
        () = wait_for_stage(&mut stage, Stage::Ending) => answer_ended(&progress),
    };
    if node.stage() != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// How far the answer to a request has come, in case a planned stop ends it.
#[derive(Debug, Default)]
struct Progress {
    request_id: RefCell<Arc<str>>,
    /// Whether something may have been done that the caller asked for.
    may_have_begun: Cell<bool>,
}

/// Returns the answer to a request that a planned stop ends. Without one, the caller could not
/// tell whether the request was read.
fn answer_ended(progress: &Progress) -> Response<AnswerBody> {
    let may_have_begun = progress.may_have_begun.get();
    log::warn!(
        "event=request_ended_by_stop request={} may_have_begun={may_have_begun}",
        progress.request_id.borrow()
    );
    if may_have_begun {
        answer::text(StatusCode::BAD_GATEWAY, "this instance has stopped")
    } else {
        answer::service_unavailable(STOPPED_RETRY_AFTER_MS, "this instance has stopped")
    }
}

fn answer_not_configured(parts: &request::Parts) -> Response<AnswerBody> {
    log::warn!(
        "event=request_refused request={} reason=no_configuration retry_after_ms={NOT_CONFIGURED_RETRY_AFTER_MS}",
        platform::decode_request_headers(&parts.headers).request_id
    );
    answer::service_unavailable(
        NOT_CONFIGURED_RETRY_AFTER_MS,
        "this instance has no configuration yet",
    )
}

async fn answer_request(
    node: &Rc<Node>,
    request: Request<LimitedBody>,
    arrived_ms: u64,
    progress: &Progress,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    node.wait_for_initial_state().await;
    let Some(routes) = node.routes() else {
        return answer_not_configured(&parts);
    };
    let routes = &*routes;
    let host = host_of(&parts).to_owned();
    let request_headers = platform::decode_request_headers(&parts.headers);
    let key = request_headers.key.as_ref();
    progress
        .request_id
        .replace(Arc::clone(&request_headers.request_id));
    // A call about a job may end it.
    progress.may_have_begun.set(true);
    if let Some(response) = jobs::answer_call(node, routes, &parts, key).await {
        return response;
    }
    progress.may_have_begun.set(false);
    let Some(route) = routes.find(&host, parts.uri.path()).cloned() else {
        log::info!(
            "event=request_refused request={} reason=no_route config_version={}",
            request_headers.request_id,
            routes.version
        );
        return answer::text(StatusCode::NOT_FOUND, "no such route");
    };
    let path = parts.uri.path();
    let is_public = |routes: &RouteTable| {
        routes
            .find(&host, path)
            .is_some_and(|route| route.is_public)
    };
    let keyed_call = KeyedCall {
        id: CallId::Request(&request_headers.request_id),
        key,
    };
    if let Err(refusal) = customers::authenticate(node, keyed_call, is_public).await {
        return refusal.answer();
    }
    let read_deadline_ms = arrived_ms + request_headers.time_left_ms.unwrap_or(BODY_TIMEOUT_MS);
    let body = match read_body(node, routes, body, read_deadline_ms).await {
        Ok(body) => body,
        Err(status) => {
            log::warn!(
                "event=request_refused request={} reason=body status={}",
                request_headers.request_id,
                status.as_u16()
            );
            return answer::text(status, "the body cannot be read");
        }
    };
    // The body may have taken long, and the process may have been paused meanwhile.
    let customer = match customers::authenticate(node, keyed_call, is_public).await {
        Ok(customer) => customer,
        Err(refusal) => return refusal.answer(),
    };
    let call = CallerRequest {
        route,
        // The first configuration with customers may have come while the body was read.
        has_customers: node
            .routes()
            .is_some_and(|routes| routes.customers.is_some()),
        customer,
        parts,
        headers: request_headers,
        body,
        arrived_ms,
    };
    progress.may_have_begun.set(true);
    if is_job_submission(&call.route) {
        return jobs::submit(node, &call).await;
    }
    forward(node, call).await
}

/// A caller's request whose body has been read.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) route: Arc<Route>,
    /// Customer on whose behalf the request is sent; `None` if it needs no key.
    pub(crate) customer: Option<Arc<Customer>>,
    /// Whether the configuration names customers.
    pub(crate) has_customers: bool,
    pub(crate) parts: request::Parts,
    pub(crate) headers: RequestHeaders,
    pub(crate) body: Bytes,
    pub(crate) arrived_ms: u64,
}

fn is_job_submission(route: &Arc<Route>) -> bool {
    matches!(route.kind, RouteKind::Batch(_))
}

/// Reads the whole body. Returns the status for the caller if the body exceeds the
/// configured limit, does not arrive in time or cannot be read.
async fn read_body(
    node: &Node,
    routes: &RouteTable,
    body: LimitedBody,
    deadline_ms: u64,
) -> Result<Bytes, StatusCode> {
    let limit = usize::try_from(routes.limits.body_max_bytes).unwrap_or(usize::MAX);
    let collected = Limited::new(body, limit).collect();
    match timeout_at(node.clock.instant(deadline_ms), collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Returns the host that a caller's request names.
pub(crate) fn host_of(parts: &request::Parts) -> &str {
    let from_header = || parts.headers.get(header::HOST)?.to_str().ok();
    parts.uri.host().or_else(from_header).unwrap_or_default()
}

/// Guard that counts a request as open until it is dropped.
#[derive(Debug)]
struct OpenRequestGuard<'a> {
    node: &'a Node,
}

impl<'a> OpenRequestGuard<'a> {
    fn new(node: &'a Node) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self { node }
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.node
            .open_requests
            .set(self.node.open_requests.get() - 1);
    }
}
