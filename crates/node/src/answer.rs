//! Builds the HTTP answers that this process originates, and defines the body
//! type of all answers to callers.

use bytes::Bytes;
use futures::stream::LocalBoxStream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

/// Body of an answer to a caller: either buffered or relayed from an upstream.
pub(crate) type AnswerBody = Either<Full<Bytes>, StreamBody<RelayedFrames>>;
/// Frames of a relayed answer. An error aborts the connection, so that the
/// caller can tell that the answer is incomplete.
pub(crate) type RelayedFrames = LocalBoxStream<'static, Result<Frame<Bytes>, Truncated>>;

/// Error that ends a relayed answer before its body is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was truncated: its body ended before it was complete")]
pub(crate) struct Truncated;

/// Returns an answer with a plain-text body.
pub(crate) fn text(status: StatusCode, message: &'static str) -> Response<AnswerBody> {
    with_body(status, "text/plain", Bytes::from_static(message.as_bytes()))
}

/// Returns a successful answer with a JSON body.
pub(crate) fn json(body: Bytes) -> Response<AnswerBody> {
    with_body(StatusCode::OK, "application/json", body)
}

/// Returns a successful answer with a binary body.
pub(crate) fn bytes(body: Bytes) -> Response<AnswerBody> {
    with_body(StatusCode::OK, "application/octet-stream", body)
}

/// Returns an answer that a peer produced, with its body buffered.
pub(crate) fn from_peer(response: Response<Bytes>) -> Response<AnswerBody> {
    response.map(|body| Either::Left(Full::new(body)))
}

/// Returns an answer with status 503, which guarantees the caller that its request did
/// not run, and a hint to retry after `retry_after_ms`.
pub(crate) fn service_unavailable(
    retry_after_ms: u64,
    message: &'static str,
) -> Response<AnswerBody> {
    refusal(StatusCode::SERVICE_UNAVAILABLE, retry_after_ms, message)
}

/// Returns an answer with status 429, which guarantees the caller that its request did
/// not run, and a hint to retry after `retry_after_ms`.
pub(crate) fn too_many_requests(
    retry_after_ms: u64,
    message: &'static str,
) -> Response<AnswerBody> {
    refusal(StatusCode::TOO_MANY_REQUESTS, retry_after_ms, message)
}

fn refusal(status: StatusCode, retry_after_ms: u64, message: &'static str) -> Response<AnswerBody> {
    let mut response = text(status, message);
    platform::set_retry_after(response.headers_mut(), retry_after_ms);
    response
}

fn with_body(status: StatusCode, media_type: &'static str, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    response
}
