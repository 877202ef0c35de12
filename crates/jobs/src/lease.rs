//! Writes of the holder of a leased chunk: renewal, intents, release and
//! commit.
//!
//! Every write is conditional on the job being open and on the chunk's row
//! still having the version that this holder wrote last. This fences off a
//! holder whose lease was taken over: it can no longer write, however long it
//! was paused.

use std::sync::Arc;

use model::{InstanceId, JobId};

use crate::{
    ChunkName, ChunkRow, ChunkState, ConditionalWrite, FailedAttempts, ObjectRef, OpId, OpenJob,
    PartialRef, RowValue, Transaction, chunk_key, job_key,
};

/// Length of a lease, in milliseconds.
pub const LEASE_MS: u64 = 15_000;
/// Share of a lease after which it is renewed, in percent.
const RENEW_AFTER_PERCENT: u64 = 40;

/// A chunk that this process holds according to its last successful write. The
/// lease may have been taken over since.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeldChunk {
    /// Job identifier.
    pub job: JobId,
    /// Identifier of the job's input file.
    pub input_file: Arc<str>,
    /// The chunk.
    pub chunk: ChunkName,
    /// Version of the job's row while the job is open.
    pub job_version: u64,
    /// Version of the chunk's row after this holder's last write.
    pub version: u64,
    /// The chunk's row after this holder's last write.
    pub row: ChunkRow,
}

/// Progress on the items of a chunk that has not been committed yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ChunkProgress {
    /// Failed attempts, sorted by item.
    pub attempts: Vec<FailedAttempts>,
    /// Items that are about to be sent, or may have been sent, to an endpoint
    /// that is not idempotent, sorted. They must not be sent again.
    pub intents: Vec<u32>,
    /// Results obtained so far.
    pub partial: Option<PartialRef>,
}

/// Committed results of a chunk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ChunkResult {
    /// Object with the answers.
    pub output: Option<ObjectRef>,
    /// Object with the error records.
    pub errors: Option<ObjectRef>,
    /// Number of items with an answer.
    pub completed: u32,
    /// Number of items with an error record.
    pub failed: u32,
}

/// A write by the holder of a chunk, and the chunk's row once the write has
/// taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// The conditional write.
    pub table_write: ConditionalWrite,
    /// The chunk's row after the write.
    pub row: ChunkRow,
}

/// Returns the time at which a lease of `lease_ms` that began at `leased_at_ms`
/// is due for renewal.
#[must_use]
pub const fn renewal_due_ms(leased_at_ms: u64, lease_ms: u64) -> u64 {
    leased_at_ms + lease_ms * RENEW_AFTER_PERCENT / 100
}

impl HeldChunk {
    /// Creates a chunk that will be held once the claim that writes `row` has
    /// taken effect. The claim then sets the version.
    pub(crate) fn new(open: &OpenJob, chunk: ChunkName, row: ChunkRow) -> Self {
        Self {
            job: open.row.job.clone(),
            input_file: Arc::clone(&open.row.input_file),
            chunk,
            job_version: open.job_version(),
            version: 0,
            row,
        }
    }

    /// Returns the key of the chunk's row.
    #[must_use]
    pub fn key(&self) -> String {
        chunk_key(&self.job, self.chunk)
    }

    /// Returns a name for an object that this holder writes as operation `op`.
    /// The name contains the operation id, so no other holder and no other
    /// write uses it.
    #[must_use]
    pub fn object_name(&self, kind: &str, op: OpId) -> String {
        let Self { job, chunk, .. } = self;
        let OpId { process, number } = op;
        format!("job/{job}/{kind}/{chunk}/{process:016x}-{number}")
    }

    /// Plans a write that renews the lease and records the progress.
    #[must_use]
    pub fn plan_renew(
        &self,
        op: OpId,
        holder: &InstanceId,
        lease_until_ms: u64,
        progress: ChunkProgress,
    ) -> LeaseWrite {
        let state = ChunkState::Held {
            holder: holder.clone(),
            lease_until_ms,
        };
        self.plan_write(op, progress, state)
    }

    /// Plans a write that releases the lease and records the progress for the
    /// next holder.
    #[must_use]
    pub fn plan_release(&self, op: OpId, progress: ChunkProgress) -> LeaseWrite {
        self.plan_write(op, progress, ChunkState::Free)
    }

    /// Plans a write that commits the results of the chunk. A committed chunk
    /// is never written again.
    #[must_use]
    pub fn plan_commit(&self, op: OpId, result: ChunkResult) -> LeaseWrite {
        let state = ChunkState::Done {
            output: result.output,
            errors: result.errors,
            completed: result.completed,
            failed: result.failed,
        };
        self.plan_write(op, ChunkProgress::default(), state)
    }

    /// Records that `write` took effect and set the row's version to `version`.
    pub fn apply(&mut self, write: &LeaseWrite, version: u64) {
        self.row = write.row.clone();
        self.version = version;
    }

    fn plan_write(&self, op: OpId, progress: ChunkProgress, state: ChunkState) -> LeaseWrite {
        let row = ChunkRow {
            fence: self.row.fence,
            op,
            lapses: self.row.lapses,
            attempts: progress.attempts,
            intents: progress.intents,
            partial: progress.partial,
            state,
        };
        let key = self.key();
        let transaction = Transaction::new()
            .require_version(&job_key(&self.job), self.job_version)
            .require_version(&key, self.version)
            .with_put(&key, RowValue::Chunk(Box::new(row.clone())));
        LeaseWrite {
            table_write: ConditionalWrite::new(transaction, &key, op),
            row,
        }
    }
}
