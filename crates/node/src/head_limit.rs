//! Limits how many bytes are read from an upstream before the head of its answer is
//! complete.
//!
//! A faulty upstream may send headers, interim answers or garbage without end. The HTTP
//! client would go on reading them, and while it does, no other request is served.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

/// Maximum number of bytes up to the end of the head, interim answers included.
const HEAD_MAX_BYTES: usize = 64 * 1_024;

/// Number of bytes that may still be read from a connection.
#[derive(Debug)]
pub(crate) struct HeadLimit {
    remaining_bytes: Cell<usize>,
    exceeded: Notify,
    /// Task that waits until more bytes may be read.
    reader: RefCell<Option<Waker>>,
}

impl HeadLimit {
    /// Creates a limit that is not in force.
    pub(crate) fn new() -> Self {
        Self {
            remaining_bytes: Cell::new(usize::MAX),
            exceeded: Notify::new(),
            reader: RefCell::default(),
        }
    }

    /// Puts the limit in force, before a request is sent.
    pub(crate) fn begin_head(&self) {
        self.remaining_bytes.set(HEAD_MAX_BYTES);
    }

    /// Lifts the limit after the head of the answer has arrived.
    pub(crate) fn end_head(&self) {
        self.remaining_bytes.set(usize::MAX);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Waits until the upstream has sent more bytes than the limit.
    pub(crate) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}

/// A connection whose reads are limited.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: Rc<HeadLimit>,
}

impl LimitedStream {
    /// Limits the reads of a connection.
    pub(crate) fn new(stream: TcpStream, limit: Rc<HeadLimit>) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining_bytes = self.limit.remaining_bytes.get();
        if remaining_bytes == 0 {
            self.limit.exceeded.notify_one();
            *self.limit.reader.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        if remaining_bytes == usize::MAX {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let length = remaining_bytes.min(buffer.remaining());
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let result = Pin::new(&mut self.stream).poll_read(context, &mut limited);
        let read_bytes = limited.filled().len();
        buffer.advance(read_bytes);
        self.limit.remaining_bytes.set(remaining_bytes - read_bytes);
        result
    }
}

impl AsyncWrite for LimitedStream {
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
