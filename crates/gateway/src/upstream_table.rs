//! Table of the upstreams with what this instance knows of each.

use std::sync::Arc;

use model::{FailureDomain, InstanceId, Region, ServiceName, UpstreamId};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    BatchDemand, UpstreamEntry, UpstreamLoad, UpstreamState, Urgency,
    estimate::Mean,
    health::Health,
    peer_loads::{PeerLoad, Position},
    peers::{Peers, upstream_hash},
    placement::Target,
};

/// How long an entry that lapsed while the store was away is kept,
/// milliseconds: its server registers again within this time if it lives.
const LAPSE_GRACE_MS: u64 = 2_000;
/// Round trips before the first is measured, milliseconds.
const NEAR_ROUND_TRIP_MS: f64 = 1.0;
const HOME_ROUND_TRIP_MS: f64 = 4.0;
const AWAY_ROUND_TRIP_MS: f64 = 60.0;
/// A connection is given up after this many round trips and some slack.
const CONNECT_ROUND_TRIPS: f64 = 3.0;
const CONNECT_SLACK_MS: u64 = 40;
/// A measured delay that is older says nothing any more, milliseconds.
const DELAY_LIFETIME_MS: u64 = 5_000;

/// Where this instance runs.
#[derive(Debug, Clone)]
pub struct Locality {
    /// This instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Region of each failure domain, sorted by failure domain.
    pub regions: Arc<[(FailureDomain, Region)]>,
}

/// What a request in flight is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// A request that a caller waits for.
    Online,
    /// An item of a job.
    Batch,
}

/// A batch item of this instance at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchRun {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How urgent the item is.
    pub urgency: Urgency,
}

/// The upstreams.
#[derive(Debug)]
pub struct UpstreamTable {
    pub(crate) home: Locality,
    /// Sorted by id.
    pub(crate) rows: Vec<Row>,
    /// Sorted by upstream; empty after rows came or went.
    pub(crate) positions: Vec<Position>,
    pub(crate) peers: Peers,
    pub(crate) services: Vec<ServiceRow>,
    /// Own batch items that wait, most urgent first.
    pub(crate) batch_queue: Vec<BatchDemand>,
    pub(crate) rng: SmallRng,
}

/// One upstream.
#[derive(Debug)]
pub(crate) struct Row {
    pub(crate) entry: UpstreamEntry,
    pub(crate) hash: u64,
    /// Its entry is gone, but may come back until this moment.
    pub(crate) lapses_at_ms: Option<u64>,
    pub(crate) warm_at_ms: u64,
    pub(crate) health: Health,
    pub(crate) own: UpstreamLoad,
    pub(crate) peers: PeerLoad,
    round_trip_ms: Mean,
    delay_ms: Mean,
    delay_measured_ms: u64,
}

/// What all upstreams of a service have in common.
#[derive(Debug)]
pub(crate) struct ServiceRow {
    service: ServiceName,
    online_hold_ms: Mean,
    batch_hold_ms: Mean,
    last_online_ms: u64,
}

/// Expected times that requests hold their slots at a service, and how old news
/// of slots in other regions may be.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct Holds {
    pub(crate) online_ms: f64,
    pub(crate) batch_ms: f64,
    pub(crate) away_news_ms: f64,
}

