//! Reasons for which requests are refused.

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No upstream of the service can be used.
    NoUpstream,
    /// The path to all upstreams of the service is lost, and no peer is known to have one.
    Unreachable,
    /// The answer is expected to begin too late at every upstream.
    Saturated,
    /// All upstreams that can be used have reached the rate limit that they state.
    RateLimited,
    /// The request, or a part of its prompt, crashes upstreams.
    Quarantined,
    /// No upstream that can be used runs the version that began the stream.
    VersionGone,
    /// It is unknown which version began the stream.
    VersionUnknown,
    /// No upstream has the version of the weights that the request requires.
    WeightsGone,
    /// The customer has used up its quota.
    OverQuota,
    /// The answer is not expected to end before this instance stops.
    Stopping,
}

impl RefusalReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::Unreachable => "unreachable",
            Self::Saturated => "saturated",
            Self::RateLimited => "rate_limited",
            Self::Quarantined => "quarantined",
            Self::VersionGone => "version_gone",
            Self::VersionUnknown => "version_unknown",
            Self::WeightsGone => "weights_gone",
            Self::OverQuota => "over_quota",
            Self::Stopping => "stopping",
        }
    }
}
