//! Decisions about work at upstreams: which upstream gets an online request,
//! what is refused, what is repeated, and how much batch work an engine holds.
//!
//! This crate exists so that every decision under load and failure can be
//! replayed from a list of events. It is sans-I/O: callers pass the time, a
//! seed and what they saw, and carry out the returned actions. Times are
//! microseconds of any clock that never goes back.

mod customer;
mod engine;
mod health;
mod notices;
mod online;
mod prefix;
mod retry;
mod router;
mod rules;
mod subset;
mod table;
mod urgency;
mod window;

pub use crate::{
    customer::{CustomerLimits, LimitExceeded},
    engine::{EngineCost, UpstreamLoad},
    prefix::prefix_hashes,
    retry::{RetryBudget, retry_is_safe},
    router::{AttemptId, Destination, Refusal, Route, RouteRequest, Router},
    rules::{WindowLimits, WindowRules},
    subset::{ring_order, subset},
    urgency::Urgency,
    window::{BatchItemId, BatchWindow, OnlineTarget, WindowPlan},
};
