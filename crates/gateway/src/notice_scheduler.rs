//! Which regions are sent a notice of this instance's load, and when.
//!
//! Load pattern: the load changes 50 times a second, and a large fleet of
//! instances spans regions. Instances send requests to another region only when
//! all upstreams in their own region are full, so they need not know the load
//! of another region at once. However, the instances in the region of an
//! upstream must know at once of requests that reach it from other regions.

use model::Region;

use crate::{
    UpstreamTable,
    upstream_table::{TimingEstimates, UpstreamRow, as_f64, round_count},
};

/// Rate limit for the notices of one instance, per second.
const NOTICES_PER_S: u64 = 500;
/// Minimum time between two notices, milliseconds.
const PAUSE_MIN_MS: u64 = 20;
/// Rate limit for the notices that one instance sends to other regions without
/// a change of its load in the receiving region, per second. The more instances
/// there are, the less often each of them is notified. That is acceptable
/// because a smaller share of their requests leaves a region.
const REMOTE_NOTICES_PER_S: u64 = 150;
/// Maximum time between two notices to another region, milliseconds. It is a
/// third of the time after which a silent peer counts as idle.
const REMOTE_INTERVAL_MAX_MS: u64 = 500;

/// Number of peers in one region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionPeers {
    /// The region.
    pub region: Region,
    /// Number of peers.
    pub count: u64,
}

/// Decides which regions are due for a notice, from the last notice that each
/// of them was sent.
#[derive(Debug, Default)]
pub struct NoticeScheduler {
    /// Sorted by region.
    rows: Vec<RegionState>,
}

/// The last notice to a region.
#[derive(Debug)]
struct RegionState {
    region: Region,
    notified_ms: u64,
    loads: Vec<OwnLoad>,
}

/// What this instance has in flight at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OwnLoad {
    upstream: u64,
    online: u16,
    batch: u16,
}

impl NoticeScheduler {
    /// Returns the regions that are due for a notice and records them as
    /// notified. The region of this instance is always due.
    pub fn due_regions(
        &mut self,
        table: &UpstreamTable,
        regions: &[RegionPeers],
        now_ms: u64,
    ) -> Vec<Region> {
        let own_region = &table.locality.region;
        let remote = regions.iter().filter(|peers| peers.region != *own_region);
        let interval_ms = remote_interval_ms(remote.map(|peers| peers.count).sum());
        let region_names = regions.iter().map(|peers| &peers.region);
        let due = region_names.filter(|region| {
            let is_interval_over = |row: &RegionState| now_ms >= row.notified_ms + interval_ms;
            self.notify_if_due(table, region, now_ms, |row| {
                row.region == *own_region || is_interval_over(row)
            })
        });
        due.cloned().collect()
    }

    /// Records a region as notified if the load of this instance in it changed
    /// or `is_due` returns true. Returns whether the region was recorded.
    fn notify_if_due(
        &mut self,
        table: &UpstreamTable,
        region: &Region,
        now_ms: u64,
        is_due: impl Fn(&RegionState) -> bool,
    ) -> bool {
        let current = RegionState {
            region: region.clone(),
            notified_ms: now_ms,
            loads: table.own_loads_in(region),
        };
        match self.rows.binary_search_by(|row| row.region.cmp(region)) {
            Ok(index) => {
                let row = &mut self.rows[index];
                let is_notified = row.loads != current.loads || is_due(row);
                if is_notified {
                    *row = current;
                }
                is_notified
            }
            Err(index) => {
                self.rows.insert(index, current);
                true
            }
        }
    }
}

/// Returns the pause after `count` notices that keeps the rate limit,
/// milliseconds.
#[must_use]
pub fn notice_pause_ms(count: usize) -> u64 {
    (count as u64 * 1_000 / NOTICES_PER_S).max(PAUSE_MIN_MS)
}

/// Returns the expected number of online requests that reach an upstream before
/// other regions are notified of them, by Little's law.
pub(crate) fn unreported_online(row: &UpstreamRow, timings: TimingEstimates) -> u32 {
    round_count(f64::from(row.online()) * timings.remote_staleness_ms / timings.online_hold_ms)
}

/// Returns the time between notices to other regions in which the load of this
/// instance does not change, milliseconds.
fn remote_interval_ms(remote_peers: u64) -> u64 {
    (remote_peers * 1_000 / REMOTE_NOTICES_PER_S).min(REMOTE_INTERVAL_MAX_MS)
}

impl UpstreamTable {
    /// Returns the expected number of online requests at an upstream of another
    /// region that no notice has reported yet. It is 0 in the region of this
    /// instance, where every change is reported at once.
    pub(crate) fn unreported_remote_online(
        &self,
        row: &UpstreamRow,
        timings: TimingEstimates,
    ) -> u32 {
        if self.region_of(&row.entry.failure_domain) == Some(&self.locality.region) {
            0
        } else {
            unreported_online(row, timings)
        }
    }

    /// Returns the maximum age of load information from other regions,
    /// milliseconds.
    pub(crate) fn remote_staleness_ms(&self) -> f64 {
        let notices = self.peer_notices.notices();
        let remote = notices.filter(|notice| notice.region != self.locality.region);
        as_f64(remote_interval_ms(remote.count() as u64))
    }

    /// Returns what this instance has in flight at the upstreams of a region.
    fn own_loads_in(&self, region: &Region) -> Vec<OwnLoad> {
        self.rows
            .iter()
            .filter(|row| row.own_load.online > 0 || row.own_load.batch > 0)
            .filter(|row| self.region_of(&row.entry.failure_domain) == Some(region))
            .map(|row| OwnLoad {
                upstream: row.hash,
                online: row.own_load.online,
                batch: row.own_load.batch,
            })
            .collect()
    }
}
