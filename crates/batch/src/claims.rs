//! Tasks that read open jobs and claim chunks of them.

use job_store::{StoreError, unix_ms};
use jobs::{
    ChunkName, ChunkRun, ChunkState, ClaimPlan, Deferral, HeldChunk, Isolation, OpenJob, Outcome,
    TakeoverCandidate, WorkKind, plan_complete, plan_fresh_claim, plan_takeover,
    takeover_isolation, tally_chunks,
};
use model::ErrorKind;
use store::Priority;

use crate::{
    context::Context,
    event::{ClaimOutcome, OpenPage},
};

/// Delay before another attempt to claim a chunk that could not be claimed, in
/// milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;

/// Summary of the chunks that a claimant already holds. It determines which chunks
/// the claimant may take over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldChunksSummary {
    /// Whether a held chunk is suspect.
    pub(crate) has_suspect: bool,
    /// Whether no chunk is held.
    pub(crate) is_empty: bool,
}

/// Reads a page of the open jobs whose keys begin with `prefix`.
pub(crate) async fn poll_open_jobs(
    context: &Context,
    prefix: String,
    after: Option<String>,
) -> Result<OpenPage, StoreError> {
    let (jobs, next) = context.store.open_jobs(&prefix, after.as_deref()).await?;
    Ok(OpenPage {
        prefix,
        after,
        jobs,
        next,
    })
}

/// Attempts to claim work of kind `kind` on a job.
pub(crate) async fn claim(
    context: &Context,
    job: OpenJob,
    kind: WorkKind,
    committed_chunks: &[ChunkName],
    held_chunks: HeldChunksSummary,
) -> Result<ClaimOutcome, StoreError> {
    match kind {
        WorkKind::FreshClaim => claim_fresh(context, job, committed_chunks).await,
        WorkKind::Takeover(chunk) => take_over(context, job, chunk, held_chunks).await,
        WorkKind::CompletionCheck => complete_job(context, job).await,
    }
}

/// Reads the items of a chunk and the partial result of earlier holders. Returns
/// them with the size of the input lines, in bytes.
pub(crate) async fn load_chunk(
    context: &Context,
    chunk: &HeldChunk,
    endpoint: &str,
    is_idempotent: bool,
) -> Result<(ChunkRun, usize), StoreError> {
    let (span, first, items) = context.chunk_span(&chunk.input_file, chunk.chunk).await?;
    let bytes = context.store.chunk_lines(&chunk.input_file, span).await?;
    let input =
        std::str::from_utf8(&bytes).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let lines: Vec<&str> = input
        .lines()
        .filter(|line| !line.trim().is_empty())
        .skip(first as usize)
        .take(items as usize)
        .collect();
    let partial = match &chunk.row.partial {
        Some(partial) => context.store.partial_records(&partial.name).await?,
        None => Vec::new(),
    };
    let id_prefix = format!("{}_{}", chunk.job, chunk.chunk.index);
    let mut run = ChunkRun::new(&lines, first, &id_prefix, endpoint, &chunk.row, &partial)
        .with_idempotent(is_idempotent);
    if chunk.row.is_exhausted(items) {
        let message = "every process that ran the item ended abnormally";
        run.fail_remaining(ErrorKind::UpstreamFailed, message);
    }
    Ok((run, bytes.len()))
}

async fn claim_fresh(
    context: &Context,
    job: OpenJob,
    committed_chunks: &[ChunkName],
) -> Result<ClaimOutcome, StoreError> {
    let claimant = context.claimant(unix_ms());
    let op = context.store.next_op_id();
    match plan_fresh_claim(&job, &claimant, op, 1, committed_chunks) {
        Some(plan) => apply_claim(context, &job.key, plan, Isolation::Shared).await,
        None => Ok(ClaimOutcome::Refreshed(job)),
    }
}

