//! The peers of an instance, as those that may hold records of streams or know more of the
//! registrations.

use std::net::SocketAddr;

use gateway::{
    AttemptHash, HolderUse, OriginRecord, RecordHolder, StoreReachability, record_holders,
};
use model::{InstanceId, Region};
use rand::seq::IndexedRandom;

use crate::{
    node::Node,
    origin_exchange::{self, Message},
};

/// Time from the start of the process until the heartbeats of peers that started together
/// with it have been read, milliseconds.
const PEERS_SETTLED_MS: u64 = 3_000;
/// Number of peers that are asked for their history at a time.
const HISTORY_PEERS: usize = 2;
/// Number of peers that are asked for a confirmation beside those that are known to reach the
/// store.
const CONFIRMATION_PEERS: usize = 3;
/// Maximum number of records in a datagram.
const RECORDS_PER_DATAGRAM: usize = 48;

/// All known peers. One without a valid lease may be alive: it, or this instance, may be out
/// of touch with the store.
#[derive(Debug)]
pub(crate) struct Peers {
    own_region: Region,
    /// Whether this instance has had the time to read the heartbeats of all peers that
    /// started with it. Until then, records are sent again.
    are_settled: bool,
    holders: Vec<RecordHolder>,
    /// Addresses of the exchange, in the order of `holders`.
    addresses: Vec<SocketAddr>,
}

impl Peers {
    pub(crate) fn new(node: &Node) -> Self {
        let directory = node.directory.borrow();
        let now_ms = node.now_ms();
        // No lease is renewed without the store.
        let knows_leases = !node.store_health.is_unreachable();
        let (holders, addresses) = directory
            .peers_with_leases(now_ms)
            .map(|(heartbeat, has_lease)| {
                let holder = RecordHolder {
                    instance: heartbeat.owner.instance.clone(),
                    region: Region::new(&heartbeat.region),
                    has_lease: knows_leases && has_lease,
                };
                (holder, exchange_address(heartbeat.peer_address))
            })
            .unzip();
        Self {
            own_region: node.settings().region.clone(),
            are_settled: now_ms >= PEERS_SETTLED_MS,
            holders,
            addresses,
        }
    }

    /// Sends records of this instance's streams to their holders.
    pub(crate) fn send_records(&self, node: &Node, records: &[OriginRecord]) {
        let mut batches: Vec<(usize, Vec<OriginRecord>)> = Vec::new();
        for record in records {
            for holder in self.holders(record.attempt, HolderUse::Send) {
                match batches.binary_search_by_key(&holder, |(index, _)| *index) {
                    Ok(position) => batches[position].1.push(*record),
                    Err(position) => batches.insert(position, (holder, vec![*record])),
                }
            }
        }
        for (holder, batch) in batches {
            for records in batch.chunks(RECORDS_PER_DATAGRAM) {
                let message = Message::Records(records.to_vec());
                origin_exchange::send(node, self.addresses[holder], &message);
            }
        }
        if self.are_settled {
            let mut origins = node.stream_origins.borrow_mut();
            for record in records {
                origins.record_sent(record.attempt);
            }
        }
    }

    /// Returns the addresses of the possible holders of a record.
    pub(crate) fn holders_to_ask(&self, attempt: AttemptHash) -> Vec<SocketAddr> {
        let holders = self.holders(attempt, HolderUse::Ask).into_iter();
        holders.map(|holder| self.addresses[holder]).collect()
    }

    /// Returns the addresses of peers that reach the store, as far as that is known, and of
    /// some others.
    pub(crate) fn addresses_in_touch(&self, node: &Node) -> Vec<SocketAddr> {
        let has_peers = !self.holders.is_empty();
        let reachability = node.upstreams.borrow_mut().store_reachability(has_peers);
        let in_touch = match reachability {
            StoreReachability::ViaPeers(peers) => peers,
            StoreReachability::Unreachable | StoreReachability::Isolated => Vec::new(),
        };
        let known = in_touch.iter().filter_map(|peer| self.address_of(peer));
        let others = self
            .addresses
            .sample(&mut rand::rng(), CONFIRMATION_PEERS)
            .copied();
        let mut addresses: Vec<_> = known.chain(others).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the addresses of the peers that are asked for their history next.
    pub(crate) fn sample_for_history(&self) -> Vec<SocketAddr> {
        let sample = self.addresses.sample(&mut rand::rng(), HISTORY_PEERS);
        sample.copied().collect()
    }

    fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let mut holders = self.holders.iter();
        let index = holders.position(|holder| holder.instance == *instance)?;
        Some(self.addresses[index])
    }

    fn holders(&self, attempt: AttemptHash, holder_use: HolderUse) -> Vec<usize> {
        record_holders(attempt, &self.holders, &self.own_region, holder_use)
    }
}

/// Returns the address of an instance's exchange, one port above that of its load notices.
pub(crate) fn exchange_address(notices: SocketAddr) -> SocketAddr {
    SocketAddr::new(notices.ip(), notices.port() + 1)
}
