//! Answers requests about submitted jobs: reads of results and item bodies, and
//! requests to end a job.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use gateway::{Customer, StoreReachability};
use http::{Response, StatusCode, request};
use ledger::{CommitOutcome, JobPhase, JobRecord, ResultPage};
use model::{CustomerName, JobId};
use platform::{JobCall, JobQuery, StoreError};
use tokio::time::{sleep, timeout_at};

use super::{
    ownership,
    peer_forwarding::{PeerOutcome, forward_to_peers, store_reachability},
    storage::JobRows,
};
use crate::{
    answer::{self, AnswerBody},
    attempt::OutgoingRequest,
    node::Node,
};

/// Retry-after hint if neither the store nor a peer answers, milliseconds.
const STORE_RETRY_AFTER_MS: u64 = 300;
/// Time-out of a request that is forwarded to a peer, milliseconds. The time-out exceeds
/// [`WAIT_MAX_MS`], the time for which the peer may hold a read of results.
const PEER_TIMEOUT_MS: u64 = 2_500;
/// Maximum time that a read of results waits for the next result (long polling),
/// milliseconds.
const WAIT_MAX_MS: u64 = 1_000;
/// Maximum time since the last answer to the feed of job records for these records to
/// count as up to date, milliseconds. It is below the time after which a result that one
/// instance has shown must be readable at all of them.
const RECORD_FRESH_MS: u64 = 700;
/// Maximum number of tries to end a job before the request fails.
const END_TRIES_MAX: u32 = 8;
/// Delay before the next try to end a job after an error.
const END_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers a request about a job. While the store is unreachable, the request is
/// forwarded to a peer first. A request is also forwarded after a call to the store
/// failed.
pub(super) async fn answer_query(
    node: &Rc<Node>,
    query: JobQuery,
    customer: Option<&Customer>,
    parts: &request::Parts,
) -> Response<AnswerBody> {
    let caller = customer.map(|customer| &customer.name);
    let outgoing = OutgoingRequest::new(parts, Bytes::new(), query.job.as_str());
    let via_peer = async || {
        let deadline_ms = node.now_ms() + PEER_TIMEOUT_MS;
        forward_to_peers(node, &query.job, &outgoing, deadline_ms).await
    };
    if node.store_health.is_unreachable()
        && let PeerOutcome::Answered(response) = via_peer().await
    {
        return answer::from_peer(response);
    }
    let error = match answer_locally(node, &query, caller).await {
        Ok(response) => return response,
        Err(error) => error,
    };
    log::warn!(
        "event=job_query_failed job={} error={}",
        query.job,
        process::quote(&error)
    );
    match (via_peer().await, &query.call) {
        (PeerOutcome::Answered(response), _) => answer::from_peer(response),
        (PeerOutcome::NotDone, _) if error.is_not_done() => store_unavailable(),
        (_, JobCall::End) => end_unknown(),
        _ => store_unavailable(),
    }
}

/// Has a peer answer a request about a job, because this instance may not accept the caller's
/// key now. Returns `None` if no peer answered.
pub(super) async fn pass_on_query(
    node: &Rc<Node>,
    query: &JobQuery,
    parts: &request::Parts,
) -> Option<Response<AnswerBody>> {
    let outgoing = OutgoingRequest::new(parts, Bytes::new(), query.job.as_str());
    let deadline_ms = node.now_ms() + PEER_TIMEOUT_MS;
    match forward_to_peers(node, &query.job, &outgoing, deadline_ms).await {
        PeerOutcome::Answered(response) => Some(answer::from_peer(response)),
        PeerOutcome::Unknown if query.call == JobCall::End => Some(end_unknown()),
        PeerOutcome::NotDone | PeerOutcome::Unknown => None,
    }
}

fn end_unknown() -> Response<AnswerBody> {
    answer::text(StatusCode::GATEWAY_TIMEOUT, "the job may have been ended")
}

