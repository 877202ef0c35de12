//! Clients that submit batch jobs, and others that read, repeat and end them.

use std::{sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use tokio::time::sleep;

use super::{
    Shared,
    exchange::{Call, Ending, Exchange, send_once},
    history::Span,
    job_log::{JobLog, Observation, Page, Seen},
    requests::RequestRecord,
};
use crate::support::HOST;

/// Time that a client gives a submission, milliseconds.
const SUBMIT_DEADLINE_MS: u64 = 4_000;
/// Time after which a call about a job has reached its deadline in any case, milliseconds.
const CALL_LIMIT_MS: u64 = 5_000;
/// Time that a read may be kept waiting, milliseconds.
const READ_WAIT_MS: u64 = 1_000;
/// Time that a client waits for an answer beyond what it allows.
const PATIENCE_MARGIN: Duration = Duration::from_millis(1_500);
/// Attempts of a client to submit a job, each at another instance.
const ATTEMPTS: usize = 3;
/// Age of a job after which it is not asked for again, milliseconds: results may go `status_s`
/// (120 s) after the job was submitted.
pub const AGE_MAX_MS: u64 = 100_000;
/// Most items of a job.
const ITEMS_MAX: usize = 12;
/// Paths of items: 80 ms or 1.6 s at a server.
const ITEM_PATHS: [&str; 2] = ["/batch/x/0", "/batch/x/slow"];
const PAUSE: Duration = Duration::from_millis(150);

/// Submits jobs until the soak stops.
pub async fn submit_jobs(shared: Arc<Shared>, client: usize) {
    let mut rng = SmallRng::seed_from_u64(shared.seed_of("submitter", client));
    let mut number = 0;
    while !shared.has_stopped() {
        let id = format!("j{client}-{number}");
        number += 1;
        let count = rng.random_range(1..=ITEMS_MAX);
        let items = (0..count).map(|item| format!("{id}-{item}")).collect();
        let job = JobLog::new(&id, items, shared.clock.now_ms());
        let job = shared.add_job(job);
        submit(&shared, &mut rng, job).await;
        sleep(Duration::from_millis(rng.random_range(500..3_000))).await;
    }
}

/// Visits jobs of all clients until the soak stops.
pub async fn visit_jobs(shared: Arc<Shared>, client: usize) {
    let mut rng = SmallRng::seed_from_u64(shared.seed_of("visitor", client));
    while !shared.has_stopped() {
        sleep(PAUSE).await;
        let Some(job) = pick_job(&shared, &mut rng) else {
            continue;
        };
        let instance = rng.random_range(0..shared.addresses.len());
        match rng.random_range(0..100) {
            0..65 => {
                let read = shared.with_job(job, |job| job.read_count());
                let after = if rng.random_bool(0.5) {
                    read
                } else {
                    rng.random_range(0..=read)
                };
                read_results(&shared, instance, job, after).await;
            }
            65..80 => read_body(&shared, &mut rng, instance, job).await,
            80..96 => submit(&shared, &mut rng, job).await,
            _ => end(&shared, instance, job).await,
        }
    }
}

/// Returns an accepted job whose results must still be there.
fn pick_job(shared: &Shared, rng: &mut SmallRng) -> Option<usize> {
    let now_ms = shared.clock.now_ms();
    let jobs = shared.jobs.lock().unwrap();
    let is_kept =
        |job: &JobLog| job.accepted_ms().is_some() && now_ms < job.first_sent_ms + AGE_MAX_MS;
    let kept: Vec<_> = (0..jobs.len()).filter(|job| is_kept(&jobs[*job])).collect();
    (!kept.is_empty()).then(|| kept[rng.random_range(0..kept.len())])
}

/// Submits a job, again if it has been submitted, at one instance after the other until it is
/// accepted.
async fn submit(shared: &Shared, rng: &mut SmallRng, job: usize) {
    let (id, items) = shared.with_job(job, |job| (job.id.clone(), job.items.clone()));
    let round = rng.random();
    let first = rng.random_range(0..shared.addresses.len());
    for attempt in 0..ATTEMPTS {
        let instance = (first + attempt) % shared.addresses.len();
        let call = Call {
            method: "POST",
            path: "/batch/x",
            headers: vec![
                ("host", HOST.to_owned()),
                ("redwingtack-request-id", id.clone()),
                ("redwingtack-deadline-ms", SUBMIT_DEADLINE_MS.to_string()),
            ],
            body: submission(&items),
            patience: Duration::from_millis(SUBMIT_DEADLINE_MS) + PATIENCE_MARGIN,
        };
        let exchange = send_call(shared, instance, call).await;
        let status = answered_status(&exchange);
        let seen = Seen::Submission { round };
        observe(shared, job, instance, &exchange, seen);
        if status == Some(202) {
            return;
        }
        sleep(PAUSE).await;
    }
}

fn submission(items: &[String]) -> Bytes {
    let items: Vec<_> = items
        .iter()
        .enumerate()
        .map(|(index, id)| {
            json!({"id": id, "path": ITEM_PATHS[index % ITEM_PATHS.len()], "headers": {},
                   "body": BASE64.encode(item_body(id)), "tokens": 9})
        })
        .collect();
    Bytes::from(json!({"items": items}).to_string())
}

fn item_body(id: &str) -> String {
    format!("body of {id}")
}

/// Reads results of a job from a position. Returns what was listed.
pub async fn read_results(
    shared: &Shared,
    instance: usize,
    job: usize,
    after: usize,
) -> Option<Page> {
    let id = shared.with_job(job, |job| job.id.clone());
    let path = format!("/lots/{id}?after={after}");
    let exchange = send_call(shared, instance, job_call("GET", &path)).await;
    let is_success = answered_status(&exchange) == Some(200);
    let page = is_success.then(|| Page::decode(&exchange.body)).flatten();
    let seen = Seen::Read {
        after,
        page: page.clone(),
    };
    observe(shared, job, instance, &exchange, seen);
    page
}

/// Reads the body of an item that no read has listed so far.
async fn read_body(shared: &Shared, rng: &mut SmallRng, instance: usize, job: usize) {
    let (id, items, end_sent_ms) = shared.with_job(job, |job| {
        (job.id.clone(), job.items.clone(), job.end_sent_ms)
    });
    if end_sent_ms.is_some() {
        return;
    }
    let item = items[rng.random_range(0..items.len())].clone();
    let exchange = fetch_body(shared, instance, &id, &item).await;
    let is_listed = if answered_status(&exchange) == Some(200) {
        Some(false)
    } else {
        let page = read_results(shared, instance, job, 0).await;
        page.map(|page| page.lists(&item))
    };
    let seen = Seen::Body {
        is_right: exchange.body == item_body(&item),
        item,
        is_listed,
    };
    observe(shared, job, instance, &exchange, seen);
}

/// Returns whether an instance gives the body of an item.
pub async fn has_body(shared: &Shared, instance: usize, job: &str, item: &str) -> bool {
    let exchange = fetch_body(shared, instance, job, item).await;
    answered_status(&exchange) == Some(200) && exchange.body == item_body(item)
}

async fn fetch_body(shared: &Shared, instance: usize, job: &str, item: &str) -> Exchange {
    let path = format!("/items/{job}?id={item}");
    send_call(shared, instance, job_call("GET", &path)).await
}

async fn end(shared: &Shared, instance: usize, job: usize) {
    let now_ms = shared.clock.now_ms();
    let id = shared.with_job(job, |job| {
        job.end_sent_ms.get_or_insert(now_ms);
        job.id.clone()
    });
    let path = format!("/lots/{id}");
    let exchange = send_call(shared, instance, job_call("DELETE", &path)).await;
    observe(shared, job, instance, &exchange, Seen::End);
}

fn job_call<'a>(method: &'a str, path: &'a str) -> Call<'a> {
    Call {
        method,
        path,
        headers: vec![
            ("host", HOST.to_owned()),
            ("redwingtack-wait-ms", READ_WAIT_MS.to_string()),
        ],
        body: Bytes::new(),
        patience: Duration::from_millis(READ_WAIT_MS) + PATIENCE_MARGIN,
    }
}

/// Sends a call on a new connection and records it as a request.
async fn send_call(shared: &Shared, instance: usize, call: Call<'_>) -> Exchange {
    let path = format!("{} {}", call.method, call.path);
    let exchange = send_once(shared.addresses[instance], shared.clock, call).await;
    let record = RequestRecord::new("", &path, CALL_LIMIT_MS, instance, &exchange);
    shared.add_request(record);
    exchange
}

fn answered_status(exchange: &Exchange) -> Option<u16> {
    let is_answered = exchange.ending == Ending::Answered;
    exchange
        .status
        .filter(|_| is_answered)
        .map(|status| status.as_u16())
}

fn observe(shared: &Shared, job: usize, instance: usize, exchange: &Exchange, seen: Seen) {
    let Span { from_ms, to_ms } = exchange.span;
    let observation = Observation {
        instance,
        span: Span::new(from_ms, to_ms),
        status: answered_status(exchange),
        seen,
    };
    shared.with_job(job, |job| job.observations.push(observation));
}
