//! The HTTP server of an entry: start and planned stop.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use job_store::JobStore;
use model::{ErrorKind, InstanceEntry, InstanceId, InstanceRole, Liveness, Region, View};
use peer::{Freshness, PeerClient};
use policy::Router;
use process::{AdminState, Refusal, Shutdown};
use salvo::{
    Request, Server, Service, catcher::Catcher, conn::tcp::TcpAcceptor, http::ParseError,
    server::ServerHandle,
};
use store::{CallLimiter, CallLimiterSettings, RateLimitedStore};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::Instant,
};
use tokio_util::task::TaskTracker;
use upstream::UpstreamClient;
use uuid::Uuid;

use crate::{
    EntrySettings, Fleet, background, chat::Coalescer, dispatch::Dispatcher, metrics::Metrics,
    peer_service::PeerService, routes, service::Claims,
};

const LISTEN_BACKLOG: u32 = 4_096;
/// Longest wait for a confirmed view after a pause.
const CONFIRM_LIMIT: Duration = Duration::from_millis(500);

/// What every request handler shares.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The view that requests are routed by.
    pub(crate) view: watch::Receiver<Arc<View>>,
    freshness: Option<Freshness>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) metrics: Metrics,
    pub(crate) claims: Claims,
    /// Runs that resends of chat requests share.
    pub(crate) coalescer: Coalescer,
    pub(crate) peers: PeerClient,
    /// Access to jobs, for the routes of files and batches.
    pub(crate) jobs: JobStore,
    /// Work that a planned stop waits for.
    pub(crate) tasks: TaskTracker,
    pub(crate) instance: InstanceId,
    pub(crate) region: Region,
    body_limit_bytes: usize,
}

/// A running entry.
pub struct Entry {
    address: SocketAddr,
    peer_address: SocketAddr,
    drain_ms: u64,
    shared: Arc<Shared>,
    fleet: Fleet,
    admin: AdminState,
    handle: ServerHandle,
    serving: JoinHandle<io::Result<()>>,
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

    /// The current view for new work. After a pause of the process this waits
    /// for the control program to confirm it, as the configuration may have
    /// changed meanwhile.
    pub(crate) async fn confirmed_view(&self) -> Result<Arc<View>, Refusal> {
        let deadline = Instant::now() + CONFIRM_LIMIT;
        if let Some(freshness) = &self.freshness
            && !freshness.confirmed_by(deadline).await
        {
            let message = "This instance was paused and has not confirmed its configuration.";
            return Err(Refusal::new(ErrorKind::NotReady, message));
        }
        self.view()
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
    pub async fn start(
        settings: &EntrySettings,
        admin: AdminState,
        shutdown: &Shutdown,
    ) -> Result<Self, StartError> {
        let peer_listener = listen_for_peers(settings.node.peer_listen).await?;
        let peers = PeerClient::new();
        let control = settings.control.to_string();
        let own = own_entry(settings, &peer_listener);
        let fleet = Fleet::follow(&control, own, peers.clone());
        Self::serve(settings, fleet, peers, peer_listener, admin, shutdown)
    }

    /// Begins to serve with another source of views.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_with_fleet(
        settings: &EntrySettings,
        fleet: Fleet,
        admin: AdminState,
        shutdown: &Shutdown,
    ) -> Result<Self, StartError> {
        let peer_listener = listen_for_peers(settings.node.peer_listen).await?;
        let peers = PeerClient::new();
        Self::serve(settings, fleet, peers, peer_listener, admin, shutdown)
    }

    fn serve(
        settings: &EntrySettings,
        fleet: Fleet,
        peers: PeerClient,
        peer_listener: TcpListener,
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
            settings.node.instance_id.clone(),
            settings.node.region.clone(),
            random(),
        );
        let tasks = TaskTracker::new();
        let limiter = CallLimiter::new(CallLimiterSettings::default(), random());
        let store = RateLimitedStore::new(settings.node.platform).with_limiter(limiter);
        let shared = Arc::new(Shared {
            view: fleet.subscribe(),
            freshness: fleet.freshness(),
            dispatcher: Arc::new(Dispatcher::new(router, metrics.clone())),
            upstreams: UpstreamClient::new(),
            metrics,
            claims: Claims::new(store.clone(), tasks.clone()),
            coalescer: Coalescer::default(),
            peers,
            jobs: JobStore::new(store, random()),
            tasks,
            instance: settings.node.instance_id.clone(),
            region: settings.node.region.clone(),
            body_limit_bytes: settings.body_limit_bytes,
        });
        let mut background = background::start(&shared, &fleet, &admin, shutdown);
        let service = Arc::new(PeerService {
            shared: Arc::clone(&shared),
        });
        let peer_address = peer_listener.local_addr().map_err(listen_error)?;
        background.spawn(peer::serve(peer_listener, service, std::future::pending()));
        let server = Server::new(acceptor);
        let handle = server.handle();
        let service = Service::new(routes::router(&shared, shutdown))
            .catcher(Catcher::new(routes::refuse_unrouted));
        let serving = tokio::spawn(server.try_serve(service));
        Ok(Self {
            address,
            peer_address,
            drain_ms: settings.drain_ms,
            shared,
            fleet,
            admin,
            handle,
            serving,
            background,
        })
    }

    /// Address that callers reach.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address that peers reach.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Number of upstreams that requests may go to.
    #[must_use]
    pub fn upstreams(&self) -> usize {
        self.shared.dispatcher.upstreams().len()
    }

    /// Serves until `shutdown` begins and every request has ended.
    ///
    /// New connections are still served for the drain time, until the balancer
    /// has seen that `/readyz` fails.
    pub async fn run_until(mut self, shutdown: &Shutdown) {
        shutdown.begun().await;
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
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
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

async fn listen_for_peers(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

fn own_entry(settings: &EntrySettings, peer_listener: &TcpListener) -> InstanceEntry {
    let peer_address = peer_listener
        .local_addr()
        .unwrap_or(settings.node.peer_listen);
    InstanceEntry {
        id: settings.node.instance_id.clone(),
        role: InstanceRole::Entry,
        peer_address: peer_address.to_string(),
        region: settings.node.region.clone(),
        failure_domain: settings.node.failure_domain.clone(),
        liveness: Liveness::Live,
        incarnation: 0,
    }
}

/// Entries that start together must neither choose nor name alike.
fn random() -> u64 {
    Uuid::new_v4().as_u64_pair().0
}
