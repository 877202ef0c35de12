//! Decisions about requests that one instance forwards: which route applies,
//! which upstream serves a request, what is refused and when to come back, what
//! is repeated, and how much batch work an upstream holds.
//!
//! This crate exists so that these decisions can be replayed from a list of
//! events. It is sans-I/O: callers pass the time and what they saw. Times are
//! milliseconds of a clock that never goes back.

mod batch_share;
mod estimate;
mod events;
mod forecast;
mod health;
mod notice_scheduler;
mod peer_loads;
mod peers;
mod placement;
mod retry;
mod route;
mod store_reachability;
mod upstream;
mod upstream_table;

pub use crate::{
    batch_share::{BatchDemand, runs_to_preempt, service_hash},
    events::{Event, EventError, EventSplitter},
    forecast::{RunForecast, Urgency},
    notice_scheduler::{NoticeScheduler, RegionPeers, notice_pause_ms},
    peer_loads::InFlight,
    peers::{JobTakeover, LoadNotice, UpstreamLoad, job_hash, upstream_hash},
    placement::{Placement, PlacementRequest, Preemption, RefusalReason, Target},
    retry::{AttemptEnd, FinalAnswer, NextStep, RetryState},
    route::{BatchDeadlines, CallerLimits, Route, RouteKind, RouteTable, ServiceShare},
    store_reachability::StoreReachability,
    upstream::{UpstreamEntry, UpstreamState},
    upstream_table::{BatchRun, Locality, UpstreamTable, WorkKind},
};
