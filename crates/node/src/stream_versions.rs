//! Finds out at which software version a stream may go on. The decisions are in
//! [`gateway::StreamOrigins`] and [`gateway::VersionHistory`]; this module exchanges their
//! records with peers as UDP datagrams, one port above that of the load notices.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bincode::{
    config,
    serde::{decode_from_slice, encode_to_vec},
};
use gateway::{
    AttemptHash, HolderUse, ObservedVersions, OriginRecord, RecordHolder, STREAM_LIFETIME_MS,
    VersionHash, record_holders,
};
use model::{Region, ServiceName, SoftwareVersion};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    datagrams,
    freshness_check::{self, Subject},
    node::Node,
    version_lists,
};

/// Time in which the holders of a record must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which records are expired, and the history of peers is asked for while the
/// own one is too short.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the start of the process until the heartbeats of peers that started together
/// with it have been read, milliseconds.
const PEERS_SETTLED_MS: u64 = 3_000;
/// Number of peers that are asked for their history at a time.
const HISTORY_PEERS: usize = 2;
/// Maximum number of records in a datagram.
const RECORDS_PER_DATAGRAM: usize = 48;
/// Maximum size of a datagram, bytes.
const DATAGRAM_MAX_BYTES: usize = 4 * 1024;

/// Contents of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Message {
    /// Streams that began at the sender, which the receiver shall remember.
    Records(Vec<OriginRecord>),
    /// Asks for the record of an attempt.
    Query(AttemptHash),
    /// Answers a query.
    Answer {
        attempt: AttemptHash,
        version: Option<VersionHash>,
    },
    /// Asks for what the receiver has observed of registrations.
    HistoryQuery,
    /// Answers a history query.
    History(ObservedVersions),
    /// Answers a query: there are records of different versions.
    Contradicted(AttemptHash),
}

/// By what a stream is found again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamKeys<'a> {
    /// Id of the attempt that the caller takes up, if it names one.
    pub(crate) resumed_attempt: Option<&'a str>,
    /// Id of the caller's attempt.
    pub(crate) request_id: &'a str,
    /// Hash of the content of the request.
    pub(crate) content: AttemptHash,
}

impl StreamKeys<'_> {
    /// Returns the keys under which the origin is recorded: callers may or may not name the
    /// attempt when they come back.
    fn all(self) -> [AttemptHash; 2] {
        let attempt = self.resumed_attempt.unwrap_or(self.request_id);
        [AttemptHash::new(attempt), self.content]
    }

    /// Returns the version of the attempt that the caller names, if this instance knows it.
    fn named_attempt_version(self, node: &Node) -> Option<VersionHash> {
        recorded_version(node, AttemptHash::new(self.resumed_attempt?))
    }

    /// Returns the key under which the origin is looked for.
    fn take_up_key(self) -> AttemptHash {
        self.resumed_attempt.map_or(self.content, AttemptHash::new)
    }
}

/// The version at which a stream began cannot be proven.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginUnknown {
    /// Those that may know it did not answer.
    Now,
    /// Nobody knows it, and it cannot be proven for this time, milliseconds.
    ForMs(u64),
}

/// What the holders of a record know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HoldersAnswer {
    Version(VersionHash),
    /// Requests of the same content began at several versions.
    Contradicted,
    /// At least one holder answered, and none has the record.
    NoRecord,
    /// No holder answered.
    Silent,
}

/// The socket of the exchange and the queries in progress.
#[derive(Debug, Default)]
pub(crate) struct OriginExchange {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    queries: RefCell<Vec<Rc<PendingQuery>>>,
}

/// A query whose answers are awaited.
#[derive(Debug)]
struct PendingQuery {
    attempt: AttemptHash,
    missing_answers: Cell<usize>,
    /// Whether a single answer does not decide.
    needs_all: Cell<bool>,
    is_decided: Notify,
}

/// Guard of a query, whose answers are ignored after the guard is dropped.
#[derive(Debug)]
struct QueryGuard<'a> {
    exchange: &'a OriginExchange,
    query: Rc<PendingQuery>,
}

