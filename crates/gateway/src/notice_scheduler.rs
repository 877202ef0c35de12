//! Which regions are told of this instance's load, and when.
//!
//! Load pattern: the load changes fifty times a second and a large fleet spans
//! regions. Instances send their work to another region only when their own is
//! full, so they need not know at once what happens there; but what comes to an
//! upstream from elsewhere must be known at once to those who are near it.

use model::Region;

use crate::{
    UpstreamTable,
    upstream_table::{Holds, Row, as_f64, round_count},
};

/// Notices that one instance may send a second.
const NOTICES_PER_S: u64 = 500;
/// Shortest time between two notices, milliseconds.
const INTERVAL_MIN_MS: u64 = 20;
/// Notices a second that one instance sends to other regions about loads that
/// are not there. The larger the fleet, the less of its work leaves a region.
const AWAY_NOTICES_PER_S: u64 = 150;
/// Longest time until another region is told, milliseconds; a third of the time
/// after which a silent peer counts as idle.
const AWAY_INTERVAL_MAX_MS: u64 = 500;

/// The peers in one region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionPeers {
    /// Region.
    pub region: Region,
    /// Number of peers.
    pub count: u64,
}

/// What each region was told last.
#[derive(Debug, Default)]
pub struct NoticeScheduler {
    /// Sorted by region.
    rows: Vec<RegionRow>,
}

#[derive(Debug)]
struct RegionRow {
    region: Region,
    told_ms: u64,
    loads: Vec<PlacedLoad>,
}

/// Own work at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PlacedLoad {
    upstream: u64,
    online: u16,
    batch: u16,
}

impl NoticeScheduler {
    /// Regions that are to be told now; they count as told. The own region is
    /// told each time.
    pub fn due_regions(
        &mut self,
        fleet: &UpstreamTable,
        regions: &[RegionPeers],
        now_ms: u64,
    ) -> Vec<Region> {
        let home = &fleet.home.region;
        let away = regions.iter().filter(|peers| peers.region != *home);
        let interval_ms = away_interval_ms(away.map(|peers| peers.count).sum());
        let names = regions.iter().map(|peers| &peers.region);
        let due = names.filter(|region| {
            let is_told_long_ago = |row: &RegionRow| now_ms >= row.told_ms + interval_ms;
            self.tell(fleet, region, now_ms, |row| {
                row.region == *home || is_told_long_ago(row)
            })
        });
        due.cloned().collect()
    }

    /// Tells a region if the load there changed or `is_due` says so.
    fn tell(
        &mut self,
        fleet: &UpstreamTable,
        region: &Region,
        now_ms: u64,
        is_due: impl Fn(&RegionRow) -> bool,
    ) -> bool {
        let told = RegionRow {
            region: region.clone(),
            told_ms: now_ms,
            loads: fleet.loads_in(region),
        };
        match self.rows.binary_search_by(|row| row.region.cmp(region)) {
            Ok(index) => {
                let row = &mut self.rows[index];
                let is_told = row.loads != told.loads || is_due(row);
                if is_told {
                    *row = told;
                }
                is_told
            }
            Err(index) => {
                self.rows.insert(index, told);
                true
            }
        }
    }
}

/// Time after `count` notices until more may be sent, milliseconds.
#[must_use]
pub fn notice_pause_ms(count: usize) -> u64 {
    (count as u64 * 1_000 / NOTICES_PER_S).max(INTERVAL_MIN_MS)
}

/// Online requests that come to an upstream, by Little's law, until other
/// regions hear of them.
pub(crate) fn unseen_from(row: &Row, holds: Holds) -> u32 {
    round_count(f64::from(row.online()) * holds.away_news_ms / holds.online_ms)
}

/// Time between notices to other regions about loads that are not there.
fn away_interval_ms(away_peers: u64) -> u64 {
    (away_peers * 1_000 / AWAY_NOTICES_PER_S).min(AWAY_INTERVAL_MAX_MS)
}

impl UpstreamTable {
    /// Online requests that an upstream of another region has and no notice has
    /// told of; in the own region news comes at once.
    pub(crate) fn unseen_online(&self, row: &Row, holds: Holds) -> u32 {
        if self.region_of(&row.entry.failure_domain) == Some(&self.home.region) {
            0
        } else {
            unseen_from(row, holds)
        }
    }

    /// How old news of loads in other regions may be, milliseconds.
    pub(crate) fn away_news_ms(&self) -> f64 {
        let notices = self.peers.notices();
        let away = notices.filter(|notice| notice.region != self.home.region);
        as_f64(away_interval_ms(away.count() as u64))
    }

    /// Own work at the upstreams of a region.
    fn loads_in(&self, region: &Region) -> Vec<PlacedLoad> {
        self.rows
            .iter()
            .filter(|row| row.own.online > 0 || row.own.batch > 0)
            .filter(|row| self.region_of(&row.entry.failure_domain) == Some(region))
            .map(|row| PlacedLoad {
                upstream: row.hash,
                online: row.own.online,
                batch: row.own.batch,
            })
            .collect()
    }
}
