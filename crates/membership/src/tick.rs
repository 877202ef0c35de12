//! Recurring duties of a control program.

use model::{InstanceId, Liveness, Region};
use rand::RngExt;

use crate::{
    NodeRecord, RegionReachability, RegionSummary,
    exchange::{Ask, Target},
    fleet::{Action, Fleet, GAP_MS, PROBE_INTERVAL_MS, SUSPICION_MS, Sync, TOMBSTONE_MS},
    region::{sample, says_same},
    rendezvous_weight,
    rumor::{Audience, Reach, Subject},
};

/// Shortest time between two pushes, in which news is gathered.
const PUSH_INTERVAL_MS: u64 = 100;
/// Neighbours that news is pushed to at once.
const PUSH_FAN_OUT: usize = 3;
/// Nodes of a region that talk to other regions.
const DELEGATES: usize = 3;
/// Time between two questions of a delegate to other regions.
const ACROSS_INTERVAL_MS: u64 = 1_000;
/// Time between two tries to reach a node that seems to be away.
const OUTREACH_INTERVAL_MS: u64 = 2_000;
/// Time between two reads of the configuration row in a failure domain.
const CONFIG_POLL_MS: u64 = 1_000;
/// Time between two reads of the platform's list in a region of a small fleet.
const LISTING_POLL_MS: u64 = 1_000;
/// Upstreams for which the time between reads of the list doubles.
const LISTING_DOUBLES_AT: usize = 2_000;
/// Longest time between reads of the list, as a power of two.
const LISTING_SHIFT_MAX: usize = 4;
/// Time between two looks at whether the own region's summary is outdated.
const SUMMARY_INTERVAL_MS: u64 = 1_000;
/// Time after which a summary is renewed for a small change of its counts.
const SUMMARY_MAX_AGE_MS: u64 = 60_000;
/// Change of the count of live nodes that is told at once, as a share of one in
/// so many.
const SUMMARY_STEP: u32 = 50;

impl Fleet {
    /// Does what is due at `now_ms`. To be called about ten times a second.
    pub fn tick(&mut self, now_ms: u64) {
        if self.timers.last_tick_ms + GAP_MS < now_ms {
            self.distrust(now_ms);
        }
        self.timers.last_tick_ms = now_ms;
        self.drop_silent_programs(now_ms);
        self.bury_suspects(now_ms);
        self.relink(now_ms);
        self.renew_summary(now_ms);
        self.push_news(now_ms);
        self.probe(now_ms);
        self.ask_across(now_ms);
        self.reach_out(now_ms);
        self.poll_platform(now_ms);
    }

    /// A time around `mean_ms`, so that nodes do not act in step.
    pub(crate) fn jitter(&mut self, mean_ms: u64) -> u64 {
        self.rng.random_range(mean_ms / 2..=mean_ms + mean_ms / 2)
    }

    /// After a pause nothing that was known is sure, and nobody else is to
    /// blame for answers that did not come in time.
    fn distrust(&mut self, now_ms: u64) {
        self.sync = Sync::Waiting {
            read_at_ms: now_ms + GAP_MS,
            failures: 0,
        };
        self.heard_version = 0;
        self.confirmed.config = false;
        self.asked.clear();
        for (_, seen_at_ms) in &mut self.programs_seen {
            *seen_at_ms = now_ms;
        }
        self.nodes.restart_suspicions(now_ms);
        self.greet(now_ms);
        for id in self.neighbors.clone() {
            self.ask_neighbor(&id, Ask::Config, now_ms);
        }
    }

    fn bury_suspects(&mut self, now_ms: u64) {
        if self.is_isolated(now_ms) {
            return;
        }
        let dead: Vec<NodeRecord> = self
            .nodes
            .rows()
            .iter()
            .filter(|row| row.rumor.liveness == Liveness::Suspect)
            .filter(|row| row.changed_at_ms + SUSPICION_MS <= now_ms)
            .map(|row| NodeRecord {
                liveness: Liveness::Dead,
                ..row.rumor.clone()
            })
            .collect();
        for rumor in dead {
            self.merge_node(rumor, true, now_ms);
        }
    }

