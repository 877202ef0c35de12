//! Through which peers an instance reaches the store while it cannot itself.
//!
//! Load pattern: the store or the network turns a third of the instances away
//! for many seconds and serves the others. A caller has few tries, and all of
//! them may meet such instances, so a call that needs the store is passed on to
//! a peer that says it reaches it.

use model::InstanceId;
use rand::seq::SliceRandom;

use crate::UpstreamTable;

/// An instance reaches the store if it had an answer within this time,
/// milliseconds; at rest, feeds are answered a little more seldom.
const STORE_REACHED_MS: u64 = 3_000;
/// Peers that one call is passed on to, one after the other.
const PEERS_MAX: usize = 2;

/// Where the store can be reached if not from here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReachability {
    /// No peer reaches it, as far as known.
    Unreachable,
    /// No peer is heard, so this instance is cut off and others are better off.
    Isolated,
    /// These peers reach it, the best first.
    ViaPeers(Vec<InstanceId>),
}

impl UpstreamTable {
    /// Where the store can be reached if not from here. `has_peers` tells
    /// whether there are other instances at all.
    pub fn store_reachability(&mut self, has_peers: bool) -> StoreReachability {
        let mut is_heard = false;
        let mut peers = Vec::new();
        for notice in self.peers.notices() {
            is_heard = true;
            let age_ms = notice.store_age_ms;
            if age_ms.is_some_and(|age_ms| age_ms < STORE_REACHED_MS) {
                let is_away = notice.region != self.home.region;
                peers.push((is_away, notice.instance.clone()));
            }
        }
        if !is_heard && has_peers {
            return StoreReachability::Isolated;
        }
        if peers.is_empty() {
            return StoreReachability::Unreachable;
        }
        // The calls of all that are turned away spread over those that are not.
        peers.shuffle(&mut self.rng);
        peers.sort_by_key(|(is_away, _)| *is_away);
        peers.truncate(PEERS_MAX);
        StoreReachability::ViaPeers(peers.into_iter().map(|(_, peer)| peer).collect())
    }
}
