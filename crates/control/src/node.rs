//! Runs the membership core: its clock, its questions and its reads.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use membership::{
    Action, Fleet, GossipFrame, GossipRequest, NodeRecord, Program, RegionSummary, UpstreamEvidence,
};
use model::{FleetConfig, InstanceEntry, InstanceRole, Liveness, ModelName, UpstreamId, View};
use peer::{NodeStatus, PeerClient, PeerRequest, PeerResponse};
use process::AdminState;
use store::RateLimitedStore;
use tokio::{
    sync::watch,
    time::{Instant, MissedTickBehavior},
};

use crate::{ControlSettings, clock::Clock, config_store, listing::convert_listing};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(100);

/// A control program's core with its connections.
#[derive(Debug)]
pub(crate) struct Node {
    fleet: Mutex<Fleet>,
    clock: Clock,
    view: watch::Sender<Published>,
    client: PeerClient,
    store: RateLimitedStore,
    admin: AdminState,
}

/// What programs beside the control program are told.
#[derive(Debug, Clone, Default)]
pub(crate) struct Published {
    pub(crate) view: Arc<View>,
    /// Whether the control program can confirm it.
    pub(crate) synced: bool,
}

impl Node {
    pub(crate) fn new(
        settings: &ControlSettings,
        peer_address: SocketAddr,
        admin: AdminState,
    ) -> Self {
        let clock = Clock::new();
        let now_ms = clock.now_ms();
        let own = NodeRecord {
            id: settings.node.instance_id.clone(),
            region: settings.node.region.clone(),
            failure_domain: settings.node.failure_domain.clone(),
            peer_address: peer_address.to_string(),
            incarnation: now_ms,
            liveness: Liveness::Live,
            programs: Vec::new(),
        };
        let seeds = settings.seeds.iter().map(ToString::to_string).collect();
        let random_seed = uuid::Uuid::new_v4().as_u64_pair().0;
        Self {
            fleet: Mutex::new(Fleet::new(own, seeds, random_seed, now_ms)),
            clock,
            view: watch::Sender::default(),
            client: PeerClient::new(),
            store: RateLimitedStore::new(settings.node.platform),
            admin,
        }
    }

    pub(crate) fn store(&self) -> &RateLimitedStore {
        &self.store
    }

    pub(crate) fn client(&self) -> &PeerClient {
        &self.client
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The moment at which the core's clock shows `at_ms`.
    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.clock.instant(at_ms)
    }

    pub(crate) fn published(&self) -> watch::Receiver<Published> {
        self.view.subscribe()
    }

    pub(crate) fn config(&self) -> Arc<FleetConfig> {
        Arc::clone(self.lock().config())
    }

    /// Configuration version in force on this node.
    pub(crate) fn status(&self) -> NodeStatus {
        let fleet = self.lock();
        NodeStatus {
            id: fleet.local_node().id.clone(),
            region: fleet.local_node().region.clone(),
            config_version: Some(fleet.config().version),
        }
    }

    /// Nodes of the own region, but for this one and the dead.
    pub(crate) fn region_nodes(&self) -> Vec<NodeRecord> {
        let fleet = self.lock();
        fleet.region_nodes().cloned().collect()
    }

    /// Nodes to talk to in each other region.
    pub(crate) fn other_regions(&self) -> Vec<RegionSummary> {
        self.lock().other_region_summaries().to_vec()
    }

    /// Ticks once.
    pub(crate) fn tick(self: &Arc<Self>) {
        self.update(Fleet::tick);
    }