    fn relink(&mut self, now_ms: u64) {
        if !self.links_outdated {
            return;
        }
        self.links_outdated = false;
        let before_ms = now_ms.saturating_sub(TOMBSTONE_MS);
        self.nodes.forget_dead(before_ms);
        self.upstreams.forget_dead(before_ms);
        self.neighbors = self.nodes.neighbors(&self.own.id);
        let mut live: Vec<(u64, &InstanceId)> = self
            .nodes
            .rows()
            .iter()
            .filter(|row| row.rumor.liveness == Liveness::Live)
            .map(|row| {
                let weight = rendezvous_weight("delegate", row.rumor.id.as_str());
                (weight, &row.rumor.id)
            })
            .collect();
        live.sort_unstable();
        self.is_delegate = live
            .iter()
            .rev()
            .take(DELEGATES)
            .any(|(_, id)| **id == self.own.id);
    }

    /// The sample is the same on each node of a region once all know the same.
    fn renew_summary(&mut self, now_ms: u64) {
        if self.timers.summary_at_ms > now_ms {
            return;
        }
        self.timers.summary_at_ms = now_ms + SUMMARY_INTERVAL_MS;
        let known = || {
            self.nodes
                .rows()
                .iter()
                .map(|row| &row.rumor)
                .filter(|rumor| rumor.liveness != Liveness::Dead)
        };
        let total = known().count();
        let live = known()
            .filter(|rumor| rumor.liveness == Liveness::Live)
            .count();
        let fresh = RegionSummary {
            region: self.own.region.clone(),
            made_at_ms: now_ms,
            live: u32::try_from(live).unwrap_or(u32::MAX),
            other: u32::try_from(total - live).unwrap_or(u32::MAX),
            sample: sample(&self.own.region, known()),
            contact: RegionReachability::default(),
        };
        let is_old = self.summary.made_at_ms + SUMMARY_MAX_AGE_MS <= now_ms;
        let step = self.summary.live / SUMMARY_STEP;
        let is_far = fresh.live.abs_diff(self.summary.live) > step;
        let is_outdated = is_far || fresh.sample != self.summary.sample;
        if is_outdated || (is_old && !says_same(&fresh, &self.summary)) {
            self.summary = fresh;
            let region = self.own.region.clone();
            self.rumors.push(Subject::Region(region), Audience::Others);
            self.news_pending = true;
        }
    }

    /// Passes news on. The first after a while goes at once, what follows waits
    /// for the next tick, so that a burst costs no more than its ticks.
    pub(crate) fn push_news(&mut self, now_ms: u64) {
        if !self.is_delegate {
            self.rumors.forget_across();
        }
        if !self.news_pending || now_ms < self.timers.push_at_ms {
            return;
        }
        self.news_pending = false;
        self.timers.push_at_ms = now_ms + PUSH_INTERVAL_MS;
        let mut left = self.neighbors.clone();
        for _ in 0..PUSH_FAN_OUT.min(left.len()) {
            let index = self.rng.random_range(0..left.len());
            let id = left.swap_remove(index);
            self.ask_neighbor(&id, Ask::News, now_ms);
        }
        let version = self.config.version;
        let is_new_config = version > self.pushed_version;
        self.pushed_version = version;
        if self.is_delegate && (is_new_config || self.rumors.has_across()) {
            for region in self.other_regions() {
                self.ask_region(&region, now_ms);
            }
        }
    }

    fn probe(&mut self, now_ms: u64) {
        if self.timers.probe_at_ms > now_ms || self.neighbors.is_empty() {
            return;
        }
        self.timers.probe_at_ms = now_ms + PROBE_INTERVAL_MS;
        self.timers.probe_index = (self.timers.probe_index + 1) % self.neighbors.len();
        let id = self.neighbors[self.timers.probe_index].clone();
        self.ask_neighbor(&id, Ask::News, now_ms);
    }

    fn ask_across(&mut self, now_ms: u64) {
        if self.timers.across_at_ms > now_ms || !self.is_delegate {
            return;
        }
        self.timers.across_at_ms = now_ms + ACROSS_INTERVAL_MS;
        let regions = self.other_regions();
        if regions.is_empty() {
            return;
        }
        let turn = self.timers.across_turn % regions.len();
        self.timers.across_turn += 1;
        self.ask_region(&regions[turn], now_ms);
    }

