//! Requests of callers: what they ask for, and what came of it.

use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, rngs::SmallRng};

use super::{
    Shared,
    exchange::{Call, Connection, Ending, Exchange},
    history::Span,
};
use crate::support::{EVENTS_PER_STREAM, HOST, scripted_server::events};

/// Times that callers give their requests, milliseconds.
const DEADLINES_MS: [u64; 4] = [3_500, 5_000, 7_000, 9_000];
/// Time-out of the routes for answers in one piece, milliseconds. It is shorter than some of the
/// deadlines; those of the routes for streams are longer than all of them.
pub const ANSWER_TIMEOUT_MS: u64 = 4_000;
/// Time beyond the deadline after which a caller gives up.
const PATIENCE_MARGIN: Duration = Duration::from_millis(500);
/// Ends of paths of streams of usual length: 80 ms or 1.6 s at a server.
const USUAL_STREAMS: [&str; 2] = ["x", "slow"];
/// Ends of paths of answers in one piece of usual length.
const USUAL_ANSWERS: [&str; 3] = ["whole/lasts-80", "whole/lasts-320", "whole/lasts-800"];
/// Part of the requests that are of streams.
const STREAMS_SHARE: f64 = 0.7;

/// How often requests take unusually long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LongRequests {
    /// One in some tens.
    Rare,
    /// More than half, for callers that seldom send anything.
    Frequent,
}

impl LongRequests {
    fn share(self) -> f64 {
        match self {
            Self::Rare => 0.025,
            Self::Frequent => 0.6,
        }
    }
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct AskedRequest {
    pub path: String,
    pub deadline_ms: u64,
    /// Time after which its deadline or the time-out of its route is over, milliseconds.
    pub limit_ms: u64,
}

impl AskedRequest {
    pub fn draw(rng: &mut SmallRng, long_requests: LongRequests) -> Self {
        let is_long = rng.random_bool(long_requests.share());
        let is_first = rng.random_bool(0.5);
        let deadline_ms = DEADLINES_MS[rng.random_range(0..DEADLINES_MS.len())];
        if rng.random_bool(STREAMS_SHARE) {
            let route = if is_first { "long" } else { "once" };
            let end = if is_long {
                format!("lasts-{}", rng.random_range(2_000..4_500))
            } else {
                USUAL_STREAMS[rng.random_range(0..USUAL_STREAMS.len())].to_owned()
            };
            return Self {
                path: format!("/{route}/{end}"),
                deadline_ms,
                limit_ms: deadline_ms,
            };
        }
        let route = if is_first { "lookup" } else { "order" };
        let end = if is_long {
            format!("whole/lasts-{}", rng.random_range(1_500..3_700))
        } else {
            USUAL_ANSWERS[rng.random_range(0..USUAL_ANSWERS.len())].to_owned()
        };
        Self {
            path: format!("/{route}/{end}"),
            deadline_ms,
            limit_ms: deadline_ms.min(ANSWER_TIMEOUT_MS),
        }
    }

    /// Returns a request that is answered soon.
    pub fn short() -> Self {
        let deadline_ms = DEADLINES_MS[0];
        Self {
            path: format!("/long/{}", USUAL_STREAMS[0]),
            deadline_ms,
            limit_ms: deadline_ms,
        }
    }

    fn call(&self, id: &str) -> Call<'_> {
        Call {
            method: "POST",
            path: &self.path,
            headers: vec![
                ("host", HOST.to_owned()),
                ("redwingtack-request-id", id.to_owned()),
                ("redwingtack-deadline-ms", self.deadline_ms.to_string()),
            ],
            body: Bytes::from_static(b"prompt"),
            patience: Duration::from_millis(self.deadline_ms) + PATIENCE_MARGIN,
        }
    }
}

/// A request that a client sent to an instance.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub id: String,
    pub path: String,
    /// Time after which its deadline or the time-out of its route is over, milliseconds.
    pub limit_ms: u64,
    pub instance: usize,
    /// Number of requests that the connection had before.
    pub earlier: usize,
    pub ending: Ending,
    pub status: Option<u16>,
    pub span: Span,
    /// Whether a success holds other events than those of the request, in their order.
    pub is_wrong: bool,
}

impl RequestRecord {
    pub fn new(id: &str, path: &str, limit_ms: u64, instance: usize, exchange: &Exchange) -> Self {
        Self {
            id: id.to_owned(),
            path: path.to_owned(),
            limit_ms,
            instance,
            earlier: 0,
            ending: exchange.ending,
            status: exchange.status.map(|status| status.as_u16()),
            span: exchange.span,
            is_wrong: false,
        }
    }
}

/// A connection of a caller to an instance.
#[derive(Debug)]
pub struct CallerConnection {
    instance: usize,
    connection: Connection,
    /// Number of requests that were sent.
    request_count: usize,
}

impl CallerConnection {
    /// Returns `None` if no connection can be opened.
    pub async fn open(shared: &Shared, instance: usize) -> Option<Self> {
        let connection = Connection::open(shared.addresses[instance], shared.clock).await?;
        Some(Self {
            instance,
            connection,
            request_count: 0,
        })
    }

    /// Returns whether another request can be sent.
    pub async fn is_open(&mut self) -> bool {
        self.connection.is_open().await
    }

    /// Sends a request and records what came of it.
    pub async fn send(&mut self, shared: &Shared, id: &str, asked: &AskedRequest) -> Ending {
        let exchange = self.connection.send(asked.call(id)).await;
        let AskedRequest { path, limit_ms, .. } = asked;
        let mut record = RequestRecord::new(id, path, *limit_ms, self.instance, &exchange);
        record.earlier = self.request_count;
        record.is_wrong = is_wrong(id, &exchange);
        self.request_count += 1;
        shared.add_request(record);
        exchange.ending
    }
}

fn is_wrong(id: &str, exchange: &Exchange) -> bool {
    let whole = events(id, 1..=EVENTS_PER_STREAM);
    let is_success = exchange.status.is_some_and(|status| status.is_success());
    match exchange.ending {
        Ending::Answered => is_success && exchange.body != whole,
        _ => is_success && !whole.starts_with(&exchange.body),
    }
}
