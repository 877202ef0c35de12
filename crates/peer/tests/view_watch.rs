//! A view watch follows its control program through restarts.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use model::{
    FailureDomain, FleetConfig, InstanceEntry, InstanceId, InstanceRole, Liveness, Region, View,
};
use peer::{PeerClient, PeerHandler, PeerRequest, PeerResponse, ViewWatch, serve};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::timeout};

const LONG: Duration = Duration::from_secs(20);

struct Control {
    view: watch::Sender<View>,
    registered: Mutex<Vec<InstanceEntry>>,
}

impl PeerHandler for Control {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::ViewSince { revision, .. } => {
                let mut view = self.view.subscribe();
                let view = view.wait_for(|view| view.revision != revision).await;
                PeerResponse::View(Box::new(view.expect("the sender lives").clone()))
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

async fn start(address: &str, view: View) -> (String, Arc<Control>, JoinHandle<()>) {
    let listener = TcpListener::bind(address).await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let control = Arc::new(Control {
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

fn own() -> InstanceEntry {
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

async fn wait_for(watch: &ViewWatch, revision: u64) -> Arc<View> {
    let mut receiver = watch.subscribe();
    let view = timeout(LONG, receiver.wait_for(|view| view.revision == revision))
        .await
        .expect("the view arrives")
        .expect("the watch lives");
    Arc::clone(&view)
}

#[tokio::test]
async fn view_watch_follows_changes() {
    let (address, control, _task) = start("127.0.0.1:0", view(1, 0)).await;
    let watch = ViewWatch::start(&address, own(), PeerClient::new());
    wait_for(&watch, 1).await;
    control.view.send_replace(view(2, 3));
    assert_eq!(wait_for(&watch, 2).await.config.version, 3);
    timeout(LONG, watch.wait_until_configured())
        .await
        .expect("configured");
}

#[tokio::test]
async fn view_watch_keeps_the_newer_configuration_over_a_restart() {
    let (address, _control, task) = start("127.0.0.1:0", view(9, 5)).await;
    let watch = ViewWatch::start(&address, own(), PeerClient::new());
    wait_for(&watch, 9).await;
    task.abort();
    let _ = task.await;
    // The restarted program counts revisions anew and has heard of less.
    let (_, control, _task) = start(&address, view(2, 4)).await;
    assert_eq!(wait_for(&watch, 2).await.config.version, 5);
    control.view.send_replace(view(3, 6));
    assert_eq!(wait_for(&watch, 3).await.config.version, 6);
}

#[tokio::test]
async fn view_watch_registers_changes_of_liveness() {
    let (address, control, _task) = start("127.0.0.1:0", view(1, 1)).await;
    let watch = ViewWatch::start(&address, own(), PeerClient::new());
    wait_for(&watch, 1).await;
    watch.set_liveness(Liveness::Leaving);
    let leaving = async {
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
    timeout(LONG, leaving).await.expect("leaving is registered");
}

#[test]
fn view_watch_paused_process_is_not_fresh_until_confirmed() {
    let control = tokio::runtime::Runtime::new().expect("runtime");
    let (address, handle, _task) = control.block_on(start("127.0.0.1:0", view(1, 1)));
    let paused = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    paused.block_on(async {
        let watch = ViewWatch::start(&address, own(), PeerClient::new());
        wait_for(&watch, 1).await;
        let fresh = async {
            while !watch.is_fresh() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(LONG, fresh).await.expect("fresh");
        // Blocks the only thread of this runtime, as a pause of the process does.
        std::thread::sleep(Duration::from_millis(1_300));
        assert!(!watch.is_fresh(), "nothing was confirmed since the pause");
        handle.view.send_replace(view(2, 2));
        let fresh = async {
            while !watch.is_fresh() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(LONG, fresh).await.expect("fresh again");
        assert_eq!(watch.current().config.version, 2);
    });
}
