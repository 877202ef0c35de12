//! Rows of the table.

use std::sync::Arc;

use model::{ClassName, CustomerId, InstanceId, JobId, ModelName, Region};
use serde::{Deserialize, Serialize, de};

use crate::{ChunkName, OpId};

/// Lapsed leases after which a chunk is split.
pub(crate) const SPLIT_LAPSES: u16 = 2;
/// Lapsed leases after which a chunk of one item ends with an error record.
const EXHAUSTED_LAPSES: u16 = SPLIT_LAPSES + 2;

/// Any row that this crate writes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RowValue {
    /// `job/…`
    Job(Box<JobRow>),
    /// `open/…`
    Open(Box<OpenRow>),
    /// `chunk/…`
    Chunk(Box<ChunkRow>),
    /// `file/…`
    File(Box<FileRow>),
    /// `listed/…`
    Listed(JobId),
}

/// An uploaded file.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileRow {
    /// Identifier shown to callers.
    pub file: Arc<str>,
    /// Owner.
    pub customer: CustomerId,
    /// Name that the caller gave.
    pub file_name: String,
    /// Purpose that the caller gave.
    pub purpose: String,
    /// SHA-256 of the content, in hexadecimal.
    pub digest: String,
    /// Length of the content.
    pub content_bytes: u64,
    /// Number of segment objects that hold the content.
    pub segments: u32,
    /// Items in it.
    pub items: u32,
    /// Chunks in its manifest.
    pub chunks: u32,
    /// Models that its items name, sorted.
    pub models: Vec<ModelName>,
    /// Time of the upload.
    pub created_at_ms: u64,
    /// The operation that inserted the row.
    pub op: OpId,
}

/// A job. The row is replaced only when the job ends, so its version tells
/// whether the job still takes results.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRow {
    /// The job.
    pub job: JobId,
    /// Owner.
    pub customer: CustomerId,
    /// Class that set the deadline.
    pub class: Option<ClassName>,
    /// Path that every item is sent to.
    pub endpoint: String,
    /// Input file.
    pub input_file: Arc<str>,
    /// SHA-256 over the input's digest and the parameters, in hexadecimal.
    pub digest: String,
    /// Window that the caller asked for, as written.
    pub completion_window: String,
    /// Pairs that the caller attached, sorted by name.
    pub metadata: Vec<(String, String)>,
    /// Region whose instances run it.
    pub region: Region,
    /// Items in it.
    pub items: u32,
    /// Chunks in its manifest.
    pub chunks: u32,
    /// Time of acceptance.
    pub created_at_ms: u64,
    /// Time by which the last result is due.
    pub deadline_ms: u64,
    /// The operation that accepted it.
    pub accept_op: OpId,
    /// How far it has come.
    pub state: JobState,
}

/// How far a job has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items remain.
    Open,
    /// Every item has a result.
    Completed {
        /// Time of the last commit, as seen by who noticed it.
        at_ms: u64,
        /// Items with an answer.
        completed: u32,
        /// Items with an error record.
        failed: u32,
        /// The operation that ended it.
        op: OpId,
    },
    /// The caller cancelled it.
    Cancelled {
        /// Time of the cancellation.
        at_ms: u64,
        /// The operation that ended it.
        op: OpId,
    },
}

/// Lists a job as open, with what a claim needs to know. Removed when the job
/// ends.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenRow {
    /// The job.
    pub job: JobId,
    /// Version of the job's row while the job is open. Absent in the row that
    /// was inserted together with it, as both have the same version then.
    pub job_version: Option<u64>,
    /// Owner.
    pub customer: CustomerId,
    /// Path that every item is sent to.
    pub endpoint: String,
    /// Input file.
    pub input_file: Arc<str>,
    /// Models that its items name, sorted.
    pub models: Vec<ModelName>,
    /// Items in it.
    pub items: u32,
    /// Chunks in its manifest.
    pub chunks: u32,
    /// First chunk that nobody has claimed yet.
    pub cursor: u32,
    /// Chunks that were claimed and perhaps not yet done. A hint: the chunk's
    /// own row decides.
    pub active: Vec<ActiveChunk>,
    /// Time of acceptance.
    pub created_at_ms: u64,
    /// Time by which the last result is due.
    pub deadline_ms: u64,
    /// The operation that wrote the row.
    pub op: OpId,
}