async fn answer_locally(
    node: &Rc<Node>,
    query: &JobQuery,
    caller: Option<&CustomerName>,
) -> Result<Response<AnswerBody>, StoreError> {
    if !is_visible(node, &query.job, caller).await? {
        return Ok(not_found(&query.job));
    }
    match &query.call {
        JobCall::Results {
            from_position,
            wait_ms,
        } => read_results(node, &query.job, *from_position, *wait_ms).await,
        JobCall::ItemBody { item } => read_item_body(node, &query.job, item).await,
        JobCall::End => end_job(node, &query.job).await,
        JobCall::Unreadable => {
            log::warn!("event=job_query_unreadable job={}", query.job);
            Ok(answer::text(
                StatusCode::BAD_REQUEST,
                "the position or the wait time is not a number",
            ))
        }
    }
}

/// Returns whether a caller may see a job. A job that does not exist is left to the call itself.
async fn is_visible(
    node: &Node,
    id: &JobId,
    caller: Option<&CustomerName>,
) -> Result<bool, StoreError> {
    if !node.has_customers() {
        return Ok(true);
    }
    let record = known_record(node, id, 0).await?;
    Ok(record.is_none_or(|record| is_visible_to(node, &record, caller)))
}

/// Returns whether a caller may see a job: the job belongs to the caller's customer or to none,
/// or the configuration names no customers.
pub(super) fn is_visible_to(
    node: &Node,
    record: &JobRecord,
    caller: Option<&CustomerName>,
) -> bool {
    let is_own = record.customer.is_none() || record.customer.as_ref() == caller;
    is_own || !node.has_customers()
}

pub(crate) fn store_unavailable() -> Response<AnswerBody> {
    answer::service_unavailable(STORE_RETRY_AFTER_MS, "the store does not answer")
}

async fn read_results(
    node: &Rc<Node>,
    id: &JobId,
    from_position: u64,
    wait_ms: u64,
) -> Result<Response<AnswerBody>, StoreError> {
    let Some(record) = known_record(node, id, from_position).await? else {
        return Ok(not_found(id));
    };
    let mut record = wait_for_result(node, id, record, from_position, wait_ms).await;
    if record.committed_count() <= from_position && !has_fresh_records(node) {
        match stored_record(node, id).await? {
            Some(stored) => record = stored,
            None => return Ok(not_found(id)),
        }
    }
    let results = if record.committed_count() > from_position {
        JobRows::new(node).read_results(id, from_position).await?
    } else {
        Vec::new()
    };
    if results.is_empty() && record.committed_count() > from_position {
        let message = format!("no result at position {from_position}, which the record lists");
        return Err(StoreError::Protocol(message));
    }
    let page = ResultPage {
        item_count: u64::from(record.item_count),
        next_position: from_position + results.len() as u64,
        results,
    };
    Ok(answer::json(platform::encode_results(&page)))
}

/// Returns a record of the job that covers the results before `from_position`, or `None`
/// if there is no such job. The cached record may lack newer results.
async fn known_record(
    node: &Node,
    id: &JobId,
    from_position: u64,
) -> Result<Option<Arc<JobRecord>>, StoreError> {
    match cached_record(node, id) {
        Some(record) if record.committed_count() >= from_position => Ok(Some(record)),
        _ => stored_record(node, id).await,
    }
}

/// Returns the newest record of a job that this instance has followed.
pub(super) fn cached_record(node: &Node, id: &JobId) -> Option<Arc<JobRecord>> {
    let directory = node.directory.borrow();
    directory.job(id).map(|job| Arc::clone(&job.record))
}

pub(super) async fn stored_record(
    node: &Node,
    id: &JobId,
) -> Result<Option<Arc<JobRecord>>, StoreError> {
    let stored = JobRows::new(node).read_record(id).await?;
    Ok(stored.map(|(record, _)| Arc::new(record)))
}

/// Returns whether the cached records include every change that another instance may have
/// shown to a caller. Answers of the store to other calls say nothing about that: the feed
/// may stall alone, as it does after this process was paused.
pub(super) fn has_fresh_records(node: &Node) -> bool {
    let age_ms = node.now_ms().saturating_sub(node.jobs_fed_at_ms.get());
    !node.store_health.is_unreachable() && age_ms < RECORD_FRESH_MS
}

