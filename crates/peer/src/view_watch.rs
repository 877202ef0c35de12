//! Keeps a copy of the fleet view that the control program on this instance
//! serves, and registers this program there.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use model::{ErrorKind, InstanceEntry, Liveness, View};
use tokio::{sync::watch, task::JoinHandle, time::Instant};

use crate::{
    Freshness, PeerClient, PeerError, PeerRequest, PeerResponse, pause_detector::PauseDetector,
};

/// Maximum time, in milliseconds, that the control program waits for a change
/// before it responds with the unchanged view.
const POLL_WAIT_MS: u64 = 10_000;
/// Time beyond [`POLL_WAIT_MS`] after which a poll times out. It allows for slow
/// responses of the control program.
const POLL_GRACE: Duration = Duration::from_secs(5);
/// Delay before the next poll after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between registrations of this program's entry.
const REGISTER_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a registration times out.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// A fleet view that background tasks keep up to date until the watch is
/// dropped.
#[derive(Debug)]
pub struct ViewWatch {
    view: watch::Receiver<Arc<View>>,
    own_entry: watch::Sender<InstanceEntry>,
    pause_detector: PauseDetector,
    tasks: [JoinHandle<()>; 3],
}

impl ViewWatch {
    /// Starts to poll the control program at `control` (`IP:PORT`) and to
    /// register `own_entry` there. An incarnation of zero is replaced by the
    /// current Unix time in milliseconds.
    ///
    /// Until the control program responds for the first time, the view is empty
    /// and has configuration version zero. While the control program cannot be
    /// reached, the last view is kept.
    #[must_use]
    pub fn start(control: &str, mut own_entry: InstanceEntry, client: PeerClient) -> Self {
        if own_entry.incarnation == 0 {
            own_entry.incarnation = unix_ms();
        }
        let (sender, view) = watch::channel(Arc::new(View::default()));
        let (own_entry, entry_receiver) = watch::channel(own_entry);
        let control: Arc<str> = Arc::from(control);
        let pause_detector = PauseDetector::new();
        let poller = ViewPoller {
            control: Arc::clone(&control),
            client: client.clone(),
            sender,
            pause_detector: pause_detector.clone(),
        };
        let poll = tokio::spawn(poller.run());
        let tick = tokio::spawn(pause_detector.clone().run());
        let register = tokio::spawn(register_periodically(control, client, entry_receiver));
        Self {
            view,
            own_entry,
            pause_detector,
            tasks: [poll, register, tick],
        }
    }

    /// Returns the latest view.
    #[must_use]
    pub fn current(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns whether new work may be accepted. After a pause of the process
    /// this is false until the control program has confirmed or replaced the
    /// view.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.pause_detector.is_fresh()
    }

    /// Returns a handle for [`Self::is_fresh`] that can be passed to tasks that
    /// have no access to the watch.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        Freshness::new(self.pause_detector.clone())
    }

    /// Returns a receiver that is notified of each new view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Resolves once a configuration has been received.
    pub async fn wait_until_configured(&self) {
        let mut view = self.view.clone();
        // An error means that the polling task has ended, which happens only
        // when `self` is dropped.
        let _ = view.wait_for(|view| view.config.version > 0).await;
    }

    /// Sets the liveness in this program's entry and registers the entry at
    /// once.
    pub fn set_liveness(&self, liveness: Liveness) {
        self.own_entry
            .send_modify(|entry| entry.liveness = liveness);
    }
}

impl Drop for ViewWatch {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Polls the control program for new views.
struct ViewPoller {
    control: Arc<str>,
    client: PeerClient,
    sender: watch::Sender<Arc<View>>,
    pause_detector: PauseDetector,
}

/// Response of the control program to a poll.
enum PollOutcome {
    View(View),
    /// The control program cannot confirm its view at present.
    NotReady,
}

impl ViewPoller {
    async fn run(self) {
        let mut revision = 0;
        let mut was_lost = false;
        loop {
            let pause_count = self.pause_detector.check_for_pause();
            // After a pause the view must be confirmed at once, even if it has
            // not changed; revision 0 makes the control program respond
            // without waiting.
            let known_revision = if self.pause_detector.is_fresh() {
                revision
            } else {
                0
            };
            let outcome = tokio::select! {
                outcome = self.poll(known_revision) => outcome,
                () = self.pause_detector.wait_for_pause() => continue,
            };
            match outcome {
                Ok(PollOutcome::View(view)) => {
                    if was_lost {
                        log::info!("event=control_back control={}", self.control);
                        was_lost = false;
                    }
                    revision = view.revision;
                    publish(&self.sender, view);
                    self.pause_detector.on_refreshed(pause_count);
                }
                Ok(PollOutcome::NotReady) => {}
                Err(error) => {
                    if !was_lost {
                        log::warn!(
                            "event=control_lost control={} error={error:?}",
                            self.control
                        );
                        was_lost = true;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn poll(&self, revision: u64) -> Result<PollOutcome, PeerError> {
        let request = PeerRequest::ViewSince {
            revision,
            wait_ms: POLL_WAIT_MS,
        };
        let deadline = Instant::now() + Duration::from_millis(POLL_WAIT_MS) + POLL_GRACE;
        match self.client.call(&self.control, &request, deadline).await? {
            PeerResponse::View(view) => Ok(PollOutcome::View(*view)),
            PeerResponse::Refused(ErrorKind::NotReady) => Ok(PollOutcome::NotReady),
            other => Err(PeerError::Malformed(format!(
                "expected a view, got {other:?}"
            ))),
        }
    }
}

/// Publishes `view`. A restarted control program may have an older
/// configuration than the one in force in this program; then the newer one is
/// kept.
fn publish(sender: &watch::Sender<Arc<View>>, mut view: View) {
    sender.send_if_modified(|current| {
        if view.revision == current.revision {
            return false;
        }
        if view.config.version < current.config.version {
            view.config = current.config.clone();
        }
        *current = Arc::new(std::mem::take(&mut view));
        true
    });
}

async fn register_periodically(
    control: Arc<str>,
    client: PeerClient,
    mut own_entry: watch::Receiver<InstanceEntry>,
) {
    loop {
        let entry = own_entry.borrow_and_update().clone();
        let request = PeerRequest::Register(entry);
        let deadline = Instant::now() + REGISTER_TIMEOUT;
        match client.call(&control, &request, deadline).await {
            Ok(PeerResponse::Refused(kind)) if kind != ErrorKind::NotReady => {
                log::warn!("event=register_refused kind={kind:?}");
            }
            Ok(_) => {}
            Err(error) => log::debug!("event=register_failed error={error:?}"),
        }
        tokio::select! {
            () = tokio::time::sleep(REGISTER_INTERVAL) => {}
            changed = own_entry.changed() => if changed.is_err() { return },
        }
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
