//! Recurring tasks of a control program.

use model::{InstanceId, Liveness, Region};
use rand::RngExt;

use crate::{
    NodeRecord, RegionReachability, RegionSummary,
    exchange::{RequestKind, Target},
    fleet::{
        Action, Fleet, PROBE_INTERVAL_MS, SUSPICION_TIMEOUT_MS, SyncState, TICK_GAP_MAX_MS,
        TOMBSTONE_RETENTION_MS,
    },
    region::{has_same_content, select_sample},
    rendezvous_weight,
    rumor::{Audience, Scope, Subject},
};

/// Minimum interval between pushes, during which rumors are batched.
const PUSH_INTERVAL_MS: u64 = 100;
/// Number of neighbors that each push goes to.
const PUSH_FAN_OUT: usize = 3;
/// Number of nodes of a region that contact other regions.
const DELEGATES_PER_REGION: usize = 3;
/// Interval between a delegate's requests to other regions.
const CROSS_REGION_INTERVAL_MS: u64 = 1_000;
/// Mean interval between attempts to reconnect to an unreachable node.
const RECONNECT_INTERVAL_MS: u64 = 2_000;
/// Interval between reads of the configuration row, per failure domain.
const CONFIG_POLL_MS: u64 = 1_000;
/// Interval between reads of the platform's list, per region, in a small fleet.
const LISTING_POLL_MS: u64 = 1_000;
/// Number of additional upstreams for which the interval between reads of the
/// list doubles.
const UPSTREAMS_PER_LISTING_DOUBLING: usize = 2_000;
/// Maximum number of times that the interval between reads of the list doubles.
const LISTING_SHIFT_MAX: usize = 4;
/// Interval between checks of whether the own region's summary is outdated.
const SUMMARY_INTERVAL_MS: u64 = 1_000;
/// Age of a summary from which any change of its counts replaces it.
const SUMMARY_MAX_AGE_MS: u64 = 60_000;
/// A change of the number of live nodes by more than one in this many replaces
/// the summary at the next check.
const SUMMARY_STEP_DIVISOR: u32 = 50;

impl Fleet {
    /// Runs the tasks that are due at `now_ms`. Must be called about ten times
    /// per second.
    pub fn tick(&mut self, now_ms: u64) {
        if self.timers.last_tick_ms + TICK_GAP_MAX_MS < now_ms {
            self.restart_sync(now_ms);
        }
        self.timers.last_tick_ms = now_ms;
        self.expire_programs(now_ms);
        self.expire_suspicions(now_ms);
        self.refresh_neighbors(now_ms);
        self.refresh_summary(now_ms);
        self.push_rumors(now_ms);
        self.probe_next_neighbor(now_ms);
        self.poll_other_regions(now_ms);
        self.try_reconnect(now_ms);
        self.poll_platform(now_ms);
    }

    /// Returns a random time between half and one and a half of `mean_ms`, so
    /// that nodes do not act in lockstep.
    pub(crate) fn jitter(&mut self, mean_ms: u64) -> u64 {
        self.rng.random_range(mean_ms / 2..=mean_ms + mean_ms / 2)
    }

    /// Starts a new sync after a gap between ticks, because the state may be
    /// stale. Drops pending requests and restarts the suspicion time-outs,
    /// because responses may be missing only because this node was paused.
    fn restart_sync(&mut self, now_ms: u64) {
        self.sync_state = SyncState::Waiting {
            read_at_ms: now_ms + TICK_GAP_MAX_MS,
            failures: 0,
        };
        self.max_peer_version = 0;
        self.confirmed.config = false;
        self.requests.clear();
        for (_, seen_at_ms) in &mut self.program_heartbeats {
            *seen_at_ms = now_ms;
        }
        self.nodes.restart_suspicion_timers(now_ms);
        self.request_initial_state(now_ms);
        for id in self.neighbors.clone() {
            self.send_to_neighbor(&id, RequestKind::FetchConfig, now_ms);
        }
    }

    fn expire_suspicions(&mut self, now_ms: u64) {
        if self.is_isolated(now_ms) {
            return;
        }
        let dead: Vec<NodeRecord> = self
            .nodes
            .rows()
            .iter()
            .filter(|row| row.record.liveness == Liveness::Suspect)
            .filter(|row| row.changed_at_ms + SUSPICION_TIMEOUT_MS <= now_ms)
            .map(|row| NodeRecord {
                liveness: Liveness::Dead,
                ..row.record.clone()
            })
            .collect();
        for record in dead {
            self.merge_node(record, true, now_ms);
        }
    }