/// Waits until the record covers a result at `from_position`, the job ends, or `wait_ms`
/// but at most [`WAIT_MAX_MS`] have passed. Returns the newest record.
async fn wait_for_result(
    node: &Rc<Node>,
    id: &JobId,
    mut record: Arc<JobRecord>,
    from_position: u64,
    wait_ms: u64,
) -> Arc<JobRecord> {
    let deadline_ms = node.now_ms() + wait_ms.min(WAIT_MAX_MS);
    let deadline = node.clock.instant(deadline_ms);
    let mut changes = node.jobs_changed.subscribe();
    while record.is_open() && record.committed_count() <= from_position {
        if timeout_at(deadline, changes.changed()).await.is_err() {
            break;
        }
        if let Some(newest) = cached_record(node, id)
            && newest.committed_count() >= record.committed_count()
        {
            record = newest;
        }
    }
    record
}

async fn read_item_body(
    node: &Rc<Node>,
    id: &JobId,
    item: &str,
) -> Result<Response<AnswerBody>, StoreError> {
    let owned_body = node.runner.borrow().item_body(id, item);
    if let Some(body) = owned_body {
        return Ok(answer::bytes(body));
    }
    if JobRows::new(node).read_record(id).await?.is_none() {
        return Ok(not_found(id));
    }
    let permits = node.runner.borrow().item_reads.permits();
    let _permit = permits.acquire().await;
    let items = JobRows::new(node).read_contents(id).await?;
    let found = items.iter().find(|other| *other.id == *item);
    Ok(match found {
        Some(item) => answer::bytes(platform::encode_item_body(item)),
        None => not_found(id),
    })
}

/// Ends a job. Each try reads the record and replaces it if it has not changed.
///
/// # Errors
///
/// Returns an error after [`END_TRIES_MAX`] tries, or after a failed try while other
/// instances may reach the store. The error says that nothing was done only if that
/// holds for all tries.
async fn end_job(node: &Rc<Node>, id: &JobId) -> Result<Response<AnswerBody>, StoreError> {
    let mut may_have_ended = false;
    let mut last_error =
        StoreError::NotDone("the job record changed during each attempt".to_owned());
    for tries in 0..END_TRIES_MAX {
        match try_end_job(node, id, tries).await {
            Ok(Some(response)) => return Ok(response),
            Ok(None) => {}
            Err(error) => {
                may_have_ended |= !error.is_not_done();
                log::warn!(
                    "event=job_end_failed job={id} error={}",
                    process::quote(&error)
                );
                last_error = error;
                if store_reachability(node) != StoreReachability::Unreachable {
                    break;
                }
                sleep(END_RETRY_DELAY).await;
            }
        }
    }
    Err(if may_have_ended && last_error.is_not_done() {
        StoreError::Unknown(last_error.to_string())
    } else {
        last_error
    })
}

/// Tries once to end a job. Returns `None` if the record changed meanwhile, so that the
/// caller has to try again (optimistic concurrency).
async fn try_end_job(
    node: &Rc<Node>,
    id: &JobId,
    tries: u32,
) -> Result<Option<Response<AnswerBody>>, StoreError> {
    let Some((mut record, version)) = JobRows::new(node).read_record(id).await? else {
        return Ok(Some(not_found(id)));
    };
    if !record.is_open() {
        // The write of an earlier try may have taken effect without an answer.
        ownership::apply_record(node, id, record, version);
        return Ok(Some(answer::text(StatusCode::OK, "")));
    }
    record.phase = JobPhase::Ended;
    match JobRows::new(node)
        .with_tries(tries)
        .replace_record(id, &record, version, &[])
        .await?
    {
        CommitOutcome::Committed { version } => {
            log::info!(
                "event=job_ended job={id} version={version} listed={}",
                record.committed.len()
            );
            ownership::apply_record(node, id, record, version);
            Ok(Some(answer::text(StatusCode::OK, "")))
        }
        CommitOutcome::Conflict(_) | CommitOutcome::NotConfirmed => Ok(None),
    }
}

pub(super) fn not_found(id: &JobId) -> Response<AnswerBody> {
    log::info!("event=job_unknown job={id}");
    answer::text(StatusCode::NOT_FOUND, "no such job or item")
}
