//! Dispatches callers' requests: requests about jobs and submissions of jobs go to
//! the `jobs` module, requests of other routes are forwarded to upstreams.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use gateway::{Customer, Route, RouteKind, RouteTable};
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use hyper::body::Body;
use platform::RequestHeaders;
use tokio::task::spawn_local;

use crate::{
    answer::{self, AnswerBody},
    body_memory::{self, BodyError},
    caller_connections::CallerConnection,
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
/// Retry-after hint if there is no memory for a body, milliseconds. Other instances may have
/// some.
const NO_ROOM_RETRY_AFTER_MS: u64 = 300;
/// Number of copies of its body that a request needs.
const REQUEST_COPIES: usize = 1;
/// Number of copies of its body that the submission of a job needs: as sent, decoded, and as
/// one transaction of the store.
const JOB_COPIES: usize = 3;

/// Answers one request of a caller. The request counts as open until its answer
/// begins; the body of the answer may be relayed later.
pub(crate) async fn serve(
    caller: &CallerConnection,
    request: Request<LimitedBody>,
) -> Response<AnswerBody> {
    let node = caller.node();
    let _open_request = OpenRequestGuard::new(node);
    let arrived_ms = node.now_ms();
    let progress = Progress::new(caller);
    let (parts, mut body) = request.into_parts();
    let awaits_consent = parts.headers.contains_key(header::EXPECT);
    let answer = answer_request(node, parts, &mut body, arrived_ms, &progress);
    let mut stage = node.stage.subscribe();
    let mut response = tokio::select! {
        response = answer => response,
        () = wait_for_stage(&mut stage, Stage::Ending) => answer_ended(&progress),
    };
    if node.stage() != Stage::Serving {
        close_connection(&mut response);
    }
    caller.end_body();
    // A caller that waits for consent has sent nothing that would have to be read.
    let is_read = progress.is_body_read.get() || body.is_end_stream() || awaits_consent;
    if !is_read && caller.begin_discarding() {
        spawn_local(body_memory::discard(body));
    }
    response
}

/// Tells the caller that its connection is closed after this answer.
fn close_connection(response: &mut Response<AnswerBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// How far the answer to a request has come, in case a planned stop ends it.
#[derive(Debug)]
struct Progress<'a> {
    caller: &'a CallerConnection,
    request_id: RefCell<Arc<str>>,
    /// Whether something may have been done that the caller asked for.
    may_have_begun: Cell<bool>,
    /// Whether the body has been read to its end.
    is_body_read: Cell<bool>,
}

impl<'a> Progress<'a> {
    fn new(caller: &'a CallerConnection) -> Self {
        Self {
            caller,
            request_id: RefCell::default(),
            may_have_begun: Cell::new(false),
            is_body_read: Cell::new(false),
        }
    }
}

/// Returns the answer to a request that a planned stop ends. Without one, the caller could not
/// tell whether the request was read.
fn answer_ended(progress: &Progress<'_>) -> Response<AnswerBody> {
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
    parts: request::Parts,
    body: &mut LimitedBody,
    arrived_ms: u64,
    progress: &Progress<'_>,
) -> Response<AnswerBody> {
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
    let route = routes.find(&host, parts.uri.path()).cloned();
    if !route.as_ref().is_some_and(is_job_submission) {
        let call = RepeatCall {
            parts: &parts,
            headers: &request_headers,
            arrived_ms,
        };
        if let Some(response) = answer_if_repeat(node, routes, &call, body, progress).await {
            return response;
        }
    }
    let Some(route) = route else {
        log::info!(
            "event=request_refused request={} reason=no_route config_version={}",
            request_headers.request_id,
            routes.version
        );
        return answer::text(StatusCode::NOT_FOUND, "no such route");
    };
    let path = parts.uri.path();
    let repeats_job_of_nobody = is_job_submission(&route)
        && jobs::repeats_job_of_nobody(node, &parts, &request_headers.request_id);
    let is_public = |routes: &RouteTable| {
        let route = routes.find(&host, path);
        repeats_job_of_nobody || route.is_some_and(|route| route.is_public)
    };
    let keyed_call = KeyedCall {
        id: CallId::Request(&request_headers.request_id),
        key,
    };
    if let Err(refusal) = customers::authenticate(node, keyed_call, is_public).await {
        return refusal.answer();
    }
    let time_left_ms = request_headers.time_left_ms.unwrap_or(BODY_TIMEOUT_MS);
    let read_deadline_ms = arrived_ms + time_left_ms.min(route.timeout_ms);
    let copies = if is_job_submission(&route) {
        JOB_COPIES
    } else {
        REQUEST_COPIES
    };
    let body = match read_body(routes, body, copies, read_deadline_ms, progress).await {
        Ok(body) => body,
        Err(error) => return answer_unread(node, &request_headers, error),
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

/// A request that may submit a job again whose route is gone.
#[derive(Debug, Clone, Copy)]
struct RepeatCall<'a> {
    parts: &'a request::Parts,
    headers: &'a RequestHeaders,
    arrived_ms: u64,
}

/// Answers a request that submits a job again whose route is gone. Returns `None` for any other
/// request.
async fn answer_if_repeat(
    node: &Rc<Node>,
    routes: &RouteTable,
    call: &RepeatCall<'_>,
    body: &mut LimitedBody,
    progress: &Progress<'_>,
) -> Option<Response<AnswerBody>> {
    let request_id = &call.headers.request_id;
    let job = match jobs::repeated_job(node, routes, call.parts, request_id).await {
        Ok(job) => job?,
        Err(error) => {
            log::warn!(
                "event=request_refused request={request_id} reason=store error={}",
                process::quote(&error)
            );
            return Some(jobs::store_unavailable());
        }
    };
    // The job has been accepted, so its items may run.
    progress.may_have_begun.set(true);
    let time_left_ms = call.headers.time_left_ms.unwrap_or(BODY_TIMEOUT_MS);
    let deadline_ms = call.arrived_ms + time_left_ms.min(BODY_TIMEOUT_MS);
    Some(
        match read_body(routes, body, REQUEST_COPIES, deadline_ms, progress).await {
            Ok(_) => {
                let key = call.headers.key.as_ref();
                jobs::answer_repeated_job(node, &job, key, deadline_ms).await
            }
            Err(error) => answer_unread(node, call.headers, error),
        },
    )
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

async fn read_body(
    routes: &RouteTable,
    body: &mut LimitedBody,
    copies: usize,
    deadline_ms: u64,
    progress: &Progress<'_>,
) -> Result<Bytes, BodyError> {
    let caller = progress.caller;
    let max_bytes = routes.limits.body_max_bytes;
    if !body.is_end_stream() && !caller.begin_body() {
        return Err(BodyError::NoRoom);
    }
    let memory = &caller.node().body_memory;
    let read = tokio::select! {
        biased;
        () = caller.must_evict_body() => Err(BodyError::Evicted),
        read = memory.read(body, max_bytes, copies, deadline_ms) => read,
    };
    caller.end_body();
    progress.is_body_read.set(read.is_ok());
    read
}

/// Returns the answer to a request whose body was not read to its end, so that nothing has run.
fn answer_unread(node: &Node, headers: &RequestHeaders, error: BodyError) -> Response<AnswerBody> {
    log::warn!(
        "event=request_refused request={} reason=body error={}",
        headers.request_id,
        process::quote(&error)
    );
    let mut response = match error {
        BodyError::TooLong => answer::text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
        BodyError::NoRoom | BodyError::Evicted => {
            node.metrics
                .on_refusal("no_body_memory", NO_ROOM_RETRY_AFTER_MS);
            answer::service_unavailable(NO_ROOM_RETRY_AFTER_MS, "there is no memory for the body")
        }
        BodyError::TimedOut => answer::text(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        ),
        BodyError::Broken => answer::text(StatusCode::BAD_REQUEST, "the body cannot be read"),
    };
    close_connection(&mut response);
    response
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
