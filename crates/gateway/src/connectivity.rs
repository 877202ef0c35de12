//! Which upstreams this instance can connect to.
//!
//! Load pattern: the network between some instances and some or all upstreams fails for
//! seconds, while callers, peers and the store still reach these instances. To such an
//! instance, upstreams that serve its peers well look as if they had crashed.

use model::ServiceName;

use crate::{UpstreamTable, placement::Target};

/// Maximum connect time-out after time-outs, milliseconds.
const CONNECT_TIMEOUT_MAX_MS: u64 = 1_000;
/// Maximum number of times that the connect time-out is doubled.
const DOUBLINGS_MAX: u32 = 8;

/// Whether one upstream can be connected to, by the last try of this instance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Connectivity {
    /// When the first try failed after which none succeeded.
    lost_at_ms: Option<u64>,
    /// Number of time-outs since a connection was opened.
    timeouts: u32,
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// There was no answer in time.
    TimedOut,
    /// The connection was refused or reset.
    Refused,
}

/// The upstreams of a service that take requests, as this instance sees them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceState {
    /// Number of upstreams.
    pub ready: usize,
    /// Number of those that this instance cannot connect to.
    pub unreachable: usize,
    /// Requests of all instances at these upstreams.
    pub load: u32,
    /// Slots of these upstreams.
    pub slots: u32,
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
}

impl UpstreamTable {
    /// Records that a connection to an upstream was opened. Returns the time for which none
    /// could be opened before, milliseconds, if the last try had failed.
    pub fn record_connected(&mut self, target: &Target, now_ms: u64) -> Option<u64> {
        let row = self.incarnation_row(target)?;
        row.connectivity.timeouts = 0;
        let lost_at_ms = row.connectivity.lost_at_ms.take()?;
        Some(now_ms.saturating_sub(lost_at_ms))
    }

    /// Records that a connection to an upstream could not be opened. Returns whether the
    /// last try before had not failed.
    pub fn record_connect_failure(
        &mut self,
        target: &Target,
        failure: ConnectFailure,
        now_ms: u64,
    ) -> bool {
        let Some(row) = self.incarnation_row(target) else {
            return false;
        };
        if failure == ConnectFailure::TimedOut {
            row.connectivity.timeouts += 1;
        }
        let is_news = !row.connectivity.is_lost();
        row.connectivity.lost_at_ms.get_or_insert(now_ms);
        is_news
    }

    /// Returns the state of a service.
    #[must_use]
    pub fn service_state(&self, service: &ServiceName) -> ServiceState {
        let mut state = ServiceState::default();
        let rows = self.rows.iter().filter(|row| row.entry.service == *service);
        for row in rows.filter(|row| row.is_ready()) {
            state.ready += 1;
            state.unreachable += usize::from(row.connectivity.is_lost());
            state.load += row.load();
            state.slots += row.entry.slots;
        }
        state
    }

    /// Returns the number of upstreams that this instance cannot connect to.
    #[must_use]
    pub fn unreachable_count(&self) -> usize {
        let rows = self.rows.iter();
        rows.filter(|row| row.connectivity.is_lost()).count()
    }
}
