//! An entry whose process was paused does not accept new work by the view that it
//! had before the pause.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use entry::ViewSource;
use http::StatusCode;
use model::{InstanceEntry, InstanceRole, Liveness, View};
use peer::{PeerClient, PeerHandler, PeerRequest, PeerResponse, serve};
use standin::{EngineSettings, start_engine};
use support::{
    TestEntry, WAIT_TIMEOUT, chat_body, engine_entry, instance_entry, view_with_upstreams,
};
use tokio::{net::TcpListener, runtime::Runtime, sync::watch, time::sleep};

/// Pause of the process; longer than the minimum that the pause detector recognizes.
const PAUSE: Duration = Duration::from_millis(1_300);
/// Time that the control program takes to respond after the pause.
const ANSWER_DELAY: Duration = Duration::from_millis(200);

struct ControlStandin {
    view: watch::Sender<View>,
    is_slow: AtomicBool,
}

impl PeerHandler for ControlStandin {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        let PeerRequest::ViewSince { revision, .. } = request else {
            return PeerResponse::Ack;
        };
        let mut view = self.view.subscribe();
        let view = view.wait_for(|view| view.revision != revision).await;
        let view = view.expect("the sender is not dropped").clone();
        if self.is_slow.load(Ordering::Acquire) {
            sleep(ANSWER_DELAY).await;
        }
        PeerResponse::View(Box::new(view))
    }
}

async fn start_control(view: View) -> (String, Arc<ControlStandin>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let control = Arc::new(ControlStandin {
        view: watch::Sender::new(view),
        is_slow: AtomicBool::new(false),
    });
    let handler = Arc::clone(&control);
    tokio::spawn(serve(listener, handler, std::future::pending()));
    (address, control)
}

fn entry_instance() -> InstanceEntry {
    instance_entry(InstanceRole::Entry, Liveness::Live)
}

#[test]
fn chat_after_pause_follows_current_configuration() {
    let standin_runtime = Runtime::new().expect("runtime");
    let (engine_standin, (address, control)) = standin_runtime.block_on(async {
        let standin = start_engine(EngineSettings::default()).await;
        let standin = standin.expect("an engine starts");
        let mut view = view_with_upstreams(vec![engine_entry("engine-0", standin.address())]);
        view.revision = 1;
        (standin, start_control(view).await)
    });
    let entry_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    entry_runtime.block_on(async {
        let view_source = ViewSource::follow_control(&address, entry_instance(), PeerClient::new());
        let entry = TestEntry::start_with_view_source(view_source, support::any_port()).await;
        let started_at = Instant::now();
        while entry.chat(&[], chat_body("before", 1)).await.status != StatusCode::OK {
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "the entry has no view");
            sleep(Duration::from_millis(10)).await;
        }
        // The operators remove every class during the pause.
        control.is_slow.store(true, Ordering::Release);
        thread::sleep(PAUSE);
        control.view.send_modify(|view| {
            view.revision = 2;
            view.config.version += 1;
            view.config.classes.clear();
            view.config.models.clear();
        });
        let answer = entry.chat(&[], chat_body("after", 1)).await;
        assert_ne!(
            answer.status,
            StatusCode::OK,
            "served by the old configuration"
        );
        assert_eq!(answer.header("redwingtack-ran"), Some("no"));
    });
    drop(engine_standin);
}
