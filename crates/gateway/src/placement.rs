//! Admission control: which upstream serves an online request, and which
//! requests are refused.
//!
//! Load pattern: bursts fill every upstream. A request is sent to the upstream
//! whose answer is expected to begin first. If the answer would begin after the
//! latency goal at every upstream, the request is refused at once, and the
//! caller is told when a slot is expected to be free. These retry delays have
//! jitter, so that callers that were refused together do not retry together.
//!
//! In a large region, notices are older than many requests that peers have placed
//! meanwhile, and all instances would choose the same upstreams, which seem to be the
//! least loaded. An instance therefore first simulates the placements that its peers are
//! expected to have made since their last notices, and then places its own request.
//!
//! An upstream to which this instance has no path is weighed like any other, with the way
//! through a peer that has one.

use std::ops::Range;

use model::{InstanceId, PromptPart, ServiceName, UpstreamId};
use rand::RngExt;

use crate::{
    candidate::{Candidate, Preference, soonest_behind_detour},
    proxies::Proxies,
    refusal::RefusalReason,
    service_timings::TimingEstimates,
    stream_origins::VersionHash,
    target::Target,
    upstream_row::UpstreamRow,
    upstream_table::{UpstreamTable, as_f64, round_count, round_ms},
    weights::{WeightVersion, WeightsFit},
};

/// Maximum difference from the lowest cost for an upstream to count as equal to
/// the best one, milliseconds.
pub(crate) const TIE_MS: f64 = 3.0;
/// Additional cost of a full upstream of the mean speed compared to an empty one,
/// milliseconds.
/// It spreads the requests that several instances place before their notices
/// report them to each other.
const FULL_LOAD_COST_MS: f64 = 10.0;
/// Expected time to preempt a batch item of a peer, milliseconds: the peer is
/// notified and closes the connection of the item.
const PEER_PREEMPTION_MS: f64 = 40.0;
/// Expected time to preempt a batch item of this instance, milliseconds: the
/// connection of the item is closed while that of the request is set up.
const OWN_PREEMPTION_MS: f64 = 20.0;
/// Additional cost of an upstream that is still warming up, milliseconds.
const WARM_UP_COST_MS: f64 = 30.0;
/// A refusal is early if the request has waited for at most its latency goal
/// divided by this.
const EARLY_GOAL_DIVISOR: u64 = 4;
/// Retry delay if no upstream can be used, milliseconds.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// Maximum expected wait as a percentage of the latency goal. The rest allows
/// for requests that peers are placing at the same time, which the estimate
/// does not include.
const WAIT_GOAL_PERCENT: u64 = 70;
/// Maximum expected wait of a request that goes on with a stream, as a multiple of the latency
/// goal. Its caller has events already and leaves after a longer gap; a refusal would cost it
/// all of them, and the slot that the stream had is as good as free.
const RESUMED_WAIT_GOALS: u64 = 4;
/// Minimum retry delay after a refusal, milliseconds.
const RETRY_MIN_MS: f64 = 100.0;
/// Range of the retry delay after a refusal, as a multiple of the time for
/// which a request holds its slot. A burst lasts longer than the requests that
/// fill all slots, and a caller may retry only once.
const RETRY_HOLD_MULTIPLES: Range<f64> = 1.0..3.0;

/// An online request to be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRequest<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceName,
    /// Parts of the prompt in order; empty if the request names none.
    pub prompt_parts: &'a [PromptPart],
    /// Upstreams that the request was sent to before. Others are preferred.
    pub tried: &'a [UpstreamId],
    /// Latency goal: time after the arrival of the request within which its
    /// answer should begin, milliseconds.
    pub goal_ms: u64,
    /// Time since the arrival of the request, milliseconds.
    pub waited_ms: u64,
    /// Version at which the request must run, because it goes on with a stream that began
    /// there; `None` if any may run it.
    pub version: Option<VersionHash>,
    /// Version of the weights that the request requires; `None` if it requires none.
    pub weights: Option<WeightVersion>,
    /// Whether the request may be refused. A request that may have run must not
    /// be refused.
    pub may_refuse: bool,
}

