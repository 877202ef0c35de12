//! The closed list of error kinds and the table that maps each kind to the
//! response that callers receive.

use serde::{Deserialize, Serialize};

/// Kind of an error that affects a caller, an operator or a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ErrorKind {
    /// The request is malformed.
    InvalidRequest,
    /// The request body exceeds the limit.
    BodyTooLarge,
    /// No API key was sent.
    MissingApiKey,
    /// The requested model is unknown.
    UnknownModel,
    /// The requested class does not exist or does not apply to the request, or
    /// the request names no class and has no default class.
    UnknownClass,
    /// The requested service does not exist.
    UnknownService,
    /// The requested file, job or path does not exist.
    NotFound,
    /// The HTTP method is not allowed on this path.
    MethodNotAllowed,
    /// The idempotency key was already used for a request with different
    /// content.
    IdempotencyConflict,
    /// The configuration has changed since the version that the operator's
    /// update replaces.
    ConfigConflict,
    /// The customer exceeded the request rate limit of the class.
    CustomerLimit,
    /// No upstream can currently meet the target of the class.
    TargetUnreachable,
    /// No live upstream serves the requested model or service.
    NoUpstream,
    /// The connection to the upstream could not be opened, so nothing was sent.
    ConnectRefused,
    /// The upstream refused the request before running it.
    UpstreamRefused,
    /// The upstream is leaving the fleet and accepts no new work.
    UpstreamLeaving,
    /// The upstream ran the request and reported a failure.
    UpstreamFailed,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The stream ended without its end marker, after tokens had been
    /// delivered.
    StreamCut,
    /// The deadline expired after the request had been sent.
    DeadlineExceeded,
    /// The deadline expired before the request was sent.
    DeadlineBeforeStart,
    /// It is unknown whether an earlier call with the same idempotency key ran.
    OutcomeUnknown,
    /// The table or the object store of the platform cannot be reached, so
    /// nothing ran.
    PlatformUnavailable,
    /// A write to the platform may or may not have taken effect. Sending the
    /// request again with the same idempotency key resolves which.
    PlatformUncertain,
    /// The process is shutting down.
    Stopping,
    /// The process has not received a configuration yet.
    NotReady,
    /// The caller cancelled the request.
    Cancelled,
    /// The peer uses a different version of the peer protocol.
    PeerVersion,
    /// A bug in this program.
    Internal,
}

/// What is known about whether a failed request ran at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ran {
    /// The request did not run: none of its bytes can have reached an upstream,
    /// or the upstream reported that it did not run.
    No,
    /// The request may have run.
    Unknown,
    /// The request ran, at least in part.
    Yes,
}

/// When a caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// The caller should not retry: the same request would fail again.
    Never,
    /// The caller should retry after this number of seconds, unless the error
    /// response states a more accurate delay.
    AfterS(u32),
}

/// Response that a caller receives for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Stable error code in the response body.
    pub code: &'static str,
    /// Whether the request ran at an upstream.
    pub ran: Ran,
    /// When the caller should retry.
    pub retry: RetryAdvice,
}

impl ErrorKind {
    /// All error kinds, in declaration order.
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

    /// Returns the row of the response table for this error kind.
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
    /// Returns the value for the `Redwingtack-Ran` header.
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
