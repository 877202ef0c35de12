//! Local copy of the tables of instances and jobs, and the takeover of orphaned
//! jobs.
//!
//! Every instance follows the same tables. All of them therefore see an orphaned
//! job and agree on the order in which they try to take it over, which is given
//! by rendezvous hashing.

use std::{net::SocketAddr, sync::Arc};

use model::{InstanceId, JobId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    record::{JobRecord, OwnerId},
    waiting_tokens::WaitingTokens,
};

/// Number of heartbeats that an instance may miss before its lease expires and
/// its jobs are taken over.
const MISSED_HEARTBEATS_MAX: u64 = 3;
/// How much later than scheduled a heartbeat may be seen, in milliseconds.
const HEARTBEAT_SLACK_MS: u64 = 500;
/// Delay between the takeover attempts of two successive instances for the same
/// job, in milliseconds.
const TAKEOVER_STAGGER_MS: u64 = 500;
/// How much later than the record of a job the heartbeat of its owner may be
/// seen, in milliseconds.
const UNKNOWN_OWNER_GRACE_MS: u64 = 1_000;
/// Number of lease durations without a heartbeat after which the row of an
/// instance can be removed.
const EXPIRY_LEASES: u64 = 10;

/// Maximum time between two heartbeats for which a row is believed, milliseconds. It is far
/// longer than that of the largest fleet.
const INTERVAL_MAX_MS: u64 = 600_000;
/// Number of ports that an instance uses above that of its load notices.
const PORTS_ABOVE_NOTICES: u16 = 15;

/// Heartbeat row of an instance, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Current incarnation of the instance.
    pub owner: OwnerId,
    /// Address on which the instance receives load notices from its peers.
    pub peer_address: SocketAddr,
    /// Address on which callers reach the instance; absent in rows written by
    /// earlier versions of the program.
    #[serde(default)]
    pub callers_address: Option<SocketAddr>,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Time until the next heartbeat, in milliseconds.
    pub interval_ms: u64,
    /// Whether the instance is stopping and takes over no more jobs.
    pub is_stopping: bool,
}

impl Heartbeat {
    /// Returns whether an instance of ours can have written the row. Another one could name an
    /// address or a time with which no peer can work.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let port = self.peer_address.port();
        (1..=INTERVAL_MAX_MS).contains(&self.interval_ms)
            && (1..=u16::MAX - PORTS_ABOVE_NOTICES).contains(&port)
    }
}

/// A job as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredJob {
    /// Id of the job.
    pub id: JobId,
    /// Record of the job.
    pub record: Arc<JobRecord>,
    /// Version of the record.
    pub version: u64,
}

/// Local copy of the tables of instances and jobs.
#[derive(Debug)]
pub struct Directory {
    local: OwnerId,
    /// Sorted by instance id.
    instances: Vec<InstanceRow>,
    /// Sorted by job id.
    jobs: Vec<JobRow>,
    /// Version of the store up to which all changes of jobs are known.
    known_version: u64,
    /// Waiting tokens of `jobs`.
    pub(crate) waiting: WaitingTokens,
}

#[derive(Debug)]
struct InstanceRow {
    heartbeat: Heartbeat,
    version: u64,
    seen_at_ms: u64,
}

#[derive(Debug)]
struct JobRow {
    job: StoredJob,
    /// Time from which the job counts as orphaned: a grace period after the local
    /// instance noticed that it has no live owner. `None` if the job needs no
    /// takeover.
    orphaned_at_ms: Option<u64>,
}

impl Directory {
    /// Creates empty tables for the local instance `local`.
    #[must_use]
    pub fn new(local: OwnerId) -> Self {
        Self {
            local,
            instances: Vec::new(),
            jobs: Vec::new(),
            known_version: 0,
            waiting: WaitingTokens::default(),
        }
    }

