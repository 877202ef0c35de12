//! Routing and admission control of online requests at one entry program.

mod candidates;

use model::{
    DispatchNotice, ErrorKind, InstanceId, Liveness, ModelName, Region, ServiceName, UpstreamId,
    View,
};
use rand::{SeedableRng, rngs::SmallRng};

use self::candidates::{Candidate, Scope};
use crate::{
    EngineCost, UpstreamLoad,
    notices::PendingNotices,
    table::{SubsetSizes, UpstreamTable, to_f64},
};

/// Number of an attempt to send a request, unique at this entry program.
pub type AttemptId = u64;

const US_PER_MS: u64 = 1_000;
/// Assumed one-way latency within a region, microseconds.
const HOME_LATENCY_US: u64 = 1_000;
/// Assumed one-way latency to another region until one is set, microseconds.
const REMOTE_LATENCY_US: u64 = 35_000;
/// Number of upstreams used per model or service in the home region.
const HOME_SUBSET_SIZE: usize = 16;
/// Number of upstreams used per model or service in each other region.
const REMOTE_SUBSET_SIZE: usize = 4;

/// Model or service that must serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// Any engine that serves the model.
    Model(ModelName),
    /// Any upstream of the plain service.
    Service(ServiceName),
}

/// A request that needs an upstream.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// Model or service that the request is for.
    pub destination: Destination,
    /// Number of prompt tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's leading blocks, from [`crate::prefix_hashes`].
    pub prefix_hashes: Vec<u64>,
    /// Time by which the first token (or answer) has to arrive, microseconds.
    pub first_token_deadline_us: u64,
    /// Upstreams at which this request already failed.
    pub excluded: Vec<UpstreamId>,
    /// Bytes to count as billed traffic if the request leaves the home region.
    pub link_bytes: u64,
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Number of the attempt, to be passed to the `on_*` methods of [`Router`].
    pub attempt: AttemptId,
    /// Upstream to send the request to.
    pub upstream: UpstreamId,
    /// Whether the request leaves the home region.
    pub crosses_region: bool,
    /// Predicted time of the first token, microseconds.
    pub first_token_at_us: u64,
}

/// Refusal of a request before it was sent, so that no part of it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: ErrorKind,
    /// Time after which the caller may retry, milliseconds.
    pub retry_after_ms: u64,
}

/// Chooses upstreams for the requests of one entry program.
#[derive(Debug)]
pub struct Router {
    instance: InstanceId,
    home: Region,
    subset_sizes: SubsetSizes,
    cost: EngineCost,
    latencies: Vec<(Region, u64)>,
    table: UpstreamTable,
    attempts: Vec<Attempt>,
    next_attempt: AttemptId,
    notices: PendingNotices,
    cross_region_bytes: u64,
    rng: SmallRng,
}

#[derive(Debug)]
struct Attempt {
    id: AttemptId,
    upstream: UpstreamId,
    is_model_request: bool,
    prompt_tokens: u32,
    predicted_us: f64,
    sent_at_us: u64,
    last_token_at_us: Option<u64>,
}

