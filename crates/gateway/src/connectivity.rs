//! Which upstreams this instance can connect to.
//!
//! Load pattern: the network between some instances and some or all upstreams fails for
//! seconds, while callers, peers and the store still reach these instances. To such an
//! instance, upstreams that serve its peers well look as if they had crashed. It must
//! learn within an attempt or two that the path is lost, without trying each upstream with
//! a request of a caller, and it must notice that the path is back without a flood of
//! requests that try it.
//!
//! Only opening a connection says something about the path: an upstream that is slow, full
//! or faulty still accepts connections, and a connection that is open may outlive a path.

use model::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{
    UpstreamTable, batch_plan::service_hash, target::Target, upstream_row::UpstreamRow,
    upstream_table::round_ms,
};

/// Connect time-out as a multiple of the round-trip time.
const CONNECT_ROUND_TRIPS: f64 = 3.0;
/// Time added to the connect time-out, milliseconds.
const CONNECT_SLACK_MS: u64 = 40;
/// Maximum connect time-out after time-outs, milliseconds.
const CONNECT_TIMEOUT_MAX_MS: u64 = 1_000;
/// Maximum number of times that the connect time-out is doubled.
const DOUBLINGS_MAX: u32 = 8;
/// Number of upstreams of a service that must be lost in a row for the path to all of them to
/// count as lost. A service with fewer upstreams needs all of them.
const FAILURES_OF_SERVICE: usize = 3;
/// Time within which these losses count, milliseconds.
const FAILURES_WINDOW_MS: u64 = 2_000;
/// Time after which a lost path to an upstream is probed, milliseconds. It doubles with each
/// failed probe of the upstream. While the path to a service is lost, one of its upstreams is
/// probed at this interval.
const PROBE_PAUSE_MIN_MS: u64 = 250;
/// Maximum time between two probes of an upstream, milliseconds.
const PROBE_PAUSE_MAX_MS: u64 = 2_000;
/// Maximum number of probes at a time, so that neither the loss of a path nor its return
/// causes a flood of connections.
const PROBES_MAX: usize = 8;
/// Maximum number of upstreams that a notice names. An instance that cannot connect to more
/// of a service names the service.
const NAMED_UPSTREAMS_MAX: usize = 64;

/// Whether one upstream can be connected to, by the last try of this instance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Connectivity {
    /// When the first try failed after which none succeeded.
    lost_at_ms: Option<u64>,
    /// Number of time-outs since a connection was opened.
    timeouts: u32,
    /// Number of failed tries since a connection was opened.
    failures: u32,
    is_being_probed: bool,
    next_probe_ms: u64,
    /// Whether a peer has opened a connection since, so that the upstream is in service.
    is_confirmed: bool,
}

/// Whether the upstreams of a service can be connected to.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceConnectivity {
    /// Upstreams that were lost lately, since a connection was last opened to any upstream of
    /// the service.
    failed: Vec<FailedUpstream>,
    /// Whether so many failed that the path to all of them counts as lost.
    is_lost: bool,
    /// When an upstream last answered or accepted a connection.
    heard_at_ms: u64,
    /// While the path is lost, when one of the upstreams is to be probed, whichever it is.
    next_probe_ms: u64,
}

/// An upstream that has just been lost.
#[derive(Debug, Clone, Copy)]
struct FailedUpstream {
    hash: u64,
    failed_at_ms: u64,
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// There was no answer in time.
    TimedOut,
    /// The connection was refused or reset.
    Refused,
}

/// What a failed connection changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PathLoss {
    /// Whether the upstream could be connected to until now.
    pub is_upstream_news: bool,
    /// Whether the path to the service as a whole now counts as lost.
    pub is_service_news: bool,
    /// Other upstreams of the service to probe at once, to learn whether the path to them is
    /// lost as well. Each is to be reported by [`UpstreamTable::record_connected`] or
    /// [`UpstreamTable::record_connect_failure`].
    pub probes: Vec<Target>,
}

/// The upstreams of a service that take requests, as this instance sees them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceState {
    /// Number of upstreams.
    pub ready: usize,
    /// Number of those to which the path counts as lost.
    pub unreachable: usize,
    /// Requests of all instances at these upstreams.
    pub load: u32,
    /// Slots of these upstreams.
    pub slots: u32,
}

