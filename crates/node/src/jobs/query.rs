//! Answers calls about jobs: results, bodies of items, ends.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use gateway::StoreReachability;
use http::{Response, StatusCode, request};
use ledger::{CommitOutcome, JobPhase, JobRecord, ResultPage};
use model::JobId;
use platform::{JobCall, JobQuery, StoreError};
use tokio::time::{sleep, timeout_at};

use super::{
    ownership,
    pass_on::{Passed, pass_on, store_reach},
    storage::JobRows,
};
use crate::{
    answer::{self, AnswerBody},
    attempt::OutgoingRequest,
    node::Node,
};

/// When to come back if the store does not answer, milliseconds.
const STORE_RETRY_MS: u64 = 300;
/// Time in which a peer answers in place of this instance, milliseconds; longer
/// than a read of results is held.
const PEER_TIMEOUT_MS: u64 = 2_500;
/// Longest time that a read of results is held, milliseconds.
const WAIT_MAX_MS: u64 = 1_000;
/// The table of jobs is trusted if the store answered within this time,
/// milliseconds.
const FRESH_MS: u64 = 4_000;
/// Tries to end a job before the caller is told that it may not be ended.
const END_TRIES: u32 = 8;
/// Wait between tries to end a job.
const END_RETRY: Duration = Duration::from_millis(50);

/// Answers one call.
pub(crate) async fn answer_query(
    node: &Rc<Node>,
    query: JobQuery,
    parts: &request::Parts,
) -> Response<AnswerBody> {
    let call = OutgoingRequest::new(parts, Bytes::new(), query.job.as_str());
    let through_peer = async || {
        let deadline_ms = node.now_ms() + PEER_TIMEOUT_MS;
        pass_on(node, &query.job, &call, deadline_ms).await
    };
    if node.store_health.is_unreachable()
        && let Passed::Answered(response) = through_peer().await
    {
        return answer::from_peer(response);
    }
    let error = match answer_here(node, &query).await {
        Ok(response) => return response,
        Err(error) => error,
    };
    log::warn!(
        "event=job_query_failed job={} error={}",
        query.job,
        process::quote(&error)
    );
    match (through_peer().await, &query.call) {
        (Passed::Answered(response), _) => answer::from_peer(response),
        (Passed::NotDone, _) if error.is_not_done() => not_answered(),
        (_, JobCall::End) => {
            answer::text(StatusCode::GATEWAY_TIMEOUT, "the store's answer was lost")
        }
        _ => not_answered(),
    }
}

async fn answer_here(
    node: &Rc<Node>,
    query: &JobQuery,
) -> Result<Response<AnswerBody>, StoreError> {
    match &query.call {
        JobCall::Results {
            from_position,
            wait_ms,
        } => results(node, &query.job, *from_position, *wait_ms).await,
        JobCall::ItemBody { item } => item_body(node, &query.job, item).await,
        JobCall::End => end(node, &query.job).await,
        JobCall::Unreadable => {
            log::warn!("event=job_query_unreadable job={}", query.job);
            Ok(answer::text(StatusCode::BAD_REQUEST, "not a number"))
        }
    }
}

fn not_answered() -> Response<AnswerBody> {
    answer::service_unavailable(STORE_RETRY_MS, "the store does not answer")
}

async fn results(
    node: &Rc<Node>,
    id: &JobId,
    from_position: u64,
    wait_ms: u64,
) -> Result<Response<AnswerBody>, StoreError> {
    let Some(record) = known_record(node, id, from_position).await? else {
        return Ok(not_found(id));
    };
    let record = wait_for_result(node, id, record, from_position, wait_ms).await;
    let results = if record.committed_count() > from_position {
        JobRows::new(node).results(id, from_position).await?
    } else {
        Vec::new()
    };
    let page = ResultPage {
        item_count: u64::from(record.item_count),
        next_position: from_position + results.len() as u64,
        results,
    };
    Ok(answer::json(platform::encode_results(&page)))
}

/// The record of a job that surely shows every result before `from_position`.
async fn known_record(
    node: &Rc<Node>,
    id: &JobId,
    from_position: u64,
) -> Result<Option<JobRecord>, StoreError> {
    let followed = node
        .directory
        .borrow()
        .job(id)
        .map(|job| JobRecord::clone(&job.record));
    let is_fresh = !node.store_health.is_unreachable()
        && node.store_health.time_since_answer_ms(node.now_ms()) < FRESH_MS;
    match followed {
        Some(record) if is_fresh && record.committed_count() >= from_position => Ok(Some(record)),
        _ => Ok(JobRows::new(node)
            .record(id)
            .await?
            .map(|(record, _)| record)),
    }
}

async fn wait_for_result(
    node: &Rc<Node>,
    id: &JobId,
    mut record: JobRecord,
    from_position: u64,
    wait_ms: u64,
) -> JobRecord {
    let until_ms = node.now_ms() + wait_ms.min(WAIT_MAX_MS);
    let until = node.clock.instant(until_ms);
    let mut changes = node.jobs_changed.subscribe();
    while record.is_open() && record.committed_count() <= from_position {
        if timeout_at(until, changes.changed()).await.is_err() {
            break;
        }
        if let Some(job) = node.directory.borrow().job(id)
            && job.record.committed_count() >= record.committed_count()
        {
            record = JobRecord::clone(&job.record);
        }
    }
    record
}

async fn item_body(
    node: &Rc<Node>,
    id: &JobId,
    item: &str,
) -> Result<Response<AnswerBody>, StoreError> {
    let owned = node.runner.borrow().item_body(id, item);
    if let Some(body) = owned {
        return Ok(answer::bytes(body));
    }
    if JobRows::new(node).record(id).await?.is_none() {
        return Ok(not_found(id));
    }
    let stored = JobRows::new(node).items(id).await?;
    let found = stored.items.iter().find(|stored| *stored.id == *item);
    Ok(match found {
        Some(item) => answer::bytes(platform::encode_item_body(item)),
        None => not_found(id),
    })
}

async fn end(node: &Rc<Node>, id: &JobId) -> Result<Response<AnswerBody>, StoreError> {
    let mut may_be_done = false;
    let mut last_error = StoreError::NotDone("the record keeps changing".to_owned());
    for tries in 0..END_TRIES {
        match try_end(node, id, tries).await {
            Ok(Some(response)) => return Ok(response),
            Ok(None) => {}
            Err(error) => {
                may_be_done |= !error.is_not_done();
                log::warn!(
                    "event=job_end_failed job={id} error={}",
                    process::quote(&error)
                );
                last_error = error;
                if store_reach(node) != StoreReachability::Unreachable {
                    break;
                }
                sleep(END_RETRY).await;
            }
        }
    }
    Err(if may_be_done && last_error.is_not_done() {
        StoreError::Unknown(last_error.to_string())
    } else {
        last_error
    })
}

/// Ends a job unless its record changes meanwhile.
async fn try_end(
    node: &Rc<Node>,
    id: &JobId,
    tries: u32,
) -> Result<Option<Response<AnswerBody>>, StoreError> {
    let Some((mut record, version)) = JobRows::new(node).record(id).await? else {
        return Ok(Some(not_found(id)));
    };
    if !record.is_open() {
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
            ownership::apply(node, id, record, version);
            Ok(Some(answer::text(StatusCode::OK, "")))
        }
        CommitOutcome::Conflict(_) | CommitOutcome::NotConfirmed => Ok(None),
    }
}

fn not_found(id: &JobId) -> Response<AnswerBody> {
    log::info!("event=job_unknown job={id}");
    answer::text(StatusCode::NOT_FOUND, "no such job or item")
}