    /// Ticks for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.update(Fleet::tick);
        }
    }

    /// Begins the planned stop and lets the news out.
    pub(crate) async fn stop(self: &Arc<Self>) {
        self.update(|fleet, now_ms| {
            fleet.leave(now_ms);
            fleet.tick(now_ms);
        });
        tokio::time::sleep(TICK * 3).await;
    }

    pub(crate) fn received(self: &Arc<Self>, frame: GossipFrame) -> GossipFrame {
        self.update(|fleet, now_ms| fleet.on_request(frame, now_ms))
    }

    pub(crate) fn adopt(self: &Arc<Self>, config: FleetConfig) {
        self.update(|fleet, now_ms| {
            fleet.on_config_read(Some(Arc::new(config)), now_ms);
            // The new version goes out at once and not with the next tick.
            fleet.tick(now_ms);
        });
    }

    pub(crate) fn register(self: &Arc<Self>, entry: &InstanceEntry) {
        if entry.role == InstanceRole::Control {
            return;
        }
        let program = Program {
            role: entry.role,
            peer_address: entry.peer_address.clone(),
            liveness: entry.liveness,
            incarnation: entry.incarnation,
        };
        self.update(|fleet, now_ms| fleet.register_program(&program, now_ms));
    }

    pub(crate) fn evidence(self: &Arc<Self>, evidence: &[UpstreamEvidence]) {
        self.update(|fleet, now_ms| {
            fleet.on_evidence(evidence, now_ms);
            fleet.tick(now_ms);
        });
    }

    pub(crate) fn models_reported(self: &Arc<Self>, id: &UpstreamId, models: Vec<ModelName>) {
        self.update(|fleet, now_ms| fleet.on_models_reported(id, models, now_ms));
    }

    /// Gives the core an event, starts what it asks for and publishes the view
    /// if it changed.
    fn update<T>(self: &Arc<Self>, event: impl FnOnce(&mut Fleet, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.lock();
        let result = event(&mut fleet, now_ms);
        let actions = fleet.take_actions();
        self.publish(&fleet, now_ms);
        drop(fleet);
        for action in actions {
            self.start(action);
        }
        result
    }

    fn publish(&self, fleet: &Fleet, now_ms: u64) {
        let synced = fleet.is_synced();
        self.view.send_if_modified(|published| {
            if published.view.revision == fleet.revision() && published.synced == synced {
                return false;
            }
            if published.synced != synced {
                log::info!(
                    "event=synced value={synced} version={}",
                    fleet.config().version
                );
            }
            *published = Published {
                view: Arc::new(fleet.view(now_ms)),
                synced,
            };
            true
        });
        self.admin.set_ready(synced);
    }

    fn start(self: &Arc<Self>, action: Action) {
        let node = Arc::clone(self);
        match action {
            Action::SendRequest(question) => tokio::spawn(node.ask(question)),
            Action::ReadConfig => tokio::spawn(node.read_config()),
            Action::ReadListing => tokio::spawn(node.read_listing()),
        };
    }

    async fn ask(self: Arc<Self>, question: Box<GossipRequest>) {
        let GossipRequest {
            id,
            address,
            frame,
            deadline_ms,
        } = *question;
        let deadline = self.clock.instant(deadline_ms);
        let request = PeerRequest::Gossip(frame);
        match self.client.call(&address, &request, deadline).await {
            Ok(PeerResponse::Gossip(answer)) => {
                self.update(|fleet, now_ms| fleet.on_response(id, answer, now_ms));
            }
            Ok(other) => {
                log::warn!("event=peer_unexpected_answer peer={address} answer={other:?}");
                self.update(|fleet, now_ms| fleet.on_request_failed(id, now_ms));
            }
            Err(error) => {
                log::debug!("event=peer_unanswered peer={address} error={error:?}");
                self.update(|fleet, now_ms| fleet.on_request_failed(id, now_ms));
            }
        }
    }

    async fn read_config(self: Arc<Self>) {
        match config_store::read(&self.store).await {
            Ok(current) => {
                let config = current.map(|current| Arc::new(current.config));
                self.update(|fleet, now_ms| fleet.on_config_read(config, now_ms));
            }
            Err(error) => {
                log::warn!("event=config_unread error={}", process::quote(&error));
                self.update(Fleet::on_config_read_failed);
            }
        }
    }

    async fn read_listing(self: Arc<Self>) {
        match self.store.instances().await {
            Ok(listing) => {
                let listing = convert_listing(listing);
                self.update(|fleet, now_ms| fleet.on_listing_read(&listing, now_ms));
            }
            Err(error) => log::warn!("event=listing_unread error={}", process::quote(&error)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
