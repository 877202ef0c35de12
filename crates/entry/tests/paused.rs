//! An entry that was paused takes no new work by what it knew before.

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
use support::{PATIENCE, TestEntry, chat_body, engine, own_entry, view_of};
use tokio::{net::TcpListener, runtime::Runtime, sync::watch, time::sleep};

/// Longer than the gap that counts as a pause.
const PAUSE: Duration = Duration::from_millis(1_300);
/// Time that the control program takes to answer after the pause.
const ANSWER_DELAY: Duration = Duration::from_millis(200);

struct Control {
    view: watch::Sender<View>,
    is_slow: AtomicBool,
}

impl PeerHandler for Control {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        let PeerRequest::ViewSince { revision, .. } = request else {
            return PeerResponse::Ack;
        };
        let mut view = self.view.subscribe();
        let view = view.wait_for(|view| view.revision != revision).await;
        let view = view.expect("the sender lives").clone();
        if self.is_slow.load(Ordering::Acquire) {
            sleep(ANSWER_DELAY).await;
        }
        PeerResponse::View(Box::new(view))
    }
}

async fn start_control(view: View) -> (String, Arc<Control>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let control = Arc::new(Control {
        view: watch::Sender::new(view),
        is_slow: AtomicBool::new(false),
    });
    let handler = Arc::clone(&control);
    tokio::spawn(serve(listener, handler, std::future::pending()));
    (address, control)
}

fn own() -> InstanceEntry {
    own_entry(InstanceRole::Entry, Liveness::Live)
}

#[test]
fn chat_after_a_pause_follows_the_configuration_of_now() {
    let outside = Runtime::new().expect("runtime");
    let (engine_standin, (address, control)) = outside.block_on(async {
        let standin = start_engine(EngineSettings::default()).await;
        let standin = standin.expect("an engine starts");
        let mut view = view_of(vec![engine("engine-0", standin.address())]);
        view.revision = 1;
        (standin, start_control(view).await)
    });
    let paused = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    paused.block_on(async {
        let view_source = ViewSource::follow_control(&address, own(), PeerClient::new());
        let entry = TestEntry::start_with_view_source(view_source, support::any_port()).await;
        let began = Instant::now();
        while entry.chat(&[], chat_body("before", 1)).await.status != StatusCode::OK {
            assert!(began.elapsed() < PATIENCE, "the entry has no view");
            sleep(Duration::from_millis(10)).await;
        }
        // Meanwhile the operators remove every class.
        control.is_slow.store(true, Ordering::Release);
        thread::sleep(PAUSE);
        control.view.send_modify(|view| {
            view.revision = 2;
            view.config.version += 1;
            view.config.classes.clear();
            view.config.models.clear();
        });
        let answer = entry.chat(&[], chat_body("after", 1)).await;
        assert_ne!(answer.status, StatusCode::OK, "served by the old version");
        assert_eq!(answer.header("redwingtack-ran"), Some("no"));
    });
    drop(engine_standin);
}
