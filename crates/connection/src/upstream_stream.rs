//! The stream of a connection to an upstream.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::{RequestProgress, progress::RequestState};

/// Interval between the first two checks whether the upstream has received the request. It
/// doubles from check to check.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(1);
/// Maximum interval between two checks.
const CHECK_INTERVAL_MAX: Duration = Duration::from_millis(16);

/// A connection to an upstream.
#[derive(Debug)]
pub struct UpstreamStream {
    stream: TcpStream,
    progress: Arc<RequestProgress>,
    /// When to check again whether the upstream has received the request; `None` before the end.
    next_check: Option<Pin<Box<Sleep>>>,
    check_interval: Duration,
}

impl UpstreamStream {
    /// Observes the requests on a connection.
    #[must_use]
    pub fn new(stream: TcpStream, progress: Arc<RequestProgress>) -> Self {
        Self {
            stream,
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

    /// Returns whether the upstream has received the request, or is not observed.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream has reset the connection.
    fn has_received_request(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        match self.progress.state() {
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
        // A closed socket has no peer. A reset closes it as well, and leaves an error.
        let is_closed = self.stream.peer_addr().is_err();
        match self.stream.take_error()? {
            Some(error) => {
                self.progress.record_failure();
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

impl Connection for UpstreamStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}
