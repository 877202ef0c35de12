//! Stand-in for a model server of the platform. It answers with resumable streams
//! of numbered server-sent events, and refuses requests beyond its capacity with
//! the header `redwingtack-not-run`, which says that nothing ran. A path says how an
//! answer differs: `/slow` makes it slower, `/lasts-N` makes it last `N` milliseconds,
//! `/whole` has it sent in one piece at its end.
//!
//! `GET /standin/runs` returns the runs of each request, `GET /standin/running`
//! the number of streams in progress, `POST /standin/cut?after=N` breaks the next
//! stream after `N` events, `POST /standin/leave` makes the server say in all its
//! answers that it is leaving. `POST /standin/crash?part=ID` makes it crash as soon as
//! it answers a request whose prompt has the part `ID` before its last part, and
//! `?body=TEXT` one whose body is `TEXT`; `&moment=before_head` before the head of that
//! answer, and `&listener=open` so that only its connections end, as if a supervisor kept
//! the port. `GET /standin/crashes` returns how often it crashed.
//! `POST /standin/limit?value=V` makes it state `V` as its rate limit in all its answers,
//! and without a value end that. `POST /standin/weights?version=N` gives it a version of the
//! weights, which it states, and requests that require another one are refused. `GET /health`
//! is its health check, and a path with `/refused-N` is refused with the status `N`.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};

use crate::{
    Fault, FaultKind, FaultScript, Standin, event_refusals,
    http::{self as server, Body, ConnectionDropped, Handler, Reply},
};

/// A request whose path contains this text is answered with a 500 status.
const FAILING_PATH_PART: &str = "error";
/// A request whose path contains this text is answered with a 422 status, which
/// says that no server can answer it.
const IMPOSSIBLE_PATH_PART: &str = "impossible";
/// The events of a stream whose path contains this text come at longer intervals.
const SLOW_PATH_PART: &str = "slow";
const SLOW_INTERVALS: u32 = 20;
/// A segment of the path that begins with this text says how long a whole stream
/// lasts, in milliseconds.
const DURATION_SEGMENT_PREFIX: &str = "lasts-";
/// A request whose path contains this text is answered in one piece, once the last
/// event is due.
const WHOLE_PATH_PART: &str = "whole";

/// How long a server that crashed stays down if its port is closed, milliseconds.
const CRASH_MS: u64 = 600_000;

/// Parameters of the stand-in event server.
#[derive(Debug, Clone)]
pub struct EventServerSettings {
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Id under which the server is registered. A request that names another
    /// target instance is answered with a 421 status.
    pub id: String,
    /// Maximum number of concurrent streams; further requests are refused.
    pub slots: u32,
    /// Number of the last event of each stream; the first one is 1.
    pub events: u64,
    /// Time before each event, in milliseconds.
    pub interval_ms: u64,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRun {
    /// Path of the request.
    pub path: String,
    /// Number of the event after which the stream was to resume.
    pub after_event: Option<u64>,
    /// Time left until the caller's deadline as stated in the request, in
    /// milliseconds.
    pub time_left_ms: Option<u64>,
    /// Customer on whose behalf the request was sent, as it says.
    pub customer: Option<String>,
    /// Whether the request still had the key of a caller.
    pub has_key: bool,
    /// Body of the request.
    pub body: String,
}

/// Runs by request id, each in order of arrival, as read from `/standin/runs`.
pub type EventRuns = BTreeMap<String, Vec<EventRun>>;

/// Starts a stand-in event server in this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_event_server(settings: EventServerSettings) -> io::Result<Standin> {
    let listen = settings.listen;
    let event_server = EventServer {
        settings,
        faults: Arc::default(),
        stated_limit: Mutex::default(),
        weights: Mutex::default(),
        crash_trigger: Mutex::default(),
        crash_count: Arc::default(),
        runs: Mutex::default(),
        running_count: Arc::default(),
        cut_after_events: AtomicU32::new(0),
        is_leaving: AtomicBool::new(false),
    };
    server::start(listen, Arc::new(event_server)).await
}

struct EventServer {
    settings: EventServerSettings,
    faults: Arc<FaultScript>,
    stated_limit: Mutex<Option<HeaderValue>>,
    /// Version of the weights; `None` if the server has none.
    weights: Mutex<Option<u64>>,
    crash_trigger: Mutex<CrashTrigger>,
    crash_count: Arc<AtomicU32>,
    runs: Mutex<EventRuns>,
    running_count: Arc<AtomicU32>,
    /// The next stream breaks after this many events; 0 if it is not to break.
    cut_after_events: AtomicU32,
    /// Whether all answers say that the server is leaving.
    is_leaving: AtomicBool,
}

/// Which requests crash the server, and how.
#[derive(Debug, Clone, Default)]
struct CrashTrigger {
    /// Part of a prompt, which must not be its last one.
    part: Option<String>,
    body: Option<String>,
    is_before_head: bool,
    keeps_listener: bool,
}

