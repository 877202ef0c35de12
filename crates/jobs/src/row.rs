//! Rows that the crate stores in the platform's table.

use std::sync::Arc;

use model::{ClassName, CustomerId, InstanceId, JobId, ModelName, Region};
use serde::{Deserialize, Serialize, de};

use crate::{ChunkName, OpId};

/// Number of lapsed leases after which a chunk is split.
pub(crate) const SPLIT_LAPSES: u16 = 2;
/// Number of lapsed leases after which the only item of a chunk gets an error
/// record instead of another run.
const EXHAUSTED_LAPSES: u16 = SPLIT_LAPSES + 2;

/// Value of any row that this crate writes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RowValue {
    /// Row of a job, at `job/…`.
    Job(Box<JobRow>),
    /// Row that lists a job as open, at `open/…`.
    Open(Box<OpenRow>),
    /// Row of a chunk, at `chunk/…`.
    Chunk(Box<ChunkRow>),
    /// Row of an uploaded file, at `file/…`.
    File(Box<FileRow>),
    /// Row that lists a job under its customer, at `listed/…`.
    Listed(JobId),
}

/// Row of an uploaded file.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileRow {
    /// File identifier, as shown to callers.
    pub file: Arc<str>,
    /// Customer that owns the file.
    pub customer: CustomerId,
    /// File name given by the caller.
    pub file_name: String,
    /// Purpose given by the caller.
    pub purpose: String,
    /// SHA-256 of the content, in hexadecimal.
    pub digest: String,
    /// Length of the content, in bytes.
    pub content_bytes: u64,
    /// Number of segment objects that store the content.
    pub segments: u32,
    /// Number of items in the file.
    pub items: u32,
    /// Number of chunks in the file's manifest.
    pub chunks: u32,
    /// Models named by the items, sorted.
    pub models: Vec<ModelName>,
    /// Time of the upload, in Unix milliseconds.
    pub created_at_ms: u64,
    /// The operation that inserted the row.
    pub op: OpId,
}

/// Row of a job. The row is replaced only when the job ends, so a write that is
/// conditional on the row's version takes effect only while the job is open.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRow {
    /// Job identifier.
    pub job: JobId,
    /// Customer that owns the job.
    pub customer: CustomerId,
    /// Class that determined the deadline.
    pub class: Option<ClassName>,
    /// Path that every item is sent to.
    pub endpoint: String,
    /// Identifier of the input file.
    pub input_file: Arc<str>,
    /// SHA-256 over the input's digest and the parameters, in hexadecimal.
    pub digest: String,
    /// Completion window requested by the caller, verbatim.
    pub completion_window: String,
    /// Metadata pairs attached by the caller, sorted by name.
    pub metadata: Vec<(String, String)>,
    /// Region whose instances run the job.
    pub region: Region,
    /// Number of items in the job.
    pub items: u32,
    /// Number of chunks in the input file's manifest.
    pub chunks: u32,
    /// Time of acceptance, in Unix milliseconds.
    pub created_at_ms: u64,
    /// Time by which the last result is due, in Unix milliseconds.
    pub deadline_ms: u64,
    /// The operation that accepted the job.
    pub accept_op: OpId,
    /// Current state of the job.
    pub state: JobState,
}

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Some items have no committed result yet.
    Open,
    /// Every item has a committed result.
    Completed {
        /// Time at which the process that ended the job found every chunk done,
        /// in Unix milliseconds.
        at_ms: u64,
        /// Number of items with an answer.
        completed: u32,
        /// Number of items with an error record.
        failed: u32,
        /// The operation that ended the job.
        op: OpId,
    },
    /// The caller cancelled the job.
    Cancelled {
        /// Time of the cancellation, in Unix milliseconds.
        at_ms: u64,
        /// The operation that ended the job.
        op: OpId,
    },
}

/// Row that lists a job as open and holds what a claim needs. The row is
/// removed when the job ends.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenRow {
    /// Job identifier.
    pub job: JobId,
    /// Version of the job's row while the job is open. Absent until the open
    /// row is first updated: both rows are inserted in one transaction and then
    /// have the same version.
    pub job_version: Option<u64>,
    /// Customer that owns the job.
    pub customer: CustomerId,
    /// Path that every item is sent to.
    pub endpoint: String,
    /// Identifier of the input file.
    pub input_file: Arc<str>,
    /// Models named by the items, sorted.
    pub models: Vec<ModelName>,
    /// Number of items in the job.
    pub items: u32,
    /// Number of chunks in the input file's manifest.
    pub chunks: u32,
    /// Index of the first chunk that has never been claimed.
    pub cursor: u32,
    /// Chunks that were claimed and may not be done yet. This is a hint; the
    /// row of the chunk is authoritative.
    pub active: Vec<ActiveChunk>,
    /// Time of acceptance, in Unix milliseconds.
    pub created_at_ms: u64,
    /// Time by which the last result is due, in Unix milliseconds.
    pub deadline_ms: u64,
    /// The operation that wrote the row.
    pub op: OpId,
}

