//! Forwards an online request: chooses an upstream, sends the request with
//! retries, and answers the caller.

use std::{rc::Rc, sync::Arc};

use gateway::{
    AttemptEnd, AttemptHash, CrashCause, Customer, NextStep, Placement, PlacementRequest,
    QuarantineCheck, RefusalReason, RequestContent, RequestFingerprint, RetryState, Route, Target,
    VersionHash, WorkKind,
};
use http::{Response, StatusCode, header, request};
use model::{ServiceName, shared_parts};

use crate::{
    answer::{self, AnswerBody},
    attempt::{AttemptFailure, AttemptOptions, OutgoingRequest, UpstreamAnswer, send_attempt},
    crash_detection::join_parts,
    dispatch::{CallerRequest, host_of},
    end_to_end_headers::copy_end_to_end_headers,
    no_answer::{NOT_RUN_RETRY_AFTER_MS, NoAnswer},
    node::Node,
    quarantine, quotas,
    relay::Relay,
    stream_versions::{self, OriginUnknown, StreamKeys},
};

/// Retry-after hint while a trial of a quarantined part waits for an idle upstream,
/// milliseconds.
const TRIAL_RETRY_AFTER_MS: u64 = 5_000;
/// If the head of the answer is later than expected by this many times the
/// route's latency goal, another upstream is tried.
const HEAD_DELAY_GOALS: u64 = 2;

/// A caller's request and the state of its attempts.
#[derive(Debug)]
pub(crate) struct OnlineRequest {
    pub(crate) node: Rc<Node>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// Customer on whose behalf the request is sent; `None` if it needs no key.
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) retries: RetryState,
    pub(crate) arrived_ms: u64,
    /// When the answer must be complete, in milliseconds on the node's clock.
    pub(crate) deadline_ms: u64,
    /// Id of the event after which the caller resumes a stream.
    pub(crate) resume_after: Option<u64>,
    /// Id of the caller's attempt that brought the first event of that stream.
    pub(crate) resumed_attempt: Option<Arc<str>>,
    /// Version at which the stream must go on; `None` if it may begin anywhere.
    pub(crate) version: Option<VersionHash>,
    /// Whether an upstream has sent an empty body whose end is uncertain.
    pub(crate) is_empty_stated: bool,
}

/// Forwards a request to an upstream of its route, and returns the answer for the caller.
pub(crate) async fn forward(node: &Rc<Node>, call: CallerRequest) -> Response<AnswerBody> {
    let CallerRequest {
        route,
        customer,
        has_customers,
        parts,
        headers: request_headers,
        body,
        arrived_ms,
    } = call;
    // A stream goes on at the service that began it.
    let first_attempt = request_headers.resumed_attempt.as_ref();
    let first_attempt = first_attempt.unwrap_or(&request_headers.request_id);
    let Some(service) = route.service_for(first_attempt).cloned() else {
        log::warn!(
            "event=request_refused request={} route={} reason=no_service",
            request_headers.request_id,
            route.name
        );
        return answer::service_unavailable(NOT_RUN_RETRY_AFTER_MS, "the route has no service");
    };
    let time_left_ms = request_headers.time_left_ms.unwrap_or(route.timeout_ms);
    let deadline_ms = arrived_ms + time_left_ms.min(route.timeout_ms);
    let content = RequestContent {
        fingerprint: fingerprint(&parts, &body),
        shared_parts: shared_parts(&request_headers.prompt_parts),
    };
    let mut outgoing =
        OutgoingRequest::new(&parts, body, &request_headers.request_id).with_content(content);
    if route.names_prompt_parts {
        outgoing = outgoing.with_prompt_parts(request_headers.prompt_parts);
    }
    if has_customers {
        outgoing = outgoing.with_customer(customer.as_ref().map(|customer| &customer.name));
    }
    let request = OnlineRequest {
        node: Rc::clone(node),
        service,
        outgoing,
        customer,
        retries: RetryState::new(Arc::clone(&route), deadline_ms),
        route,
        arrived_ms,
        deadline_ms,
        resume_after: request_headers.resume_after,
        resumed_attempt: request_headers.resumed_attempt.clone(),
        version: None,
        is_empty_stated: false,
    };
    request.run().await
}

