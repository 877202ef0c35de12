//! Every error kind that callers can receive, each caused by a real failure.

mod support;

use std::{collections::BTreeSet, net::SocketAddr};

use http::Method;
use model::{ErrorKind, RetryAdvice, View};
use standin::{
    EngineSettings, Fault, FaultKind, PlatformSettings, ServiceSettings, Standin, StandinClient,
    start_engine, start_platform, start_service,
};
use support::{
    Response, TestEntry, WAIT_TIMEOUT, chat_body, engine_entry, service_entry, unused_address,
};

/// State of the engine and the service behind the entry.
#[derive(Debug, Clone, Copy)]
enum Upstream {
    Absent,
    Refusing,
    Running,
    Leaving,
    Faulty(FaultKind),
    /// Is aborted after it has generated some tokens.
    AbortedInMidStream,
}

/// State of the platform behind the entry.
#[derive(Debug, Clone, Copy)]
enum Platform {
    Refusing,
    Running,
    Slow { delay_ms: u64 },
}

/// Request that the caller sends.
#[derive(Debug, Clone, Copy)]
enum Call {
    Chat {
        class: &'static str,
        tokens: u32,
    },
    ChatTwice {
        class: &'static str,
    },
    Raw {
        method: &'static str,
        path: &'static str,
        body: &'static str,
    },
    LongBody,
    WithoutApiKey,
    Unconfigured,
    Service {
        class: &'static str,
        key: Option<&'static str>,
    },
    ServiceKeyWithTwoBodies,
}

struct Case {
    name: &'static str,
    upstream: Upstream,
    platform: Platform,
    call: Call,
    expected: ErrorKind,
}

/// Number of entries that are tried, enough for either of two engines to be chosen
/// first at least once.
const ENTRY_COUNT: u32 = 30;

/// Kinds that no response to a caller of these paths can have.
const UNREACHABLE_KINDS: [ErrorKind; 6] = [
    // Only in the APIs for operators and peers.
    ErrorKind::ConfigConflict,
    ErrorKind::PeerVersion,
    // Only for requests that write to the platform: jobs and configurations.
    ErrorKind::PlatformUncertain,
    // A stopping entry serves every connection that it accepts, and accepts none
    // after the drain time.
    ErrorKind::Stopping,
    // The caller has disconnected.
    ErrorKind::Cancelled,
    // A defect of the program.
    ErrorKind::Internal,
];

const HINT: Call = Call::Chat {
    class: "hint",
    tokens: 3,
};
const BRISK: Call = Call::Chat {
    class: "brisk",
    tokens: 3,
};

