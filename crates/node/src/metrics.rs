//! Metrics of the process. To bound the number of time series, all labels take their
//! values from fixed sets, except for the ids of the busiest upstreams.

use std::{
    cmp::Reverse,
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use gateway::{
    AttemptEnd, CrashCause, InFlight, PromptRead, QuarantineChange, Quarantined, Route, RouteKind,
    UpstreamTable,
};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::TokioIo;
use ledger::{ItemOutcome, RunOutcome};
use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use platform::{CallCounts, CallKind, CallResult};
use process::{AdminState, time_histogram};
use tokio::{net::TcpListener, task::spawn_local};

use crate::{clock::boot_ms, node::Node, quota_metrics::QuotaMetrics};

/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";
const MS_PER_S: f64 = 1_000.0;
/// Bucket bounds of the time histograms, seconds.
const TIME_BOUNDS_S: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];
/// Maximum number of upstreams that have time series of their own. The busiest ones
/// are exported.
const EXPORTED_UPSTREAMS_MAX: usize = 50;

/// Numbers of requests in flight at the busiest upstreams. The lock is needed because
/// OpenTelemetry requires callbacks that can be shared between threads.
type BusiestUpstreams = Arc<Mutex<Vec<InFlight>>>;

/// OpenTelemetry instruments of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    request_duration: Histogram<f64>,
    first_event: Histogram<f64>,
    longest_pause: Histogram<f64>,
    refusals: Counter<u64>,
    retry_after: Histogram<f64>,
    attempts: Counter<u64>,
    attempt_failures: Counter<u64>,
    proxied_attempts: Counter<u64>,
    streams_resumed: Counter<u64>,
    prompt_tokens: Counter<u64>,
    upstream_crashes: Counter<u64>,
    quarantine_changes: Counter<u64>,
    quarantined_causes: Gauge<u64>,
    jobs_accepted: Counter<u64>,
    jobs_refused: Counter<u64>,
    jobs_taken_over: Counter<u64>,
    items: Counter<u64>,
    item_runs: Counter<u64>,
    in_flight: Gauge<u64>,
    waiting_items: Gauge<u64>,
    config_version: Gauge<u64>,
    store_age: Gauge<f64>,
    config_confirmed_age: Gauge<f64>,
    ready_upstreams: Gauge<u64>,
    limited_upstreams: Gauge<u64>,
    unreachable_upstreams: Gauge<u64>,
    proxied: Gauge<u64>,
    body_memory: Gauge<u64>,
    caller_connections: Gauge<u64>,
    connections_closed: Counter<u64>,
    busiest: BusiestUpstreams,
    pub(crate) quotas: QuotaMetrics,
}

