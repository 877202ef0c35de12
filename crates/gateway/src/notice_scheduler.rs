//! Which peers are sent a notice of this instance's load, and when.
//!
//! Load pattern: the load changes 50 times a second, and a large fleet of
//! instances spans regions. Instances send requests to another region only when
//! all upstreams in their own region are full, so they need not know the load
//! of another region at once. However, the instances in the region of an
//! upstream must know at once of requests that reach it from other regions.
//! If there are many peers in other regions, they are notified in turn, a few
//! with each notice to the own region, so that they do not delay what the own
//! region needs.

use model::Region;

use crate::{
    UpstreamTable,
    service_timings::TimingEstimates,
    upstream_row::UpstreamRow,
    upstream_table::{as_f64, round_count},
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
/// Maximum time between two notices to each peer of another region for which all of
/// these peers are notified together, milliseconds.
const REMOTE_INTERVAL_TOGETHER_MS: u64 = 500;
/// Maximum number of notices to other regions in a row, which fall due while
/// this instance sends nothing.
const REMOTE_BURST: u64 = 50;

/// Decides which peers are due for a notice, from the last notices that were
/// sent.
#[derive(Debug, Default)]
pub struct NoticeScheduler {
    /// Sorted by region.
    rows: Vec<RegionState>,
    /// Position among the peers of other regions at which the next turn begins.
    next_remote: usize,
    /// Time up to which the peers of other regions have been sent their notices.
    remote_notified_ms: u64,
}

/// What a region was last told of this instance's load in it.
#[derive(Debug)]
struct RegionState {
    region: Region,
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
    /// Returns the indices of the peers that are due for a notice and records them
    /// as notified. `peer_regions` has the region of each peer, in an order that
    /// changes little. Due are the peers in the region of this instance, those in
    /// regions in which its load has changed, and some of the others in turn.
    pub fn due_peers(
        &mut self,
        table: &UpstreamTable,
        peer_regions: &[Region],
        now_ms: u64,
    ) -> Vec<usize> {
        let own_region = &table.locality.region;
        let changed = self.record_changed_regions(table, peer_regions);
        let is_always_due =
            |region: &Region| region == own_region || changed.binary_search(region).is_ok();
        let (mut due, others): (Vec<_>, Vec<_>) = peer_regions
            .iter()
            .enumerate()
            .partition(|(_, region)| is_always_due(region));
        let remote_count = self.take_remote_turn(others.len(), now_ms);
        let first = self.next_remote;
        let in_turn = others.iter().cycle().skip(first % others.len().max(1));
        due.extend(in_turn.take(remote_count));
        self.next_remote = (first + remote_count) % others.len().max(1);
        due.into_iter().map(|(index, _)| index).collect()
    }

    /// Returns the regions in which the load of this instance differs from what they
    /// were last told, sorted, and records that they are told now.
    fn record_changed_regions(
        &mut self,
        table: &UpstreamTable,
        peer_regions: &[Region],
    ) -> Vec<Region> {
        let mut regions = peer_regions.to_vec();
        regions.sort_unstable();
        regions.dedup();
        regions.retain(|region| self.record_if_changed(table, region));
        regions
    }

    fn record_if_changed(&mut self, table: &UpstreamTable, region: &Region) -> bool {
        let loads = table.own_loads_in(region);
        match self.rows.binary_search_by(|row| row.region.cmp(region)) {
            Ok(index) => {
                let is_changed = self.rows[index].loads != loads;
                self.rows[index].loads = loads;
                is_changed
            }
            Err(index) => {
                let region = region.clone();
                self.rows.insert(index, RegionState { region, loads });
                true
            }
        }
    }

    /// Returns how many of `count` peers of other regions are notified now. Few peers are
    /// notified together, so that they know the same; many are notified in turn.
    fn take_remote_turn(&mut self, count: usize, now_ms: u64) -> usize {
        let interval_ms = remote_interval_ms(count as u64);
        let since_ms = self.remote_notified_ms;
        if interval_ms <= REMOTE_INTERVAL_TOGETHER_MS {
            let is_due = now_ms >= since_ms + interval_ms;
            if is_due {
                self.remote_notified_ms = now_ms;
            }
            return if is_due { count } else { 0 };
        }
        let oldest_ms = now_ms.saturating_sub(REMOTE_BURST * 1_000 / REMOTE_NOTICES_PER_S);
        let since_ms = since_ms.max(oldest_ms);
        let due =
            (now_ms.saturating_sub(since_ms) * REMOTE_NOTICES_PER_S / 1_000).min(count as u64);
        // Fractions of a notice stay due.
        self.remote_notified_ms = since_ms + due * 1_000 / REMOTE_NOTICES_PER_S;
        usize::try_from(due).unwrap_or(count)
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

/// Returns the time in which each of `remote_peers` is notified once, milliseconds.
fn remote_interval_ms(remote_peers: u64) -> u64 {
    remote_peers * 1_000 / REMOTE_NOTICES_PER_S
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
        if self.is_in_own_region(row) {
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

    /// Returns the mean age of load information from the region of this instance,
    /// milliseconds, at the times when it matters: while upstreams are short, requests go to
    /// all regions, so that each instance notifies all others of every change. With
    /// few instances, changes are further apart than notices and are reported at once.
    pub(crate) fn own_region_age_ms(&self) -> f64 {
        let pause_ms = notice_pause_ms(self.peer_notices.notices().count());
        as_f64(pause_ms - PAUSE_MIN_MS) / 2.0
    }

    /// Returns whether an upstream is in the region of this instance.
    pub(crate) fn is_in_own_region(&self, row: &UpstreamRow) -> bool {
        self.region_of(&row.entry.failure_domain) == Some(&self.locality.region)
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
