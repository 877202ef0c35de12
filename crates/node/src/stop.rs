//! Signals: planned stop, and settings read again.

use std::{io, rc::Rc, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    feeds, jobs,
    node::{Node, Stage},
};

/// Time until the platform has noticed that no callers should come: it asks
/// once a second and needs two answers.
const OUT_OF_ROTATION: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace period the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How often to look whether all work is done.
const POLL: Duration = Duration::from_millis(20);

/// Runs until a planned stop is complete.
///
/// # Errors
///
/// Returns an error if signal handlers cannot be installed.
pub(crate) async fn until_stopped(node: &Rc<Node>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => feeds::reload_settings(node),
        }
    }
    let grace = Duration::from_millis(node.settings().stop_grace_ms);
    let exit_by = Instant::now() + grace.saturating_sub(EXIT_MARGIN);
    log::info!("event=stopping grace_ms={}", grace.as_millis());
    node.stage.send_replace(Stage::Draining);
    let out_of_rotation = Instant::now() + OUT_OF_ROTATION;
    jobs::hand_back(node, out_of_rotation.min(exit_by)).await;
    sleep_until(out_of_rotation.min(exit_by)).await;
    node.stage.send_replace(Stage::Closing);
    while node.open_connections.get() > 0 && Instant::now() < exit_by {
        sleep(POLL).await;
    }
    feeds::leave(node).await;
    log::info!(
        "event=stopped open_requests={} open_connections={}",
        node.open_requests.get(),
        node.open_connections.get()
    );
    Ok(())
}
