//! Chooses the work that a batch program tries to claim next.
//!
//! Urgent work comes first, then jobs of the customer with the fewest leased
//! chunks, then jobs with the least slack to their deadline. Rendezvous hashing
//! limits how many processes read the row of a chunk whose lease lapsed.

use std::hash::Hasher;

use model::{CustomerId, InstanceId, JobId};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{ActiveChunk, ChunkName, OpenJob, chunk_key, job_key};

/// Number of processes that watch a lapsed lease.
const WATCHERS_PER_KEY: usize = 3;
/// Delay between the takeover attempts of one watcher and the next, in
/// milliseconds.
const WATCHER_DELAY_MS: u64 = 300;
/// Slack up to which a fresh claim is urgent and comes before the claims that
/// can wait, whichever customer they belong to, in milliseconds.
const AT_RISK_SLACK_MS: i64 = 60_000;

/// Work that a batch program can try to claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Index of the job in the slice of open jobs.
    pub job_index: usize,
    /// Kind of work.
    pub kind: WorkKind,
}

/// Kind of work on an open job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Claim chunks that were never claimed.
    FreshClaim,
    /// Read the row of a chunk whose lease appears to have lapsed, and take the
    /// chunk over if it has.
    Takeover(ChunkName),
    /// Check whether every chunk is done, and complete the job if so.
    CompletionCheck,
}

/// Deferral of the next read of a chunk's row, or of the next completion check of
/// a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deferral {
    /// Job identifier.
    pub job: JobId,
    /// The chunk; `None` defers the completion check.
    pub chunk: Option<ChunkName>,
    /// Time from which the read or check is due, in Unix milliseconds.
    pub until_ms: u64,
}

/// Number of leased chunks of one customer, according to the open rows.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CustomerLoad {
    customer: CustomerId,
    leased_chunks: usize,
}

/// Inputs to the choice of work besides the open jobs.
#[derive(Debug, Clone, Copy)]
pub struct SchedulingContext<'a> {
    /// Instance of this process.
    pub instance: &'a InstanceId,
    /// Instances whose batch programs accept work, including this one, sorted.
    pub peers: &'a [InstanceId],
    /// Deferred reads of chunk rows and completion checks, in no particular order.
    pub deferrals: &'a [Deferral],
    /// For each open job, the instances whose batch programs can run its items,
    /// sorted.
    pub capable_instances: &'a [Vec<InstanceId>],
    /// Whether this process can hold another chunk.
    pub has_capacity: bool,
    /// Chunks held by this process.
    pub held_chunks: &'a [(JobId, ChunkName)],
    /// Average time in which the whole fleet finishes one item, in
    /// microseconds.
    pub item_us: u64,
    /// Current time, in Unix milliseconds.
    pub now_ms: u64,
}