impl CrashTrigger {
    fn new(request: &Request<Bytes>) -> Self {
        let is = |name: &str, value: &str| {
            server::query_parameter(request, name).is_some_and(|given| given == value)
        };
        Self {
            part: server::query_parameter(request, "part"),
            body: server::query_parameter(request, "body"),
            is_before_head: is("moment", "before_head"),
            keeps_listener: is("listener", "open"),
        }
    }

    fn matches(&self, request: &Request<Bytes>) -> bool {
        let has_body = |body: &String| request.body() == body.as_bytes();
        self.body.as_ref().is_some_and(has_body) || self.matches_part(request)
    }

    fn matches_part(&self, request: &Request<Bytes>) -> bool {
        let parts = header_str(request.headers(), "redwingtack-prompt-prefix").unwrap_or_default();
        let shared_parts = parts.rsplit(',').skip(1);
        let mut ids = shared_parts.filter_map(|part| part.split(':').next());
        ids.any(|id| Some(id) == self.part.as_deref())
    }
}

/// A crash that is about to happen.
#[derive(Debug, Clone)]
struct Crash {
    trigger: CrashTrigger,
    faults: Arc<FaultScript>,
    counter: Arc<AtomicU32>,
}

impl Crash {
    fn carry_out(&self) {
        self.counter.fetch_add(1, Ordering::AcqRel);
        let fault = if self.trigger.keeps_listener {
            Fault::new(FaultKind::Disconnect).with_times(1)
        } else {
            Fault::new(FaultKind::Down).with_for_ms(CRASH_MS)
        };
        self.faults.add(fault);
    }
}

/// Guard that counts a stream as running until the guard is dropped.
#[derive(Debug)]
struct RunningStream(Arc<AtomicU32>);

impl Drop for RunningStream {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Handler for EventServer {
    fn faults(&self) -> &FaultScript {
        &self.faults
    }

    fn handle_control(&self, request: Request<Bytes>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/runs") => server::json_response(&*self.lock()),
            (&Method::GET, "/standin/running") => {
                server::json_response(&self.running_count.load(Ordering::Acquire))
            }
            (&Method::POST, "/standin/leave") => {
                self.is_leaving.store(true, Ordering::Release);
                server::text_response(StatusCode::OK, "leaving\n")
            }
            (&Method::POST, "/standin/limit") => {
                let value = server::query_parameter(&request, "value");
                *self.lock_stated_limit() =
                    value.and_then(|value| HeaderValue::from_str(&value).ok());
                server::text_response(StatusCode::OK, "set\n")
            }
            (&Method::POST, "/standin/weights") => {
                let version = server::query_parameter(&request, "version");
                *self.lock_weights() = version.and_then(|version| version.parse().ok());
                server::text_response(StatusCode::OK, "set\n")
            }
            (&Method::GET, "/standin/crashes") => {
                server::json_response(&self.crash_count.load(Ordering::Acquire))
            }
            (&Method::POST, "/standin/crash") => {
                *self.lock_crash_trigger() = CrashTrigger::new(&request);
                server::text_response(StatusCode::OK, "set\n")
            }
            (&Method::POST, "/standin/cut") => {
                let after =
                    server::query_parameter(&request, "after").and_then(|value| value.parse().ok());
                self.cut_after_events
                    .store(after.unwrap_or(1), Ordering::Release);
                server::text_response(StatusCode::OK, "set\n")
            }
            _ => server::text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn handle(&self, request: Request<Bytes>) -> Reply {
        if self.crash_before_head(&request) {
            return std::future::pending().await;
        }
        let mut response = self.answer(&request);
        if request.uri().path().contains(WHOLE_PATH_PART) {
            response = in_one_piece(response).await?;
        }
        if self.is_leaving.load(Ordering::Acquire) {
            let leaving = HeaderValue::from_static("1");
            response.headers_mut().insert("server-leaving", leaving);
        }
        if let Some(limit) = self.lock_stated_limit().clone() {
            response.headers_mut().insert("server-limit", limit);
        }
        Ok(response)
    }
}

impl EventServer {
    fn answer(&self, request: &Request<Bytes>) -> Response<Body> {
        let weights = *self.lock_weights();
        let id = &self.settings.id;
        if let Some(response) = event_refusals::answer_without_run(request, id, weights) {
            return response;
        }
        let running_stream = RunningStream(Arc::clone(&self.running_count));
        let already_running = running_stream.0.fetch_add(1, Ordering::AcqRel);
        if already_running >= self.settings.slots {
            return event_refusals::full();
        }
        self.record_run(request);
        let mut response = self.respond(request, running_stream);
        let id = request.headers().get("redwingtack-request-id").cloned();
        let stamp = HeaderValue::from_static("stamp");
        let headers = response.headers_mut();
        headers.insert("redwingtack-server-stamp", stamp);
        if let Some(id) = id {
            headers.insert("redwingtack-request-id", id);
        }
        if let Some(weights) = weights {
            headers.insert("redwingtack-weight-versions", weights.into());
        }
        response
    }

