//! State that the tasks of the process share. All tasks run on one thread, so the
//! state needs no locks.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use gateway::{
    KeyLease, Locality, PlannedStop, Preemption, Quarantine, RequestDurations, RouteTable,
    StreamOrigins, Target, UnknownKeys, UpstreamTable, VersionHistory,
};
use ledger::{Directory, OwnerId, StoreClock};
use model::InstanceId;
use platform::{Settings, Store};
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{
    body_memory::BodyMemory,
    caller_connections::CallerConnections,
    clock::{Clock, unix_ms},
    connection_pool::ConnectionPool,
    freshness_check::FreshnessCheck,
    jobs::Runner,
    metrics::Metrics,
    origin_exchange::OriginExchange,
    peer_connections::PeerConnections,
    quotas::QuotaExchange,
    store_calls::StoreHealth,
    version_lists::VersionLists,
};

/// Maximum time for which a request waits until the configuration and the servers
/// have been read after the start of the process.
const INITIAL_STATE_TIMEOUT: Duration = Duration::from_millis(200);

/// State of this instance, shared by all tasks.
#[derive(Debug)]
pub(crate) struct Node {
    settings: RefCell<Rc<Settings>>,
    /// This incarnation of this instance.
    pub(crate) owner_id: OwnerId,
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    pub(crate) store_health: StoreHealth,
    /// Clock on which the times of jobs are kept.
    pub(crate) store_clock: Cell<StoreClock>,
    pub(crate) metrics: Metrics,
    /// Routes of the configuration in force; `None` until one has been read.
    routes: RefCell<Option<Arc<RouteTable>>>,
    /// Store version up to which every change of the configuration has been read.
    pub(crate) config_fed_version: Cell<u64>,
    /// Store version of the newest row of the configuration that was read.
    pub(crate) config_row_version: Cell<u64>,
    /// Lease on accepting the keys of the configuration in force. Its times are those of
    /// [`crate::clock::boot_ms`].
    pub(crate) key_lease: RefCell<KeyLease>,
    /// Keys that callers bring although no customer has them.
    pub(crate) unknown_keys: RefCell<UnknownKeys>,
    /// Registered upstreams and the load of each.
    pub(crate) upstreams: RefCell<UpstreamTable>,
    /// Requests and prompt parts that crash upstreams.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// At which software versions streams began.
    pub(crate) stream_origins: RefCell<StreamOrigins>,
    /// Which software versions were registered lately.
    pub(crate) version_history: RefCell<VersionHistory>,
    pub(crate) version_lists: VersionLists,
    pub(crate) origin_exchange: OriginExchange,
    pub(crate) registration_check: FreshnessCheck,
    pub(crate) config_check: FreshnessCheck,
    /// Quotas of customers.
    pub(crate) quotas: QuotaExchange,
    /// Whether both the configuration and the servers have been read.
    has_initial_state: watch::Sender<bool>,
    pub(crate) has_read_servers: Cell<bool>,
    /// Store version up to which every change of a registration is in `upstreams`.
    pub(crate) servers_fed_version: Cell<u64>,
    /// Live instances and job records, as read from the store.
    pub(crate) directory: RefCell<Directory>,
    pub(crate) has_read_heartbeats: Cell<bool>,
    pub(crate) has_read_jobs: Cell<bool>,
    /// When the feed of job records was last answered, in milliseconds on the node's
    /// clock.
    pub(crate) jobs_fed_at_ms: Cell<u64>,
    /// Whether a heartbeat has been written, so that peers can see that this
    /// incarnation is alive.
    pub(crate) has_lease: Cell<bool>,
    /// Jobs that this instance owns and the runs of their items.
    pub(crate) runner: RefCell<Runner>,
    /// Memory for the bodies of callers' requests and of attempts for peers.
    pub(crate) body_memory: BodyMemory,
    pub(crate) caller_connections: CallerConnections,
    pub(crate) connection_pool: ConnectionPool,
    pub(crate) peer_connections: PeerConnections,
    /// Notified when an upstream cannot be connected to, or can be again.
    pub(crate) path_changed: Notify,
    /// Number of attempts that this instance makes for peers.
    pub(crate) proxied_count: Cell<u32>,
    /// Notified when an upstream states a rate limit.
    pub(crate) limits_stated: Notify,
    /// Notified when the load of this instance changes.
    pub(crate) load_changed: Notify,
    /// Sequence number of the last load notice.
    pub(crate) last_notice_sequence: Cell<u64>,
    /// Peers to notify that they should preempt a batch item for an online request of
    /// this instance.
    pub(crate) owners_to_notify: RefCell<Vec<InstanceId>>,
    pub(crate) owners_to_notify_changed: Notify,
    /// Notified when a change may allow batch items to start or require their
    /// preemption.
    pub(crate) batch_state_changed: Notify,
    /// Number of changes of job records so far; receivers wait for the next change.
    pub(crate) jobs_changed: watch::Sender<u64>,
    pub(crate) stage: watch::Sender<Stage>,
    /// When a planned stop ends the requests in progress, in milliseconds on the node's clock;
    /// `None` while none has begun.
    pub(crate) stop_deadline_ms: Cell<Option<u64>>,
    /// How long requests have lasted lately.
    pub(crate) request_durations: RefCell<RequestDurations>,
    /// Number of callers' requests whose answer has not begun. Answers that are being
    /// relayed count by their connection only.
    pub(crate) open_requests: Cell<usize>,
    /// Number of open connections of callers and peers.
    pub(crate) open_connections: Cell<usize>,
    /// When the last of them was closed, in milliseconds on the node's clock.
    pub(crate) last_connection_end_ms: Cell<u64>,
}

