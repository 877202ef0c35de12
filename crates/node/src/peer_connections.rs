//! HTTP/2 connections to peers. One connection carries all attempts that a peer makes for
//! this instance at a time. There are none while this instance reaches all upstreams.

use std::{cell::RefCell, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    client::conn::http2::{Builder, SendRequest},
    rt::Executor,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

/// Time-out for connecting to a peer: a few round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of keep-alive pings while attempts are in progress, and time-out for their
/// answers. A connection may fall silent without a reset.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(500);
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes of an answer that wait for a caller who does not read.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// Maximum size of the headers of a request or an answer, bytes.
pub(crate) const HEADERS_MAX_BYTES: u32 = 64 * 1024;
/// Idle time after which a connection is closed, milliseconds.
const IDLE_MAX_MS: u64 = 5_000;

/// Sends requests to a peer.
pub(crate) type PeerSender = SendRequest<Full<Bytes>>;

/// Open connections to peers.
#[derive(Debug, Default)]
pub(crate) struct PeerConnections {
    /// Sorted by address.
    connections: RefCell<Vec<PeerConnection>>,
}

#[derive(Debug)]
struct PeerConnection {
    address: SocketAddr,
    sender: PeerSender,
    idle_until_ms: u64,
}

/// Runs the tasks of HTTP/2 connections on the thread of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalExecutor;

impl<F: Future<Output: 'static> + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        spawn_local(future);
    }
}

impl PeerConnections {
    /// Returns a sender on an open connection.
    pub(crate) fn find_open(&self, address: SocketAddr, now_ms: u64) -> Option<PeerSender> {
        let mut connections = self.connections.borrow_mut();
        let index = find(&connections, address).ok()?;
        let connection = &mut connections[index];
        if connection.sender.is_closed() {
            connections.remove(index);
            return None;
        }
        connection.idle_until_ms = now_ms + IDLE_MAX_MS;
        Some(connection.sender.clone())
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused or is not open in time.
    pub(crate) async fn open(&self, address: SocketAddr, now_ms: u64) -> io::Result<PeerSender> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = Builder::new(LocalExecutor)
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .max_header_list_size(HEADERS_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // Errors are reported to the requests that use the connection.
        spawn_local(connection);
        let opened = PeerConnection {
            address,
            sender: sender.clone(),
            idle_until_ms: now_ms + IDLE_MAX_MS,
        };
        let mut connections = self.connections.borrow_mut();
        match find(&connections, address) {
            Ok(index) => connections[index] = opened,
            Err(index) => connections.insert(index, opened),
        }
        Ok(sender)
    }

    /// Closes the connections that were not used for a while, once their last attempt has
    /// ended.
    pub(crate) fn expire(&self, now_ms: u64) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| now_ms < connection.idle_until_ms);
    }
}

fn find(connections: &[PeerConnection], address: SocketAddr) -> Result<usize, usize> {
    connections.binary_search_by(|connection| connection.address.cmp(&address))
}
