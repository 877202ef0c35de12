//! Starts and stops the batch program.

use std::{net::SocketAddr, sync::Arc};

use job_store::JobStore;
use model::{InstanceEntry, InstanceRole, Liveness};
use peer::{PeerClient, PeerHandler, PeerRequest, PeerResponse, ViewWatch};
use process::Shutdown;
use store::{CallLimiter, CallLimiterSettings, RateLimitedStore};
use thiserror::Error;
use tokio::{net::TcpListener, sync::mpsc, task::JoinHandle};
use upstream::UpstreamClient;
use uuid::Uuid;

use crate::{
    BatchSettings,
    context::{Context, ManifestCache},
    event::Event,
    worker::Worker,
};

/// A running batch program.
#[derive(Debug)]
pub struct Batch {
    peer_address: SocketAddr,
    view: ViewWatch,
    store: JobStore,
    shutdown: Shutdown,
    worker: JoinHandle<()>,
}

/// Why the batch program cannot start.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The listen address for peers cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl Batch {
    /// Starts the batch program. It begins to work as soon as it has received a view of
    /// the fleet from the control program.
    ///
    /// # Errors
    ///
    /// Returns an error if the listen address for peers cannot be bound.
    pub async fn start(settings: &BatchSettings) -> Result<Self, BatchError> {
        let address = settings.node.peer_listen;
        let listen_error = |source| BatchError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let peer_address = listener.local_addr().map_err(listen_error)?;
        let instance_entry = InstanceEntry {
            id: settings.node.instance_id.clone(),
            role: InstanceRole::Batch,
            peer_address: peer_address.to_string(),
            region: settings.node.region.clone(),
            failure_domain: settings.node.failure_domain.clone(),
            liveness: Liveness::Live,
            incarnation: 0,
        };
        let control = settings.control.to_string();
        let peers = PeerClient::new();
        let view = ViewWatch::start(&control, instance_entry, peers.clone());
        let limiter = CallLimiter::new(CallLimiterSettings::default(), random_u64());
        let rate_limited_store =
            RateLimitedStore::new(settings.node.platform).with_limiter(limiter);
        let store = JobStore::new(rate_limited_store, random_u64());
        let context = Context {
            store: store.clone(),
            upstreams: UpstreamClient::new(),
            peers,
            control: Arc::from(control),
            instance: settings.node.instance_id.clone(),
            region: settings.node.region.clone(),
            lease_ms: settings.lease_ms,
            memory_limit_bytes: settings.memory_limit_bytes,
            manifest_cache: ManifestCache::default(),
        };
        let (events, event_receiver) = mpsc::unbounded_channel();
        let handler = Arc::new(PeerEvents {
            events: events.clone(),
        });
        tokio::spawn(peer::serve(listener, handler, std::future::pending()));
        let shutdown = Shutdown::new();
        let worker = Worker::new(context, view.subscribe(), view.freshness(), events);
        let worker = tokio::spawn(worker.run(event_receiver, shutdown.clone()));
        Ok(Self {
            peer_address,
            view,
            store,
            shutdown,
            worker,
        })
    }

    /// Returns the address on which peers can reach this program.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the job store, for its call counts.
    #[must_use]
    pub fn store(&self) -> &JobStore {
        &self.store
    }

    /// Resolves once a configuration has been received.
    pub async fn wait_until_configured(&self) {
        self.view.wait_until_configured().await;
    }

    /// Performs a planned stop: waits for running items, up to a grace period, releases
    /// the held chunks and ends.
    pub async fn stop(self) {
        self.view.set_liveness(Liveness::Leaving);
        self.shutdown.begin();
        if let Err(error) = self.worker.await {
            log::error!("event=worker_failed error={}", process::quote(&error));
        }
    }
}

struct PeerEvents {
    events: mpsc::UnboundedSender<Event>,
}

impl PeerHandler for PeerEvents {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        let event = match request {
            PeerRequest::CancelJob(job) => Event::JobCancelled(job),
            PeerRequest::Notices(notices) => Event::NoticesReceived(notices),
            _ => return PeerResponse::Refused(model::ErrorKind::InvalidRequest),
        };
        match self.events.send(event) {
            Ok(()) => PeerResponse::Ack,
            Err(_) => PeerResponse::Refused(model::ErrorKind::Stopping),
        }
    }
}

/// Returns a random number, used as a seed and to identify this process.
fn random_u64() -> u64 {
    let (high, low) = Uuid::new_v4().as_u64_pair();
    high ^ low
}
