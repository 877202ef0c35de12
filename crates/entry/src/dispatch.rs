//! Connects requests to the `policy` crate: admission control, choice of an
//! upstream, the retry budget, and the outcome of every attempt.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use model::{
    Class, CustomerId, DispatchNotice, ErrorKind, InstanceRole, Liveness, RetryAdvice, UpstreamId,
    View,
};
use policy::{AttemptId, CustomerLimits, RetryBudget, Route, RouteRequest, Router};
use process::Refusal;
use tokio::sync::Notify;
use upstream::UpstreamError;

use crate::{clock, evidence::EvidenceQueue, metrics::Metrics};

const MS_PER_S: u64 = 1_000;

/// Guards the policy state that all requests of an entry share.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    policy: Mutex<Policy>,
    evidence: EvidenceQueue,
    metrics: Metrics,
    notices_ready: Notify,
}

#[derive(Debug)]
struct Policy {
    router: Router,
    limits: CustomerLimits,
    budget: RetryBudget,
}

/// One attempt at one upstream. Dropping it records that the attempt ended,
/// unless its failure was recorded before.
#[derive(Debug)]
pub(crate) struct Attempt {
    dispatcher: Arc<Dispatcher>,
    id: AttemptId,
    upstream: UpstreamId,
    address: SocketAddr,
    is_finished: bool,
}

impl Dispatcher {
    pub(crate) fn new(router: Router, metrics: Metrics) -> Self {
        Self {
            policy: Mutex::new(Policy {
                router,
                limits: CustomerLimits::new(),
                budget: RetryBudget::new(),
            }),
            evidence: EvidenceQueue::default(),
            metrics,
            notices_ready: Notify::new(),
        }
    }

    /// Replaces the view of the fleet.
    pub(crate) fn set_view(&self, view: &View) {
        let entries = view
            .instances
            .iter()
            .filter(|instance| instance.role == InstanceRole::Entry)
            .filter(|instance| instance.liveness == Liveness::Live)
            .count();
        let mut policy = self.policy();
        policy.limits.set_entry_count(entries);
        policy.router.set_view(view);
    }

    /// Counts a request against its customer's rate limit, or refuses it if the
    /// limit is used up.
    pub(crate) fn admit(&self, customer: &CustomerId, class: &Class) -> Result<(), Refusal> {
        let mut policy = self.policy();
        policy.budget.on_request();
        let Some(requests_per_s) = class.customer_requests_per_s else {
            return Ok(());
        };
        policy
            .limits
            .admit(customer, &class.name, requests_per_s, clock::now_us())
            .map_err(|limit| {
                let message =
                    format!("The limit of {requests_per_s} requests per second is used up.");
                Refusal::new(ErrorKind::CustomerLimit, message)
                    .with_retry(retry_advice(limit.retry_after_ms))
            })
    }

    /// Chooses an upstream for one attempt and counts the attempt as in flight.
    pub(crate) fn route(
        self: &Arc<Self>,
        view: &View,
        request: &RouteRequest,
    ) -> Result<Attempt, Refusal> {
        let now_us = clock::now_us();
        let route = self.policy().router.route(request, now_us);
        let route = route.map_err(|refusal| {
            Refusal::new(refusal.kind, refusal_message(refusal.kind))
                .with_retry(retry_advice(refusal.retry_after_ms))
        })?;
        self.notices_ready.notify_one();
        if let Some(address) = upstream_address(view, &route.upstream) {
            return Ok(self.begin_attempt(route, address));
        }
        self.policy().router.on_ended(route.attempt, now_us);
        let message = "The chosen upstream has just left the fleet.";
        Err(Refusal::new(ErrorKind::NoUpstream, message))
    }

    /// Takes one retry from the retry budget; returns `false` if the budget is used up.
    pub(crate) fn try_retry(&self) -> bool {
        let granted = self.policy().budget.try_retry();
        self.metrics.on_retry(granted);
        granted
    }

    /// Records the load that an engine reported.
    pub(crate) fn on_report(&self, upstream: &UpstreamId, report: &upstream::LoadReport) {
        let age_us = report.age_ms.saturating_mul(MS_PER_S);
        self.policy().router.on_report(
            upstream,
            report.running,
            report.waiting_prompt_tokens,
            age_us,
            clock::now_us(),
        );
        if report.leaving {
            self.on_leaving(upstream);
        }
    }

