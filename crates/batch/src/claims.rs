//! Tasks that look for work and claim it.

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

/// Delay before another look at a chunk that could not be had, milliseconds.
const RETRY_MS: u64 = 1_000;

/// What a claimant holds besides, which decides what it may take over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Holdings {
    /// It holds a suspect chunk.
    pub(crate) has_suspect: bool,
    /// It holds nothing.
    pub(crate) is_empty: bool,
}

/// Reads a page of the open jobs.
pub(crate) async fn poll(
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

/// Tries to claim work on a job.
pub(crate) async fn claim(
    context: &Context,
    job: OpenJob,
    kind: WorkKind,
    done: &[ChunkName],
    holdings: Holdings,
) -> Result<ClaimOutcome, StoreError> {
    match kind {
        WorkKind::FreshClaim => claim_fresh(context, job, done).await,
        WorkKind::Takeover(chunk) => take_over(context, job, chunk, holdings).await,
        WorkKind::CompletionCheck => finish(context, job).await,
    }
}

/// Reads the items of a chunk and what earlier holders left.
pub(crate) async fn load(
    context: &Context,
    held: &HeldChunk,
    endpoint: &str,
    is_repeatable: bool,
) -> Result<(ChunkRun, usize), StoreError> {
    let (span, first, items) = context.span(&held.input_file, held.chunk).await?;
    let bytes = context.store.chunk_lines(&held.input_file, span).await?;
    let text =
        std::str::from_utf8(&bytes).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.trim().is_empty())
        .skip(first as usize)
        .take(items as usize)
        .collect();
    let partial = match &held.row.partial {
        Some(partial) => context.store.records(&partial.name).await?,
        None => Vec::new(),
    };
    let id_prefix = format!("{}_{}", held.job, held.chunk.index);
    let mut run = ChunkRun::new(&lines, first, &id_prefix, endpoint, &held.row, &partial)
        .with_idempotent(is_repeatable);
    if held.row.is_exhausted(items) {
        let message = "the item ended every process that ran it";
        run.fail_remaining(ErrorKind::UpstreamFailed, message);
    }
    Ok((run, bytes.len()))
}

async fn claim_fresh(
    context: &Context,
    job: OpenJob,
    done: &[ChunkName],
) -> Result<ClaimOutcome, StoreError> {
    let claimant = context.claimant(unix_ms());
    let op = context.store.next_op();
    match plan_fresh_claim(&job, &claimant, op, 1, done) {
        Some(plan) => settle(context, &job.key, plan, Isolation::Shared).await,
        None => Ok(ClaimOutcome::Refreshed(job)),
    }
}

async fn take_over(
    context: &Context,
    job: OpenJob,
    chunk: ChunkName,
    holdings: Holdings,
) -> Result<ClaimOutcome, StoreError> {
    let id = &job.row.job;
    let defer = |until_ms: u64| Deferral {
        job: id.clone(),
        chunk: Some(chunk),
        until_ms,
    };
    let now_ms = unix_ms();
    let Some((version, row)) = context.store.chunk(id, chunk).await? else {
        return Ok(ClaimOutcome::Deferred(defer(now_ms + RETRY_MS)));
    };
    match &row.state {
        ChunkState::Done { .. } => return Ok(ClaimOutcome::Done(vec![chunk])),
        ChunkState::Split => return refresh(context, &job.key).await,
        ChunkState::Held { lease_until_ms, .. } if *lease_until_ms > now_ms => {
            return Ok(ClaimOutcome::Deferred(defer(*lease_until_ms)));
        }
        ChunkState::Held { .. } | ChunkState::Free => {}
    }
    let (_, _, items) = context.span(&job.row.input_file, chunk).await?;
    let terms = takeover_isolation(&row, items);
    match terms {
        Isolation::NoOtherSuspect if holdings.has_suspect => {
            return Ok(ClaimOutcome::Deferred(defer(now_ms + RETRY_MS)));
        }
        Isolation::Exclusive if !holdings.is_empty => {
            return Ok(ClaimOutcome::NeedsAlone(defer(now_ms + RETRY_MS)));
        }
        Isolation::Shared | Isolation::NoOtherSuspect | Isolation::Exclusive => {}
    }
    let found = TakeoverCandidate {
        chunk,
        version,
        row: &row,
        items,
    };
    let op = context.store.next_op();
    let claimant = context.claimant(now_ms);
    match plan_takeover(&job, &found, &claimant, op, now_ms) {
        Some(plan) => settle(context, &job.key, plan, terms).await,
        None => Ok(ClaimOutcome::Deferred(defer(now_ms + RETRY_MS))),
    }
}

async fn finish(context: &Context, job: OpenJob) -> Result<ClaimOutcome, StoreError> {
    let store = &context.store;
    let id = &job.row.job;
    let chunks = store.chunks(id).await?;
    let sum = tally_chunks(chunks.iter().map(|(chunk, row)| (*chunk, row)));
    if !sum.is_complete(job.row.items) {
        return Ok(ClaimOutcome::Done(sum.done_chunks));
    }
    let Some((version, row)) = store.job(id).await? else {
        return Ok(ClaimOutcome::Ended);
    };
    if version != job.job_version() {
        return Ok(ClaimOutcome::Ended);
    }
    let op = store.next_op();
    let settle = plan_complete(&row, version, sum.completed, sum.failed, op, unix_ms());
    if let Outcome::Applied { .. } = store.settle(settle, Priority::Commit).await {
        log::info!(
            "event=job_completed job={id} completed={} failed={}",
            sum.completed,
            sum.failed
        );
    }
    Ok(ClaimOutcome::Ended)
}

async fn settle(
    context: &Context,
    key: &str,
    plan: ClaimPlan,
    terms: Isolation,
) -> Result<ClaimOutcome, StoreError> {
    let settle = plan.table_write.clone();
    match context.store.settle(settle, Priority::Claim).await {
        Outcome::Applied { version } => {
            let (chunks, open) = plan.into_applied(version);
            Ok(ClaimOutcome::Held {
                chunks,
                open,
                is_alone: terms == Isolation::Exclusive,
            })
        }
        Outcome::Refused => refresh(context, key).await,
    }
}

async fn refresh(context: &Context, key: &str) -> Result<ClaimOutcome, StoreError> {
    match context.store.open_job(key).await? {
        Some(job) => Ok(ClaimOutcome::Refreshed(job)),
        None => Ok(ClaimOutcome::Ended),
    }
}
