//! Callers of streams, on kept and on new connections.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::sleep;

use super::{
    Shared,
    exchange::{Call, Connection, Ending, Exchange},
    history::Span,
};
use crate::support::{EVENTS_PER_STREAM, HOST, scripted_server::events};

/// Time that a caller gives a request, milliseconds.
pub const DEADLINE_MS: u64 = 5_000;
/// Time beyond the deadline after which a caller gives up.
const PATIENCE_MARGIN: Duration = Duration::from_millis(500);
/// Paths of requests: resumable or not, 80 ms or 1.6 s at a server.
const PATHS: [&str; 4] = ["/long/x", "/long/slow", "/once/x", "/once/slow"];
/// Most requests on one connection.
const CONNECTION_MAX_REQUESTS: usize = 300;
/// Longest pause between two requests of a caller, milliseconds.
const PAUSE_MAX_MS: u64 = 120;

/// A request that a client sent to an instance.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub id: String,
    pub path: String,
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
    pub fn new(id: &str, path: &str, instance: usize, exchange: &Exchange) -> Self {
        Self {
            id: id.to_owned(),
            path: path.to_owned(),
            instance,
            earlier: 0,
            ending: exchange.ending,
            status: exchange.status.map(|status| status.as_u16()),
            span: exchange.span,
            is_wrong: false,
        }
    }
}

/// Calls until the soak stops.
pub async fn call(shared: Arc<Shared>, caller: usize) {
    let mut rng = SmallRng::seed_from_u64(shared.seed_of("caller", caller));
    let mut number = 0;
    while !shared.has_stopped() {
        let instance = rng.random_range(0..shared.addresses.len());
        let requests = if rng.random_bool(0.4) {
            1
        } else {
            rng.random_range(2..CONNECTION_MAX_REQUESTS)
        };
        let Some(mut connection) = Connection::open(shared.addresses[instance], shared.clock).await
        else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        for earlier in 0..requests {
            if shared.has_stopped() || !connection.is_open().await {
                break;
            }
            let id = format!("c{caller}-{number}");
            number += 1;
            let path = PATHS[rng.random_range(0..PATHS.len())];
            let exchange = connection.send(stream_call(path, &id)).await;
            let mut record = RequestRecord::new(&id, path, instance, &exchange);
            record.earlier = earlier;
            record.is_wrong = is_wrong(&id, &exchange);
            let goes_on = exchange.ending == Ending::Answered;
            shared.add_request(record);
            if !goes_on {
                break;
            }
            sleep(Duration::from_millis(rng.random_range(0..PAUSE_MAX_MS))).await;
        }
    }
}

fn stream_call<'a>(path: &'a str, id: &str) -> Call<'a> {
    Call {
        method: "POST",
        path,
        headers: vec![
            ("host", HOST.to_owned()),
            ("redwingtack-request-id", id.to_owned()),
            ("redwingtack-deadline-ms", DEADLINE_MS.to_string()),
        ],
        body: Bytes::from_static(b"prompt"),
        patience: Duration::from_millis(DEADLINE_MS) + PATIENCE_MARGIN,
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
