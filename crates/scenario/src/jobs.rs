//! Submits jobs through the batch API and checks their results.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde_json::{Value, json};
use standin::answer_tokens;
use tokio::time::Instant;

use crate::{
    command::{JobItems, SubmissionOutcome},
    http_client::{HttpClient, HttpRequest, HttpResponse, SendError},
    process::deadline_after,
};

/// Interval between two reads of a job's state.
const POLL_INTERVAL_MS: u64 = 50;
/// Delay before a client resends a job or repeats a read.
const RETRY_DELAY_MS: u64 = 200;
/// Maximum time for which a client repeats a read that was refused or whose
/// connection broke.
const READ_TIMEOUT_MS: u64 = 20_000;

/// A submitted job.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) name: String,
    pub(crate) class: String,
    pub(crate) key: String,
    pub(crate) customer: String,
    pub(crate) items: JobItems,
    /// Id that the batch API assigned; empty until the job has been accepted.
    pub(crate) id: String,
    /// Content of the result files at the last check. Results must not change
    /// once they are visible.
    pub(crate) result_files: Vec<Bytes>,
}

/// The result of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ItemResult {
    Completed(String),
    Failed,
}

impl Job {
    /// Returns the content of the input file: one request per line.
    fn input_file(&self) -> String {
        let lines = (0..self.items.count).map(|index| {
            let line = json!({
                "custom_id": custom_id(index),
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": self.item_request(index),
            });
            format!("{line}\n")
        });
        lines.collect()
    }

    fn item_request(&self, index: usize) -> Value {
        let marker = if index < self.items.failing {
            "[[fail]]".to_owned()
        } else {
            format!("[[tokens={}]]", self.items.tokens)
        };
        let prompt = format!("{marker} job {} item {index}", self.name);
        json!({
            "model": "oraculo",
            "messages": [{ "role": "user", "content": prompt }],
        })
    }

    fn expected_result(&self, index: usize) -> Result<ItemResult, String> {
        if index < self.items.failing {
            return Ok(ItemResult::Failed);
        }
        let request = serde_json::from_value(self.item_request(index));
        let request = request.map_err(|error| error.to_string())?;
        Ok(ItemResult::Completed(answer_tokens(&request).concat()))
    }

    /// Uploads the input file and creates the batch, without retries. If the
    /// upload is not a success, returns its response.
    async fn submit_once(
        &self,
        client: &HttpClient,
        entry: SocketAddr,
    ) -> Result<HttpResponse, SendError> {
        let upload = HttpRequest::post(entry, "/v1/files")
            .with_customer(&self.customer)
            .with_batch_file(&self.input_file());
        let uploaded = client.send(upload).await?;
        if !uploaded.status.is_success() {
            return Ok(uploaded);
        }
        let file = uploaded.json().map_err(SendError::Interrupted)?;
        let create = HttpRequest::post(entry, "/v1/batches")
            .with_customer(&self.customer)
            .with_header("redwingtack-class", &self.class)
            .with_header("idempotency-key", &self.key)
            .with_json(&json!({
                "input_file_id": file["id"],
                "endpoint": "/v1/chat/completions",
                "completion_window": "24h",
            }));
        client.send(create).await
    }

