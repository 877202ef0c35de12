//! Small stand-ins for the platform, model engines, plain services and event
//! servers, with scripted faults, for tests and local trials.
//!
//! This crate exists so that tests can run the real programs against the real
//! protocols and real failures without the platform. It is not part of a
//! release. Start reading at `http.rs`, the HTTP server that all stand-ins
//! share, and `fault.rs`, the faults that a test can script;
//! `engine_core.rs` simulates a model engine without I/O.
//!
//! A stand-in is an HTTP server that keeps its state in memory and speaks the
//! protocol of the server that it replaces. An engine generates the answers to
//! chat requests, a plain service answers a call with one response, and an event
//! server answers with a stream of numbered events that can be resumed. Control
//! requests, whose path begins with `/standin/`, script faults and read counters.

mod answer;
mod client;
mod engine;
mod engine_core;
mod engine_state;
mod engine_streams;
mod event_refusals;
mod event_server;
mod fault;
mod http;
mod platform;
mod prefix_cache;
mod service;
mod table;

pub use crate::{
    answer::{answer_tokens, output_limit, prompt_blocks, prompt_text},
    client::StandinClient,
    engine::{EngineSettings, RunCount, RunCounts, start_engine},
    engine_core::{EmittedToken, EngineCore, EngineParams, SequenceRequest},
    event_server::{EventRun, EventRuns, EventServerSettings, start_event_server},
    fault::{Fault, FaultKind, FaultScript},
    http::Standin,
    platform::{PlatformCounts, PlatformSettings, start_platform},
    service::{ServiceCallCount, ServiceCounts, ServiceSettings, start_service},
};
