//! Executes one call to a plain service, with retries.

use std::sync::Arc;

use model::{Class, ErrorKind, Ran, RetryAdvice, ServiceName, ServiceTarget, UpstreamId};
use policy::{Destination, RouteRequest};
use process::Refusal;
use upstream::{ServiceAnswer, ServiceCall, UpstreamError};
use uuid::Uuid;

use crate::{deadlines::Deadlines, refusal, server::ServerState};

/// Maximum number of attempts of one call, including the first.
const ATTEMPTS_MAX: u32 = 4;

/// Execution of one call to a plain service, across all of its attempts.
pub(crate) struct ServiceExecution {
    state: Arc<ServerState>,
    call: ServiceCall,
    service: ServiceName,
    idempotent: bool,
    deadlines: Deadlines,
    attempts: u32,
    excluded: Vec<UpstreamId>,
    ran: Ran,
    last_refusal: Option<Refusal>,
}

impl ServiceExecution {
    /// Creates the execution of a call that has been admitted.
    pub(crate) fn new(
        state: Arc<ServerState>,
        call: ServiceCall,
        class: &Class,
        target: &ServiceTarget,
    ) -> Self {
        Self {
            state,
            call,
            service: target.service.clone(),
            idempotent: target.idempotent,
            deadlines: Deadlines::new(&class.target),
            attempts: 0,
            excluded: Vec::new(),
            ran: Ran::No,
            last_refusal: None,
        }
    }

    /// Returns the call to be sent.
    pub(crate) fn call(&self) -> &ServiceCall {
        &self.call
    }

    /// Returns the deadlines of the call.
    pub(crate) fn deadlines(&self) -> &Deadlines {
        &self.deadlines
    }

    /// Makes attempts until a service answers. A call that is not idempotent is
    /// retried only if it certainly did not run.
    pub(crate) async fn run(mut self) -> Result<ServiceAnswer, Refusal> {
        if self.deadlines.has_expired() {
            let message = "The call's deadline passed before it could be sent.";
            return Err(Refusal::new(ErrorKind::DeadlineBeforeStart, message));
        }
        loop {
            let view = self.state.view()?;
            let route = self.state.dispatcher.route(&view, &self.route_request());
            let attempt = route.map_err(|refusal| self.last_refusal.take().unwrap_or(refusal))?;
            self.attempts += 1;
            let attempt_id = Uuid::new_v4().simple().to_string();
            let answer = self
                .state
                .upstreams
                .call(
                    attempt.address(),
                    &attempt_id,
                    self.call.clone(),
                    self.deadlines.expires_at,
                )
                .await;
            let error = match answer {
                Ok(answer) => {
                    attempt.on_first_token();
                    return Ok(answer);
                }
                Err(error) => error,
            };
            log::info!(
                "event=attempt_failed upstream={} kind={} error={}",
                attempt.upstream(),
                error.kind.answer().code,
                process::quote(&error.message)
            );
            self.ran = refusal::combined_ran(self.ran, error.ran());
            self.excluded.push(attempt.upstream().clone());
            attempt.record_failure(&error);
            let refusal = self.refusal_for(&error);
            if !self.may_retry(error.kind) {
                return Err(refusal);
            }
            self.last_refusal = Some(refusal);
        }
    }

    fn may_retry(&self, kind: ErrorKind) -> bool {
        self.attempts < ATTEMPTS_MAX
            && policy::retry_is_safe(kind, self.idempotent, 0)
            && !self.deadlines.has_expired()
            && self.state.dispatcher.try_retry()
    }

    fn refusal_for(&self, error: &UpstreamError) -> Refusal {
        let message = format!("The service failed: {}.", error.message);
        let refusal = Refusal::new(error.kind, message).with_ran(self.ran);
        if !self.idempotent && self.ran != Ran::No {
            // A retry could run the call twice.
            return refusal.with_retry(RetryAdvice::Never);
        }
        match error.retry_after_s {
            Some(seconds) => refusal.with_retry(RetryAdvice::AfterS(seconds)),
            None => refusal,
        }
    }

    fn route_request(&self) -> RouteRequest {
        RouteRequest {
            destination: Destination::Service(self.service.clone()),
            prompt_tokens: 0,
            prefix_hashes: Vec::new(),
            first_token_deadline_us: self.deadlines.due_at_us,
            excluded: self.excluded.clone(),
            link_bytes: u64::try_from(self.call.body.len()).unwrap_or(u64::MAX),
        }
    }
}
