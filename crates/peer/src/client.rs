//! Client that calls peers over pooled HTTP/2 connections. Each call has a
//! deadline.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Request, StatusCode};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

use crate::{
    PROTOCOL_VERSION, PeerError, PeerRequest, PeerResponse, codec,
    message::VERSION_HEADER,
    server::{protocol_version, read_body},
};

/// Maximum number of connections kept open. The least recently used one is
/// closed first.
const MAX_POOLED_CONNECTIONS: usize = 64;

/// A client for any number of peers. Clones share one connection pool.
#[derive(Debug, Clone, Default)]
pub struct PeerClient {
    pool: Arc<Mutex<Vec<PooledConnection>>>,
}

/// An open connection. The pool is ordered from the least to the most recently
/// used one.
#[derive(Debug, Clone)]
struct PooledConnection {
    address: SocketAddr,
    id: u64,
    sender: SendRequest<Bytes>,
}

impl PeerClient {
    /// Creates a client without connections; they are opened on demand.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends `request` to `address` (`IP:PORT`) and waits for the response
    /// until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`]. Unless [`PeerError::is_unsent`] returns true,
    /// the peer may have handled the request.
    pub async fn call(
        &self,
        address: &str,
        request: &PeerRequest,
        deadline: Instant,
    ) -> Result<PeerResponse, PeerError> {
        let socket_address: SocketAddr = address
            .parse()
            .map_err(|_| PeerError::Address(address.to_owned()))?;
        let body = Bytes::from(codec::encode(request)?);
        let pooled = self.get_or_connect(socket_address, deadline).await?;
        let result = match timeout_at(deadline, exchange(pooled.sender.clone(), body)).await {
            Ok(result) => result,
            Err(_) => Err(PeerError::Deadline),
        };
        if let Err(PeerError::Lost(_) | PeerError::Deadline) = result {
            // The connection may be broken without either end having noticed.
            self.remove(pooled.id);
        }
        result
    }

    /// Returns a pooled connection that is ready to send, or opens one.
    async fn get_or_connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<PooledConnection, PeerError> {
        if let Some(pooled) = self.lookup(address) {
            match timeout_at(deadline, pooled.sender.clone().ready()).await {
                Ok(Ok(_)) => return Ok(pooled),
                // Nothing was sent on this connection, so it is safe to open
                // another one for the request.
                Ok(Err(_)) => self.remove(pooled.id),
                Err(_) => {
                    self.remove(pooled.id);
                    return Err(connect_timeout_error());
                }
            }
        }
        let sender = match timeout_at(deadline, connect(address)).await {
            Ok(result) => result?,
            Err(_) => return Err(connect_timeout_error()),
        };
        Ok(self.insert(address, sender))
    }

    /// Returns a connection to `address`, if there is one, and marks it as the
    /// most recently used.
    fn lookup(&self, address: SocketAddr) -> Option<PooledConnection> {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        let index = pool.iter().position(|pooled| pooled.address == address)?;
        let pooled = pool.remove(index);
        pool.push(pooled.clone());
        Some(pooled)
    }

    fn insert(&self, address: SocketAddr, sender: SendRequest<Bytes>) -> PooledConnection {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        let id = pool.iter().map(|pooled| pooled.id + 1).max().unwrap_or(0);
        let pooled = PooledConnection {
            address,
            id,
            sender,
        };
        pool.push(pooled.clone());
        if pool.len() > MAX_POOLED_CONNECTIONS {
            pool.remove(0);
        }
        pooled
    }

    fn remove(&self, id: u64) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        pool.retain(|pooled| pooled.id != id);
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(PeerError::Connect)?;
    stream.set_nodelay(true).map_err(PeerError::Connect)?;
    let (sender, connection) = h2::client::handshake(stream)
        .await
        .map_err(|error| PeerError::Connect(std::io::Error::other(error)))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("event=peer_connection_lost error={:?}", error.to_string());
        }
    });
    Ok(sender)
}

async fn exchange(sender: SendRequest<Bytes>, body: Bytes) -> Result<PeerResponse, PeerError> {
    let request = Request::post("http://peer/")
        .header(VERSION_HEADER, PROTOCOL_VERSION)
        .body(())
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    let mut sender = sender.ready().await.map_err(PeerError::Lost)?;
    let (response, mut stream) = sender
        .send_request(request, false)
        .map_err(PeerError::Lost)?;
    stream.send_data(body, true).map_err(PeerError::Lost)?;
    let response = response.await.map_err(PeerError::Lost)?;
    match response.status() {
        StatusCode::OK => {
            let body = read_body(response.into_body()).await?;
            codec::decode(&body)
        }
        StatusCode::HTTP_VERSION_NOT_SUPPORTED => Err(PeerError::Version {
            theirs: protocol_version(response.headers()),
        }),
        StatusCode::PAYLOAD_TOO_LARGE => Err(PeerError::TooLarge),
        status => Err(PeerError::Malformed(format!(
            "unexpected HTTP status {status}"
        ))),
    }
}

fn connect_timeout_error() -> PeerError {
    PeerError::Connect(std::io::ErrorKind::TimedOut.into())
}
