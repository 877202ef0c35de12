//! HTTP server of an entry: start and graceful shutdown.

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
    EntrySettings, ViewSource, background, chat::Coalescer, dispatch::Dispatcher, metrics::Metrics,
    peer_service::PeerService, routes, service::ClaimStore,
};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 4_096;
/// Maximum wait for the control program to confirm the view after the process
/// was paused.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// State that all request handlers and background tasks share.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// Current view, by which requests are routed.
    pub(crate) view: watch::Receiver<Arc<View>>,
    freshness: Option<Freshness>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) metrics: Metrics,
    pub(crate) claims: ClaimStore,
    /// Coalesces resends of a chat request into one run.
    pub(crate) coalescer: Coalescer,
    pub(crate) peers: PeerClient,
    /// Store of batch jobs, for the file and batch routes.
    pub(crate) jobs: JobStore,
    /// Tasks that a graceful shutdown waits for.
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
    state: Arc<ServerState>,
    view_source: ViewSource,
    admin: AdminState,
    server_handle: ServerHandle,
    server_task: JoinHandle<io::Result<()>>,
    background: JoinSet<()>,
}

/// Why an entry cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listening address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl ServerState {
    /// Returns the current view, or a `NotReady` refusal while it holds no
    /// configuration.
    pub(crate) fn view(&self) -> Result<Arc<View>, Refusal> {
        let view = Arc::clone(&self.view.borrow());
        if view.config.version == 0 {
            let message = "This instance has no configuration yet.";
            return Err(Refusal::new(ErrorKind::NotReady, message));
        }
        Ok(view)
    }

    /// Returns the current view for new work. After a pause of the process it
    /// first waits until the control program has confirmed the view, as the
    /// configuration may have changed during the pause.
    pub(crate) async fn confirmed_view(&self) -> Result<Arc<View>, Refusal> {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        if let Some(freshness) = &self.freshness
            && !freshness.wait_until_fresh(deadline).await
        {
            let message = "This instance was paused and has not confirmed its configuration.";
            return Err(Refusal::new(ErrorKind::NotReady, message));
        }
        self.view()
    }

    /// Reads the request body, or refuses it if it exceeds the size limit.
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
    /// Starts an entry that follows the control program named in `settings`.
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
        let instance_entry = instance_entry(settings, &peer_listener);
        let view_source = ViewSource::follow_control(&control, instance_entry, peers.clone());
        Self::serve(settings, view_source, peers, peer_listener, admin, shutdown)
    }

    /// Starts an entry that takes its views from `view_source`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_with_view_source(
        settings: &EntrySettings,
        view_source: ViewSource,
        admin: AdminState,
        shutdown: &Shutdown,
    ) -> Result<Self, StartError> {
        let peer_listener = listen_for_peers(settings.node.peer_listen).await?;
        let peers = PeerClient::new();
        Self::serve(settings, view_source, peers, peer_listener, admin, shutdown)
    }

    fn serve(
        settings: &EntrySettings,
        view_source: ViewSource,
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
            random_seed(),
        );
        let tasks = TaskTracker::new();
        let limiter = CallLimiter::new(CallLimiterSettings::default(), random_seed());
        let store = RateLimitedStore::new(settings.node.platform).with_limiter(limiter);
        let state = Arc::new(ServerState {
            view: view_source.subscribe(),
            freshness: view_source.freshness(),
            dispatcher: Arc::new(Dispatcher::new(router, metrics.clone())),
            upstreams: UpstreamClient::new(),
            metrics,
            claims: ClaimStore::new(store.clone(), tasks.clone()),
            coalescer: Coalescer::default(),
            peers,
            jobs: JobStore::new(store, random_seed()),
            tasks,
            instance: settings.node.instance_id.clone(),
            region: settings.node.region.clone(),
            body_limit_bytes: settings.body_limit_bytes,
        });
        let mut background = background::start(&state, &view_source, &admin, shutdown);
        let service = Arc::new(PeerService {
            state: Arc::clone(&state),
        });
        let peer_address = peer_listener.local_addr().map_err(listen_error)?;
        background.spawn(peer::serve(peer_listener, service, std::future::pending()));
        let server = Server::new(acceptor);
        let server_handle = server.handle();
        let service = Service::new(routes::router(&state, shutdown))
            .catcher(Catcher::new(routes::refuse_unrouted));
        let server_task = tokio::spawn(server.try_serve(service));
        Ok(Self {
            address,
            peer_address,
            drain_ms: settings.drain_ms,
            state,
            view_source,
            admin,
            server_handle,
            server_task,
            background,
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that peers connect to.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the number of upstreams that requests may be sent to.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.state.dispatcher.upstream_ids().len()
    }

    /// Serves until `shutdown` begins and every request in flight has ended.
    ///
    /// New connections are accepted for the drain time after `shutdown` began,
    /// so that the load balancer can notice that `/readyz` fails.
    pub async fn run_until(mut self, shutdown: &Shutdown) {
        shutdown.begun().await;
        log::info!("event=stopping drain_ms={}", self.drain_ms);
        self.admin.set_ready(false);
        self.view_source.announce_leaving();
        tokio::time::sleep(Duration::from_millis(self.drain_ms)).await;
        self.server_handle.stop_graceful(None);
        match self.server_task.await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::error!("event=serve_failed error={}", process::quote(&error)),
            Err(error) => log::error!("event=serve_failed error={}", process::quote(&error)),
        }
        self.state.tasks.close();
        self.state.tasks.wait().await;
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
    // Accepted connections inherit this option. Without it, Nagle's algorithm
    // holds back each token of a stream until the previous one is acknowledged.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(LISTEN_BACKLOG)?)
}

async fn listen_for_peers(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

fn instance_entry(settings: &EntrySettings, peer_listener: &TcpListener) -> InstanceEntry {
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

/// Returns a random seed, so that entries that start together neither make the same
/// random choices nor generate the same operation ids.
fn random_seed() -> u64 {
    Uuid::new_v4().as_u64_pair().0
}
