//! Accepts job submissions. A job is acknowledged only after the store has
//! committed it.

use std::{rc::Rc, sync::Arc, time::Duration};

use gateway::{BatchTerms, RouteKind, StoreReachability};
use http::{Response, StatusCode, header};
use ledger::{JobPhase, JobRecord, OwnedJob, StoredItems, StoredJob};
use model::{CustomerName, JobId};
use platform::StoreError;
use tokio::{task::spawn_local, time::sleep};

use super::{
    admission::{
        Decision, excess_before_storing, refuse, settle_job, wait_for_jobs, wait_until_loaded,
    },
    ownership,
    peer_forwarding::{PeerOutcome, forward_to_peers, is_refusal, store_reachability},
    query::{is_visible_to, not_found},
    storage::{InsertOutcome, JobRows},
};
use crate::{
    answer::{self, AnswerBody},
    attempt::OutgoingRequest,
    dispatch::CallerRequest,
    node::{Node, Stage},
};

/// Delay before the write of a new job is repeated, milliseconds.
const WRITE_RETRY_MS: u64 = 50;
/// Retry-after hint if the job is certainly not stored, milliseconds. The hint is short
/// because the caller is expected to retry at another instance.
const NOT_STORED_RETRY_AFTER_MS: u64 = 10;
/// Part of the caller's deadline that is reserved for sending the answer,
/// milliseconds.
const ANSWER_MARGIN_MS: u64 = 50;

/// A job that is being written to the store.
#[derive(Debug)]
struct Submission {
    node: Rc<Node>,
    id: JobId,
    record: JobRecord,
    items: StoredItems,
    /// The caller's request in the form in which it can be forwarded to a peer.
    outgoing: OutgoingRequest,
    arrived_ms: u64,
    /// Time at which the answer must be sent, in milliseconds on the node's clock. No
    /// further write is made then.
    answer_by_ms: u64,
    /// Whether an earlier write with an unknown outcome may have stored the job.
    may_be_stored: bool,
}

/// Accepts a job, whose id is the caller's request id. Submissions are idempotent: a
/// repeated submission with the same request id creates no second job.
pub(crate) async fn submit(node: &Rc<Node>, call: &CallerRequest) -> Response<AnswerBody> {
    let CallerRequest {
        route,
        parts,
        headers: request_headers,
        body,
        arrived_ms,
        ..
    } = call;
    let RouteKind::Batch(terms) = route.kind else {
        return answer::text(StatusCode::NOT_FOUND, "no such route");
    };
    let id = JobId::new(&request_headers.request_id);
    let time_left_ms = request_headers.time_left_ms.unwrap_or(route.timeout_ms);
    let answer_by_ms = (*arrived_ms + time_left_ms).saturating_sub(ANSWER_MARGIN_MS);
    let caller = call.customer.as_ref().map(|customer| &customer.name);
    if let Some(response) = answer_repeat(node, &id, caller, answer_by_ms).await {
        return response;
    }
    let outgoing = OutgoingRequest::new(parts, body.clone(), &request_headers.request_id);
    let mut may_be_stored = false;
    if node.store_health.is_unreachable() {
        match forward_to_peers(node, &id, &outgoing, answer_by_ms).await {
            PeerOutcome::Answered(response) => return answer::from_peer(response),
            PeerOutcome::Unknown => may_be_stored = true,
            PeerOutcome::NotDone if store_reachability(node) != StoreReachability::Unreachable => {
                log::warn!("event=job_refused job={id} reason=store_away");
                node.metrics.on_job_refused();
                return answer::service_unavailable(
                    NOT_STORED_RETRY_AFTER_MS,
                    "this instance cannot reach the store",
                );
            }
            PeerOutcome::NotDone => {}
        }
    }
    let items = match platform::decode_job(body) {
        Ok(stored) if !stored.items.is_empty() => stored,
        Ok(_) => return answer::text(StatusCode::BAD_REQUEST, "the job has no items"),
        Err(problem) => {
            log::warn!(
                "event=job_refused job={id} reason={}",
                process::quote(&problem)
            );
            return answer::text(StatusCode::BAD_REQUEST, "the job body cannot be decoded");
        }
    };
    let submission = Submission {
        node: Rc::clone(node),
        record: new_record(node, call, terms, &items),
        id,
        items,
        outgoing,
        arrived_ms: *arrived_ms,
        answer_by_ms,
        may_be_stored,
    };
    // A separate task continues if the caller disconnects. Once a write was sent, the
    // job may be stored, so the task must find out whether this instance has to run it.
    spawn_local(submission.run()).await.unwrap_or_else(|error| {
        log::error!("event=submission_failed error={}", process::quote(&error));
        unknown_response()
    })
}

