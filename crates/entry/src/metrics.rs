//! Metrics of an entry. All label values come from closed sets, which bounds the
//! number of time series.

use model::ErrorKind;
use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, Histogram, UpDownCounter},
};
use process::time_histogram;

const US_PER_S: f64 = 1e6;
/// Bucket bounds of the time histograms, in seconds.
const TIME_BOUNDS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.43, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Metric instruments of an entry; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    active: UpDownCounter<i64>,
    duration: Histogram<f64>,
    first_token: Histogram<f64>,
    attempts: Counter<u64>,
    attempt_failures: Counter<u64>,
    retries: Counter<u64>,
    answers_dropped: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let meter = global::meter("redwingtack.entry");
        let histogram =
            |name, description| time_histogram(&meter, name, description, &TIME_BOUNDS_S);
        Self {
            active: meter
                .i64_up_down_counter("http.server.active_requests")
                .with_description("Requests of callers in flight")
                .build(),
            duration: histogram(
                "http.server.request.duration",
                "Time from the request to the head of its answer",
            ),
            first_token: histogram(
                "gen_ai.server.time_to_first_token",
                "Time from the request to its first token",
            ),
            attempts: meter
                .u64_counter("redwingtack.upstream.attempts")
                .with_description("Attempts at upstreams")
                .build(),
            attempt_failures: meter
                .u64_counter("redwingtack.upstream.attempt_failures")
                .with_description("Attempts that failed, by kind")
                .build(),
            retries: meter
                .u64_counter("redwingtack.upstream.retries")
                .with_description("Retries, granted by the budget or not")
                .build(),
            answers_dropped: meter
                .u64_counter("redwingtack.upstream.answers_dropped")
                .with_description("Attempts whose answer is dropped: late or crossed")
                .build(),
        }
    }

    /// Counts a caller's request as in flight until the returned guard is
    /// dropped.
    pub(crate) fn begin_request(&self) -> ActiveRequest {
        self.active.add(1, &[]);
        ActiveRequest {
            active: self.active.clone(),
        }
    }

    /// Records that the head of a response was written.
    pub(crate) fn on_response(&self, route: &'static str, status: u16, elapsed_us: u64) {
        let labels = [
            KeyValue::new("http.route", route),
            KeyValue::new("http.response.status_code", i64::from(status)),
        ];
        self.duration.record(us_to_s(elapsed_us), &labels);
    }

    /// Records that the first token of a response was passed to the caller.
    pub(crate) fn on_first_token(&self, elapsed_us: u64) {
        self.first_token.record(us_to_s(elapsed_us), &[]);
    }

    /// Records that an attempt was begun.
    pub(crate) fn on_attempt(&self, crosses_region: bool) {
        let labels = [KeyValue::new("crosses_region", crosses_region)];
        self.attempts.add(1, &labels);
    }

    /// Records that an attempt failed.
    pub(crate) fn on_attempt_failed(&self, kind: ErrorKind) {
        let labels = [KeyValue::new("error.type", kind.answer().code)];
        self.attempt_failures.add(1, &labels);
    }

    /// Records that the answer of an attempt is dropped, even if it still
    /// arrives.
    pub(crate) fn on_answer_dropped(&self, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.answers_dropped.add(1, &labels);
    }

    /// Records whether the retry budget granted a retry.
    pub(crate) fn on_retry(&self, granted: bool) {
        self.retries.add(1, &[KeyValue::new("granted", granted)]);
    }
}

/// Guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    active: UpDownCounter<i64>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.active.add(-1, &[]);
    }
}

// The 53-bit mantissa holds microseconds exactly for 285 years.
#[allow(clippy::cast_precision_loss)]
fn us_to_s(duration_us: u64) -> f64 {
    duration_us as f64 / US_PER_S
}
