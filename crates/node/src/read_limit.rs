//! Limits how many bytes are read from a connection without anything that can be passed on.
//!
//! A faulty upstream may send headers, interim answers, the framing of a chunk or garbage
//! without end, and a caller the framing of a chunk. The HTTP library would go on reading them,
//! and while it does, no other request is served.

use std::{
    cell::{Cell, RefCell},
    error::Error,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker, ready},
};

use bytes::Bytes;
use http::{HeaderMap, Response, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
};

/// Maximum number of bytes up to the end of the head, interim answers included.
const HEAD_MAX_BYTES: usize = 64 * 1_024;
/// Maximum number of bytes from one frame of a body to the next. A frame is passed on as far as
/// it has arrived, so that only framing can take up so many.
const FRAME_MAX_BYTES: usize = 64 * 1_024;

/// What is being read from a connection, and how many more bytes of it may come.
#[derive(Debug, Clone, Copy)]
enum Part {
    /// Nothing that is limited.
    Unlimited,
    /// The head of an answer. At the limit, no more is read until the head has been taken, as
    /// it may be complete.
    Head { remaining_bytes: usize },
    /// A body. At the limit, the connection fails.
    Body { remaining_bytes: usize },
}

/// Limit of the reads from a connection.
#[derive(Debug)]
pub(crate) struct ReadLimit {
    part: Cell<Part>,
    /// Number of bodies so far on the connection. Only the last one changes the limit.
    body_count: Cell<u64>,
    head_exceeded: Notify,
    /// Task that waits until more bytes may be read.
    reader: RefCell<Option<Waker>>,
}

impl ReadLimit {
    /// Creates a limit that is not in force.
    pub(crate) fn new() -> Self {
        Self {
            part: Cell::new(Part::Unlimited),
            body_count: Cell::new(0),
            head_exceeded: Notify::new(),
            reader: RefCell::default(),
        }
    }

    /// Puts the limit of the head in force, before a request is sent.
    pub(crate) fn begin_head(&self) {
        self.part.set(Part::Head {
            remaining_bytes: HEAD_MAX_BYTES,
        });
    }

    /// Puts the limit of a body in force, after a head has arrived or a frame of the body.
    fn begin_frame(&self) {
        self.set_part(Part::Body {
            remaining_bytes: FRAME_MAX_BYTES,
        });
    }

    /// Lifts the limit at the end of a body.
    fn end_body(&self) {
        self.set_part(Part::Unlimited);
    }

    fn set_part(&self, part: Part) {
        self.part.set(part);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Waits until the upstream has sent more bytes than the limit of the head.
    pub(crate) async fn head_exceeded(&self) {
        self.head_exceeded.notified().await;
    }

    /// Returns how many bytes may be read now, or `None` if there is no limit.
    fn poll_remaining(&self, context: &Context<'_>) -> Poll<io::Result<Option<usize>>> {
        match self.part.get() {
            Part::Unlimited => Poll::Ready(Ok(None)),
            Part::Head { remaining_bytes: 0 } => {
                self.head_exceeded.notify_one();
                *self.reader.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
            Part::Body { remaining_bytes: 0 } => {
                let message = "too many bytes without a frame of the body";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
            }
            Part::Head { remaining_bytes } | Part::Body { remaining_bytes } => {
                Poll::Ready(Ok(Some(remaining_bytes)))
            }
        }
    }

    fn record_read(&self, read_bytes: usize) {
        let mut part = self.part.get();
        match &mut part {
            Part::Unlimited => {}
            Part::Head { remaining_bytes } | Part::Body { remaining_bytes } => {
                *remaining_bytes -= read_bytes;
            }
        }
        self.part.set(part);
    }
}

/// A body that is read under the limit of its connection, which begins anew with each frame.
#[derive(Debug)]
pub(crate) struct LimitedBody {
    body: Incoming,
    /// `None` for an answer that comes from a peer.
    limit: Option<Rc<ReadLimit>>,
    /// Number of the body on its connection.
    number: u64,
    is_undelimited: bool,
    /// Whether the body broke off because the connection to the peer is lost.
    has_lost_peer: bool,
}

/// Limits an answer on a connection with this limit, once its head has been read.
pub(crate) fn limit_answer(
    answer: Response<Incoming>,
    limit: Rc<ReadLimit>,
) -> Response<LimitedBody> {
    let is_chunked = is_chunked(answer.headers());
    answer.map(|body| {
        let has_length = body.size_hint().exact().is_some();
        LimitedBody {
            is_undelimited: !is_chunked && !has_length,
            ..LimitedBody::new(body, limit)
        }
    })
}

/// Returns whether the last of the transfer codings marks the end of the body.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING);
    let codings = codings.iter().next_back();
    let codings = codings.and_then(|codings| codings.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns whether a peer ended an answer because the upstream broke off. Without that, the
/// connection to the peer is lost.
fn is_reset_by_peer(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<h2::Error>() {
            return error.is_reset();
        }
        source = error.source();
    }
    false
}

impl LimitedBody {
    /// Creates the body that follows a head on a connection with this limit.
    pub(crate) fn new(body: Incoming, limit: Rc<ReadLimit>) -> Self {
        let number = limit.body_count.get() + 1;
        limit.body_count.set(number);
        if body.is_end_stream() {
            limit.end_body();
        } else {
            limit.begin_frame();
        }
        Self {
            body,
            limit: Some(limit),
            number,
            is_undelimited: false,
            has_lost_peer: false,
        }
    }

    /// Creates the body of an answer that comes from a peer, which has limited it.
    pub(crate) fn of_peer(body: Incoming, is_undelimited: bool) -> Self {
        Self {
            body,
            limit: None,
            number: 0,
            is_undelimited,
            has_lost_peer: false,
        }
    }

    /// Returns whether the body has neither a length nor chunks and ends with its connection,
    /// so that it looks whole if the upstream breaks off.
    pub(crate) fn is_undelimited(&self) -> bool {
        self.is_undelimited
    }

    /// Returns whether the body broke off because the connection to the peer that passed it on is
    /// lost.
    pub(crate) fn has_lost_peer(&self) -> bool {
        self.has_lost_peer
    }
}

impl Body for LimitedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let (Some(Err(error)), None) = (&frame, &self.limit) {
            self.has_lost_peer = !is_reset_by_peer(error);
        }
        let number = self.number;
        let limit = self.limit.as_ref();
        match (
            &frame,
            limit.filter(|limit| limit.body_count.get() == number),
        ) {
            (Some(Ok(_)), Some(limit)) => limit.begin_frame(),
            (None, Some(limit)) => limit.end_body(),
            (Some(Err(_)), _) | (_, None) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose reads are limited.
#[derive(Debug)]
pub(crate) struct LimitedStream<S> {
    stream: S,
    limit: Rc<ReadLimit>,
}

impl<S> LimitedStream<S> {
    /// Limits the reads of a connection.
    pub(crate) fn new(stream: S, limit: Rc<ReadLimit>) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(remaining_bytes) = ready!(self.limit.poll_remaining(context))? else {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        };
        if remaining_bytes >= buffer.remaining() {
            let filled_before = buffer.filled().len();
            let result = Pin::new(&mut self.stream).poll_read(context, buffer);
            self.limit
                .record_read(buffer.filled().len() - filled_before);
            return result;
        }
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(remaining_bytes));
        let result = Pin::new(&mut self.stream).poll_read(context, &mut limited);
        let read_bytes = limited.filled().len();
        buffer.advance(read_bytes);
        self.limit.record_read(read_bytes);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