/// Decision about an online request.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// Send the request to an upstream.
    Send {
        /// The upstream that serves the request.
        target: Target,
        /// Expected time until the answer begins, milliseconds.
        expected_ms: u64,
        /// Known number of requests at the upstream.
        load: u32,
        /// Tokens of the prompt that the upstream is expected to keep.
        kept_tokens: u32,
        /// Whose batch item is preempted for the request.
        preemption: Preemption,
    },
    /// Refuse the request, which has not run.
    Refuse {
        /// Why the request is refused.
        reason: RefusalReason,
        /// Delay after which the caller should retry, milliseconds.
        retry_after_ms: u64,
        /// Expected time until the answer would have begun at the best
        /// upstream, milliseconds.
        expected_ms: u64,
    },
}

/// Whose batch item is preempted for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Preemption {
    /// No item: a slot is free, or there are too few preemptible items.
    Nothing,
    /// An item of this instance, which should be preempted at once.
    Own,
    /// Items of these peers, which should be notified at once.
    Peers(Vec<InstanceId>),
}

impl UpstreamTable {
    /// Decides to which upstream an online request is sent, or that it is
    /// refused.
    pub fn place(&mut self, request: &PlacementRequest<'_>, now_ms: u64) -> Placement {
        self.record_wanted(request.service, now_ms);
        let timings = self.timing_estimates(request.service, as_f64(request.goal_ms));
        let proxies = if self.has_lost_paths() {
            self.proxies(now_ms)
        } else {
            Proxies::default()
        };
        let mut candidates = self.candidates(request, timings, &proxies, now_ms);
        // Drawn at random, so that instances that had the same notices do not all simulate the
        // same placements and then choose the same upstream.
        let unseen = self.unseen_placements(request.service, timings);
        for _ in 0..self.rng.random_range(0..=unseen) {
            let Some(unseen_choice) = self.choose(&candidates) else {
                break;
            };
            let candidate = &mut candidates[unseen_choice];
            candidate.unseen += 1;
            self.estimate(candidate, timings, request, now_ms);
        }
        let limit_ms = as_f64(request.wait_limit_ms());
        let prompt = self.prompt_chain(request.service, request.prompt_parts);
        self.weigh_prompt(&mut candidates, &prompt, now_ms);
        let Some(mut chosen) = self.choose_for_prompt(&candidates, &prompt, limit_ms) else {
            return self.refuse_without_candidate(request, now_ms);
        };
        if request.may_refuse && candidates[chosen].due_ms() > limit_ms {
            chosen = soonest_behind_detour(&candidates).unwrap_or(chosen);
        }
        let candidate = &candidates[chosen];
        let Candidate {
            index,
            expected_ms,
            kept_tokens,
            ..
        } = *candidate;
        if request.may_refuse && candidate.due_ms() > limit_ms {
            self.record_refused(request.service, now_ms);
            return Placement::Refuse {
                reason: RefusalReason::Saturated,
                retry_after_ms: self.retry_after_ms(timings.online_hold_ms),
                expected_ms: round_ms(expected_ms),
            };
        }
        let preemption = self.preemption(&self.rows[index]);
        let row = &mut self.rows[index];
        if preemption == Preemption::Own {
            row.own_load.preemptible -= 1;
        }
        Placement::Send {
            target: Target::new(&row.entry),
            expected_ms: round_ms(expected_ms),
            load: row.load(),
            kept_tokens,
            preemption,
        }
    }

    fn refuse_without_candidate(
        &mut self,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) -> Placement {
        let lacks_weights = request
            .weights
            .is_some_and(|version| !self.may_have_weights(request.service, version, now_ms));
        if !lacks_weights {
            self.record_refused(request.service, now_ms);
        }
        let (reason, retry_after_ms) = match self.limited_retry_ms(request.service, now_ms) {
            Some(retry_ms) => (RefusalReason::RateLimited, round_ms(retry_ms)),
            None if self.is_service_lost(request.service) => {
                (RefusalReason::Unreachable, NO_UPSTREAM_RETRY_MS)
            }
            None if lacks_weights => (RefusalReason::WeightsGone, NO_UPSTREAM_RETRY_MS),
            None if request.version.is_some() => (RefusalReason::VersionGone, NO_UPSTREAM_RETRY_MS),
            None => (RefusalReason::NoUpstream, NO_UPSTREAM_RETRY_MS),
        };
        Placement::Refuse {
            reason,
            retry_after_ms,
            expected_ms: 0,
        }
    }

