//! Why a caller gets no answer of an upstream, and what it is told instead.

use gateway::{FinalAnswer, RefusalReason};
use http::{Response, StatusCode};

use crate::answer::{self, AnswerBody};

/// Retry-after hint for a request that no upstream ran, milliseconds.
pub(crate) const NOT_RUN_RETRY_AFTER_MS: u64 = 300;

/// Why the caller gets no answer of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// The request was not placed at any upstream, so nothing ran.
    Refused {
        reason: RefusalReason,
        retry_after_ms: u64,
    },
    /// All attempts failed.
    Failed(FinalAnswer),
}

impl NoAnswer {
    /// Returns the name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Refused { reason, .. } => reason.as_str(),
            Self::Failed(FinalAnswer::NotRun) => "not_run",
            Self::Failed(FinalAnswer::Unknown) => "unknown",
            Self::Failed(FinalAnswer::TimedOut) => "timed_out",
        }
    }

    /// Returns the answer for the caller.
    pub(crate) fn response(self) -> Response<AnswerBody> {
        match self {
            Self::Refused {
                reason: RefusalReason::Quarantined,
                retry_after_ms,
            } => answer::service_unavailable(
                retry_after_ms,
                "the request or a part of its prompt crashes upstreams",
            ),
            Self::Refused {
                reason: RefusalReason::VersionGone | RefusalReason::VersionUnknown,
                retry_after_ms,
            } => answer::service_unavailable(
                retry_after_ms,
                "no upstream is known to run the version that began the stream",
            ),
            Self::Refused {
                reason: RefusalReason::WeightsGone,
                retry_after_ms,
            } => answer::service_unavailable(
                retry_after_ms,
                "no upstream has the version of the weights that the request requires",
            ),
            Self::Refused {
                reason: RefusalReason::OverQuota,
                retry_after_ms,
            } => answer::too_many_requests(retry_after_ms, "the quota is used up"),
            Self::Refused {
                reason: RefusalReason::Stopping,
                retry_after_ms,
            } => answer::service_unavailable(retry_after_ms, "this instance is stopping"),
            Self::Refused { retry_after_ms, .. } => {
                answer::service_unavailable(retry_after_ms, "no upstream can answer in time")
            }
            Self::Failed(FinalAnswer::NotRun) => {
                answer::service_unavailable(NOT_RUN_RETRY_AFTER_MS, "no upstream ran the request")
            }
            Self::Failed(FinalAnswer::Unknown) => {
                answer::text(StatusCode::BAD_GATEWAY, "the upstream's answer was lost")
            }
            Self::Failed(FinalAnswer::TimedOut) => {
                answer::text(StatusCode::GATEWAY_TIMEOUT, "no answer before the deadline")
            }
        }
    }
}
