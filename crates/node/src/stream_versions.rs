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
    AttemptHash, HolderUse, ObservedVersions, OriginRecord, RecordHolder, VersionHash,
    record_holders,
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

/// Records at which version the stream of an attempt began, and tells the holders if
/// versions of the service may be mixed.
pub(crate) fn record_origin(
    node: &Node,
    attempt: &str,
    service: &ServiceName,
    version: &SoftwareVersion,
) {
    let record = OriginRecord {
        attempt: AttemptHash::new(attempt),
        version: VersionHash::new(version),
    };
    let now_ms = node.store_now_ms();
    let mut origins = node.stream_origins.borrow_mut();
    origins.record_own(record, service, now_ms);
    drop(origins);
    if may_be_mixed(node, service) {
        let peers = Peers::new(node);
        peers.send_records(node, &[record]);
        if peers.are_settled {
            node.stream_origins.borrow_mut().record_sent(record.attempt);
        }
    }
}

/// Finds out at which version the stream must go on that a caller's attempt `first` began.
/// `first` is `None` if the caller does not say which one it was. Returns `None` if nobody
/// knows the version.
pub(crate) async fn find_origin(
    node: &Rc<Node>,
    service: &ServiceName,
    first: Option<&str>,
) -> Option<VersionHash> {
    let Some(first) = first else {
        return only_known_version(node, service);
    };
    let attempt = AttemptHash::new(first);
    let recorded = recorded_version(node, attempt);
    if recorded.is_some() {
        return recorded;
    }
    tokio::select! {
        Some(version) = ask_holders(node, attempt) => Some(version),
        Some(version) = confirmed_only_version(node, service) => Some(version),
        else => None,
    }
}

fn recorded_version(node: &Node, attempt: AttemptHash) -> Option<VersionHash> {
    let origins = node.stream_origins.borrow();
    origins.version_of(attempt, node.store_now_ms())
}

/// Returns the version of a service if no other one is known. It decides for callers that do
/// not name the attempt: they come from deployments that run a single version, where waiting
/// for the store would only lose streams.
fn only_known_version(node: &Node, service: &ServiceName) -> Option<VersionHash> {
    let history = node.version_history.borrow();
    let only = history.only_known_version(service, &node.upstreams.borrow(), node.store_now_ms());
    only.as_ref().map(VersionHash::new)
}

/// Returns the version at which every stream of a service began that may still be taken up,
/// by the registrations that the store has now. `None` if there may be several.
async fn confirmed_only_version(node: &Rc<Node>, service: &ServiceName) -> Option<VersionHash> {
    only_version(node, service)?;
    if !freshness_check::confirm(node, Subject::Registrations).await {
        return None;
    }
    only_version(node, service)
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

/// Asks the holders of an attempt's record for the version.
async fn ask_holders(node: &Node, attempt: AttemptHash) -> Option<VersionHash> {
    let peers = Peers::new(node);
    let holders = peers.holders(attempt, HolderUse::Ask);
    if holders.is_empty() {
        return None;
    }
    let guard = QueryGuard::new(&node.origin_exchange, attempt, holders.len());
    for holder in holders {
        send(node, peers.addresses[holder], &Message::Query(attempt));
    }
    // After a time-out, the record counts as unknown.
    let _ = timeout(ANSWER_TIMEOUT, guard.query.is_decided.notified()).await;
    recorded_version(node, attempt)
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
            let version = node.stream_origins.borrow().version_of(attempt, now_ms);
            send(node, sender, &Message::Answer { attempt, version });
        }
        Message::Answer { attempt, version } => receive_answer(node, attempt, version),
        Message::HistoryQuery => {
            if let Some(observed) = node.version_history.borrow().observed() {
                send(node, sender, &Message::History(observed));
            }
        }
        Message::History(observed) => node.version_history.borrow_mut().receive(&observed),
    }
}

fn receive_answer(node: &Node, attempt: AttemptHash, version: Option<VersionHash>) {
    let is_asked = |query: &&Rc<PendingQuery>| query.attempt == attempt;
    let queries = node.origin_exchange.queries.borrow();
    for query in queries.iter().filter(is_asked) {
        if let Some(version) = version {
            let record = OriginRecord { attempt, version };
            let now_ms = node.store_now_ms();
            node.stream_origins.borrow_mut().receive(record, now_ms);
        }
        let missing_answers = query.missing_answers.get().saturating_sub(1);
        query.missing_answers.set(missing_answers);
        if version.is_some() || missing_answers == 0 {
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

/// The live peers, as holders of records.
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
        let peers = directory.live_peers(node.now_ms());
        let (holders, addresses) = peers
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