impl Router {
    /// Creates the router of the entry `instance` in region `home`; `seed` makes
    /// its random choices reproducible.
    #[must_use]
    pub fn new(instance: InstanceId, home: Region, seed: u64) -> Self {
        Self {
            instance,
            home,
            subset_sizes: SubsetSizes {
                home: HOME_SUBSET_SIZE,
                remote: REMOTE_SUBSET_SIZE,
            },
            cost: EngineCost::default(),
            latencies: Vec::new(),
            table: UpstreamTable::default(),
            attempts: Vec::new(),
            next_attempt: 1,
            notices: PendingNotices::default(),
            cross_region_bytes: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets how many upstreams per model or service the entry program uses in
    /// the home region and in each other region.
    #[must_use]
    pub fn with_subset_sizes(mut self, home: usize, remote: usize) -> Self {
        self.subset_sizes = SubsetSizes { home, remote };
        self
    }

    /// Sets the cost model of an engine's steps.
    #[must_use]
    pub fn with_engine_cost(mut self, cost: EngineCost) -> Self {
        self.cost = cost;
        self
    }

    /// Replaces the view of the fleet, and keeps the state of the upstreams that
    /// are in both views.
    pub fn set_view(&mut self, view: &View) {
        self.table
            .rebuild(view, &self.instance, &self.home, self.subset_sizes);
    }

    /// Sets the measured one-way latency to a region, microseconds.
    pub fn set_link_latency(&mut self, region: &Region, one_way_us: u64) {
        match self.latencies.binary_search_by(|link| link.0.cmp(region)) {
            Ok(index) => self.latencies[index].1 = one_way_us,
            Err(index) => self.latencies.insert(index, (region.clone(), one_way_us)),
        }
    }

    /// Chooses an upstream and counts the attempt as in flight there.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] of kind [`ErrorKind::NoUpstream`] if no upstream
    /// accepts the request, or [`ErrorKind::TargetUnreachable`] if none is
    /// predicted to meet its deadline.
    pub fn route(&mut self, request: &RouteRequest, now_us: u64) -> Result<Route, Refusal> {
        let home_candidates = self.candidates(Scope::Home, request, now_us);
        let budget_us = to_f64(request.first_token_deadline_us.saturating_sub(now_us));
        let mut chosen = self.pick_among_best(&home_candidates);
        if chosen.is_none_or(|candidate| candidate.first_token_us > budget_us) {
            let remote_candidates = self.candidates(Scope::Remote, request, now_us);
            let best_remote = self.pick_among_best(&remote_candidates);
            if best_remote.is_some_and(|candidate| candidate.first_token_us <= budget_us) {
                chosen = best_remote;
            }
        }
        let Some(candidate) = chosen else {
            return Err(self.no_upstream(request, now_us));
        };
        if candidate.first_token_us > budget_us {
            return Err(Refusal {
                kind: ErrorKind::TargetUnreachable,
                retry_after_ms: retry_delay_ms(candidate.first_token_us - budget_us),
            });
        }
        Ok(self.dispatch(candidate, request, now_us))
    }

    /// Records that the request of an attempt was written to its connection.
    pub fn on_sent(&mut self, attempt: AttemptId, now_us: u64) {
        if let Some(index) = self.attempt_index(attempt) {
            self.attempts[index].sent_at_us = now_us;
        }
    }

    /// Records that the first token (or the answer of a plain service) arrived.
    pub fn on_first_token(&mut self, attempt: AttemptId, now_us: u64) {
        let Some(index) = self.attempt_index(attempt) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        if attempt.last_token_at_us.replace(now_us).is_some() {
            return;
        }
        let latency_us = now_us.saturating_sub(attempt.sent_at_us);
        let prompt_tokens = std::mem::take(&mut attempt.prompt_tokens);
        if attempt.is_model_request {
            self.notices.on_first_token(&attempt.upstream, latency_us);
        }
        if let Some(row) = self.table.row_mut(&attempt.upstream) {
            row.own.prompt_tokens = row.own.prompt_tokens.saturating_sub(prompt_tokens);
            row.health.on_success();
            row.update_correction(attempt.predicted_us, to_f64(latency_us));
        }
    }

    /// Records that a token after the first one arrived.
    pub fn on_token(&mut self, attempt: AttemptId, now_us: u64) {
        let Some(index) = self.attempt_index(attempt) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        if let Some(last_us) = attempt.last_token_at_us.replace(now_us)
            && attempt.is_model_request
        {
            let interval_us = now_us.saturating_sub(last_us);
            self.notices
                .on_token_interval(&attempt.upstream, interval_us);
        }
    }

    /// Records that the attempt completed or was cancelled by the caller.
    pub fn on_ended(&mut self, attempt: AttemptId, _now_us: u64) {
        self.remove_attempt(attempt);
    }

    /// Records that the attempt failed with an error of `kind`.
    pub fn on_failure(&mut self, attempt: AttemptId, kind: ErrorKind, now_us: u64) {
        let Some(upstream) = self.remove_attempt(attempt) else {
            return;
        };
        let Some(row) = self.table.row_mut(&upstream) else {
            return;
        };
        match kind {
            ErrorKind::UpstreamLeaving => row.leaving_at_us = Some(now_us),
            ErrorKind::ConnectRefused | ErrorKind::ConnectionLost | ErrorKind::StreamCut => {
                row.health.on_failure(true, now_us);
            }
            ErrorKind::UpstreamFailed | ErrorKind::UpstreamRefused => {
                row.health.on_failure(false, now_us);
            }
            _ => {}
        }
    }

    /// Records that the upstream announced, other than by failing an attempt,
    /// that it is leaving.
    pub fn on_leaving(&mut self, upstream: &UpstreamId, now_us: u64) {
        if let Some(row) = self.table.row_mut(upstream) {
            row.leaving_at_us = Some(now_us);
        }
    }

    /// Records the load that the owner of an upstream's batch window reported
    /// `age_us` ago.
    pub fn on_load(&mut self, load: &UpstreamLoad, age_us: u64, now_us: u64) {
        if let Some(row) = self.table.row_mut(&load.upstream) {
            row.set_load(load, now_us.saturating_sub(age_us));
        }
    }

    /// Records the load that an engine itself reported `age_us` ago.
    pub fn on_report(
        &mut self,
        upstream: &UpstreamId,
        running: u32,
        waiting_prompt_tokens: u32,
        age_us: u64,
        now_us: u64,
    ) {
        if let Some(row) = self.table.row_mut(upstream) {
            row.set_report(
                running,
                waiting_prompt_tokens,
                now_us.saturating_sub(age_us),
            );
        }
    }

    /// Removes and returns the pending notices for the owners of batch windows.
    pub fn take_notices(&mut self, now_us: u64) -> Vec<DispatchNotice> {
        self.notices.take(now_us)
    }

    /// Returns when [`Router::take_notices`] is due, microseconds: at once (0)
    /// after a request was sent, after a short delay for all other notices, and
    /// `None` while no notice is pending.
    #[must_use]
    pub fn notices_due_at_us(&self) -> Option<u64> {
        self.notices.due_at_us()
    }

    /// Returns the bytes sent to and received from other regions.
    #[must_use]
    pub fn cross_region_bytes(&self) -> u64 {
        self.cross_region_bytes
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the upstreams that this entry program may use.
    #[must_use]
    pub fn upstreams(&self) -> Vec<UpstreamId> {
        self.table.rows().iter().map(|row| row.id.clone()).collect()
    }
}

impl Router {
    fn serving_rows(&self, destination: &Destination) -> (&[usize], &[usize]) {
        match destination {
            Destination::Model(model) => self.table.serving_model(model),
            Destination::Service(service) => self.table.serving_service(service),
        }
    }

    fn dispatch(&mut self, candidate: Candidate, request: &RouteRequest, now_us: u64) -> Route {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let is_model_request = matches!(request.destination, Destination::Model(_));
        let row = self.table.row_at_mut(candidate.row_index);
        row.own.running += 1;
        row.own.prompt_tokens += candidate.prompt_tokens;
        row.health.on_sent(now_us);
        row.prefixes.insert(&request.prefix_hashes, now_us);
        let upstream = row.id.clone();
        let crosses_region = row.region != self.home;
        if crosses_region {
            self.cross_region_bytes += request.link_bytes;
        }
        if is_model_request {
            self.notices.on_started(&upstream, candidate.prompt_tokens);
        }
        self.attempts.push(Attempt {
            id: attempt,
            upstream: upstream.clone(),
            is_model_request,
            prompt_tokens: candidate.prompt_tokens,
            predicted_us: candidate.first_token_us,
            sent_at_us: now_us,
            last_token_at_us: None,
        });
        Route {
            attempt,
            upstream,
            crosses_region,
            first_token_at_us: now_us + truncate_us(candidate.first_token_us),
        }
    }

    fn no_upstream(&self, request: &RouteRequest, now_us: u64) -> Refusal {
        let (home, remote) = self.serving_rows(&request.destination);
        let rows = self.table.rows();
        // Without a live upstream, the delay is that of `ErrorKind::NoUpstream`.
        let readmitted_at_us = home
            .iter()
            .chain(remote)
            .map(|index| &rows[*index])
            .filter(|row| row.liveness == Liveness::Live)
            .map(|row| row.health.admits_from_us())
            .min();
        let wait_us =
            readmitted_at_us.map_or(2_000 * US_PER_MS, |at_us| at_us.saturating_sub(now_us));
        Refusal {
            kind: ErrorKind::NoUpstream,
            retry_after_ms: wait_us.div_ceil(US_PER_MS).max(1),
        }
    }

    fn link_latency_us(&self, region: &Region) -> u64 {
        match self.latencies.binary_search_by(|link| link.0.cmp(region)) {
            Ok(index) => self.latencies[index].1,
            Err(_) if *region == self.home => HOME_LATENCY_US,
            Err(_) => REMOTE_LATENCY_US,
        }
    }

    fn attempt_index(&self, attempt: AttemptId) -> Option<usize> {
        self.attempts
            .binary_search_by_key(&attempt, |in_flight| in_flight.id)
            .ok()
    }

    fn remove_attempt(&mut self, attempt: AttemptId) -> Option<UpstreamId> {
        let index = self.attempt_index(attempt)?;
        let attempt = self.attempts.remove(index);
        if attempt.is_model_request {
            self.notices.on_ended(&attempt.upstream);
        }
        if let Some(row) = self.table.row_mut(&attempt.upstream) {
            row.own.running = row.own.running.saturating_sub(1);
            row.own.prompt_tokens = row.own.prompt_tokens.saturating_sub(attempt.prompt_tokens);
        }
        Some(attempt.upstream)
    }
}

fn retry_delay_ms(excess_us: f64) -> u64 {
    truncate_us(excess_us).div_ceil(US_PER_MS).max(1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "predicted times are positive and far below 2^53"
)]
fn truncate_us(time_us: f64) -> u64 {
    time_us.max(0.0) as u64
}
