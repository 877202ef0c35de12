//! Handlers that create, retrieve, list and cancel batches.

use std::{collections::BTreeMap, time::Duration};

use job_store::unix_ms;
use jobs::{
    AcceptanceError, FileRow, JobRow, JobState, JobTally, NewJob, Outcome, job_id_for, listed_key,
    listed_prefix, plan_cancel,
};
use model::{CustomerId, ErrorKind, InstanceId, InstanceRole, JobId, View};
use peer::PeerRequest;
use salvo::Request;
use serde::Deserialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use store::Priority;
use tokio::time::Instant;
use uuid::Uuid;

use crate::{JobApi, Refusal, batch_object::batch_object, caller, check, upload::hex};

/// Maximum size of a request body, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1_024;
/// Time-out of the write that accepts or cancels a job.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time-out of notifying a lease holder of a cancellation.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Default number of batches in a page of the list, as in the `OpenAI` API.
const DEFAULT_LIST_LIMIT: u32 = 20;
/// Maximum number of batches in a page of the list, as in the `OpenAI` API.
const LIST_LIMIT_MAX: u32 = 100;
/// Maximum number of metadata pairs of a batch, as in the `OpenAI` API.
const METADATA_MAX_PAIRS: usize = 16;

#[derive(Debug, Deserialize)]
struct CreateBatchBody {
    input_file_id: String,
    endpoint: String,
    #[serde(default = "default_completion_window")]
    completion_window: String,
    #[serde(default)]
    metadata: Option<BTreeMap<String, String>>,
}

/// Handles `POST /v1/batches`.
pub(crate) async fn create(api: &JobApi, req: &mut Request) -> Result<Value, Refusal> {
    let customer = caller::customer(req.headers())?;
    let view = api.view()?;
    let body = req
        .payload_with_max_size(BODY_MAX_BYTES)
        .await
        .map_err(|error| Refusal::new(ErrorKind::InvalidRequest, error.to_string()))?;
    let body: CreateBatchBody = serde_json::from_slice(body)
        .map_err(|error| Refusal::new(ErrorKind::InvalidRequest, error.to_string()))?;
    let class = caller::class(req.headers()).map(str::to_owned);
    let key = caller::idempotency_key(req.headers())?
        .map_or_else(|| Uuid::new_v4().to_string(), str::to_owned);
    check::endpoint(&view, &body.endpoint)?;
    let file = input_file(api, &customer, &body.input_file_id).await?;
    let job = new_job(api, &view, &file, body, class.as_deref(), &key)?;
    let deadline = Instant::now() + WRITE_TIMEOUT;
    let accepted = match api.store.accept(&job, deadline).await? {
        Ok(accepted) => accepted,
        Err(error @ AcceptanceError::Conflict) => {
            return Err(Refusal::new(
                ErrorKind::IdempotencyConflict,
                error.to_string(),
            ));
        }
    };
    log::info!(
        "event=job_accepted job={} items={} resend={}",
        accepted.row.job,
        accepted.row.items,
        accepted.is_resend
    );
    if accepted.is_resend {
        return batch_json(api, &accepted.row).await;
    }
    Ok(batch_object(&accepted.row, &JobTally::default()))
}

/// Handles `GET /v1/batches/{batch}`.
pub(crate) async fn retrieve(api: &JobApi, req: &mut Request) -> Result<Value, Refusal> {
    let customer = caller::customer(req.headers())?;
    let (_, job) = find_job(api, &customer, &batch_param(req)).await?;
    batch_json(api, &job).await
}

/// Handles `GET /v1/batches`.
pub(crate) async fn list(api: &JobApi, req: &mut Request) -> Result<Value, Refusal> {
    let customer = caller::customer(req.headers())?;
    let limit = req.query::<u32>("limit").unwrap_or(DEFAULT_LIST_LIMIT);
    let after = match req.query::<String>("after") {
        Some(after) => {
            let (_, job) = find_job(api, &customer, &after).await?;
            Some(listed_key(&customer, job.created_at_ms, &job.job))
        }
        None => None,
    };
    let prefix = listed_prefix(&customer);
    let limit = limit.clamp(1, LIST_LIMIT_MAX);
    let (ids, has_more) = api.store.job_ids(&prefix, after.as_deref(), limit).await?;
    let mut data = Vec::new();
    for id in &ids {
        if let Some((_, job)) = api.store.job(id).await? {
            data.push(batch_json(api, &job).await?);
        }
    }
    Ok(json!({
        "object": "list",
        "data": data,
        "first_id": ids.first(),
        "last_id": ids.last(),
        "has_more": has_more,
    }))
}