/// Life-cycle stages of the process, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Serves callers.
    Serving,
    /// Still serves callers, but fails readiness checks so that the platform
    /// routes no more callers here.
    Draining,
    /// Closes each connection after the request in progress.
    Closing,
    /// Accepts no connections.
    Closed,
    /// Ends the requests whose answers have not begun.
    Ending,
}

impl Node {
    /// Creates the state with which the process starts.
    pub(crate) fn new(settings: Settings) -> Self {
        let owner_id = OwnerId {
            instance: settings.instance_id.clone(),
            started_unix_ms: unix_ms(),
        };
        let locality = Locality {
            instance: settings.instance_id.clone(),
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            regions: Arc::clone(&settings.regions),
        };
        let store = Store::new(settings.store_address);
        let key_lease = KeyLease::new(settings.key_revocation_ms);
        let clock = Clock::new();
        Self {
            body_memory: BodyMemory::new(settings.memory_max_bytes, clock),
            caller_connections: CallerConnections::new(&settings),
            metrics: Metrics::new(store.call_counts()),
            quotas: QuotaExchange::new(&settings),
            store,
            store_health: StoreHealth::default(),
            store_clock: Cell::default(),
            settings: RefCell::new(Rc::new(settings)),
            clock,
            routes: RefCell::default(),
            config_fed_version: Cell::default(),
            config_row_version: Cell::default(),
            key_lease: RefCell::new(key_lease),
            unknown_keys: RefCell::default(),
            upstreams: RefCell::new(UpstreamTable::new(locality, rand::random())),
            quarantine: RefCell::default(),
            stream_origins: RefCell::default(),
            version_history: RefCell::default(),
            version_lists: VersionLists::default(),
            origin_exchange: OriginExchange::default(),
            registration_check: FreshnessCheck::default(),
            config_check: FreshnessCheck::default(),
            has_initial_state: watch::Sender::new(false),
            has_read_servers: Cell::default(),
            servers_fed_version: Cell::default(),
            directory: RefCell::new(Directory::new(owner_id.clone())),
            has_read_heartbeats: Cell::default(),
            has_read_jobs: Cell::default(),
            jobs_fed_at_ms: Cell::default(),
            has_lease: Cell::default(),
            runner: RefCell::default(),
            connection_pool: ConnectionPool::default(),
            peer_connections: PeerConnections::default(),
            path_changed: Notify::new(),
            proxied_count: Cell::default(),
            limits_stated: Notify::new(),
            load_changed: Notify::new(),
            last_notice_sequence: Cell::default(),
            owners_to_notify: RefCell::default(),
            owners_to_notify_changed: Notify::new(),
            batch_state_changed: Notify::new(),
            jobs_changed: watch::Sender::new(0),
            stage: watch::Sender::new(Stage::Serving),
            stop_deadline_ms: Cell::default(),
            request_durations: RefCell::default(),
            open_requests: Cell::default(),
            open_connections: Cell::default(),
            last_connection_end_ms: Cell::default(),
            owner_id,
        }
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings.
    pub(crate) fn set_settings(&self, settings: Settings) {
        self.key_lease
            .borrow_mut()
            .set_revocation_ms(settings.key_revocation_ms);
        self.body_memory
            .set_process_max_bytes(settings.memory_max_bytes);
        self.caller_connections.set_settings(&settings);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the routes of the newest configuration, if one has been read.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Returns whether the configuration in force names customers.
    pub(crate) fn has_customers(&self) -> bool {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .is_some_and(|routes| routes.customers.is_some())
    }

    /// Applies a configuration unless one of the same or a newer version is in
    /// force. Returns whether it was applied.
    pub(crate) fn apply_routes(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.borrow_mut();
        if routes
            .as_ref()
            .is_some_and(|old| old.version >= table.version)
        {
            return false;
        }
        *routes = Some(Arc::new(table));
        true
    }

    /// Frees a slot of `target` for an online request that is about to be sent there:
    /// preempts a batch item of this instance, or notifies the peers that should
    /// preempt one of theirs.
    pub(crate) fn apply_preemption(&self, target: &Target, preemption: Preemption) {
        match preemption {
            Preemption::Nothing => {}
            Preemption::Own => {
                self.runner
                    .borrow()
                    .preempt_runs(&target.upstream, 1, self.store_now_ms());
            }
            Preemption::Peers(owners) => {
                self.owners_to_notify.borrow_mut().extend(owners);
                self.owners_to_notify_changed.notify_one();
            }
        }
    }

    /// Records that the directory includes every change of a job record up to `version`
    /// of the store.
    pub(crate) fn record_jobs_fed(&self, version: u64) {
        self.directory.borrow_mut().record_known_version(version);
        self.jobs_fed_at_ms.set(self.now_ms());
    }

    /// Returns the version of the store up to which the directory includes every change of a
    /// job record.
    pub(crate) fn jobs_fed_version(&self) -> u64 {
        self.directory.borrow().known_version()
    }

    /// Returns whether callers should be routed to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && *self.has_initial_state.borrow()
    }

    /// Records whether the configuration and the servers have been read, which are
    /// needed to place a request.
    pub(crate) fn update_initial_state(&self) {
        let is_complete = self.has_read_servers.get() && self.routes.borrow().is_some();
        self.has_initial_state.send_replace(is_complete);
    }

    /// Waits until the configuration and the servers have been read, for at most
    /// [`INITIAL_STATE_TIMEOUT`].
    pub(crate) async fn wait_for_initial_state(&self) {
        let mut has_initial_state = self.has_initial_state.subscribe();
        let complete = has_initial_state.wait_for(|is_complete| *is_complete);
        // After a time-out, the request is refused where the missing state is needed.
        let _ = timeout(INITIAL_STATE_TIMEOUT, complete).await;
    }

    /// Returns the life-cycle stage of the process.
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns the planned stop, if one has begun.
    pub(crate) fn planned_stop(&self) -> Option<PlannedStop> {
        Some(PlannedStop {
            end_ms: self.stop_deadline_ms.get()?,
            is_in_rotation: self.stage() < Stage::Closing,
        })
    }

    /// Records what the store's clock read when it sent an answer that has just arrived.
    pub(crate) fn record_store_time(&self, store_ms: Option<u64>) {
        if let Some(store_ms) = store_ms {
            let mut clock = self.store_clock.get();
            clock.record_answer(store_ms, self.now_ms());
            self.store_clock.set(clock);
        }
    }

    /// Returns the current time of the store's clock, in milliseconds.
    pub(crate) fn store_now_ms(&self) -> u64 {
        self.store_clock.get().at(self.now_ms())
    }

    /// Returns the current time, in milliseconds since the start of the process.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }
}
