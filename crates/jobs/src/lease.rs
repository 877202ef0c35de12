//! A leased chunk: renewal, intents, hand-back and commit.
//!
//! Every write is conditional on the chunk's row being as this holder wrote it
//! last and on the job being open. A holder whose lease was taken, however
//! long it was paused, writes nothing.

use std::sync::Arc;

use model::{InstanceId, JobId};

use crate::{
    ChunkName, ChunkRow, ChunkState, ConditionalWrite, FailedAttempts, ObjectRef, OpId, OpenJob,
    PartialRef, RowValue, Transaction, chunk_key, job_key,
};

/// Length of a lease, milliseconds.
pub const LEASE_MS: u64 = 15_000;
/// Share of a lease after which it is renewed, percent.
const RENEW_AFTER_PERCENT: u64 = 40;

/// A chunk that this process holds, as far as it knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeldChunk {
    /// The job.
    pub job: JobId,
    /// Input file of the job.
    pub input_file: Arc<str>,
    /// The chunk.
    pub chunk: ChunkName,
    /// Version of the job's row while the job is open.
    pub job_version: u64,
    /// Version of the chunk's row as this holder wrote it last.
    pub version: u64,
    /// The chunk's row as this holder wrote it last.
    pub row: ChunkRow,
}

/// What a holder knows of its items besides the results.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ChunkProgress {
    /// Failed attempts, sorted by item.
    pub attempts: Vec<FailedAttempts>,
    /// Items that are about to be sent and must not be sent again, sorted.
    pub intents: Vec<u32>,
    /// Results so far.
    pub partial: Option<PartialRef>,
}

/// Committed results of a chunk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ChunkResult {
    /// Answers.
    pub output: Option<ObjectRef>,
    /// Error records.
    pub errors: Option<ObjectRef>,
    /// Items with an answer.
    pub completed: u32,
    /// Items with an error record.
    pub failed: u32,
}

/// A write of a holder, and the chunk as it is once the write has taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// The conditional write.
    pub table_write: ConditionalWrite,
    /// The chunk's row afterwards.
    pub row: ChunkRow,
}

/// Time at which a lease that began at `leased_at_ms` is renewed.
#[must_use]
pub const fn renewal_due_ms(leased_at_ms: u64, lease_ms: u64) -> u64 {
    leased_at_ms + lease_ms * RENEW_AFTER_PERCENT / 100
}

impl HeldChunk {
    /// A chunk that is about to be claimed by writing `row`.
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

    /// Key of the chunk's row.
    #[must_use]
    pub fn key(&self) -> String {
        chunk_key(&self.job, self.chunk)
    }

    /// Name under which an object of this holder is written. No other holder
    /// and no other write uses it.
    #[must_use]
    pub fn object_name(&self, kind: &str, op: OpId) -> String {
        let Self { job, chunk, .. } = self;
        let OpId { process, number } = op;
        format!("job/{job}/{kind}/{chunk}/{process:016x}-{number}")
    }

    /// Extends the lease and records progress.
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
        self.plan(op, progress, state)
    }

    /// Gives the chunk back with what was reached.
    #[must_use]
    pub fn plan_release(&self, op: OpId, progress: ChunkProgress) -> LeaseWrite {
        self.plan(op, progress, ChunkState::Free)
    }

    /// Makes the results those of the chunk, for good.
    #[must_use]
    pub fn plan_commit(&self, op: OpId, result: ChunkResult) -> LeaseWrite {
        let state = ChunkState::Done {
            output: result.output,
            errors: result.errors,
            completed: result.completed,
            failed: result.failed,
        };
        self.plan(op, ChunkProgress::default(), state)
    }

    /// Remembers that `write` took effect and left the row at `version`.
    pub fn apply(&mut self, write: &LeaseWrite, version: u64) {
        self.row = write.row.clone();
        self.version = version;
    }

    fn plan(&self, op: OpId, progress: ChunkProgress, state: ChunkState) -> LeaseWrite {
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