/// What an instance tells its peers about its paths to upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathNotice {
    /// Number of attempts that the instance makes for peers.
    pub proxied: u32,
    /// Hashes of the services to whose upstreams the instance has no path, sorted.
    pub services: Vec<u64>,
    /// Hashes of further upstreams to which the instance has no path, sorted.
    pub upstreams: Vec<u64>,
}

impl Connectivity {
    pub(crate) fn is_lost(self) -> bool {
        self.lost_at_ms.is_some()
    }

    /// Returns the connect time-out for an upstream to which it is `first_ms` after a
    /// success, in milliseconds. It doubles with each time-out, in case the round trip is
    /// longer than expected.
    pub(crate) fn connect_timeout_ms(self, first_ms: u64) -> u64 {
        let doubled_ms = first_ms << self.timeouts.min(DOUBLINGS_MAX);
        doubled_ms.min(CONNECT_TIMEOUT_MAX_MS.max(first_ms))
    }

    fn record_failure(&mut self, failure: ConnectFailure, now_ms: u64) {
        self.lost_at_ms.get_or_insert(now_ms);
        self.is_being_probed = false;
        if failure == ConnectFailure::TimedOut {
            self.timeouts += 1;
        }
        let pause_ms = PROBE_PAUSE_MIN_MS << self.failures.min(DOUBLINGS_MAX);
        self.failures += 1;
        self.next_probe_ms = now_ms + pause_ms.min(PROBE_PAUSE_MAX_MS);
    }
}

impl PathNotice {
    /// Returns whether the sender has no path to an upstream.
    pub(crate) fn has_lost(&self, row: &UpstreamRow) -> bool {
        let has_lost_service = !self.services.is_empty()
            && self
                .services
                .binary_search(&service_hash(&row.entry.service))
                .is_ok();
        has_lost_service || self.upstreams.binary_search(&row.hash).is_ok()
    }
}

impl UpstreamTable {
    /// Records that a connection to an upstream was opened. Returns the time for which none
    /// could be opened before, milliseconds, if the last try had failed.
    pub fn record_connected(&mut self, target: &Target, now_ms: u64) -> Option<u64> {
        let row = self.incarnation_row(target)?;
        let lost_at_ms = row.connectivity.lost_at_ms;
        row.connectivity = Connectivity::default();
        if lost_at_ms.is_some() {
            row.health.forgive();
        }
        let connectivity = &mut self.service_row(&target.service).connectivity;
        connectivity.heard_at_ms = now_ms;
        connectivity.failed.clear();
        connectivity.is_lost = false;
        let lost_at_ms = lost_at_ms?;
        self.make_probes_due(&target.service, now_ms);
        Some(now_ms.saturating_sub(lost_at_ms))
    }

    /// Records that a peer has opened a connection to an upstream to which the path of this
    /// instance is lost.
    pub fn record_reached_by_peer(&mut self, target: &Target) {
        if let Some(row) = self.incarnation_row(target) {
            row.connectivity.is_confirmed = row.connectivity.is_lost();
        }
    }

    /// Records that an upstream answered on a connection that was open already.
    pub fn record_heard(&mut self, service: &ServiceName, now_ms: u64) {
        self.service_row(service).connectivity.heard_at_ms = now_ms;
    }

    /// Records that a connection to an upstream, begun at `started_ms`, could not be opened.
    pub fn record_connect_failure(
        &mut self,
        target: &Target,
        failure: ConnectFailure,
        started_ms: u64,
        now_ms: u64,
    ) -> PathLoss {
        let Some(row) = self.incarnation_row(target) else {
            return PathLoss::default();
        };
        let is_upstream_news = !row.connectivity.is_lost();
        row.connectivity.record_failure(failure, now_ms);
        row.health.record_unreachable();
        let hash = row.hash;
        // An upstream that has crashed goes on failing, which says nothing about the path.
        let is_service_news = is_upstream_news
            && self.record_loss_in_service(
                &target.service,
                FailedUpstream {
                    hash,
                    failed_at_ms: now_ms,
                },
            );
        let connectivity = &self.service_row(&target.service).connectivity;
        let is_suspect = !connectivity.is_lost && connectivity.heard_at_ms < started_ms;
        PathLoss {
            is_upstream_news,
            is_service_news,
            probes: if is_upstream_news && is_suspect {
                self.begin_probes_of_others(&target.service)
            } else {
                Vec::new()
            },
        }
    }

