//! Routing and admission of online requests at one entry.

use model::{
    DispatchNotice, ErrorKind, InstanceId, Liveness, ModelName, Region, ServiceName, UpstreamId,
    View,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    EngineCost, UpstreamLoad,
    notices::Notices,
    table::{Row, SubsetSizes, Table, us},
};

/// Number of one attempt of one request at this entry.
pub type AttemptId = u64;

const US_PER_MS: u64 = 1_000;
/// One-way time within a region, microseconds.
const HOME_LINK_US: u64 = 1_000;
/// One-way time to another region until a better figure is set, microseconds.
const AWAY_LINK_US: u64 = 35_000;
/// Prompt tokens that a cached prefix block saves.
const BLOCK_TOKENS: u32 = 64;
/// Candidates this much slower than the best count as equal, microseconds.
///
/// Entries that decide at the same moment from the same news would otherwise
/// all choose the same upstream.
const TIE_US: f64 = 500.0;
/// Upstreams per model in the home region.
const HOME_SUBSET: usize = 16;
/// Upstreams per model in each other region.
const AWAY_SUBSET: usize = 4;

/// What serves a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// Any engine with the model.
    Model(ModelName),
    /// Any upstream of a plain service.
    Service(ServiceName),
}

/// A request that needs an upstream.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// What serves it.
    pub destination: Destination,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's leading blocks, from [`crate::prefix_hashes`].
    pub prefix_hashes: Vec<u64>,
    /// When the first token (or answer) is due, microseconds.
    pub first_token_deadline_us: u64,
    /// Upstreams that already failed this request.
    pub excluded: Vec<UpstreamId>,
    /// Bytes that cross the link there and back, for the bill.
    pub link_bytes: u64,
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Number of the attempt, for the calls that follow.
    pub attempt: AttemptId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether the request leaves the home region.
    pub crosses_region: bool,
    /// When the first token is expected, microseconds.
    pub first_token_at_us: u64,
}

/// A request that is not sent; nothing of it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// When to come back, milliseconds from now.
    pub retry_after_ms: u64,
}

/// Chooses upstreams for the requests of one entry.
#[derive(Debug)]
pub struct Router {
    instance: InstanceId,
    home: Region,
    sizes: SubsetSizes,
    cost: EngineCost,
    links: Vec<(Region, u64)>,
    table: Table,
    attempts: Vec<Attempt>,
    next_attempt: AttemptId,
    notices: Notices,
    cross_region_bytes: u64,
    rng: SmallRng,
}

#[derive(Debug)]
struct Attempt {
    id: AttemptId,
    upstream: UpstreamId,
    is_model: bool,
    prompt_tokens: u32,
    predicted_us: f64,
    sent_at_us: u64,
    last_token_at_us: Option<u64>,
}

