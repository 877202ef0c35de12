//! The upstreams, with what this instance knows of each of them.

use std::{net::SocketAddr, sync::Arc};

use model::{FailureDomain, InstanceId, Region, ServiceName, SoftwareVersion, UpstreamId};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::{
    BatchDemand, UpstreamEntry, UpstreamLoad, Urgency,
    peer_loads::{PeerLoad, RowPosition},
    peers::{PeerNotices, election_rank, upstream_hash},
    rate_limits::RateLimits,
    service_timings::ServiceRow,
    stream_origins::VersionHash,
    target::Target,
    upstream_row::UpstreamRow,
    upstream_speed::PaceReport,
};

/// Grace period of an upstream whose registration may have lapsed because the
/// store was unavailable, milliseconds. A live upstream registers again meanwhile.
const LAPSED_ENTRY_GRACE_MS: u64 = 2_000;
/// Assumed round-trip times to upstreams until the first measurement,
/// milliseconds.
const SAME_DOMAIN_ROUND_TRIP_MS: f64 = 1.0;
pub(crate) const SAME_REGION_ROUND_TRIP_MS: f64 = 4.0;
pub(crate) const OTHER_REGION_ROUND_TRIP_MS: f64 = 60.0;
/// Time in which the successor of an incarnation that crashed has registered, milliseconds.
const SUCCESSION_MS: u64 = 3_000;

/// This instance and where it runs.
#[derive(Debug, Clone)]
pub struct Locality {
    /// Id of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomain,
    /// Region of this instance.
    pub region: Region,
    /// Region of each failure domain, sorted by failure domain.
    pub regions: Arc<[(FailureDomain, Region)]>,
}

/// Kind of a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkKind {
    /// An online request, whose answer a caller waits for.
    Online,
    /// A batch item, which belongs to a job.
    Batch,
}

/// A batch item of this instance that runs at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchRun {
    /// The upstream that runs the item.
    pub upstream: UpstreamId,
    /// How urgent the item is.
    pub urgency: Urgency,
}

/// The upstreams, with their registrations, loads and health as seen by this
/// instance.
#[derive(Debug, Clone)]
pub struct UpstreamTable {
    pub(crate) locality: Locality,
    /// Sorted by upstream id.
    pub(crate) rows: Vec<UpstreamRow>,
    /// Index of `rows` by upstream hash, sorted by hash. Empty after rows were
    /// inserted or removed, until the next lookup.
    pub(crate) positions: Vec<RowPosition>,
    pub(crate) peer_notices: PeerNotices,
    pub(crate) services: Vec<ServiceRow>,
    /// Waiting batch items of this instance, most urgent first.
    pub(crate) batch_queue: Vec<BatchDemand>,
    /// Measurements that no notice to peers has had yet.
    pub(crate) pace_reports: Vec<PaceReport>,
    pub(crate) limits: RateLimits,
    pub(crate) rng: SmallRng,
}

impl UpstreamTable {
    /// Creates an empty table for the instance at `locality`. `seed` seeds the
    /// random choices.
    #[must_use]
    pub fn new(locality: Locality, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let holder = election_rank(&locality.instance, rng.random());
        Self {
            locality,
            rows: Vec::new(),
            positions: Vec::new(),
            peer_notices: PeerNotices::default(),
            services: Vec::new(),
            batch_queue: Vec::new(),
            pace_reports: Vec::new(),
            limits: RateLimits::new(holder),
            rng,
        }
    }

    /// Inserts an upstream, or replaces its entry by a newer one. A new
    /// incarnation starts without own load, failures and measurements.
    pub fn upsert(&mut self, entry: UpstreamEntry, now_ms: u64) {
        match self.find(&entry.id) {
            Ok(index) if self.rows[index].is_same_incarnation(&entry) => {
                let row = &mut self.rows[index];
                row.warmed_up_at_ms = now_ms + entry.warm_up_remaining_ms;
                row.version = VersionHash::new(&entry.version);
                if let Some(version) = entry.weights.filter(|_| entry.weights != row.entry.weights)
                {
                    row.weights.record_statement(version, now_ms);
                }
                row.entry = entry;
                row.remove_at_ms = None;
            }
            Ok(index) => self.rows[index] = self.new_row(entry, now_ms),
            Err(index) => {
                let row = self.new_row(entry, now_ms);
                self.rows.insert(index, row);
                self.positions.clear();
            }
        }
    }

    /// Removes an upstream. If `may_have_lapsed` is set, registrations may have
    /// lapsed because the store was unavailable, and the upstream is kept for a
    /// grace period in which it can register again.
    pub fn remove(&mut self, id: &UpstreamId, may_have_lapsed: bool, now_ms: u64) {
        let Ok(index) = self.find(id) else { return };
        if !may_have_lapsed {
            self.rows.remove(index);
            self.positions.clear();
            return;
        }
        let row = &mut self.rows[index];
        row.remove_at_ms
            .get_or_insert(now_ms + LAPSED_ENTRY_GRACE_MS);
    }

