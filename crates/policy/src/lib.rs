//! Scheduling decisions for upstreams: which upstream serves an online request,
//! which requests are refused or retried, and how much batch work an engine
//! holds.
//!
//! This crate exists so that every decision under load and failure can be
//! replayed from a recorded sequence of events. It is sans-I/O: callers pass in
//! the time, a seed and what they observed, and carry out the returned actions.
//! Times are in microseconds on any monotonic clock.
//!
//! Begin reading at [`Router`], which places online requests, and at
//! [`BatchWindow`], which bounds batch work at one engine.

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