impl UpstreamTable {
    /// An empty fleet, as seen from `home`.
    #[must_use]
    pub fn new(home: Locality, seed: u64) -> Self {
        Self {
            home,
            rows: Vec::new(),
            positions: Vec::new(),
            peers: Peers::default(),
            services: Vec::new(),
            batch_queue: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over the newest entry of an upstream.
    pub fn upsert(&mut self, entry: UpstreamEntry, now_ms: u64) {
        match self.find(&entry.id) {
            Ok(index) if self.rows[index].is_same_incarnation(&entry) => {
                let row = &mut self.rows[index];
                row.warm_at_ms = now_ms + entry.warm_up_remaining_ms;
                row.entry = entry;
                row.lapses_at_ms = None;
            }
            Ok(index) => self.rows[index] = self.new_row(entry, now_ms),
            Err(index) => {
                let row = self.new_row(entry, now_ms);
                self.rows.insert(index, row);
                self.positions.clear();
            }
        }
    }

    /// Takes an entry out. If entries may have lapsed because the store was
    /// away, the upstream gets some time to register again.
    pub fn remove(&mut self, id: &UpstreamId, may_have_lapsed: bool, now_ms: u64) {
        let Ok(index) = self.find(id) else { return };
        if !may_have_lapsed {
            self.rows.remove(index);
            self.positions.clear();
            return;
        }
        let row = &mut self.rows[index];
        row.lapses_at_ms.get_or_insert(now_ms + LAPSE_GRACE_MS);
    }

    /// Takes out every upstream that is not among `listed` (sorted).
    pub fn retain_registered(&mut self, listed: &[UpstreamId], may_have_lapsed: bool, now_ms: u64) {
        let missing: Vec<_> = self
            .rows
            .iter()
            .map(|row| row.entry.id.clone())
            .filter(|id| listed.binary_search(id).is_err())
            .collect();
        for id in missing {
            self.remove(&id, may_have_lapsed, now_ms);
        }
    }

    /// Forgets lapsed entries and silent peers.
    pub fn expire(&mut self, now_ms: u64) {
        let has_lapsed = |row: &Row| row.lapses_at_ms.is_some_and(|lapses| lapses <= now_ms);
        if self.rows.iter().any(has_lapsed) {
            self.rows.retain(|row| !has_lapsed(row));
            self.positions.clear();
        }
        self.expire_peers(now_ms);
    }

    /// What this instance has in flight, sorted by hash.
    #[must_use]
    pub fn own_loads(&self) -> Vec<UpstreamLoad> {
        let mut loads: Vec<_> = self
            .rows
            .iter()
            .map(|row| row.own)
            .filter(|load| load.online > 0 || load.batch > 0)
            .collect();
        loads.sort_by_key(|load| load.upstream);
        loads
    }

    /// Sets the batch items of this instance that wait, most urgent first.
    pub fn set_batch_queue(&mut self, queue: Vec<BatchDemand>) {
        self.batch_queue = queue;
    }

    /// Batch items of this instance that wait, most urgent first.
    #[must_use]
    pub fn batch_queue(&self) -> &[BatchDemand] {
        &self.batch_queue
    }

    /// Sets which batch items of this instance run where.
    pub fn set_batch_runs(&mut self, runs: &[BatchRun]) {
        for row in &mut self.rows {
            let there = runs
                .iter()
                .filter(|run| run.upstream == row.entry.id && !run.urgency.lacks_slack);
            let keys: Vec<_> = there.map(|run| run.urgency.key).collect();
            row.own.preemptible = u16::try_from(keys.len()).unwrap_or(u16::MAX);
            row.own.least_urgent_key = keys.into_iter().max().unwrap_or(0);
        }
    }

    /// Records that a request was sent to an upstream.
    pub fn record_start(&mut self, target: &Target, kind: WorkKind, now_ms: u64) {
        if kind == WorkKind::Online {
            self.service_row(&target.service).last_online_ms = now_ms;
        }
        let Some(row) = self.incarnation(target) else {
            return;
        };
        row.health.sent();
        match kind {
            WorkKind::Online => row.own.online += 1,
            WorkKind::Batch => row.own.batch += 1,
        }
    }

    /// Records that a request is no longer at its upstream.
    pub fn record_end(&mut self, target: &Target, kind: WorkKind) {
        let Some(row) = self.incarnation(target) else {
            return;
        };
        row.health.undecided();
        match kind {
            WorkKind::Online => row.own.online = row.own.online.saturating_sub(1),
            WorkKind::Batch => row.own.batch = row.own.batch.saturating_sub(1),
        }
    }

    /// Records how long an upstream worked on a request that it finished.
    pub fn record_completion(&mut self, target: &Target, kind: WorkKind, held_ms: u64) {
        let service = self.service_row(&target.service);
        match kind {
            WorkKind::Online => service.online_hold_ms.add(as_f64(held_ms)),
            WorkKind::Batch => service.batch_hold_ms.add(as_f64(held_ms)),
        }
        if let Some(row) = self.incarnation(target) {
            row.health.succeeded();
        }
    }

    /// Records that an upstream failed a request.
    pub fn record_failure(&mut self, target: &Target, now_ms: u64) {
        if let Some(row) = self.incarnation(target) {
            row.health.failed(now_ms);
        }
    }

    /// Records that an upstream is leaving or is not the one registered: it
    /// gets nothing until its entry changes.
    pub fn record_leaving(&mut self, target: &Target) {
        if let Some(row) = self.incarnation(target) {
            row.health.closed_until(u64::MAX);
        }
    }

    /// Records that an upstream had no room for a request.
    pub fn record_full(&mut self, target: &Target, until_ms: u64) {
        if let Some(row) = self.incarnation(target) {
            row.health.closed_until(until_ms);
        }
    }

    /// Records the time that a connection took to set up.
    pub fn record_round_trip(&mut self, target: &Target, round_trip_ms: f64) {
        if let Some(row) = self.incarnation(target) {
            row.round_trip_ms.add(round_trip_ms);
        }
    }

    /// Records when an answer began beyond what was expected.
    pub fn record_answer_delay(&mut self, target: &Target, delay_ms: f64, now_ms: u64) {
        if let Some(row) = self.incarnation(target) {
            row.delay_ms.add(delay_ms);
            row.delay_measured_ms = now_ms;
        }
    }

    /// Number of upstreams that take work.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        self.rows.iter().filter(|row| row.is_ready()).count()
    }

    /// Expected times that requests hold their slots, `default_ms` before any
    /// was measured.
    pub(crate) fn holds(&self, service: &ServiceName, default_ms: f64) -> Holds {
        let found = self
            .services
            .binary_search_by(|row| row.service.cmp(service));
        let (online, batch) = found.map_or((Mean::default(), Mean::default()), |index| {
            let row = &self.services[index];
            (row.online_hold_ms, row.batch_hold_ms)
        });
        let online_ms = online.or(default_ms);
        Holds {
            online_ms,
            batch_ms: batch.or(online_ms),
            away_news_ms: self.away_news_ms(),
        }
    }

    /// Longest time that setting up a connection to an upstream should take,
    /// milliseconds.
    #[must_use]
    pub fn connect_timeout_ms(&self, target: &Target) -> u64 {
        let round_trip_ms = self
            .find(&target.upstream)
            .map_or(AWAY_ROUND_TRIP_MS, |index| {
                self.round_trip_ms(&self.rows[index])
            });
        round_ms(round_trip_ms * CONNECT_ROUND_TRIPS) + CONNECT_SLACK_MS
    }

    /// When this instance last sent an online request to a service.
    pub(crate) fn last_online_ms(&self, service: &ServiceName) -> Option<u64> {
        self.services
            .binary_search_by(|row| row.service.cmp(service))
            .ok()
            .map(|index| self.services[index].last_online_ms)
    }

    /// Expected time to an upstream and back, milliseconds.
    pub(crate) fn round_trip_ms(&self, row: &Row) -> f64 {
        let domain = &row.entry.failure_domain;
        let default_ms = if *domain == self.home.failure_domain {
            NEAR_ROUND_TRIP_MS
        } else if self.region_of(domain) == Some(&self.home.region) {
            HOME_ROUND_TRIP_MS
        } else {
            AWAY_ROUND_TRIP_MS
        };
        row.round_trip_ms.or(default_ms)
    }

    pub(crate) fn region_of(&self, domain: &FailureDomain) -> Option<&Region> {
        let regions = &self.home.regions;
        let index = regions
            .binary_search_by(|(name, _)| name.cmp(domain))
            .ok()?;
        Some(&regions[index].1)
    }

    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.entry.id.cmp(id))
    }

    fn incarnation(&mut self, target: &Target) -> Option<&mut Row> {
        let index = self.find(&target.upstream).ok()?;
        let row = &mut self.rows[index];
        (row.entry.started_unix_ms == target.started_unix_ms).then_some(row)
    }

    fn service_row(&mut self, service: &ServiceName) -> &mut ServiceRow {
        let index = match self
            .services
            .binary_search_by(|row| row.service.cmp(service))
        {
            Ok(index) => index,
            Err(index) => {
                let row = ServiceRow {
                    service: service.clone(),
                    online_hold_ms: Mean::default(),
                    batch_hold_ms: Mean::default(),
                    last_online_ms: 0,
                };
                self.services.insert(index, row);
                index
            }
        };
        &mut self.services[index]
    }

    fn new_row(&self, entry: UpstreamEntry, now_ms: u64) -> Row {
        let peers = PeerLoad::new(self.peers.notices(), upstream_hash(&entry.id));
        Row::new(entry, peers, now_ms)
    }
}

