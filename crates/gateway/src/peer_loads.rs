//! Sums of the loads of all peers at each upstream, updated with every notice.
//!
//! Load pattern: in a large fleet of instances, hundreds of notices arrive per
//! second, and each of them names few upstreams. Adding up all notices again
//! for each of them would take time proportional to peers times upstreams.

use model::{InstanceId, Region, UpstreamId};

use crate::{
    LoadNotice, UpstreamLoad, UpstreamTable, peers::election_rank, upstream_row::UpstreamRow,
    upstream_table::round_ms,
};

/// Requests in flight at one upstream, as known to this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlight {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Online requests of this instance.
    pub own_online: u32,
    /// Batch items of this instance.
    pub own_batch: u32,
    /// Online requests of peers.
    pub peers_online: u32,
    /// Batch items of peers.
    pub peers_batch: u32,
}

/// Sum of the loads of all peers at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PeerLoad {
    /// Online requests.
    pub(crate) online: u32,
    /// Batch items.
    pub(crate) batch: u32,
    /// Batch items that can be preempted.
    pub(crate) preemptible: u32,
}

/// Index of an upstream's row in the table, by the hash of its id.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RowPosition {
    upstream: u64,
    index: usize,
}

impl UpstreamTable {
    /// Replaces the load of a peer by that of a newer notice. Outdated notices
    /// and notices of this instance itself are ignored. Returns whether the notice was not
    /// ignored.
    pub fn receive_notice(&mut self, notice: LoadNotice, now_ms: u64) -> bool {
        if notice.instance == self.locality.instance {
            return false;
        }
        let loads = notice.loads.clone();
        let Some(replaced) = self.peer_notices.receive(notice, now_ms) else {
            return false;
        };
        self.update_peer_loads(&replaced, PeerLoad::remove);
        self.update_peer_loads(&loads, PeerLoad::add);
        true
    }

    /// Returns the requests in flight at each upstream, sorted by upstream id.
    pub fn in_flight(&self) -> impl Iterator<Item = InFlight> {
        self.rows.iter().map(|row| InFlight {
            upstream: row.entry.id.clone(),
            own_online: row.own_load.online.into(),
            own_batch: row.own_load.batch.into(),
            peers_online: row.peer_load.online,
            peers_batch: row.peer_load.batch,
        })
    }

    /// Returns the peers that sent a notice recently, with their regions.
    pub fn heard_peers(&self) -> impl Iterator<Item = (InstanceId, Region)> {
        let notices = self.peer_notices.notices();
        notices.map(|notice| (notice.instance.clone(), notice.region.clone()))
    }

    /// Returns whether this instance is elected among itself and the peers that sent a
    /// notice recently. For each value of `election`, about one instance is elected.
    #[must_use]
    pub fn is_elected(&self, election: u64) -> bool {
        let own_rank = election_rank(&self.locality.instance, election);
        let notices = self.peer_notices.notices();
        let mut peers = notices.map(|notice| election_rank(&notice.instance, election));
        peers.all(|rank| rank < own_rank)
    }

    /// Removes peers that have been silent for too long, and their loads.
    pub(crate) fn expire_peers(&mut self, now_ms: u64) {
        let remote_interval_ms = round_ms(self.remote_staleness_ms());
        let own_region = &self.locality.region;
        let silent = self
            .peer_notices
            .expire(own_region, remote_interval_ms, now_ms);
        for notice in silent {
            self.update_peer_loads(&notice.loads, PeerLoad::remove);
        }
    }

    fn update_peer_loads(
        &mut self,
        loads: &[UpstreamLoad],
        update: fn(&mut PeerLoad, &UpstreamLoad),
    ) {
        if self.positions.is_empty() {
            self.index_rows();
        }
        for load in loads {
            if let Some(row) = self.row_by_hash(load.upstream) {
                update(&mut row.peer_load, load);
            }
        }
    }

    fn index_rows(&mut self) {
        let positions = self
            .rows
            .iter()
            .enumerate()
            .map(|(index, row)| RowPosition {
                upstream: row.hash,
                index,
            });
        self.positions = positions.collect();
        self.positions
            .sort_unstable_by_key(|position| position.upstream);
    }

    fn row_by_hash(&mut self, upstream: u64) -> Option<&mut UpstreamRow> {
        let found = self
            .positions
            .binary_search_by_key(&upstream, |position| position.upstream);
        let index = self.positions[found.ok()?].index;
        self.rows.get_mut(index)
    }
}

impl PeerLoad {
    /// Returns the sum of the loads that `notices` report for an upstream.
    pub(crate) fn new<'a>(notices: impl Iterator<Item = &'a LoadNotice>, upstream: u64) -> Self {
        let mut sum = Self::default();
        for notice in notices {
            sum.add(&notice.load(upstream));
        }
        sum
    }

    fn add(&mut self, load: &UpstreamLoad) {
        self.online += u32::from(load.online);
        self.batch += u32::from(load.batch);
        self.preemptible += u32::from(load.preemptible);
    }

    fn remove(&mut self, load: &UpstreamLoad) {
        self.online -= u32::from(load.online);
        self.batch -= u32::from(load.batch);
        self.preemptible -= u32::from(load.preemptible);
    }
}
