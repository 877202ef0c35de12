//! Chooses what a batch process claims next: by slack to the deadline, fair
//! among customers, and with few processes looking at the same lapsed lease.

use std::hash::Hasher;

use model::{CustomerId, InstanceId, JobId};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{ActiveChunk, ChunkName, OpenJob, chunk_key, job_key};

/// Processes that look after a lease that lapsed.
const WATCHERS: usize = 3;
/// Delay between one watcher's try and the next one's, milliseconds.
const WATCHER_STEP_MS: u64 = 300;
/// Slack below which a job goes before those with more of it, milliseconds.
const AT_RISK_MS: i64 = 60_000;

/// Something to claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Index of the job in the table of open jobs.
    pub job_index: usize,
    /// What to do.
    pub kind: WorkKind,
}

/// Kinds of work on an open job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Claim chunks that nobody has claimed yet.
    FreshClaim,
    /// Look at a chunk whose lease seems to have lapsed.
    Takeover(ChunkName),
    /// See whether every chunk is done.
    CompletionCheck,
}

/// A chunk or job that needs no look before a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deferral {
    /// The job.
    pub job: JobId,
    /// The chunk; `None` defers the check for completion.
    pub chunk: Option<ChunkName>,
    /// Time of the next look.
    pub until_ms: u64,
}

/// Chunks in work for one customer, as far as the open rows tell.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CustomerLoad {
    customer: CustomerId,
    /// Chunks that are leased.
    chunks: usize,
}

/// What a choice depends on besides the open jobs.
#[derive(Debug, Clone, Copy)]
pub struct SchedulingContext<'a> {
    /// This process.
    pub instance: &'a InstanceId,
    /// Batch processes that take work, sorted; holds this one.
    pub peers: &'a [InstanceId],
    /// Looks that are not due yet, in no order.
    pub deferrals: &'a [Deferral],
    /// For each open job, the processes that can run its items, sorted.
    pub capable_instances: &'a [Vec<InstanceId>],
    /// Whether this process has room for another chunk.
    pub has_capacity: bool,
    /// Chunks that this process holds.
    pub held_chunks: &'a [(JobId, ChunkName)],
    /// Time that the fleet needs per item of a job, microseconds.
    pub item_us: u64,
    /// Current time.
    pub now_ms: u64,
}

/// Chooses the work to try next, if there is any.
#[must_use]
pub fn choose_work(jobs: &[OpenJob], chooser: &SchedulingContext<'_>) -> Option<Work> {
    let loads = customer_loads(jobs, chooser.now_ms);
    let candidates = jobs.iter().enumerate().filter_map(|(index, job)| {
        let kind = chooser.due(job, chooser.capable_instances.get(index)?)?;
        Some((
            chooser.rank(job, kind, &loads),
            Work {
                job_index: index,
                kind,
            },
        ))
    });
    candidates
        .min_by_key(|(rank, _)| *rank)
        .map(|(_, work)| work)
}

/// Whether `instance` is among the few processes that look after `key`.
#[must_use]
pub fn is_watcher(instance: &InstanceId, peers: &[InstanceId], key: &str) -> bool {
    rendezvous_rank(instance, peers, key) < WATCHERS
}

/// Order of a candidate; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_calm: bool,
    customer_chunks: usize,
    slack_ms: i64,
    tie: u64,
}

