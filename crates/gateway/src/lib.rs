//! Decisions of one instance about the requests that it forwards: which route
//! matches a request, which upstream serves it, when it is refused and after
//! which delay the caller may retry, whether a failed attempt is retried, and
//! how many batch items each upstream runs.
//!
//! These decisions have a crate of their own so that they can be replayed from
//! a list of events. The crate is sans-I/O: callers pass in the current time
//! and what they observed. Times are milliseconds of a monotonic clock unless
//! the name says Unix time. The program `node` carries out the decisions.
//! Crate `policy` decides for the programs `entry` and `batch`.
//!
//! Terms: an *upstream* is a server of a service and runs as many requests at a
//! time as it has *slots*. A caller waits for the answer to an *online request*,
//! whereas a *batch item* belongs to a job and runs in slots that are free.
//! *Peers* are the other instances. They send each other *notices* of the
//! requests that they have in flight.
//!
//! Begin reading at [`UpstreamTable`], which holds what this instance knows of
//! the upstreams. [`UpstreamTable::place`] decides about online requests,
//! [`UpstreamTable::batch_plan`] about batch items, and [`RetryState`] about
//! failed attempts. The modules `connectivity` and `proxies` decide which paths
//! to upstreams are lost and which peer then makes an attempt. [`Quarantine`] decides about requests that crash upstreams,
//! [`ConnectionLimit`] which connections of callers are closed when there are too many,
//! [`StreamOrigins`] and [`VersionHistory`] where a stream may go on, [`Quotas`] whether a
//! customer may send a request.

mod attempts;
mod batch_plan;
mod body_budget;
mod candidate;
mod connection_limit;
mod connectivity;
mod crash_evidence;
mod crash_suspects;
mod customers;
mod events;
mod forecast;
mod health;
mod identity;
mod kept_prompts;
mod key_lease;
mod leaving;
mod limited_upstreams;
mod listed_versions;
mod moving_average;
mod notice_scheduler;
mod peer_loads;
mod peers;
mod placement;
mod planned_stop;
mod prefill_rate;
mod preview;
mod probation;
mod prompt_chain;
mod prompt_placement;
mod proxies;
mod quarantine;
mod quarantine_notice;
mod quota_delegate;
mod quota_fleet;
mod quota_issuer;
mod quota_message;
mod quotas;
mod rate_limits;
mod recent_prompts;
mod refusal;
mod request_content;
mod request_durations;
mod route;
mod service_timings;
mod store_reachability;
mod stream_origins;
mod target;
mod token_issuer;
mod token_wallet;
mod unknown_keys;
mod upstream;
mod upstream_row;
mod upstream_speed;
mod upstream_table;
mod version_history;
mod weights;

pub use crate::{
    attempts::{AttemptEnd, FinalAnswer, NextStep, RetryState},
    batch_plan::{BatchDemand, runs_to_preempt, service_hash},
    body_budget::{BodyBudget, BodyId, Room},
    connection_limit::{
        Activity, Admission, ConnectionEviction, ConnectionId, ConnectionLimit,
        RECEIVE_BUFFER_BYTES,
    },
    connectivity::{ConnectFailure, PathLoss, PathNotice, ServiceState},
    crash_evidence::{CrashReport, RequestInFlight, Survival},
    customers::{Customer, CustomerTable, KeyDigest, Quota, QuotaTerms, customer_hash},
    events::{Event, EventError, EventSplitter},
    forecast::{RunForecast, Urgency},
    identity::Occupant,
    key_lease::{ConfigAnswer, ConfigConfirmation, ConfirmationSource, KeyLease, PeerNews},
    leaving::LeavingUpstream,
    listed_versions::{ListedVersion, ListedVersions, Listing, ServiceVersion, versions_to_list},
    notice_scheduler::{NoticeScheduler, notice_pause_ms},
    peer_loads::InFlight,
    peers::{JobTakeover, LoadNotice, UpstreamLoad, job_hash, upstream_hash},
    placement::{Placement, PlacementRequest, Preemption},
    planned_stop::{ExpectedEnd, PlannedStop},
    preview::{Exclusion, Preview, UpstreamPreview, Weighing},
    probation::RequestTrial,
    prompt_placement::{PromptRead, ServiceMemory},
    proxies::ProxyPeer,
    quarantine::{LostRequest, Quarantine, QuarantineChange, QuarantineCheck},
    quarantine_notice::{QuarantineNotice, Quarantined},
    quota_fleet::QuotaFleet,
    quota_message::{QuotaAction, QuotaMessage, QuotaPeer, QuotaSource, QuotaVerdict},
    quotas::Quotas,
    rate_limits::{LimitNotice, LimitStatement, TokenDemand, TokenGrant},
    refusal::RefusalReason,
    request_content::{CrashCause, RequestContent, RequestFingerprint},
    request_durations::RequestDurations,
    route::{BatchTerms, CallerLimits, Route, RouteKind, RouteTable, ServiceShare, normalize_host},
    store_reachability::StoreReachability,
    stream_origins::{
        AttemptHash, HolderUse, OriginRecord, RecordHolder, STREAM_LIFETIME_MS, StreamOrigins,
        VersionHash, record_holders,
    },
    target::Target,
    token_issuer::SettledTokens,
    unknown_keys::{RemovedKey, UnknownKeys},
    upstream::{UpstreamEntry, UpstreamState},
    upstream_speed::PaceReport,
    upstream_table::{BatchRun, Locality, UpstreamTable, WorkKind},
    version_history::{FROM_THE_START_MS, ObservedVersions, VanishedVersion, VersionHistory},
    weights::{RequiredWeights, WeightVersion},
};
