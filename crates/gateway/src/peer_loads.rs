//! What all peers together have at each upstream, kept up notice by notice.
//!
//! Load pattern: in a large fleet notices come by the hundred a second, and each
//! names few of the upstreams. Adding all of them up anew for each would take
//! time with peers times upstreams.

use model::UpstreamId;

use crate::{LoadNotice, UpstreamLoad, UpstreamTable, upstream_table::Row};

/// What is in flight at one upstream, as far as this instance knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlight {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Own online requests.
    pub own_online: u32,
    /// Own batch items.
    pub own_batch: u32,
    /// Online requests of peers.
    pub peers_online: u32,
    /// Batch items of peers.
    pub peers_batch: u32,
}

/// Sum over all peers, at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PeerLoad {
    /// Online requests.
    pub(crate) online: u32,
    /// Batch items.
    pub(crate) batch: u32,
    /// Batch items that can be preempted.
    pub(crate) preemptible: u32,
}

/// Where an upstream's row stands.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    upstream: u64,
    index: usize,
}

impl UpstreamTable {
    /// Takes in what a peer has in flight.
    pub fn receive_notice(&mut self, notice: LoadNotice, now_ms: u64) {
        if notice.instance == self.home.instance {
            return;
        }
        let loads = notice.loads.clone();
        let Some(replaced) = self.peers.receive(notice, now_ms) else {
            return;
        };
        self.change_peer_loads(&replaced, PeerLoad::remove);
        self.change_peer_loads(&loads, PeerLoad::add);
    }

    /// What is in flight at each upstream, sorted by id.
    pub fn in_flight(&self) -> impl Iterator<Item = InFlight> {
        self.rows.iter().map(|row| InFlight {
            upstream: row.entry.id.clone(),
            own_online: row.own.online.into(),
            own_batch: row.own.batch.into(),
            peers_online: row.peers.online,
            peers_batch: row.peers.batch,
        })
    }

    /// Forgets what silent peers had in flight.
    pub(crate) fn expire_peers(&mut self, now_ms: u64) {
        for notice in self.peers.expire(now_ms) {
            self.change_peer_loads(&notice.loads, PeerLoad::remove);
        }
    }

    fn change_peer_loads(
        &mut self,
        loads: &[UpstreamLoad],
        change: fn(&mut PeerLoad, &UpstreamLoad),
    ) {
        if self.positions.is_empty() {
            self.index_rows();
        }
        for load in loads {
            if let Some(row) = self.row_of(load.upstream) {
                change(&mut row.peers, load);
            }
        }
    }

    fn index_rows(&mut self) {
        let positions = self.rows.iter().enumerate().map(|(index, row)| Position {
            upstream: row.hash,
            index,
        });
        self.positions = positions.collect();
        self.positions
            .sort_unstable_by_key(|position| position.upstream);
    }

    fn row_of(&mut self, upstream: u64) -> Option<&mut Row> {
        let found = self
            .positions
            .binary_search_by_key(&upstream, |position| position.upstream);
        let index = self.positions[found.ok()?].index;
        self.rows.get_mut(index)
    }
}

impl PeerLoad {
    /// The sum over these notices.
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
