//! HTTP exchange with an upstream, and how its failures are classified.

use std::{error::Error as _, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use model::ErrorKind;
use tokio::time::Instant;

use crate::{UpstreamError, headers};

/// Longest time to open a connection.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Idle connections are closed after this time, before the upstream does so.
const IDLE_TIMEOUT_MS: u64 = 4_000;
/// Longest error body that is read.
const ERROR_BODY_MAX_BYTES: usize = 4_096;
/// Longest time to read the body of an error answer.
const ERROR_BODY_TIMEOUT_MS: u64 = 1_000;

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

pub(crate) fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// Sends one request and waits for the head of its answer.
pub(crate) async fn send(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Response<Incoming>, UpstreamError> {
    if Instant::now() >= deadline {
        let kind = ErrorKind::DeadlineBeforeStart;
        return Err(UpstreamError::new(kind, "deadline passed before sending"));
    }
    match tokio::time::timeout_at(deadline, client.request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(classify(&error)),
        Err(_) => Err(deadline_exceeded()),
    }
}

pub(crate) fn deadline_exceeded() -> UpstreamError {
    UpstreamError::new(ErrorKind::DeadlineExceeded, "deadline passed")
}

/// Whether the upstream said that it refused without running.
pub(crate) fn is_refusal<B>(response: &Response<B>) -> bool {
    let ran = response.headers().get(headers::RAN);
    ran.is_some_and(|ran| ran.as_bytes() == b"no")
}

pub(crate) fn announces_leaving(headers: &HeaderMap) -> bool {
    headers.contains_key(headers::LEAVING)
}

/// Whether an answer names an attempt other than `attempt_id`. An answer that
/// names none counts as the right one.
pub(crate) fn names_other_attempt(answer: &HeaderMap, attempt_id: &str) -> bool {
    let named = answer.get(headers::ATTEMPT);
    named.is_some_and(|named| named.as_bytes() != attempt_id.as_bytes())
}

/// The error of a dropped answer. Whether the attempt itself ran is not known.
pub(crate) fn attempt_mismatch() -> UpstreamError {
    let message = "the answer belongs to another attempt";
    UpstreamError {
        is_attempt_mismatch: true,
        ..UpstreamError::new(ErrorKind::ConnectionLost, message)
    }
}

/// Turns an error answer into a typed error.
pub(crate) async fn error_answer(response: Response<Incoming>) -> UpstreamError {
    let status = response.status();
    let is_leaving = announces_leaving(response.headers());
    let retry_after_s = retry_after_s(response.headers());
    let kind = match (is_refusal(&response), is_leaving) {
        (true, true) => ErrorKind::UpstreamLeaving,
        (true, false) => ErrorKind::UpstreamRefused,
        (false, _) => ErrorKind::UpstreamFailed,
    };
    let text = error_text(status, response.into_body()).await;
    UpstreamError {
        status: Some(status.as_u16()),
        retry_after_s,
        is_leaving,
        ..UpstreamError::new(kind, text)
    }
}

fn retry_after_s(headers: &HeaderMap) -> Option<u32> {
    let value = headers.get(header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}

async fn error_text(status: StatusCode, body: Incoming) -> String {
    let collect = Limited::new(body, ERROR_BODY_MAX_BYTES).collect();
    let limit = Duration::from_millis(ERROR_BODY_TIMEOUT_MS);
    let Ok(Ok(body)) = tokio::time::timeout(limit, collect).await else {
        return format!("status {status}");
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).trim().to_owned();
    format!("status {status}: {text}")
}

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

/// Hyper reports a request as cancelled only if it was still queued when its
/// connection closed, so that no byte of it was written. Every other failure
/// of a pooled connection leaves open whether the upstream read the request.
fn was_never_written(error: &legacy::Error) -> bool {
    error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}
