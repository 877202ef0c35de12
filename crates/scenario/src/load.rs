//! Background load of streamed chats, spread over ready entries as the
//! platform's balancer does.

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

use crate::caller::{Call, CallError, Caller};

/// How often the balancer asks whether an entry is ready.
const HEALTH_CHECK_MS: u64 = 100;
const MS_PER_S: u64 = 1_000;

/// What to send.
#[derive(Debug, Clone)]
pub(crate) struct LoadPlan {
    pub(crate) name: String,
    pub(crate) targets: Vec<LoadTarget>,
    pub(crate) class: Option<String>,
    pub(crate) rate_per_s: u32,
    pub(crate) for_ms: u64,
    pub(crate) tokens: u32,
    /// Text for the engine's stand-in in each prompt.
    pub(crate) marker: String,
    /// Number of different prompts; none makes each call's own.
    pub(crate) prompts: Option<u64>,
}

/// An entry behind the balancer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadTarget {
    pub(crate) entry: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// How the calls of a load ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LoadOutcome {
    /// Got the whole answer to their own prompt.
    pub(crate) whole: usize,
    /// Got a whole answer that is not theirs.
    pub(crate) wrong: usize,
    /// Lost the connection or the end of the stream.
    pub(crate) cut: usize,
    /// Were told that nothing ran.
    pub(crate) refused: usize,
    /// Failed in another way.
    pub(crate) failed: usize,
    /// Time of the slowest whole answer, milliseconds.
    pub(crate) slowest_ms: u64,
    /// One example of what went wrong.
    pub(crate) example: Option<String>,
}

#[derive(Debug)]
enum CallEnd {
    Whole,
    Wrong(String),
    Cut(String),
    Refused(String),
    Failed(String),
}

/// Starts to send.
pub(crate) fn start_load(caller: Caller, plan: LoadPlan) -> JoinHandle<LoadOutcome> {
    tokio::spawn(run_load(caller, plan))
}

async fn run_load(caller: Caller, plan: LoadPlan) -> LoadOutcome {
    let ready = watch_health(&caller, &plan.targets);
    let turn = AtomicU64::new(0);
    let count = u64::from(plan.rate_per_s) * plan.for_ms / MS_PER_S;
    let started_at = Instant::now();
    let mut calls = JoinSet::new();
    for number in 0..count {
        let due_at = Duration::from_millis(number * MS_PER_S / u64::from(plan.rate_per_s));
        tokio::time::sleep_until(started_at + due_at).await;
        let entry = pick(&ready.borrow(), &turn);
        let call = one_call(caller.clone(), plan.clone(), entry, number);
        calls.spawn(async move {
            let sent_at = Instant::now();
            (call.await, sent_at.elapsed())
        });
    }
    let mut outcome = LoadOutcome::default();
    while let Some(end) = calls.join_next().await {
        match end {
            Ok((end, took)) => outcome.add(end, took),
            Err(error) => outcome.add(CallEnd::Failed(error.to_string()), Duration::ZERO),
        }
    }
    outcome
}

impl LoadOutcome {
    fn add(&mut self, end: CallEnd, took: Duration) {
        let (count, example) = match end {
            CallEnd::Whole => {
                self.whole += 1;
                let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
                self.slowest_ms = self.slowest_ms.max(took_ms);
                return;
            }
            CallEnd::Wrong(text) => (&mut self.wrong, text),
            CallEnd::Cut(text) => (&mut self.cut, text),
            CallEnd::Refused(text) => (&mut self.refused, text),
            CallEnd::Failed(text) => (&mut self.failed, text),
        };
        *count += 1;
        self.example.get_or_insert(example);
    }
}

fn pick(ready: &[SocketAddr], turn: &AtomicU64) -> Option<SocketAddr> {
    let turn = turn.fetch_add(1, Ordering::Relaxed);
    let index = usize::try_from(turn).ok()?.checked_rem(ready.len())?;
    ready.get(index).copied()
}

/// Entries that answered the last health check.
fn watch_health(caller: &Caller, targets: &[LoadTarget]) -> watch::Receiver<Vec<SocketAddr>> {
    let all = targets.iter().map(|target| target.entry).collect();
    let (sender, receiver) = watch::channel(all);
    let caller = caller.clone();
    let targets: Arc<[LoadTarget]> = targets.into();
    tokio::spawn(async move {
        while !sender.is_closed() {
            let mut ready = Vec::new();
            for target in targets.iter() {
                if answers(&caller, target.admin, "/readyz").await {
                    ready.push(target.entry);
                }
            }
            sender.send_replace(ready);
            tokio::time::sleep(Duration::from_millis(HEALTH_CHECK_MS)).await;
        }
    });
    receiver
}

/// Whether a health check succeeds.
pub(crate) async fn answers(caller: &Caller, admin: SocketAddr, path: &str) -> bool {
    let reply = caller.send(Call::get(admin, path)).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

async fn one_call(
    caller: Caller,
    plan: LoadPlan,
    entry: Option<SocketAddr>,
    number: u64,
) -> CallEnd {
    let Some(entry) = entry else {
        return CallEnd::Refused("no entry is ready".to_owned());
    };
    let LoadPlan {
        name,
        tokens,
        marker,
        ..
    } = &plan;
    let number = plan.prompts.map_or(number, |prompts| number % prompts);
    let prompt = format!("{marker}[[tokens={tokens}]] load {name} {number}");
    let request = json!({
        "model": "oraculo",
        "messages": [{ "role": "user", "content": prompt }],
        "stream": true,
    });
    let mut call = Call::post(entry, "/v1/chat/completions")
        .with_customer("team")
        .with_json(&request);
    if let Some(class) = &plan.class {
        call = call.with_header("redwingtack-class", class);
    }
    let reply = match caller.send(call).await {
        Ok(reply) => reply,
        Err(CallError::Unreachable) => return CallEnd::Cut(format!("{entry} is unreachable")),
        Err(CallError::Lost(error)) => return CallEnd::Cut(error),
    };
    if reply.is_refusal() {
        return CallEnd::Refused(reply.text());
    }
    if !reply.status.is_success() {
        return CallEnd::Failed(reply.text());
    }
    judge(&request, &String::from_utf8_lossy(&reply.body))
}

fn judge(request: &Value, body: &str) -> CallEnd {
    let mut text = String::new();
    let mut is_ended = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data:")) {
        let data = data.trim();
        if data == "[DONE]" {
            is_ended = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if !chunk["error"].is_null() {
            return CallEnd::Cut(data.to_owned());
        }
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    if !is_ended {
        return CallEnd::Cut(format!("no end mark after {} bytes", body.len()));
    }
    let expected = serde_json::from_value(request.clone())
        .map(|request| answer_tokens(&request).concat())
        .unwrap_or_default();
    if text == expected {
        return CallEnd::Whole;
    }
    CallEnd::Wrong(format!("expected {expected:?}, got {text:?}"))
}
