//! State that the tasks of the process share. All of them run on one thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use gateway::{Fleet, Home, RouteTable};
use ledger::{Directory, OwnerId};
use platform::{Settings, Store};
use tokio::sync::{Notify, watch};

use crate::{
    clock::{Clock, unix_ms},
    connections::Connections,
    jobs::Runner,
    metrics::Metrics,
};

/// Shared state.
#[derive(Debug)]
pub(crate) struct Node {
    settings: RefCell<Rc<Settings>>,
    /// This incarnation of this instance.
    pub(crate) me: OwnerId,
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    pub(crate) store_health: StoreHealth,
    pub(crate) metrics: Metrics,
    /// `None` until the configuration was read.
    routes: RefCell<Option<Arc<RouteTable>>>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) has_servers: Cell<bool>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) has_nodes: Cell<bool>,
    pub(crate) has_jobs: Cell<bool>,
    /// Whether peers can see that this incarnation lives.
    pub(crate) has_lease: Cell<bool>,
    pub(crate) runner: RefCell<Runner>,
    pub(crate) connections: Connections,
    /// Own load changed.
    pub(crate) load_changed: Notify,
    /// Something changed that may let batch items start or make them yield.
    pub(crate) batch_changed: Notify,
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

/// When the store last answered.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    answered_ms: Cell<u64>,
    failed_ms: Cell<u64>,
    /// When the store came back after it had been away.
    returned_ms: Cell<Option<u64>>,
    is_away: Cell<bool>,
}

impl Node {
    /// The state at the start of the process.
    pub(crate) fn new(settings: Settings) -> Self {
        let me = OwnerId {
            instance: settings.instance_id.clone(),
            started_unix_ms: unix_ms(),
        };
        let home = Home {
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
            fleet: RefCell::new(Fleet::new(home, rand::random())),
            has_servers: Cell::default(),
            directory: RefCell::new(Directory::new(me.clone())),
            has_nodes: Cell::default(),
            has_jobs: Cell::default(),
            has_lease: Cell::default(),
            runner: RefCell::default(),
            connections: Connections::default(),
            load_changed: Notify::new(),
            batch_changed: Notify::new(),
            jobs_changed: watch::Sender::new(0),
            stage: watch::Sender::new(Stage::Serving),
            open_requests: Cell::default(),
            open_connections: Cell::default(),
            me,
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

    /// Whether callers may come.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.has_servers.get() && self.routes.borrow().is_some()
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

impl StoreHealth {
    /// Records an answer. Returns whether the store had been away.
    pub(crate) fn answered(&self, now_ms: u64) -> bool {
        self.answered_ms.set(now_ms);
        let was_away = self.is_away.replace(false);
        if was_away {
            self.returned_ms.set(Some(now_ms));
        }
        was_away
    }

    /// Records a failed call. Returns whether the store had been there.
    pub(crate) fn failed(&self, now_ms: u64) -> bool {
        self.failed_ms.set(now_ms);
        !self.is_away.replace(true)
    }

    /// Whether the last call failed.
    pub(crate) fn is_away(&self) -> bool {
        self.is_away.get()
    }

    /// Whether the store was away at some time since `since_ms`.
    pub(crate) fn was_away_since(&self, since_ms: u64) -> bool {
        self.is_away.get()
            || self
                .returned_ms
                .get()
                .is_some_and(|at_ms| at_ms >= since_ms)
    }

    /// How long ago the store last answered, milliseconds.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.answered_ms.get())
    }
}
