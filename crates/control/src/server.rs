//! Start and planned stop of a control program.

use std::{io, net::SocketAddr, sync::Arc};

use process::{AdminState, Shutdown};
use salvo::{Server, conn::tcp::TcpAcceptor, server::ServerHandle};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};

use crate::{ControlSettings, api, node::Node, orders::OrderDriver, peer_service::PeerService};

/// A running control program.
pub struct Control {
    listen_address: SocketAddr,
    peer_address: SocketAddr,
    node: Arc<Node>,
    admin: AdminState,
    handle: ServerHandle,
    serving: JoinHandle<io::Result<()>>,
    background: JoinSet<()>,
}

/// Why a control program could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listening address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that cannot be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl Control {
    /// Binds the addresses for peers and operators and starts to serve. `admin`
    /// becomes ready once the table or a peer has confirmed the configuration, and
    /// the upstreams are known from the platform's instance list or from a peer.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Listen`] if an address cannot be bound.
    pub async fn start(settings: &ControlSettings, admin: AdminState) -> Result<Self, StartError> {
        let peer_listener = bind(settings.node.peer_listen).await?;
        let operator_listener = bind(settings.listen).await?;
        let peer_address = local_address(&peer_listener, settings.node.peer_listen)?;
        let listen_address = local_address(&operator_listener, settings.listen)?;
        let node = Arc::new(Node::new(settings, peer_address, admin.clone()));
        let mut background = JoinSet::new();
        background.spawn(Arc::clone(&node).run());
        background.spawn(OrderDriver::new(settings, &node).run());
        let service = Arc::new(PeerService::new(Arc::clone(&node)));
        background.spawn(peer::serve(peer_listener, service, std::future::pending()));
        let acceptor =
            TcpAcceptor::try_from(operator_listener).map_err(|source| StartError::Listen {
                address: settings.listen,
                source,
            })?;
        let server = Server::new(acceptor);
        let handle = server.handle();
        let serving = tokio::spawn(server.try_serve(api::service(&node)));
        Ok(Self {
            listen_address,
            peer_address,
            node,
            admin,
            handle,
            serving,
            background,
        })
    }

    /// Returns the address of the operators' API.
    #[must_use]
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Returns the address of the peer protocol.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Serves until `shutdown` begins. Then announces to the fleet that this node
    /// leaves, waits until open connections of operators have ended, and returns.
    pub async fn run_until(mut self, shutdown: &Shutdown) {
        shutdown.begun().await;
        log::info!("event=stopping");
        self.node.leave().await;
        self.admin.set_ready(false);
        self.handle.stop_graceful(None);
        match self.serving.await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::error!("event=serve_failed error={}", process::quote(&error)),
            Err(error) => log::error!("event=serve_failed error={}", process::quote(&error)),
        }
        self.background.shutdown().await;
        log::info!("event=stopped");
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|source| StartError::Listen { address, source })
}
