//! Submits jobs and checks their results.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde_json::{Value, json};
use standin::answer_tokens;
use tokio::time::Instant;

use crate::{
    caller::{Call, CallError, Caller, Reply},
    command::{JobEnd, JobItems},
    process::within,
};

/// Wait between two looks at a job.
const POLL_MS: u64 = 50;
/// Wait before a client resends a job or asks again.
const RESEND_MS: u64 = 200;
/// How long a caller asks again after refusals.
const READ_MS: u64 = 20_000;

/// A submitted job.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) name: String,
    pub(crate) class: String,
    pub(crate) key: String,
    pub(crate) customer: String,
    pub(crate) items: JobItems,
    /// Id that the service gave, once known.
    pub(crate) id: String,
    /// Result files as they were read first; they must never change.
    pub(crate) files: Vec<Bytes>,
}

/// How one item must end.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ItemResult {
    Completed(String),
    Failed,
}

impl Job {
    /// The input file.
    fn input(&self) -> String {
        let lines = (0..self.items.count).map(|index| {
            let line = json!({
                "custom_id": custom_id(index),
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": self.request(index),
            });
            format!("{line}\n")
        });
        lines.collect()
    }

    fn request(&self, index: usize) -> Value {
        let marker = if index < self.items.bad {
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

    fn expected(&self, index: usize) -> Result<ItemResult, String> {
        if index < self.items.bad {
            return Ok(ItemResult::Failed);
        }
        let request = serde_json::from_value(self.request(index));
        let request = request.map_err(|error| error.to_string())?;
        Ok(ItemResult::Completed(answer_tokens(&request).concat()))
    }

    /// Uploads the input and creates the batch once.
    async fn submit_once(&self, caller: &Caller, entry: SocketAddr) -> Result<Reply, CallError> {
        let upload = Call::post(entry, "/v1/files")
            .with_customer(&self.customer)
            .with_batch_file(&self.input());
        let uploaded = caller.send(upload).await?;
        if !uploaded.status.is_success() {
            return Ok(uploaded);
        }
        let file = uploaded.json().map_err(CallError::Lost)?;
        let create = Call::post(entry, "/v1/batches")
            .with_customer(&self.customer)
            .with_header("redwingtack-class", &self.class)
            .with_header("idempotency-key", &self.key)
            .with_json(&json!({
                "input_file_id": file["id"],
                "endpoint": "/v1/chat/completions",
                "completion_window": "24h",
            }));
        caller.send(create).await
    }

    /// Submits, and resends until `resend_until` what was refused or lost.
    async fn submit(
        &self,
        caller: &Caller,
        entry: SocketAddr,
        resend_until: Option<Instant>,
    ) -> Result<Reply, String> {
        loop {
            let outcome = self.submit_once(caller, entry).await;
            let is_final = matches!(&outcome, Ok(reply) if !is_worth_resending(reply));
            if is_final || resend_until.is_none_or(|until| Instant::now() >= until) {
                return outcome.map_err(|error| format!("no answer: {error:?}"));
            }
            tokio::time::sleep(Duration::from_millis(RESEND_MS)).await;
        }
    }
}

/// Submits a job at several entries at once; all must answer as `end` says,
/// and name the same job if they accept it.
pub(crate) async fn submit_everywhere(
    caller: &Caller,
    job: &mut Job,
    entries: &[SocketAddr],
    end: JobEnd,
    resend_within_ms: Option<u64>,
) -> Result<(), String> {
    let until = resend_within_ms.map(within);
    let submissions = entries
        .iter()
        .map(|entry| job.submit(caller, *entry, until));
    let replies = futures::future::join_all(submissions).await;
    let mut ids = Vec::new();
    for reply in replies {
        let reply = reply?;
        if let Some(id) = check_end(&reply, end)? {
            ids.push(id);
        }
    }
    ids.dedup();
    if ids.len() > 1 {
        return Err(format!("one key made several jobs: {ids:?}"));
    }
    if let Some(id) = ids.pop() {
        job.id = id;
    }
    Ok(())
}

/// Waits until a job has a state. A short outage of the service is no failure.
pub(crate) async fn wait_for_state(
    caller: &Caller,
    job: &Job,
    entry: SocketAddr,
    state: &str,
    deadline: Instant,
) -> Result<(), String> {
    loop {
        let seen = match read_batch(caller, job, entry).await {
            Ok(batch) if batch["status"] == state => return Ok(()),
            Ok(batch) => batch.to_string(),
            Err(error) => error,
        };
        if Instant::now() >= deadline {
            return Err(format!("job {} is not {state} in time: {seen}", job.name));
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

/// Checks that each item has one result, the right one, and that the result
/// files are the same as at the check before.
pub(crate) async fn check_results(
    caller: &Caller,
    job: &mut Job,
    entry: SocketAddr,
    completed: usize,
    failed: usize,
) -> Result<(), String> {
    let batch = read_batch(caller, job, entry).await?;
    let mut files = Vec::new();
    let mut results = Vec::new();
    for name in ["output_file_id", "error_file_id"] {
        if let Some(id) = batch[name].as_str() {
            let path = format!("/v1/files/{id}/content");
            let content = read(caller, job, entry, &path).await?.body;
            parse_results(&content, &mut results)?;
            files.push(content);
        }
    }
    if !job.files.is_empty() && job.files != files {
        return Err(format!("the results of job {} have changed", job.name));
    }
    job.files = files;
    let mut by_id = BTreeMap::new();
    for (id, result) in results {
        by_id.entry(id).or_insert_with(Vec::new).push(result);
    }
    let doubled = by_id.values().filter(|results| results.len() > 1).count();
    let mut wrong = 0;
    let mut counts = (0, 0);
    for index in 0..job.items.count {
        let Some(results) = by_id.remove(&custom_id(index)) else {
            continue;
        };
        let expected = job.expected(index)?;
        match &results[0] {
            ItemResult::Completed(_) => counts.0 += 1,
            ItemResult::Failed => counts.1 += 1,
        }
        wrong += usize::from(results[0] != expected);
    }
    let lost = (completed + failed).saturating_sub(counts.0 + counts.1);
    let foreign = by_id.len();
    if counts == (completed, failed) && (doubled, wrong, foreign) == (0, 0, 0) {
        return Ok(());
    }
    Err(format!(
        "job {}: completed={} failed={} lost={lost} doubled={doubled} wrong={wrong} \
         foreign={foreign}, expected completed={completed} failed={failed}",
        job.name, counts.0, counts.1
    ))
}

/// Cancels a job; only a success counts.
pub(crate) async fn cancel(caller: &Caller, job: &Job, entry: SocketAddr) -> Result<(), String> {
    let path = format!("/v1/batches/{}/cancel", job.id);
    let call = Call::post(entry, &path).with_customer(&job.customer);
    let reply = caller.send(call).await;
    let reply = reply.map_err(|error| format!("no answer: {error:?}"))?;
    if reply.status.is_success() {
        return Ok(());
    }
    Err(reply.text())
}

async fn read_batch(caller: &Caller, job: &Job, entry: SocketAddr) -> Result<Value, String> {
    let path = format!("/v1/batches/{}", job.id);
    read(caller, job, entry, &path).await?.json()
}

/// Reads as a patient caller does, who asks again after a refusal or a cut.
async fn read(caller: &Caller, job: &Job, entry: SocketAddr, path: &str) -> Result<Reply, String> {
    let deadline = within(READ_MS);
    loop {
        let call = Call::get(entry, path).with_customer(&job.customer);
        let (is_final, problem) = match caller.send(call).await {
            Ok(reply) if reply.status.is_success() => return Ok(reply),
            Ok(reply) => (!reply.is_refusal(), reply.text()),
            Err(error) => (false, format!("no answer: {error:?}")),
        };
        if is_final || Instant::now() >= deadline {
            return Err(problem);
        }
        tokio::time::sleep(Duration::from_millis(RESEND_MS)).await;
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

fn check_end(reply: &Reply, end: JobEnd) -> Result<Option<String>, String> {
    match end {
        JobEnd::Accepted if reply.status.is_success() => {
            let batch = reply.json()?;
            let id = batch["id"].as_str().ok_or_else(|| reply.text())?;
            Ok(Some(id.to_owned()))
        }
        JobEnd::Refused if reply.is_refusal() => Ok(None),
        JobEnd::Conflict if reply.status.as_u16() == 409 => Ok(None),
        _ => Err(format!("expected {end:?}, got {}", reply.text())),
    }
}

fn is_worth_resending(reply: &Reply) -> bool {
    reply.status.is_server_error() || reply.status.as_u16() == 429
}

fn custom_id(index: usize) -> String {
    format!("item-{index}")
}
