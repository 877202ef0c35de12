//! Which batch items an instance starts at which upstreams, and which it
//! preempts.
//!
//! Load pattern: idle capacity lasts for seconds, and several instances want to
//! fill it at the same moment. Batch items take the slots that online requests
//! leave free. Every instance knows the batch queues of the others from their
//! notices, computes the same plan with the most urgent items first, and
//! carries out its own part of the plan. When online requests have to wait at
//! an upstream, the least urgent items at that upstream are preempted.

use std::cmp::Reverse;

use model::{InstanceId, Region, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Urgency,
    notice_scheduler::unreported_online,
    target::Target,
    upstream_row::UpstreamRow,
    upstream_table::{UpstreamTable, round_count},
    weights::WeightVersion,
};

/// Slots that batch items leave free at each upstream of a service while the
/// service receives online requests.
const ONLINE_RESERVE_SLOTS: u32 = 1;
/// Assumed time that an online request holds its slot, milliseconds, until the
/// first measurement.
const DEFAULT_HOLD_MS: f64 = 1_000.0;
/// Time after the last online request for which a service still counts as
/// receiving online requests, milliseconds.
const ONLINE_RECENCY_MS: u64 = 5_000;
/// Time after the last refusal of an online request in which items leave limited upstreams to
/// online requests, milliseconds.
const REFUSAL_RECENCY_MS: u64 = 2_000;
/// Maximum number of entries of the batch queue in a notice to peers.
const QUEUE_MAX_ENTRIES: usize = 16;

/// Batch items of one instance with the same service and urgency that wait for
/// a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchDemand {
    /// Hash of the service, from [`service_hash`].
    pub service: u64,
    /// Urgency key of the items, from [`crate::Urgency`].
    pub key: u64,
    /// Number of items.
    pub item_count: u32,
}

/// Returns the hash that identifies a service in notices.
#[must_use]
pub fn service_hash(service: &ServiceName) -> u64 {
    xxh3_64(service.as_str().as_bytes())
}

impl BatchDemand {
    /// Builds the batch queue of a notice from the service hashes and urgencies
    /// of the waiting items, most urgent first. Entries beyond the maximum
    /// length are left out.
    #[must_use]
    pub fn queue(waiting: impl IntoIterator<Item = (u64, Urgency)>) -> Vec<Self> {
        let mut queue: Vec<Self> = Vec::new();
        for (service, Urgency { key, .. }) in waiting {
            let is_same = |demand: &&mut Self| demand.service == service && demand.key == key;
            if let Some(demand) = queue.iter_mut().find(is_same) {
                demand.item_count += 1;
            } else if queue.len() < QUEUE_MAX_ENTRIES {
                queue.push(Self {
                    service,
                    key,
                    item_count: 1,
                });
            }
        }
        queue
    }
}

/// Selects the runs at an upstream that are preempted: the `count` least urgent
/// ones, without those that would miss their due time if they lost their slot.
#[must_use]
pub fn runs_to_preempt<T>(runs: impl IntoIterator<Item = (Urgency, T)>, count: u32) -> Vec<T> {
    let mut runs: Vec<_> = runs
        .into_iter()
        .filter(|(urgency, _)| !urgency.lacks_slack)
        .collect();
    runs.sort_by_key(|(urgency, _)| Reverse(*urgency));
    runs.truncate(count as usize);
    runs.into_iter().map(|(_, run)| run).collect()
}

/// Claim of one instance to free slots for its waiting items.
#[derive(Debug)]
struct Claim<'a> {
    instance: &'a InstanceId,
    region: &'a Region,
    demand: BatchDemand,
}

/// Slots of one upstream that the plan has not assigned yet.
#[derive(Debug)]
struct FreeSlots<'a> {
    row: &'a UpstreamRow,
    region: Option<&'a Region>,
    slots: u32,
    /// Speed in quarters of the mean of the service. It is coarse, so that instances that have
    /// measured a little differently make the same plan.
    speed_quarters: u32,
    /// Slots that instances of other regions leave free. They learn late of the
    /// online requests that the upstream receives from its own region.
    remote_reserve: u32,
}

