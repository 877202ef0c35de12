//! Callers that keep connections idle until an instance is told to stop, and send then.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{sleep, sleep_until};

use super::{
    Shared,
    history::GRACE_S,
    requests::{AskedRequest, CallerConnection, LongRequests},
};

/// Time from the signal to stop in which most of these requests are sent, milliseconds: from
/// when the platform sends no more callers until the instance accepts no more connections.
const LATE_FROM_MS: u64 = 2_600;
const LATE_UNTIL_MS: u64 = 6_200;
/// Time at the end of the grace period in which some callers write on a connection that they
/// have opened before, milliseconds.
const LAST_MS: u64 = 1_000;
/// Interval of looking for signals to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How a caller sends a request during a stop.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    /// On a connection that it had before the signal.
    Kept { after_ms: u64 },
    /// On a new connection.
    New { after_ms: u64 },
    /// On a new connection that it has kept idle up to the last second.
    Last { open_after_ms: u64, after_ms: u64 },
}

impl Arrival {
    fn draw(rng: &mut SmallRng) -> Self {
        let after_ms = if rng.random_bool(0.2) {
            rng.random_range(0..LATE_FROM_MS)
        } else {
            rng.random_range(LATE_FROM_MS..LATE_UNTIL_MS)
        };
        match rng.random_range(0..10) {
            0..4 => Self::Kept { after_ms },
            4..9 => Self::New { after_ms },
            _ => {
                let grace_ms = GRACE_S * 1_000;
                Self::Last {
                    open_after_ms: after_ms,
                    after_ms: rng.random_range(grace_ms - LAST_MS..grace_ms),
                }
            }
        }
    }
}

/// Calls during planned stops until the soak stops.
pub async fn call(shared: Arc<Shared>, caller: usize) {
    let mut rng = SmallRng::seed_from_u64(shared.seed_of("late", caller));
    let mut number = 0;
    loop {
        let mut connections = open_idle(&shared, &mut rng, caller, number).await;
        let Some((instance, stop_ms)) = wait_for_stop(&shared, &mut rng).await else {
            return;
        };
        let kept = connections.swap_remove(instance);
        let arrival = Arrival::draw(&mut rng);
        if let Some(mut connection) = arrive(&shared, arrival, instance, stop_ms, kept).await {
            let asked = AskedRequest::draw(&mut rng, LongRequests::Frequent);
            let id = format!("s{caller}-{number}");
            connection.send(&shared, &id, &asked).await;
        }
        number += 1;
    }
}

/// Opens a connection to each instance; some of them have a request.
async fn open_idle(
    shared: &Shared,
    rng: &mut SmallRng,
    caller: usize,
    number: usize,
) -> Vec<Option<CallerConnection>> {
    let mut connections = Vec::new();
    for instance in 0..shared.addresses.len() {
        let mut connection = CallerConnection::open(shared, instance).await;
        if rng.random_bool(0.3)
            && let Some(connection) = &mut connection
        {
            let id = format!("i{caller}-{number}-{instance}");
            connection.send(shared, &id, &AskedRequest::short()).await;
        }
        connections.push(connection);
    }
    connections
}

/// Waits for a signal to stop that this caller makes use of. Returns the instance and the time
/// of the signal, or `None` if the soak stops.
async fn wait_for_stop(shared: &Shared, rng: &mut SmallRng) -> Option<(usize, u64)> {
    let mut since_ms = shared.clock.now_ms();
    while !shared.has_stopped() {
        sleep(POLL_INTERVAL).await;
        let until_ms = shared.clock.now_ms();
        for (instance, stop_ms) in stops_between(shared, since_ms, until_ms) {
            if rng.random_bool(0.5) {
                return Some((instance, stop_ms));
            }
        }
        since_ms = until_ms;
    }
    None
}

fn stops_between(shared: &Shared, since_ms: u64, until_ms: u64) -> Vec<(usize, u64)> {
    let history = shared.history.lock().unwrap();
    let mut stops = Vec::new();
    for instance in 0..shared.addresses.len() {
        let new = history
            .stops(instance)
            .filter(|stop_ms| (since_ms..until_ms).contains(stop_ms));
        stops.extend(new.map(|stop_ms| (instance, stop_ms)));
    }
    stops
}

/// Waits until the request is to be sent. Returns its connection, if there is one.
async fn arrive(
    shared: &Shared,
    arrival: Arrival,
    instance: usize,
    stop_ms: u64,
    kept: Option<CallerConnection>,
) -> Option<CallerConnection> {
    let sleep_for = |after_ms| sleep_until(shared.clock.instant(stop_ms + after_ms));
    match arrival {
        Arrival::Kept { after_ms } => {
            sleep_for(after_ms).await;
            kept
        }
        Arrival::New { after_ms } => {
            sleep_for(after_ms).await;
            CallerConnection::open(shared, instance).await
        }
        Arrival::Last {
            open_after_ms,
            after_ms,
        } => {
            sleep_for(open_after_ms).await;
            let connection = CallerConnection::open(shared, instance).await;
            sleep_for(after_ms).await;
            connection
        }
    }
}