async fn take_over(
    context: &Context,
    job: OpenJob,
    chunk: ChunkName,
    held_chunks: HeldChunksSummary,
) -> Result<ClaimOutcome, StoreError> {
    let id = &job.row.job;
    let defer = |until_ms: u64| Deferral {
        job: id.clone(),
        chunk: Some(chunk),
        until_ms,
    };
    let now_ms = unix_ms();
    let Some((version, row)) = context.store.chunk(id, chunk).await? else {
        return Ok(ClaimOutcome::Deferred(defer(now_ms + RETRY_DELAY_MS)));
    };
    match &row.state {
        ChunkState::Done { .. } => return Ok(ClaimOutcome::ChunksDone(vec![chunk])),
        ChunkState::Split => return reread_open_row(context, &job.key).await,
        ChunkState::Held { lease_until_ms, .. } if *lease_until_ms > now_ms => {
            return Ok(ClaimOutcome::Deferred(defer(*lease_until_ms)));
        }
        ChunkState::Held { .. } | ChunkState::Free => {}
    }
    let (_, _, items) = context.chunk_span(&job.row.input_file, chunk).await?;
    let isolation = takeover_isolation(&row, items);
    match isolation {
        Isolation::NoOtherSuspect if held_chunks.has_suspect => {
            return Ok(ClaimOutcome::Deferred(defer(now_ms + RETRY_DELAY_MS)));
        }
        Isolation::Exclusive if !held_chunks.is_empty => {
            return Ok(ClaimOutcome::NeedsExclusive(defer(now_ms + RETRY_DELAY_MS)));
        }
        Isolation::Shared | Isolation::NoOtherSuspect | Isolation::Exclusive => {}
    }
    let candidate = TakeoverCandidate {
        chunk,
        version,
        row: &row,
        items,
    };
    let op = context.store.next_op_id();
    let claimant = context.claimant(now_ms);
    match plan_takeover(&job, &candidate, &claimant, op, now_ms) {
        Some(plan) => apply_claim(context, &job.key, plan, isolation).await,
        None => Ok(ClaimOutcome::Deferred(defer(now_ms + RETRY_DELAY_MS))),
    }
}

async fn complete_job(context: &Context, job: OpenJob) -> Result<ClaimOutcome, StoreError> {
    let store = &context.store;
    let id = &job.row.job;
    let chunks = store.chunks(id).await?;
    let tally = tally_chunks(chunks.iter().map(|(chunk, row)| (*chunk, row)));
    if !tally.is_complete(job.row.items) {
        return Ok(ClaimOutcome::ChunksDone(tally.done_chunks));
    }
    let Some((version, row)) = store.job(id).await? else {
        return Ok(ClaimOutcome::JobEnded);
    };
    if version != job.job_version() {
        return Ok(ClaimOutcome::JobEnded);
    }
    let op = store.next_op_id();
    let write = plan_complete(&row, version, tally.completed, tally.failed, op, unix_ms());
    if let Outcome::Applied { .. } = store.write_resolved(write, Priority::Commit).await {
        log::info!(
            "event=job_completed job={id} completed={} failed={}",
            tally.completed,
            tally.failed
        );
    }
    Ok(ClaimOutcome::JobEnded)
}

async fn apply_claim(
    context: &Context,
    key: &str,
    plan: ClaimPlan,
    isolation: Isolation,
) -> Result<ClaimOutcome, StoreError> {
    let write = plan.table_write.clone();
    match context.store.write_resolved(write, Priority::Claim).await {
        Outcome::Applied { version } => {
            let (chunks, open) = plan.into_applied(version);
            Ok(ClaimOutcome::Claimed {
                chunks,
                open,
                is_exclusive: isolation == Isolation::Exclusive,
            })
        }
        Outcome::Refused => reread_open_row(context, key).await,
    }
}

async fn reread_open_row(context: &Context, key: &str) -> Result<ClaimOutcome, StoreError> {
    match context.store.open_job(key).await? {
        Some(job) => Ok(ClaimOutcome::Refreshed(job)),
        None => Ok(ClaimOutcome::JobEnded),
    }
}
