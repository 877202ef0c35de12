//! A connection to an upstream. Its end is reported once the upstream has received the request.
//!
//! An upstream may answer while a long request is still being sent. If it closes the connection
//! then, the end of its answer arrives first. The reset follows when more of the request reaches
//! the closed socket. In between, an answer that has neither a length nor chunks would look whole.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::read_limit::{LimitedStream, ReadLimit};

/// Interval between the first two checks whether the upstream has received the request. It
/// doubles from check to check.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(1);
/// Maximum interval between two checks.
const CHECK_INTERVAL_MAX: Duration = Duration::from_millis(16);

/// How far the last request on a connection has been sent.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    state: Cell<RequestState>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// There is no request with a body, so nothing can be missing at the end of an answer.
    #[default]
    Unobserved,
    /// No part of it has been written.
    Queued,
    /// The socket has taken a part of it.
    PartlyWritten,
    /// The socket has taken it all, and may still hold a part.
    Written,
    /// The connection has failed. The socket tells its error only once.
    Failed,
}

impl RequestProgress {
    /// Observes a request that is sent next.
    pub(crate) fn begin(&self, has_body: bool) {
        self.state.set(if has_body {
            RequestState::Queued
        } else {
            RequestState::Unobserved
        });
    }

    fn record_write(&self, write: &Poll<io::Result<usize>>) {
        if self.state.get() != RequestState::Unobserved {
            self.state.set(match write {
                Poll::Ready(Err(_)) => RequestState::Failed,
                Poll::Ready(Ok(_)) | Poll::Pending => RequestState::PartlyWritten,
            });
        }
    }

    /// Records that the HTTP library has nothing left to write.
    fn record_flush(&self) {
        if self.state.get() == RequestState::PartlyWritten {
            self.state.set(RequestState::Written);
        }
    }
}

/// A connection to an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamStream {
    stream: LimitedStream,
    limit: Rc<ReadLimit>,
    progress: Rc<RequestProgress>,
    /// When to check again whether the upstream has received the request; `None` before the end.
    next_check: Option<Pin<Box<Sleep>>>,
    check_interval: Duration,
}

impl UpstreamStream {
    /// Limits the reads of a connection, and observes the requests on it.
    pub(crate) fn new(
        stream: TcpStream,
        limit: Rc<ReadLimit>,
        progress: Rc<RequestProgress>,
    ) -> Self {
        Self {
            stream: LimitedStream::new(stream, Rc::clone(&limit)),
            limit,
            progress,
            next_check: None,
            check_interval: CHECK_INTERVAL_MIN,
        }
    }

    /// Waits, at the end of the connection, until the upstream has received the request.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.has_received_request(context)? {
            let interval = self.check_interval;
            let check = self
                .next_check
                .get_or_insert_with(|| Box::pin(sleep(interval)));
            ready!(check.as_mut().poll(context));
            self.next_check = None;
            self.check_interval = (2 * interval).min(CHECK_INTERVAL_MAX);
        }
        Poll::Ready(Ok(()))
    }

    /// Returns whether the upstream has received the request, or none is being answered.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream has reset the connection.
    fn has_received_request(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        if self.limit.is_lifted() {
            return Ok(true);
        }
        match self.progress.state.get() {
            RequestState::Unobserved | RequestState::Queued => Ok(true),
            // The HTTP library goes on writing, which fails if the connection is reset.
            RequestState::PartlyWritten => Ok(false),
            RequestState::Written => self.is_closed_by_both(context),
            RequestState::Failed => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    /// Closes the connection for writing. Returns whether it is closed in both directions, which
    /// it is once the upstream's system has acknowledged the whole request.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream has reset the connection.
    fn is_closed_by_both(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_shutdown(context) {
            result?;
        }
        let socket = self.stream.socket();
        // A closed socket has no peer. A reset closes it as well, and leaves an error.
        let is_closed = socket.peer_addr().is_err();
        match socket.take_error()? {
            Some(error) => {
                self.progress.state.set(RequestState::Failed);
                Err(error)
            }
            None => Ok(is_closed),
        }
    }
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining_before = buffer.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let is_end = buffer.remaining() == remaining_before && remaining_before > 0;
        if is_end {
            self.poll_end(context)
        } else {
            Poll::Ready(Ok(()))
        }
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.progress.record_write(&write);
        write
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.record_flush();
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
        let write = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.progress.record_write(&write);
        write
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
