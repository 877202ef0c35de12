//! Tests that a view watch follows its control program, also through restarts
//! of the control program and pauses of its own process.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use model::{
    FailureDomain, FleetConfig, InstanceEntry, InstanceId, InstanceRole, Liveness, Region, View,
};
use peer::{PeerClient, PeerHandler, PeerRequest, PeerResponse, ViewWatch, serve};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::timeout};

const TIMEOUT: Duration = Duration::from_secs(20);

/// A control program that serves a scripted view and records registrations.
struct FakeControl {
    view: watch::Sender<View>,
    registered: Mutex<Vec<InstanceEntry>>,
}

impl PeerHandler for FakeControl {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::ViewSince { revision, .. } => {
                let mut view = self.view.subscribe();
                let view = view.wait_for(|view| view.revision != revision).await;
                PeerResponse::View(Box::new(view.expect("the sender is not dropped").clone()))
            }
            PeerRequest::Register(entry) => {
                self.registered.lock().expect("lock").push(entry);
                PeerResponse::Ack
            }
            other => panic!("unexpected {other:?}"),
        }
    }
}

fn view(revision: u64, config_version: u64) -> View {
    View {
        revision,
        config: FleetConfig {
            version: config_version,
            ..FleetConfig::default()
        },
        ..View::default()
    }
}

async fn start_control(address: &str, view: View) -> (String, Arc<FakeControl>, JoinHandle<()>) {
    let listener = TcpListener::bind(address).await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let control = Arc::new(FakeControl {
        view: watch::Sender::new(view),
        registered: Mutex::default(),
    });
    let task = tokio::spawn(serve(
        listener,
        Arc::clone(&control),
        std::future::pending(),
    ));
    (address, control, task)
}

fn own_entry() -> InstanceEntry {
    InstanceEntry {
        id: InstanceId::new("i-1"),
        role: InstanceRole::Entry,
        peer_address: "127.0.0.1:1".to_owned(),
        region: Region::new("lima"),
        failure_domain: FailureDomain::new("lima-a"),
        liveness: Liveness::Live,
        incarnation: 0,
    }
}

async fn wait_for_revision(watch: &ViewWatch, revision: u64) -> Arc<View> {
    let mut receiver = watch.subscribe();
    let view = timeout(TIMEOUT, receiver.wait_for(|view| view.revision == revision))
        .await
        .expect("the view arrives in time")
        .expect("the watch is not dropped");
    Arc::clone(&view)
}

#[tokio::test]
async fn view_watch_follows_changes() {
    let (address, control, _task) = start_control("127.0.0.1:0", view(1, 0)).await;
    let watch = ViewWatch::start(&address, own_entry(), PeerClient::new());
    wait_for_revision(&watch, 1).await;
    control.view.send_replace(view(2, 3));
    assert_eq!(wait_for_revision(&watch, 2).await.config.version, 3);
    timeout(TIMEOUT, watch.wait_until_configured())
        .await
        .expect("configured");
}

#[tokio::test]
async fn view_watch_keeps_the_newer_configuration_when_control_restarts() {
    let (address, _control, task) = start_control("127.0.0.1:0", view(9, 5)).await;
    let watch = ViewWatch::start(&address, own_entry(), PeerClient::new());
    wait_for_revision(&watch, 9).await;
    task.abort();
    let _ = task.await;
    // The restarted control program counts revisions from the start again and
    // has an older configuration.
    let (_, control, _task) = start_control(&address, view(2, 4)).await;
    assert_eq!(wait_for_revision(&watch, 2).await.config.version, 5);
    control.view.send_replace(view(3, 6));
    assert_eq!(wait_for_revision(&watch, 3).await.config.version, 6);
}

#[tokio::test]
async fn view_watch_registers_changes_of_liveness() {
    let (address, control, _task) = start_control("127.0.0.1:0", view(1, 1)).await;
    let watch = ViewWatch::start(&address, own_entry(), PeerClient::new());
    wait_for_revision(&watch, 1).await;
    watch.set_liveness(Liveness::Leaving);
    let leaving_registered = async {
        loop {
            let registered = control.registered.lock().expect("lock").clone();
            if let Some(entry) = registered.last()
                && entry.liveness == Liveness::Leaving
            {
                assert!(entry.incarnation > 0);
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, leaving_registered)
        .await
        .expect("leaving is registered");
}

#[test]
fn view_watch_is_not_fresh_after_a_pause_until_confirmed() {
    let control_runtime = tokio::runtime::Runtime::new().expect("runtime");
    let (address, control, _task) =
        control_runtime.block_on(start_control("127.0.0.1:0", view(1, 1)));
    let watch_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    watch_runtime.block_on(async {
        let watch = ViewWatch::start(&address, own_entry(), PeerClient::new());
        wait_for_revision(&watch, 1).await;
        let becomes_fresh = async {
            while !watch.is_fresh() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TIMEOUT, becomes_fresh).await.expect("fresh");
        // Blocks the only thread of this runtime, which has the same effect as
        // a pause of the process.
        std::thread::sleep(Duration::from_millis(1_300));
        assert!(!watch.is_fresh(), "no view was confirmed after the pause");
        control.view.send_replace(view(2, 2));
        let becomes_fresh = async {
            while !watch.is_fresh() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TIMEOUT, becomes_fresh).await.expect("fresh again");
        assert_eq!(watch.current().config.version, 2);
    });
}
