//! Graceful shutdown on SIGTERM or SIGINT. A second signal ends the process
//! immediately.

use std::{io, process};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

/// Exit code after a second signal, which ends the process before the graceful
/// shutdown is complete.
const EXIT_FORCED: i32 = 130;

/// Tells the tasks of a program that it is shutting down. Clones share the
/// state.
#[derive(Debug, Clone)]
pub struct Shutdown {
    sender: watch::Sender<bool>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

impl Shutdown {
    /// Creates a shutdown that has not begun.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }

    /// Begins the graceful shutdown.
    pub fn begin(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the graceful shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.sender.borrow()
    }

    /// Completes as soon as the graceful shutdown has begun.
    pub async fn begun(&self) {
        let mut receiver = self.sender.subscribe();
        // `self` owns a sender, so the channel cannot close and the wait cannot
        // fail.
        let _ = receiver.wait_for(|stopping| *stopping).await;
    }
}

/// Begins `shutdown` at the first SIGTERM or SIGINT and returns once it has
/// begun, also if another task began it. A second signal ends the process with
/// exit code 130.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn wait_for_signal(shutdown: &Shutdown) -> io::Result<()> {
    begin_shutdown_on_signal(shutdown)?;
    shutdown.begun().await;
    Ok(())
}

/// Begins `shutdown` as [`wait_for_signal`] does, but in the background. The
/// signal handlers are installed when this function returns, so no later signal
/// is lost. Must be called within a Tokio runtime.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub fn begin_shutdown_on_signal(shutdown: &Shutdown) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        next_signal(&mut terminate, &mut interrupt).await;
        shutdown.begin();
        next_signal(&mut terminate, &mut interrupt).await;
        process::exit(EXIT_FORCED);
    });
    Ok(())
}

/// Waits for the next signal of either kind.
async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
