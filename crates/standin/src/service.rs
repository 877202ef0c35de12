//! Stand-in for a plain service, which counts how often each call runs.

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

/// Headers whose value identifies a call, in order of preference. A call without
/// such a header is identified by its body.
const CALL_ID_HEADERS: [&str; 2] = ["x-call-id", "idempotency-key"];

/// Parameters of the stand-in service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time that a call takes, in milliseconds.
    pub answer_ms: u64,
}

/// How often each call ran, as read from `/standin/calls`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// One count per call, sorted by id.
    pub calls: Vec<ServiceCallCount>,
}

/// How often one call ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCallCount {
    /// Id of the call: the value of its `x-call-id` header, of its
    /// `idempotency-key` header, or its body.
    pub id: String,
    /// Path of the latest run of the call.
    pub path: String,
    /// Number of runs.
    pub runs: u32,
}

/// Starts a stand-in service in this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_service(settings: ServiceSettings) -> io::Result<Standin> {
    let listen = settings.listen;
    let service = Service {
        settings,
        faults: FaultScript::default(),
        calls: Mutex::default(),
    };
    server::start(listen, Arc::new(service)).await
}

struct Service {
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

impl Handler for Service {
    fn faults(&self) -> &FaultScript {
        &self.faults
    }

    fn handle_control(&self, request: Request<Bytes>) -> Response<Body> {
        if request.uri().path() != "/standin/calls" {
            return server::text_response(StatusCode::NOT_FOUND, "no such path\n");
        }
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let calls = calls.values().cloned().collect();
        server::json_response(&ServiceCounts { calls })
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        let header_id = CALL_ID_HEADERS
            .iter()
            .find_map(|name| request.headers().get(*name)?.to_str().ok())
            .map(str::to_owned);
        let body = request.into_body();
        let id = header_id.unwrap_or_else(|| String::from_utf8_lossy(&body).into_owned());
        let count = self.record_call(id, path);
        tokio::time::sleep(Duration::from_millis(self.settings.answer_ms)).await;
        Ok(server::json_response(&count))
    }
}

impl Service {
    fn record_call(&self, id: String, path: String) -> ServiceCallCount {
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
