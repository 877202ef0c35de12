//! Ends jobs: completes a job once every item has a result, or cancels it.

use model::InstanceId;

use crate::{
    ChunkName, ChunkRow, ChunkState, ConditionalWrite, JobRow, JobState, ObjectRef, OpId, RowValue,
    Transaction, job_key, open_key,
};

/// Totals over the committed chunks of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobTally {
    /// Number of items with an answer.
    pub completed: u32,
    /// Number of items with an error record.
    pub failed: u32,
    /// Objects with answers, in input order.
    pub outputs: Vec<ObjectRef>,
    /// Objects with error records, in input order.
    pub errors: Vec<ObjectRef>,
    /// Committed chunks, in input order.
    pub done_chunks: Vec<ChunkName>,
}

impl JobTally {
    /// Returns whether all `items` items of the job have a result.
    #[must_use]
    pub const fn is_complete(&self, items: u32) -> bool {
        self.completed + self.failed == items
    }
}

/// Computes the totals over the chunks of a job. `chunks` must be in key order.
pub fn tally_chunks<'a>(chunks: impl IntoIterator<Item = (ChunkName, &'a ChunkRow)>) -> JobTally {
    let mut totals = JobTally::default();
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
        totals.completed += completed;
        totals.failed += failed;
        totals.outputs.extend(output.clone());
        totals.errors.extend(errors.clone());
        totals.done_chunks.push(chunk);
    }
    totals
}

/// Returns the instances that hold a lease on one of `chunks`, sorted.
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

/// Plans a write that completes a job whose items all have results. `version`
/// is the version of the job's row.
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

/// Plans a write that cancels a job. `version` is the version of the job's row.
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