/// Returns the work to try next, or `None` if no work is due.
#[must_use]
pub fn choose_work(jobs: &[OpenJob], context: &SchedulingContext<'_>) -> Option<Work> {
    let loads = customer_loads(jobs, context.now_ms);
    let candidates = jobs.iter().enumerate().filter_map(|(index, job)| {
        let kind = context.due_work(job, context.capable_instances.get(index)?)?;
        Some((
            context.rank(job, kind, &loads),
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

/// Returns whether `instance` is among the few peers that watch `key`, which are
/// chosen by rendezvous hashing.
#[must_use]
pub fn is_watcher(instance: &InstanceId, peers: &[InstanceId], key: &str) -> bool {
    rendezvous_rank(instance, peers, key) < WATCHERS_PER_KEY
}

/// Sort key of a candidate; the smallest is chosen. The order of the fields is
/// their precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the work is not urgent. Urgent work sorts first, as `false`
    /// does.
    can_wait: bool,
    customer_chunks: usize,
    slack_ms: i64,
    /// Rendezvous weight, so that processes spread over equally urgent jobs.
    tie_breaker: u64,
}

impl SchedulingContext<'_> {
    fn due_work(&self, job: &OpenJob, capable: &[InstanceId]) -> Option<WorkKind> {
        let can_claim = self.has_capacity && capable.binary_search(self.instance).is_ok();
        let mut active = job.row.active.iter();
        let lapsed = active.find(|entry| self.is_takeover_due(job, entry, capable));
        let has_fresh = job.row.cursor < job.row.chunks;
        match lapsed {
            Some(entry) if can_claim => return Some(WorkKind::Takeover(entry.chunk)),
            None if can_claim && has_fresh => return Some(WorkKind::FreshClaim),
            _ if has_fresh => return None,
            _ => {}
        }
        let is_check_due = match self.deferred_until(&job.row.job, None) {
            // A deferral whose time has come requests a check, for example
            // after a commit, even if this process is not a watcher of the job.
            Some(until_ms) => until_ms <= self.now_ms,
            None => is_watcher(self.instance, self.peers, &job_key(&job.row.job)),
        };
        is_check_due.then_some(WorkKind::CompletionCheck)
    }

    fn is_takeover_due(&self, job: &OpenJob, entry: &ActiveChunk, capable: &[InstanceId]) -> bool {
        let id = &job.row.job;
        let is_held = self
            .held_chunks
            .iter()
            .any(|(held, chunk)| held == id && *chunk == entry.chunk);
        if is_held || entry.lease_until_ms > self.now_ms {
            return false;
        }
        let deferred_until_ms = self.deferred_until(id, Some(entry.chunk)).unwrap_or(0);
        if deferred_until_ms > self.now_ms {
            return false;
        }
        let key = chunk_key(id, entry.chunk);
        let rank = rendezvous_rank(self.instance, capable, &key);
        let lapsed_at_ms = entry.lease_until_ms.max(deferred_until_ms);
        rank < WATCHERS_PER_KEY && self.now_ms >= lapsed_at_ms + WATCHER_DELAY_MS * rank as u64
    }

    fn deferred_until(&self, job: &JobId, chunk: Option<ChunkName>) -> Option<u64> {
        let matching = |entry: &&Deferral| entry.job == *job && entry.chunk == chunk;
        let found = self.deferrals.iter().find(matching);
        found.map(|entry| entry.until_ms)
    }

    fn rank(&self, job: &OpenJob, kind: WorkKind, loads: &[CustomerLoad]) -> Rank {
        let position = loads.binary_search_by(|load| load.customer.cmp(&job.row.customer));
        let slack_ms = self.slack_ms(job);
        Rank {
            // Reading the row of a chunk whose lease lapsed is always urgent: it
            // is only one read and may release items that no process runs.
            can_wait: kind == WorkKind::FreshClaim && slack_ms > AT_RISK_SLACK_MS,
            customer_chunks: position.map_or(0, |index| loads[index].leased_chunks),
            slack_ms,
            tie_breaker: rendezvous_weight(self.instance, &job_key(&job.row.job)),
        }
    }

    /// Returns the time between the expected end of the unclaimed items and the
    /// deadline, in milliseconds. The slack is negative if the job is expected
    /// to be late.
    fn slack_ms(&self, job: &OpenJob) -> i64 {
        let row = &job.row;
        let unclaimed = u64::from(row.chunks - row.cursor);
        let items = u64::from(row.items) * unclaimed / u64::from(row.chunks.max(1));
        let needed_ms = items * self.item_us / 1_000;
        let remaining_ms = i128::from(row.deadline_ms) - i128::from(self.now_ms);
        let slack_ms = remaining_ms - i128::from(needed_ms);
        i64::try_from(slack_ms).unwrap_or(i64::MAX)
    }
}

/// Counts the leased chunks of each customer. The result is sorted by customer.
fn customer_loads(jobs: &[OpenJob], now_ms: u64) -> Vec<CustomerLoad> {
    let mut loads: Vec<CustomerLoad> = Vec::new();
    for job in jobs {
        let active = job.row.active.iter();
        let leased_chunks = active.filter(|entry| entry.lease_until_ms > now_ms).count();
        let customer = &job.row.customer;
        match loads.binary_search_by(|load| load.customer.cmp(customer)) {
            Ok(index) => loads[index].leased_chunks += leased_chunks,
            Err(index) => loads.insert(
                index,
                CustomerLoad {
                    customer: customer.clone(),
                    leased_chunks,
                },
            ),
        }
    }
    loads
}

/// Returns the number of peers with a higher rendezvous weight for `key` than
/// `instance`; zero for the owner of `key`.
#[must_use]
pub fn rendezvous_rank(instance: &InstanceId, peers: &[InstanceId], key: &str) -> usize {
    let own_weight = rendezvous_weight(instance, key);
    let outranks =
        |peer: &&InstanceId| *peer != instance && rendezvous_weight(peer, key) > own_weight;
    peers.iter().filter(outranks).count()
}

/// Returns the rendezvous weight of an instance for a key.
fn rendezvous_weight(instance: &InstanceId, key: &str) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.update(instance.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(key.as_bytes());
    hash.finish()
}