impl UpstreamTable {
    /// Returns the upstreams at which this instance starts its most urgent
    /// waiting items of a service, one entry per item.
    #[must_use]
    pub fn batch_plan(&self, service: &ServiceName, now_ms: u64) -> Vec<Target> {
        let mut free_slots = self.free_slots(service, now_ms);
        let mut own_targets = Vec::new();
        let mut claims = self.claims(service_hash(service));
        let is_own = |claim: &Claim<'_>| *claim.instance == self.locality.instance;
        // Claims after the last one of this instance do not affect its part of
        // the plan.
        claims.truncate(claims.iter().rposition(is_own).map_or(0, |last| last + 1));
        for claim in claims {
            for _ in 0..claim.demand.item_count {
                let Some(free) = best_upstream(&mut free_slots, &claim) else {
                    return own_targets;
                };
                free.slots -= 1;
                if is_own(&claim) {
                    own_targets.push(Target::new(&free.row.entry));
                }
            }
        }
        own_targets
    }

    /// Returns the upstream with the most free slots for an item that requires a version of the
    /// weights, and that the plan may have at an upstream with other ones.
    #[must_use]
    pub fn batch_target_with_weights(
        &self,
        service: &ServiceName,
        version: WeightVersion,
        now_ms: u64,
    ) -> Option<Target> {
        let free_slots = self.free_slots(service, now_ms).into_iter();
        let best = free_slots
            .filter(|free| free.slots > 0)
            .map(|free| (free.row.weights.fit(version, now_ms), free.slots, free.row))
            .filter(|(fit, _, row)| row.weights.takes_item(*fit, now_ms))
            .max_by_key(|(fit, slots, _)| (*fit, *slots));
        best.map(|(.., row)| Target::new(&row.entry))
    }

    /// Returns the upstreams at which this instance has to preempt items of its
    /// own, with the number of items.
    #[must_use]
    pub fn preemptions(&self) -> Vec<(UpstreamId, u32)> {
        self.rows
            .iter()
            .filter_map(|row| {
                let count = self.own_preemption_count(row);
                (count > 0).then(|| (row.entry.id.clone(), count))
            })
            .collect()
    }

    /// Returns how many of its own items this instance preempts at an upstream.
    ///
    /// The least urgent items at the upstream are preempted first. All
    /// instances compute the same order, so that together they preempt only as
    /// many items as needed.
    fn own_preemption_count(&self, row: &UpstreamRow) -> u32 {
        let excess = row.load().saturating_sub(row.entry.slots);
        if excess == 0 || row.own_load.preemptible == 0 || row.online() == 0 {
            return 0;
        }
        let shares = self.preemption_shares(row, excess);
        let own_share = shares
            .into_iter()
            .find(|(instance, _)| **instance == self.locality.instance);
        own_share.map_or(0, |(_, count)| count)
    }

