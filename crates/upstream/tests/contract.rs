//! Contract tests of the upstream client against a stand-in engine and service,
//! with fault cases in tables.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use model::{ErrorKind, Ran};
use serde_json::json;
use standin::{
    EngineSettings, Fault, FaultKind, ServiceSettings, Standin, StandinClient, answer_tokens,
    start_engine, start_service,
};
use tokio::{net::TcpListener, time::Instant};
use upstream::{
    ChatRequest, ChatStream, Order, OrderAction, ServiceCall, UpstreamClient, UpstreamError,
    headers,
};

const LONG_TIMEOUT_MS: u64 = 30_000;
const SHORT_TIMEOUT_MS: u64 = 300;

async fn start_default_engine() -> (Standin, UpstreamClient, StandinClient) {
    start_engine_with(EngineSettings::default()).await
}

async fn start_engine_with(
    mut settings: EngineSettings,
) -> (Standin, UpstreamClient, StandinClient) {
    settings.params.base_us = 2_000.0;
    let standin = start_engine(settings).await.unwrap();
    let remote = StandinClient::new(standin.address());
    (standin, UpstreamClient::new(), remote)
}

fn request(prompt: &str) -> ChatRequest {
    let message = json!({
        "model": "oraculo",
        "messages": [{ "role": "user", "content": prompt }],
        "temperature": 0.5,
    });
    serde_json::from_value(message).unwrap()
}

fn deadline_after_ms(timeout_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(timeout_ms)
}

async fn chat(
    client: &UpstreamClient,
    address: SocketAddr,
    attempt_id: &str,
    request: &ChatRequest,
) -> Result<ChatStream, UpstreamError> {
    client
        .chat(
            address,
            attempt_id,
            request,
            deadline_after_ms(LONG_TIMEOUT_MS),
        )
        .await
}

/// Reads a stream to its end. Returns the tokens and, if the stream ended early,
/// the error.
async fn read_to_end(mut stream: ChatStream) -> (Vec<String>, Option<UpstreamError>) {
    let mut tokens = Vec::new();
    loop {
        match stream.next().await {
            Ok(Some(chunk)) if chunk.finish_reason.is_none() => tokens.push(chunk.text),
            Ok(Some(_)) => {}
            Ok(None) => return (tokens, None),
            Err(error) => return (tokens, Some(error)),
        }
    }
}

