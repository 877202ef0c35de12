//! Tells where a request or an item would go now, and why, without sending it.
//!
//! The decision is made by the same code on a copy of the table, so that it changes no state.

use model::{ServiceName, UpstreamId};

use crate::{
    batch_plan::{BatchDemand, service_hash},
    candidate::Candidate,
    forecast::Urgency,
    placement::{Placement, PlacementRequest},
    proxies::Proxies,
    target::Target,
    upstream_row::UpstreamRow,
    upstream_table::{UpstreamTable, as_f64, round_ms},
};

/// Where an online request would go now.
#[derive(Debug, Clone, PartialEq)]
pub struct Preview {
    /// The decision.
    pub placement: Placement,
    /// All upstreams of the service, those that were weighed first, by cost.
    pub upstreams: Vec<UpstreamPreview>,
    /// Mean age of what is known of the requests of peers in the own region, milliseconds.
    pub peer_load_age_ms: u64,
}

/// What a decision knew of one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamPreview {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Known number of requests and items of all instances there.
    pub load: u32,
    /// Number of slots.
    pub slots: u32,
    /// How it was weighed, or why it was not.
    pub weighing: Result<Weighing, Exclusion>,
}

/// How an upstream was weighed. Times are milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weighing {
    /// Expected time until the answer begins.
    pub expected_ms: u64,
    /// What is compared: the expected time, and what spreads requests and avoids failures.
    pub cost_ms: u64,
    /// Tokens of the prompt that the upstream is expected to keep.
    pub kept_tokens: u32,
    /// Time that is saved because these tokens need not be read.
    pub saved_ms: u64,
}

/// Why an upstream was not weighed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// It is registered as draining, or has said that it is leaving.
    Leaving,
    /// It has said that it is full, or a request tries whether it works again.
    Suspended,
    /// It runs another version than the stream began at.
    OtherVersion,
    /// The rate limit that it states is used up.
    RateLimited,
    /// It failed lately, was tried before or cannot be reached, and others are better.
    LessPreferred,
}

impl Exclusion {
    /// Returns the name in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Suspended => "suspended",
            Self::OtherVersion => "other_version",
            Self::RateLimited => "rate_limited",
            Self::LessPreferred => "less_preferred",
        }
    }
}

impl UpstreamTable {
    /// Decides about an online request as [`Self::place`] would now, without changing
    /// anything.
    #[must_use]
    pub fn preview(&self, request: &PlacementRequest<'_>, now_ms: u64) -> Preview {
        let mut upstreams = self.clone().upstream_previews(request, now_ms);
        upstreams.sort_by_key(|upstream| {
            let weighing = upstream.weighing;
            weighing.map_or(u64::MAX, |weighing| {
                weighing.cost_ms.saturating_sub(weighing.saved_ms)
            })
        });
        Preview {
            placement: self.clone().place(request, now_ms),
            upstreams,
            peer_load_age_ms: round_ms(self.own_region_age_ms()),
        }
    }

    /// Returns where one more item of a service would start now, or `None` if it would wait.
    #[must_use]
    pub fn preview_item(
        &self,
        service: &ServiceName,
        urgency: Urgency,
        now_ms: u64,
    ) -> Option<Target> {
        let demand = BatchDemand {
            service: service_hash(service),
            key: urgency.key,
            item_count: 1,
        };
        let mut copy = self.clone();
        let queued = copy.batch_queue.iter();
        let earlier =
            queued.filter(|queued| queued.service == demand.service && queued.key <= demand.key);
        let earlier_items: u32 = earlier.map(|queued| queued.item_count).sum();
        copy.batch_queue.push(demand);
        let plan = copy.batch_plan(service, now_ms);
        plan.into_iter().nth(earlier_items as usize)
    }

    fn upstream_previews(
        &mut self,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) -> Vec<UpstreamPreview> {
        let timings = self.timing_estimates(request.service, as_f64(request.goal_ms));
        let proxies = if self.has_lost_paths() {
            self.proxies(now_ms)
        } else {
            Proxies::default()
        };
        let mut candidates = self.candidates(request, timings, &proxies, now_ms);
        let prompt = self.prompt_chain(request.service, request.prompt_parts);
        self.weigh_prompt(&mut candidates, &prompt, now_ms);
        let rows = self.rows.iter().enumerate();
        rows.filter(|(_, row)| row.entry.service == *request.service)
            .map(|(index, row)| {
                let mut candidates = candidates.iter();
                let candidate = candidates.find(|candidate| candidate.index == index);
                UpstreamPreview {
                    upstream: row.entry.id.clone(),
                    load: row.load(),
                    slots: row.entry.slots,
                    weighing: candidate
                        .map(Weighing::new)
                        .ok_or_else(|| self.exclusion(row, request, now_ms)),
                }
            })
            .collect()
    }

    fn exclusion(
        &self,
        row: &UpstreamRow,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) -> Exclusion {
        let is_other_version = request
            .version
            .is_some_and(|version| !row.runs(version, now_ms));
        if !row.is_ready() {
            Exclusion::Leaving
        } else if !row.health.is_usable_as_last_resort(now_ms) {
            Exclusion::Suspended
        } else if is_other_version {
            Exclusion::OtherVersion
        } else if !self.is_within_limit(row, now_ms) {
            Exclusion::RateLimited
        } else {
            Exclusion::LessPreferred
        }
    }
}

impl Weighing {
    fn new(candidate: &Candidate) -> Self {
        Self {
            expected_ms: round_ms(candidate.expected_ms),
            cost_ms: round_ms(candidate.usual_cost_ms()),
            kept_tokens: candidate.kept_tokens,
            saved_ms: round_ms(candidate.saved_ms),
        }
    }
}
