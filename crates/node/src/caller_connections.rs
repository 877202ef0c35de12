//! Connections of callers, and the limit under which some of them are closed.
//!
//! [`gateway::ConnectionLimit`] decides which connection gives way. The task of the connection
//! closes it, or refuses the request whose body it reads.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use gateway::{
    Activity, Admission, ConnectionEviction, ConnectionId, ConnectionLimit, RECEIVE_BUFFER_BYTES,
};
use platform::Settings;
use tokio::{sync::Notify, time::sleep_until};

use crate::{listener::OpenConnectionGuard, node::Node};

/// The memory for connections is that of the process divided by this number.
const MEMORY_DIVISOR: u64 = 4;
/// Callers may have the sockets of the process divided by this number. The requests on their
/// connections need as many to upstreams.
const SOCKETS_DIVISOR: usize = 2;
/// The memory for what the system receives on connections that wait to be accepted is that of the
/// process divided by this number.
const BACKLOG_DIVISOR: u64 = 16;
/// Minimum and maximum number of connections that wait to be accepted.
const BACKLOG_MIN: u64 = 64;
const BACKLOG_MAX: u64 = 1_024;
/// Number of attempts to admit a new connection, and time that it waits, milliseconds, before it
/// is refused. Another one that gives way may have to stop, to be answered and then to be closed.
/// If the process was held up meanwhile, the time has passed without enough attempts.
const ADMISSION_ATTEMPTS: usize = 8;
const ADMISSION_WAIT_MS: u64 = 1_000;
/// Minimum time between two log lines about the limit, milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The open connections of callers.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    limit: RefCell<ConnectionLimit>,
    /// Sorted by id.
    signals: RefCell<Vec<(ConnectionId, Rc<EvictionSignals>)>>,
    report: RefCell<LimitReport>,
}

/// Tells the task of a connection to make room.
#[derive(Debug, Default)]
struct EvictionSignals {
    close: Notify,
    evict_body: Notify,
}

/// What the limit has done since the last log line about it.
#[derive(Debug, Default)]
struct LimitReport {
    closed: u64,
    refused: u64,
    next_at_ms: u64,
}

impl CallerConnections {
    /// Creates the limit of a process with these settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        let limit = ConnectionLimit::new(max_count(settings), max_bytes(settings));
        Self {
            limit: RefCell::new(limit),
            signals: RefCell::default(),
            report: RefCell::default(),
        }
    }

    /// Applies new settings.
    pub(crate) fn set_settings(&self, settings: &Settings) {
        self.limit
            .borrow_mut()
            .set_max(max_count(settings), max_bytes(settings));
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.limit.borrow().count()
    }

    fn signal(&self, eviction: ConnectionEviction) {
        let signals = self.signals.borrow();
        let Ok(index) = signals.binary_search_by_key(&eviction.id, |(id, _)| *id) else {
            return;
        };
        match eviction.activity {
            Activity::ReadingBody => signals[index].1.evict_body.notify_one(),
            Activity::Idle | Activity::DiscardingBody | Activity::Serving => {
                signals[index].1.close.notify_one();
            }
        }
    }

    fn remove(&self, id: ConnectionId) {
        self.limit.borrow_mut().end(id);
        let mut signals = self.signals.borrow_mut();
        if let Ok(index) = signals.binary_search_by_key(&id, |(id, _)| *id) {
            signals.remove(index);
        }
    }

    /// Logs what the limit has done, unless it was logged just before.
    fn log(&self, now_ms: u64) {
        let mut report = self.report.borrow_mut();
        if now_ms < report.next_at_ms {
            return;
        }
        let limit = self.limit.borrow();
        log::warn!(
            "event=connections_limited open={} max={} closed={} refused={}",
            limit.count(),
            limit.max_count(),
            report.closed,
            report.refused
        );
        *report = LimitReport {
            next_at_ms: now_ms + LOG_INTERVAL_MS,
            ..LimitReport::default()
        };
    }
}