impl Metrics {
    /// Creates the instruments on a meter of the global meter provider.
    pub(crate) fn new(store_calls: Arc<CallCounts>) -> Self {
        let meter = global::meter("redwingtack.node");
        observe_store_calls(&meter, store_calls);
        observe_log_lines(&meter);
        let busiest = BusiestUpstreams::default();
        observe_upstreams(&meter, Arc::clone(&busiest));
        let histogram =
            |name, description| time_histogram(&meter, name, description, &TIME_BOUNDS_S);
        let counter = |name, description| counter(&meter, name, description);
        let gauge = |name, description| gauge(&meter, name, description);
        let age_gauge = |name, description| age_gauge(&meter, name, description);
        Self {
            quotas: QuotaMetrics::new(&meter),
            request_duration: histogram(
                "http.server.request.duration",
                "Time from a request to the end of its answer",
            ),
            first_event: histogram(
                "redwingtack.stream.first_event",
                "Time from a request to the first bytes of its answer",
            ),
            longest_pause: histogram(
                "redwingtack.stream.longest_pause",
                "Longest pause between the events of an answer",
            ),
            refusals: counter("redwingtack.refusals", "Requests refused, by reason"),
            retry_after: histogram(
                "redwingtack.retry_after",
                "Time after which refused requests were told to come back",
            ),
            attempts: counter("redwingtack.upstream.attempts", "Attempts at upstreams"),
            attempt_failures: counter(
                "redwingtack.upstream.attempt_failures",
                "Attempts that failed, by kind",
            ),
            proxied_attempts: counter(
                "redwingtack.upstream.proxied_attempts",
                "Attempts that peers made for this instance",
            ),
            streams_resumed: counter(
                "redwingtack.streams_resumed",
                "Streams that went on at another upstream",
            ),
            prompt_tokens: counter(
                "redwingtack.prompt_tokens",
                "Tokens of prompts, by whether the upstream had kept them",
            ),
            upstream_crashes: counter(
                "redwingtack.upstream.crashes",
                "Answers lost because their upstream crashed",
            ),
            quarantine_changes: counter(
                "redwingtack.quarantine.changes",
                "Requests and prompt parts quarantined and released, by change",
            ),
            quarantined_causes: gauge(
                "redwingtack.quarantine.causes",
                "Requests and prompt parts in quarantine, by kind",
            ),
            jobs_accepted: counter("redwingtack.jobs.accepted", "Jobs accepted"),
            jobs_refused: counter("redwingtack.jobs.refused", "Submissions refused"),
            jobs_taken_over: counter("redwingtack.jobs.taken_over", "Jobs taken over"),
            items: counter("redwingtack.items", "Items that ended, by outcome"),
            item_runs: counter("redwingtack.item_runs", "Runs of items, by end"),
            in_flight: gauge("redwingtack.in_flight", "Own requests at upstreams"),
            waiting_items: gauge("redwingtack.items_waiting", "Own items that wait"),
            config_version: gauge("redwingtack.config_version", "Version in force"),
            store_age: age_gauge(
                "redwingtack.store_age",
                "Time since the store last answered",
            ),
            config_confirmed_age: age_gauge(
                "redwingtack.config_confirmed_age",
                "Time since the configuration was known to be the newest",
            ),
            ready_upstreams: gauge("redwingtack.upstreams", "Upstreams that take work"),
            unreachable_upstreams: gauge(
                "redwingtack.upstreams_unreachable",
                "Upstreams that this instance cannot connect to",
            ),
            proxied: gauge("redwingtack.proxied", "Attempts in progress for peers"),
            body_memory: meter
                .u64_gauge("redwingtack.body_memory")
                .with_unit("By")
                .with_description("Memory that the bodies of requests take up")
                .build(),
            caller_connections: gauge("redwingtack.connections", "Connections of callers"),
            connections_closed: counter(
                "redwingtack.connections_closed",
                "Connections of callers that were closed because there are too many",
            ),
            limited_upstreams: gauge(
                "redwingtack.upstreams_limited",
                "Upstreams that state a rate limit",
            ),
            busiest,
        }
    }

    pub(crate) fn on_request_end(&self, route: &Route, outcome: &'static str, elapsed_ms: u64) {
        let labels = [kind_label(route), KeyValue::new("outcome", outcome)];
        self.request_duration.record(seconds(elapsed_ms), &labels);
    }

    pub(crate) fn on_first_event(&self, route: &Route, elapsed_ms: u64) {
        self.first_event
            .record(seconds(elapsed_ms), &[kind_label(route)]);
    }

    pub(crate) fn on_longest_pause(&self, route: &Route, pause_ms: u64) {
        self.longest_pause
            .record(seconds(pause_ms), &[kind_label(route)]);
    }

    pub(crate) fn on_refusal(&self, reason: &'static str, retry_after_ms: u64) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
        self.retry_after.record(seconds(retry_after_ms), &[]);
    }

    /// Counts a request that is refused for good because of its key.
    pub(crate) fn on_key_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a connection that was closed or refused to make room for others.
    pub(crate) fn on_connection_closed(&self, activity: &'static str) {
        self.connections_closed
            .add(1, &[KeyValue::new("activity", activity)]);
    }

    pub(crate) fn on_attempt(&self) {
        self.attempts.add(1, &[]);
    }

    pub(crate) fn on_attempt_failed(&self, end: AttemptEnd) {
        self.attempt_failures
            .add(1, &[KeyValue::new("end", end.as_str())]);
    }

    pub(crate) fn on_proxied_attempt(&self) {
        self.proxied_attempts.add(1, &[]);
    }