impl OnlineRequest {
    async fn run(mut self) -> Response<AnswerBody> {
        match self.first_answer().await {
            Ok(answer) => self.relay_answer(answer),
            Err(no_answer) => {
                self.record_unanswered(no_answer);
                no_answer.response()
            }
        }
    }

    async fn first_answer(&mut self) -> Result<UpstreamAnswer, NoAnswer> {
        self.check_time()?;
        self.check_quota().await?;
        self.find_version().await?;
        loop {
            if let Some(answer) = self.make_attempt(self.resume_after).await? {
                return Ok(answer);
            }
            self.check_time_to_retry()?;
        }
    }

    /// Counts the request against the quota of its customer.
    async fn check_quota(&self) -> Result<(), NoAnswer> {
        let Some(customer) = &self.customer else {
            return Ok(());
        };
        let request = &self.outgoing.request_id;
        match quotas::check(&self.node, request, customer).await {
            Ok(()) => Ok(()),
            Err(retry_after_ms) => Err(self.refuse(RefusalReason::OverQuota, retry_after_ms)),
        }
    }

    /// Finds out at which version the stream must go on that the caller takes up.
    async fn find_version(&mut self) -> Result<(), NoAnswer> {
        if !self.is_resumable_stream() || self.resume_after.is_none_or(|event| event == 0) {
            return Ok(());
        }
        let keys = self.stream_keys();
        let origin = stream_versions::find_origin(&self.node, &self.service, keys).await;
        let retry_after_ms = match origin {
            Ok(origin) => {
                log::info!(
                    "event=origin_found request={} proof={}",
                    self.outgoing.request_id,
                    origin.proof.as_str()
                );
                self.version = Some(origin.version);
                return Ok(());
            }
            Err(OriginUnknown::Now) => NOT_RUN_RETRY_AFTER_MS,
            Err(OriginUnknown::ForMs(time_ms)) => time_ms.max(NOT_RUN_RETRY_AFTER_MS),
        };
        let reason = RefusalReason::VersionUnknown;
        log::warn!(
            "event=request_not_placed request={} route={} reason={} resumes={} retry_after_ms={retry_after_ms}",
            self.outgoing.request_id,
            self.route.name,
            reason.as_str(),
            process::quote(&self.resumed_attempt.as_deref().unwrap_or("none"))
        );
        Err(self.refuse(reason, retry_after_ms))
    }

    fn is_resumable_stream(&self) -> bool {
        self.route.is_stream() && self.route.is_retryable()
    }

