//! A TCP proxy on loopback between one process and one upstream, whose path can be cut.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::timeout,
};

use super::store_proxy::{ProxyState, forward_connection};

/// State of the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// Forwards everything.
    Open,
    /// Connections fall silent, and new ones hang while they are opened.
    Hanging,
    /// Connections are reset, and new ones are refused.
    Refusing,
    /// Open connections go on, and new ones are refused.
    RefusingNew,
}

/// A running proxy.
#[derive(Debug)]
pub struct UpstreamProxy {
    address: SocketAddr,
    target: SocketAddr,
    connections: Arc<watch::Sender<ProxyState>>,
    entrance: Entrance,
}

/// What listens at the proxy's address.
#[derive(Debug)]
enum Entrance {
    Open(tokio::task::JoinHandle<()>),
    /// The address is bound, so that nobody else takes it, and refuses connections.
    Refusing(#[expect(dead_code, reason = "bound until dropped")] TcpSocket),
    /// The queue of new connections is full.
    Hanging(#[expect(dead_code, reason = "bound until dropped")] (TcpListener, Vec<TcpStream>)),
    Closed,
}

impl UpstreamProxy {
    pub fn start(target: SocketAddr) -> Self {
        let socket = bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1024).unwrap();
        let address = listener.local_addr().unwrap();
        let mut proxy = Self {
            address,
            target,
            connections: Arc::new(watch::Sender::new(ProxyState::Open)),
            entrance: Entrance::Closed,
        };
        proxy.accept(listener);
        proxy
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address stays bound meanwhile, so that nobody else takes it.
    pub async fn set_state(&mut self, state: PathState) {
        let socket = bind(self.address).unwrap();
        if let Entrance::Open(task) = &mut self.entrance {
            task.abort();
            // Waits until the listener is closed.
            let _ = task.await;
        }
        self.entrance = Entrance::Closed;
        match state {
            PathState::Open => {
                // Connections that the cut has hit do not come back.
                self.connections.send_replace(ProxyState::Reset);
                self.connections = Arc::new(watch::Sender::new(ProxyState::Open));
                let listener = socket.listen(1024).unwrap();
                self.accept(listener);
            }
            PathState::Hanging => {
                self.connections.send_replace(ProxyState::Silent);
                let listener = socket.listen(0).unwrap();
                let queued = fill_queue(self.address).await;
                self.entrance = Entrance::Hanging((listener, queued));
            }
            PathState::Refusing => {
                self.connections.send_replace(ProxyState::Reset);
                self.entrance = Entrance::Refusing(socket);
            }
            PathState::RefusingNew => self.entrance = Entrance::Refusing(socket),
        }
    }

    fn accept(&mut self, listener: TcpListener) {
        let target = self.target;
        let connections = Arc::clone(&self.connections);
        self.entrance = Entrance::Open(tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward_connection(stream, target, connections.subscribe()));
            }
        }));
    }
}

/// Binds a socket to an address that other sockets of this kind may have.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Opens connections that nobody accepts until no further one can be opened.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(Duration::from_millis(30), TcpStream::connect(address)).await
    {
        queued.push(stream);
    }
    queued
}