    pub(crate) fn on_prompt_read(&self, read: PromptRead) {
        let counts = [
            ("kept", read.kept_tokens),
            ("repeated", read.repeated_tokens),
            ("new", read.new_tokens),
        ];
        for (state, tokens) in counts.into_iter().filter(|(_, tokens)| *tokens > 0) {
            let labels = [KeyValue::new("state", state)];
            self.prompt_tokens.add(u64::from(tokens), &labels);
        }
    }

    pub(crate) fn on_stream_resumed(&self) {
        self.streams_resumed.add(1, &[]);
    }

    pub(crate) fn on_upstream_crash(&self) {
        self.upstream_crashes.add(1, &[]);
    }

    pub(crate) fn on_quarantine_change(&self, change: QuarantineChange) {
        let name = match change {
            QuarantineChange::Quarantined { .. } => "quarantined",
            QuarantineChange::Learned(_) => "learned",
            QuarantineChange::Released(_) => "released",
        };
        self.quarantine_changes
            .add(1, &[KeyValue::new("change", name)]);
    }

    fn record_quarantined(&self, quarantined: &[Quarantined]) {
        let is_request = |row: &&Quarantined| matches!(row.cause, CrashCause::Request(_));
        let requests = quarantined.iter().filter(is_request).count();
        let counts = [
            ("request", requests),
            ("part", quarantined.len() - requests),
        ];
        for (kind, count) in counts {
            self.quarantined_causes
                .record(count as u64, &[KeyValue::new("kind", kind)]);
        }
    }

    pub(crate) fn on_job_accepted(&self) {
        self.jobs_accepted.add(1, &[]);
    }

    pub(crate) fn on_job_refused(&self) {
        self.jobs_refused.add(1, &[]);
    }

    pub(crate) fn on_job_taken_over(&self) {
        self.jobs_taken_over.add(1, &[]);
    }

    pub(crate) fn on_item_ended(&self, outcome: ItemOutcome) {
        let name = match outcome {
            ItemOutcome::Done => "done",
            ItemOutcome::Failed => "failed",
        };
        self.items.add(1, &[KeyValue::new("outcome", name)]);
    }

    pub(crate) fn on_item_run(&self, outcome: RunOutcome) {
        let name = match outcome {
            RunOutcome::Done => "done",
            RunOutcome::Error => "error",
            RunOutcome::Impossible => "impossible",
            RunOutcome::Interrupted => "interrupted",
            RunOutcome::Misplaced => "misplaced",
            RunOutcome::Preempted => "yielded",
        };
        self.item_runs.add(1, &[KeyValue::new("end", name)]);
    }

    /// Updates the gauges from the current state. Called before the metrics are rendered.
    fn record_gauges(&self, node: &Node) {
        let upstreams = node.upstreams.borrow();
        let loads = upstreams.own_loads();
        let online: u64 = loads.iter().map(|load| u64::from(load.online)).sum();
        let batch: u64 = loads.iter().map(|load| u64::from(load.batch)).sum();
        self.in_flight
            .record(online, &[KeyValue::new("work", "online")]);
        self.in_flight
            .record(batch, &[KeyValue::new("work", "batch")]);
        let item_counts = upstreams
            .batch_queue()
            .iter()
            .map(|demand| u64::from(demand.item_count));
        self.waiting_items.record(item_counts.sum(), &[]);
        self.ready_upstreams
            .record(upstreams.ready_count() as u64, &[]);
        self.unreachable_upstreams
            .record(upstreams.unreachable_count() as u64, &[]);
        self.proxied.record(node.proxied_count.get().into(), &[]);
        self.body_memory.record(node.body_memory.used_bytes(), &[]);
        self.caller_connections
            .record(node.caller_connections.count() as u64, &[]);
        self.limited_upstreams
            .record(upstreams.limited_count() as u64, &[]);
        self.record_quarantined(node.quarantine.borrow().quarantined());
        let version = node.routes().map_or(0, |routes| routes.version);
        self.config_version.record(version, &[]);
        let age_ms = node.store_health.time_since_answer_ms(node.now_ms());
        self.store_age.record(seconds(age_ms), &[]);
        let confirmation = node.key_lease.borrow().last_confirmation(boot_ms());
        if let Some((age_ms, _)) = confirmation {
            self.config_confirmed_age.record(seconds(age_ms), &[]);
        }
        *self.busiest.lock().unwrap_or_else(PoisonError::into_inner) =
            busiest_upstreams(&upstreams);
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

fn age_gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<f64> {
    let gauge = meter.f64_gauge(name).with_unit("s");
    gauge.with_description(description).build()
}

/// Serves the metrics at `address` until the process exits. If the address cannot be
/// bound, logs the error and returns.
pub(crate) async fn serve(node: Rc<Node>, address: SocketAddr, admin: AdminState) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(
                "event=metrics_not_served address={address} error={}",
                process::quote(&error)
            );
            return;
        }
    };
    let admin = Rc::new(admin);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let admin = Rc::clone(&admin);
        let node = Rc::clone(&node);
        spawn_local(async move {
            let service = service_fn(async |request: http::Request<hyper::body::Incoming>| {
                Ok::<_, Infallible>(render(&node, &admin, request.uri().path()))
            });
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(
                    "event=metrics_connection_ended error={}",
                    process::quote(&error)
                );
            }
        });
    }
}