impl SchedulingContext<'_> {
    fn due(&self, job: &OpenJob, capable: &[InstanceId]) -> Option<WorkKind> {
        let can_claim = self.has_capacity && capable.binary_search(self.instance).is_ok();
        let mut active = job.row.active.iter();
        let lapsed = active.find(|entry| self.is_due(job, entry, capable));
        let has_fresh = job.row.cursor < job.row.chunks;
        match lapsed {
            Some(entry) if can_claim => return Some(WorkKind::Takeover(entry.chunk)),
            None if can_claim && has_fresh => return Some(WorkKind::FreshClaim),
            _ if has_fresh => return None,
            _ => {}
        }
        let is_finish_due = match self.deferral(&job.row.job, None) {
            // Also asks for a look, such as after a commit.
            Some(until_ms) => until_ms <= self.now_ms,
            None => is_watcher(self.instance, self.peers, &job_key(&job.row.job)),
        };
        is_finish_due.then_some(WorkKind::CompletionCheck)
    }

    fn is_due(&self, job: &OpenJob, entry: &ActiveChunk, capable: &[InstanceId]) -> bool {
        let id = &job.row.job;
        let is_held = self
            .held_chunks
            .iter()
            .any(|(held, chunk)| held == id && *chunk == entry.chunk);
        if is_held || entry.lease_until_ms > self.now_ms {
            return false;
        }
        let deferred_until_ms = self.deferral(id, Some(entry.chunk)).unwrap_or(0);
        if deferred_until_ms > self.now_ms {
            return false;
        }
        let key = chunk_key(id, entry.chunk);
        let rank = rendezvous_rank(self.instance, capable, &key);
        let lapsed_at_ms = entry.lease_until_ms.max(deferred_until_ms);
        rank < WATCHERS && self.now_ms >= lapsed_at_ms + WATCHER_STEP_MS * rank as u64
    }

    fn deferral(&self, job: &JobId, chunk: Option<ChunkName>) -> Option<u64> {
        let matching = |entry: &&Deferral| entry.job == *job && entry.chunk == chunk;
        let found = self.deferrals.iter().find(matching);
        found.map(|entry| entry.until_ms)
    }

    fn rank(&self, job: &OpenJob, kind: WorkKind, loads: &[CustomerLoad]) -> Rank {
        let position = loads.binary_search_by(|load| load.customer.cmp(&job.row.customer));
        let slack_ms = self.slack_ms(job);
        Rank {
            // Looking at a lapsed lease costs one read and frees stuck items.
            is_calm: kind == WorkKind::FreshClaim && slack_ms > AT_RISK_MS,
            customer_chunks: position.map_or(0, |index| loads[index].chunks),
            slack_ms,
            tie: weight(self.instance, &job_key(&job.row.job)),
        }
    }

    /// Time left after the unclaimed items have run.
    fn slack_ms(&self, job: &OpenJob) -> i64 {
        let row = &job.row;
        let unclaimed = u64::from(row.chunks - row.cursor);
        let items = u64::from(row.items) * unclaimed / u64::from(row.chunks.max(1));
        let needed_ms = items * self.item_us / 1_000;
        let left_ms = i128::from(row.deadline_ms) - i128::from(self.now_ms);
        let slack_ms = left_ms - i128::from(needed_ms);
        i64::try_from(slack_ms).unwrap_or(i64::MAX)
    }
}

/// Counts the leased chunks of each customer, sorted by customer.
fn customer_loads(jobs: &[OpenJob], now_ms: u64) -> Vec<CustomerLoad> {
    let mut loads: Vec<CustomerLoad> = Vec::new();
    for job in jobs {
        let active = job.row.active.iter();
        let chunks = active.filter(|entry| entry.lease_until_ms > now_ms).count();
        let customer = &job.row.customer;
        match loads.binary_search_by(|load| load.customer.cmp(customer)) {
            Ok(index) => loads[index].chunks += chunks,
            Err(index) => loads.insert(
                index,
                CustomerLoad {
                    customer: customer.clone(),
                    chunks,
                },
            ),
        }
    }
    loads
}

/// Number of peers that look after `key` before `instance` does; zero for its
/// owner.
#[must_use]
pub fn rendezvous_rank(instance: &InstanceId, peers: &[InstanceId], key: &str) -> usize {
    let own = weight(instance, key);
    let before = |peer: &&InstanceId| *peer != instance && weight(peer, key) > own;
    peers.iter().filter(before).count()
}

/// Rendezvous weight of an instance for a key.
fn weight(instance: &InstanceId, key: &str) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.update(instance.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(key.as_bytes());
    hash.finish()
}