impl Row {
    fn new(entry: UpstreamEntry, peers: PeerLoad, now_ms: u64) -> Self {
        let hash = upstream_hash(&entry.id);
        let load = UpstreamLoad {
            upstream: hash,
            ..UpstreamLoad::default()
        };
        Self {
            warm_at_ms: now_ms + entry.warm_up_remaining_ms,
            entry,
            hash,
            lapses_at_ms: None,
            health: Health::default(),
            own: load,
            peers,
            round_trip_ms: Mean::default(),
            delay_ms: Mean::default(),
            delay_measured_ms: 0,
        }
    }

    fn is_same_incarnation(&self, entry: &UpstreamEntry) -> bool {
        self.entry.started_unix_ms == entry.started_unix_ms && self.entry.address == entry.address
    }

    /// Whether the upstream is registered as taking work.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == UpstreamState::Ready
    }

    /// Online requests of all instances.
    pub(crate) fn online(&self) -> u32 {
        u32::from(self.own.online) + self.peers.online
    }

    /// Batch items of all instances.
    pub(crate) fn batch(&self) -> u32 {
        u32::from(self.own.batch) + self.peers.batch
    }

    /// Batch items of all instances that can be preempted.
    pub(crate) fn preemptible(&self) -> u32 {
        u32::from(self.own.preemptible) + self.peers.preemptible
    }

    /// Requests of all instances.
    pub(crate) fn load(&self) -> u32 {
        self.online() + self.batch()
    }

    /// How much later than expected answers began lately, milliseconds.
    pub(crate) fn delay_ms(&self, now_ms: u64) -> f64 {
        if now_ms < self.delay_measured_ms + DELAY_LIFETIME_MS {
            self.delay_ms.or(0.0)
        } else {
            0.0
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
pub(crate) fn as_f64(ms: u64) -> f64 {
    ms as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates"
)]
pub(crate) fn round_ms(ms: f64) -> u64 {
    ms.round() as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates"
)]
pub(crate) fn round_count(count: f64) -> u32 {
    count.round() as u32
}