#[rustfmt::skip]
const CASES: [Case; 31] = [
    case("broken_json", Upstream::Running, raw("POST", "/v1/chat/completions", "{"), ErrorKind::InvalidRequest),
    case("no_messages", Upstream::Running, raw("POST", "/v1/chat/completions", r#"{"model":"oraculo","messages":[]}"#), ErrorKind::InvalidRequest),
    case("long_body", Upstream::Running, Call::LongBody, ErrorKind::BodyTooLarge),
    case("no_api_key", Upstream::Running, Call::WithoutApiKey, ErrorKind::MissingApiKey),
    case("unknown_model", Upstream::Running, raw("POST", "/v1/chat/completions", r#"{"model":"x","messages":[{"role":"user","content":"a"}]}"#), ErrorKind::UnknownModel),
    case("unknown_model_object", Upstream::Running, raw("GET", "/v1/models/x", ""), ErrorKind::UnknownModel),
    case("unknown_class", Upstream::Running, Call::Chat { class: "x", tokens: 1 }, ErrorKind::UnknownClass),
    case("batch_class_online", Upstream::Running, Call::Chat { class: "bundle", tokens: 1 }, ErrorKind::UnknownClass),
    case("unknown_service", Upstream::Running, raw("GET", "/services/x/y", ""), ErrorKind::UnknownService),
    case("unknown_path", Upstream::Running, raw("GET", "/v1/x", ""), ErrorKind::NotFound),
    case("wrong_method", Upstream::Running, raw("DELETE", "/v1/chat/completions", ""), ErrorKind::MethodNotAllowed),
    case("no_configuration", Upstream::Running, Call::Unconfigured, ErrorKind::NotReady),
    case("customer_over_limit", Upstream::Running, Call::ChatTwice { class: "limited" }, ErrorKind::CustomerLimit),
    case("target_out_of_reach", Upstream::Running, Call::Chat { class: "instant", tokens: 1 }, ErrorKind::TargetUnreachable),
    case("no_engine", Upstream::Absent, HINT, ErrorKind::NoUpstream),
    case("engine_refuses_connections", Upstream::Refusing, HINT, ErrorKind::ConnectRefused),
    case("engine_refuses", Upstream::Faulty(FaultKind::Refuse), HINT, ErrorKind::UpstreamRefused),
    case("engine_leaves", Upstream::Leaving, HINT, ErrorKind::UpstreamLeaving),
    case("engine_fails", Upstream::Faulty(FaultKind::Fail), HINT, ErrorKind::UpstreamFailed),
    case("engine_resets_after_headers", Upstream::Faulty(FaultKind::ResetAfterHeaders), HINT, ErrorKind::ConnectionLost),
    case("engine_hangs", Upstream::Faulty(FaultKind::Hang), BRISK, ErrorKind::DeadlineExceeded),
    case("engine_dies_in_mid_stream", Upstream::AbortedInMidStream, Call::Chat { class: "hint", tokens: 200 }, ErrorKind::StreamCut),
    case("service_refuses_connections", Upstream::Refusing, service_call("booking", None), ErrorKind::ConnectRefused),
    case("service_refuses", Upstream::Faulty(FaultKind::Refuse), service_call("booking", None), ErrorKind::UpstreamRefused),
    case("service_resets_after_headers", Upstream::Faulty(FaultKind::ResetAfterHeaders), service_call("booking", None), ErrorKind::ConnectionLost),
    case("service_resets_after_body", Upstream::Faulty(FaultKind::ResetAfterBody), service_call("booking", None), ErrorKind::ConnectionLost),
    case("service_hangs", Upstream::Faulty(FaultKind::Hang), service_call("quick-booking", None), ErrorKind::DeadlineExceeded),
    case("claimed_call_lost", Upstream::Faulty(FaultKind::ResetAfterBody), service_call("booking", Some("k")), ErrorKind::OutcomeUnknown),
    case("key_with_two_bodies", Upstream::Running, Call::ServiceKeyWithTwoBodies, ErrorKind::IdempotencyConflict),
    Case { name: "platform_down", upstream: Upstream::Running, platform: Platform::Refusing, call: service_call("booking", Some("k")), expected: ErrorKind::PlatformUnavailable },
    Case { name: "claim_takes_too_long", upstream: Upstream::Running, platform: Platform::Slow { delay_ms: 2_400 }, call: service_call("quick-booking", Some("k")), expected: ErrorKind::DeadlineBeforeStart },
];

const fn case(name: &'static str, upstream: Upstream, call: Call, expected: ErrorKind) -> Case {
    Case {
        name,
        upstream,
        platform: Platform::Running,
        call,
        expected,
    }
}

const fn raw(method: &'static str, path: &'static str, body: &'static str) -> Call {
    Call::Raw { method, path, body }
}

const fn service_call(class: &'static str, key: Option<&'static str>) -> Call {
    Call::Service { class, key }
}

#[tokio::test]
async fn refusal_each_case_has_expected_kind() {
    let checks = CASES.iter().map(check_case);
    futures::future::join_all(checks).await;
}

#[test]
fn refusal_cases_cover_every_kind() {
    let covered: BTreeSet<_> = CASES.iter().map(|case| case.expected).collect();
    let unreachable: BTreeSet<_> = UNREACHABLE_KINDS.into_iter().collect();
    let all: BTreeSet<_> = ErrorKind::ALL.into_iter().collect();
    assert!(covered.is_disjoint(&unreachable));
    assert_eq!(
        covered
            .union(&unreachable)
            .copied()
            .collect::<BTreeSet<_>>(),
        all
    );
}

async fn check_case(case: &Case) {
    let engine_standin = start_engine(EngineSettings::default()).await;
    let engine_standin = engine_standin.expect("an engine starts");
    let service_standin = start_service(ServiceSettings::default()).await;
    let service_standin = service_standin.expect("a service starts");
    let platform_standin = start_platform(PlatformSettings::default()).await;
    let platform_standin = platform_standin.expect("a platform starts");
    for standin in [&engine_standin, &service_standin] {
        inject_fault(case.upstream, standin).await;
    }
    let platform = platform_address(case.platform, &platform_standin).await;
    let upstreams = match case.upstream {
        Upstream::Absent => Vec::new(),
        Upstream::Refusing => vec![
            engine_entry("engine", unused_address()),
            service_entry("service", unused_address()),
        ],
        _ => vec![
            engine_entry("engine", engine_standin.address()),
            service_entry("service", service_standin.address()),
        ],
    };
    let entry = TestEntry::start(upstreams, platform).await;
    let answer = call(&entry, case.call);
    let answer = match case.upstream {
        Upstream::AbortedInMidStream => {
            let (answer, ()) = tokio::join!(answer, abort_in_mid_stream(&engine_standin));
            answer
        }
        _ => answer.await,
    };
    check_answer(case, &answer);
}

fn check_answer(case: &Case, answer: &Response) {
    let name = case.name;
    let expected = case.expected.answer();
    let json = answer.json();
    assert_eq!(json["error"]["code"], expected.code, "{name}: {json}");
    assert_eq!(answer.status.as_u16(), expected.status, "{name}");
    assert!(json["error"]["message"].is_string(), "{name}: {json}");
    assert!(json["error"]["type"].is_string(), "{name}: {json}");
    assert!(json["error"].get("param").is_some(), "{name}: {json}");
    assert_eq!(
        answer.header("redwingtack-ran"),
        Some(expected.ran.as_str()),
        "{name}"
    );
    // A call that must not run twice and may have run must not be sent again.
    let may_retry = !name.starts_with("service_") || expected.ran == model::Ran::No;
    let has_retry_after = matches!(expected.retry, RetryAdvice::AfterS(_)) && may_retry;
    assert_eq!(
        answer.header("retry-after").is_some(),
        has_retry_after,
        "{name}"
    );
    assert_eq!(
        answer.header("x-should-retry").is_some(),
        !has_retry_after,
        "{name}"
    );
}

async fn call(entry: &TestEntry, call: Call) -> Response {
    let class = |class: &'static str| ("redwingtack-class", class);
    match call {
        Call::Chat {
            class: name,
            tokens,
        } => {
            let body = chat_body("where is the clue", tokens);
            entry.chat(&[class(name)], body).await
        }
        Call::ChatTwice { class: name } => {
            let body = chat_body("where is the clue", 1);
            let first = entry.chat(&[class(name)], body.clone()).await;
            assert_eq!(first.status, 200);
            entry.chat(&[class(name)], body).await
        }
        Call::Raw { method, path, body } => {
            let method = Method::from_bytes(method.as_bytes()).expect("a method");
            entry.send(method, path, &[], body).await
        }
        Call::LongBody => {
            let body = chat_body(&"long ".repeat(100_000), 1);
            entry.chat(&[], body).await
        }
        Call::WithoutApiKey => {
            let body = chat_body("a", 1).to_string().into();
            support::send(
                entry.address,
                Method::POST,
                "/v1/chat/completions",
                &[],
                body,
            )
            .await
        }
        Call::Unconfigured => {
            entry.view.send_replace(View::default().into());
            entry.chat(&[], chat_body("a", 1)).await
        }
        Call::Service { class: name, key } => {
            let mut headers = vec![class(name)];
            headers.extend(key.map(|key| ("idempotency-key", key)));
            entry
                .send(Method::POST, "/services/courts/book", &headers, "court 1")
                .await
        }
        Call::ServiceKeyWithTwoBodies => {
            let headers = [class("booking"), ("idempotency-key", "k")];
            let path = "/services/courts/book";
            let first = entry.send(Method::POST, path, &headers, "court 1").await;
            assert_eq!(first.status, 200);
            entry.send(Method::POST, path, &headers, "court 2").await
        }
    }
}

async fn inject_fault(upstream: Upstream, standin: &Standin) {
    let client = StandinClient::new(standin.address());
    match upstream {
        Upstream::Leaving => {
            // The plain service has no such state and rejects the request.
            let _ = client.set_leaving(true).await;
        }
        Upstream::Faulty(kind) => {
            for path in ["/v1/chat", "/book"] {
                let fault = Fault::new(kind).with_path(path);
                client.add_fault(&fault).await.expect("the fault is set");
            }
        }
        Upstream::Absent
        | Upstream::Refusing
        | Upstream::Running
        | Upstream::AbortedInMidStream => {}
    }
}

async fn platform_address(platform: Platform, standin: &Standin) -> SocketAddr {
    match platform {
        Platform::Refusing => unused_address(),
        Platform::Running => standin.address(),
        Platform::Slow { delay_ms } => {
            let fault = Fault::new(FaultKind::Slow { delay_ms });
            let client = StandinClient::new(standin.address());
            client.add_fault(&fault).await.expect("the fault is set");
            standin.address()
        }
    }
}

async fn abort_in_mid_stream(engine: &Standin) {
    let client = StandinClient::new(engine.address());
    let started_at = tokio::time::Instant::now();
    loop {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        let counts = client.runs().await.expect("the engine counts runs");
        if counts.prompts.iter().any(|count| count.tokens >= 5) {
            engine.abort();
            return;
        }
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the engine never ran the request"
        );
    }
}

/// The `redwingtack-ran` header covers every attempt: it is `unknown` if an earlier
/// attempt may have run, even if the last one certainly did not.
#[tokio::test]
async fn refusal_ran_covers_every_attempt() {
    let resetting = start_engine(EngineSettings::default()).await;
    let resetting = resetting.expect("an engine starts");
    inject_fault(Upstream::Faulty(FaultKind::ResetAfterHeaders), &resetting).await;
    let refusing = unused_address();
    let mut kinds = BTreeSet::new();
    // The choice between two idle engines is random, hence several entries.
    for _ in 0..ENTRY_COUNT {
        let upstreams = vec![
            engine_entry("engine-0", resetting.address()),
            engine_entry("engine-1", refusing),
        ];
        let entry = TestEntry::start(upstreams, support::any_port()).await;
        let answer = entry.chat(&[], chat_body("which way", 1)).await;
        assert_eq!(answer.header("redwingtack-ran"), Some("unknown"));
        kinds.insert(answer.error_code());
    }
    assert!(kinds.contains("connect_refused"), "{kinds:?}");
}
