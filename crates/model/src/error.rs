//! The closed list of error kinds and the table from kind to answer.

use serde::{Deserialize, Serialize};

/// Everything that can go wrong for a caller, an operator or a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ErrorKind {
    /// The request is malformed.
    InvalidRequest,
    /// The request body exceeds the limit.
    BodyTooLarge,
    /// No API key was sent.
    MissingApiKey,
    /// The named model is not served here.
    UnknownModel,
    /// The named class does not exist.
    UnknownClass,
    /// The named service does not exist.
    UnknownService,
    /// The named file, job or path does not exist.
    NotFound,
    /// The method is not allowed on this path.
    MethodNotAllowed,
    /// The idempotency key was used with another content.
    IdempotencyConflict,
    /// The configuration changed since the version the operator replaced.
    ConfigConflict,
    /// The customer exceeded the limit of the class.
    CustomerLimit,
    /// The target of the class cannot be met now.
    TargetUnreachable,
    /// No live upstream serves the model or service.
    NoUpstream,
    /// The upstream could not be reached; nothing was sent.
    ConnectRefused,
    /// The upstream refused the request before running it.
    UpstreamRefused,
    /// The upstream is leaving and takes no new work.
    UpstreamLeaving,
    /// The upstream ran the request and reported a failure.
    UpstreamFailed,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The stream ended before its explicit end, after tokens were delivered.
    StreamCut,
    /// The deadline passed after the request was sent.
    DeadlineExceeded,
    /// The deadline passed before the request was sent.
    DeadlineBeforeStart,
    /// Whether an earlier call with the same key ran is not known.
    OutcomeUnknown,
    /// The platform's table or object store cannot be reached; nothing ran.
    PlatformUnavailable,
    /// A write to the platform may or may not have taken effect; a resend with
    /// the same idempotency key finds out.
    PlatformUncertain,
    /// This process is shutting down.
    Stopping,
    /// This process has no configuration yet.
    NotReady,
    /// The caller cancelled.
    Cancelled,
    /// A peer speaks another protocol version.
    PeerVersion,
    /// A defect of this program.
    Internal,
}

/// Whether the request ran at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ran {
    /// No byte of it can have reached an upstream, or the upstream said so.
    No,
    /// It may have run.
    Unknown,
    /// It ran, at least in part.
    Yes,
}

/// When a caller should come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Repeating the same request does not help.
    Never,
    /// After this many seconds, unless the refusal computed a better time.
    AfterS(u32),
}

/// What a caller is told about an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Stable code in the error body.
    pub code: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back.
    pub retry: RetryAdvice,
}

impl ErrorKind {
    /// Every kind, in declaration order.
    pub const ALL: [Self; 29] = [
        Self::InvalidRequest,
        Self::BodyTooLarge,
        Self::MissingApiKey,
        Self::UnknownModel,
        Self::UnknownClass,
        Self::UnknownService,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::IdempotencyConflict,
        Self::ConfigConflict,
        Self::CustomerLimit,
        Self::TargetUnreachable,
        Self::NoUpstream,
        Self::ConnectRefused,
        Self::UpstreamRefused,
        Self::UpstreamLeaving,
        Self::UpstreamFailed,
        Self::ConnectionLost,
        Self::StreamCut,
        Self::DeadlineExceeded,
        Self::DeadlineBeforeStart,
        Self::OutcomeUnknown,
        Self::PlatformUnavailable,
        Self::PlatformUncertain,
        Self::Stopping,
        Self::NotReady,
        Self::Cancelled,
        Self::PeerVersion,
        Self::Internal,
    ];

    /// The row of the answer table for this kind.
    #[must_use]
    pub const fn answer(self) -> Answer {
        use RetryAdvice::{AfterS, Never};
        match self {
            Self::InvalidRequest => row(400, "invalid_request", Ran::No, Never),
            Self::BodyTooLarge => row(413, "body_too_large", Ran::No, Never),
            Self::MissingApiKey => row(401, "missing_api_key", Ran::No, Never),
            Self::UnknownModel => row(404, "model_not_found", Ran::No, Never),
            Self::UnknownClass => row(400, "class_not_found", Ran::No, Never),
            Self::UnknownService => row(404, "service_not_found", Ran::No, Never),
            Self::NotFound => row(404, "not_found", Ran::No, Never),
            Self::MethodNotAllowed => row(405, "method_not_allowed", Ran::No, Never),
            Self::IdempotencyConflict => row(409, "idempotency_conflict", Ran::No, Never),
            Self::ConfigConflict => row(409, "config_conflict", Ran::No, Never),
            Self::CustomerLimit => row(429, "customer_limit", Ran::No, AfterS(1)),
            Self::TargetUnreachable => row(503, "target_unreachable", Ran::No, AfterS(1)),
            Self::NoUpstream => row(503, "no_upstream", Ran::No, AfterS(2)),
            Self::ConnectRefused => row(503, "connect_refused", Ran::No, AfterS(1)),
            Self::UpstreamRefused => row(503, "upstream_refused", Ran::No, AfterS(1)),
            Self::UpstreamLeaving => row(503, "upstream_leaving", Ran::No, AfterS(1)),
            Self::UpstreamFailed => row(502, "upstream_failed", Ran::Yes, AfterS(1)),
            Self::ConnectionLost => row(502, "connection_lost", Ran::Unknown, AfterS(1)),
            Self::StreamCut => row(502, "stream_cut", Ran::Yes, AfterS(1)),
            Self::DeadlineExceeded => row(504, "deadline_exceeded", Ran::Unknown, AfterS(1)),
            Self::DeadlineBeforeStart => row(503, "deadline_before_start", Ran::No, AfterS(1)),
            Self::OutcomeUnknown => row(409, "outcome_unknown", Ran::Unknown, Never),
            Self::PlatformUnavailable => row(503, "platform_unavailable", Ran::No, AfterS(5)),
            Self::PlatformUncertain => row(504, "platform_uncertain", Ran::Unknown, AfterS(5)),
            Self::Stopping => row(503, "stopping", Ran::No, AfterS(1)),
            Self::NotReady => row(503, "not_ready", Ran::No, AfterS(1)),
            Self::Cancelled => row(499, "cancelled", Ran::Unknown, Never),
            Self::PeerVersion => row(505, "peer_version", Ran::No, Never),
            Self::Internal => row(500, "internal", Ran::Unknown, AfterS(1)),
        }
    }
}

impl Ran {
    /// Value of the `Redwingtack-Ran` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

const fn row(status: u16, code: &'static str, ran: Ran, retry: RetryAdvice) -> Answer {
    Answer {
        status,
        code,
        ran,
        retry,
    }
}
