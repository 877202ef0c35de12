//! Keeps a copy of the view that the local control program serves.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use model::{ErrorKind, InstanceEntry, Liveness, View};
use tokio::{sync::watch, task::JoinHandle, time::Instant};

use crate::{Freshness, PeerClient, PeerError, PeerRequest, PeerResponse, gap::GapDetector};

/// Longest wait of the control program before it answers with the same view.
const POLL_WAIT_MS: u64 = 10_000;
/// Time beyond the wait after which an answer is given up.
const POLL_GRACE: Duration = Duration::from_secs(5);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between registrations of the own entry.
const REGISTER_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a registration is given up.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// A view kept up to date in the background, until dropped.
#[derive(Debug)]
pub struct ViewWatch {
    view: watch::Receiver<Arc<View>>,
    own: watch::Sender<InstanceEntry>,
    gaps: GapDetector,
    tasks: [JoinHandle<()>; 3],
}

impl ViewWatch {
    /// Follows the control program at `control` (`IP:PORT`) and registers
    /// `own` there. An incarnation of zero is replaced by the start time.
    ///
    /// Until the control program answers, the view has configuration version
    /// zero. While it is away, the last view stays.
    #[must_use]
    pub fn start(control: &str, mut own: InstanceEntry, client: PeerClient) -> Self {
        if own.incarnation == 0 {
            own.incarnation = unix_ms();
        }
        let (sender, view) = watch::channel(Arc::new(View::default()));
        let (own, own_receiver) = watch::channel(own);
        let control: Arc<str> = Arc::from(control);
        let gaps = GapDetector::new();
        let poll = Poll {
            control: Arc::clone(&control),
            client: client.clone(),
            sender,
            gaps: gaps.clone(),
        };
        let poll = tokio::spawn(poll.run());
        let tick = tokio::spawn(gaps.clone().run());
        let register = tokio::spawn(register_entry(control, client, own_receiver));
        Self {
            view,
            own,
            gaps,
            tasks: [poll, register, tick],
        }
    }

    /// The view as it is now.
    #[must_use]
    pub fn current(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Whether new work may be taken. After a pause of the process it may not
    /// until the control program has confirmed or replaced the view.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.gaps.is_fresh()
    }

    /// Tells the same to tasks that do not hold the watch.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        Freshness::new(self.gaps.clone())
    }

    /// A receiver that sees each new view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Resolves once a configuration has been received.
    pub async fn wait_until_configured(&self) {
        let mut view = self.view.clone();
        // An error means that the poll task ended, which it does only when
        // `self` is dropped.
        let _ = view.wait_for(|view| view.config.version > 0).await;
    }

    /// Changes the liveness in the own entry and registers it at once.
    pub fn set_liveness(&self, liveness: Liveness) {
        self.own.send_modify(|own| own.liveness = liveness);
    }
}

impl Drop for ViewWatch {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Follows the control program.
struct Poll {
    control: Arc<str>,
    client: PeerClient,
    sender: watch::Sender<Arc<View>>,
    gaps: GapDetector,
}

/// What the control program answered.
enum Fetched {
    View(View),
    /// It cannot confirm its view at present.
    NotReady,
}

impl Poll {
    async fn run(self) {
        let mut revision = 0;
        let mut was_lost = false;
        loop {
            let gaps = self.gaps.look();
            // After a pause even an unchanged view has to be confirmed at once.
            let known = if self.gaps.is_fresh() { revision } else { 0 };
            let fetched = tokio::select! {
                fetched = self.fetch(known) => fetched,
                () = self.gaps.noticed() => continue,
            };
            match fetched {
                Ok(Fetched::View(view)) => {
                    if was_lost {
                        log::info!("event=control_back control={}", self.control);
                        was_lost = false;
                    }
                    revision = view.revision;
                    publish(&self.sender, view);
                    self.gaps.refreshed(gaps);
                }
                Ok(Fetched::NotReady) => {}
                Err(error) => {
                    if !was_lost {
                        log::warn!(
                            "event=control_lost control={} error={error:?}",
                            self.control
                        );
                        was_lost = true;
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn fetch(&self, revision: u64) -> Result<Fetched, PeerError> {
        let request = PeerRequest::ViewSince {
            revision,
            wait_ms: POLL_WAIT_MS,
        };
        let deadline = Instant::now() + Duration::from_millis(POLL_WAIT_MS) + POLL_GRACE;
        match self.client.call(&self.control, &request, deadline).await? {
            PeerResponse::View(view) => Ok(Fetched::View(*view)),
            PeerResponse::Refused(ErrorKind::NotReady) => Ok(Fetched::NotReady),
            other => Err(PeerError::Malformed(format!("expected a view: {other:?}"))),
        }
    }
}

/// A restarted control program may know an older configuration than this
/// program had in force; the newer one is kept.
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

async fn register_entry(
    control: Arc<str>,
    client: PeerClient,
    mut own: watch::Receiver<InstanceEntry>,
) {
    loop {
        let entry = own.borrow_and_update().clone();
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
            changed = own.changed() => if changed.is_err() { return },
        }
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
