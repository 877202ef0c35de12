//! Which instances live, which jobs are stored and whose they are.
//!
//! Every instance follows the same tables, so all of them see an orphaned job
//! and agree on the order in which they try to take it over.

use std::{net::SocketAddr, sync::Arc};

use model::{InstanceId, JobId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::record::{JobRecord, OwnerId};

/// Heartbeats that an instance may miss before its jobs are taken over.
const MISSED_BEATS_MAX: u64 = 3;
/// How much later than planned a heartbeat may be seen, milliseconds.
const BEAT_SLACK_MS: u64 = 500;
/// Time between the tries of two instances to take over a job, milliseconds.
const TAKEOVER_STEP_MS: u64 = 500;
/// News of an owner may come this much later than news of its jobs,
/// milliseconds.
const OWNER_NEWS_MS: u64 = 1_000;
/// Lifetimes of a lease after which a silent instance is forgotten.
const FORGET_LEASES: u64 = 10;

/// Heartbeat row of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The instance's present incarnation.
    pub owner: OwnerId,
    /// Where it receives load notices.
    pub peer_address: SocketAddr,
    /// Where callers reach it; absent in rows of instances that do not say so.
    #[serde(default)]
    pub callers_address: Option<SocketAddr>,
    /// Its region.
    pub region: Arc<str>,
    /// Time to its next heartbeat, milliseconds.
    pub interval_ms: u64,
    /// Whether it is stopping and takes over nothing.
    pub is_stopping: bool,
}

/// A job as the store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredJob {
    /// Id.
    pub id: JobId,
    /// Its record.
    pub record: Arc<JobRecord>,
    /// Version of the record.
    pub version: u64,
}

/// Tables of instances and jobs.
#[derive(Debug)]
pub struct Directory {
    me: OwnerId,
    /// Sorted by instance.
    nodes: Vec<NodeRow>,
    /// Sorted by id.
    jobs: Vec<JobRow>,
}

#[derive(Debug)]
struct NodeRow {
    beat: Heartbeat,
    version: u64,
    seen_ms: u64,
}

#[derive(Debug)]
struct JobRow {
    job: StoredJob,
    orphaned_at_ms: Option<u64>,
}

impl Directory {
    /// Empty tables, seen by `me`.
    #[must_use]
    pub fn new(me: OwnerId) -> Self {
        Self {
            me,
            nodes: Vec::new(),
            jobs: Vec::new(),
        }
    }

    /// Takes in a heartbeat.
    pub fn record_heartbeat(&mut self, beat: Heartbeat, version: u64, now_ms: u64) {
        let row = NodeRow {
            beat,
            version,
            seen_ms: now_ms,
        };
        match self.find_node(&row.beat.owner.instance) {
            Ok(index) if self.nodes[index].version < version => self.nodes[index] = row,
            Ok(_) => {}
            Err(index) => self.nodes.insert(index, row),
        }
    }

