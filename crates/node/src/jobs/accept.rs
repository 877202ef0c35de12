//! Accepts jobs: a job is acknowledged once the store has it.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use gateway::{BatchDeadlines, Route, RouteKind, StoreReachability};
use http::{Response, StatusCode, header, request};
use ledger::{JobItem, JobPhase, JobRecord, OwnedJob};
use model::JobId;
use platform::{RequestHeaders, StoreError};
use tokio::{task::spawn_local, time::sleep};

use super::{
    ownership,
    pass_on::{Passed, pass_on, store_reach},
    runner,
    storage::{InsertOutcome, JobRows},
};
use crate::{
    answer::{self, AnswerBody},
    attempt::OutgoingRequest,
    clock::unix_ms,
    node::{Node, Stage},
};

/// Wait before a job is written again, milliseconds.
const RETRY_MS: u64 = 50;
/// When to come back, at another instance, if the store did nothing,
/// milliseconds.
const NOT_STORED_RETRY_MS: u64 = 10;
/// Time kept for the answer itself, milliseconds.
const ANSWER_MS: u64 = 50;

/// A job on its way into the store.
#[derive(Debug)]
struct Submission {
    node: Rc<Node>,
    id: JobId,
    record: JobRecord,
    items: Vec<JobItem>,
    /// What the caller sent.
    call: OutgoingRequest,
    arrived_ms: u64,
    /// Until when the store is asked again.
    answer_by_ms: u64,
    /// Whether the job may be in the store by now.
    may_be_stored: bool,
}

/// Accepts a job, once however often it is sent.
pub(crate) async fn submit(
    node: &Rc<Node>,
    route: &Arc<Route>,
    parts: &request::Parts,
    body: &Bytes,
    facts: &RequestHeaders,
    arrived_ms: u64,
) -> Response<AnswerBody> {
    let RouteKind::Batch(terms) = route.kind else {
        return answer::text(StatusCode::NOT_FOUND, "no such route");
    };
    let id = JobId::new(&facts.request_id);
    if node.directory.borrow().job(&id).is_some() {
        log::info!("event=job_known job={id}");
        return accepted();
    }
    let time_left_ms = facts.time_left_ms.unwrap_or(route.timeout_ms);
    let answer_by_ms = (arrived_ms + time_left_ms).saturating_sub(ANSWER_MS);
    let call = OutgoingRequest::new(parts, body.clone(), &facts.request_id);
    let mut may_be_stored = false;
    if node.store_health.is_unreachable() {
        match pass_on(node, &id, &call, answer_by_ms).await {
            Passed::Answered(response) => return answer::from_peer(response),
            Passed::Unknown => may_be_stored = true,
            Passed::NotDone if store_reach(node) != StoreReachability::Unreachable => {
                log::warn!("event=job_refused job={id} reason=store_away");
                node.metrics.on_job_refused();
                return answer::service_unavailable(
                    NOT_STORED_RETRY_MS,
                    "the store is out of reach here",
                );
            }
            Passed::NotDone => {}
        }
    }
    let items = match platform::decode_job(body) {
        Ok(items) if !items.is_empty() => items,
        Ok(_) => return answer::text(StatusCode::BAD_REQUEST, "the job has no items"),
        Err(problem) => {
            log::warn!(
                "event=job_refused job={id} reason={}",
                process::quote(&problem)
            );
            return answer::text(StatusCode::BAD_REQUEST, "the job cannot be read");
        }
    };
    let submission = Submission {
        node: Rc::clone(node),
        record: new_record(node, route, terms, parts, &items),
        id,
        items,
        call,
        arrived_ms,
        answer_by_ms,
        may_be_stored,
    };
    // Goes on when the caller leaves: what may be stored has to be settled.
    spawn_local(submission.run()).await.unwrap_or_else(|error| {
        log::error!("event=submission_failed error={}", process::quote(&error));
        answer::text(StatusCode::GATEWAY_TIMEOUT, "the outcome is not known")
    })
}

impl Submission {
    async fn run(self) -> Response<AnswerBody> {
        // The feed may bring the job before the answer to the write.
        let node = Rc::clone(&self.node);
        let id = self.id.clone();
        node.runner.borrow_mut().loading.push(id.clone());
        let response = self.store().await;
        node.runner.borrow_mut().loading_ended(&id);
        response
    }

