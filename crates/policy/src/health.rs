//! Outlier ejection: a circuit breaker per upstream that stops requests to a
//! failing upstream and readmits it after a successful probe.

/// Number of consecutive failures that ejects an upstream.
const FAILURE_THRESHOLD: u32 = 3;
/// Duration of the first ejection, microseconds; it doubles with each failed
/// probe.
const INITIAL_EJECTION_US: u64 = 1_000_000;
/// Longest duration of an ejection, microseconds.
const MAX_EJECTION_US: u64 = 32_000_000;

/// State of the circuit breaker of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Requests are admitted.
    Healthy {
        /// Consecutive failures since the last success.
        failures: u32,
    },
    /// No request is admitted until `until_us`, then a single probe.
    Ejected {
        /// End of the ejection, microseconds.
        until_us: u64,
        /// Duration of the ejection, microseconds.
        duration_us: u64,
    },
    /// One request is in flight as a probe. No other request is admitted until
    /// the probe ends or counts as lost.
    Probing {
        /// Time at which the probe counts as lost and another request is
        /// admitted, microseconds.
        until_us: u64,
        /// Duration of the last ejection, microseconds.
        duration_us: u64,
    },
}

impl Health {
    /// Returns the state of an upstream without failures.
    pub const fn new() -> Self {
        Self::Healthy { failures: 0 }
    }

    /// Returns whether a request may be sent now.
    pub fn admits_request(self, now_us: u64) -> bool {
        match self {
            Self::Healthy { .. } => true,
            Self::Ejected { until_us, .. } | Self::Probing { until_us, .. } => now_us >= until_us,
        }
    }

    /// Returns the time from which a request may be sent, microseconds.
    pub fn admits_from_us(self) -> u64 {
        match self {
            Self::Healthy { .. } => 0,
            Self::Ejected { until_us, .. } | Self::Probing { until_us, .. } => until_us,
        }
    }

    /// Records that a request was sent; unless the upstream is healthy, the
    /// request is the probe.
    pub fn on_sent(&mut self, now_us: u64) {
        match *self {
            Self::Healthy { .. } => {}
            Self::Ejected { duration_us, .. } | Self::Probing { duration_us, .. } => {
                *self = Self::Probing {
                    until_us: now_us + duration_us,
                    duration_us,
                };
            }
        }
    }

    /// Records that the upstream answered.
    pub fn on_success(&mut self) {
        *self = Self::new();
    }

    /// Records that the upstream failed. If `ejects_at_once` is true, this failure
    /// ejects a healthy upstream even if the failure threshold is not reached.
    pub fn on_failure(&mut self, ejects_at_once: bool, now_us: u64) {
        let duration_us = match *self {
            Self::Healthy { failures } => {
                let failures = failures + 1;
                if !ejects_at_once && failures < FAILURE_THRESHOLD {
                    *self = Self::Healthy { failures };
                    return;
                }
                INITIAL_EJECTION_US
            }
            Self::Ejected { .. } => return,
            Self::Probing { duration_us, .. } => (duration_us * 2).min(MAX_EJECTION_US),
        };
        *self = Self::Ejected {
            until_us: now_us + duration_us,
            duration_us,
        };
    }
}