    fn stream_keys(&self) -> StreamKeys<'_> {
        let fingerprint = self.outgoing.content.fingerprint;
        StreamKeys {
            resumed_attempt: self.resumed_attempt.as_deref(),
            request_id: &self.outgoing.request_id,
            content: AttemptHash::of_content(fingerprint, &self.outgoing.prompt_parts),
        }
    }

    /// Records at which version the stream began, once its first event is passed on.
    pub(crate) fn record_origin(&self, target: &Target) {
        if self.is_resumable_stream() {
            let keys = self.stream_keys();
            stream_versions::record_origin(&self.node, keys, &target.version);
        }
    }

    /// Makes attempts until an upstream answers.
    ///
    /// # Errors
    ///
    /// Returns an error if no upstream has room or no further attempt may be made.
    pub(crate) async fn next_answer(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<UpstreamAnswer, NoAnswer> {
        loop {
            if let Some(answer) = self.make_attempt(resume_after).await? {
                return Ok(answer);
            }
        }
    }

    /// Makes an attempt. Returns `None` if it failed and another one may be made.
    async fn make_attempt(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Option<UpstreamAnswer>, NoAnswer> {
        let (target, expected_ms) = self.place()?;
        let options = self.attempt_options(expected_ms, resume_after);
        let failure = match send_attempt(&self.node, &target, &self.outgoing, options).await {
            Ok(answer) if self.should_retry(&answer) => {
                answer.record_failure();
                AttemptFailure::new(AttemptEnd::Failed, answer.head.status)
            }
            Ok(answer) => match self.check_body(answer).await {
                Ok(answer) => return Ok(Some(answer)),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        self.record_failed_attempt(&target, &failure)?;
        Ok(None)
    }

    /// Records a failed attempt. Returns an error if no further attempt may be made.
    pub(crate) fn record_failed_attempt(
        &mut self,
        target: &Target,
        failure: &AttemptFailure,
    ) -> Result<(), NoAnswer> {
        let AttemptFailure { end, reason } = failure;
        let now_ms = self.node.now_ms();
        self.node.metrics.on_attempt_failed(*end);
        let next = self.retries.record_attempt(&target.upstream, *end, now_ms);
        log::warn!(
            "event=attempt_failed request={} upstream={} end={} reason={} attempt={} left_ms={} next={}",
            self.outgoing.request_id,
            target.upstream,
            end.as_str(),
            process::quote(&reason),
            self.retries.attempts(),
            self.deadline_ms.saturating_sub(now_ms),
            match next {
                NextStep::Retry => "try_again",
                NextStep::Answer(_) => "answer",
            }
        );
        match next {
            NextStep::Retry => Ok(()),
            NextStep::Answer(answer) => Err(NoAnswer::Failed(answer)),
        }
    }

    fn place(&mut self) -> Result<(Target, u64), NoAnswer> {
        let check = quarantine::check(&self.node, &self.outgoing.content, WorkKind::Online);
        if let QuarantineCheck::Refused {
            cause,
            retry_after_ms,
        } = check
        {
            return Err(self.refuse_quarantined(cause, retry_after_ms));
        }
        let now_ms = self.node.now_ms();
        let waited_ms = now_ms.saturating_sub(self.arrived_ms);
        let request = PlacementRequest {
            service: &self.service,
            prompt_parts: &self.outgoing.prompt_parts,
            tried: self.retries.tried(),
            goal_ms: self.route.goal_ms,
            waited_ms,
            version: self.version,
            weights: self.outgoing.required_weights.version(),
            may_refuse: !self.retries.may_have_run(),
        };
        let placement = self.node.upstreams.borrow_mut().place(&request, now_ms);
        match placement {
            Placement::Send {
                target,
                expected_ms,
                load,
                kept_tokens,
                preemption,
            } => {
                if let QuarantineCheck::Trial { cause, .. } = check {
                    if !check.permits(load) {
                        return Err(self.refuse_quarantined(cause, TRIAL_RETRY_AFTER_MS));
                    }
                    quarantine::record_trial(&self.node, &self.outgoing.request_id, cause);
                }
                self.node.apply_preemption(&target, preemption);
                log::info!(
                    "event=request_sent request={} route={} upstream={} version={} load={load} expected_ms={expected_ms} kept_tokens={kept_tokens} left_ms={} store_age_ms={} resumes={} after_event={} fingerprint={} shared_parts={}",
                    self.outgoing.request_id,
                    self.route.name,
                    target.upstream,
                    process::quote(&target.version),
                    self.deadline_ms.saturating_sub(now_ms),
                    self.node.store_health.time_since_answer_ms(now_ms),
                    self.resumed_attempt
                        .as_ref()
                        .map_or("none".to_owned(), process::quote),
                    self.resume_after.unwrap_or(0),
                    self.outgoing.content.fingerprint,
                    join_parts(&self.outgoing.content.shared_parts)
                );
                Ok((target, expected_ms))
            }
            Placement::Refuse {
                reason,
                retry_after_ms,
                expected_ms,
            } => {
                let state = self.node.upstreams.borrow().service_state(&self.service);
                log::warn!(
                    "event=request_not_placed request={} route={} reason={} expected_ms={expected_ms} goal_ms={} waited_ms={waited_ms} retry_after_ms={retry_after_ms} upstreams={} unreachable={} load={} slots={}",
                    self.outgoing.request_id,
                    self.route.name,
                    reason.as_str(),
                    self.route.goal_ms,
                    state.ready,
                    state.unreachable,
                    state.load,
                    state.slots
                );
                Err(self.refuse(reason, retry_after_ms))
            }
        }
    }

    /// Logs that a request must not be sent because it, or a part of its prompt, may crash
    /// upstreams, and returns the answer for the caller.
    fn refuse_quarantined(&self, cause: CrashCause, retry_after_ms: u64) -> NoAnswer {
        let reason = RefusalReason::Quarantined;
        log::warn!(
            "event=request_not_placed request={} route={} reason={} {cause} retry_after_ms={retry_after_ms}",
            self.outgoing.request_id,
            self.route.name,
            reason.as_str()
        );
        self.refuse(reason, retry_after_ms)
    }

    /// Counts a refusal. Returns the answer for the caller, which says that the request did
    /// not run only if no attempt may have run it.
    pub(crate) fn refuse(&self, reason: RefusalReason, retry_after_ms: u64) -> NoAnswer {
        self.node
            .metrics
            .on_refusal(reason.as_str(), retry_after_ms);
        if self.retries.may_have_run() {
            NoAnswer::Failed(self.retries.final_answer())
        } else {
            NoAnswer::Refused {
                reason,
                retry_after_ms,
            }
        }
    }

    fn attempt_options(&self, expected_ms: u64, resume_after: Option<u64>) -> AttemptOptions {
        let expected_at_ms = self.node.now_ms() + expected_ms;
        let unresponsive_at_ms = expected_at_ms + HEAD_DELAY_GOALS * self.route.goal_ms;
        let head_deadline_ms = if self.retries.has_spare_attempt() {
            unresponsive_at_ms.min(self.deadline_ms)
        } else {
            self.deadline_ms
        };
        AttemptOptions {
            kind: WorkKind::Online,
            deadline_ms: self.deadline_ms,
            head_deadline_ms,
            unresponsive_at_ms,
            expected_at_ms,
            resume_after,
            is_retryable: self.route.is_retryable(),
        }
    }

    /// Returns whether another upstream should be tried because the answer is a server
    /// error.
    fn should_retry(&self, answer: &UpstreamAnswer) -> bool {
        answer.head.status.is_server_error() && self.retries.has_spare_attempt()
    }

    /// Returns whether the body of an answer is relayed event by event.
    pub(crate) fn is_event_stream(&self, answer: &UpstreamAnswer) -> bool {
        self.route.is_stream() && answer.head.status == StatusCode::OK
    }

    fn relay_answer(self, answer: UpstreamAnswer) -> Response<AnswerBody> {
        let mut head = Response::new(());
        *head.status_mut() = answer.head.status;
        copy_end_to_end_headers(&answer.head.headers, head.headers_mut());
        let is_event_stream = self.is_event_stream(&answer);
        if is_event_stream {
            // If another upstream resumes the stream, the length may differ.
            head.headers_mut().remove(header::CONTENT_LENGTH);
        }
        let body = Relay::new(self, answer, is_event_stream).into_body();
        head.map(|()| body)
    }

    /// Records that the caller gets no answer of an upstream.
    pub(crate) fn record_unanswered(&self, no_answer: NoAnswer) {
        let total_ms = self.node.now_ms().saturating_sub(self.arrived_ms);
        let outcome = no_answer.as_str();
        self.node
            .metrics
            .on_request_end(&self.route, outcome, total_ms);
        log::warn!(
            "event=request_unanswered request={} route={} outcome={outcome} attempts={} total_ms={total_ms}",
            self.outgoing.request_id,
            self.route.name,
            self.retries.attempts()
        );
    }
}

/// Returns the fingerprint of a caller's request. Headers but for the host do not count,
/// since many of them differ between a request and its repetition.
fn fingerprint(parts: &request::Parts, body: &[u8]) -> RequestFingerprint {
    let path_and_query = parts.uri.path_and_query();
    let path_and_query = path_and_query.map_or("", |path_and_query| path_and_query.as_str());
    RequestFingerprint::new(parts.method.as_str(), host_of(parts), path_and_query, body)
}
