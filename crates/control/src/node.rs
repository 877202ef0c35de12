//! Drives the membership core: passes it the time and events, and executes the
//! actions that it returns, which are requests to peers and reads from the store.

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

/// Interval between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The membership core of this control program with its clock, peer client and
/// store.
#[derive(Debug)]
pub(crate) struct Node {
    fleet: Mutex<Fleet>,
    clock: Clock,
    published: watch::Sender<PublishedView>,
    client: PeerClient,
    store: RateLimitedStore,
    admin: AdminState,
}

/// The view that the other programs on this instance receive.
#[derive(Debug, Clone, Default)]
pub(crate) struct PublishedView {
    pub(crate) view: Arc<View>,
    /// Whether the control program can confirm that the view is current.
    pub(crate) is_synced: bool,
}

impl Node {
    pub(crate) fn new(
        settings: &ControlSettings,
        peer_address: SocketAddr,
        admin: AdminState,
    ) -> Self {
        let clock = Clock::new();
        let now_ms = clock.now_ms();
        let local_node = NodeRecord {
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
            fleet: Mutex::new(Fleet::new(local_node, seeds, random_seed, now_ms)),
            clock,
            published: watch::Sender::default(),
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

    /// Returns the instant at which the core's clock shows `at_ms`.
    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.clock.instant(at_ms)
    }

    /// Returns a receiver that is notified of each new view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<PublishedView> {
        self.published.subscribe()
    }

    pub(crate) fn config(&self) -> Arc<FleetConfig> {
        Arc::clone(self.lock().config())
    }

    /// Returns the configuration version in force on this node.
    pub(crate) fn config_status(&self) -> NodeStatus {
        let fleet = self.lock();
        NodeStatus {
            id: fleet.local_node().id.clone(),
            region: fleet.local_node().region.clone(),
            config_version: Some(fleet.config().version),
        }
    }

    /// Returns the nodes of this region, without this node and dead nodes.
    pub(crate) fn region_nodes(&self) -> Vec<NodeRecord> {
        let fleet = self.lock();
        fleet.region_nodes().cloned().collect()
    }

    /// Returns the summaries of the other regions. Each has a sample of nodes
    /// that can be contacted.
    pub(crate) fn other_regions(&self) -> Vec<RegionSummary> {
        self.lock().other_region_summaries().to_vec()
    }

    /// Ticks the core once.
    pub(crate) fn tick(self: &Arc<Self>) {
        self.handle_event(Fleet::tick);
    }

    /// Ticks the core until the task is aborted.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.handle_event(Fleet::tick);
        }
    }

    /// Announces that this node leaves, and waits for the announcement to be
    /// sent to peers.
    pub(crate) async fn leave(self: &Arc<Self>) {
        self.handle_event(|fleet, now_ms| {
            fleet.leave(now_ms);
            fleet.tick(now_ms);
        });
        tokio::time::sleep(TICK_INTERVAL * 3).await;
    }

    /// Passes a peer's gossip to the core and returns the response.
    pub(crate) fn on_gossip(self: &Arc<Self>, frame: GossipFrame) -> GossipFrame {
        self.handle_event(|fleet, now_ms| fleet.on_request(frame, now_ms))
    }

    /// Puts `config`, which is already stored, in force on this node.
    pub(crate) fn adopt_config(self: &Arc<Self>, config: FleetConfig) {
        self.handle_event(|fleet, now_ms| {
            fleet.on_config_read(Some(Arc::new(config)), now_ms);
            // Gossips the new version at once instead of with the next tick.
            fleet.tick(now_ms);
        });
    }

    /// Records a heartbeat of another program on this instance.
    pub(crate) fn register_program(self: &Arc<Self>, entry: &InstanceEntry) {
        if entry.role == InstanceRole::Control {
            return;
        }
        let program = Program {
            role: entry.role,
            peer_address: entry.peer_address.clone(),
            liveness: entry.liveness,
            incarnation: entry.incarnation,
        };
        self.handle_event(|fleet, now_ms| fleet.register_program(&program, now_ms));
    }

    pub(crate) fn on_evidence(self: &Arc<Self>, evidence: &[UpstreamEvidence]) {
        self.handle_event(|fleet, now_ms| {
            fleet.on_evidence(evidence, now_ms);
            fleet.tick(now_ms);
        });
    }

    pub(crate) fn on_models_reported(self: &Arc<Self>, id: &UpstreamId, models: Vec<ModelName>) {
        self.handle_event(|fleet, now_ms| fleet.on_models_reported(id, models, now_ms));
    }

    /// Passes an event to the core, publishes the view if it changed, and starts
    /// the actions that the core requests.
    fn handle_event<T>(self: &Arc<Self>, event: impl FnOnce(&mut Fleet, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.lock();
        let result = event(&mut fleet, now_ms);
        let actions = fleet.take_actions();
        self.publish(&fleet, now_ms);
        drop(fleet);
        for action in actions {
            self.start_action(action);
        }
        result
    }

    fn publish(&self, fleet: &Fleet, now_ms: u64) {
        let is_synced = fleet.is_synced();
        self.published.send_if_modified(|published| {
            if published.view.revision == fleet.revision() && published.is_synced == is_synced {
                return false;
            }
            if published.is_synced != is_synced {
                log::info!(
                    "event=synced value={is_synced} version={}",
                    fleet.config().version
                );
            }
            *published = PublishedView {
                view: Arc::new(fleet.view(now_ms)),
                is_synced,
            };
            true
        });
        self.admin.set_ready(is_synced);
    }

    fn start_action(self: &Arc<Self>, action: Action) {
        let node = Arc::clone(self);
        match action {
            Action::SendRequest(request) => tokio::spawn(node.send_request(request)),
            Action::ReadConfig => tokio::spawn(node.read_config()),
            Action::ReadListing => tokio::spawn(node.read_listing()),
        };
    }

    async fn send_request(self: Arc<Self>, gossip_request: Box<GossipRequest>) {
        let GossipRequest {
            id,
            address,
            frame,
            deadline_ms,
        } = *gossip_request;
        let deadline = self.clock.instant(deadline_ms);
        let request = PeerRequest::Gossip(frame);
        match self.client.call(&address, &request, deadline).await {
            Ok(PeerResponse::Gossip(response)) => {
                self.handle_event(|fleet, now_ms| fleet.on_response(id, response, now_ms));
            }
            Ok(other) => {
                log::warn!("event=peer_unexpected_answer peer={address} answer={other:?}");
                self.handle_event(|fleet, now_ms| fleet.on_request_failed(id, now_ms));
            }
            Err(error) => {
                log::debug!("event=peer_unanswered peer={address} error={error:?}");
                self.handle_event(|fleet, now_ms| fleet.on_request_failed(id, now_ms));
            }
        }
    }

    async fn read_config(self: Arc<Self>) {
        match config_store::read_current(&self.store).await {
            Ok(stored) => {
                let config = stored.map(|stored| Arc::new(stored.config));
                self.handle_event(|fleet, now_ms| fleet.on_config_read(config, now_ms));
            }
            Err(error) => {
                log::warn!("event=config_unread error={}", process::quote(&error));
                self.handle_event(Fleet::on_config_read_failed);
            }
        }
    }

    async fn read_listing(self: Arc<Self>) {
        match self.store.instances().await {
            Ok(listing) => {
                let listing = convert_listing(listing);
                self.handle_event(|fleet, now_ms| fleet.on_listing_read(&listing, now_ms));
            }
            Err(error) => log::warn!("event=listing_unread error={}", process::quote(&error)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
