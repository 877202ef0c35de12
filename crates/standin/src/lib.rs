//! Small stand-ins of the platform, of model engines and of plain services,
//! with scripted faults, for tests and first tries.
//!
//! This crate exists so that the real programs meet the real protocols and
//! real failures without the platform. Nothing here is shipped.

mod answer;
mod client;
mod engine;
mod engine_core;
mod engine_state;
mod engine_streams;
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
