//! A minimal control program that serves a view and adds the instances that register.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use model::{InstanceId, View};
use peer::{PeerHandler, PeerRequest, PeerResponse};
use tokio::{net::TcpListener, sync::watch};

/// Time after its last registration at which an instance is removed from the view.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between two checks for expired registrations.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// A running control program.
pub struct Control {
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    view: watch::Sender<Arc<View>>,
    registrations: Mutex<Vec<(InstanceId, Instant)>>,
    /// Whether instances are listed with an address on which nothing listens.
    hides_addresses: AtomicBool,
}

impl Control {
    pub async fn start(view: View) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            view: watch::Sender::new(Arc::new(view)),
            registrations: Mutex::default(),
            hides_addresses: AtomicBool::new(false),
        });
        tokio::spawn(peer::serve(
            listener,
            Arc::clone(&state),
            std::future::pending(),
        ));
        let sweep_state = Arc::clone(&state);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(SWEEP_INTERVAL).await;
                sweep_state.remove_expired();
            }
        });
        Self { address, state }
    }

    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.state.view.subscribe()
    }

    /// Lists instances that register from now on with an unreachable address.
    pub fn hide_addresses(&self) {
        self.state.hides_addresses.store(true, Ordering::Relaxed);
    }

    /// Applies `change` to the view and increments its revision.
    pub fn change(&self, change: impl FnOnce(&mut View)) {
        self.state.change(change);
    }
}

impl State {
    fn change(&self, change: impl FnOnce(&mut View)) {
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            change(view);
            view.revision += 1;
        });
    }

    fn remove_expired(&self) {
        let mut registrations = self.registrations.lock().unwrap();
        let expired: Vec<_> = registrations
            .extract_if(.., |(_, at)| at.elapsed() > REGISTRATION_TIMEOUT)
            .collect();
        for (id, _) in expired {
            self.change(|view| view.instances.retain(|entry| entry.id != id));
        }
    }
}

impl PeerHandler for State {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::ViewSince { revision, wait_ms } => {
                let mut view = self.view.subscribe();
                let newer = view.wait_for(|view| view.revision > revision);
                let wait = Duration::from_millis(wait_ms);
                let _ = tokio::time::timeout(wait, newer).await;
                let view = (**self.view.borrow()).clone();
                PeerResponse::View(Box::new(view))
            }
            PeerRequest::Register(mut entry) => {
                if self.hides_addresses.load(Ordering::Relaxed) {
                    "127.0.0.1:1".clone_into(&mut entry.peer_address);
                }
                let mut registrations = self.registrations.lock().unwrap();
                registrations.retain(|(id, _)| *id != entry.id);
                registrations.push((entry.id.clone(), Instant::now()));
                drop(registrations);
                if !self.view.borrow().instances.contains(&entry) {
                    self.change(|view| {
                        view.instances.retain(|other| other.id != entry.id);
                        view.instances.push(entry);
                        view.instances.sort_by(|a, b| a.id.cmp(&b.id));
                    });
                }
                PeerResponse::Ack
            }
            _ => PeerResponse::Ack,
        }
    }
}
