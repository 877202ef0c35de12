//! How much batch work an upstream holds, and which instance may add to it.
//!
//! Load pattern: idle capacity lasts seconds, and several instances want to
//! fill it at the same moment. Batch items take the slots that online requests
//! leave over. Every instance knows what waits at the others and works out the
//! same plan, most urgent items first, and carries out its own part of it. When
//! online requests have to wait at an upstream, the least urgent items there
//! are preempted.

use std::cmp::Reverse;

use model::{InstanceId, Region, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Urgency,
    notice_scheduler::unseen_from,
    placement::Target,
    upstream_table::{Row, UpstreamTable},
};

/// Places that batch items leave free at each upstream while online requests
/// come.
const ONLINE_RESERVE: u32 = 1;
/// Time that an online request holds a slot before any was measured,
/// milliseconds.
const HOLD_MS: f64 = 1_000.0;
/// Online requests count as coming for this long after the last, milliseconds.
const ONLINE_MEMORY_MS: u64 = 5_000;
/// Entries of the queue that other instances are told of.
const QUEUE_MAX_ENTRIES: usize = 16;

/// Batch items of one instance that wait for an upstream of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchDemand {
    /// Hash of the service, from [`service_hash`].
    pub service: u64,
    /// Their urgency key, from [`crate::Urgency`].
    pub key: u64,
    /// Number of items.
    pub item_count: u32,
}

/// Short name of a service in notices.
#[must_use]
pub fn service_hash(service: &ServiceName) -> u64 {
    xxh3_64(service.as_str().as_bytes())
}

impl BatchDemand {
    /// The queue to tell of, from the services and urgencies of the items that
    /// wait, most urgent first.
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

/// The runs at an upstream that give up their slots: the least urgent `count`,
/// but none that would be late then.
#[must_use]
pub fn runs_to_preempt<T>(there: impl IntoIterator<Item = (Urgency, T)>, count: u32) -> Vec<T> {
    let mut there: Vec<_> = there
        .into_iter()
        .filter(|(urgency, _)| !urgency.lacks_slack)
        .collect();
    there.sort_by_key(|(urgency, _)| Reverse(*urgency));
    there.truncate(count as usize);
    there.into_iter().map(|(_, run)| run).collect()
}

/// Demand of one instance in the plan.
#[derive(Debug)]
struct Claim<'a> {
    instance: &'a InstanceId,
    region: &'a Region,
    demand: BatchDemand,
}

/// Free slots of one upstream in the plan.
#[derive(Debug)]
struct FreeSlots<'a> {
    row: &'a Row,
    region: Option<&'a Region>,
    slots: u32,
    /// Slots that items from other regions leave free: what its own region
    /// sends there is known late elsewhere.
    away_reserve: u32,
}

impl UpstreamTable {
    /// Upstreams at which this instance starts its most urgent waiting items of
    /// a service, one entry for each item.
    #[must_use]
    pub fn batch_plan(&self, service: &ServiceName, now_ms: u64) -> Vec<Target> {
        let mut free_slots = self.free_slots(service, now_ms);
        let mut own = Vec::new();
        let mut claims = self.claims(service_hash(service));
        let is_own = |claim: &Claim<'_>| *claim.instance == self.home.instance;
        // What comes after this instance's last claim changes nothing here.
        claims.truncate(claims.iter().rposition(is_own).map_or(0, |last| last + 1));
        for claim in claims {
            for _ in 0..claim.demand.item_count {
                let Some(upstream) = best_slots(&mut free_slots, &claim) else {
                    return own;
                };
                upstream.slots -= 1;
                if is_own(&claim) {
                    own.push(Target::new(&upstream.row.entry));
                }
            }
        }
        own
    }

    /// Upstreams at which items of this instance have to be preempted, with their
    /// number.
    #[must_use]
    pub fn preemptions(&self) -> Vec<(UpstreamId, u32)> {
        self.rows
            .iter()
            .filter_map(|row| {
                let count = self.own_preemptions(row);
                (count > 0).then(|| (row.entry.id.clone(), count))
            })
            .collect()
    }

