//! What other instances have in flight at the upstreams.
//!
//! Each instance tells its peers how many requests it has at each upstream.
//! A notice carries the whole state, so a lost one is made good by the next.

use std::mem;

use model::{InstanceId, JobId, Region, UpstreamId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::BatchDemand;

/// A peer that was silent for this long has nothing in flight, milliseconds.
const NOTICE_LIFETIME_MS: u64 = 1_500;

/// What one instance has in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNotice {
    /// The instance.
    pub instance: InstanceId,
    /// When its process started, Unix milliseconds.
    pub started_unix_ms: u64,
    /// Number of the notice; grows.
    pub sequence: u64,
    /// Its region.
    pub region: Region,
    /// Time since it last had an answer of the store, milliseconds; absent if
    /// its last call failed.
    pub store_age_ms: Option<u64>,
    /// Jobs that the instance took over lately.
    pub job_takeovers: Vec<JobTakeover>,
    /// Batch items that wait for an upstream, most urgent first.
    pub batch_queue: Vec<BatchDemand>,
    /// Load by upstream, sorted by [`upstream_hash`]; only what is not zero.
    pub loads: Vec<UpstreamLoad>,
}

/// A job that changed its owner. An owner that cannot reach the store learns in
/// this way that the job is no longer its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTakeover {
    /// Hash of the job's id, from [`job_hash`].
    pub job: u64,
    /// Version of the record since which it has the new owner.
    pub version: u64,
}

/// Short name of a job in notices.
#[must_use]
pub fn job_hash(id: &JobId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// What one instance has in flight at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Online requests.
    pub online: u16,
    /// Batch items.
    pub batch: u16,
    /// Batch items that can be preempted.
    pub preemptible: u16,
    /// Urgency key of the least urgent of these.
    pub least_urgent_key: u64,
}

/// Short name of an upstream in notices.
#[must_use]
pub fn upstream_hash(id: &UpstreamId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// The newest notice of each peer.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Sorted by instance.
    rows: Vec<PeerRow>,
}

#[derive(Debug)]
struct PeerRow {
    notice: LoadNotice,
    received_ms: u64,
}

impl Peers {
    /// Takes a notice in, unless a newer one of the same peer is known. Returns
    /// the loads that it replaces.
    pub(crate) fn receive(&mut self, notice: LoadNotice, now_ms: u64) -> Option<Vec<UpstreamLoad>> {
        let found = self
            .rows
            .binary_search_by(|row| row.notice.instance.cmp(&notice.instance));
        let order = |notice: &LoadNotice| (notice.started_unix_ms, notice.sequence);
        let row = PeerRow {
            received_ms: now_ms,
            notice,
        };
        match found {
            Ok(index) if order(&self.rows[index].notice) < order(&row.notice) => {
                let replaced = mem::replace(&mut self.rows[index], row);
                Some(replaced.notice.loads)
            }
            Ok(_) => None,
            Err(index) => {
                self.rows.insert(index, row);
                Some(Vec::new())
            }
        }
    }

    /// Forgets peers that have been silent too long, and returns their last
    /// notices.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<LoadNotice> {
        let is_silent = |row: &mut PeerRow| row.received_ms + NOTICE_LIFETIME_MS <= now_ms;
        let silent = self.rows.extract_if(.., is_silent);
        silent.map(|row| row.notice).collect()
    }

    /// Notices of peers that are not silent.
    pub(crate) fn notices(&self) -> impl Iterator<Item = &LoadNotice> {
        self.rows.iter().map(|row| &row.notice)
    }
}

impl LoadNotice {
    /// What the instance has at an upstream.
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
