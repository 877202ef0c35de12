//! Decisions about requests that one instance forwards: which route applies,
//! which upstream serves a request, what is refused and when to come back, what
//! is repeated, and how much batch work an upstream holds.
//!
//! This crate exists so that these decisions can be replayed from a list of
//! events. It is sans-I/O: callers pass the time and what they saw. Times are
//! milliseconds of a clock that never goes back.

mod attempts;
mod batch_share;
mod estimate;
mod events;
mod fleet;
mod forecast;
mod health;
mod notice_pace;
mod peer_loads;
mod peers;
mod placement;
mod route;
mod store_reach;
mod upstream;

pub use crate::{
    attempts::{AttemptEnd, FinalAnswer, NextStep, RetryState},
    batch_share::{BatchDemand, runs_to_preempt, service_hash},
    events::{Event, EventError, EventSplitter},
    fleet::{BatchRun, Fleet, Home, WorkKind},
    forecast::{RunForecast, Urgency},
    notice_pace::{NoticePace, RegionPeers, notice_pause_ms},
    peer_loads::InFlight,
    peers::{LoadNotice, TakenOver, UpstreamLoad, job_hash, upstream_hash},
    placement::{Placement, PlacementRequest, Preempts, RefusalReason, Target},
    route::{BatchTerms, CallerLimits, Route, RouteKind, RouteTable, ServiceShare},
    store_reach::StoreReach,
    upstream::{UpstreamEntry, UpstreamState},
};