    /// Nodes that seem to be away may just have been cut off; nobody probes
    /// them, so that one side has to try.
    fn reach_out(&mut self, now_ms: u64) {
        if self.timers.outreach_at_ms > now_ms {
            return;
        }
        self.timers.outreach_at_ms = now_ms + self.jitter(OUTREACH_INTERVAL_MS);
        let mut away: Vec<String> = self
            .nodes
            .rows()
            .iter()
            .filter(|row| row.rumor.liveness == Liveness::Dead)
            .map(|row| row.rumor.peer_address.clone())
            .collect();
        away.extend(
            self.unknown_contacts()
                .map(|contact| contact.peer_address.clone()),
        );
        if self.nodes.rows().len() <= 1 || !self.is_synced() {
            away.extend(self.seeds.iter().cloned());
        }
        if away.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..away.len());
        let ask = if self.is_synced() {
            Ask::News
        } else {
            Ask::Config
        };
        self.ask(Target::unknown(&away[index]), ask, now_ms);
    }

    /// Reads of the platform rotate among the nodes, so that each of them pays
    /// for one now and then and none is missed when it fails.
    fn poll_platform(&mut self, now_ms: u64) {
        if let Sync::Waiting { read_at_ms, .. } = self.sync
            && read_at_ms <= now_ms
        {
            self.sync = Sync::Waiting {
                read_at_ms: u64::MAX,
                failures: 0,
            };
            self.actions.push(Action::ReadConfig);
        }
        let slot = now_ms / CONFIG_POLL_MS;
        if slot != self.timers.config_slot {
            self.timers.config_slot = slot;
            let domain = self.own.failure_domain.clone();
            let key = format!("config/{domain}/{slot}");
            if self.is_chosen(&key, |rumor| rumor.failure_domain == domain) {
                self.actions.push(Action::ReadConfig);
            }
        }
        let shift = (self.upstreams.len() / LISTING_DOUBLES_AT).min(LISTING_SHIFT_MAX);
        let slot = now_ms / (LISTING_POLL_MS << shift);
        if slot != self.timers.listing_slot {
            self.timers.listing_slot = slot;
            if self.is_chosen(&format!("listing/{slot}"), |_| true) {
                self.actions.push(Action::ReadListing);
            }
        }
    }

    fn is_chosen(&self, key: &str, is_candidate: impl Fn(&NodeRecord) -> bool) -> bool {
        let chosen = self
            .nodes
            .rows()
            .iter()
            .map(|row| &row.rumor)
            .filter(|rumor| rumor.liveness <= Liveness::Suspect && is_candidate(rumor))
            .max_by_key(|rumor| rendezvous_weight(key, rumor.id.as_str()));
        chosen.is_some_and(|rumor| rumor.id == self.own.id)
    }

    fn ask_neighbor(&mut self, id: &InstanceId, ask: Ask, now_ms: u64) {
        if let Some(row) = self.nodes.find(id) {
            let target = Target::neighbor(&row.rumor);
            self.ask(target, ask, now_ms);
        }
    }

    pub(crate) fn ask_region(&mut self, region: &Region, now_ms: u64) {
        let Some((id, address)) = self.contact_in(region) else {
            return;
        };
        let target = Target {
            id: Some(id),
            address,
            reach: Reach::Across,
            region: Some(region.clone()),
        };
        self.ask(target, Ask::News, now_ms);
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

    /// A node of `region`; another one after each failure.
    fn contact_in(&self, region: &Region) -> Option<(InstanceId, String)> {
        let own = self.own.id.as_str();
        let sampled = self
            .regions
            .find(region)
            .into_iter()
            .flat_map(|row| &row.sample)
            .filter(|rumor| rumor.liveness == Liveness::Live)
            .map(|rumor| (&rumor.id, &rumor.peer_address));
        let listed = self
            .contacts
            .iter()
            .filter(|contact| contact.region == *region)
            .map(|contact| (&contact.id, &contact.peer_address));
        let mut candidates: Vec<_> = sampled.chain(listed).collect();
        candidates.sort_unstable_by_key(|(id, _)| rendezvous_weight(own, id.as_str()));
        candidates.dedup();
        let index = self.timers.across_index % candidates.len().max(1);
        let (id, address) = candidates.get(index)?;
        Some(((*id).clone(), (*address).clone()))
    }
}
