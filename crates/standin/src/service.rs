//! Stand-in of a plain service, which counts its calls.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    FaultScript, Standin,
    http::{self as server, Body, Handler, Reply},
};

/// Headers that name a call, in order of preference; without one its body does.
const CALL_ID_HEADERS: [&str; 2] = ["x-call-id", "idempotency-key"];

/// Parameters of the stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Time that a call takes, milliseconds.
    pub answer_ms: u64,
}

/// Every call that ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Sorted by id.
    pub calls: Vec<ServiceCallCount>,
}

/// How often one call ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCallCount {
    /// Id of the call.
    pub id: String,
    /// Path of its last run.
    pub path: String,
    /// Number of runs.
    pub runs: u32,
}

/// Starts a service in this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_service(settings: ServiceSettings) -> io::Result<Standin> {
    let listen = settings.listen;
    let state = State {
        settings,
        faults: FaultScript::default(),
        calls: Mutex::default(),
    };
    server::start(listen, Arc::new(state)).await
}

struct State {
    settings: ServiceSettings,
    faults: FaultScript,
    calls: Mutex<BTreeMap<String, ServiceCallCount>>,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            answer_ms: 5,
        }
    }
}

impl Handler for State {
    fn faults(&self) -> &FaultScript {
        &self.faults
    }

    fn control(&self, request: Request<Bytes>) -> Response<Body> {
        if request.uri().path() != "/standin/calls" {
            return server::text(StatusCode::NOT_FOUND, "no such path\n");
        }
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let calls = calls.values().cloned().collect();
        server::json(&ServiceCounts { calls })
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        let named = CALL_ID_HEADERS
            .iter()
            .find_map(|name| request.headers().get(*name)?.to_str().ok())
            .map(str::to_owned);
        let body = request.into_body();
        let id = named.unwrap_or_else(|| String::from_utf8_lossy(&body).into_owned());
        let count = self.record(id, path);
        tokio::time::sleep(Duration::from_millis(self.settings.answer_ms)).await;
        Ok(server::json(&count))
    }
}

impl State {
    fn record(&self, id: String, path: String) -> ServiceCallCount {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let count = calls.entry(id.clone()).or_insert(ServiceCallCount {
            id,
            path: String::new(),
            runs: 0,
        });
        count.path = path;
        count.runs += 1;
        count.clone()
    }
}
