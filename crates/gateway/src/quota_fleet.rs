//! Which instances issue and hand out the tokens of a customer's quota.
//!
//! Load pattern: dozens of small instances each see a request of a customer now and then. An
//! instance that asked another region before each request would delay it by a round trip.
//! In each region, one instance per customer, the *delegate*, therefore holds tokens for all
//! instances there. One instance of the whole fleet, the *issuer*, issues them to the
//! delegates.

use std::cmp::Reverse;

use model::{InstanceId, Region};

use crate::peers::election_rank;

/// The instances as one of them sees them.
#[derive(Debug)]
pub struct QuotaFleet {
    own: InstanceId,
    own_region: Region,
    /// Sorted by instance, without this one.
    peers: Vec<PeerRow>,
    region_count: usize,
    is_complete: bool,
}

#[derive(Debug, PartialEq, Eq)]
struct PeerRow {
    instance: InstanceId,
    region: Region,
    is_heard: bool,
}

impl QuotaFleet {
    /// Creates the view of an instance that knows no other one. Until the registered
    /// instances are known, it may issue nothing.
    #[must_use]
    pub fn new(own: InstanceId, own_region: Region) -> Self {
        Self {
            own,
            own_region,
            peers: Vec::new(),
            region_count: 1,
            is_complete: false,
        }
    }

    /// Replaces the registered instances, and those of them that sent a notice recently.
    /// Returns whether the latter have changed.
    pub fn set_peers(
        &mut self,
        registered: impl Iterator<Item = (InstanceId, Region)>,
        heard: impl Iterator<Item = (InstanceId, Region)>,
    ) -> bool {
        let as_row = |is_heard| {
            move |(instance, region)| PeerRow {
                instance,
                region,
                is_heard,
            }
        };
        let mut peers: Vec<_> = heard.map(as_row(true)).collect();
        peers.extend(registered.map(as_row(false)));
        peers.retain(|peer| peer.instance != self.own);
        // Of two rows of an instance, the one that is heard comes first.
        peers.sort_by(|a, b| {
            (&a.instance, Reverse(a.is_heard)).cmp(&(&b.instance, Reverse(b.is_heard)))
        });
        peers.dedup_by(|later, first| later.instance == first.instance);
        let mut regions: Vec<_> = peers.iter().map(|peer| &peer.region).collect();
        regions.push(&self.own_region);
        regions.sort_unstable();
        regions.dedup();
        self.region_count = regions.len();
        self.is_complete = true;
        let is_changed = self.peers != peers;
        self.peers = peers;
        is_changed
    }

    /// Returns the share of the registered instances that are heard, this one included. The
    /// others may have an issuer of their own.
    pub(crate) fn heard_share(&self) -> f64 {
        if !self.is_complete {
            return 0.0;
        }
        let heard = 1 + self.heard().count();
        ratio(heard, 1 + self.peers.len())
    }

    /// Returns the number of regions with instances.
    pub(crate) fn region_count(&self) -> usize {
        self.region_count
    }

    /// Returns whether this instance issues the tokens of a customer.
    pub(crate) fn is_issuer(&self, customer: u64) -> bool {
        self.issuer(customer) == &self.own
    }

    /// Returns the instance that issues the tokens of a customer.
    pub(crate) fn issuer(&self, customer: u64) -> &InstanceId {
        let heard = self.heard().map(|peer| &peer.instance);
        let candidates = heard.chain([&self.own]);
        candidates
            .max_by_key(|instance| election_rank(instance, customer))
            .unwrap_or(&self.own)
    }

    /// Returns the delegates of a customer in the region of this instance, the first
    /// choice first, up to this instance itself.
    pub(crate) fn delegates(&self, customer: u64) -> Vec<&InstanceId> {
        let own_rank = election_rank(&self.own, customer);
        let in_region = self.heard().filter(|peer| peer.region == self.own_region);
        let mut ranked: Vec<_> = in_region
            .map(|peer| (election_rank(&peer.instance, customer), &peer.instance))
            .filter(|(rank, _)| *rank > own_rank)
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        ranked.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Returns the part of a reserve of `total` requests that falls to this instance, by its
    /// rank among the registered instances of its region: the first has half of what falls
    /// to the region, the next a quarter, and so on. All parts together are at most `total`.
    pub(crate) fn reserve(&self, customer: u64, total: u64) -> u64 {
        if !self.is_complete {
            return 0;
        }
        let own_rank = election_rank(&self.own, customer);
        let in_region = self
            .peers
            .iter()
            .filter(|peer| peer.region == self.own_region);
        let before = in_region
            .filter(|peer| election_rank(&peer.instance, customer) > own_rank)
            .count();
        let of_region = total / self.region_count as u64;
        let halvings = u32::try_from(before + 1).unwrap_or(u32::MAX);
        of_region.checked_shr(halvings).unwrap_or(0)
    }

    fn heard(&self) -> impl Iterator<Item = &PeerRow> {
        self.peers.iter().filter(|peer| peer.is_heard)
    }
}

#[expect(clippy::cast_precision_loss, reason = "there are few instances")]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}
