//! Observes what is read from and written to a caller's connection.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{answer::AnswerBody, caller_connections::CallerConnection, read_limit::LimitedStream};

/// The stream of a caller's connection.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: LimitedStream<TcpStream>,
    connection: Rc<CallerConnection>,
}

impl CallerStream {
    pub(crate) fn new(stream: LimitedStream<TcpStream>, connection: Rc<CallerConnection>) -> Self {
        Self { stream, connection }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > filled_before {
            self.connection.on_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    /// The HTTP library flushes the stream only after it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.on_written();
        Poll::Ready(Ok(()))
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

/// Body of an answer to a caller. The HTTP library drops it once it has all of it.
pub(crate) struct CallerAnswerBody {
    body: AnswerBody,
    connection: Rc<CallerConnection>,
}

impl CallerAnswerBody {
    pub(crate) fn new(body: AnswerBody, connection: Rc<CallerConnection>) -> Self {
        Self { body, connection }
    }
}

impl Body for CallerAnswerBody {
    type Data = Bytes;
    type Error = <AnswerBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CallerAnswerBody {
    fn drop(&mut self) {
        self.connection.on_answer_complete();
    }
}