    fn refresh_neighbors(&mut self, now_ms: u64) {
        if !self.neighbors_outdated {
            return;
        }
        self.neighbors_outdated = false;
        let before_ms = now_ms.saturating_sub(TOMBSTONE_RETENTION_MS);
        self.nodes.purge_tombstones(before_ms);
        self.upstreams.purge_tombstones(before_ms);
        self.neighbors = self.nodes.neighbors(&self.local_node.id);
        let mut live: Vec<(u64, &InstanceId)> = self
            .nodes
            .rows()
            .iter()
            .filter(|row| row.record.liveness == Liveness::Live)
            .map(|row| {
                let weight = rendezvous_weight("delegate", row.record.id.as_str());
                (weight, &row.record.id)
            })
            .collect();
        live.sort_unstable();
        self.is_delegate = live
            .iter()
            .rev()
            .take(DELEGATES_PER_REGION)
            .any(|(_, id)| **id == self.local_node.id);
    }

    /// Replaces the summary of the own region if it is outdated. Its sample is
    /// identical on all nodes of the region once their tables agree.
    fn refresh_summary(&mut self, now_ms: u64) {
        if self.timers.summary_at_ms > now_ms {
            return;
        }
        self.timers.summary_at_ms = now_ms + SUMMARY_INTERVAL_MS;
        let records = || {
            self.nodes
                .rows()
                .iter()
                .map(|row| &row.record)
                .filter(|record| record.liveness != Liveness::Dead)
        };
        let total = records().count();
        let live = records()
            .filter(|record| record.liveness == Liveness::Live)
            .count();
        let current = RegionSummary {
            region: self.local_node.region.clone(),
            created_at_ms: now_ms,
            live_nodes: u32::try_from(live).unwrap_or(u32::MAX),
            non_live_nodes: u32::try_from(total - live).unwrap_or(u32::MAX),
            sample: select_sample(&self.local_node.region, records()),
            reachability: RegionReachability::default(),
        };
        let is_expired = self.summary.created_at_ms + SUMMARY_MAX_AGE_MS <= now_ms;
        let step = self.summary.live_nodes / SUMMARY_STEP_DIVISOR;
        let exceeds_step = current.live_nodes.abs_diff(self.summary.live_nodes) > step;
        let is_outdated = exceeds_step || current.sample != self.summary.sample;
        if is_outdated || (is_expired && !has_same_content(&current, &self.summary)) {
            self.summary = current;
            let region = self.local_node.region.clone();
            self.rumors.push(Subject::Region(region), Audience::Remote);
            self.is_push_pending = true;
        }
    }

    /// Pushes rumors to random neighbors, and from delegates to other regions.
    /// The first rumor after a quiet period is sent immediately and later ones
    /// wait for the next tick, so that a burst of changes costs at most one
    /// push per tick.
    pub(crate) fn push_rumors(&mut self, now_ms: u64) {
        if !self.is_delegate {
            self.rumors.drop_cross_region();
        }
        if !self.is_push_pending || now_ms < self.timers.push_at_ms {
            return;
        }
        self.is_push_pending = false;
        self.timers.push_at_ms = now_ms + PUSH_INTERVAL_MS;
        let mut candidates = self.neighbors.clone();
        for _ in 0..PUSH_FAN_OUT.min(candidates.len()) {
            let index = self.rng.random_range(0..candidates.len());
            let id = candidates.swap_remove(index);
            self.send_to_neighbor(&id, RequestKind::Gossip, now_ms);
        }
        let version = self.config.version;
        let is_new_config = version > self.pushed_version;
        self.pushed_version = version;
        if self.is_delegate && (is_new_config || self.rumors.has_cross_region()) {
            for region in self.other_regions() {
                self.send_to_region(&region, now_ms);
            }
        }
    }

    fn probe_next_neighbor(&mut self, now_ms: u64) {
        if self.timers.probe_at_ms > now_ms || self.neighbors.is_empty() {
            return;
        }
        self.timers.probe_at_ms = now_ms + PROBE_INTERVAL_MS;
        self.timers.probe_index = (self.timers.probe_index + 1) % self.neighbors.len();
        let id = self.neighbors[self.timers.probe_index].clone();
        self.send_to_neighbor(&id, RequestKind::Gossip, now_ms);
    }

    fn poll_other_regions(&mut self, now_ms: u64) {
        if self.timers.cross_region_at_ms > now_ms || !self.is_delegate {
            return;
        }
        self.timers.cross_region_at_ms = now_ms + CROSS_REGION_INTERVAL_MS;
        let regions = self.other_regions();
        if regions.is_empty() {
            return;
        }
        let region_index = self.timers.next_region_index % regions.len();
        self.timers.next_region_index += 1;
        self.send_to_region(&regions[region_index], now_ms);
    }

