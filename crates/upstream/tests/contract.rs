//! Contract of the upstream client, with fault cases in tables.

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

const LONG_MS: u64 = 30_000;
const SHORT_MS: u64 = 300;

async fn start() -> (Standin, UpstreamClient, StandinClient) {
    start_with(EngineSettings::default()).await
}

async fn start_with(mut settings: EngineSettings) -> (Standin, UpstreamClient, StandinClient) {
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

fn within_ms(limit_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(limit_ms)
}

async fn chat(
    client: &UpstreamClient,
    address: SocketAddr,
    attempt_id: &str,
    request: &ChatRequest,
) -> Result<ChatStream, UpstreamError> {
    client
        .chat(address, attempt_id, request, within_ms(LONG_MS))
        .await
}

/// Reads to the end; the tokens and the error that ended the stream early.
async fn drain(mut stream: ChatStream) -> (Vec<String>, Option<UpstreamError>) {
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

async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = within_ms(LONG_MS);
    while !holds().await {
        assert!(Instant::now() < deadline, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn chat_streams_the_whole_answer_of_its_own_prompt() {
    let (standin, client, _) = start().await;
    let requests: Vec<_> = (0..20)
        .map(|number| request(&format!("hint {number}")))
        .collect();
    let answers = requests.iter().enumerate().map(async |(number, request)| {
        let attempt_id = format!("attempt-{number}");
        let stream = chat(&client, standin.address(), &attempt_id, request).await;
        drain(stream.unwrap()).await
    });
    let answers = futures::future::join_all(answers).await;
    for (request, answer) in requests.iter().zip(answers) {
        assert_eq!(answer, (answer_tokens(request), None));
    }
}

#[tokio::test]
async fn chat_continues_from_tokens_with_the_same_rest() {
    let (standin, client, _) = start().await;
    let mut request = request("continue me");
    let expected = answer_tokens(&request);
    request.continue_from_tokens = expected[..5].to_vec();
    let stream = chat(&client, standin.address(), "a", &request).await;
    assert_eq!(drain(stream.unwrap()).await, (expected[5..].to_vec(), None));
}

#[tokio::test]
async fn chat_ends_with_usage_and_reason() {
    let (standin, client, _) = start().await;
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

/// A fault, the kind it is reported as, and how often the request ran.
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
    let (standin, client, remote) = start().await;
    if is_pooled {
        client.load_report(standin.address()).await.unwrap();
    }
    let fault = Fault::new(kind).with_path(upstream::paths::CHAT_COMPLETIONS);
    remote.add_fault(&fault).await.unwrap();
    let deadline = within_ms(if kind == FaultKind::Hang {
        SHORT_MS
    } else {
        LONG_MS
    });
    let outcome = client
        .chat(standin.address(), "a", &request("p"), deadline)
        .await;
    let error = outcome.unwrap_err();
    assert_eq!(error.kind, expected, "{kind:?}: {error}");
    let counted = remote.runs().await.unwrap().attempts;
    let counted: u32 = counted.iter().map(|count| count.runs).sum();
    assert_eq!(counted, runs, "{kind:?}");
    assert!(error.ran() != Ran::No || counted == 0, "{kind:?}");
}

#[tokio::test]
async fn chat_refused_connection_did_not_run() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let outcome = chat(&UpstreamClient::new(), address, "a", &request("p")).await;
    assert_eq!(outcome.unwrap_err().kind, ErrorKind::ConnectRefused);
}

#[tokio::test]
async fn chat_past_its_deadline_is_not_sent() {
    let (standin, client, remote) = start().await;
    let deadline = Instant::now();
    let outcome = client
        .chat(standin.address(), "a", &request("p"), deadline)
        .await;
    assert_eq!(outcome.unwrap_err().kind, ErrorKind::DeadlineBeforeStart);
    assert!(remote.runs().await.unwrap().attempts.is_empty());
}

#[tokio::test]
async fn chat_at_a_leaving_engine_is_refused() {
    let (standin, client, remote) = start().await;
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
async fn chat_of_a_leaving_engine_goes_on() {
    let (standin, client, remote) = start().await;
    let request = request("[[tokens=50]] long");
    let stream = chat(&client, standin.address(), "a", &request)
        .await
        .unwrap();
    remote.set_leaving(true).await.unwrap();
    assert_eq!(drain(stream).await, (answer_tokens(&request), None));
}

/// A prompt and the kind of its failure.
#[tokio::test]
async fn chat_prompt_markers() {
    let cases = [
        ("[[fail]]", ErrorKind::UpstreamFailed),
        ("[[crash]]", ErrorKind::ConnectionLost),
    ];
    for (prompt, expected) in cases {
        let (standin, client, _) = start().await;
        let outcome = chat(&client, standin.address(), "a", &request(prompt)).await;
        assert_eq!(outcome.unwrap_err().kind, expected, "{prompt}");
    }
}

#[tokio::test]
async fn resume_goes_on_after_the_last_token() {
    let (standin, client, remote) = start().await;
    let request = request("[[crash-after=4]] [[tokens=12]] go on");
    let expected = answer_tokens(&request);
    let stream = chat(&client, standin.address(), "a", &request)
        .await
        .unwrap();
    let (tokens, error) = drain(stream).await;
    assert_eq!(tokens, expected[..4]);
    assert_eq!(error.unwrap().kind, ErrorKind::StreamCut);
    let deadline = within_ms(LONG_MS);
    let stream = client.resume(standin.address(), "a", 4, deadline).await;
    assert_eq!(drain(stream.unwrap()).await, (expected[4..].to_vec(), None));
    assert_eq!(remote.runs().await.unwrap().attempts[0].runs, 1);
}

#[tokio::test]
async fn chat_continues_elsewhere_past_the_cut() {
    let (standin, client, _) = start().await;
    let mut request = request("[[crash-after=4]] [[tokens=12]] elsewhere");
    let expected = answer_tokens(&request);
    request.continue_from_tokens = expected[..4].to_vec();
    let stream = chat(&client, standin.address(), "b", &request).await;
    assert_eq!(drain(stream.unwrap()).await, (expected[4..].to_vec(), None));
}

#[tokio::test]
async fn resume_of_a_forgotten_stream_is_refused() {
    let (standin, client, _) = start().await;
    let deadline = within_ms(LONG_MS);
    let outcome = client.resume(standin.address(), "gone", 4, deadline).await;
    let error = outcome.unwrap_err();
    assert_eq!((error.status, error.ran()), (Some(404), Ran::No));
}

#[tokio::test]
async fn drop_of_a_stream_cancels_at_the_engine() {
    let settings = EngineSettings {
        report_lag_ms: 0,
        ..EngineSettings::default()
    };
    let (standin, client, _) = start_with(settings).await;
    let request = request("[[tokens=100000]] endless");
    let stream = chat(&client, standin.address(), "a", &request)
        .await
        .unwrap();
    let load = async || client.load_report(standin.address()).await.unwrap();
    assert_eq!(load().await.running, 1);
    drop(stream);
    wait_until("the sequence still runs", async || {
        load().await.running == 0
    })
    .await;
}

#[tokio::test]
async fn load_lags_behind() {
    let settings = EngineSettings {
        report_lag_ms: 500,
        ..EngineSettings::default()
    };
    let (standin, client, _) = start_with(settings).await;
    let request = request("[[tokens=100000]] endless");
    let started_at = Instant::now();
    let stream = chat(&client, standin.address(), "a", &request)
        .await
        .unwrap();
    let load = async || client.load_report(standin.address()).await.unwrap();
    wait_until("the load is never reported", async || {
        load().await.running == 1
    })
    .await;
    assert!(started_at.elapsed() >= Duration::from_millis(500));
    assert!(load().await.age_ms >= 500);
    drop(stream);
}

#[tokio::test]
async fn order_fencing_cases() {
    for (ignore_fencing, expected_status) in [(false, Some(409)), (true, None)] {
        let settings = EngineSettings {
            ignore_fencing,
            load_model_ms: 1,
            ..EngineSettings::default()
        };
        let (standin, client, _) = start_with(settings).await;
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
        let has_old = load.models.iter().any(|model| model.as_str() == "m1");
        assert_eq!(has_old, ignore_fencing);
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

/// A fault, the kind it is reported as (none: the service's own answer), and
/// how often the call ran.
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
        let deadline = within_ms(if is_hang { SHORT_MS } else { LONG_MS });
        let outcome = UpstreamClient::new()
            .call(standin.address(), "a", service_call(), deadline)
            .await;
        assert_eq!(outcome.err().map(|error| error.kind), expected, "{fault:?}");
        let calls = remote.calls().await.unwrap().calls;
        let counted: u32 = calls.iter().map(|call| call.runs).sum();
        assert_eq!(counted, runs, "{fault:?}");
    }
}

#[tokio::test]
async fn call_passes_body_and_attempt() {
    assert_eq!(headers::ATTEMPT, "x-attempt-id");
    let standin = start_service(ServiceSettings::default()).await.unwrap();
    let deadline = within_ms(LONG_MS);
    let answer = UpstreamClient::new()
        .call(standin.address(), "a", service_call(), deadline)
        .await
        .unwrap();
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(body, json!({ "id": "c1", "path": "/book", "runs": 1 }));
}
