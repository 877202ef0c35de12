//! Ejection of failing upstreams, with a way back.

/// Failures in a row that eject an upstream.
const FAILURES_TO_EJECT: u32 = 3;
/// Length of the first ejection, microseconds; doubled each further time.
const FIRST_EJECTION_US: u64 = 1_000_000;
/// Longest ejection, microseconds.
const LONGEST_EJECTION_US: u64 = 32_000_000;

/// Whether an upstream is trusted with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Takes requests; counts the failures in a row.
    Closed {
        /// Failures since the last success.
        failures: u32,
    },
    /// Takes none until the time given, then a single probe.
    Ejected {
        /// End of the ejection, microseconds.
        until_us: u64,
        /// Length of the ejection, microseconds.
        length_us: u64,
    },
    /// One request is under way to find out.
    Probing {
        /// When the probe is given up, microseconds.
        until_us: u64,
        /// Length of the last ejection, microseconds.
        length_us: u64,
    },
}

impl Health {
    /// A trusted upstream.
    pub const fn new() -> Self {
        Self::Closed { failures: 0 }
    }

    /// Whether a request may be sent.
    pub fn admits(self, now_us: u64) -> bool {
        match self {
            Self::Closed { .. } => true,
            Self::Ejected { until_us, .. } | Self::Probing { until_us, .. } => now_us >= until_us,
        }
    }

    /// When a request may be sent, microseconds.
    pub fn admits_at_us(self) -> u64 {
        match self {
            Self::Closed { .. } => 0,
            Self::Ejected { until_us, .. } | Self::Probing { until_us, .. } => until_us,
        }
    }

    /// A request is sent.
    pub fn on_sent(&mut self, now_us: u64) {
        match *self {
            Self::Closed { .. } => {}
            Self::Ejected { length_us, .. } | Self::Probing { length_us, .. } => {
                *self = Self::Probing {
                    until_us: now_us + length_us,
                    length_us,
                };
            }
        }
    }

    /// The upstream answered.
    pub fn on_success(&mut self) {
        *self = Self::new();
    }

    /// The upstream failed; `certain` failures eject at once.
    pub fn on_failure(&mut self, certain: bool, now_us: u64) {
        let length_us = match *self {
            Self::Closed { failures } => {
                let failures = failures + 1;
                if !certain && failures < FAILURES_TO_EJECT {
                    *self = Self::Closed { failures };
                    return;
                }
                FIRST_EJECTION_US
            }
            Self::Ejected { .. } => return,
            Self::Probing { length_us, .. } => (length_us * 2).min(LONGEST_EJECTION_US),
        };
        *self = Self::Ejected {
            until_us: now_us + length_us,
            length_us,
        };
    }
}
