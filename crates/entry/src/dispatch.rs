//! Performs what the policy core decides: admission, choice of an upstream,
//! retries, and the accounts of every attempt.

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

use crate::{clock, evidence::EvidenceLog, metrics::Metrics};

const MS_PER_S: u64 = 1_000;

/// Shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    policy: Mutex<Policy>,
    evidence: EvidenceLog,
    metrics: Metrics,
    notices_ready: Notify,
}

#[derive(Debug)]
struct Policy {
    router: Router,
    limits: CustomerLimits,
    budget: RetryBudget,
}

/// One attempt at one upstream. Dropping it counts it as ended.
#[derive(Debug)]
pub(crate) struct Ticket {
    dispatcher: Arc<Dispatcher>,
    attempt: AttemptId,
    upstream: UpstreamId,
    address: SocketAddr,
    is_over: bool,
}

impl Dispatcher {
    pub(crate) fn new(router: Router, metrics: Metrics) -> Self {
        Self {
            policy: Mutex::new(Policy {
                router,
                limits: CustomerLimits::new(),
                budget: RetryBudget::new(),
            }),
            evidence: EvidenceLog::default(),
            metrics,
            notices_ready: Notify::new(),
        }
    }

    /// Takes over a new view of the fleet.
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

    /// Counts a request against its customer's limit.
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
                    .with_retry(retry_after(limit.retry_after_ms))
            })
    }

    /// Chooses an upstream for one attempt.
    pub(crate) fn route(
        self: &Arc<Self>,
        view: &View,
        request: &RouteRequest,
    ) -> Result<Ticket, Refusal> {
        let now_us = clock::now_us();
        let route = self.policy().router.route(request, now_us);
        let route = route.map_err(|refusal| {
            Refusal::new(refusal.kind, refusal_message(refusal.kind))
                .with_retry(retry_after(refusal.retry_after_ms))
        })?;
        self.notices_ready.notify_one();
        if let Some(address) = address_of(view, &route.upstream) {
            return Ok(self.ticket(route, address));
        }
        self.policy().router.on_ended(route.attempt, now_us);
        let message = "The upstream chosen has just left.";
        Err(Refusal::new(ErrorKind::NoUpstream, message))
    }

    /// Takes one retry out of the budget, if it holds one.
    pub(crate) fn try_retry(&self) -> bool {
        let granted = self.policy().budget.try_retry();
        self.metrics.on_retry(granted);
        granted
    }

    /// Takes over an engine's own report.
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

    /// Sends nothing new to an upstream that says it is leaving, before the
    /// fleet agrees.
    fn on_leaving(&self, upstream: &UpstreamId) {
        self.policy().router.on_leaving(upstream, clock::now_us());
        self.evidence.push(upstream, Liveness::Leaving);
    }

    /// Upstreams that this entry may talk to.
    pub(crate) fn upstreams(&self) -> Vec<UpstreamId> {
        self.policy().router.upstreams()
    }

    /// Notices for the owners of batch windows, and when the rest is due.
    pub(crate) fn take_notices(&self) -> Vec<DispatchNotice> {
        self.policy().router.take_notices(clock::now_us())
    }

    /// Whether nothing is in flight and no notice waits.
    pub(crate) fn is_idle(&self) -> bool {
        let policy = self.policy();
        policy.router.in_flight() == 0 && policy.router.notices_due_at_us().is_none()
    }

    /// Direct evidence about upstreams.
    pub(crate) fn evidence(&self) -> &EvidenceLog {
        &self.evidence
    }

    /// Resolves once a request has been sent since the last call.
    pub(crate) async fn notices_ready(&self) {
        self.notices_ready.notified().await;
    }

    fn ticket(self: &Arc<Self>, route: Route, address: SocketAddr) -> Ticket {
        self.metrics.on_attempt(route.crosses_region);
        Ticket {
            dispatcher: Arc::clone(self),
            attempt: route.attempt,
            upstream: route.upstream,
            address,
            is_over: false,
        }
    }

    fn policy(&self) -> MutexGuard<'_, Policy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ticket {
    /// The upstream.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// HTTP address of the upstream.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The first token, or the answer of a plain service, came.
    pub(crate) fn on_first_token(&self) {
        let now_us = clock::now_us();
        let mut policy = self.dispatcher.policy();
        policy.router.on_first_token(self.attempt, now_us);
    }

    /// A further token came.
    pub(crate) fn on_token(&self) {
        let now_us = clock::now_us();
        self.dispatcher
            .policy()
            .router
            .on_token(self.attempt, now_us);
    }

    /// The upstream said that it is leaving.
    pub(crate) fn on_leaving(&self) {
        self.dispatcher.on_leaving(&self.upstream);
    }

    /// The attempt failed.
    pub(crate) fn fail(mut self, error: &UpstreamError) {
        self.is_over = true;
        let kind = error.kind;
        let now_us = clock::now_us();
        let dispatcher = &self.dispatcher;
        if error.is_attempt_mismatch {
            dispatcher.metrics.on_answer_dropped("crossed");
        } else if kind == ErrorKind::DeadlineExceeded {
            dispatcher.metrics.on_answer_dropped("late");
        }
        dispatcher.metrics.on_attempt_failed(kind);
        dispatcher
            .policy()
            .router
            .on_failure(self.attempt, kind, now_us);
        match kind {
            ErrorKind::UpstreamLeaving => self.on_leaving(),
            ErrorKind::ConnectRefused => {
                dispatcher.evidence.push(&self.upstream, Liveness::Suspect);
            }
            _ => {}
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.is_over {
            let now_us = clock::now_us();
            self.dispatcher
                .policy()
                .router
                .on_ended(self.attempt, now_us);
        }
    }
}

fn address_of(view: &View, id: &UpstreamId) -> Option<SocketAddr> {
    let index = view
        .upstreams
        .binary_search_by(|upstream| upstream.id.cmp(id))
        .ok()?;
    view.upstreams[index].address.parse().ok()
}

fn refusal_message(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::TargetUnreachable => "The target of the class cannot be met now.",
        ErrorKind::NoUpstream => "No live upstream takes this request now.",
        _ => "The request cannot be sent now.",
    }
}

fn retry_after(wait_ms: u64) -> RetryAdvice {
    let seconds = wait_ms.div_ceil(MS_PER_S).max(1);
    RetryAdvice::AfterS(u32::try_from(seconds).unwrap_or(u32::MAX))
}
