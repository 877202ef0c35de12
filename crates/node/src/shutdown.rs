//! Handles signals: SIGTERM and SIGINT begin a planned stop, SIGHUP reloads the
//! settings.

use std::{io, rc::Rc, time::Duration};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    feeds, heartbeats, jobs,
    node::{Node, Stage},
};

/// Time from the start of a planned stop until the platform routes no more callers to
/// this instance. The platform checks readiness once a second and needs two failed
/// checks.
const ROTATION_DELAY: Duration = Duration::from_millis(2_600);
/// The requests in progress end this long before the platform's grace period for a planned
/// stop does, milliseconds.
const END_MARGIN_MS: u64 = 400;
/// Time in which the last answers are written, after the requests in progress were ended.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// Time reserved at the end for requests that arrive just before connections are
/// refused.
const LAST_REQUESTS_MARGIN: Duration = Duration::from_millis(1_500);
/// Time without a connection after which no further caller is expected, once the platform has
/// stopped sending them.
const QUIET_TIME_MS: u64 = 200;
/// Interval of checking whether all connections are closed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The signals that the process handles. Until they exist, each of them ends the process at
/// once, so they are created before anything else. A signal that comes before it is waited for
/// is kept.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers. Must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Waits for a signal that begins a planned stop, and returns when the stop is
/// complete.
pub(crate) async fn run_until_stopped(node: &Rc<Node>, mut signals: Signals) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => feeds::reload_settings(node),
        }
    }
    let grace_ms = node.settings().stop_grace_ms;
    let end_ms = node.now_ms() + grace_ms.saturating_sub(END_MARGIN_MS);
    node.stop_deadline_ms.set(Some(end_ms));
    let end = node.clock.instant(end_ms);
    log::info!("event=stopping grace_ms={grace_ms}");
    node.stage.send_replace(Stage::Draining);
    let out_of_rotation_at = end.min(Instant::now() + ROTATION_DELAY);
    spawn_local(heartbeats::announce_stop(Rc::clone(node)));
    jobs::release_jobs(node, out_of_rotation_at).await;
    // The jobs are released, so none depends on the lease. The removal runs in
    // the background because the store may be slow.
    spawn_local(heartbeats::remove_heartbeat(Rc::clone(node)));
    sleep_until(out_of_rotation_at).await;
    node.stage.send_replace(Stage::Closing);
    wait_until_no_caller_comes(node, end - LAST_REQUESTS_MARGIN).await;
    node.stage.send_replace(Stage::Closed);
    wait_until_connections_close(node, end).await;
    node.stage.send_replace(Stage::Ending);
    wait_until_connections_close(node, end + LAST_ANSWERS_TIME).await;
    log::info!(
        "event=stopped open_requests={} open_connections={}",
        node.open_requests.get(),
        node.open_connections.get()
    );
}

/// Waits until there has been no connection for some time. A caller that is still sent here is told
/// to come back elsewhere, which it learns sooner from an answer than from a closed port.
async fn wait_until_no_caller_comes(node: &Node, deadline: Instant) {
    let is_quiet = || {
        let quiet_from_ms = node.last_connection_end_ms.get() + QUIET_TIME_MS;
        node.open_connections.get() == 0 && node.now_ms() >= quiet_from_ms
    };
    while !is_quiet() && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}

async fn wait_until_connections_close(node: &Node, deadline: Instant) {
    while node.open_connections.get() > 0 && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}