    async fn store(mut self) -> Response<AnswerBody> {
        let node = Rc::clone(&self.node);
        for tries in 0.. {
            let rows = JobRows::new(&node).with_tries(tries);
            match rows.insert(&self.id, &self.record, &self.items).await {
                Ok(InsertOutcome::Inserted { version }) => return self.inserted(version),
                Ok(InsertOutcome::Exists { record, version }) => {
                    // An earlier try of this very submission may have won.
                    if record == self.record {
                        return self.inserted(version);
                    }
                    log::info!("event=job_known job={} source=store", self.id);
                    return accepted();
                }
                Err(error) => self.note_failure(&error),
            }
            // Whichever write comes first makes the job exist, here or there.
            match pass_on(&node, &self.id, &self.call, self.answer_by_ms).await {
                Passed::Answered(response) => return answer::from_peer(response),
                Passed::Unknown => self.may_be_stored = true,
                Passed::NotDone => {}
            }
            if self.is_given_up() {
                break;
            }
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
        self.not_accepted()
    }

    fn note_failure(&mut self, error: &StoreError) {
        self.may_be_stored |= !error.is_not_done();
        log::warn!(
            "event=job_not_stored job={} error={}",
            self.id,
            process::quote(error)
        );
    }

    /// A caller is better off elsewhere if others reach the store and it is
    /// certain that nothing was stored.
    fn is_given_up(&self) -> bool {
        let is_time_up = self.node.now_ms() + RETRY_MS >= self.answer_by_ms;
        let is_better_elsewhere = || store_reach(&self.node) != StoreReachability::Unreachable;
        is_time_up || (!self.may_be_stored && is_better_elsewhere())
    }

    fn inserted(self, version: u64) -> Response<AnswerBody> {
        self.node.metrics.on_job_accepted();
        log::info!(
            "event=job_accepted job={} items={} version={version} due_unix_ms={} took_ms={}",
            self.id,
            self.items.len(),
            self.record.due_unix_ms,
            self.node.now_ms().saturating_sub(self.arrived_ms)
        );
        ownership::apply(&self.node, &self.id, self.record.clone(), version);
        if self.record.owner.is_some() {
            let owner = self.node.owner_id.clone();
            let job = OwnedJob::new(self.id, owner, self.record, version, self.items, Vec::new());
            runner::adopt(&self.node, job);
        }
        accepted()
    }

    /// A refusal promises that nothing runs, so it needs certainty.
    fn not_accepted(&self) -> Response<AnswerBody> {
        let may_be_stored = self.may_be_stored;
        self.node.metrics.on_job_refused();
        log::warn!(
            "event=job_refused job={} reason=store may_be_stored={may_be_stored}",
            self.id
        );
        if may_be_stored {
            answer::text(StatusCode::GATEWAY_TIMEOUT, "the store's answer was lost")
        } else {
            answer::service_unavailable(NOT_STORED_RETRY_MS, "the store took nothing")
        }
    }
}

fn new_record(
    node: &Node,
    route: &Route,
    terms: BatchDeadlines,
    parts: &request::Parts,
    items: &[JobItem],
) -> JobRecord {
    let now_unix_ms = unix_ms();
    // An owner without a heartbeat would be taken for dead.
    let may_own = node.stage() == Stage::Serving && node.has_lease.get();
    JobRecord {
        owner: may_own.then(|| node.owner_id.clone()),
        phase: JobPhase::Open,
        host: Arc::clone(&route.host),
        path: parts.uri.path().into(),
        item_count: u32::try_from(items.len()).unwrap_or(u32::MAX),
        accepted_unix_ms: now_unix_ms,
        due_unix_ms: now_unix_ms + terms.due_after_ms,
        give_up_unix_ms: now_unix_ms + terms.give_up_after_ms,
        committed: Vec::new(),
        failures: Vec::new(),
    }
}

fn accepted() -> Response<AnswerBody> {
    let mut response = answer::text(StatusCode::ACCEPTED, "");
    response.headers_mut().remove(header::CONTENT_TYPE);
    response
}