impl Router {
    /// The router of the entry `instance` in region `home`.
    #[must_use]
    pub fn new(instance: InstanceId, home: Region, seed: u64) -> Self {
        Self {
            instance,
            home,
            sizes: SubsetSizes {
                home: HOME_SUBSET,
                away: AWAY_SUBSET,
            },
            cost: EngineCost::default(),
            links: Vec::new(),
            table: Table::default(),
            attempts: Vec::new(),
            next_attempt: 1,
            notices: Notices::default(),
            cross_region_bytes: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets how many upstreams per model the entry talks to, at home and in
    /// each other region.
    #[must_use]
    pub fn with_subset_sizes(mut self, home: usize, away: usize) -> Self {
        self.sizes = SubsetSizes { home, away };
        self
    }

    /// Sets the expected cost of an engine's step.
    #[must_use]
    pub fn with_engine_cost(mut self, cost: EngineCost) -> Self {
        self.cost = cost;
        self
    }

    /// Takes over a new view of the fleet.
    pub fn set_view(&mut self, view: &View) {
        self.table
            .rebuild(view, &self.instance, &self.home, self.sizes);
    }

    /// Sets the measured one-way time to a region, microseconds.
    pub fn set_link_latency(&mut self, region: &Region, one_way_us: u64) {
        match self.links.binary_search_by(|link| link.0.cmp(region)) {
            Ok(index) => self.links[index].1 = one_way_us,
            Err(index) => self.links.insert(index, (region.clone(), one_way_us)),
        }
    }

    /// Chooses an upstream and counts the attempt as in flight there.
    ///
    /// # Errors
    ///
    /// Refuses when no upstream takes the request, or when none is expected to
    /// meet its deadline.
    pub fn route(&mut self, request: &RouteRequest, now_us: u64) -> Result<Route, Refusal> {
        let near = self.candidates(Scope::Home, request, now_us);
        let budget_us = us(request.first_token_deadline_us.saturating_sub(now_us));
        let mut chosen = self.pick(&near);
        if chosen.is_none_or(|candidate| candidate.first_token_us > budget_us) {
            let far = self.candidates(Scope::Away, request, now_us);
            let best = self.pick(&far);
            if best.is_some_and(|candidate| candidate.first_token_us <= budget_us) {
                chosen = best;
            }
        }
        let Some(candidate) = chosen else {
            return Err(self.no_upstream(request, now_us));
        };
        if candidate.first_token_us > budget_us {
            return Err(Refusal {
                kind: ErrorKind::TargetUnreachable,
                retry_after_ms: ms_until(candidate.first_token_us - budget_us),
            });
        }
        Ok(self.dispatch(candidate, request, now_us))
    }

    /// The request's bytes went out.
    pub fn on_sent(&mut self, attempt: AttemptId, now_us: u64) {
        if let Some(index) = self.find(attempt) {
            self.attempts[index].sent_at_us = now_us;
        }
    }

    /// The first token (or the answer of a plain service) came.
    pub fn on_first_token(&mut self, attempt: AttemptId, now_us: u64) {
        let Some(index) = self.find(attempt) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        if attempt.last_token_at_us.replace(now_us).is_some() {
            return;
        }
        let took_us = now_us.saturating_sub(attempt.sent_at_us);
        let prompt_tokens = std::mem::take(&mut attempt.prompt_tokens);
        if attempt.is_model {
            self.notices.on_first_token(&attempt.upstream, took_us);
        }
        if let Some(row) = self.table.row_mut(&attempt.upstream) {
            row.own.prompt_tokens = row.own.prompt_tokens.saturating_sub(prompt_tokens);
            row.health.on_success();
            row.observe(attempt.predicted_us, us(took_us));
        }
    }

    /// A further token came.
    pub fn on_token(&mut self, attempt: AttemptId, now_us: u64) {
        let Some(index) = self.find(attempt) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        if let Some(last_us) = attempt.last_token_at_us.replace(now_us)
            && attempt.is_model
        {
            let gap_us = now_us.saturating_sub(last_us);
            self.notices.on_gap(&attempt.upstream, gap_us);
        }
    }

    /// The attempt ended well, or was cancelled by the caller.
    pub fn on_ended(&mut self, attempt: AttemptId, _now_us: u64) {
        self.remove(attempt);
    }

    /// The attempt failed.
    pub fn on_failure(&mut self, attempt: AttemptId, kind: ErrorKind, now_us: u64) {
        let Some(upstream) = self.remove(attempt) else {
            return;
        };
        let Some(row) = self.table.row_mut(&upstream) else {
            return;
        };
        match kind {
            ErrorKind::UpstreamLeaving => row.left_at_us = Some(now_us),
            ErrorKind::ConnectRefused | ErrorKind::ConnectionLost | ErrorKind::StreamCut => {
                row.health.on_failure(true, now_us);
            }
            ErrorKind::UpstreamFailed | ErrorKind::UpstreamRefused => {
                row.health.on_failure(false, now_us);
            }
            _ => {}
        }
    }

    /// The upstream said, outside a failed attempt, that it is leaving.
    pub fn on_leaving(&mut self, upstream: &UpstreamId, now_us: u64) {
        if let Some(row) = self.table.row_mut(upstream) {
            row.left_at_us = Some(now_us);
        }
    }

    /// Takes over the news of an upstream's owner, `age_us` old.
    pub fn on_load(&mut self, load: &UpstreamLoad, age_us: u64, now_us: u64) {
        if let Some(row) = self.table.row_mut(&load.upstream) {
            row.set_load(load, now_us.saturating_sub(age_us));
        }
    }

    /// Takes over an engine's own report, `age_us` old.
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

    /// Takes the notices for the owners of batch windows.
    pub fn take_notices(&mut self, now_us: u64) -> Vec<DispatchNotice> {
        self.notices.take(now_us)
    }

    /// When [`Router::take_notices`] is due: at once after a request was sent,
    /// a little later for everything else; none while there are no notices.
    #[must_use]
    pub fn notices_due_at_us(&self) -> Option<u64> {
        self.notices.due_at_us()
    }

    /// Bytes sent and received across regions.
    #[must_use]
    pub fn cross_region_bytes(&self) -> u64 {
        self.cross_region_bytes
    }

    /// Attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Upstreams that this entry may talk to.
    #[must_use]
    pub fn upstreams(&self) -> Vec<UpstreamId> {
        self.table.rows().iter().map(|row| row.id.clone()).collect()
    }
}

/// Where candidates are looked for.
#[derive(Debug, Clone, Copy)]
enum Scope {
    Home,
    Away,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    row: usize,
    first_token_us: f64,
    /// Time to the first token if the upstream held no batch work.
    ///
    /// Candidates are compared by it: batch items make a busy upstream look
    /// like an idle one, so that online requests would meet each other more
    /// often than alone. The owner of the batch work takes it back instead.
    score_us: f64,
    prompt_tokens: u32,
}

impl Router {
    fn members(&self, destination: &Destination) -> (&[usize], &[usize]) {
        match destination {
            Destination::Model(model) => self.table.serving_model(model),
            Destination::Service(service) => self.table.serving_service(service),
        }
    }

    fn candidates(&self, scope: Scope, request: &RouteRequest, now_us: u64) -> Vec<Candidate> {
        let rows = self.table.rows();
        let (home, away) = self.members(&request.destination);
        let members = match scope {
            Scope::Home => home,
            Scope::Away => away,
        };
        members
            .iter()
            .filter(|index| takes_work(&rows[**index], request, now_us))
            .map(|index| self.candidate(*index, request, now_us))
            .collect()
    }

    fn candidate(&self, index: usize, request: &RouteRequest, now_us: u64) -> Candidate {
        let row = &self.table.rows()[index];
        let blocks = row.prefixes.matches(&request.prefix_hashes, now_us);
        let cached = u32::try_from(blocks)
            .unwrap_or(u32::MAX)
            .saturating_mul(BLOCK_TOKENS);
        let prompt_tokens = request.prompt_tokens.saturating_sub(cached);
        let link_us = 2.0 * us(self.link_us(&row.region));
        let first_token_us = link_us + row.first_token_us(&self.cost, prompt_tokens, now_us);
        let alone_us = row.first_token_alone_us(&self.cost, prompt_tokens, now_us);
        Candidate {
            row: index,
            first_token_us,
            score_us: link_us + alone_us,
            prompt_tokens,
        }
    }

    /// One of the candidates that are as good as the best.
    fn pick(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        let best_us = candidates
            .iter()
            .map(|candidate| candidate.score_us)
            .min_by(f64::total_cmp)?;
        let ties: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| candidate.score_us <= best_us + TIE_US)
            .collect();
        let index = self.rng.random_range(0..ties.len());
        Some(*ties[index])
    }

    fn dispatch(&mut self, candidate: Candidate, request: &RouteRequest, now_us: u64) -> Route {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let is_model = matches!(request.destination, Destination::Model(_));
        let row = self.table.row_at_mut(candidate.row);
        row.own.running += 1;
        row.own.prompt_tokens += candidate.prompt_tokens;
        row.health.on_sent(now_us);
        row.prefixes.insert(&request.prefix_hashes, now_us);
        let upstream = row.id.clone();
        let crosses_region = row.region != self.home;
        if crosses_region {
            self.cross_region_bytes += request.link_bytes;
        }
        if is_model {
            self.notices.on_started(&upstream, candidate.prompt_tokens);
        }
        self.attempts.push(Attempt {
            id: attempt,
            upstream: upstream.clone(),
            is_model,
            prompt_tokens: candidate.prompt_tokens,
            predicted_us: candidate.first_token_us,
            sent_at_us: now_us,
            last_token_at_us: None,
        });
        Route {
            attempt,
            upstream,
            crosses_region,
            first_token_at_us: now_us + rounded(candidate.first_token_us),
        }
    }

    fn no_upstream(&self, request: &RouteRequest, now_us: u64) -> Refusal {
        let (home, away) = self.members(&request.destination);
        let rows = self.table.rows();
        let back_at_us = home
            .iter()
            .chain(away)
            .map(|index| &rows[*index])
            .filter(|row| row.liveness == Liveness::Live)
            .map(|row| row.health.admits_at_us())
            .min();
        let wait_us = back_at_us.map_or(2_000 * US_PER_MS, |at_us| at_us.saturating_sub(now_us));
        Refusal {
            kind: ErrorKind::NoUpstream,
            retry_after_ms: wait_us.div_ceil(US_PER_MS).max(1),
        }
    }

    fn link_us(&self, region: &Region) -> u64 {
        match self.links.binary_search_by(|link| link.0.cmp(region)) {
            Ok(index) => self.links[index].1,
            Err(_) if *region == self.home => HOME_LINK_US,
            Err(_) => AWAY_LINK_US,
        }
    }

    fn find(&self, attempt: AttemptId) -> Option<usize> {
        self.attempts
            .binary_search_by_key(&attempt, |row| row.id)
            .ok()
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<UpstreamId> {
        let index = self.find(attempt)?;
        let attempt = self.attempts.remove(index);
        if attempt.is_model {
            self.notices.on_ended(&attempt.upstream);
        }
        if let Some(row) = self.table.row_mut(&attempt.upstream) {
            row.own.running = row.own.running.saturating_sub(1);
            row.own.prompt_tokens = row.own.prompt_tokens.saturating_sub(attempt.prompt_tokens);
        }
        Some(attempt.upstream)
    }
}

fn takes_work(row: &Row, request: &RouteRequest, now_us: u64) -> bool {
    row.takes_work(now_us) && !request.excluded.contains(&row.id)
}

fn ms_until(excess_us: f64) -> u64 {
    rounded(excess_us).div_ceil(US_PER_MS).max(1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "predicted times are positive and far below 2^53"
)]
fn rounded(time_us: f64) -> u64 {
    time_us.max(0.0) as u64
}
