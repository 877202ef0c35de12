//! Load of the other instances, from the notices that they send.
//!
//! Each instance notifies its peers how many requests it has in flight at each
//! upstream. Every notice carries the complete state, so that the next notice
//! makes up for a lost one.

use std::mem;

use model::{InstanceId, JobId, Region, UpstreamId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{BatchDemand, proxies::ProxyState};

/// Time after which a silent peer counts as having nothing in flight,
/// milliseconds. It is three times the maximum time between two notices.
const NOTICE_LIFETIME_MS: u64 = 1_500;
/// The same for a peer of another region, as a multiple of the time in which
/// each of these peers sends a notice.
const REMOTE_LIFETIME_INTERVALS: u64 = 3;

/// Notice of what one instance has in flight, sent to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNotice {
    /// The instance that sent the notice.
    pub instance: InstanceId,
    /// When the process of the instance started, Unix milliseconds.
    pub started_unix_ms: u64,
    /// Sequence number of the notice, which increases with every notice of a
    /// process.
    pub sequence: u64,
    /// Region of the instance.
    pub region: Region,
    /// Time since the instance last received an answer from the store,
    /// milliseconds. `None` if its last call failed.
    pub store_age_ms: Option<u64>,
    /// Jobs that the instance recently took over from other owners.
    pub job_takeovers: Vec<JobTakeover>,
    /// Batch items of the instance that wait for a slot, most urgent first.
    pub batch_queue: Vec<BatchDemand>,
    /// Load at each upstream, sorted by [`upstream_hash`]. Upstreams without
    /// load are left out.
    pub loads: Vec<UpstreamLoad>,
}

/// A job that changed its owner. Its version acts as a fencing token: a previous
/// owner that cannot reach the store learns from it that the job is no longer
/// its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTakeover {
    /// Hash of the job id, from [`job_hash`].
    pub job: u64,
    /// Version of the job record that names the new owner.
    pub version: u64,
}

/// Returns the hash that identifies a job in notices.
#[must_use]
pub fn job_hash(id: &JobId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Load of one instance at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Hash of the upstream id, from [`upstream_hash`].
    pub upstream: u64,
    /// Online requests.
    pub online: u16,
    /// Batch items.
    pub batch: u16,
    /// Batch items that can be preempted.
    pub preemptible: u16,
    /// Urgency key of the least urgent preemptible item.
    pub least_urgent_key: u64,
}

/// Returns the hash that identifies an upstream in notices.
#[must_use]
pub fn upstream_hash(id: &UpstreamId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Returns the hash that identifies one incarnation of an upstream in notices.
#[must_use]
pub(crate) fn incarnation_hash(upstream: &UpstreamId, started_unix_ms: u64) -> u64 {
    let id = upstream_hash(upstream).to_le_bytes();
    xxh3_64(&[id, started_unix_ms.to_le_bytes()].concat())
}

/// Returns the rank of an instance in an election, by rendezvous hashing. The highest one is
/// elected.
pub(crate) fn election_rank(instance: &InstanceId, election: u64) -> u64 {
    xxh3_64(&[instance.as_str().as_bytes(), &election.to_le_bytes()].concat())
}

/// The newest notices of all peers.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerNotices {
    /// Sorted by instance.
    rows: Vec<PeerRow>,
}

/// The newest notice of one peer.
#[derive(Debug, Clone)]
struct PeerRow {
    notice: LoadNotice,
    received_ms: u64,
    proxy: ProxyState,
}

impl PeerNotices {
    /// Stores a notice and returns the loads of the notice that it replaces.
    /// Returns `None` and ignores the notice if it is not newer than the stored
    /// one of the same peer.
    pub(crate) fn receive(&mut self, notice: LoadNotice, now_ms: u64) -> Option<Vec<UpstreamLoad>> {
        let found = self
            .rows
            .binary_search_by(|row| row.notice.instance.cmp(&notice.instance));
        // A later incarnation may have an earlier start if the time of day jumped back.
        let is_newer = |old: &LoadNotice| {
            old.started_unix_ms != notice.started_unix_ms || old.sequence < notice.sequence
        };
        let is_accepted = found.is_ok_and(|index| is_newer(&self.rows[index].notice));
        match found {
            Ok(index) if is_accepted => {
                let row = &mut self.rows[index];
                row.received_ms = now_ms;
                let replaced = mem::replace(&mut row.notice, notice);
                Some(replaced.loads)
            }
            Ok(_) => None,
            Err(index) => {
                let row = PeerRow {
                    received_ms: now_ms,
                    notice,
                    proxy: ProxyState::default(),
                };
                self.rows.insert(index, row);
                Some(Vec::new())
            }
        }
    }

    /// Removes peers that have been silent for too long, and returns their last
    /// notices. Peers outside `own_region` are notified every `remote_interval_ms`.
    pub(crate) fn expire(
        &mut self,
        own_region: &Region,
        remote_interval_ms: u64,
        now_ms: u64,
    ) -> Vec<LoadNotice> {
        let remote_lifetime_ms =
            NOTICE_LIFETIME_MS.max(remote_interval_ms * REMOTE_LIFETIME_INTERVALS);
        let is_silent = |row: &mut PeerRow| {
            let lifetime_ms = if row.notice.region == *own_region {
                NOTICE_LIFETIME_MS
            } else {
                remote_lifetime_ms
            };
            row.received_ms + lifetime_ms <= now_ms
        };
        let silent = self.rows.extract_if(.., is_silent);
        silent.map(|row| row.notice).collect()
    }

    /// Returns the newest notice of each peer, with what is known of it as a proxy.
    pub(crate) fn proxies(&self) -> impl Iterator<Item = (&LoadNotice, &ProxyState)> {
        self.rows.iter().map(|row| (&row.notice, &row.proxy))
    }

    /// Returns what is known of a peer as a proxy, if it sent a notice recently.
    pub(crate) fn proxy_mut(&mut self, instance: &InstanceId) -> Option<&mut ProxyState> {
        let found = self
            .rows
            .binary_search_by(|row| row.notice.instance.cmp(instance));
        Some(&mut self.rows[found.ok()?].proxy)
    }

    /// Returns the newest notice of each peer.
    pub(crate) fn notices(&self) -> impl Iterator<Item = &LoadNotice> {
        self.rows.iter().map(|row| &row.notice)
    }
}

impl LoadNotice {
    /// Returns the load of the instance at the upstream with this hash.
    #[must_use]
    pub fn load(&self, upstream: u64) -> UpstreamLoad {
        self.loads
            .binary_search_by_key(&upstream, |load| load.upstream)
            .map_or_else(
                |_| UpstreamLoad {
                    upstream,
                    ..UpstreamLoad::default()
                },
                |index| self.loads[index],
            )
    }
}