    fn respond(&self, request: &Request<Bytes>, running_stream: RunningStream) -> Response<Body> {
        let path = request.uri().path();
        if path.contains(FAILING_PATH_PART) {
            return server::text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
        }
        if path.contains(IMPOSSIBLE_PATH_PART) {
            return server::text_response(StatusCode::UNPROCESSABLE_ENTITY, "impossible\n");
        }
        let first_event =
            header_number(request.headers(), "last-event-id").map_or(1, |last_id| last_id + 1);
        let last_event = self.settings.events;
        let cut_after_events = u64::from(self.cut_after_events.swap(0, Ordering::AcqRel));
        let cut_event = (cut_after_events > 0).then(|| first_event + cut_after_events);
        let interval = self.interval(path);
        let trigger = self.lock_crash_trigger().clone();
        let crash = trigger.matches(request).then(|| self.crash(trigger));
        let id = header_str(request.headers(), "redwingtack-request-id")
            .unwrap_or("none")
            .to_owned();
        let events = stream::iter(first_event..=last_event).then(move |event| {
            let id = id.clone();
            let crash = crash.clone();
            async move {
                tokio::time::sleep(interval).await;
                if let Some(crash) = crash
                    && event > first_event
                {
                    crash.carry_out();
                    std::future::pending::<()>().await;
                }
                if cut_event == Some(event) {
                    return Err(io::Error::other(
                        "stream broken by a request to /standin/cut",
                    ));
                }
                Ok(Bytes::from(format!("id: {event}\ndata: {id} {event}\n\n")))
            }
        });
        // The closure owns the guard, so the stream counts as running until its
        // body is dropped.
        let counted_events = events.map(move |event| {
            let _guard = &running_stream;
            event
        });
        Response::new(server::stream_body(SyncStream::new(counted_events)))
    }

    /// Returns the time before each event of the answer to a path.
    fn interval(&self, path: &str) -> Duration {
        if let Some(duration_ms) = stated_duration_ms(path) {
            return Duration::from_millis(duration_ms / self.settings.events.max(1));
        }
        let slowness = if path.contains(SLOW_PATH_PART) {
            SLOW_INTERVALS
        } else {
            1
        };
        Duration::from_millis(self.settings.interval_ms) * slowness
    }

    fn record_run(&self, request: &Request<Bytes>) {
        let headers = request.headers();
        let id = header_str(headers, "redwingtack-request-id").unwrap_or_default();
        let run = EventRun {
            path: request.uri().path().to_owned(),
            after_event: header_number(headers, "last-event-id"),
            time_left_ms: header_number(headers, "redwingtack-deadline-ms"),
            customer: header_str(headers, "redwingtack-tenant").map(str::to_owned),
            has_key: headers.contains_key("x-api-key"),
            body: String::from_utf8_lossy(request.body()).into_owned(),
        };
        self.lock().entry(id.to_owned()).or_default().push(run);
    }

    /// Crashes if a request crashes the server before the head of its answer.
    fn crash_before_head(&self, request: &Request<Bytes>) -> bool {
        let trigger = self.lock_crash_trigger().clone();
        let crashes = trigger.is_before_head && trigger.matches(request);
        if crashes {
            self.record_run(request);
            self.crash(trigger).carry_out();
        }
        crashes
    }

    fn crash(&self, trigger: CrashTrigger) -> Crash {
        Crash {
            trigger,
            faults: Arc::clone(&self.faults),
            counter: Arc::clone(&self.crash_count),
        }
    }

    fn lock_stated_limit(&self) -> MutexGuard<'_, Option<HeaderValue>> {
        self.stated_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_weights(&self) -> MutexGuard<'_, Option<u64>> {
        self.weights.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_crash_trigger(&self) -> MutexGuard<'_, CrashTrigger> {
        self.crash_trigger
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, EventRuns> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wraps a stream in a mutex to make it `Sync`, as the response body requires.
/// The mutex is never contended, because only the body polls the stream.
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

fn stated_duration_ms(path: &str) -> Option<u64> {
    let mut segments = path.split('/');
    segments.find_map(|segment| segment.strip_prefix(DURATION_SEGMENT_PREFIX)?.parse().ok())
}

/// Waits for the whole body of a response. A body that breaks closes the connection.
async fn in_one_piece(response: Response<Body>) -> Reply {
    let (parts, body) = response.into_parts();
    let content = body.collect().await.map_err(|_| ConnectionDropped)?;
    let body = server::full_body(content.to_bytes());
    Ok(Response::from_parts(parts, body))
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_str(headers, name)?.parse().ok()
}