    /// Records a heartbeat. Rows that are no newer than the known one are ignored.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, version: u64, now_ms: u64) {
        let row = InstanceRow {
            heartbeat,
            version,
            seen_at_ms: now_ms,
        };
        match self.find_instance(&row.heartbeat.owner.instance) {
            Ok(index) if self.instances[index].version < version => self.instances[index] = row,
            Ok(_) => {}
            Err(index) => self.instances.insert(index, row),
        }
    }

    /// Removes an instance whose row was removed from the store.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        if let Ok(index) = self.find_instance(instance) {
            self.instances.remove(index);
        }
    }

    /// Restarts every lease at `now_ms`. To be called after an outage of the store,
    /// during which no heartbeat could be seen.
    pub fn renew_leases(&mut self, now_ms: u64) {
        for row in &mut self.instances {
            row.seen_at_ms = now_ms;
        }
    }

    /// Returns the version of the store up to which all changes of jobs are known.
    #[must_use]
    pub fn known_version(&self) -> u64 {
        self.known_version
    }

    /// Records that all changes of jobs up to a version of the store have been recorded.
    pub fn record_known_version(&mut self, version: u64) {
        self.known_version = self.known_version.max(version);
    }

    /// Records a stored job. Returns whether it is new or newer than the known version.
    ///
    /// The state may be outdated, because it comes from any answer of the store. A job that is
    /// not in the table although all changes up to its version are known has been removed
    /// since.
    pub fn record_job(&mut self, job: StoredJob, now_ms: u64) -> bool {
        let row = JobRow {
            job,
            orphaned_at_ms: None,
        };
        match self.find_job(&row.job.id) {
            Ok(index) if self.jobs[index].job.version < row.job.version => {
                let old = &self.jobs[index].job;
                self.waiting.replace(Some(old), Some(&row.job), now_ms);
                self.jobs[index] = row;
                true
            }
            Ok(_) => false,
            Err(_) if row.job.version <= self.known_version => false,
            Err(index) => {
                self.waiting.replace(None, Some(&row.job), now_ms);
                self.jobs.insert(index, row);
                true
            }
        }
    }

    /// Removes a job whose record with `version`, or one before it, was the last one before it
    /// was removed from the store. A job that was stored again since is kept. Returns whether
    /// the job was removed.
    pub fn remove_job(&mut self, id: &JobId, version: u64, now_ms: u64) -> bool {
        let Ok(index) = self.find_job(id) else {
            return false;
        };
        if self.jobs[index].job.version > version {
            return false;
        }
        let removed = self.jobs.remove(index).job;
        self.waiting.replace(Some(&removed), None, now_ms);
        true
    }

    /// Removes the jobs that are not in `stored`, the sorted ids of all jobs in the store
    /// when its version was `version` or later. Jobs with a higher version are kept. Returns
    /// the ids of the removed jobs.
    pub fn retain_stored_jobs(
        &mut self,
        stored: &[JobId],
        version: u64,
        now_ms: u64,
    ) -> Vec<JobId> {
        let is_gone =
            |job: &StoredJob| job.version <= version && stored.binary_search(&job.id).is_err();
        let gone: Vec<_> = self
            .jobs()
            .filter(|job| is_gone(job))
            .map(|job| job.id.clone())
            .collect();
        for id in &gone {
            self.remove_job(id, version, now_ms);
        }
        gone
    }

    /// Returns a job by its id.
    #[must_use]
    pub fn job(&self, id: &JobId) -> Option<&StoredJob> {
        let index = self.find_job(id).ok()?;
        Some(&self.jobs[index].job)
    }

    /// Returns all jobs, sorted by id.
    pub fn jobs(&self) -> impl Iterator<Item = &StoredJob> {
        self.jobs.iter().map(|row| &row.job)
    }

    /// Returns the heartbeats of the other instances that hold a valid lease.
    pub fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = &Heartbeat> {
        let peers = self.peers_with_leases(now_ms);
        peers.filter_map(|(heartbeat, has_lease)| has_lease.then_some(heartbeat))
    }

    /// Returns the heartbeats of all other instances, including those whose lease
    /// has expired.
    pub fn peers(&self) -> impl Iterator<Item = &Heartbeat> {
        self.instances
            .iter()
            .map(|row| &row.heartbeat)
            .filter(|heartbeat| heartbeat.owner.instance != self.local.instance)
    }

    /// Returns the heartbeats of all other instances, and whether each holds a valid lease.
    pub fn peers_with_leases(&self, now_ms: u64) -> impl Iterator<Item = (&Heartbeat, bool)> {
        self.instances
            .iter()
            .map(move |row| (&row.heartbeat, row.is_live(now_ms)))
            .filter(|(heartbeat, _)| heartbeat.owner.instance != self.local.instance)
    }

    /// Returns the address on which callers reach an instance, even if its lease
    /// has expired.
    #[must_use]
    pub fn callers_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.heartbeat_of(instance)?.callers_address
    }

    /// Returns the address on which an instance receives load notices, even if its
    /// lease has expired.
    #[must_use]
    pub fn peer_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        Some(self.heartbeat_of(instance)?.peer_address)
    }

    /// Returns the instances that have sent no heartbeat for so long that their rows
    /// can be removed, with the versions of these rows.
    #[must_use]
    pub fn expired_instances(&self, now_ms: u64) -> Vec<(InstanceId, u64)> {
        self.instances
            .iter()
            .filter(|row| now_ms > row.seen_at_ms + row.lease_ms() * EXPIRY_LEASES)
            .map(|row| (row.heartbeat.owner.instance.clone(), row.version))
            .collect()
    }

    /// Returns whether the local instance comes first in the takeover order of a
    /// job. The same order decides which instance removes an expired job.
    #[must_use]
    pub fn is_first_candidate(&self, id: &JobId, now_ms: u64) -> bool {
        self.rank(id, now_ms) == 0
    }

    /// Returns the open jobs that the local instance should try to take over now,
    /// and updates the time from which each job counts as orphaned.
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
                    .is_some_and(|since_ms| now_ms >= since_ms + rank() * TAKEOVER_STAGGER_MS)
            })
            .map(|row| row.job.id.clone())
            .collect()
    }

    /// Returns how long to wait before a job without a known live owner counts as
    /// orphaned, in milliseconds, or `None` if the job needs no takeover. The wait
    /// allows for an owner whose heartbeat has not been seen yet.
    fn orphan_grace_ms(&self, record: &JobRecord, now_ms: u64) -> Option<u64> {
        if !record.is_open() {
            return None;
        }
        let Some(owner) = &record.owner else {
            return Some(0);
        };
        if *owner == self.local {
            return None;
        }
        if owner.instance == self.local.instance {
            return Some(0);
        }
        match self.find_instance(&owner.instance) {
            Ok(index) if self.instances[index].heartbeat.owner == *owner => {
                (!self.instances[index].is_live(now_ms)).then_some(0)
            }
            // The instance has a later incarnation, so the owner has ended.
            Ok(index) if self.instances[index].heartbeat.owner > *owner => Some(0),
            Ok(_) | Err(_) => Some(UNKNOWN_OWNER_GRACE_MS),
        }
    }

    /// Returns the number of live instances that come before the local one in the
    /// takeover order of a job.
    fn rank(&self, id: &JobId, now_ms: u64) -> u64 {
        let local_weight = weight(id, &self.local.instance);
        let preceding = self
            .live_peers(now_ms)
            .filter(|peer| !peer.is_stopping && weight(id, &peer.owner.instance) > local_weight);
        preceding.count() as u64
    }

    fn heartbeat_of(&self, instance: &InstanceId) -> Option<&Heartbeat> {
        let index = self.find_instance(instance).ok()?;
        Some(&self.instances[index].heartbeat)
    }

    fn find_instance(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.instances
            .binary_search_by(|row| row.heartbeat.owner.instance.cmp(instance))
    }

    fn find_job(&self, id: &JobId) -> Result<usize, usize> {
        self.jobs.binary_search_by(|row| row.job.id.cmp(id))
    }
}

impl InstanceRow {
    fn lease_ms(&self) -> u64 {
        self.heartbeat.interval_ms * MISSED_HEARTBEATS_MAX + HEARTBEAT_SLACK_MS
    }

    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.seen_at_ms + self.lease_ms()
    }
}

/// Returns the rendezvous hashing weight of an instance for a job.
fn weight(id: &JobId, instance: &InstanceId) -> u64 {
    xxh3_64(format!("{id}/{instance}").as_bytes())
}