    /// Returns whether an upstream of a service has answered or accepted a connection since
    /// `since_ms`.
    #[must_use]
    pub fn was_heard_since(&self, service: &ServiceName, since_ms: u64) -> bool {
        self.known_service(service)
            .is_some_and(|service| service.connectivity.heard_at_ms >= since_ms)
    }

    /// Returns the connect time-out for an upstream, milliseconds.
    #[must_use]
    pub fn connect_timeout_ms(&self, target: &Target) -> u64 {
        let Ok(index) = self.find(&target.upstream) else {
            return CONNECT_TIMEOUT_MAX_MS;
        };
        let row = &self.rows[index];
        let first_ms = round_ms(self.round_trip_ms(row) * CONNECT_ROUND_TRIPS) + CONNECT_SLACK_MS;
        row.connectivity.connect_timeout_ms(first_ms)
    }

    /// Returns whether the path to an upstream counts as lost.
    #[must_use]
    pub fn has_lost_path(&self, target: &Target) -> bool {
        self.known_incarnation(target)
            .is_some_and(|row| self.is_path_lost(row))
    }

    /// Returns lost upstreams that are to be probed now. Each is to be reported by
    /// [`Self::record_connected`] or [`Self::record_connect_failure`].
    pub fn begin_due_probes(&mut self, now_ms: u64) -> Vec<Target> {
        let mut due = self.due_probes_of_lost_services(now_ms);
        due.extend((0..self.rows.len()).filter(|index| {
            let row = &self.rows[*index];
            row.connectivity.is_lost() && row.connectivity.next_probe_ms <= now_ms
        }));
        let being_probed = self
            .rows
            .iter()
            .filter(|row| row.connectivity.is_being_probed);
        let free = PROBES_MAX.saturating_sub(being_probed.count());
        let mut probes = Vec::new();
        for index in due {
            let row = &mut self.rows[index];
            if probes.len() < free && !row.connectivity.is_being_probed {
                probes.push(row.begin_probe());
            }
        }
        probes
    }

    /// Returns whether the path to any upstream counts as lost.
    #[must_use]
    pub fn has_lost_paths(&self) -> bool {
        let mut services = self.services.iter();
        services.any(|service| service.connectivity.is_lost)
            || self.rows.iter().any(|row| row.connectivity.is_lost())
    }

    /// Returns the state of a service.
    #[must_use]
    pub fn service_state(&self, service: &ServiceName) -> ServiceState {
        let mut state = ServiceState::default();
        let rows = self.rows.iter().filter(|row| row.entry.service == *service);
        for row in rows.filter(|row| row.is_ready()) {
            state.ready += 1;
            state.unreachable += usize::from(self.is_path_lost(row));
            state.load += row.load();
            state.slots += row.entry.slots;
        }
        state
    }

    /// Returns the number of upstreams to which the path counts as lost.
    #[must_use]
    pub fn unreachable_count(&self) -> usize {
        let rows = self.rows.iter();
        rows.filter(|row| self.is_path_lost(row)).count()
    }

    /// Returns the services and upstreams to which this instance has no path, for its peers.
    /// `proxied` is the number of attempts that it makes for them. Returns `None` if there is
    /// nothing to tell.
    #[must_use]
    pub fn path_notice(&self, proxied: u32) -> Option<PathNotice> {
        if proxied == 0 && !self.has_lost_paths() {
            return None;
        }
        let mut notice = PathNotice {
            proxied,
            ..PathNotice::default()
        };
        for service in &self.services {
            let rows = self
                .rows
                .iter()
                .filter(|row| row.entry.service == service.service);
            let lost = rows.filter(|row| row.connectivity.is_lost());
            let upstreams: Vec<_> = lost.map(|row| row.hash).collect();
            if service.connectivity.is_lost || upstreams.len() > NAMED_UPSTREAMS_MAX {
                notice.services.push(service_hash(&service.service));
            } else {
                notice.upstreams.extend(upstreams);
            }
        }
        notice.services.sort_unstable();
        notice.upstreams.sort_unstable();
        Some(notice)
    }