/// Answers the submission of a job that this instance knows. Returns `None` if it knows no
/// such job.
pub(super) async fn answer_repeat(
    node: &Rc<Node>,
    id: &JobId,
    caller: Option<&CustomerName>,
    answer_by_ms: u64,
) -> Option<Response<AnswerBody>> {
    let record = Arc::clone(&node.directory.borrow().job(id)?.record);
    if !is_visible_to(node, &record, caller) {
        return Some(not_found(id));
    }
    if !record.is_admitted {
        wait_until_loaded(node, id, answer_by_ms).await;
    }
    let decision = settle_job(node, id, answer_by_ms).await;
    answer_decision(node, id, decision)
}

/// Returns the answer for a job that was stored before, or `None` if it does not exist.
fn answer_decision(node: &Node, id: &JobId, decision: Decision) -> Option<Response<AnswerBody>> {
    match decision {
        Decision::Accepted(_) => {
            log::info!("event=job_known job={id}");
            Some(accepted_response())
        }
        Decision::Refused(excess) => Some(refuse(node, id, &excess)),
        Decision::Absent => None,
        Decision::Unknown => Some(unknown_response()),
    }
}

impl Submission {
    async fn run(self) -> Response<AnswerBody> {
        // The change feed may deliver the record of the job before the store answers the
        // write. While the job is listed as loading, no other task loads it.
        let node = Rc::clone(&self.node);
        let id = self.id.clone();
        node.runner.borrow_mut().loading.push(id.clone());
        let response = self.write_or_forward().await;
        node.runner.borrow_mut().finish_loading(&id);
        response
    }

    async fn write_or_forward(mut self) -> Response<AnswerBody> {
        let node = Rc::clone(&self.node);
        if let Some(response) = self.refuse_without_storing().await {
            return response;
        }
        for tries in 0.. {
            let rows = JobRows::new(&node).with_tries(tries);
            match rows.insert(&self.id, &self.record, &self.items).await {
                Ok(InsertOutcome::Inserted { version }) => return self.admit(version).await,
                Ok(InsertOutcome::Exists { record, version }) => {
                    // An earlier write of this submission may have taken effect.
                    if record == self.record {
                        return self.admit(version).await;
                    }
                    return self.answer_existing(record, version).await;
                }
                Err(error) => self.record_failure(&error),
            }
            // The writes of this instance and of a peer are both conditional on the job
            // not existing, so only the first one creates the job.
            match forward_to_peers(&node, &self.id, &self.outgoing, self.answer_by_ms).await {
                // A refusal would promise that the job is not stored.
                PeerOutcome::Answered(response) if self.may_be_stored && is_refusal(&response) => {}
                PeerOutcome::Answered(response) => return answer::from_peer(response),
                PeerOutcome::Unknown => self.may_be_stored = true,
                PeerOutcome::NotDone => {}
            }
            if self.should_give_up() {
                break;
            }
            sleep(Duration::from_millis(WRITE_RETRY_MS)).await;
        }
        self.refuse()
    }

    fn record_failure(&mut self, error: &StoreError) {
        self.may_be_stored |= !error.is_not_done();
        log::warn!(
            "event=job_not_stored job={} error={}",
            self.id,
            process::quote(error)
        );
    }

    /// Returns whether to make no further write: at the deadline, or earlier if the job is
    /// certainly not stored and other instances may reach the store, because the caller
    /// can then retry at one of them.
    fn should_give_up(&self) -> bool {
        let is_deadline_reached = self.node.now_ms() + WRITE_RETRY_MS >= self.answer_by_ms;
        let may_succeed_elsewhere =
            || store_reachability(&self.node) != StoreReachability::Unreachable;
        is_deadline_reached || (!self.may_be_stored && may_succeed_elsewhere())
    }

    /// Refuses the job if it does not fit on its route, judging by the changes read so
    /// far. The store is asked first whether the job exists, because an earlier
    /// submission of it may have been accepted elsewhere.
    async fn refuse_without_storing(&self) -> Option<Response<AnswerBody>> {
        if self.record.is_admitted {
            return None;
        }
        if !wait_for_jobs(&self.node, self.answer_by_ms).await {
            return Some(self.refuse());
        }
        let excess = excess_before_storing(&self.node, &self.record)?;
        match JobRows::new(&self.node).read_record(&self.id).await {
            Ok(None) if !self.may_be_stored => Some(refuse(&self.node, &self.id, &excess)),
            Ok(None) => Some(self.refuse()),
            Ok(Some((record, version))) => Some(self.answer_existing(record, version).await),
            // The write of the job is tried instead, and its outcome decides.
            Err(_) => None,
        }
    }