/// A claimed chunk as recorded in the open row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveChunk {
    /// The chunk.
    pub chunk: ChunkName,
    /// Instance that claimed the chunk; `None` if the chunk is free.
    pub holder: Option<InstanceId>,
    /// End of the lease as of the claim, in Unix milliseconds. Renewals are
    /// recorded only in the row of the chunk.
    pub lease_until_ms: u64,
}

/// Row of a chunk that was claimed at least once, or of a part of a split
/// chunk.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChunkRow {
    /// Fencing token, incremented by each claim.
    pub fence: u64,
    /// The operation that wrote the row.
    pub op: OpId,
    /// Number of leases on the chunk that lapsed without a commit.
    pub lapses: u16,
    /// Failed attempts at the items, summed over all holders.
    pub attempts: Vec<FailedAttempts>,
    /// Items that may have been sent to an endpoint that is not idempotent,
    /// sorted. They must not be sent again: unless the partial result has a
    /// record of such an item, its outcome is unknown.
    pub intents: Vec<u32>,
    /// Results of some of the items, saved for the next holder.
    pub partial: Option<PartialRef>,
    /// Lease state, or the committed result.
    pub state: ChunkState,
}

/// Number of failed attempts at one item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FailedAttempts {
    /// Index of the item in the chunk.
    pub item: u32,
    /// Number of attempts that ran, or may have run, and failed.
    pub failed: u16,
}

/// State of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkState {
    /// The lease was released, or the chunk is a part that was never claimed.
    Free,
    /// The chunk is leased.
    Held {
        /// Instance that holds the lease.
        holder: InstanceId,
        /// Time from which other instances may take the chunk over, in Unix
        /// milliseconds.
        lease_until_ms: u64,
    },
    /// The chunk was split and replaced by its parts.
    Split,
    /// The results are committed.
    Done {
        /// Object with the answers.
        output: Option<ObjectRef>,
        /// Object with the error records.
        errors: Option<ObjectRef>,
        /// Number of items with an answer.
        completed: u32,
        /// Number of items with an error record.
        failed: u32,
    },
}

/// A committed object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObjectRef {
    /// Name in the object store.
    pub name: String,
    /// Length, in bytes.
    pub content_bytes: u64,
}

/// An object with the results of some items of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartialRef {
    /// Name in the object store.
    pub name: String,
}

impl RowValue {
    /// Decodes the value of the row at `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the key has none of the prefixes of this crate or
    /// the value is malformed.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, serde_json::Error> {
        let kind = key.split('/').next().unwrap_or_default();
        Ok(match kind {
            "job" => Self::Job(serde_json::from_slice(value)?),
            "open" => Self::Open(serde_json::from_slice(value)?),
            "chunk" => Self::Chunk(serde_json::from_slice(value)?),
            "file" => Self::File(serde_json::from_slice(value)?),
            "listed" => Self::Listed(JobId::new(&String::from_utf8_lossy(value))),
            _ => return Err(de::Error::custom("not a job/open/chunk/file/listed key")),
        })
    }

    /// Encodes the value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be serialized as JSON.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        match self {
            Self::Job(row) => serde_json::to_vec(row),
            Self::Open(row) => serde_json::to_vec(row),
            Self::Chunk(row) => serde_json::to_vec(row),
            Self::File(row) => serde_json::to_vec(row),
            Self::Listed(job) => Ok(job.as_str().into()),
        }
    }

    /// Returns whether the row contains the id of operation `op`, which proves
    /// that the operation took effect.
    #[must_use]
    pub fn contains_op(&self, op: OpId) -> bool {
        match self {
            Self::Job(row) => row.accept_op == op || row.state.op() == Some(op),
            Self::Open(row) => row.op == op,
            Self::Chunk(row) => row.op == op,
            Self::File(row) => row.op == op,
            Self::Listed(_) => false,
        }
    }
}

impl JobState {
    const fn op(&self) -> Option<OpId> {
        match self {
            Self::Open => None,
            Self::Completed { op, .. } | Self::Cancelled { op, .. } => Some(*op),
        }
    }
}

impl ChunkRow {
    /// Returns whether so many leases lapsed that the chunk may contain a poison
    /// item, which crashes every process that runs it.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.lapses >= SPLIT_LAPSES
    }

    /// Returns whether the chunk consists of one item that must not be run again,
    /// because the processes that ran it crashed. `items` is the number of items
    /// in the chunk.
    #[must_use]
    pub const fn is_exhausted(&self, items: u32) -> bool {
        items == 1 && self.lapses >= EXHAUSTED_LAPSES
    }

    /// Returns the number of failed attempts at an item so far.
    #[must_use]
    pub fn failed_attempts(&self, item: u32) -> u16 {
        let found = self.attempts.iter().find(|entry| entry.item == item);
        found.map_or(0, |entry| entry.failed)
    }
}
