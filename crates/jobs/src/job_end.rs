//! Ends jobs: completion once every item has a result, and cancellation.

use model::InstanceId;

use crate::{
    ChunkName, ChunkRow, ChunkState, ConditionalWrite, JobRow, JobState, ObjectRef, OpId, RowValue,
    Transaction, job_key, open_key,
};

/// Sum over the chunks of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobTally {
    /// Items with an answer.
    pub completed: u32,
    /// Items with an error record.
    pub failed: u32,
    /// Objects with answers, in the order of the input.
    pub outputs: Vec<ObjectRef>,
    /// Objects with error records, in the order of the input.
    pub errors: Vec<ObjectRef>,
    /// Chunks that are done, in the order of the input.
    pub done_chunks: Vec<ChunkName>,
}

impl JobTally {
    /// Whether every one of `items` items has a result.
    #[must_use]
    pub const fn is_complete(&self, items: u32) -> bool {
        self.completed + self.failed == items
    }
}

/// Sums up the chunks of a job; `chunks` are in the order of their keys.
pub fn tally_chunks<'a>(chunks: impl IntoIterator<Item = (ChunkName, &'a ChunkRow)>) -> JobTally {
    let mut sum = JobTally::default();
    for (chunk, row) in chunks {
        let ChunkState::Done {
            output,
            errors,
            completed,
            failed,
        } = &row.state
        else {
            continue;
        };
        sum.completed += completed;
        sum.failed += failed;
        sum.outputs.extend(output.clone());
        sum.errors.extend(errors.clone());
        sum.done_chunks.push(chunk);
    }
    sum
}

/// Instances that hold a lease on one of `chunks`, sorted.
pub fn lease_holders<'a>(chunks: impl IntoIterator<Item = &'a ChunkRow>) -> Vec<InstanceId> {
    let holders = chunks.into_iter().filter_map(|row| match &row.state {
        ChunkState::Held { holder, .. } => Some(holder.clone()),
        ChunkState::Free | ChunkState::Split | ChunkState::Done { .. } => None,
    });
    let mut holders: Vec<_> = holders.collect();
    holders.sort_unstable();
    holders.dedup();
    holders
}

/// Ends a job whose items all have results. `version` is that of the row.
#[must_use]
pub fn plan_complete(
    job: &JobRow,
    version: u64,
    completed: u32,
    failed: u32,
    op: OpId,
    now_ms: u64,
) -> ConditionalWrite {
    let state = JobState::Completed {
        at_ms: now_ms,
        completed,
        failed,
        op,
    };
    plan_end(job, version, state, op)
}

/// Cancels a job. `version` is that of the row.
#[must_use]
pub fn plan_cancel(job: &JobRow, version: u64, op: OpId, now_ms: u64) -> ConditionalWrite {
    let state = JobState::Cancelled { at_ms: now_ms, op };
    plan_end(job, version, state, op)
}

fn plan_end(job: &JobRow, version: u64, state: JobState, op: OpId) -> ConditionalWrite {
    let key = job_key(&job.job);
    let row = JobRow {
        state,
        ..job.clone()
    };
    let transaction = Transaction::new()
        .require_version(&key, version)
        .with_put(&key, RowValue::Job(Box::new(row)))
        .with_delete(&open_key(&job.region, job.deadline_ms, &job.job));
    ConditionalWrite::new(transaction, &key, op)
}