    /// Stops sending new requests to an upstream that announced its departure,
    /// without waiting for the next view.
    fn on_leaving(&self, upstream: &UpstreamId) {
        self.policy().router.on_leaving(upstream, clock::now_us());
        self.evidence.push(upstream, Liveness::Leaving);
    }

    /// Returns the upstreams that this entry may use.
    pub(crate) fn upstream_ids(&self) -> Vec<UpstreamId> {
        self.policy().router.upstreams()
    }

    /// Removes and returns the pending notices for the owners of batch windows.
    pub(crate) fn take_notices(&self) -> Vec<DispatchNotice> {
        self.policy().router.take_notices(clock::now_us())
    }

    /// Returns whether no attempt is in flight and no notice is pending.
    pub(crate) fn is_idle(&self) -> bool {
        let policy = self.policy();
        policy.router.in_flight() == 0 && policy.router.notices_due_at_us().is_none()
    }

    /// Returns the queue of direct evidence about upstreams.
    pub(crate) fn evidence(&self) -> &EvidenceQueue {
        &self.evidence
    }

    /// Resolves once an upstream has been chosen for a request since the last
    /// call.
    pub(crate) async fn notices_ready(&self) {
        self.notices_ready.notified().await;
    }

    fn begin_attempt(self: &Arc<Self>, route: Route, address: SocketAddr) -> Attempt {
        self.metrics.on_attempt(route.crosses_region);
        Attempt {
            dispatcher: Arc::clone(self),
            id: route.attempt,
            upstream: route.upstream,
            address,
            is_finished: false,
        }
    }

    fn policy(&self) -> MutexGuard<'_, Policy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Attempt {
    /// Returns the upstream of the attempt.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Returns the HTTP address of the upstream.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records that the first token, or the answer of a plain service, arrived.
    pub(crate) fn on_first_token(&self) {
        let now_us = clock::now_us();
        let mut policy = self.dispatcher.policy();
        policy.router.on_first_token(self.id, now_us);
    }

    /// Records that a token after the first one arrived.
    pub(crate) fn on_token(&self) {
        let now_us = clock::now_us();
        self.dispatcher.policy().router.on_token(self.id, now_us);
    }

    /// Records that the upstream announced that it is leaving.
    pub(crate) fn on_leaving(&self) {
        self.dispatcher.on_leaving(&self.upstream);
    }

    /// Records that the attempt failed and ends it.
    pub(crate) fn record_failure(mut self, error: &UpstreamError) {
        self.is_finished = true;
        let kind = error.kind;
        let now_us = clock::now_us();
        let dispatcher = &self.dispatcher;
        if error.is_attempt_mismatch {
            dispatcher.metrics.on_answer_dropped("crossed");
        } else if kind == ErrorKind::DeadlineExceeded {
            dispatcher.metrics.on_answer_dropped("late");
        }
        dispatcher.metrics.on_attempt_failed(kind);
        dispatcher.policy().router.on_failure(self.id, kind, now_us);
        match kind {
            ErrorKind::UpstreamLeaving => self.on_leaving(),
            ErrorKind::ConnectRefused => {
                dispatcher.evidence.push(&self.upstream, Liveness::Suspect);
            }
            _ => {}
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_finished {
            let now_us = clock::now_us();
            self.dispatcher.policy().router.on_ended(self.id, now_us);
        }
    }
}

fn upstream_address(view: &View, id: &UpstreamId) -> Option<SocketAddr> {
    let index = view
        .upstreams
        .binary_search_by(|upstream| upstream.id.cmp(id))
        .ok()?;
    view.upstreams[index].address.parse().ok()
}

fn refusal_message(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::TargetUnreachable => "The target of the class cannot be met now.",
        ErrorKind::NoUpstream => "No live upstream can serve this request now.",
        _ => "The request cannot be sent now.",
    }
}

fn retry_advice(wait_ms: u64) -> RetryAdvice {
    let seconds = wait_ms.div_ceil(MS_PER_S).max(1);
    RetryAdvice::AfterS(u32::try_from(seconds).unwrap_or(u32::MAX))
}