/// Handles `POST /v1/batches/{batch}/cancel`.
pub(crate) async fn cancel(api: &JobApi, req: &mut Request) -> Result<Value, Refusal> {
    let customer = caller::customer(req.headers())?;
    let id = batch_param(req);
    let deadline = Instant::now() + WRITE_TIMEOUT;
    let (version, job) = find_job(api, &customer, &id).await?;
    if job.state != JobState::Open {
        return batch_json(api, &job).await;
    }
    let op = api.store.next_op_id();
    let write = plan_cancel(&job, version, op, unix_ms());
    let outcome = api
        .store
        .write_resolved_before(write, Priority::Control, deadline)
        .await?;
    if matches!(outcome, Outcome::Applied { .. }) {
        log::info!("event=job_cancelled job={}", job.job);
        notify_holders(api, &job).await;
    }
    let (_, job) = find_job(api, &customer, &id).await?;
    batch_json(api, &job).await
}

/// Notifies the instances that hold chunks of a cancelled job. An instance that
/// cannot be reached detects the cancellation within a second, because it polls the
/// job's row.
async fn notify_holders(api: &JobApi, job: &JobRow) {
    let Ok(view) = api.view() else { return };
    let holders = match api.store.chunks(&job.job).await {
        Ok(chunks) => jobs::lease_holders(chunks.iter().map(|(_, row)| row)),
        Err(error) => {
            log::warn!(
                "event=cancel_notice_skipped job={} error={error:?}",
                job.job
            );
            return;
        }
    };
    let addresses = holders
        .iter()
        .filter_map(|holder| peer_address(&view, holder));
    let request = PeerRequest::CancelJob(job.job.clone());
    let deadline = Instant::now() + NOTICE_TIMEOUT;
    let calls = addresses.map(|address| api.peers.call(address, &request, deadline));
    for result in futures::future::join_all(calls).await {
        if let Err(error) = result {
            log::warn!("event=cancel_notice_failed job={} error={error:?}", job.job);
        }
    }
}

fn peer_address<'a>(view: &'a View, holder: &InstanceId) -> Option<&'a str> {
    let entry = view
        .instances
        .iter()
        .find(|entry| entry.role == InstanceRole::Batch && entry.id == *holder)?;
    Some(&entry.peer_address)
}

async fn input_file(api: &JobApi, customer: &CustomerId, id: &str) -> Result<FileRow, Refusal> {
    let file = api.store.file(id).await?;
    file.filter(|row| row.customer == *customer).ok_or_else(|| {
        let message = format!("The file {id:?} does not exist.");
        Refusal::new(ErrorKind::NotFound, message).with_param("input_file_id")
    })
}

fn new_job(
    api: &JobApi,
    view: &View,
    file: &FileRow,
    body: CreateBatchBody,
    class: Option<&str>,
    key: &str,
) -> Result<NewJob, Refusal> {
    check::models(view, &file.models)?;
    let metadata: Vec<_> = body.metadata.unwrap_or_default().into_iter().collect();
    if metadata.len() > METADATA_MAX_PAIRS {
        let message = format!("`metadata` has more than {METADATA_MAX_PAIRS} pairs.");
        return Err(Refusal::invalid_param("metadata", message));
    }
    let digest = digest(
        file,
        &body.endpoint,
        &body.completion_window,
        class,
        &metadata,
    );
    let class = check::class(view, class, &file.models)?;
    let completion_limit_ms = check::completion_limit_ms(class, &body.completion_window)?;
    let created_at_ms = unix_ms();
    Ok(NewJob {
        job: job_id_for(&file.customer, key),
        customer: file.customer.clone(),
        class: class.map(|class| class.name.clone()),
        endpoint: body.endpoint,
        input_file: file.file.clone(),
        digest,
        completion_window: body.completion_window,
        metadata,
        region: api.region.clone(),
        models: file.models.clone(),
        items: file.items,
        chunks: file.chunks,
        created_at_ms,
        deadline_ms: created_at_ms + completion_limit_ms,
    })
}

/// Returns a digest of everything that a resent request must repeat unchanged.
fn digest(
    file: &FileRow,
    endpoint: &str,
    window: &str,
    class: Option<&str>,
    metadata: &[(String, String)],
) -> String {
    let content = json!([file.digest, endpoint, window, class, metadata]);
    hex(&Sha256::digest(content.to_string()))
}

async fn find_job(api: &JobApi, customer: &CustomerId, id: &str) -> Result<(u64, JobRow), Refusal> {
    let job = api.store.job(&JobId::new(id)).await?;
    job.filter(|(_, row)| row.customer == *customer)
        .ok_or_else(|| {
            let message = format!("The batch {id:?} does not exist.");
            Refusal::new(ErrorKind::NotFound, message)
        })
}

async fn batch_json(api: &JobApi, job: &JobRow) -> Result<Value, Refusal> {
    let tally = match &job.state {
        JobState::Completed {
            completed, failed, ..
        } => JobTally {
            completed: *completed,
            failed: *failed,
            ..JobTally::default()
        },
        JobState::Open | JobState::Cancelled { .. } => {
            let chunks = api.store.chunks(&job.job).await?;
            jobs::tally_chunks(chunks.iter().map(|(chunk, row)| (*chunk, row)))
        }
    };
    Ok(batch_object(job, &tally))
}

fn batch_param(req: &Request) -> String {
    req.param("batch").unwrap_or_default()
}

fn default_completion_window() -> String {
    "24h".to_owned()
}