    /// Returns the position of a candidate with the lowest cost. A random one is
    /// chosen among those whose costs differ little.
    pub(crate) fn choose(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let costs = candidates.iter().map(|candidate| candidate.cost_ms);
        let limit_ms = costs.min_by(f64::total_cmp)? + TIE_MS;
        let equal: Vec<_> = (0..candidates.len())
            .filter(|position| candidates[*position].cost_ms <= limit_ms)
            .collect();
        Some(equal[self.rng.random_range(0..equal.len())])
    }

    /// Returns the expected number of online requests that peers in the region of
    /// this instance have placed since their last notices and that are still in flight, by
    /// Little's law.
    fn unseen_placements(&self, service: &ServiceName, timings: TimingEstimates) -> u32 {
        let peers_online: u32 = self
            .rows
            .iter()
            .filter(|row| row.entry.service == *service && self.is_in_own_region(row))
            .map(|row| row.peer_load.online)
            .sum();
        let rate_per_ms = f64::from(peers_online) / timings.online_hold_ms;
        let since_ms = timings.own_region_age_ms.min(timings.online_hold_ms);
        round_count(rate_per_ms * since_ms)
    }

    fn preemption(&self, row: &UpstreamRow) -> Preemption {
        let missing_slots = row.missing_slots(0);
        if missing_slots == 0 || row.preemptible() < missing_slots {
            Preemption::Nothing
        } else if row.own_load.preemptible > 0 {
            Preemption::Own
        } else {
            let shares = self.preemption_shares(row, missing_slots);
            Preemption::Peers(shares.into_iter().map(|(peer, _)| peer.clone()).collect())
        }
    }

    /// Returns the upstreams that are usable and were not tried. If there are
    /// none, returns the usable ones; if there are none of these either, those
    /// that may be used as a last resort, with untried ones first.
    pub(crate) fn candidates(
        &self,
        request: &PlacementRequest<'_>,
        timings: TimingEstimates,
        proxies: &Proxies,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<_> = self
            .rows
            .iter()
            .enumerate()
            .filter(|(_, row)| row.entry.service == *request.service && row.is_ready())
            .filter(|(_, row)| row.health.is_usable_as_last_resort(now_ms))
            .filter(|(_, row)| {
                request
                    .version
                    .is_none_or(|version| row.runs(version, now_ms))
            })
            .filter(|(_, row)| row.weights_fit(request.weights, now_ms) != WeightsFit::Lacks)
            .filter(|(_, row)| self.is_within_limit(row, now_ms))
            .map(|(index, row)| self.candidate(index, row, request, proxies, now_ms))
            .collect();
        if self.is_service_lost(request.service) {
            // Paths are tried by probes. An attempt would hold its request for nothing and
            // would count as load at an upstream that it does not reach.
            candidates.retain(|candidate| candidate.has_path);
        }
        let best = candidates
            .iter()
            .map(|candidate| candidate.preference)
            .max();
        candidates.retain(|candidate| Some(candidate.preference) == best);
        for candidate in &mut candidates {
            self.estimate(candidate, timings, request, now_ms);
        }
        candidates
    }

    /// Returns an upstream as a candidate, without estimates.
    fn candidate(
        &self,
        index: usize,
        row: &UpstreamRow,
        request: &PlacementRequest<'_>,
        proxies: &Proxies,
        now_ms: u64,
    ) -> Candidate {
        let proxied_round_trip_ms = if self.is_path_lost(row) && self.allows_proxies(row) {
            let region = self.region_of(&row.entry.failure_domain);
            proxies
                .best(row, region)
                .map(|(_, round_trip_ms)| round_trip_ms)
        } else {
            None
        };
        let has_path = !self.is_path_lost(row) || proxied_round_trip_ms.is_some();
        let own_round_trip_ms = self.round_trip_ms(row);
        let round_trip_ms = proxied_round_trip_ms.unwrap_or(own_round_trip_ms);
        Candidate {
            index,
            unseen: 0,
            has_path,
            preference: Preference {
                is_usable: row.is_usable(now_ms) && has_path,
                is_untried: !request.tried.contains(&row.entry.id),
                weights: row.weights_fit(request.weights, now_ms),
            },
            round_trip_ms,
            detour_ms: (round_trip_ms - own_round_trip_ms).max(0.0),
            expected_ms: 0.0,
            cost_ms: 0.0,
            kept_parts: 0,
            kept_tokens: 0,
            saved_ms: 0.0,
            lead_ms: 0.0,
        }
    }

