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
//!
//! Terms:
//!
//! - *Engine*: an upstream that runs models with continuous batching. Each
//!   *step* of an engine decodes one token of every running sequence and
//!   *prefills* the prompts that have arrived.
//! - *Entry program*: a program that sends callers' online requests to upstreams
//!   and has one [`Router`]. Its region is the *home* region.
//! - *Batch window*: the batch work that is allowed at one engine. Its *owner*
//!   is the batch program that decides about it.
//! - *Notice*: a message of an entry program to the owner of a batch window about
//!   online requests at the engine.
//! - *Report*: the load that an engine itself states.
//! - *Ejection*: the time for which a failing upstream gets no requests.
//! - *Urgency*: how close batch work is to missing its target.

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