impl<'a> QueryGuard<'a> {
    fn new(exchange: &'a OriginExchange, attempt: AttemptHash, holder_count: usize) -> Self {
        let query = Rc::new(PendingQuery {
            attempt,
            missing_answers: Cell::new(holder_count),
            needs_all: Cell::default(),
            is_decided: Notify::new(),
        });
        exchange.queries.borrow_mut().push(Rc::clone(&query));
        Self { exchange, query }
    }
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        let mut queries = self.exchange.queries.borrow_mut();
        queries.retain(|pending| !Rc::ptr_eq(pending, &self.query));
    }
}

/// Opens the socket and starts the exchange.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn start(node: &Rc<Node>) -> io::Result<()> {
    let address = exchange_address(node.settings().peer_listen);
    let socket = Rc::new(UdpSocket::bind(address).await?);
    node.origin_exchange
        .socket
        .replace(Some(Rc::clone(&socket)));
    spawn_local(receive_messages(Rc::clone(node), socket));
    spawn_local(keep_up(Rc::clone(node)));
    Ok(())
}

/// Records at which version a stream began, and tells the holders if versions of the service
/// may be mixed.
pub(crate) fn record_origin(
    node: &Node,
    keys: StreamKeys<'_>,
    service: &ServiceName,
    version: &SoftwareVersion,
) {
    let version = VersionHash::new(version);
    let now_ms = node.store_now_ms();
    let records = keys.all().map(|attempt| OriginRecord { attempt, version });
    let mut origins = node.stream_origins.borrow_mut();
    for record in records {
        origins.record_own(record, service, now_ms);
    }
    drop(origins);
    if may_be_mixed(node, service) {
        let peers = Peers::new(node);
        peers.send_records(node, &records);
        if peers.are_settled {
            let mut origins = node.stream_origins.borrow_mut();
            for record in records {
                origins.record_sent(record.attempt);
            }
        }
    }
}

/// Finds out at which version a stream must go on that a caller takes up.
///
/// # Errors
///
/// Returns an error if the version cannot be proven.
pub(crate) async fn find_origin(
    node: &Rc<Node>,
    service: &ServiceName,
    keys: StreamKeys<'_>,
) -> Result<VersionHash, OriginUnknown> {
    if let Some(version) = keys.named_attempt_version(node) {
        return Ok(version);
    }
    let asked = ask_holders(node, keys);
    tokio::pin!(asked);
    tokio::select! {
        holders = &mut asked => version_by_holders(node, service, holders).await,
        Ok(version) = confirmed_only_version(node, service) => Ok(version),
    }
}

async fn version_by_holders(
    node: &Rc<Node>,
    service: &ServiceName,
    holders: HoldersAnswer,
) -> Result<VersionHash, OriginUnknown> {
    match holders {
        HoldersAnswer::Version(version) => Ok(version),
        HoldersAnswer::Contradicted => Err(OriginUnknown::ForMs(STREAM_LIFETIME_MS)),
        // Nothing can be registered while no instance reaches the store. A peer that knew of
        // another version would have the record.
        HoldersAnswer::NoRecord if node.store_health.is_unreachable() => {
            only_version(node, service).ok_or(OriginUnknown::Now)
        }
        HoldersAnswer::NoRecord => confirmed_only_version(node, service).await,
        HoldersAnswer::Silent => confirmed_only_version(node, service)
            .await
            .map_err(|_| OriginUnknown::Now),
    }
}

fn recorded_version(node: &Node, attempt: AttemptHash) -> Option<VersionHash> {
    let origins = node.stream_origins.borrow();
    origins.version_of(attempt, node.store_now_ms())
}

fn is_contradicted(node: &Node, attempt: AttemptHash) -> bool {
    let origins = node.stream_origins.borrow();
    origins.is_contradicted(attempt, node.store_now_ms())
}

