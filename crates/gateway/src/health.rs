//! Circuit breaker for an upstream, driven by the outcomes of the requests of
//! this instance.
//!
//! Load pattern: an upstream crashes, stops answering or fails a share of its
//! requests while it is still registered as ready. After a failure it is
//! ejected for a time that doubles with each further failure. Then it gets one
//! probe request at a time until one succeeds.

use crate::moving_average::MovingAverage;

/// Ejection time after the first failure, milliseconds.
const EJECTION_BASE_MS: u64 = 500;
/// Maximum ejection time, milliseconds.
const EJECTION_MAX_MS: u64 = 8_000;
/// Number of consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 1;

/// Health of one upstream.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    /// End of the ejection after failures.
    ejected_until_ms: u64,
    /// Until when the upstream gets no requests because it reported that it
    /// cannot accept any.
    suspended_until_ms: u64,
    has_probe_in_flight: bool,
    failure_rate: MovingAverage,
}

impl Health {
    /// Records that a request succeeded.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.has_probe_in_flight = false;
        self.ejected_until_ms = 0;
        self.failure_rate.add(0.0);
    }

    /// Records that a request failed. Returns until when the upstream is ejected, if it is.
    pub(crate) fn record_failure(&mut self, now_ms: u64) -> Option<u64> {
        self.consecutive_failures += 1;
        self.has_probe_in_flight = false;
        self.failure_rate.add(1.0);
        let doublings = self.consecutive_failures.checked_sub(FAILURES_TO_EJECT)?;
        let ejection_ms = (EJECTION_BASE_MS << doublings.min(8)).min(EJECTION_MAX_MS);
        self.ejected_until_ms = now_ms + ejection_ms;
        Some(self.ejected_until_ms)
    }

    /// Suspends the upstream until `until_ms`, or until a later time that was
    /// set before.
    pub(crate) fn suspend_until(&mut self, until_ms: u64) {
        self.suspended_until_ms = self.suspended_until_ms.max(until_ms);
    }

    /// Records that the upstream could not be connected to. When it is tried again is decided
    /// by [`crate::connectivity`].
    pub(crate) fn record_unreachable(&mut self) {
        self.has_probe_in_flight = false;
        self.failure_rate.add(1.0);
    }

    /// Forgets failures, because they were those of a path that is back.
    pub(crate) fn forgive(&mut self) {
        self.consecutive_failures = 0;
        self.has_probe_in_flight = false;
        self.ejected_until_ms = 0;
    }

    /// Records that a request was sent. `is_unproven` is set if the last connection to the
    /// upstream failed.
    pub(crate) fn record_sent(&mut self, is_unproven: bool) {
        if self.consecutive_failures > 0 || is_unproven {
            self.has_probe_in_flight = true;
        }
    }

    /// Records that a request ended with an outcome that says nothing about the
    /// health of the upstream.
    pub(crate) fn record_inconclusive_end(&mut self) {
        self.has_probe_in_flight = false;
    }

    /// Returns whether requests may be sent to the upstream.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.ejected_until_ms && self.is_usable_as_last_resort(now_ms)
    }

    /// Returns whether requests may be sent to the upstream if no upstream is
    /// usable. An ejected upstream may then be used.
    pub(crate) fn is_usable_as_last_resort(&self, now_ms: u64) -> bool {
        now_ms >= self.suspended_until_ms && !self.has_probe_in_flight
    }

    /// Returns the share of recent requests that failed, between 0 and 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate.value_or(0.0)
    }
}