    /// The least urgent items at the upstream are preempted first;
    /// all instances work out the same order.
    fn own_preemptions(&self, row: &Row) -> u32 {
        let over = row.load().saturating_sub(row.entry.slots);
        if over == 0 || row.own.preemptible == 0 || row.online() == 0 {
            return 0;
        }
        let shares = self.preemption_shares(row, over);
        let own = shares
            .into_iter()
            .find(|(instance, _)| **instance == self.home.instance);
        own.map_or(0, |(_, count)| count)
    }

    /// Whose items give up `count` slots of an upstream, with the number of each.
    pub(crate) fn preemption_shares<'a>(
        &'a self,
        row: &Row,
        count: u32,
    ) -> Vec<(&'a InstanceId, u32)> {
        let peers = self.peers.notices();
        let mut owners: Vec<_> = peers
            .map(|notice| (notice.load(row.hash), &notice.instance))
            .collect();
        owners.push((row.own, &self.home.instance));
        owners.retain(|(load, _)| load.preemptible > 0);
        owners.sort_by(|a, b| {
            let least_urgent_first = b.0.least_urgent_key.cmp(&a.0.least_urgent_key);
            least_urgent_first.then_with(|| a.1.cmp(b.1))
        });
        let mut left = count;
        let mut shares = Vec::new();
        for (load, instance) in owners {
            let share = left.min(u32::from(load.preemptible));
            if share == 0 {
                break;
            }
            left -= share;
            shares.push((instance, share));
        }
        shares
    }

    /// What all instances want, most urgent first.
    fn claims(&self, service: u64) -> Vec<Claim<'_>> {
        let own = self.batch_queue.iter().map(|demand| Claim {
            instance: &self.home.instance,
            region: &self.home.region,
            demand: *demand,
        });
        let of_peers = self.peers.notices().flat_map(|notice| {
            notice.batch_queue.iter().map(|demand| Claim {
                instance: &notice.instance,
                region: &notice.region,
                demand: *demand,
            })
        });
        let mut claims: Vec<_> = own
            .chain(of_peers)
            .filter(|claim| claim.demand.service == service)
            .collect();
        claims.sort_by_key(|claim| (claim.demand.key, claim.instance));
        claims
    }

    fn free_slots(&self, service: &ServiceName, now_ms: u64) -> Vec<FreeSlots<'_>> {
        let reserve = self.online_reserve(service, now_ms);
        let holds = self.holds(service, HOLD_MS);
        self.rows
            .iter()
            .filter(|row| row.entry.service == *service)
            .filter(|row| row.is_ready() && row.health.is_usable(now_ms))
            .map(|row| FreeSlots {
                row,
                region: self.region_of(&row.entry.failure_domain),
                slots: row.entry.slots.saturating_sub(row.load() + reserve),
                away_reserve: unseen_from(row, holds),
            })
            .collect()
    }

    fn online_reserve(&self, service: &ServiceName, now_ms: u64) -> u32 {
        let is_recent = self
            .last_online_ms(service)
            .is_some_and(|last_ms| now_ms < last_ms + ONLINE_MEMORY_MS);
        let has_online = || {
            let mut rows = self.rows.iter();
            rows.any(|row| row.entry.service == *service && row.online() > 0)
        };
        if is_recent || has_online() {
            ONLINE_RESERVE
        } else {
            0
        }
    }
}

/// The upstream for an item of a claim: in its own region if possible, where most
/// slots are free.
fn best_slots<'a, 'b>(
    free_slots: &'a mut [FreeSlots<'b>],
    claim: &Claim<'_>,
) -> Option<&'a mut FreeSlots<'b>> {
    free_slots
        .iter_mut()
        .filter(|upstream| {
            let is_away = upstream.region != Some(claim.region);
            upstream.slots > if is_away { upstream.away_reserve } else { 0 }
        })
        .min_by_key(|upstream| {
            let is_away = upstream.region != Some(claim.region);
            let tie = upstream.row.hash ^ xxh3_64(claim.instance.as_str().as_bytes());
            (is_away, Reverse(upstream.slots), tie)
        })
}
