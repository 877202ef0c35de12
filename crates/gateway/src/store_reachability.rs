//! Which peers can relay calls to the store while this instance cannot reach
//! it.
//!
//! Load pattern: the store or the network rejects a third of the instances for
//! many seconds and serves the others. A caller retries only a few times, and
//! all of its attempts may reach rejected instances. A call that needs the
//! store is therefore relayed to a peer that reports that it reaches the store.

use model::InstanceId;
use rand::seq::SliceRandom;

use crate::UpstreamTable;

/// Maximum age of the last answer from the store for an instance to count as
/// reaching the store, milliseconds. While no table changes, the store answers
/// feed calls at about this interval.
const STORE_RECENT_MS: u64 = 3_000;
/// Maximum number of peers that one call is relayed to, one after the other.
const RELAY_PEERS_MAX: usize = 2;

/// Whether and how the store can be reached if this instance cannot reach it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReachability {
    /// No peer reports that it reaches the store.
    Unreachable,
    /// No peer sends notices, so this instance is probably isolated by a
    /// network partition and other instances may reach the store.
    Isolated,
    /// These peers reach the store, in order of preference.
    ViaPeers(Vec<InstanceId>),
}

impl UpstreamTable {
    /// Returns whether and how the store can be reached if this instance cannot
    /// reach it. `has_peers` tells whether there are other instances at all.
    pub fn store_reachability(&mut self, has_peers: bool) -> StoreReachability {
        let mut has_live_peer = false;
        let mut peers = Vec::new();
        for notice in self.peer_notices.notices() {
            has_live_peer = true;
            let age_ms = notice.store_age_ms;
            if age_ms.is_some_and(|age_ms| age_ms < STORE_RECENT_MS) {
                let is_remote = notice.region != self.locality.region;
                peers.push((is_remote, notice.instance.clone()));
            }
        }
        if !has_live_peer && has_peers {
            return StoreReachability::Isolated;
        }
        if peers.is_empty() {
            return StoreReachability::Unreachable;
        }
        // Shuffling spreads the calls of all rejected instances over the peers
        // that reach the store.
        peers.shuffle(&mut self.rng);
        peers.sort_by_key(|(is_remote, _)| *is_remote);
        peers.truncate(RELAY_PEERS_MAX);
        StoreReachability::ViaPeers(peers.into_iter().map(|(_, peer)| peer).collect())
    }
}
