//! Start and planned stop of a control program.

use std::{io, net::SocketAddr, sync::Arc};

use process::{AdminState, Shutdown};
use salvo::{Server, conn::tcp::TcpAcceptor, server::ServerHandle};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};

use crate::{ControlSettings, api, node::Node, orders::Orders, peer_service::PeerService};

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
    /// An address cannot be bound.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

impl Control {
    /// Binds both addresses and begins to serve. `admin` becomes ready once
    /// the program has heard from the table or a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(settings: &ControlSettings, admin: AdminState) -> Result<Self, StartError> {
        let peers = bind(settings.node.peer_listen).await?;
        let operators = bind(settings.listen).await?;
        let peer_address = local_address(&peers, settings.node.peer_listen)?;
        let listen_address = local_address(&operators, settings.listen)?;
        let node = Arc::new(Node::new(settings, peer_address, admin.clone()));
        let mut background = JoinSet::new();
        background.spawn(Arc::clone(&node).run());
        background.spawn(Orders::new(settings, &node).run());
        let service = Arc::new(PeerService::new(Arc::clone(&node)));
        background.spawn(peer::serve(peers, service, std::future::pending()));
        let acceptor = TcpAcceptor::try_from(operators).map_err(|source| StartError::Listen {
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

    /// Address that operators reach.
    #[must_use]
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Address that peers reach.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Serves until `shutdown` begins, then tells the others and ends.
    pub async fn run_until(mut self, shutdown: &Shutdown) {
        shutdown.begun().await;
        log::info!("event=stopping");
        self.node.stop().await;
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
