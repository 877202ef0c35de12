//! Events that tasks report to the worker.

use job_store::StoreError;
use jobs::{
    AttemptOutcome, ChunkName, ChunkRun, Deferral, HeldChunk, LeaseWrite, OpenJob, Outcome,
};
use model::JobId;
use peer::DispatchNotice;
use policy::BatchItemId;

/// Number of a held chunk in this process.
pub(crate) type ExecutionId = u64;

/// Something that happened outside the worker.
#[derive(Debug)]
pub(crate) enum Event {
    /// A page of open jobs was read.
    Polled(Result<OpenPage, StoreError>),
    /// A try to claim ended.
    Claimed {
        /// Key of the job's open row.
        key: String,
        /// What came out.
        result: Result<ClaimOutcome, StoreError>,
    },
    /// The items of a held chunk were read.
    ChunkLoaded {
        /// The chunk.
        execution: ExecutionId,
        /// Its items and the length of its lines, bytes.
        result: Result<(ChunkRun, usize), StoreError>,
    },
    /// The first tokens of an item came, or some more.
    ItemProgressed(BatchItemId),
    /// The engine that runs an item said that it is leaving.
    LeavingReported(BatchItemId),
    /// An attempt at an item ended.
    ItemEnded(ItemEnded),
    /// A write of a held chunk came to its outcome.
    ChunkWritten {
        /// The chunk.
        execution: ExecutionId,
        /// What the write was for.
        kind: WriteKind,
        /// The write.
        write: Box<LeaseWrite>,
        /// Its outcome.
        outcome: Outcome,
    },
    /// It was checked whether a job is still open.
    JobChecked {
        /// The job.
        job: JobId,
        /// Time at which the check began.
        started_at_ms: u64,
        /// Whether it is open.
        result: Result<bool, StoreError>,
    },
    /// An entry cancelled a job.
    JobCancelled(JobId),
    /// Entries sent online work to an engine.
    NoticesReceived(Vec<DispatchNotice>),
}

/// A page of open jobs.
#[derive(Debug)]
pub(crate) struct OpenPage {
    /// Prefix of the keys of the page.
    pub(crate) prefix: String,
    /// Key that the page begins after.
    pub(crate) after: Option<String>,
    /// The jobs.
    pub(crate) jobs: Vec<OpenJob>,
    /// Last key of the page, if more jobs follow.
    pub(crate) next: Option<String>,
}

/// What came out of a try to claim.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// Chunks are held.
    Claimed {
        /// The chunks.
        chunks: Vec<HeldChunk>,
        /// The open row afterwards.
        open: OpenJob,
        /// They may not be run beside any other chunk.
        is_exclusive: bool,
    },
    /// Nothing is held; the open row is as given.
    Refreshed(OpenJob),
    /// The job has ended.
    JobEnded,
    /// Look again later.
    Deferred(Deferral),
    /// The chunk may only be run by a process that holds nothing else.
    NeedsExclusive(Deferral),
    /// Chunks turned out to be done; the job has more to do.
    ChunksDone(Vec<ChunkName>),
}

/// What a write of a held chunk is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteKind {
    /// Renews the lease and records progress.
    Renew {
        /// Number of records in the partial result.
        records: usize,
    },
    /// Commits the results.
    Commit,
    /// Gives the chunk back.
    HandBack,
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct ItemEnded {
    /// The chunk.
    pub(crate) execution: ExecutionId,
    /// Index of the item in the chunk.
    pub(crate) item: u32,
    /// Number of the attempt in the chunk's run.
    pub(crate) attempt: u64,
    /// Number of the attempt in this process.
    pub(crate) batch_item: BatchItemId,
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
    /// Leading tokens of its prompt that the engine now holds, if a part was
    /// sent.
    pub(crate) cached_tokens: Option<u32>,
}