    /// Contacts a random node that this node considers unreachable. The node may
    /// only be separated by a network partition. No node probes a node that it
    /// considers dead or does not know, so membership recovers from a partition
    /// only by such attempts.
    fn try_reconnect(&mut self, now_ms: u64) {
        if self.timers.reconnect_at_ms > now_ms {
            return;
        }
        self.timers.reconnect_at_ms = now_ms + self.jitter(RECONNECT_INTERVAL_MS);
        let mut unreachable: Vec<String> = self
            .nodes
            .rows()
            .iter()
            .filter(|row| row.record.liveness == Liveness::Dead)
            .map(|row| row.record.peer_address.clone())
            .collect();
        unreachable.extend(
            self.unknown_contacts()
                .map(|contact| contact.peer_address.clone()),
        );
        if self.nodes.rows().len() <= 1 || !self.is_synced() {
            unreachable.extend(self.seeds.iter().cloned());
        }
        if unreachable.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..unreachable.len());
        let kind = if self.is_synced() {
            RequestKind::Gossip
        } else {
            RequestKind::FetchConfig
        };
        self.send_request(Target::by_address(&unreachable[index]), kind, now_ms);
    }

    /// Reads the configuration row or the platform's list when it is this
    /// node's turn. Rendezvous hashing rotates the reads among the nodes, so
    /// that they share the cost and no read depends on a single node that may
    /// have failed.
    fn poll_platform(&mut self, now_ms: u64) {
        if let SyncState::Waiting { read_at_ms, .. } = self.sync_state
            && read_at_ms <= now_ms
        {
            self.sync_state = SyncState::Waiting {
                read_at_ms: u64::MAX,
                failures: 0,
            };
            self.actions.push(Action::ReadConfig);
        }
        let slot = now_ms / CONFIG_POLL_MS;
        if slot != self.timers.config_slot {
            self.timers.config_slot = slot;
            let domain = self.local_node.failure_domain.clone();
            let key = format!("config/{domain}/{slot}");
            if self.is_rendezvous_winner(&key, |record| record.failure_domain == domain) {
                self.actions.push(Action::ReadConfig);
            }
        }
        let shift = (self.upstreams.len() / UPSTREAMS_PER_LISTING_DOUBLING).min(LISTING_SHIFT_MAX);
        let slot = now_ms / (LISTING_POLL_MS << shift);
        if slot != self.timers.listing_slot {
            self.timers.listing_slot = slot;
            if self.is_rendezvous_winner(&format!("listing/{slot}"), |_| true) {
                self.actions.push(Action::ReadListing);
            }
        }
    }

    fn is_rendezvous_winner(&self, key: &str, is_candidate: impl Fn(&NodeRecord) -> bool) -> bool {
        let chosen = self
            .nodes
            .rows()
            .iter()
            .map(|row| &row.record)
            .filter(|record| record.liveness <= Liveness::Suspect && is_candidate(record))
            .max_by_key(|record| rendezvous_weight(key, record.id.as_str()));
        chosen.is_some_and(|record| record.id == self.local_node.id)
    }

    fn send_to_neighbor(&mut self, id: &InstanceId, kind: RequestKind, now_ms: u64) {
        if let Some(row) = self.nodes.find(id) {
            let target = Target::neighbor(&row.record);
            self.send_request(target, kind, now_ms);
        }
    }

    pub(crate) fn send_to_region(&mut self, region: &Region, now_ms: u64) {
        let Some((id, address)) = self.region_contact(region) else {
            return;
        };
        let target = Target {
            id: Some(id),
            address,
            scope: Scope::CrossRegion,
            remote_region: Some(region.clone()),
        };
        self.send_request(target, RequestKind::Gossip, now_ms);
    }

    fn other_regions(&self) -> Vec<Region> {
        let summarized = self.regions.rows().iter().map(|row| &row.region);
        let listed = self.contacts.iter().map(|contact| &contact.region);
        let mut regions: Vec<Region> = summarized
            .chain(listed)
            .filter(|region| !self.is_own_region(region))
            .cloned()
            .collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// Returns a node of `region` to contact, a different one after each failed
    /// request.
    fn region_contact(&self, region: &Region) -> Option<(InstanceId, String)> {
        let local_id = self.local_node.id.as_str();
        let sampled = self
            .regions
            .find(region)
            .into_iter()
            .flat_map(|row| &row.sample)
            .filter(|record| record.liveness == Liveness::Live)
            .map(|record| (&record.id, &record.peer_address));
        let listed = self
            .contacts
            .iter()
            .filter(|contact| contact.region == *region)
            .map(|contact| (&contact.id, &contact.peer_address));
        let mut candidates: Vec<_> = sampled.chain(listed).collect();
        candidates.sort_unstable_by_key(|(id, _)| rendezvous_weight(local_id, id.as_str()));
        candidates.dedup();
        let index = self.timers.contact_offset % candidates.len().max(1);
        let (id, address) = candidates.get(index)?;
        Some(((*id).clone(), (*address).clone()))
    }
}