    /// Removes every upstream that is not in `registered`, which must be
    /// sorted. See [`Self::remove`] for `may_have_lapsed`.
    pub fn retain_registered(
        &mut self,
        registered: &[UpstreamId],
        may_have_lapsed: bool,
        now_ms: u64,
    ) {
        let unregistered: Vec<_> = self
            .rows
            .iter()
            .map(|row| row.entry.id.clone())
            .filter(|id| registered.binary_search(id).is_err())
            .collect();
        for id in unregistered {
            self.remove(&id, may_have_lapsed, now_ms);
        }
    }

    /// Removes upstreams after their grace period, and silent peers.
    pub fn expire(&mut self, now_ms: u64) {
        let is_expired = |row: &UpstreamRow| row.remove_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        if self.rows.iter().any(is_expired) {
            self.rows.retain(|row| !is_expired(row));
            self.positions.clear();
        }
        self.expire_peers(now_ms);
    }

    /// Returns what this instance has in flight at each upstream, sorted by
    /// upstream hash. Upstreams without load are left out.
    #[must_use]
    pub fn own_loads(&self) -> Vec<UpstreamLoad> {
        let mut loads: Vec<_> = self
            .rows
            .iter()
            .map(|row| row.own_load)
            .filter(|load| load.online > 0 || load.batch > 0)
            .collect();
        loads.sort_by_key(|load| load.upstream);
        loads
    }

    /// Sets the waiting batch items of this instance, most urgent first.
    pub fn set_batch_queue(&mut self, queue: Vec<BatchDemand>) {
        self.batch_queue = queue;
    }

    /// Returns the waiting batch items of this instance, most urgent first.
    #[must_use]
    pub fn batch_queue(&self) -> &[BatchDemand] {
        &self.batch_queue
    }

    /// Sets the running batch items of this instance.
    pub fn set_batch_runs(&mut self, runs: &[BatchRun]) {
        for row in &mut self.rows {
            let preemptible_runs = runs
                .iter()
                .filter(|run| run.upstream == row.entry.id && !run.urgency.lacks_slack);
            let keys: Vec<_> = preemptible_runs.map(|run| run.urgency.key).collect();
            row.own_load.preemptible = u16::try_from(keys.len()).unwrap_or(u16::MAX);
            row.own_load.least_urgent_key = keys.into_iter().max().unwrap_or(0);
        }
    }

    /// Records that a request was sent to an upstream.
    pub fn record_start(&mut self, target: &Target, kind: WorkKind, now_ms: u64) {
        if kind == WorkKind::Online {
            self.service_row(&target.service).last_online_ms = Some(now_ms);
        }
        let Some(index) = self.find_incarnation(target) else {
            return;
        };
        let row = &self.rows[index];
        let is_unproven = row.connectivity.is_lost() && !self.has_proxy(row, now_ms);
        let row = &mut self.rows[index];
        let incarnation = row.incarnation;
        row.health.record_sent(is_unproven);
        match kind {
            WorkKind::Online => row.own_load.online += 1,
            WorkKind::Batch => row.own_load.batch += 1,
        }
        self.limits.take_token(incarnation);
    }

    /// Records that a request is no longer in flight at its upstream, whatever
    /// its outcome.
    pub fn record_end(&mut self, target: &Target, kind: WorkKind) {
        let Some(row) = self.incarnation_row(target) else {
            return;
        };
        row.health.record_inconclusive_end();
        match kind {
            WorkKind::Online => row.own_load.online = row.own_load.online.saturating_sub(1),
            WorkKind::Batch => row.own_load.batch = row.own_load.batch.saturating_sub(1),
        }
    }

    /// Records that a request completed after it held its slot for `held_ms`.
    pub fn record_completion(&mut self, target: &Target, kind: WorkKind, held_ms: u64) {
        let service = self.service_row(&target.service);
        match kind {
            WorkKind::Online => service.online_hold_ms.add(as_f64(held_ms)),
            WorkKind::Batch => service.batch_hold_ms.add(as_f64(held_ms)),
        }
        if let Some(row) = self.incarnation_row(target) {
            row.health.record_success();
        }
    }

    /// Records that a request failed at an upstream. Returns until when the upstream is ejected,
    /// if it is.
    pub fn record_failure(&mut self, target: &Target, now_ms: u64) -> Option<u64> {
        let row = self.incarnation_row(target)?;
        row.health.record_failure(now_ms)
    }

    /// Records that an incarnation of an upstream has crashed.
    pub fn record_crash(&mut self, target: &Target, now_ms: u64) {
        if let Some(row) = self.incarnation_row(target) {
            row.may_be_succeeded_until_ms = now_ms + SUCCESSION_MS;
        }
    }