    /// Divides `count` preemptions at an upstream among the instances that run
    /// preemptible items there, and returns the number for each of them.
    pub(crate) fn preemption_shares<'a>(
        &'a self,
        row: &UpstreamRow,
        count: u32,
    ) -> Vec<(&'a InstanceId, u32)> {
        let notices = self.peer_notices.notices();
        let mut owners: Vec<_> = notices
            .map(|notice| (notice.load(row.hash), &notice.instance))
            .collect();
        owners.push((row.own_load, &self.locality.instance));
        owners.retain(|(load, _)| load.preemptible > 0);
        owners.sort_by(|a, b| {
            let least_urgent_first = b.0.least_urgent_key.cmp(&a.0.least_urgent_key);
            least_urgent_first.then_with(|| a.1.cmp(b.1))
        });
        let mut remaining = count;
        let mut shares = Vec::new();
        for (load, instance) in owners {
            let share = remaining.min(u32::from(load.preemptible));
            if share == 0 {
                break;
            }
            remaining -= share;
            shares.push((instance, share));
        }
        shares
    }

    /// Returns the claims of all instances for a service, most urgent first.
    fn claims(&self, service: u64) -> Vec<Claim<'_>> {
        let own_claims = self.batch_queue.iter().map(|demand| Claim {
            instance: &self.locality.instance,
            region: &self.locality.region,
            demand: *demand,
        });
        let peer_claims = self.peer_notices.notices().flat_map(|notice| {
            notice.batch_queue.iter().map(|demand| Claim {
                instance: &notice.instance,
                region: &notice.region,
                demand: *demand,
            })
        });
        let mut claims: Vec<_> = own_claims
            .chain(peer_claims)
            .filter(|claim| claim.demand.service == service)
            .collect();
        claims.sort_by_key(|claim| (claim.demand.key, claim.instance));
        claims
    }

    fn free_slots(&self, service: &ServiceName, now_ms: u64) -> Vec<FreeSlots<'_>> {
        let reserve = self.online_reserve(service, now_ms);
        let timings = self.timing_estimates(service, DEFAULT_HOLD_MS);
        self.rows
            .iter()
            .filter(|row| row.entry.service == *service)
            .filter(|row| row.is_ready() && row.is_usable(now_ms))
            .filter(|row| !self.is_path_lost(row) || self.has_proxy(row, now_ms))
            .map(|row| FreeSlots {
                row,
                region: self.region_of(&row.entry.failure_domain),
                slots: self.batch_slots(row, reserve, now_ms),
                speed_quarters: round_count(4.0 / row.speed.slowness(now_ms)),
                remote_reserve: unreported_online(row, timings),
            })
            .collect()
    }

    /// Returns the number of items that may start at an upstream. While online requests are
    /// refused, items leave the tokens of limited upstreams to them.
    fn batch_slots(&self, row: &UpstreamRow, reserve: u32, now_ms: u64) -> u32 {
        let free = row.entry.slots.saturating_sub(row.load() + reserve);
        let tokens = self.limits.batch_tokens(row.incarnation, now_ms);
        let Some(tokens) = tokens else { return free };
        let last_refused_ms = self.last_refused_ms(&row.entry.service);
        if last_refused_ms.is_some_and(|refused_ms| now_ms < refused_ms + REFUSAL_RECENCY_MS) {
            return 0;
        }
        free.min(u32::try_from(tokens).unwrap_or(u32::MAX))
    }

    fn online_reserve(&self, service: &ServiceName, now_ms: u64) -> u32 {
        let is_recent = self
            .last_online_ms(service)
            .is_some_and(|last_ms| now_ms < last_ms + ONLINE_RECENCY_MS);
        let has_online = || {
            let mut rows = self.rows.iter();
            rows.any(|row| row.entry.service == *service && row.online() > 0)
        };
        if is_recent || has_online() {
            ONLINE_RESERVE_SLOTS
        } else {
            0
        }
    }
}

/// Returns the upstream for an item of a claim: one in the region of the
/// claiming instance if possible, and among these the one with the most free
/// slots, weighed by its speed.
fn best_upstream<'a, 'b>(
    free_slots: &'a mut [FreeSlots<'b>],
    claim: &Claim<'_>,
) -> Option<&'a mut FreeSlots<'b>> {
    free_slots
        .iter_mut()
        .filter(|free| {
            let is_remote = free.region != Some(claim.region);
            free.slots > if is_remote { free.remote_reserve } else { 0 }
        })
        .min_by_key(|free| {
            let is_remote = free.region != Some(claim.region);
            let tie_breaker = free.row.hash ^ xxh3_64(claim.instance.as_str().as_bytes());
            let slots_by_speed = free.slots * free.speed_quarters;
            (is_remote, Reverse(slots_by_speed), tie_breaker)
        })
}