/// A claimed chunk as the open row remembers it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveChunk {
    /// The chunk.
    pub chunk: ChunkName,
    /// Who claimed it, if anybody.
    pub holder: Option<InstanceId>,
    /// End of the lease when it was claimed; renewals do not show here.
    pub lease_until_ms: u64,
}

/// A chunk that was claimed at least once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChunkRow {
    /// Fencing number; grows with each claim.
    pub fence: u64,
    /// The operation that wrote the row.
    pub op: OpId,
    /// Leases on it that lapsed without a commit.
    pub lapses: u16,
    /// Failed attempts at its items, across holders.
    pub attempts: Vec<FailedAttempts>,
    /// Items that must not be sent again unless the partial result has them,
    /// sorted.
    pub intents: Vec<u32>,
    /// Results of some of its items, kept for the next holder.
    pub partial: Option<PartialRef>,
    /// Who works on it, or what came out.
    pub state: ChunkState,
}

/// Failed attempts at one item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FailedAttempts {
    /// Index of the item in the chunk.
    pub item: u32,
    /// Attempts that ran and failed.
    pub failed: u16,
}

/// Whether a chunk waits, runs or is done.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkState {
    /// Handed back, or a part nobody has claimed yet.
    Free,
    /// Leased.
    Held {
        /// Who holds it.
        holder: InstanceId,
        /// Time after which others may try to take it over.
        lease_until_ms: u64,
    },
    /// Replaced by its parts.
    Split,
    /// Committed.
    Done {
        /// Answers.
        output: Option<ObjectRef>,
        /// Error records.
        errors: Option<ObjectRef>,
        /// Items with an answer.
        completed: u32,
        /// Items with an error record.
        failed: u32,
    },
}

/// A committed object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObjectRef {
    /// Name in the object store.
    pub name: String,
    /// Length.
    pub content_bytes: u64,
}

/// Results of some items of a chunk.
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
    /// Returns an error if the key belongs to another crate or the value is
    /// malformed.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, serde_json::Error> {
        let kind = key.split('/').next().unwrap_or_default();
        Ok(match kind {
            "job" => Self::Job(serde_json::from_slice(value)?),
            "open" => Self::Open(serde_json::from_slice(value)?),
            "chunk" => Self::Chunk(serde_json::from_slice(value)?),
            "file" => Self::File(serde_json::from_slice(value)?),
            "listed" => Self::Listed(JobId::new(&String::from_utf8_lossy(value))),
            _ => return Err(de::Error::custom("the key has no known prefix")),
        })
    }

    /// Encodes the value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be written as JSON.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        match self {
            Self::Job(row) => serde_json::to_vec(row),
            Self::Open(row) => serde_json::to_vec(row),
            Self::Chunk(row) => serde_json::to_vec(row),
            Self::File(row) => serde_json::to_vec(row),
            Self::Listed(job) => Ok(job.as_str().into()),
        }
    }

    /// Whether the row shows the effect of `op`.
    #[must_use]
    pub fn is_written_by(&self, op: OpId) -> bool {
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
    /// Whether leases lapsed so often that one of its items may kill its
    /// holders.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.lapses >= SPLIT_LAPSES
    }

    /// Whether its only item is given up because its holders died of it.
    #[must_use]
    pub const fn is_exhausted(&self, items: u32) -> bool {
        items == 1 && self.lapses >= EXHAUSTED_LAPSES
    }

    /// Failed attempts at an item so far.
    #[must_use]
    pub fn failed_attempts(&self, item: u32) -> u16 {
        let found = self.attempts.iter().find(|entry| entry.item == item);
        found.map_or(0, |entry| entry.failed)
    }
}