    /// Returns whether another process may listen at the address of an upstream, because this
    /// incarnation has crashed.
    #[must_use]
    pub fn may_be_succeeded(&self, target: &Target, now_ms: u64) -> bool {
        self.known_incarnation(target)
            .is_some_and(|row| now_ms < row.may_be_succeeded_until_ms)
    }

    /// Returns the known number of requests at an upstream, of all instances.
    #[must_use]
    pub fn load_at(&self, target: &Target) -> u32 {
        self.find(&target.upstream)
            .map_or(0, |index| self.rows[index].load())
    }

    /// Returns an incarnation of an upstream if it is in service.
    #[must_use]
    pub fn target(&self, id: &UpstreamId, started_unix_ms: u64) -> Option<Target> {
        let row = &self.rows[self.find(id).ok()?];
        let is_meant = row.entry.started_unix_ms == started_unix_ms && row.is_ready();
        is_meant.then(|| Target::new(&row.entry))
    }

    /// Returns the addresses of the upstreams of a service.
    pub fn addresses(&self, service: &ServiceName) -> impl Iterator<Item = SocketAddr> {
        let rows = self.rows.iter();
        rows.filter(|row| row.entry.service == *service)
            .map(|row| row.entry.address)
    }

    /// Returns the registration of an upstream, or `None` if it has none.
    #[must_use]
    pub fn entry(&self, id: &UpstreamId) -> Option<&UpstreamEntry> {
        Some(&self.rows[self.find(id).ok()?].entry)
    }

    /// Returns whether an upstream of a version is registered, other than those in `except`.
    #[must_use]
    pub fn has_version(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        except: &[UpstreamId],
    ) -> bool {
        let entries = self.rows.iter().map(|row| &row.entry);
        let mut entries = entries.filter(|entry| !except.contains(&entry.id));
        entries.any(|entry| entry.service == *service && entry.version == *version)
    }

    /// Returns the version that all upstreams of a service run, or `None` if they run
    /// several or there are none.
    #[must_use]
    pub fn single_version(&self, service: &ServiceName) -> Option<SoftwareVersion> {
        let mut rows = self.rows.iter().filter(|row| row.entry.service == *service);
        let first = &rows.next()?.entry.version;
        let is_single = rows.all(|row| row.entry.version == *first);
        is_single.then(|| first.clone())
    }

    /// Records that an upstream had no free slot for a request. The upstream
    /// gets no requests until `until_ms`.
    pub fn record_full(&mut self, target: &Target, until_ms: u64) {
        if let Some(row) = self.incarnation_row(target) {
            row.health.suspend_until(until_ms);
        }
    }

    /// Records the round-trip time measured while a connection was set up.
    pub fn record_round_trip(&mut self, target: &Target, round_trip_ms: f64) {
        if let Some(row) = self.incarnation_row(target) {
            row.round_trip_ms.add(round_trip_ms);
        }
    }

    /// Records how much later than expected an answer began.
    pub fn record_answer_delay(&mut self, target: &Target, delay_ms: f64, now_ms: u64) {
        if let Some(row) = self.incarnation_row(target) {
            row.delays.add(delay_ms, now_ms);
        }
    }

    /// Returns the number of upstreams that accept requests.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        self.rows.iter().filter(|row| row.is_ready()).count()
    }

    /// Returns the expected round-trip time to an upstream, milliseconds.
    pub(crate) fn round_trip_ms(&self, row: &UpstreamRow) -> f64 {
        let domain = &row.entry.failure_domain;
        let default_ms = if *domain == self.locality.failure_domain {
            SAME_DOMAIN_ROUND_TRIP_MS
        } else if self.region_of(domain) == Some(&self.locality.region) {
            SAME_REGION_ROUND_TRIP_MS
        } else {
            OTHER_REGION_ROUND_TRIP_MS
        };
        row.round_trip_ms.value_or(default_ms)
    }

    /// Returns the region of a failure domain, or `None` if it is unknown.
    pub(crate) fn region_of(&self, domain: &FailureDomain) -> Option<&Region> {
        let regions = &self.locality.regions;
        let index = regions
            .binary_search_by(|(name, _)| name.cmp(domain))
            .ok()?;
        Some(&regions[index].1)
    }

    pub(crate) fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.entry.id.cmp(id))
    }

    pub(crate) fn incarnation_row(&mut self, target: &Target) -> Option<&mut UpstreamRow> {
        let index = self.find_incarnation(target)?;
        self.rows.get_mut(index)
    }

    pub(crate) fn find_incarnation(&self, target: &Target) -> Option<usize> {
        let index = self.find(&target.upstream).ok()?;
        let is_same = self.rows[index].entry.started_unix_ms == target.started_unix_ms;
        is_same.then_some(index)
    }

    fn new_row(&self, entry: UpstreamEntry, now_ms: u64) -> UpstreamRow {
        let peer_load = PeerLoad::new(self.peer_notices.notices(), upstream_hash(&entry.id));
        UpstreamRow::new(entry, peer_load, now_ms)
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