/// Returns the version at which every stream of a service began that may still be taken up,
/// by the registrations that the store has now.
async fn confirmed_only_version(
    node: &Rc<Node>,
    service: &ServiceName,
) -> Result<VersionHash, OriginUnknown> {
    if only_version(node, service).is_some()
        && !freshness_check::confirm(node, Subject::Registrations).await
    {
        return Err(OriginUnknown::Now);
    }
    only_version(node, service).ok_or_else(|| {
        let history = node.version_history.borrow();
        let upstreams = node.upstreams.borrow();
        let now_ms = node.store_now_ms();
        OriginUnknown::ForMs(history.unproven_for_ms(service, &upstreams, now_ms))
    })
}

fn only_version(node: &Node, service: &ServiceName) -> Option<VersionHash> {
    let history = node.version_history.borrow();
    let only = history.only_version(service, &node.upstreams.borrow(), node.store_now_ms());
    only.as_ref().map(VersionHash::new)
}

/// Returns whether peers need to know where streams of a service begin.
fn may_be_mixed(node: &Node, service: &ServiceName) -> bool {
    node.store_health.is_unreachable() || only_version(node, service).is_none()
}

/// Sends the records of this instance's streams that peers need to know and have not got.
pub(crate) fn send_records(node: &Node) {
    let now_ms = node.store_now_ms();
    let origins = node.stream_origins.borrow();
    let records = origins.unsent(|service| may_be_mixed(node, service), now_ms);
    drop(origins);
    if records.is_empty() {
        return;
    }
    let peers = Peers::new(node);
    peers.send_records(node, &records);
    if peers.are_settled {
        let mut origins = node.stream_origins.borrow_mut();
        for record in records {
            origins.record_sent(record.attempt);
        }
    }
}

/// Asks the holders of a stream's record for the version.
async fn ask_holders(node: &Node, keys: StreamKeys<'_>) -> HoldersAnswer {
    let key = keys.take_up_key();
    let peers = Peers::new(node);
    let holders = peers.holders(key, HolderUse::Ask);
    let guard = QueryGuard::new(&node.origin_exchange, key, holders.len());
    // Requests of the same content may contradict each other, so all holders must answer.
    guard.query.needs_all.set(keys.resumed_attempt.is_none());
    let holder_count = holders.len();
    for holder in holders {
        send(node, peers.addresses[holder], &Message::Query(key));
    }
    if holder_count > 0 {
        // After a time-out, what has been answered counts.
        let _ = timeout(ANSWER_TIMEOUT, guard.query.is_decided.notified()).await;
    }
    if let Some(version) = recorded_version(node, key) {
        HoldersAnswer::Version(version)
    } else if is_contradicted(node, key) {
        HoldersAnswer::Contradicted
    } else if guard.query.missing_answers.get() < holder_count {
        HoldersAnswer::NoRecord
    } else {
        HoldersAnswer::Silent
    }
}

async fn receive_messages(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, sender) = datagrams::receive(&socket, &mut buffer).await;
        match decode_from_slice(&buffer[..length], config::standard()) {
            Ok((message, _)) => receive(&node, sender, message),
            Err(error) => log::warn!("event=origin_unreadable error={}", process::quote(&error)),
        }
    }
}

fn receive(node: &Node, sender: SocketAddr, message: Message) {
    let now_ms = node.store_now_ms();
    match message {
        Message::Records(records) => {
            let mut origins = node.stream_origins.borrow_mut();
            for record in records {
                origins.receive(record, now_ms);
            }
        }
        Message::Query(attempt) => {
            let origins = node.stream_origins.borrow();
            let answer = if origins.is_contradicted(attempt, now_ms) {
                Message::Contradicted(attempt)
            } else {
                let version = origins.version_of(attempt, now_ms);
                Message::Answer { attempt, version }
            };
            send(node, sender, &answer);
        }
        Message::Answer { attempt, version } => {
            if let Some(version) = version {
                let record = OriginRecord { attempt, version };
                node.stream_origins.borrow_mut().receive(record, now_ms);
            }
            count_answer(node, attempt, version.is_some());
        }
        Message::Contradicted(attempt) => {
            let mut origins = node.stream_origins.borrow_mut();
            origins.receive_contradiction(attempt, now_ms);
            drop(origins);
            count_answer(node, attempt, true);
        }
        Message::HistoryQuery => {
            if let Some(observed) = node.version_history.borrow().observed() {
                send(node, sender, &Message::History(observed));
            }
        }
        Message::History(observed) => node.version_history.borrow_mut().receive(&observed),
    }
}