    /// Returns whether the path to an upstream counts as lost: it cannot be connected to, or
    /// none of the service can.
    pub(crate) fn is_path_lost(&self, row: &UpstreamRow) -> bool {
        row.connectivity.is_lost() || self.is_service_lost(&row.entry.service)
    }

    /// Returns whether a peer may make attempts at an upstream to which the path is lost. If
    /// only this upstream is lost, it has probably crashed, unless a peer has confirmed that
    /// it has not.
    pub(crate) fn allows_proxies(&self, row: &UpstreamRow) -> bool {
        row.connectivity.is_confirmed || self.is_service_lost(&row.entry.service)
    }

    /// Returns whether the path to a service as a whole counts as lost.
    pub(crate) fn is_service_lost(&self, service: &ServiceName) -> bool {
        self.known_service(service)
            .is_some_and(|service| service.connectivity.is_lost)
    }

    /// Records that an upstream has been lost. Returns whether the path to the service as a
    /// whole has just been lost.
    fn record_loss_in_service(&mut self, service: &ServiceName, lost: FailedUpstream) -> bool {
        let rows = self.rows.iter().filter(|row| row.entry.service == *service);
        let is_any_left = rows
            .filter(|row| row.is_ready())
            .any(|row| !row.connectivity.is_lost());
        let connectivity = &mut self.service_row(service).connectivity;
        connectivity.failed.retain(|failed| {
            failed.hash != lost.hash && lost.failed_at_ms < failed.failed_at_ms + FAILURES_WINDOW_MS
        });
        connectivity.failed.push(lost);
        let was_lost = connectivity.is_lost;
        connectivity.is_lost |= !is_any_left || connectivity.failed.len() >= FAILURES_OF_SERVICE;
        connectivity.is_lost && !was_lost
    }

    /// Begins to probe as many upstreams that have not failed as are needed to tell whether
    /// the path to all is lost.
    fn begin_probes_of_others(&mut self, service: &ServiceName) -> Vec<Target> {
        let failed = self.service_row(service).connectivity.failed.len();
        let others = self.rows.iter_mut().filter(|row| {
            row.entry.service == *service
                && row.is_ready()
                && !row.connectivity.is_lost()
                && !row.connectivity.is_being_probed
        });
        let missing = FAILURES_OF_SERVICE.saturating_sub(failed);
        others.take(missing).map(UpstreamRow::begin_probe).collect()
    }

    /// Returns an upstream of each lost service whose next probe is due, as its index in the
    /// table: the one that was not tried for longest, which may be new. A service without
    /// upstreams is no longer lost.
    fn due_probes_of_lost_services(&mut self, now_ms: u64) -> Vec<usize> {
        let mut due = Vec::new();
        for service in &mut self.services {
            let connectivity = &mut service.connectivity;
            if !connectivity.is_lost || now_ms < connectivity.next_probe_ms {
                continue;
            }
            let rows = self.rows.iter().enumerate();
            let ready =
                rows.filter(|(_, row)| row.entry.service == service.service && row.is_ready());
            match ready.min_by_key(|(_, row)| row.connectivity.next_probe_ms) {
                Some((index, _)) => {
                    connectivity.next_probe_ms = now_ms + PROBE_PAUSE_MIN_MS;
                    due.push(index);
                }
                None => *connectivity = ServiceConnectivity::default(),
            }
        }
        due
    }

    /// Makes the probes of all lost upstreams of a service due, because the path to one of
    /// them is back.
    fn make_probes_due(&mut self, service: &ServiceName, now_ms: u64) {
        for row in &mut self.rows {
            if row.entry.service == *service {
                row.connectivity.failures = 0;
                row.connectivity.next_probe_ms = row.connectivity.next_probe_ms.min(now_ms);
            }
        }
    }
}

impl UpstreamRow {
    fn begin_probe(&mut self) -> Target {
        self.connectivity.is_being_probed = true;
        Target::new(&self.entry)
    }
}
