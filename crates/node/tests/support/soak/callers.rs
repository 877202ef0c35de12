//! Callers that send one request after the other, on kept and on new connections.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::sleep;

use super::{
    Shared,
    exchange::Ending,
    requests::{AskedRequest, CallerConnection, LongRequests},
};

/// Most requests on one connection.
const CONNECTION_MAX_REQUESTS: usize = 300;
/// Longest pause between two requests of a caller, milliseconds.
const PAUSE_MAX_MS: u64 = 120;
/// Part of the pauses in which a connection stays idle for long, and the longest of these,
/// milliseconds.
const LONG_PAUSES_SHARE: f64 = 0.03;
const LONG_PAUSE_MAX_MS: u64 = 4_000;

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
        let Some(mut connection) = CallerConnection::open(&shared, instance).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        for _ in 0..requests {
            if shared.has_stopped() || !connection.is_open().await {
                break;
            }
            let id = format!("c{caller}-{number}");
            number += 1;
            let asked = AskedRequest::draw(&mut rng, LongRequests::Rare);
            if connection.send(&shared, &id, &asked).await != Ending::Answered {
                break;
            }
            sleep(draw_pause(&mut rng)).await;
        }
    }
}

fn draw_pause(rng: &mut SmallRng) -> Duration {
    let max_ms = if rng.random_bool(LONG_PAUSES_SHARE) {
        LONG_PAUSE_MAX_MS
    } else {
        PAUSE_MAX_MS
    };
    Duration::from_millis(rng.random_range(0..max_ms))
}