    /// Answers for a job that another submission stored.
    async fn answer_existing(&self, record: JobRecord, version: u64) -> Response<AnswerBody> {
        if !is_visible_to(&self.node, &record, self.record.customer.as_ref()) {
            return not_found(&self.id);
        }
        ownership::apply_record(&self.node, &self.id, record, version);
        let decision = settle_job(&self.node, &self.id, self.answer_by_ms).await;
        self.answer_settled(decision)
    }

    /// Answers for a job about which was decided. A refusal promises that nothing runs, but a
    /// write that was not answered may still take effect, also after the job was removed.
    fn answer_settled(&self, decision: Decision) -> Response<AnswerBody> {
        match decision {
            Decision::Refused(_) if self.may_be_stored => self.refuse(),
            decision => {
                answer_decision(&self.node, &self.id, decision).unwrap_or_else(unknown_response)
            }
        }
    }

    /// Decides about the job, which was stored with `version`, and runs it if it is
    /// admitted.
    async fn admit(self, version: u64) -> Response<AnswerBody> {
        if self.record.is_admitted {
            return self.finish_inserted(version);
        }
        ownership::apply_record(&self.node, &self.id, self.record.clone(), version);
        match settle_job(&self.node, &self.id, self.answer_by_ms).await {
            Decision::Accepted(StoredJob {
                record, version, ..
            }) if record.owner == self.record.owner && record.is_open() => {
                let record = JobRecord::clone(&record);
                Self { record, ..self }.finish_inserted(version)
            }
            decision => self.answer_settled(decision),
        }
    }

    fn finish_inserted(self, version: u64) -> Response<AnswerBody> {
        self.node.metrics.on_job_accepted();
        log::info!(
            "event=job_accepted job={} items={} version={version} due_at_ms={} took_ms={}",
            self.id,
            self.items.items.len(),
            self.record.due_at_ms,
            self.node.now_ms().saturating_sub(self.arrived_ms)
        );
        ownership::apply_record(&self.node, &self.id, self.record.clone(), version);
        if self.record.owner.is_some() {
            let owner = self.node.owner_id.clone();
            let job = OwnedJob::new(self.id, owner, self.record, version, self.items);
            ownership::add_job(&self.node, job);
        }
        accepted_response()
    }

    /// Answers 503 only if the job is certainly not stored, because a refusal
    /// promises that nothing runs; answers 504 otherwise.
    fn refuse(&self) -> Response<AnswerBody> {
        let may_be_stored = self.may_be_stored;
        self.node.metrics.on_job_refused();
        log::warn!(
            "event=job_refused job={} reason=store may_be_stored={may_be_stored}",
            self.id
        );
        if may_be_stored {
            unknown_response()
        } else {
            answer::service_unavailable(NOT_STORED_RETRY_AFTER_MS, "the job was not stored")
        }
    }
}

fn new_record(
    node: &Node,
    call: &CallerRequest,
    terms: BatchTerms,
    items: &StoredItems,
) -> JobRecord {
    let now_ms = node.store_now_ms();
    // Peers would consider an owner without a lease dead. Until this instance holds a
    // lease, it stores jobs without an owner.
    let can_own = node.stage() == Stage::Serving && node.has_lease.get();
    JobRecord {
        owner: can_own.then(|| node.owner_id.clone()),
        phase: JobPhase::Open,
        host: Arc::clone(&call.route.host),
        path: call.parts.uri.path().into(),
        route: Arc::clone(&call.route.name),
        customer: call.customer.as_ref().map(|customer| customer.name.clone()),
        unfinished_tokens: items.item_tokens.iter().copied().map(u64::from).sum(),
        is_admitted: terms.waiting_tokens_max.is_none(),
        item_count: u32::try_from(items.items.len()).unwrap_or(u32::MAX),
        accepted_at_ms: now_ms,
        due_at_ms: now_ms + terms.due_after_ms,
        give_up_at_ms: now_ms + terms.give_up_after_ms,
        committed: Vec::new(),
        failures: Vec::new(),
    }
}

fn unknown_response() -> Response<AnswerBody> {
    answer::text(
        StatusCode::GATEWAY_TIMEOUT,
        "it is unknown whether the job was stored",
    )
}

fn accepted_response() -> Response<AnswerBody> {
    let mut response = answer::text(StatusCode::ACCEPTED, "");
    response.headers_mut().remove(header::CONTENT_TYPE);
    response
}
