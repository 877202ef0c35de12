//! Reads a body by frames: the next one, or those that have already arrived.
//!
//! A body may have data and an error ready at the same time, and ends after the error. Whoever
//! looks ahead must not lose the error, or a body that broke off looks complete.

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Body;

/// A body of which frames are read.
#[derive(Debug)]
pub(crate) struct FrameReader<B: Body> {
    body: B,
    /// What came while reading ahead.
    next: Option<Result<Bytes, B::Error>>,
    has_ended: bool,
}

impl<B: Body<Data = Bytes> + Unpin> FrameReader<B> {
    /// Creates a reader of `body`.
    pub(crate) fn new(body: B) -> Self {
        Self {
            body,
            next: None,
            has_ended: false,
        }
    }

    /// Returns the body.
    pub(crate) fn body(&self) -> &B {
        &self.body
    }

    /// Waits for the next data, which is left to [`Self::next`], and skips what is empty.
    pub(crate) async fn peek(&mut self) -> Option<&Result<Bytes, B::Error>> {
        loop {
            match self.next().await? {
                Ok(data) if data.is_empty() => {}
                next => return Some(self.next.insert(next)),
            }
        }
    }

    /// Waits for the next data, which is empty for a frame of trailers. Returns `None` at the
    /// end of a complete body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body broke off.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, B::Error>> {
        if self.next.is_some() || self.has_ended {
            return self.next.take();
        }
        let frame = self.body.frame().await;
        self.has_ended = frame.is_none();
        Some(frame?.map(|frame| frame.into_data().unwrap_or_default()))
    }

    /// Returns data that has already arrived. An error or the end is left to [`Self::next`].
    pub(crate) fn next_ready(&mut self) -> Option<Bytes> {
        match self.next().now_or_never()?? {
            Ok(data) => Some(data),
            Err(error) => {
                self.next = Some(Err(error));
                None
            }
        }
    }

    /// Returns whether all bytes of a body of known length have been read.
    pub(crate) fn is_at_known_end(&self) -> bool {
        let is_at_end = self.body.is_end_stream() || self.body.size_hint().exact() == Some(0);
        is_at_end && self.next.is_none()
    }
}
