//! Pool of idle HTTP connections to upstreams. A connection is reused only while
//! the upstream is expected to keep it open.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use connection::{RequestProgress, UpstreamStream};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::read_limit::{LimitedStream, ReadLimit};

/// Idle time after which a connection is not reused if the upstream states no
/// keep-alive time-out, milliseconds.
const IDLE_DEFAULT_MS: u64 = 400;
/// A connection is not reused after the upstream's keep-alive time-out divided by this
/// number. If it were reused until the full time-out, a request could arrive just as
/// the upstream closes the connection.
const KEEP_ALIVE_DIVISOR: u64 = 2;
/// Maximum number of idle connections to one upstream.
const IDLE_MAX_PER_ADDRESS: usize = 16;

/// Idle connections, grouped by the address of their upstream.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConnectionPool {
    /// Sorted by address.
    entries: Rc<RefCell<Vec<PoolEntry>>>,
}

#[derive(Debug)]
struct PoolEntry {
    address: SocketAddr,
    connections: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until_ms: u64,
}

/// A connection to an upstream or a peer, which is closed at once when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) read_limit: Rc<ReadLimit>,
    pub(crate) request_progress: Arc<RequestProgress>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ConnectionPool {
    /// Takes an idle connection that the upstream is expected to keep open still.
    pub(crate) fn take_idle(&self, address: SocketAddr, now_ms: u64) -> Option<Connection> {
        let mut entries = self.entries.borrow_mut();
        let index = find_entry(&entries, address).ok()?;
        let connections = &mut entries[index].connections;
        while let Some(idle) = connections.pop() {
            if idle.usable_until_ms > now_ms && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its answer is complete. Drops it if
    /// it is closed or if the pool holds enough connections to `address`.
    pub(crate) fn put_idle(
        &self,
        address: SocketAddr,
        connection: Connection,
        keep_alive_ms: Option<u64>,
        now_ms: u64,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_ms = keep_alive_ms.map_or(IDLE_DEFAULT_MS, |ms| ms / KEEP_ALIVE_DIVISOR);
        let idle = IdleConnection {
            connection,
            usable_until_ms: now_ms + idle_ms,
        };
        let mut entries = self.entries.borrow_mut();
        match find_entry(&entries, address) {
            Ok(index) if entries[index].connections.len() < IDLE_MAX_PER_ADDRESS => {
                entries[index].connections.push(idle);
            }
            Ok(_) => {}
            Err(index) => entries.insert(
                index,
                PoolEntry {
                    address,
                    connections: vec![idle],
                },
            ),
        }
    }

    /// Closes the idle connections to an address.
    pub(crate) fn discard_idle(&self, address: SocketAddr) {
        let mut entries = self.entries.borrow_mut();
        if let Ok(index) = find_entry(&entries, address) {
            entries.remove(index);
        }
    }

    /// Closes the connections that have been idle for too long to be reused.
    pub(crate) fn expire(&self, now_ms: u64) {
        let mut entries = self.entries.borrow_mut();
        for entry in entries.iter_mut() {
            entry
                .connections
                .retain(|idle| idle.usable_until_ms > now_ms);
        }
        entries.retain(|entry| !entry.connections.is_empty());
    }
}

/// Opens a connection and does the HTTP/1.1 handshake.
///
/// # Errors
///
/// Returns an error if the connection cannot be opened within `timeout_ms`.
pub(crate) async fn connect(address: SocketAddr, timeout_ms: u64) -> std::io::Result<Connection> {
    let limit = Duration::from_millis(timeout_ms);
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let read_limit = Rc::new(ReadLimit::new());
    let request_progress = Arc::new(RequestProgress::default());
    let stream = UpstreamStream::new(stream, Arc::clone(&request_progress));
    let stream = LimitedStream::new(stream, Rc::clone(&read_limit));
    let (sender, connection) = Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    // Connection errors are reported to the request that uses the connection, so
    // the driver task's result is not needed.
    let driver = tokio::task::spawn_local(connection).abort_handle();
    Ok(Connection {
        sender,
        read_limit,
        request_progress,
        driver,
    })
}

fn find_entry(entries: &[PoolEntry], address: SocketAddr) -> Result<usize, usize> {
    entries.binary_search_by(|entry| entry.address.cmp(&address))
}
