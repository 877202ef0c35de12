//! Tasks that write the row of a held chunk: renewal with a partial result, release
//! and commit.

use std::time::Duration;

use bytes::Bytes;
use job_store::JobStore;
use jobs::{
    ChunkProgress, ChunkResult, HeldChunk, ItemRecord, LeaseWrite, OpId, Outcome, PartialRef,
    plan_release_hint,
};
use store::Priority;
use tokio::time::Instant;

use crate::context::Context;

/// Maximum number of attempts to record a release hint while other processes change
/// the same row.
const RELEASE_HINT_ATTEMPTS: usize = 8;
/// Time-out of one attempt to record a release hint.
const RELEASE_HINT_TIMEOUT: Duration = Duration::from_secs(2);

/// Records the progress of a chunk. Renews its lease until `lease_until_ms`, or
/// releases the chunk if `lease_until_ms` is `None`.
pub(crate) async fn record_progress(
    context: &Context,
    chunk: &HeldChunk,
    mut progress: ChunkProgress,
    records: Vec<ItemRecord>,
    lease_until_ms: Option<u64>,
) -> (LeaseWrite, Outcome) {
    let store = &context.store;
    let op = store.next_op_id();
    if !records.is_empty() {
        let name = chunk.object_name("partial", op);
        let bytes = serde_json::to_vec(&records).unwrap_or_default();
        store.put_object_with_retry(&name, Bytes::from(bytes)).await;
        progress.partial = Some(PartialRef { name });
    }
    let write = match lease_until_ms {
        Some(lease_until_ms) => chunk.plan_renew(op, &context.instance, lease_until_ms, progress),
        None => chunk.plan_release(op, progress),
    };
    let outcome = store
        .write_resolved(write.table_write.clone(), Priority::Commit)
        .await;
    delete_superseded_partial(store, chunk, &write, outcome);
    (write, outcome)
}

/// Records in the job's open row that a chunk has been released, so that another
/// process can claim it at once. This is best effort: if it fails, other processes
/// find the chunk when the lease shown in that row has lapsed.
pub(crate) async fn record_release_hint(context: &Context, open_key: &str, chunk: &HeldChunk) {
    let store = &context.store;
    for _ in 0..RELEASE_HINT_ATTEMPTS {
        let Ok(Some(open)) = store.open_job(open_key).await else {
            return;
        };
        let Some(write) = plan_release_hint(&open, chunk.chunk, store.next_op_id()) else {
            return;
        };
        let deadline = Instant::now() + RELEASE_HINT_TIMEOUT;
        let result = store
            .write_resolved_before(write, Priority::Commit, deadline)
            .await;
        if result != Ok(Outcome::Refused) {
            return;
        }
    }
}

/// Writes the results of a chunk to objects and commits them.
pub(crate) async fn commit(
    context: &Context,
    chunk: &HeldChunk,
    records: Vec<ItemRecord>,
) -> (LeaseWrite, Outcome) {
    let store = &context.store;
    let op = store.next_op_id();
    let write = chunk.plan_commit(op, put_result(store, chunk, op, &records).await);
    drop(records);
    let outcome = store
        .write_resolved(write.table_write.clone(), Priority::Commit)
        .await;
    delete_superseded_partial(store, chunk, &write, outcome);
    (write, outcome)
}

async fn put_result(
    store: &JobStore,
    chunk: &HeldChunk,
    op: OpId,
    records: &[ItemRecord],
) -> ChunkResult {
    let (errors, output): (Vec<_>, Vec<_>) = records.iter().partition(|record| record.is_error);
    let count = |records: &[&ItemRecord]| u32::try_from(records.len()).unwrap_or(u32::MAX);
    ChunkResult {
        completed: count(&output),
        failed: count(&errors),
        output: store
            .put_record_lines(chunk.object_name("output", op), output)
            .await,
        errors: store
            .put_record_lines(chunk.object_name("errors", op), errors)
            .await,
    }
}

/// Deletes the previous partial result if the chunk's row no longer refers to it.
/// The deletion runs in the background.
fn delete_superseded_partial(
    store: &JobStore,
    chunk: &HeldChunk,
    write: &LeaseWrite,
    outcome: Outcome,
) {
    let Some(partial) = chunk.row.partial.clone() else {
        return;
    };
    // The parts of a split chunk share the partial result of the parent chunk.
    let is_shared = chunk.chunk.part.is_some();
    let is_kept = write.row.partial.as_ref() == Some(&partial);
    if is_kept || is_shared || outcome == Outcome::Refused {
        return;
    }
    let store = store.clone();
    tokio::spawn(async move { store.delete_object(&partial.name).await });
}
