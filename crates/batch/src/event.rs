//! Events that other tasks send to the worker.

use job_store::StoreError;
use jobs::{
    AttemptOutcome, ChunkName, ChunkRun, Deferral, HeldChunk, LeaseWrite, OpenJob, Outcome,
};
use model::JobId;
use peer::DispatchNotice;
use policy::BatchItemId;

/// Identifier of a held chunk, unique in this process.
pub(crate) type ExecutionId = u64;

/// An event for the worker.
#[derive(Debug)]
pub(crate) enum Event {
    /// Reading a page of open jobs ended.
    Polled(Result<OpenPage, StoreError>),
    /// A claim attempt ended.
    Claimed {
        /// Key of the job's open row.
        key: String,
        /// Outcome of the attempt.
        result: Result<ClaimOutcome, StoreError>,
    },
    /// Reading the items of a held chunk ended.
    ChunkLoaded {
        /// Identifier of the held chunk.
        execution: ExecutionId,
        /// The items and the size of their input lines, in bytes.
        result: Result<(ChunkRun, usize), StoreError>,
    },
    /// A token of an item was received.
    ItemProgressed(BatchItemId),
    /// The engine that runs an item reported that it is leaving.
    LeavingReported(BatchItemId),
    /// An attempt at an item ended.
    ItemEnded(ItemEnded),
    /// The outcome of a write of a held chunk is known.
    ChunkWritten {
        /// Identifier of the held chunk.
        execution: ExecutionId,
        /// The purpose of the write.
        kind: WriteKind,
        /// The write.
        write: Box<LeaseWrite>,
        /// Outcome of the write.
        outcome: Outcome,
    },
    /// A check of whether a job is still open ended.
    JobChecked {
        /// The job.
        job: JobId,
        /// Start of the check, in Unix milliseconds.
        started_at_ms: u64,
        /// Whether the job is open.
        result: Result<bool, StoreError>,
    },
    /// An entry cancelled a job.
    JobCancelled(JobId),
    /// Entries reported online requests that they sent to engines.
    NoticesReceived(Vec<DispatchNotice>),
}

/// A page of open jobs.
#[derive(Debug)]
pub(crate) struct OpenPage {
    /// Prefix of the keys of the page.
    pub(crate) prefix: String,
    /// Key after which the page starts.
    pub(crate) after: Option<String>,
    /// The jobs.
    pub(crate) jobs: Vec<OpenJob>,
    /// Key after which the next page starts, if more jobs follow.
    pub(crate) next: Option<String>,
}

/// Outcome of a claim attempt.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// Chunks were claimed.
    Claimed {
        /// The chunks.
        chunks: Vec<HeldChunk>,
        /// The job's open row after the claim.
        open: OpenJob,
        /// Whether the process must hold no other chunk at the same time.
        is_exclusive: bool,
    },
    /// Nothing was claimed; this is the job's current open row.
    Refreshed(OpenJob),
    /// The job has ended.
    JobEnded,
    /// Nothing was claimed; the claim is to be repeated later.
    Deferred(Deferral),
    /// Nothing was claimed; only a process that holds no other chunk may claim this
    /// one.
    NeedsExclusive(Deferral),
    /// These chunks are done already; the job has other chunks that are not.
    ChunksDone(Vec<ChunkName>),
}

/// Purpose of a write of a held chunk. Log lines print the names of the variants, so
/// these names must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteKind {
    /// Renews the lease and records progress.
    Renew {
        /// Number of records in the partial result.
        records: usize,
    },
    /// Commits the results.
    Commit,
    /// Releases the chunk.
    HandBack,
}

/// Outcome of an attempt at an item.
#[derive(Debug)]
pub(crate) struct ItemEnded {
    /// Identifier of the held chunk.
    pub(crate) execution: ExecutionId,
    /// Index of the item in the chunk.
    pub(crate) item: u32,
    /// Number of the attempt, unique in the chunk's run.
    pub(crate) attempt: u64,
    /// Number of the attempt, unique in this process.
    pub(crate) batch_item: BatchItemId,
    /// How the attempt ended.
    pub(crate) outcome: AttemptOutcome,
    /// Number of leading prompt tokens that the engine has now cached, if only a
    /// prefix of the prompt was sent.
    pub(crate) cached_tokens: Option<u32>,
}