fn count_answer(node: &Node, attempt: AttemptHash, is_known: bool) {
    let is_asked = |query: &&Rc<PendingQuery>| query.attempt == attempt;
    let queries = node.origin_exchange.queries.borrow();
    for query in queries.iter().filter(is_asked) {
        let missing_answers = query.missing_answers.get().saturating_sub(1);
        query.missing_answers.set(missing_answers);
        if missing_answers == 0 || is_known && !query.needs_all.get() {
            query.is_decided.notify_one();
        }
    }
}

async fn keep_up(node: Rc<Node>) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        let now_ms = node.store_now_ms();
        node.stream_origins.borrow_mut().expire(now_ms);
        node.version_history.borrow_mut().expire(now_ms);
        send_records(&node);
        version_lists::remove_unused(&node).await;
        if !node.version_history.borrow().is_complete(now_ms) {
            let peers = Peers::new(&node);
            for address in peers.addresses.sample(&mut rand::rng(), HISTORY_PEERS) {
                send(&node, *address, &Message::HistoryQuery);
            }
        }
    }
}

fn send(node: &Node, address: SocketAddr, message: &Message) {
    let socket = node.origin_exchange.socket.borrow();
    let Some(socket) = socket.as_ref() else {
        return;
    };
    // Encoding into memory cannot fail.
    let datagram = encode_to_vec(message, config::standard()).unwrap_or_default();
    if let Err(error) = socket.try_send_to(&datagram, address) {
        log::debug!(
            "event=origin_send_failed peer={address} error={}",
            process::quote(&error)
        );
    }
}

fn exchange_address(notices: SocketAddr) -> SocketAddr {
    SocketAddr::new(notices.ip(), notices.port() + 1)
}

/// The live peers, as holders of records, or all known ones while the store is unreachable.
struct Peers {
    own_region: Region,
    /// Whether this instance has had the time to read the heartbeats of all peers that
    /// started with it. Until then, records are sent again.
    are_settled: bool,
    holders: Vec<RecordHolder>,
    /// Addresses of the exchange, in the order of `holders`.
    addresses: Vec<SocketAddr>,
}

impl Peers {
    fn new(node: &Node) -> Self {
        let directory = node.directory.borrow();
        let now_ms = node.now_ms();
        // No lease is renewed without the store.
        let has_leases = !node.store_health.is_unreachable();
        let live = directory.live_peers(now_ms).filter(|_| has_leases);
        let known = directory.peers().filter(|_| !has_leases);
        let (holders, addresses) = live
            .chain(known)
            .map(|heartbeat| {
                let holder = RecordHolder {
                    instance: heartbeat.owner.instance.clone(),
                    region: Region::new(&heartbeat.region),
                };
                (holder, exchange_address(heartbeat.peer_address))
            })
            .unzip();
        Self {
            own_region: node.settings().region.clone(),
            are_settled: node.now_ms() >= PEERS_SETTLED_MS,
            holders,
            addresses,
        }
    }

    fn send_records(&self, node: &Node, records: &[OriginRecord]) {
        let mut batches: Vec<Vec<OriginRecord>> = vec![Vec::new(); self.addresses.len()];
        for record in records {
            for index in self.holders(record.attempt, HolderUse::Send) {
                batches[index].push(*record);
            }
        }
        for (address, batch) in self.addresses.iter().zip(batches) {
            for records in batch.chunks(RECORDS_PER_DATAGRAM) {
                send(node, *address, &Message::Records(records.to_vec()));
            }
        }
    }

    fn holders(&self, attempt: AttemptHash, holder_use: HolderUse) -> Vec<usize> {
        record_holders(attempt, &self.holders, &self.own_region, holder_use)
    }
}
