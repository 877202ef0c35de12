//! Upstreams that state a rate limit, as part of the table of upstreams: who issues their
//! tokens, and who asks for them.

use std::cmp::Reverse;

use model::ServiceName;
use rand::RngExt;

use crate::{
    UpstreamTable,
    batch_plan::service_hash,
    peers::{election_rank, incarnation_hash},
    rate_limits::{DemandRank, LimitNotice, LimitRole},
    target::Target,
    upstream_row::UpstreamRow,
    upstream_table::as_f64,
};

/// Time after the last request for a service in which its limited upstreams are asked for
/// tokens, milliseconds; and if all its upstreams are limited, so that a request finds a
/// token at once.
const DEMAND_MS: u64 = 1_000;
const DEMAND_WITHOUT_CHOICE_MS: u64 = 5_000;
/// Maximum number of upstreams that an instance asks for tokens at a time.
const DEMANDS_MAX: usize = 16;
/// Range of the retry delay if all upstreams are limited, milliseconds.
const RETRY_MIN_MS: f64 = 100.0;
const RETRY_MAX_MS: f64 = 5_000.0;

impl UpstreamTable {
    /// Records the rate limit that an upstream states in an answer, in requests per second
    /// from all instances together; `None` if it states none. Returns whether the limit has
    /// changed.
    pub fn record_limit(
        &mut self,
        target: &Target,
        requests_per_s: Option<f64>,
        now_ms: u64,
    ) -> bool {
        let incarnation = incarnation_hash(&target.upstream, target.started_unix_ms);
        self.limits
            .record_statement(incarnation, requests_per_s, now_ms)
    }

    /// Returns the number of upstreams that state a rate limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.limits.limited().count()
    }

    /// Returns whether any upstream states a rate limit, or did lately.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Asks for tokens, issues those that this instance is to issue, and lets old ones
    /// expire. `known_instances` is the number of registered instances, this one included.
    /// Returns whether peers should be told.
    pub fn update_limits(&mut self, known_instances: usize, now_ms: u64) -> bool {
        let mut roles = self.limit_roles(known_instances, now_ms);
        roles.sort_by_key(|role| role.rank);
        let demands = roles.iter_mut().filter(|role| role.has_demand);
        for role in demands.skip(DEMANDS_MAX) {
            role.has_demand = false;
        }
        self.limits.update(&roles, now_ms)
    }

    /// Returns what peers should know about rate limits, or `None` if there is nothing.
    #[must_use]
    pub fn limit_notice(&self, now_ms: u64) -> Option<LimitNotice> {
        self.limits.notice(now_ms)
    }

    /// Adds what a peer says about rate limits. Returns whether this instance got tokens.
    pub fn receive_limits(&mut self, notice: &LimitNotice, now_ms: u64) -> bool {
        self.limits.receive(notice, now_ms)
    }

    /// Returns whether a request may be sent to an upstream without exceeding its limit.
    pub(crate) fn is_within_limit(&self, row: &UpstreamRow, now_ms: u64) -> bool {
        self.limits.may_send(row.incarnation, now_ms)
    }

    /// Returns the retry delay, with jitter, if all upstreams of a service that could be
    /// used are limited; else `None`.
    pub(crate) fn limited_retry_ms(&mut self, service: &ServiceName, now_ms: u64) -> Option<f64> {
        let usable = self.usable_rows(service, now_ms);
        let limits: Vec<_> = usable
            .filter_map(|row| self.limits.limit_per_s(row.incarnation))
            .collect();
        let total_per_s: f64 = limits.iter().sum();
        let instances = as_f64(1 + self.peer_notices.notices().count() as u64);
        let jitter = self.rng.random_range(1.0..3.0);
        let retry_ms = jitter * instances * 1_000.0 / total_per_s.max(f64::MIN_POSITIVE);
        (!limits.is_empty()).then(|| retry_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS))
    }

    /// Returns what this instance does about each limited upstream.
    fn limit_roles(&self, known_instances: usize, now_ms: u64) -> Vec<LimitRole> {
        let heard_instances = 1 + self.peer_notices.notices().count();
        // Instances that are not heard may have an issuer of their own.
        let share =
            as_f64(heard_instances as u64) / as_f64(known_instances.max(heard_instances) as u64);
        let is_limited = |row: &&UpstreamRow| self.limits.limit_per_s(row.incarnation).is_some();
        let limited: Vec<_> = self.rows.iter().filter(is_limited).collect();
        let mut wanted_services: Vec<_> = limited.iter().map(|row| &row.entry.service).collect();
        wanted_services.sort_unstable();
        wanted_services.dedup();
        wanted_services.retain(|service| self.has_demand(service, now_ms));
        let is_wanted =
            |row: &UpstreamRow| wanted_services.binary_search(&&row.entry.service).is_ok();
        limited
            .into_iter()
            .map(|row| LimitRole {
                incarnation: row.incarnation,
                rank: DemandRank {
                    is_in_other_region: !self.is_in_own_region(row),
                    own_order: election_rank(&self.locality.instance, row.incarnation),
                },
                has_demand: row.is_ready() && is_wanted(row),
                issued_share: self.is_issuer(row).then_some(share),
            })
            .collect()
    }

    /// Returns whether this instance has requests for the limited upstreams of a service.
    fn has_demand(&self, service: &ServiceName, now_ms: u64) -> bool {
        let hash = service_hash(service);
        let mut queue = self.batch_queue.iter();
        if queue.any(|demand| demand.service == hash) {
            return true;
        }
        let has_choice = self
            .usable_rows(service, now_ms)
            .any(|other| self.limits.limit_per_s(other.incarnation).is_none());
        let demand_ms = if has_choice {
            DEMAND_MS
        } else {
            DEMAND_WITHOUT_CHOICE_MS
        };
        self.last_wanted_ms(service)
            .is_some_and(|wanted_ms| now_ms < wanted_ms + demand_ms)
    }

    fn usable_rows(
        &self,
        service: &ServiceName,
        now_ms: u64,
    ) -> impl Iterator<Item = &UpstreamRow> {
        let rows = self.rows.iter();
        rows.filter(move |row| {
            row.entry.service == *service && row.is_ready() && row.is_usable(now_ms)
        })
    }

    /// Returns whether this instance issues the tokens of an upstream: it is elected among
    /// the instances in the region of the upstream, or if there are none, among all.
    fn is_issuer(&self, row: &UpstreamRow) -> bool {
        let region = self.region_of(&row.entry.failure_domain);
        let peers = self.peer_notices.notices();
        let peers = peers.map(|notice| (&notice.instance, &notice.region));
        let own = (&self.locality.instance, &self.locality.region);
        let issuer = peers
            .chain([own])
            .min_by_key(|(instance, instance_region)| {
                let is_elsewhere = Some(*instance_region) != region;
                (
                    is_elsewhere,
                    Reverse(election_rank(instance, row.incarnation)),
                )
            });
        issuer.is_some_and(|(instance, _)| *instance == self.locality.instance)
    }
}
