//! Requests that the stand-in of a model server does not run, and its answer to health checks.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};

use crate::http::{self as server, Body};

/// A segment of the path that begins with this text states the status with which every server
/// refuses the request.
const REFUSED_SEGMENT_PREFIX: &str = "refused-";
/// Path of the health check.
const HEALTH_PATH: &str = "/health";

/// Returns the answer to a request that the server `id` with this version of the weights refuses,
/// or to a health check. Returns `None` if the request is to run.
pub(crate) fn answer_without_run(
    request: &Request<Bytes>,
    id: &str,
    weights: Option<u64>,
) -> Option<Response<Body>> {
    let headers = request.headers();
    let target = header(headers, "redwingtack-target-instance");
    if target.is_some_and(|target| target != id) {
        return Some(not_run(request, StatusCode::MISDIRECTED_REQUEST));
    }
    if request.method() == Method::GET && request.uri().path() == HEALTH_PATH {
        let mut response = server::text_response(StatusCode::OK, "healthy\n");
        let id = HeaderValue::from_str(id).ok()?;
        response.headers_mut().insert("redwingtack-instance-id", id);
        return Some(response);
    }
    if let Some(status) = stated_refusal(request.uri().path()) {
        return Some(not_run(request, status));
    }
    let required = header(headers, "redwingtack-required-version");
    let has_required = required.is_none_or(|required| {
        weights.is_some_and(|weights| required.trim() == weights.to_string())
    });
    (!has_required).then(|| not_run(request, StatusCode::MISDIRECTED_REQUEST))
}

/// Returns the refusal of a request that would be one too many.
pub(crate) fn full() -> Response<Body> {
    with_not_run(server::text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "full\n",
    ))
}

fn not_run(request: &Request<Bytes>, status: StatusCode) -> Response<Body> {
    let mut response = with_not_run(server::text_response(status, "refused\n"));
    if let Some(id) = request.headers().get("redwingtack-request-id") {
        let headers = response.headers_mut();
        headers.insert("redwingtack-request-id", id.clone());
    }
    response
}

fn with_not_run(mut response: Response<Body>) -> Response<Body> {
    let not_run = HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert("redwingtack-not-run", not_run);
    response
}

fn stated_refusal(path: &str) -> Option<StatusCode> {
    let mut segments = path.split('/');
    let status = segments.find_map(|segment| segment.strip_prefix(REFUSED_SEGMENT_PREFIX))?;
    status.parse().ok()
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
