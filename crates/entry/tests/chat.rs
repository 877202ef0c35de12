//! Chat completions through an entry, against stand-in engines.

mod support;

use http::StatusCode;
use serde_json::Value;
use standin::{EngineSettings, Fault, FaultKind, Standin, StandinClient, start_engine};
use support::{TestEntry, any_port, chat_body, engine_entry};

async fn start_engines(count: usize) -> Vec<Standin> {
    let mut engines = Vec::new();
    for _ in 0..count {
        let engine = start_engine(EngineSettings::default()).await;
        engines.push(engine.expect("an engine starts"));
    }
    engines
}

async fn start_entry(engines: &[Standin]) -> TestEntry {
    let upstreams = engines
        .iter()
        .enumerate()
        .map(|(index, standin)| engine_entry(&format!("engine-{index}"), standin.address()))
        .collect();
    TestEntry::start(upstreams, any_port()).await
}

fn with_streaming(mut body: Value) -> Value {
    body["stream"] = Value::Bool(true);
    body
}

async fn total_runs(engines: &[Standin]) -> u32 {
    let mut runs = 0;
    for engine in engines {
        let counts = StandinClient::new(engine.address()).runs().await;
        let counts = counts.expect("the engine counts runs");
        runs += counts.prompts.iter().map(|count| count.runs).sum::<u32>();
    }
    runs
}

#[tokio::test]
async fn chat_unstreamed_has_openai_format() {
    let engines = start_engines(1).await;
    let entry = start_entry(&engines).await;
    let answer = entry.chat(&[], chat_body("a hint please", 5)).await;
    assert_eq!(answer.status, StatusCode::OK);
    let json = answer.json();
    assert_eq!(json["object"], "chat.completion");
    assert_eq!(json["model"], "oraculo");
    assert_eq!(json["choices"][0]["message"]["role"], "assistant");
    assert_eq!(json["choices"][0]["finish_reason"], "length");
    assert_eq!(json["usage"]["completion_tokens"], 5);
    assert!(
        json["created"]
            .as_u64()
            .is_some_and(|created_s| created_s > 0)
    );
    let id = json["id"].as_str().unwrap_or_default();
    assert!(id.starts_with("chatcmpl-"), "{id}");
}

#[tokio::test]
async fn chat_streamed_has_same_text_as_unstreamed() {
    let engines = start_engines(1).await;
    let entry = start_entry(&engines).await;
    let plain = entry.chat(&[], chat_body("a hint please", 8)).await.json();
    let body = with_streaming(chat_body("a hint please", 8));
    let answer = entry.chat(&[], body).await;
    assert_eq!(
        answer.header("content-type"),
        Some("text/event-stream; charset=utf-8")
    );
    let content = &plain["choices"][0]["message"]["content"];
    assert_eq!(content, &answer.streamed_text());
    let events = answer.events();
    let first: Value = serde_json::from_str(&events[0]).expect("an event is JSON");
    assert_eq!(first["object"], "chat.completion.chunk");
    assert_eq!(first["choices"][0]["delta"]["role"], "assistant");
    let last: Value = serde_json::from_str(&events[events.len() - 2]).expect("an event is JSON");
    assert_eq!(last["choices"][0]["finish_reason"], "length");
    assert!(last.get("usage").is_none());
}

#[tokio::test]
async fn chat_streamed_includes_usage_on_request() {
    let engines = start_engines(1).await;
    let entry = start_entry(&engines).await;
    let mut body = with_streaming(chat_body("a hint please", 3));
    body["stream_options"] = serde_json::json!({"include_usage": true});
    let events = entry.chat(&[], body).await.events();
    let last: Value = serde_json::from_str(&events[events.len() - 2]).expect("an event is JSON");
    assert_eq!(last["choices"], serde_json::json!([]));
    assert_eq!(last["usage"]["completion_tokens"], 3);
}

/// Returns the text that one engine generates without a fault.
async fn uninterrupted_text(prompt: &str, max_tokens: u32) -> String {
    let engines = start_engines(1).await;
    let entry = start_entry(&engines).await;
    let body = with_streaming(chat_body(prompt, max_tokens));
    entry.chat(&[], body).await.streamed_text()
}

#[tokio::test]
async fn chat_engine_lost_in_mid_stream_is_continued_at_another() {
    let engines = start_engines(2).await;
    let entry = start_entry(&engines).await;
    let body = with_streaming(chat_body("tell me where to dig [[tokens=60]]", 60));
    let answer = entry.chat(&[], body);
    let stop_engine = async {
        // Stops the engine that runs the request after it has generated 10 tokens.
        loop {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            for engine in &engines {
                let client = StandinClient::new(engine.address());
                let counts = client.runs().await.expect("the engine counts runs");
                if counts.prompts.iter().any(|count| count.tokens >= 10) {
                    let fault = Fault::new(FaultKind::Down).with_for_ms(60_000);
                    client.add_fault(&fault).await.expect("the fault is set");
                    return;
                }
            }
        }
    };
    let (answer, ()) = tokio::join!(answer, stop_engine);
    assert_eq!(answer.status, StatusCode::OK);
    let expected = uninterrupted_text("tell me where to dig [[tokens=60]]", 60).await;
    assert_eq!(answer.streamed_text(), expected);
}

#[tokio::test]
async fn chat_failing_prompt_is_refused_after_at_most_two_runs() {
    let engines = start_engines(3).await;
    let entry = start_entry(&engines).await;
    let answer = entry.chat(&[], chat_body("[[fail]]", 5)).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.error_code(), "upstream_failed");
    assert_eq!(answer.header("redwingtack-ran"), Some("yes"));
    assert!(total_runs(&engines).await <= 2);
}

#[tokio::test]
async fn chat_caller_disconnect_cancels_engine_run() {
    // Unless the run is cancelled, this engine generates all tokens although the
    // caller has disconnected.
    let settings = EngineSettings {
        resume_keep_ms: u64::MAX / 2,
        ..EngineSettings::default()
    };
    let engines = vec![start_engine(settings).await.expect("an engine starts")];
    let entry = start_entry(&engines).await;
    let body = with_streaming(chat_body("a very long hint [[tokens=100000]]", 100_000));
    let request = entry.chat(&[], body);
    let response = tokio::time::timeout(std::time::Duration::from_millis(200), request).await;
    assert!(response.is_err());
    let client = StandinClient::new(engines[0].address());
    let tokens = async || {
        let counts = client.runs().await.expect("the engine counts runs");
        counts.prompts.iter().map(|count| count.tokens).sum::<u32>()
    };
    let mut previous_tokens = tokens().await;
    let started_at = tokio::time::Instant::now();
    loop {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        let current_tokens = tokens().await;
        if current_tokens == previous_tokens {
            return;
        }
        assert!(
            started_at.elapsed() < support::WAIT_TIMEOUT,
            "the engine still generates tokens"
        );
        previous_tokens = current_tokens;
    }
}