fn render(node: &Node, admin: &AdminState, path: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if path == METRICS_PATH {
        node.metrics.record_gauges(node);
        *response.body_mut() = Full::from(admin.render());
        let media_type = HeaderValue::from_static("text/plain; version=0.0.4");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, media_type);
    } else {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

fn observe_store_calls(meter: &Meter, calls: Arc<CallCounts>) {
    meter
        .u64_observable_counter("redwingtack.store.calls")
        .with_description("Calls to the store, by kind and result")
        .with_callback(move |observer| {
            for kind in CallKind::ALL {
                for result in CallResult::ALL {
                    let labels = [
                        KeyValue::new("call", kind.as_str()),
                        KeyValue::new("result", result.as_str()),
                    ];
                    observer.observe(calls.count(kind, result), &labels);
                }
            }
        })
        .build();
}

fn observe_upstreams(meter: &Meter, busiest: BusiestUpstreams) {
    meter
        .u64_observable_gauge("redwingtack.upstream.in_flight")
        .with_description("Requests at the busiest upstreams, by work and by whose they are")
        .with_callback(move |observer| {
            let busiest = busiest.lock().unwrap_or_else(PoisonError::into_inner);
            for in_flight in &*busiest {
                let counts = [
                    ("online", "own", in_flight.own_online),
                    ("batch", "own", in_flight.own_batch),
                    ("online", "peers", in_flight.peers_online),
                    ("batch", "peers", in_flight.peers_batch),
                ];
                for (work, owner, count) in counts {
                    let labels = [
                        KeyValue::new("upstream", in_flight.upstream.to_string()),
                        KeyValue::new("work", work),
                        KeyValue::new("of", owner),
                    ];
                    observer.observe(count.into(), &labels);
                }
            }
        })
        .build();
}

fn busiest_upstreams(upstreams: &UpstreamTable) -> Vec<InFlight> {
    let mut busiest: Vec<_> = upstreams.in_flight().collect();
    busiest.sort_by_key(|in_flight| {
        let own = in_flight.own_online + in_flight.own_batch;
        Reverse(own + in_flight.peers_online + in_flight.peers_batch)
    });
    busiest.truncate(EXPORTED_UPSTREAMS_MAX);
    busiest
}

fn observe_log_lines(meter: &Meter) {
    meter
        .u64_observable_counter("redwingtack.log_lines_left_out")
        .with_description("Log lines left out because nobody read them in time")
        .with_callback(|observer| observer.observe(process::log_lines_left_out(), &[]))
        .build();
}

fn kind_label(route: &Route) -> KeyValue {
    let name = match route.kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream { is_resumable: true } => "stream_resumable",
        RouteKind::Stream {
            is_resumable: false,
        } => "stream",
        RouteKind::Batch(_) => "batch",
    };
    KeyValue::new("route_kind", name)
}

#[expect(clippy::cast_precision_loss, reason = "times are short")]
fn seconds(ms: u64) -> f64 {
    ms as f64 / MS_PER_S
}