async fn wait_until(failure: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = deadline_after_ms(LONG_TIMEOUT_MS);
    while !condition().await {
        assert!(Instant::now() < deadline, "{failure}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn chat_concurrent_requests_stream_their_own_answers() {
    let (standin, client, _) = start_default_engine().await;
    let requests: Vec<_> = (0..20)
        .map(|number| request(&format!("hint {number}")))
        .collect();
    let answers = requests.iter().enumerate().map(async |(number, request)| {
        let attempt_id = format!("attempt-{number}");
        let stream = chat(&client, standin.address(), &attempt_id, request).await;
        read_to_end(stream.unwrap()).await
    });
    let answers = futures::future::join_all(answers).await;
    for (request, answer) in requests.iter().zip(answers) {
        assert_eq!(answer, (answer_tokens(request), None));
    }
}

#[tokio::test]
async fn chat_with_continue_from_tokens_streams_remaining_tokens() {
    let (standin, client, _) = start_default_engine().await;
    let mut request = request("continue me");
    let expected = answer_tokens(&request);
    request.continue_from_tokens = expected[..5].to_vec();
    let stream = chat(&client, standin.address(), "a", &request).await;
    assert_eq!(
        read_to_end(stream.unwrap()).await,
        (expected[5..].to_vec(), None)
    );
}

#[tokio::test]
async fn chat_final_chunk_has_usage_and_finish_reason() {
    let (standin, client, _) = start_default_engine().await;
    for (limit, reason) in [(Some(3), "length"), (None, "stop")] {
        let mut request = request("[[tokens=6]] short");
        request.max_tokens = limit;
        let stream = chat(&client, standin.address(), reason, &request).await;
        let mut stream = stream.unwrap();
        let mut last = None;
        while let Some(chunk) = stream.next().await.unwrap() {
            last = Some(chunk);
        }
        let last = last.unwrap();
        assert_eq!(last.finish_reason.as_deref(), Some(reason));
        let completion_tokens = last.usage.unwrap().completion_tokens;
        assert_eq!(completion_tokens, limit.unwrap_or(6));
    }
}

/// Each case is a fault, the error kind that reports it and how often the request
/// ran.
#[tokio::test]
async fn chat_fault_cases() {
    let cases = [
        (FaultKind::Refuse, ErrorKind::UpstreamRefused, 0),
        (FaultKind::Fail, ErrorKind::UpstreamFailed, 1),
        (FaultKind::ResetAfterHeaders, ErrorKind::ConnectionLost, 0),
        (FaultKind::ResetAfterBody, ErrorKind::ConnectionLost, 1),
        (FaultKind::Hang, ErrorKind::DeadlineExceeded, 0),
    ];
    for (kind, expected, runs) in cases {
        for is_pooled in [false, true] {
            check_chat_fault(kind, expected, runs, is_pooled).await;
        }
    }
}

async fn check_chat_fault(kind: FaultKind, expected: ErrorKind, runs: u32, is_pooled: bool) {
    let (standin, client, remote) = start_default_engine().await;
    if is_pooled {
        client.load_report(standin.address()).await.unwrap();
    }
    let fault = Fault::new(kind).with_path(upstream::paths::CHAT_COMPLETIONS);
    remote.add_fault(&fault).await.unwrap();
    let deadline = deadline_after_ms(if kind == FaultKind::Hang {
        SHORT_TIMEOUT_MS
    } else {
        LONG_TIMEOUT_MS
    });
    let outcome = client
        .chat(standin.address(), "a", &request("p"), deadline)
        .await;
    let error = outcome.unwrap_err();
    assert_eq!(error.kind, expected, "{kind:?}: {error}");
    let run_counts = remote.runs().await.unwrap().attempts;
    let total_runs: u32 = run_counts.iter().map(|count| count.runs).sum();
    assert_eq!(total_runs, runs, "{kind:?}");
    assert!(error.ran() != Ran::No || total_runs == 0, "{kind:?}");
}

#[tokio::test]
async fn chat_refused_connection_reports_connect_refused() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let outcome = chat(&UpstreamClient::new(), address, "a", &request("p")).await;
    assert_eq!(outcome.unwrap_err().kind, ErrorKind::ConnectRefused);
}

#[tokio::test]
async fn chat_expired_deadline_is_not_sent() {
    let (standin, client, remote) = start_default_engine().await;
    let deadline = Instant::now();
    let outcome = client
        .chat(standin.address(), "a", &request("p"), deadline)
        .await;
    assert_eq!(outcome.unwrap_err().kind, ErrorKind::DeadlineBeforeStart);
    assert!(remote.runs().await.unwrap().attempts.is_empty());
}

#[tokio::test]
async fn chat_on_leaving_engine_is_refused() {
    let (standin, client, remote) = start_default_engine().await;
    remote.set_leaving(true).await.unwrap();
    let outcome = chat(&client, standin.address(), "a", &request("p")).await;
    let error = outcome.unwrap_err();
    assert_eq!(
        (error.kind, error.is_leaving),
        (ErrorKind::UpstreamLeaving, true)
    );
    assert!(client.load_report(standin.address()).await.unwrap().leaving);
}

#[tokio::test]
async fn chat_started_before_engine_leaves_completes() {
    let (standin, client, remote) = start_default_engine().await;
    let request = request("[[tokens=50]] long");
    let stream = chat(&client, standin.address(), "a", &request)
        .await
        .unwrap();
    remote.set_leaving(true).await.unwrap();
    assert_eq!(read_to_end(stream).await, (answer_tokens(&request), None));
}

/// Each case is a prompt with a failure marker and the error kind that reports the
/// failure.
#[tokio::test]
async fn chat_prompt_marker_cases() {
    let cases = [
        ("[[fail]]", ErrorKind::UpstreamFailed),
        ("[[crash]]", ErrorKind::ConnectionLost),
    ];
    for (prompt, expected) in cases {
        let (standin, client, _) = start_default_engine().await;
        let outcome = chat(&client, standin.address(), "a", &request(prompt)).await;
        assert_eq!(outcome.unwrap_err().kind, expected, "{prompt}");
    }
}

#[tokio::test]
async fn resume_continues_after_last_token() {
    let (standin, client, remote) = start_default_engine().await;
    let request = request("[[crash-after=4]] [[tokens=12]] go on");
    let expected = answer_tokens(&request);
    let stream = chat(&client, standin.address(), "a", &request)
        .await
        .unwrap();
    let (tokens, error) = read_to_end(stream).await;
    assert_eq!(tokens, expected[..4]);
    assert_eq!(error.unwrap().kind, ErrorKind::StreamCut);
    let deadline = deadline_after_ms(LONG_TIMEOUT_MS);
    let stream = client.resume(standin.address(), "a", 4, deadline).await;
    assert_eq!(
        read_to_end(stream.unwrap()).await,
        (expected[4..].to_vec(), None)
    );
    assert_eq!(remote.runs().await.unwrap().attempts[0].runs, 1);
}

/// A continued attempt must not crash again at the token at which an earlier
/// attempt crashed, or the request could never complete.
#[tokio::test]
async fn chat_continued_after_crash_point_completes() {
    let (standin, client, _) = start_default_engine().await;
    let mut request = request("[[crash-after=4]] [[tokens=12]] elsewhere");
    let expected = answer_tokens(&request);
    request.continue_from_tokens = expected[..4].to_vec();
    let stream = chat(&client, standin.address(), "b", &request).await;
    assert_eq!(
        read_to_end(stream.unwrap()).await,
        (expected[4..].to_vec(), None)
    );
}

#[tokio::test]
async fn resume_unknown_stream_is_refused() {
    let (standin, client, _) = start_default_engine().await;
    let deadline = deadline_after_ms(LONG_TIMEOUT_MS);
    let outcome = client.resume(standin.address(), "gone", 4, deadline).await;
    let error = outcome.unwrap_err();
    assert_eq!((error.status, error.ran()), (Some(404), Ran::No));
}

/// Without the cancellation, the engine would generate tokens that nobody reads.
#[tokio::test]
async fn drop_unfinished_stream_cancels_request() {
    let settings = EngineSettings {
        report_lag_ms: 0,
        ..EngineSettings::default()
    };
    let (standin, client, _) = start_engine_with(settings).await;
    let request = request("[[tokens=100000]] endless");
    let stream = chat(&client, standin.address(), "a", &request)
        .await
        .unwrap();
    let load = async || client.load_report(standin.address()).await.unwrap();
    assert_eq!(load().await.running, 1);
    drop(stream);
    wait_until("the cancelled sequence is still running", async || {
        load().await.running == 0
    })
    .await;
}

#[tokio::test]
async fn load_report_is_delayed_by_report_lag() {
    let settings = EngineSettings {
        report_lag_ms: 500,
        ..EngineSettings::default()
    };
    let (standin, client, _) = start_engine_with(settings).await;
    let request = request("[[tokens=100000]] endless");
    let started_at = Instant::now();
    let stream = chat(&client, standin.address(), "a", &request)
        .await
        .unwrap();
    let load = async || client.load_report(standin.address()).await.unwrap();
    wait_until("the running sequence was not reported", async || {
        load().await.running == 1
    })
    .await;
    assert!(started_at.elapsed() >= Duration::from_millis(500));
    assert!(load().await.age_ms >= 500);
    drop(stream);
}

/// Each case tells whether the engine ignores fencing tokens, and the error status
/// of an order with a lower token than an earlier one.
#[tokio::test]
async fn send_order_fencing_cases() {
    for (ignore_fencing, expected_status) in [(false, Some(409)), (true, None)] {
        let settings = EngineSettings {
            ignore_fencing,
            load_model_ms: 1,
            ..EngineSettings::default()
        };
        let (standin, client, _) = start_engine_with(settings).await;
        let order = |fence, model: &str| Order {
            fence,
            order_id: format!("{fence}-{model}"),
            action: OrderAction::Load {
                model: model.into(),
            },
        };
        let answer = client.send_order(standin.address(), &order(2, "m2")).await;
        assert_eq!(answer.unwrap().fence, 2);
        let outcome = client.send_order(standin.address(), &order(1, "m1")).await;
        let status = outcome.err().and_then(|error| error.status);
        assert_eq!(status, expected_status, "ignore_fencing={ignore_fencing}");
        let load = client.load_report(standin.address()).await.unwrap();
        let has_fenced_model = load.models.iter().any(|model| model.as_str() == "m1");
        assert_eq!(has_fenced_model, ignore_fencing);
    }
}

fn service_call() -> ServiceCall {
    let mut headers = HeaderMap::new();
    headers.insert("x-call-id", "c1".parse().unwrap());
    ServiceCall {
        method: Method::POST,
        path_and_query: "/book?court=3".to_owned(),
        headers,
        body: Bytes::from("{}"),
    }
}

/// Each case is a fault, the error kind that reports it (`None` if the service's
/// own response is returned) and how often the call ran.
#[tokio::test]
async fn call_fault_cases() {
    let cases = [
        (None, None, 1),
        (Some(FaultKind::Refuse), Some(ErrorKind::UpstreamRefused), 0),
        (Some(FaultKind::Fail), None, 1),
        (
            Some(FaultKind::ResetAfterHeaders),
            Some(ErrorKind::ConnectionLost),
            0,
        ),
        (
            Some(FaultKind::ResetAfterBody),
            Some(ErrorKind::ConnectionLost),
            1,
        ),
        (Some(FaultKind::Hang), Some(ErrorKind::DeadlineExceeded), 0),
    ];
    for (fault, expected, runs) in cases {
        let standin = start_service(ServiceSettings::default()).await.unwrap();
        let remote = StandinClient::new(standin.address());
        if let Some(kind) = fault {
            remote.add_fault(&Fault::new(kind)).await.unwrap();
        }
        let is_hang = fault == Some(FaultKind::Hang);
        let deadline = deadline_after_ms(if is_hang {
            SHORT_TIMEOUT_MS
        } else {
            LONG_TIMEOUT_MS
        });
        let outcome = UpstreamClient::new()
            .call(standin.address(), "a", service_call(), deadline)
            .await;
        assert_eq!(outcome.err().map(|error| error.kind), expected, "{fault:?}");
        let calls = remote.calls().await.unwrap().calls;
        let total_runs: u32 = calls.iter().map(|call| call.runs).sum();
        assert_eq!(total_runs, runs, "{fault:?}");
    }
}

#[tokio::test]
async fn call_forwards_body_and_attempt_id() {
    assert_eq!(headers::ATTEMPT, "x-attempt-id");
    let standin = start_service(ServiceSettings::default()).await.unwrap();
    let deadline = deadline_after_ms(LONG_TIMEOUT_MS);
    let answer = UpstreamClient::new()
        .call(standin.address(), "a", service_call(), deadline)
        .await
        .unwrap();
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(body, json!({ "id": "c1", "path": "/book", "runs": 1 }));
}
