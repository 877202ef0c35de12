//! Answers that this process makes itself.

use bytes::Bytes;
use futures::stream::LocalBoxStream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

/// Body of an answer: known at once, or relayed.
pub(crate) type AnswerBody = Either<Full<Bytes>, StreamBody<RelayedFrames>>;
/// Frames of a relayed answer; an error cuts it off visibly.
pub(crate) type RelayedFrames = LocalBoxStream<'static, Result<Frame<Bytes>, Truncated>>;

/// Why a relayed answer ends before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was cut off")]
pub(crate) struct Truncated;

/// An answer with a short text.
pub(crate) fn text(status: StatusCode, message: &'static str) -> Response<AnswerBody> {
    with_body(status, "text/plain", Bytes::from_static(message.as_bytes()))
}

/// An answer in JSON.
pub(crate) fn json(body: Bytes) -> Response<AnswerBody> {
    with_body(StatusCode::OK, "application/json", body)
}

/// The bytes of an item as its caller sent them.
pub(crate) fn bytes(body: Bytes) -> Response<AnswerBody> {
    with_body(StatusCode::OK, "application/octet-stream", body)
}

/// An answer that a peer made.
pub(crate) fn from_peer(response: Response<Bytes>) -> Response<AnswerBody> {
    response.map(|body| Either::Left(Full::new(body)))
}

/// Says that the request did not run, and when to come back.
pub(crate) fn service_unavailable(
    retry_after_ms: u64,
    message: &'static str,
) -> Response<AnswerBody> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, message);
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