    /// Estimates when an answer of a candidate would begin, and its cost.
    fn estimate(
        &self,
        candidate: &mut Candidate,
        timings: TimingEstimates,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) {
        let row = &self.rows[candidate.index];
        let slowness = row.speed.slowness(now_ms);
        let timings = timings.at_upstream(slowness);
        let unseen = candidate.unseen;
        let unreported = self.unreported_remote_online(row, timings) + unseen;
        let wait_ms = row.wait_ms(timings, unreported);
        let expected_ms = candidate.round_trip_ms + wait_ms + row.delays.median_ms(now_ms);
        let utilization = f64::from(row.load() + unseen) / f64::from(row.entry.slots);
        let failure_ms = row.health.failure_rate() * as_f64(request.goal_ms);
        let warm_up_ms = if now_ms < row.warmed_up_at_ms {
            WARM_UP_COST_MS
        } else {
            0.0
        };
        let full_load_ms = FULL_LOAD_COST_MS * slowness;
        candidate.expected_ms = expected_ms;
        candidate.cost_ms = expected_ms + utilization * full_load_ms + failure_ms + warm_up_ms;
    }

    /// Returns the retry delay after a refusal, with jitter. Slots become free
    /// one by one over the time for which a request holds a slot, so the
    /// retries are spread over multiples of that time.
    fn retry_after_ms(&mut self, hold_ms: f64) -> u64 {
        let hold_multiple = self.rng.random_range(RETRY_HOLD_MULTIPLES);
        round_ms((hold_ms * hold_multiple).max(RETRY_MIN_MS))
    }
}

impl UpstreamRow {
    /// Returns the expected wait for a slot, milliseconds. `unreported` is the
    /// number of requests at the upstream that no notice has reported yet.
    fn wait_ms(&self, timings: TimingEstimates, unreported: u32) -> f64 {
        let load = self.load() + unreported;
        let missing_slots = self.missing_slots(unreported);
        if missing_slots == 0 {
            return 0.0;
        }
        let freed_slots_per_ms = f64::from(self.online() + unreported) / timings.online_hold_ms
            + f64::from(self.batch()) / timings.batch_hold_ms;
        // Waiting requests free no slots, so only running ones count for the
        // rate.
        let running_fraction = f64::from(self.entry.slots) / f64::from(load);
        let wait_ms = f64::from(missing_slots) / (freed_slots_per_ms * running_fraction);
        if self.preemptible() < missing_slots {
            wait_ms
        } else if missing_slots == 1 && self.own_load.preemptible > 0 {
            wait_ms.min(OWN_PREEMPTION_MS)
        } else {
            wait_ms.min(PEER_PREEMPTION_MS)
        }
    }

    /// Returns the number of slots that must become free before one more
    /// request can run.
    fn missing_slots(&self, unreported: u32) -> u32 {
        (self.load() + unreported + 1).saturating_sub(self.entry.slots)
    }
}

impl PlacementRequest<'_> {
    /// Returns the maximum expected time until the answer begins for which the
    /// request is still sent, milliseconds. The limit is lower while a refusal is
    /// early, because the caller can then retry in time. Later, a late answer is
    /// better for the caller than a refusal.
    fn wait_limit_ms(&self) -> u64 {
        if self.version.is_some() {
            self.goal_ms * RESUMED_WAIT_GOALS
        } else if self.waited_ms <= self.goal_ms / EARLY_GOAL_DIVISOR {
            (self.goal_ms * WAIT_GOAL_PERCENT / 100).saturating_sub(self.waited_ms)
        } else {
            self.goal_ms
        }
    }
}
