//! HTTP exchange with an upstream and classification of its failures.

use std::{error::Error as _, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use model::{ErrorKind, is_valid_status};
use tokio::time::Instant;

use crate::{UpstreamError, connector::Connector, headers};

/// Time-out for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time after which an idle connection is closed, in milliseconds. It is short,
/// so that the client closes the connection before the upstream does.
const IDLE_TIMEOUT_MS: u64 = 4_000;
/// Maximum size of the body of an error response.
const ERROR_BODY_MAX_BYTES: usize = 4_096;
/// Time-out for reading the body of an error response, in milliseconds.
const ERROR_BODY_TIMEOUT_MS: u64 = 1_000;

pub(crate) type HttpClient = Client<Connector, Full<Bytes>>;

pub(crate) fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .pool_timer(TokioTimer::new())
        .build(Connector::new(connector))
}

/// Sends a request and waits for the head of its response, whose status is valid.
pub(crate) async fn send(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Response<Incoming>, UpstreamError> {
    if Instant::now() >= deadline {
        let kind = ErrorKind::DeadlineBeforeStart;
        return Err(UpstreamError::new(
            kind,
            "deadline expired before the request was sent",
        ));
    }
    match tokio::time::timeout_at(deadline, client.request(request)).await {
        Ok(Ok(response)) => check_status(response),
        Ok(Err(error)) => Err(classify(&error)),
        Err(_) => Err(deadline_exceeded()),
    }
}

/// Rejects a response whose status is invalid, whatever its headers say.
fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, UpstreamError> {
    let status = response.status().as_u16();
    if is_valid_status(status) {
        return Ok(response);
    }
    let message = format!("the status {status} is invalid");
    Err(UpstreamError {
        status: Some(status),
        ..UpstreamError::new(ErrorKind::UpstreamFailed, message)
    })
}

pub(crate) fn deadline_exceeded() -> UpstreamError {
    UpstreamError::new(
        ErrorKind::DeadlineExceeded,
        "deadline expired while waiting for the response",
    )
}

/// Returns whether the upstream reported that it refused the request without
/// running it.
pub(crate) fn is_refusal<B>(response: &Response<B>) -> bool {
    let ran = response.headers().get(headers::RAN);
    ran.is_some_and(|ran| ran.as_bytes() == b"no")
}

/// Returns whether the upstream announced that it is leaving the fleet.
pub(crate) fn announces_leaving(headers: &HeaderMap) -> bool {
    headers.contains_key(headers::LEAVING)
}

/// Returns whether a response names an attempt other than `attempt_id`. A
/// response that names no attempt is accepted.
pub(crate) fn names_other_attempt(headers: &HeaderMap, attempt_id: &str) -> bool {
    let named = headers.get(headers::ATTEMPT);
    named.is_some_and(|named| named.as_bytes() != attempt_id.as_bytes())
}

/// Returns the error for a response that was dropped because it names another
/// attempt. Whether the requested attempt ran is unknown.
pub(crate) fn attempt_mismatch() -> UpstreamError {
    let message = "response carries the id of another attempt";
    UpstreamError {
        is_attempt_mismatch: true,
        ..UpstreamError::new(ErrorKind::ConnectionLost, message)
    }
}

/// Converts an error response into an [`UpstreamError`].
pub(crate) async fn error_from_response(response: Response<Incoming>) -> UpstreamError {
    let status = response.status();
    let is_leaving = announces_leaving(response.headers());
    let retry_after_s = retry_after_s(response.headers());
    let kind = match (is_refusal(&response), is_leaving) {
        (true, true) => ErrorKind::UpstreamLeaving,
        (true, false) => ErrorKind::UpstreamRefused,
        (false, _) => ErrorKind::UpstreamFailed,
    };
    let message = error_message(status, response.into_body()).await;
    UpstreamError {
        status: Some(status.as_u16()),
        retry_after_s,
        is_leaving,
        ..UpstreamError::new(kind, message)
    }
}

/// Returns the value of `Retry-After` if it is a number of seconds.
fn retry_after_s(headers: &HeaderMap) -> Option<u32> {
    let value = headers.get(header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}

/// Returns the status and, if it can be read in time, the body of an error
/// response.
async fn error_message(status: StatusCode, body: Incoming) -> String {
    let collected = Limited::new(body, ERROR_BODY_MAX_BYTES).collect();
    let timeout = Duration::from_millis(ERROR_BODY_TIMEOUT_MS);
    let Ok(Ok(body)) = tokio::time::timeout(timeout, collected).await else {
        return format!("status {status}");
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).trim().to_owned();
    format!("status {status}: {text}")
}

/// Classifies a failure by whether the request can have reached the upstream.
fn classify(error: &legacy::Error) -> UpstreamError {
    let text = match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    };
    if error.is_connect() || was_never_written(error) {
        return UpstreamError::new(ErrorKind::ConnectRefused, text);
    }
    UpstreamError::new(ErrorKind::ConnectionLost, text)
}

/// Returns whether no byte of the request was written. Hyper reports a request as
/// cancelled only if it was still queued when its connection closed. After every
/// other failure of a pooled connection it is unknown whether the upstream read
/// the request.
fn was_never_written(error: &legacy::Error) -> bool {
    error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}
