//! Planned stop on SIGTERM or SIGINT; a second signal ends the process at once.

use std::{io, process};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

/// Exit code after a second signal.
const EXIT_FORCED: i32 = 130;

/// Tells every task of a program whether it should stop.
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
    /// Starts in the running state.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }

    /// Begins the planned stop.
    pub fn begin(&self) {
        self.sender.send_replace(true);
    }

    /// Whether the planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.sender.borrow()
    }

    /// Resolves once the planned stop has begun.
    pub async fn begun(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives in `self`, so the channel cannot close.
        let _ = receiver.wait_for(|stopping| *stopping).await;
    }
}

/// Begins `shutdown` at the first signal and exits at the second.
///
/// # Errors
///
/// Returns an error if signal handlers cannot be installed.
pub async fn wait_for_signal(shutdown: &Shutdown) -> io::Result<()> {
    begin_shutdown_on_signal(shutdown)?;
    shutdown.begun().await;
    Ok(())
}

/// As [`wait_for_signal`], in the background. The handlers are in place when
/// this returns: a signal that comes next is not lost. Call within a runtime.
///
/// # Errors
///
/// Returns an error if signal handlers cannot be installed.
pub fn begin_shutdown_on_signal(shutdown: &Shutdown) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        either(&mut terminate, &mut interrupt).await;
        shutdown.begin();
        either(&mut terminate, &mut interrupt).await;
        process::exit(EXIT_FORCED);
    });
    Ok(())
}

async fn either(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
