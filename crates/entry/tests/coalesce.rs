//! Resends of chat requests under one idempotency key share one run.

mod support;

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use model::{
    FailureDomain, InstanceEntry, InstanceId, InstanceRole, Liveness, Region, UpstreamEntry, View,
};
use serde_json::Value;
use standin::{EngineSettings, Standin, StandinClient, start_engine};
use support::{TestEntry, WAIT_TIMEOUT, any_port, chat_body, engine_entry, view_with_upstreams};

const KEY: (&str, &str) = ("idempotency-key", "round-7-team-3");

struct Fixture {
    engine: Standin,
    entries: Vec<TestEntry>,
}

impl Fixture {
    /// Starts an engine and two entries that use it and know each other.
    async fn start() -> Self {
        let standin = start_engine(EngineSettings::default()).await;
        let standin = standin.expect("an engine starts");
        let upstreams = vec![engine_entry("engine-0", standin.address())];
        let mut entries = Vec::new();
        for name in ["entry-0", "entry-1"] {
            let entry = TestEntry::start_with(upstreams.clone(), any_port(), |settings| {
                settings.node.instance_id = InstanceId::new(name);
            });
            entries.push(entry.await);
        }
        let view = Arc::new(view_with_entries(&entries, upstreams));
        for entry in &entries {
            entry.view.send_replace(Arc::clone(&view));
        }
        Self {
            engine: standin,
            entries,
        }
    }

    /// Returns the index of the home entry of the tests' key.
    fn home_index(&self) -> usize {
        let view = Arc::clone(&self.entries[0].view.borrow());
        let home = membership::idempotency_key_home(
            &view,
            &Region::new("lima"),
            &format!("customer-1/{}", KEY.1),
        );
        let home = home.expect("a key has a home");
        usize::from(home.id.as_str() == "entry-1")
    }

    async fn runs(&self) -> u32 {
        let counts = StandinClient::new(self.engine.address()).runs().await;
        let counts = counts.expect("the engine counts runs");
        counts.prompts.iter().map(|count| count.runs).sum()
    }
}

fn view_with_entries(entries: &[TestEntry], upstreams: Vec<UpstreamEntry>) -> View {
    let mut view = view_with_upstreams(upstreams);
    for (index, entry) in entries.iter().enumerate() {
        view.instances.push(InstanceEntry {
            id: InstanceId::from(format!("entry-{index}")),
            role: InstanceRole::Entry,
            peer_address: entry.peer_address.to_string(),
            region: Region::new("lima"),
            failure_domain: FailureDomain::new("lima-a"),
            liveness: Liveness::Live,
            incarnation: 1,
        });
    }
    view
}

fn body(tokens: u32, stream: bool) -> Value {
    let mut body = chat_body(&format!("which key [[tokens={tokens}]]"), tokens);
    body["stream"] = stream.into();
    body
}

#[tokio::test]
async fn coalesce_concurrent_resends_run_once() {
    let fixture = Fixture::start().await;
    let first = fixture.entries[0].chat(&[KEY], body(30, true));
    let second = fixture.entries[1].chat(&[KEY], body(30, true));
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.streamed_text(), second.streamed_text());
    assert_eq!(first.streamed_text().split_whitespace().count(), 30);
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn coalesce_later_resend_gets_same_answer() {
    let fixture = Fixture::start().await;
    let first = fixture.entries[0].chat(&[KEY], body(5, false)).await;
    let resent = fixture.entries[1].chat(&[KEY], body(5, false)).await;
    let content = |json: Value| json["choices"][0]["message"]["content"].clone();
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(resent.json()["usage"], first.json()["usage"]);
    assert_eq!(content(first.json()), content(resent.json()));
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn coalesce_same_key_with_other_body_conflicts() {
    let fixture = Fixture::start().await;
    for entry in &fixture.entries {
        let first = entry.chat(&[KEY], body(5, false)).await;
        assert_eq!(first.status, StatusCode::OK);
        let other = entry.chat(&[KEY], body(6, false)).await;
        assert_eq!(other.error_code(), "idempotency_conflict");
        assert_eq!(other.header("redwingtack-ran"), Some("no"));
    }
}

#[tokio::test]
async fn coalesce_same_key_of_other_customer_is_independent() {
    let fixture = Fixture::start().await;
    let entry = &fixture.entries[0];
    let first = entry.chat(&[KEY], body(5, false)).await;
    let headers = [("authorization", "Bearer customer-2"), KEY];
    let payload = body(6, false).to_string().into();
    let path = "/v1/chat/completions";
    let other = support::send(entry.address, http::Method::POST, path, &headers, payload).await;
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(other.status, StatusCode::OK);
}

#[tokio::test]
async fn coalesce_run_continues_after_caller_disconnect() {
    let fixture = Fixture::start().await;
    let request = fixture.entries[0].chat(&[KEY], body(30, false));
    let response = tokio::time::timeout(Duration::from_millis(100), request).await;
    assert!(response.is_err());
    let resent = fixture.entries[1].chat(&[KEY], body(30, true)).await;
    assert_eq!(resent.streamed_text().split_whitespace().count(), 30);
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn coalesce_home_entry_lost_in_mid_stream_is_taken_over() {
    let fixture = Fixture::start().await;
    let expected = fixture.entries[0].chat(&[], body(60, true)).await;
    let (home_index, other_index) = (fixture.home_index(), 1 - fixture.home_index());
    let answer = fixture.entries[other_index].chat(&[KEY], body(60, true));
    let stop_home_entry = async {
        let started_at = tokio::time::Instant::now();
        while fixture.runs().await < 2 {
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "the request never ran");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        // Aborts the home entry, including all that it does for peers.
        fixture.entries[home_index].server_task.abort();
    };
    let (answer, ()) = tokio::join!(answer, stop_home_entry);
    assert_eq!(answer.streamed_text(), expected.streamed_text());
}
