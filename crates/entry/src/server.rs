//! The HTTP server of an entry: start and planned stop.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use model::{ErrorKind, InstanceEntry, InstanceRole, Liveness, View};
use peer::PeerClient;
use platform::Platform;
use policy::Router;
use process::{AdminState, Shutdown};
use salvo::{
    Request, Server, Service, catcher::Catcher, conn::tcp::TcpAcceptor, http::ParseError,
    server::ServerHandle,
};
use tokio::{
    net::TcpSocket,
    sync::watch,
    task::{JoinHandle, JoinSet},
};
use tokio_util::task::TaskTracker;
use upstream::UpstreamClient;

use crate::{
    EntrySettings, Fleet, Refusal, background, dispatch::Dispatcher, metrics::Metrics, routes,
    service::Claims,
};

const LISTEN_BACKLOG: u32 = 4_096;

/// What every request handler shares.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The view that requests are routed by.
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) metrics: Metrics,
    pub(crate) claims: Claims,
    /// Work that a planned stop waits for.
    pub(crate) tasks: TaskTracker,
    body_limit_bytes: usize,
}

/// A running entry.
pub struct Entry {
    address: SocketAddr,
    drain_ms: u64,
    fleet: Fleet,
    admin: AdminState,
    handle: ServerHandle,
    serving: JoinHandle<io::Result<()>>,
    tasks: TaskTracker,
    background: JoinSet<()>,
}

/// Why an entry could not start.
#[derive(Debug, thiserror::Error)]
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

impl Shared {
    /// The current view, once it holds a configuration.
    pub(crate) fn view(&self) -> Result<Arc<View>, Refusal> {
        let view = Arc::clone(&self.view.borrow());
        if view.config.version == 0 {
            let message = "This instance has no configuration yet.";
            return Err(Refusal::new(ErrorKind::NotReady, message));
        }
        Ok(view)
    }

    /// Reads a whole body within the limit.
    pub(crate) async fn read_body(&self, req: &mut Request) -> Result<bytes::Bytes, Refusal> {
        match req.payload_with_max_size(self.body_limit_bytes).await {
            Ok(body) => Ok(body.clone()),
            Err(ParseError::PayloadTooLarge) => {
                let message = format!("The body exceeds {} bytes.", self.body_limit_bytes);
                Err(Refusal::new(ErrorKind::BodyTooLarge, message))
            }
            Err(error) => {
                let message = format!("The body could not be read: {error}.");
                Err(Refusal::new(ErrorKind::InvalidRequest, message))
            }
        }
    }
}

impl Entry {
    /// Follows the control program named in `settings` and begins to serve.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn start(
        settings: &EntrySettings,
        admin: AdminState,
        shutdown: &Shutdown,
    ) -> Result<Self, StartError> {
        let peers = PeerClient::new();
        let control = settings.control.to_string();
        let fleet = Fleet::follow(&control, own_entry(settings), peers.clone());
        Self::start_with_fleet(settings, fleet, &peers, admin, shutdown)
    }

    /// Begins to serve with another source of views.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn start_with_fleet(
        settings: &EntrySettings,
        fleet: Fleet,
        peers: &PeerClient,
        admin: AdminState,
        shutdown: &Shutdown,
    ) -> Result<Self, StartError> {
        let listen_error = |source| StartError::Listen {
            address: settings.listen,
            source,
        };
        let acceptor = listen(settings.listen).map_err(listen_error)?;
        let address = acceptor.local_addr().map_err(listen_error)?;
        let metrics = Metrics::new();
        let router = Router::new(
            settings.instance_id.clone(),
            settings.region.clone(),
            seed(),
        );
        let tasks = TaskTracker::new();
        let shared = Arc::new(Shared {
            view: fleet.subscribe(),
            dispatcher: Arc::new(Dispatcher::new(router, metrics.clone())),
            upstreams: UpstreamClient::new(),
            metrics,
            claims: Claims::new(Platform::new(settings.platform), tasks.clone()),
            tasks: tasks.clone(),
            body_limit_bytes: settings.body_limit_bytes,
        });
        let background = background::start(&shared, &fleet, peers, &admin, shutdown);
        let server = Server::new(acceptor);
        let handle = server.handle();
        let service = Service::new(routes::router(&shared, shutdown))
            .catcher(Catcher::new(routes::refuse_unrouted));
        let serving = tokio::spawn(server.try_serve(service));
        Ok(Self {
            address,
            drain_ms: settings.drain_ms,
            fleet,
            admin,
            handle,
            serving,
            tasks,
            background,
        })
    }

    /// Address that callers reach.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `shutdown` begins and every request has ended.
    ///
    /// New connections are still served for the drain time, until the balancer
    /// has seen that `/readyz` fails.
    pub async fn run_until(mut self, shutdown: &Shutdown) {
        shutdown.stopped().await;
        log::info!("event=stopping drain_ms={}", self.drain_ms);
        self.admin.set_ready(false);
        self.fleet.leave();
        tokio::time::sleep(Duration::from_millis(self.drain_ms)).await;
        self.handle.stop_graceful(None);
        match self.serving.await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::error!("event=serve_failed error={}", process::quote(&error)),
            Err(error) => log::error!("event=serve_failed error={}", process::quote(&error)),
        }
        self.tasks.close();
        self.tasks.wait().await;
        self.background.shutdown().await;
        log::info!("event=stopped");
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the option. Without it each token of a
    // stream waits for the acknowledgement of the one before.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(LISTEN_BACKLOG)?)
}

fn own_entry(settings: &EntrySettings) -> InstanceEntry {
    InstanceEntry {
        id: settings.instance_id.clone(),
        role: InstanceRole::Entry,
        peer_address: settings.peer_listen.to_string(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        liveness: Liveness::Live,
        incarnation: 0,
    }
}

/// Entries that start together must not choose alike.
fn seed() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let random = uuid::Uuid::new_v4().as_u64_pair().0;
    u64::from(since_epoch.subsec_nanos()) ^ random
}
