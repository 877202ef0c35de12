//! Open-loop load of streamed chat requests, distributed round-robin over the
//! ready entries as the platform's load balancer does.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde_json::{Value, json};
use standin::answer_tokens;
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::Instant,
};

use crate::http_client::{HttpClient, HttpRequest, SendError};

/// Interval of the load balancer's readiness checks.
const HEALTH_CHECK_INTERVAL_MS: u64 = 100;
const MS_PER_S: u64 = 1_000;

/// Parameters of a load.
#[derive(Debug, Clone)]
pub(crate) struct LoadPlan {
    pub(crate) name: String,
    pub(crate) targets: Vec<LoadTarget>,
    pub(crate) class: Option<String>,
    pub(crate) rate_per_s: u32,
    pub(crate) for_ms: u64,
    pub(crate) tokens: u32,
    /// Text at the start of each prompt that controls the engine's stand-in.
    pub(crate) marker: String,
    /// Number of different prompts; if `None`, each request has its own prompt.
    pub(crate) prompts: Option<u64>,
}

/// An entry behind the load balancer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadTarget {
    pub(crate) entry: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// Numbers of a load's requests by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LoadOutcome {
    /// Requests that received the complete answer to their own prompt.
    pub(crate) correct: usize,
    /// Requests that received a complete stream with another answer than that to
    /// their own prompt.
    pub(crate) wrong: usize,
    /// Requests whose connection could not be opened or broke, or whose stream ended
    /// early.
    pub(crate) cut: usize,
    /// Requests that were refused with a response that says that nothing ran, or for
    /// which no entry was ready.
    pub(crate) refused: usize,
    /// Requests that ended with any other unsuccessful response.
    pub(crate) failed: usize,
    /// Duration of the slowest request with a correct answer, in milliseconds.
    pub(crate) slowest_ms: u64,
    /// Details of the first request that did not receive a correct answer.
    pub(crate) example: Option<String>,
}

/// The outcome of one request; the strings hold details for a failure message.
#[derive(Debug)]
enum RequestOutcome {
    Correct,
    Wrong(String),
    Cut(String),
    Refused(String),
    Failed(String),
}

/// Starts a load in a background task, which returns the outcome once every
/// request has ended.
pub(crate) fn start_load(client: HttpClient, plan: LoadPlan) -> JoinHandle<LoadOutcome> {
    tokio::spawn(run_load(client, plan))
}

async fn run_load(client: HttpClient, plan: LoadPlan) -> LoadOutcome {
    let ready = watch_health(&client, &plan.targets);
    let next_index = AtomicU64::new(0);
    let count = u64::from(plan.rate_per_s) * plan.for_ms / MS_PER_S;
    let started_at = Instant::now();
    let mut requests = JoinSet::new();
    for number in 0..count {
        let due_after = Duration::from_millis(number * MS_PER_S / u64::from(plan.rate_per_s));
        tokio::time::sleep_until(started_at + due_after).await;
        let entry = pick_entry(&ready.borrow(), &next_index);
        let request = send_request(client.clone(), plan.clone(), entry, number);
        requests.spawn(async move {
            let sent_at = Instant::now();
            (request.await, sent_at.elapsed())
        });
    }
    let mut outcome = LoadOutcome::default();
    while let Some(joined) = requests.join_next().await {
        match joined {
            Ok((request_outcome, duration)) => outcome.record(request_outcome, duration),
            Err(error) => outcome.record(RequestOutcome::Failed(error.to_string()), Duration::ZERO),
        }
    }
    outcome
}

impl LoadOutcome {
    fn record(&mut self, outcome: RequestOutcome, duration: Duration) {
        let (count, example) = match outcome {
            RequestOutcome::Correct => {
                self.correct += 1;
                let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
                self.slowest_ms = self.slowest_ms.max(duration_ms);
                return;
            }
            RequestOutcome::Wrong(details) => (&mut self.wrong, details),
            RequestOutcome::Cut(details) => (&mut self.cut, details),
            RequestOutcome::Refused(details) => (&mut self.refused, details),
            RequestOutcome::Failed(details) => (&mut self.failed, details),
        };
        *count += 1;
        self.example.get_or_insert(example);
    }
}