    /// Submits the job. If the response is retryable or the connection broke,
    /// resends it until `resend_deadline`.
    async fn submit(
        &self,
        client: &HttpClient,
        entry: SocketAddr,
        resend_deadline: Option<Instant>,
    ) -> Result<HttpResponse, String> {
        loop {
            let result = self.submit_once(client, entry).await;
            let is_final = matches!(&result, Ok(response) if !is_retryable(response));
            if is_final || resend_deadline.is_none_or(|deadline| Instant::now() >= deadline) {
                return result.map_err(|error| format!("no complete response: {error:?}"));
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
}

/// Submits a job to several entries concurrently with the same idempotency key.
///
/// # Errors
///
/// Returns a message if an entry's response is not `expected_outcome`, or if the
/// entries accept the job under different ids.
pub(crate) async fn submit_to_entries(
    client: &HttpClient,
    job: &mut Job,
    entries: &[SocketAddr],
    expected_outcome: SubmissionOutcome,
    resend_within_ms: Option<u64>,
) -> Result<(), String> {
    let resend_deadline = resend_within_ms.map(deadline_after);
    let submissions = entries
        .iter()
        .map(|entry| job.submit(client, *entry, resend_deadline));
    let responses = futures::future::join_all(submissions).await;
    let mut ids = Vec::new();
    for response in responses {
        let response = response?;
        if let Some(id) = submitted_id(&response, expected_outcome)? {
            ids.push(id);
        }
    }
    ids.dedup();
    if ids.len() > 1 {
        return Err(format!("one idempotency key created several jobs: {ids:?}"));
    }
    if let Some(id) = ids.pop() {
        job.id = id;
    }
    Ok(())
}

/// Waits until a job has a state. Reads that fail are repeated until `deadline`,
/// because the batch API may be unavailable for a short time.
pub(crate) async fn wait_for_state(
    client: &HttpClient,
    job: &Job,
    entry: SocketAddr,
    state: &str,
    deadline: Instant,
) -> Result<(), String> {
    loop {
        let last_seen = match read_batch(client, job, entry).await {
            Ok(batch) if batch["status"] == state => return Ok(()),
            Ok(batch) => batch.to_string(),
            Err(error) => error,
        };
        if Instant::now() >= deadline {
            return Err(format!(
                "job {} did not become {state} within the time limit, last read: {last_seen}",
                job.name
            ));
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Checks that each item has exactly one result, that it is the expected one, and
/// that the result files have not changed since the previous check.
pub(crate) async fn check_results(
    client: &HttpClient,
    job: &mut Job,
    entry: SocketAddr,
    completed: usize,
    failed: usize,
) -> Result<(), String> {
    let batch = read_batch(client, job, entry).await?;
    let mut files = Vec::new();
    let mut results = Vec::new();
    for name in ["output_file_id", "error_file_id"] {
        if let Some(id) = batch[name].as_str() {
            let path = format!("/v1/files/{id}/content");
            let content = read_with_retries(client, job, entry, &path).await?.body;
            parse_results(&content, &mut results)?;
            files.push(content);
        }
    }
    if !job.result_files.is_empty() && job.result_files != files {
        return Err(format!("the results of job {} have changed", job.name));
    }
    job.result_files = files;
    let mut by_id = BTreeMap::new();
    for (id, result) in results {
        by_id.entry(id).or_insert_with(Vec::new).push(result);
    }
    let duplicated = by_id.values().filter(|results| results.len() > 1).count();
    let mut wrong = 0;
    let mut counts = (0, 0);
    for index in 0..job.items.count {
        let Some(results) = by_id.remove(&custom_id(index)) else {
            continue;
        };
        let expected = job.expected_result(index)?;
        match &results[0] {
            ItemResult::Completed(_) => counts.0 += 1,
            ItemResult::Failed => counts.1 += 1,
        }
        wrong += usize::from(results[0] != expected);
    }
    let lost = (completed + failed).saturating_sub(counts.0 + counts.1);
    let unexpected = by_id.len();
    if counts == (completed, failed) && (duplicated, wrong, unexpected) == (0, 0, 0) {
        return Ok(());
    }
    Err(format!(
        "job {}: completed={} failed={} lost={lost} duplicated={duplicated} wrong={wrong} \
         unexpected={unexpected}, expected completed={completed} failed={failed}",
        job.name, counts.0, counts.1
    ))
}

/// Cancels a job, without retries.
///
/// # Errors
///
/// Returns a message unless the response is a success.
pub(crate) async fn cancel(
    client: &HttpClient,
    job: &Job,
    entry: SocketAddr,
) -> Result<(), String> {
    let path = format!("/v1/batches/{}/cancel", job.id);
    let request = HttpRequest::post(entry, &path).with_customer(&job.customer);
    let response = client.send(request).await;
    let response = response.map_err(|error| format!("no complete response: {error:?}"))?;
    if response.status.is_success() {
        return Ok(());
    }
    Err(response.text())
}

async fn read_batch(client: &HttpClient, job: &Job, entry: SocketAddr) -> Result<Value, String> {
    let path = format!("/v1/batches/{}", job.id);
    read_with_retries(client, job, entry, &path).await?.json()
}

/// Reads a resource, and repeats the read after a refusal or a broken connection
/// for up to [`READ_TIMEOUT_MS`].
async fn read_with_retries(
    client: &HttpClient,
    job: &Job,
    entry: SocketAddr,
    path: &str,
) -> Result<HttpResponse, String> {
    let deadline = deadline_after(READ_TIMEOUT_MS);
    loop {
        let request = HttpRequest::get(entry, path).with_customer(&job.customer);
        let (is_final, problem) = match client.send(request).await {
            Ok(response) if response.status.is_success() => return Ok(response),
            Ok(response) => (!response.is_refusal(), response.text()),
            Err(error) => (false, format!("no complete response: {error:?}")),
        };
        if is_final || Instant::now() >= deadline {
            return Err(problem);
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

fn parse_results(content: &[u8], results: &mut Vec<(String, ItemResult)>) -> Result<(), String> {
    let content = String::from_utf8_lossy(content).into_owned();
    for line in content.lines().filter(|line| !line.is_empty()) {
        let line: Value = serde_json::from_str(line).map_err(|error| error.to_string())?;
        let id = line["custom_id"].as_str().unwrap_or_default().to_owned();
        let answer = &line["response"]["body"]["choices"][0]["message"]["content"];
        let result = match answer.as_str() {
            Some(text) => ItemResult::Completed(text.to_owned()),
            None => ItemResult::Failed,
        };
        results.push((id, result));
    }
    Ok(())
}

/// Returns the job id of an accepted submission, or `None` for one that was refused
/// as expected.
fn submitted_id(
    response: &HttpResponse,
    expected_outcome: SubmissionOutcome,
) -> Result<Option<String>, String> {
    match expected_outcome {
        SubmissionOutcome::Accepted if response.status.is_success() => {
            let batch = response.json()?;
            let id = batch["id"].as_str().ok_or_else(|| response.text())?;
            Ok(Some(id.to_owned()))
        }
        SubmissionOutcome::Refused if response.is_refusal() => Ok(None),
        SubmissionOutcome::Conflict if response.status.as_u16() == 409 => Ok(None),
        _ => Err(format!(
            "expected {expected_outcome:?}, got {}",
            response.text()
        )),
    }
}

fn is_retryable(response: &HttpResponse) -> bool {
    response.status.is_server_error() || response.status.as_u16() == 429
}

fn custom_id(index: usize) -> String {
    format!("item-{index}")
}
