//! Stand-in of a model server of the users' platform: streams of numbered
//! events that can be resumed, and refusals that say that nothing ran.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    FaultScript, Standin,
    http::{self as server, Body, Handler, Reply},
};

/// A path that contains this is answered with a server error.
const FAILING_PATH: &str = "error";
/// A path that contains this can never be answered.
const IMPOSSIBLE_PATH: &str = "impossible";

/// Parameters of a server.
#[derive(Debug, Clone)]
pub struct EventServerSettings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Id under which it is registered.
    pub id: String,
    /// Streams at once; more are refused.
    pub slots: u32,
    /// Events of a stream.
    pub events: u64,
    /// Time between events, milliseconds.
    pub interval_ms: u64,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRun {
    /// Path that was asked for.
    pub path: String,
    /// Event after which the run was asked to go on.
    pub after_event: Option<u64>,
    /// Time that the caller said was left, milliseconds.
    pub time_left_ms: Option<u64>,
    /// Body that came.
    pub body: String,
}

/// Runs by request id, as read from `/standin/runs`.
pub type EventRuns = BTreeMap<String, Vec<EventRun>>;

/// Starts a server in this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_event_server(settings: EventServerSettings) -> io::Result<Standin> {
    let listen = settings.listen;
    let state = EventServer {
        settings,
        faults: FaultScript::default(),
        runs: Mutex::default(),
        running: Arc::default(),
        cut_after: AtomicU32::new(0),
    };
    server::start(listen, Arc::new(state)).await
}

struct EventServer {
    settings: EventServerSettings,
    faults: FaultScript,
    runs: Mutex<EventRuns>,
    running: Arc<AtomicU32>,
    /// The next stream breaks after this many events, unless 0.
    cut_after: AtomicU32,
}

/// Counts a stream until it is dropped.
#[derive(Debug)]
struct Running(Arc<AtomicU32>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Handler for EventServer {
    fn faults(&self) -> &FaultScript {
        &self.faults
    }

    fn control(&self, request: Request<Bytes>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/runs") => server::json(&*self.lock()),
            (&Method::GET, "/standin/running") => {
                server::json(&self.running.load(Ordering::Acquire))
            }
            (&Method::POST, "/standin/cut") => {
                let after = server::query(&request, "after").and_then(|text| text.parse().ok());
                self.cut_after.store(after.unwrap_or(1), Ordering::Release);
                server::text(StatusCode::OK, "set\n")
            }
            _ => server::text(StatusCode::NOT_FOUND, "no such control\n"),
        }
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let headers = request.headers();
        let target = text(headers, "redwingtack-target-instance");
        if target.is_some_and(|target| target != self.settings.id) {
            return Ok(server::text(StatusCode::MISDIRECTED_REQUEST, "not me\n"));
        }
        let running = Running(Arc::clone(&self.running));
        let others = running.0.fetch_add(1, Ordering::AcqRel);
        if others >= self.settings.slots {
            let mut full = server::text(StatusCode::SERVICE_UNAVAILABLE, "full\n");
            let not_run = HeaderValue::from_static("1");
            full.headers_mut().insert("redwingtack-not-run", not_run);
            return Ok(full);
        }
        self.note_run(&request);
        let mut response = self.respond(&request, running);
        let id = request.headers().get("redwingtack-request-id").cloned();
        let stamp = HeaderValue::from_static("stamp");
        let headers = response.headers_mut();
        headers.insert("redwingtack-server-stamp", stamp);
        if let Some(id) = id {
            headers.insert("redwingtack-request-id", id);
        }
        Ok(response)
    }
}

impl EventServer {
    fn respond(&self, request: &Request<Bytes>, running: Running) -> Response<Body> {
        let path = request.uri().path();
        if path.contains(FAILING_PATH) {
            return server::text(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
        }
        if path.contains(IMPOSSIBLE_PATH) {
            return server::text(StatusCode::UNPROCESSABLE_ENTITY, "impossible\n");
        }
        let first = number(request.headers(), "last-event-id").map_or(1, |last| last + 1);
        let last = self.settings.events;
        let cut_after = u64::from(self.cut_after.swap(0, Ordering::AcqRel));
        let cut_at = (cut_after > 0).then(|| first + cut_after);
        let interval = Duration::from_millis(self.settings.interval_ms);
        let id = text(request.headers(), "redwingtack-request-id")
            .unwrap_or("none")
            .to_owned();
        let events = stream::iter(first..=last).then(move |event| {
            let id = id.clone();
            async move {
                tokio::time::sleep(interval).await;
                if cut_at == Some(event) {
                    return Err(io::Error::other("scripted cut"));
                }
                Ok(Bytes::from(format!("id: {event}\ndata: {id} {event}\n\n")))
            }
        });
        // The stream counts as running until its body is dropped.
        let counted = events.map(move |event| {
            let _running = &running;
            event
        });
        Response::new(server::streamed(SyncStream::new(counted)))
    }

    fn note_run(&self, request: &Request<Bytes>) {
        let headers = request.headers();
        let id = text(headers, "redwingtack-request-id").unwrap_or_default();
        let run = EventRun {
            path: request.uri().path().to_owned(),
            after_event: number(headers, "last-event-id"),
            time_left_ms: number(headers, "redwingtack-deadline-ms"),
            body: String::from_utf8_lossy(request.body()).into_owned(),
        };
        self.lock().entry(id.to_owned()).or_default().push(run);
    }

    fn lock(&self) -> MutexGuard<'_, EventRuns> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lets a stream that is only ever polled from one place count as `Sync`.
struct SyncStream(Mutex<stream::BoxStream<'static, io::Result<Bytes>>>);

impl SyncStream {
    fn new(inner: impl futures::Stream<Item = io::Result<Bytes>> + Send + 'static) -> Self {
        Self(Mutex::new(inner.boxed()))
    }
}

impl futures::Stream for SyncStream {
    type Item = io::Result<Bytes>;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        inner.poll_next_unpin(cx)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
