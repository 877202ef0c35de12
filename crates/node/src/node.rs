//! State that the tasks of the process share. All of them run on one thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use gateway::{Locality, Preemption, RouteTable, Target, UpstreamTable};
use ledger::{Directory, OwnerId};
use model::InstanceId;
use platform::{Settings, Store};
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{
    clock::{Clock, unix_ms},
    connection_pool::ConnectionPool,
    jobs::Runner,
    metrics::Metrics,
    store_calls::StoreHealth,
};

/// How long a request waits for the first reads after the start.
const INITIAL_STATE_TIMEOUT: Duration = Duration::from_millis(200);

/// Shared state.
#[derive(Debug)]
pub(crate) struct Node {
    settings: RefCell<Rc<Settings>>,
    /// This incarnation of this instance.
    pub(crate) owner_id: OwnerId,
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    pub(crate) store_health: StoreHealth,
    pub(crate) metrics: Metrics,
    /// `None` until the configuration was read.
    routes: RefCell<Option<Arc<RouteTable>>>,
    pub(crate) upstreams: RefCell<UpstreamTable>,
    /// Whether configuration and servers were read.
    has_initial_state: watch::Sender<bool>,
    pub(crate) has_read_servers: Cell<bool>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) has_read_heartbeats: Cell<bool>,
    pub(crate) has_read_jobs: Cell<bool>,
    /// Whether peers can see that this incarnation lives.
    pub(crate) has_lease: Cell<bool>,
    pub(crate) runner: RefCell<Runner>,
    pub(crate) connection_pool: ConnectionPool,
    /// Own load changed.
    pub(crate) load_changed: Notify,
    /// Load notices made so far.
    pub(crate) notices_sent: Cell<u64>,
    /// Peers that have to preempt an item for a request of this instance.
    pub(crate) owners_to_notify: RefCell<Vec<InstanceId>>,
    pub(crate) owners_to_notify_changed: Notify,
    /// Something changed that may let batch items start or make them yield.
    pub(crate) batch_state_changed: Notify,
    /// Records of jobs changed.
    pub(crate) jobs_changed: watch::Sender<u64>,
    pub(crate) stage: watch::Sender<Stage>,
    /// Requests and connections of callers that are being served.
    pub(crate) open_requests: Cell<usize>,
    pub(crate) open_connections: Cell<usize>,
}

/// Stages of the process's life, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Serves callers.
    Serving,
    /// Still accepts callers, but tells the platform to send no more.
    Draining,
    /// Ends connections after the request that they carry.
    Closing,
    /// Accepts no connection.
    Closed,
}

impl Node {
    /// The state at the start of the process.
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
        Self {
            metrics: Metrics::new(store.call_counts()),
            store,
            store_health: StoreHealth::default(),
            settings: RefCell::new(Rc::new(settings)),
            clock: Clock::new(),
            routes: RefCell::default(),
            upstreams: RefCell::new(UpstreamTable::new(locality, rand::random())),
            has_initial_state: watch::Sender::new(false),
            has_read_servers: Cell::default(),
            directory: RefCell::new(Directory::new(owner_id.clone())),
            has_read_heartbeats: Cell::default(),
            has_read_jobs: Cell::default(),
            has_lease: Cell::default(),
            runner: RefCell::default(),
            connection_pool: ConnectionPool::default(),
            load_changed: Notify::new(),
            notices_sent: Cell::default(),
            owners_to_notify: RefCell::default(),
            owners_to_notify_changed: Notify::new(),
            batch_state_changed: Notify::new(),
            jobs_changed: watch::Sender::new(0),
            stage: watch::Sender::new(Stage::Serving),
            open_requests: Cell::default(),
            open_connections: Cell::default(),
            owner_id,
        }
    }

    /// Settings in force.
    pub(crate) fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings.
    pub(crate) fn set_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The newest configuration, once one was read.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Applies a configuration unless one as new is in force.
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

    /// Frees a slot of an upstream for a request that is about to be sent there.
    pub(crate) fn apply_preemption(&self, target: &Target, preemption: Preemption) {
        match preemption {
            Preemption::Nothing => {}
            Preemption::Own => self.runner.borrow().preempt(&target.upstream, 1),
            Preemption::Peers(owners) => {
                self.owners_to_notify.borrow_mut().extend(owners);
                self.owners_to_notify_changed.notify_one();
            }
        }
    }

    /// Whether callers may come.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && *self.has_initial_state.borrow()
    }

    /// Notes that something was read without which no request can be placed.
    pub(crate) fn update_initial_state(&self) {
        let is_complete = self.has_read_servers.get() && self.routes.borrow().is_some();
        self.has_initial_state.send_replace(is_complete);
    }

    /// Waits a little for the first reads after the start.
    pub(crate) async fn wait_for_initial_state(&self) {
        let mut has_initial_state = self.has_initial_state.subscribe();
        let complete = has_initial_state.wait_for(|is_complete| *is_complete);
        // A request that waited in vain is refused by who needs what is missing.
        let _ = timeout(INITIAL_STATE_TIMEOUT, complete).await;
    }

    /// Stage of the process.
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Now, milliseconds since the start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }
}
