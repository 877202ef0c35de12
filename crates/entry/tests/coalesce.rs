//! Resends of chat requests under one idempotency key.

mod support;

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use model::{
    FailureDomain, InstanceEntry, InstanceId, InstanceRole, Liveness, Region, UpstreamEntry, View,
};
use serde_json::Value;
use standin::{EngineSettings, Standin, StandinClient, start_engine};
use support::{PATIENCE, TestEntry, any_port, chat_body, engine, view_of};

const KEY: (&str, &str) = ("idempotency-key", "round-7-team-3");

struct Site {
    engine: Standin,
    entries: Vec<TestEntry>,
}

impl Site {
    /// Two entries that know each other, over one engine.
    async fn start() -> Self {
        let standin = start_engine(EngineSettings::default()).await;
        let standin = standin.expect("an engine starts");
        let upstreams = vec![engine("engine-0", standin.address())];
        let mut entries = Vec::new();
        for name in ["entry-0", "entry-1"] {
            let entry = TestEntry::start_with(upstreams.clone(), any_port(), |settings| {
                settings.node.instance_id = InstanceId::new(name);
            });
            entries.push(entry.await);
        }
        let view = Arc::new(view(&entries, upstreams));
        for entry in &entries {
            entry.view.send_replace(Arc::clone(&view));
        }
        Self {
            engine: standin,
            entries,
        }
    }

    /// Index of the entry at which the tests' key is at home.
    fn home(&self) -> usize {
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

fn view(entries: &[TestEntry], upstreams: Vec<UpstreamEntry>) -> View {
    let mut view = view_of(upstreams);
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
async fn coalesce_two_entries_at_once_run_it_once() {
    let site = Site::start().await;
    let first = site.entries[0].chat(&[KEY], body(30, true));
    let second = site.entries[1].chat(&[KEY], body(30, true));
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.streamed_text(), second.streamed_text());
    assert_eq!(first.streamed_text().split_whitespace().count(), 30);
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn coalesce_resend_later_gets_the_same_answer() {
    let site = Site::start().await;
    let first = site.entries[0].chat(&[KEY], body(5, false)).await;
    let again = site.entries[1].chat(&[KEY], body(5, false)).await;
    let content = |json: Value| json["choices"][0]["message"]["content"].clone();
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(again.json()["usage"], first.json()["usage"]);
    assert_eq!(content(first.json()), content(again.json()));
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn coalesce_other_content_is_a_conflict() {
    let site = Site::start().await;
    for entry in &site.entries {
        let first = entry.chat(&[KEY], body(5, false)).await;
        assert_eq!(first.status, StatusCode::OK);
        let other = entry.chat(&[KEY], body(6, false)).await;
        assert_eq!(other.code(), "idempotency_conflict");
        assert_eq!(other.header("redwingtack-ran"), Some("no"));
    }
}

#[tokio::test]
async fn coalesce_other_customers_key_is_another_key() {
    let site = Site::start().await;
    let entry = &site.entries[0];
    let first = entry.chat(&[KEY], body(5, false)).await;
    let headers = [("authorization", "Bearer customer-2"), KEY];
    let payload = body(6, false).to_string().into();
    let path = "/v1/chat/completions";
    let other = support::send(entry.address, http::Method::POST, path, &headers, payload).await;
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(other.status, StatusCode::OK);
}

#[tokio::test]
async fn coalesce_caller_gone_leaves_the_answer_for_its_resend() {
    let site = Site::start().await;
    let request = site.entries[0].chat(&[KEY], body(30, false));
    let gone = tokio::time::timeout(Duration::from_millis(100), request).await;
    assert!(gone.is_err());
    let again = site.entries[1].chat(&[KEY], body(30, true)).await;
    assert_eq!(again.streamed_text().split_whitespace().count(), 30);
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn coalesce_home_lost_in_mid_stream_is_taken_over() {
    let site = Site::start().await;
    let expected = site.entries[0].chat(&[], body(60, true)).await;
    let (home, away) = (site.home(), 1 - site.home());
    let answer = site.entries[away].chat(&[KEY], body(60, true));
    let lose_home = async {
        let began = tokio::time::Instant::now();
        while site.runs().await < 2 {
            assert!(began.elapsed() < PATIENCE, "the request never ran");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        // Ends everything that the home entry does for peers.
        site.entries[home].running.abort();
    };
    let (answer, ()) = tokio::join!(answer, lose_home);
    assert_eq!(answer.streamed_text(), expected.streamed_text());
}