/// Returns how many connections may wait to be accepted.
pub(crate) fn backlog(settings: &Settings) -> u32 {
    let backlog_bytes = settings.memory_max_bytes / BACKLOG_DIVISOR;
    let count = backlog_bytes / u64::from(RECEIVE_BUFFER_BYTES);
    let count = count.clamp(BACKLOG_MIN, BACKLOG_MAX);
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn max_count(settings: &Settings) -> usize {
    (settings.sockets_max / SOCKETS_DIVISOR).max(1)
}

fn max_bytes(settings: &Settings) -> u64 {
    settings.memory_max_bytes / MEMORY_DIVISOR
}

/// Has connections give way if little room is left for a new one, or for a body.
fn make_room(node: &Node) {
    let connections = &node.caller_connections;
    let now_ms = node.now_ms();
    let evicted = connections.limit.borrow_mut().evict(now_ms);
    if evicted.is_empty() {
        return;
    }
    for eviction in &evicted {
        connections.signal(*eviction);
        node.metrics
            .on_connection_closed(eviction.activity.as_str());
    }
    connections.report.borrow_mut().closed += evicted.len() as u64;
    connections.log(now_ms);
}

/// Waits until a new connection is admitted. Returns `None` if it is refused.
async fn admit(node: &Node) -> Option<ConnectionId> {
    let wait_until_ms = node.now_ms() + ADMISSION_WAIT_MS;
    let mut attempts = 0;
    loop {
        make_room(node);
        let now_ms = node.now_ms();
        attempts += 1;
        let admission = node.caller_connections.limit.borrow_mut().admit(now_ms);
        match admission {
            Admission::Admitted(id) => return Some(id),
            Admission::Later { retry_at_ms }
                if attempts < ADMISSION_ATTEMPTS || now_ms < wait_until_ms =>
            {
                sleep_until(node.clock.instant(retry_at_ms)).await;
            }
            Admission::Later { .. } | Admission::Refused => return None,
        }
    }
}

/// A connection of a caller. It counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    open: OpenConnectionGuard,
    id: ConnectionId,
    signals: Rc<EvictionSignals>,
    activity: Cell<Activity>,
    /// Whether the rest of a body is discarded after the answer.
    discards_body: Cell<bool>,
    /// Whether the HTTP library has all of the answer. It may have to write some of it.
    is_answer_complete: Cell<bool>,
}

impl CallerConnection {
    /// Adds a connection that was accepted, as soon as there is room. Returns `None` if it must
    /// be closed. Other new connections wait in the system's queue meanwhile.
    pub(crate) async fn open(node: &Rc<Node>) -> Option<Rc<Self>> {
        let connections = &node.caller_connections;
        let Some(id) = admit(node).await else {
            node.metrics.on_connection_closed("refused");
            connections.report.borrow_mut().refused += 1;
            connections.log(node.now_ms());
            return None;
        };
        let signals = Rc::new(EvictionSignals::default());
        // Ids only grow, so the list stays sorted.
        let row = (id, Rc::clone(&signals));
        connections.signals.borrow_mut().push(row);
        Some(Rc::new(Self {
            open: OpenConnectionGuard::new(Rc::clone(node)),
            id,
            signals,
            activity: Cell::new(Activity::Idle),
            discards_body: Cell::new(false),
            is_answer_complete: Cell::new(false),
        }))
    }

    pub(crate) fn node(&self) -> &Rc<Node> {
        &self.open.node
    }

    /// Waits until the connection must be closed. It is not used for a request then.
    pub(crate) async fn must_close(&self) {
        self.signals.close.notified().await;
    }

    /// Waits until the request whose body is being read must be refused.
    pub(crate) async fn must_evict_body(&self) {
        self.signals.evict_body.notified().await;
    }

    /// Records that the head of a request has come.
    pub(crate) fn begin_request(&self) {
        self.is_answer_complete.set(false);
        self.discards_body.set(false);
        self.set_activity(Activity::Serving);
    }

    /// Records that the body of the request is about to be read. Returns whether there is room
    /// for what has not been read yet.
    pub(crate) fn begin_body(&self) -> bool {
        let has_room = self.make_room_for_body();
        if has_room {
            self.set_activity(Activity::ReadingBody);
        }
        has_room
    }

    /// Records that the body is not being read any more.
    pub(crate) fn end_body(&self) {
        self.set_activity(Activity::Serving);
    }

    /// Records that the rest of the body will be discarded. Returns whether there is room for
    /// what has not been read yet.
    pub(crate) fn begin_discarding(&self) -> bool {
        let has_room = self.make_room_for_body();
        self.discards_body.set(has_room);
        has_room
    }

    /// Records that bytes have come.
    pub(crate) fn on_read(&self) {
        if self.activity.get() == Activity::ReadingBody {
            let now_ms = self.node().now_ms();
            let mut limit = self.connections().limit.borrow_mut();
            limit.record_progress(self.id, now_ms);
        }
    }

    /// Records that the HTTP library has all of the answer.
    pub(crate) fn on_answer_complete(&self) {
        self.is_answer_complete.set(true);
    }

    /// Records that the HTTP library has written all that it has.
    pub(crate) fn on_written(&self) {
        if !self.is_answer_complete.replace(false) {
            return;
        }
        self.set_activity(if self.discards_body.get() {
            Activity::DiscardingBody
        } else {
            Activity::Idle
        });
    }

    fn connections(&self) -> &CallerConnections {
        &self.node().caller_connections
    }

    fn make_room_for_body(&self) -> bool {
        make_room(self.node());
        self.connections().limit.borrow().has_room_for_body()
    }

    fn set_activity(&self, activity: Activity) {
        let now_ms = self.node().now_ms();
        let mut limit = self.connections().limit.borrow_mut();
        limit.set_activity(self.id, activity, now_ms);
        self.activity.set(activity);
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.connections().remove(self.id);
    }
}