/// Picks the next ready entry, round-robin. Returns `None` if no entry is ready.
fn pick_entry(ready: &[SocketAddr], next_index: &AtomicU64) -> Option<SocketAddr> {
    let index = next_index.fetch_add(1, Ordering::Relaxed);
    let index = usize::try_from(index).ok()?.checked_rem(ready.len())?;
    ready.get(index).copied()
}

/// Checks periodically which entries are ready, and returns a watch of those that
/// passed the last check. Until the first check is done, every entry counts as
/// ready.
fn watch_health(client: &HttpClient, targets: &[LoadTarget]) -> watch::Receiver<Vec<SocketAddr>> {
    let entries = targets.iter().map(|target| target.entry).collect();
    let (sender, receiver) = watch::channel(entries);
    let client = client.clone();
    let targets: Arc<[LoadTarget]> = targets.into();
    tokio::spawn(async move {
        while !sender.is_closed() {
            let mut ready = Vec::new();
            for target in targets.iter() {
                if is_healthy(&client, target.admin, "/readyz").await {
                    ready.push(target.entry);
                }
            }
            sender.send_replace(ready);
            tokio::time::sleep(Duration::from_millis(HEALTH_CHECK_INTERVAL_MS)).await;
        }
    });
    receiver
}

/// Returns whether the health check at `path` answers with a success.
pub(crate) async fn is_healthy(client: &HttpClient, admin: SocketAddr, path: &str) -> bool {
    let response = client.send(HttpRequest::get(admin, path)).await;
    response.is_ok_and(|response| response.status.is_success())
}

/// Sends request `number` of the load to `entry` and waits for its outcome.
async fn send_request(
    client: HttpClient,
    plan: LoadPlan,
    entry: Option<SocketAddr>,
    number: u64,
) -> RequestOutcome {
    let Some(entry) = entry else {
        return RequestOutcome::Refused("no entry is ready".to_owned());
    };
    let LoadPlan {
        name,
        tokens,
        marker,
        ..
    } = &plan;
    let number = plan.prompts.map_or(number, |prompts| number % prompts);
    let prompt = format!("{marker}[[tokens={tokens}]] load {name} {number}");
    let chat = json!({
        "model": "oraculo",
        "messages": [{ "role": "user", "content": prompt }],
        "stream": true,
    });
    let mut request = HttpRequest::post(entry, "/v1/chat/completions")
        .with_customer("team")
        .with_json(&chat);
    if let Some(class) = &plan.class {
        request = request.with_header("redwingtack-class", class);
    }
    let response = match client.send(request).await {
        Ok(response) => response,
        Err(SendError::Unreachable) => return RequestOutcome::Cut(format!("cannot reach {entry}")),
        Err(SendError::Interrupted(error)) => return RequestOutcome::Cut(error),
    };
    if response.is_refusal() {
        return RequestOutcome::Refused(response.text());
    }
    if !response.status.is_success() {
        return RequestOutcome::Failed(response.text());
    }
    classify_response(&chat, &String::from_utf8_lossy(&response.body))
}

/// Compares a streamed response with the answer that the stand-in gives to the
/// chat request.
fn classify_response(chat: &Value, body: &str) -> RequestOutcome {
    let mut answer = String::new();
    let mut is_complete = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data:")) {
        let data = data.trim();
        if data == "[DONE]" {
            is_complete = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if !chunk["error"].is_null() {
            return RequestOutcome::Cut(data.to_owned());
        }
        answer.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    if !is_complete {
        return RequestOutcome::Cut(format!(
            "no [DONE] event at the end of a stream of {} bytes",
            body.len()
        ));
    }
    let expected = serde_json::from_value(chat.clone())
        .map(|request| answer_tokens(&request).concat())
        .unwrap_or_default();
    if answer == expected {
        return RequestOutcome::Correct;
    }
    RequestOutcome::Wrong(format!("expected {expected:?}, got {answer:?}"))
}