    /// Takes in that an instance took its row back.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        if let Ok(index) = self.find_node(instance) {
            self.nodes.remove(index);
        }
    }

    /// Counts every lease from now on: heartbeats could not be seen before.
    pub fn renew_leases(&mut self, now_ms: u64) {
        for node in &mut self.nodes {
            node.seen_ms = now_ms;
        }
    }

    /// Takes in the record of a job. Returns whether it is news.
    pub fn record_job(&mut self, job: StoredJob) -> bool {
        let row = JobRow {
            job,
            orphaned_at_ms: None,
        };
        match self.find_job(&row.job.id) {
            Ok(index) if self.jobs[index].job.version < row.job.version => {
                self.jobs[index] = row;
                true
            }
            Ok(_) => false,
            Err(index) => {
                self.jobs.insert(index, row);
                true
            }
        }
    }

    /// Takes in that a job's record was removed.
    pub fn remove_job(&mut self, id: &JobId) {
        if let Ok(index) = self.find_job(id) {
            self.jobs.remove(index);
        }
    }

    /// A job.
    #[must_use]
    pub fn job(&self, id: &JobId) -> Option<&StoredJob> {
        let index = self.find_job(id).ok()?;
        Some(&self.jobs[index].job)
    }

    /// All jobs, sorted by id.
    pub fn jobs(&self) -> impl Iterator<Item = &StoredJob> {
        self.jobs.iter().map(|row| &row.job)
    }

    /// Heartbeats of the other instances whose lease runs.
    pub fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = &Heartbeat> {
        let live = self.nodes.iter().filter(move |node| node.is_live(now_ms));
        live.map(|node| &node.beat)
            .filter(|beat| beat.owner.instance != self.me.instance)
    }

    /// Heartbeats of the other instances, whether or not their leases run.
    pub fn peers(&self) -> impl Iterator<Item = &Heartbeat> {
        self.nodes
            .iter()
            .map(|node| &node.beat)
            .filter(|beat| beat.owner.instance != self.me.instance)
    }

    /// Where callers reach an instance, whether or not its lease runs.
    #[must_use]
    pub fn callers_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.beat_of(instance)?.callers_address
    }

    /// Where an instance receives load notices, whether or not its lease runs.
    #[must_use]
    pub fn peer_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        Some(self.beat_of(instance)?.peer_address)
    }

    /// Instances that have been silent for so long that their rows can be
    /// removed, with the versions of the rows.
    #[must_use]
    pub fn expired_instances(&self, now_ms: u64) -> Vec<(InstanceId, u64)> {
        self.nodes
            .iter()
            .filter(|node| now_ms > node.seen_ms + node.lease_ms() * FORGET_LEASES)
            .map(|node| (node.beat.owner.instance.clone(), node.version))
            .collect()
    }

    /// Whether this instance is the first in the order of those that look after
    /// a job without an owner.
    #[must_use]
    pub fn is_first_candidate(&self, id: &JobId, now_ms: u64) -> bool {
        self.rank(id, now_ms) == 0
    }

    /// Open jobs that this instance should try to take over now.
    pub fn due_takeovers(&mut self, now_ms: u64) -> Vec<JobId> {
        for index in 0..self.jobs.len() {
            let grace_ms = self.orphan_grace_ms(&self.jobs[index].job.record, now_ms);
            let row = &mut self.jobs[index];
            row.orphaned_at_ms = match (grace_ms, row.orphaned_at_ms) {
                (Some(_), Some(since_ms)) => Some(since_ms),
                (Some(grace_ms), None) => Some(now_ms + grace_ms),
                (None, _) => None,
            };
        }
        self.jobs
            .iter()
            .filter(|row| {
                let rank = || self.rank(&row.job.id, now_ms);
                row.orphaned_at_ms
                    .is_some_and(|since_ms| now_ms >= since_ms + rank() * TAKEOVER_STEP_MS)
            })
            .map(|row| row.job.id.clone())
            .collect()
    }

    /// Whether a job has no live owner; if so, how long to wait for news that
    /// it has one after all.
    fn orphan_grace_ms(&self, record: &JobRecord, now_ms: u64) -> Option<u64> {
        if !record.is_open() {
            return None;
        }
        let Some(owner) = &record.owner else {
            return Some(0);
        };
        if *owner == self.me {
            return None;
        }
        if owner.instance == self.me.instance {
            return Some(0);
        }
        match self.find_node(&owner.instance) {
            Ok(index) if self.nodes[index].beat.owner == *owner => {
                (!self.nodes[index].is_live(now_ms)).then_some(0)
            }
            // A later incarnation is there, so this one has ended.
            Ok(index) if self.nodes[index].beat.owner > *owner => Some(0),
            Ok(_) | Err(_) => Some(OWNER_NEWS_MS),
        }
    }

    /// Number of live instances that come before this one for a job.
    fn rank(&self, id: &JobId, now_ms: u64) -> u64 {
        let own_weight = weight(id, &self.me.instance);
        let before = self
            .live_peers(now_ms)
            .filter(|beat| !beat.is_stopping && weight(id, &beat.owner.instance) > own_weight);
        before.count() as u64
    }

    fn beat_of(&self, instance: &InstanceId) -> Option<&Heartbeat> {
        let index = self.find_node(instance).ok()?;
        Some(&self.nodes[index].beat)
    }

    fn find_node(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.nodes
            .binary_search_by(|node| node.beat.owner.instance.cmp(instance))
    }

    fn find_job(&self, id: &JobId) -> Result<usize, usize> {
        self.jobs.binary_search_by(|row| row.job.id.cmp(id))
    }
}

impl NodeRow {
    fn lease_ms(&self) -> u64 {
        self.beat.interval_ms * MISSED_BEATS_MAX + BEAT_SLACK_MS
    }

    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.seen_ms + self.lease_ms()
    }
}

/// Rendezvous weight of an instance for a job.
fn weight(id: &JobId, instance: &InstanceId) -> u64 {
    xxh3_64(format!("{id}/{instance}").as_bytes())
}
