//! Calls to plain services: which calls are retried, and idempotency keys by which
//! a call runs at most once.

mod support;

use std::time::Duration;

use http::{Method, StatusCode};
use standin::{
    Fault, FaultKind, PlatformSettings, ServiceSettings, Standin, StandinClient, start_platform,
    start_service,
};
use support::{Response, TestEntry, WAIT_TIMEOUT, service_entry, unused_address};

const BOOKING: (&str, &str) = ("redwingtack-class", "booking");
const QUICK_BOOKING: (&str, &str) = ("redwingtack-class", "quick-booking");
const LOOKUP: (&str, &str) = ("redwingtack-class", "lookup");
const PATH: &str = "/services/courts/book?court=4";

struct Fixture {
    service: Standin,
    platform: Standin,
}

impl Fixture {
    async fn start() -> Self {
        let service = start_service(ServiceSettings::default()).await;
        let platform = start_platform(PlatformSettings::default()).await;
        Self {
            service: service.expect("a service starts"),
            platform: platform.expect("a platform starts"),
        }
    }

    async fn start_entry(&self) -> TestEntry {
        let upstreams = vec![service_entry("courts-0", self.service.address())];
        TestEntry::start(upstreams, self.platform.address()).await
    }

    async fn add_service_fault(&self, fault: Fault) {
        let client = StandinClient::new(self.service.address());
        client.add_fault(&fault).await.expect("the fault is set");
    }

    async fn add_platform_fault(&self, fault: Fault) {
        let client = StandinClient::new(self.platform.address());
        client.add_fault(&fault).await.expect("the fault is set");
    }

    async fn runs(&self) -> u32 {
        let counts = StandinClient::new(self.service.address()).calls().await;
        let counts = counts.expect("the service counts calls");
        counts.calls.iter().map(|call| call.runs).sum()
    }
}

async fn book(entry: &TestEntry, key: &str) -> Response {
    let headers = [BOOKING, ("idempotency-key", key)];
    entry.send(Method::POST, PATH, &headers, "court 4").await
}

/// Like [`book`], in a class with a short time-out.
async fn book_quickly(entry: &TestEntry, key: &str) -> Response {
    let headers = [QUICK_BOOKING, ("idempotency-key", key)];
    entry.send(Method::POST, PATH, &headers, "court 4").await
}

fn assert_outcome_unknown(answer: &Response) {
    assert_eq!(answer.error_code(), "outcome_unknown");
    assert_eq!(answer.header("redwingtack-ran"), Some("unknown"));
    assert_eq!(answer.header("retry-after"), None);
}

#[tokio::test]
async fn call_forwards_method_path_and_answer() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_entry().await;
    let answer = entry.send(Method::PUT, PATH, &[LOOKUP], "court 4").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("redwingtack-ran"), Some("yes"));
    assert_eq!(answer.json()["path"], "/book");
}

#[tokio::test]
async fn call_idempotent_is_retried_at_another_upstream() {
    let fixture = Fixture::start().await;
    let upstreams = vec![
        service_entry("courts-0", unused_address()),
        service_entry("courts-1", fixture.service.address()),
    ];
    let entry = TestEntry::start(upstreams, fixture.platform.address()).await;
    for _ in 0..4 {
        let answer = entry.send(Method::GET, PATH, &[LOOKUP], "").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn call_non_idempotent_is_not_retried_after_reset() {
    let fixture = Fixture::start().await;
    let second = start_service(ServiceSettings::default()).await;
    let second = second.expect("a service starts");
    let upstreams = vec![
        service_entry("courts-0", fixture.service.address()),
        service_entry("courts-1", second.address()),
    ];
    let entry = TestEntry::start(upstreams, fixture.platform.address()).await;
    let fault = Fault::new(FaultKind::ResetAfterBody).with_path("/book");
    fixture.add_service_fault(fault.clone()).await;
    let client = StandinClient::new(second.address());
    client.add_fault(&fault).await.expect("the fault is set");
    let answer = entry.send(Method::POST, PATH, &[BOOKING], "court 4").await;
    assert_eq!(answer.header("redwingtack-ran"), Some("unknown"));
    let counts = client.calls().await.expect("the service counts calls");
    let second_runs: u32 = counts.calls.iter().map(|call| call.runs).sum();
    assert_eq!(fixture.runs().await + second_runs, 1);
}

#[tokio::test]
async fn claim_resend_to_other_entry_gets_stored_answer() {
    let fixture = Fixture::start().await;
    let first = book(&fixture.start_entry().await, "k").await;
    let resent = book(&fixture.start_entry().await, "k").await;
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(resent.status, StatusCode::OK);
    assert_eq!(resent.body, first.body);
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn claim_concurrent_calls_at_two_entries_run_once() {
    let fixture = Fixture::start().await;
    let (first_entry, second_entry) = (fixture.start_entry().await, fixture.start_entry().await);
    let (first, second) = tokio::join!(book(&first_entry, "k"), book(&second_entry, "k"));
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(second.status, StatusCode::OK);
    assert_eq!(first.body, second.body);
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn claim_call_with_lost_answer_stays_unknown() {
    let fixture = Fixture::start().await;
    let fault = Fault::new(FaultKind::ResetAfterBody).with_path("/book");
    fixture.add_service_fault(fault.with_times(1)).await;
    assert_outcome_unknown(&book(&fixture.start_entry().await, "k").await);
    for _ in 0..3 {
        assert_outcome_unknown(&book(&fixture.start_entry().await, "k").await);
    }
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn claim_refused_call_may_be_resent() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_entry().await;
    let fault = Fault::new(FaultKind::Refuse).with_path("/book");
    fixture.add_service_fault(fault.with_times(1)).await;
    let refused = book(&entry, "k").await;
    assert_eq!(refused.error_code(), "upstream_refused");
    assert_eq!(refused.header("redwingtack-ran"), Some("no"));
    let started_at = tokio::time::Instant::now();
    loop {
        let answer = book(&entry, "k").await;
        if answer.status == StatusCode::OK {
            break;
        }
        // The claim is removed in the background, so it may still exist.
        assert_eq!(answer.header("redwingtack-ran"), Some("no"));
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the claim was not removed"
        );
    }
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn claim_platform_down_refuses_call() {
    let fixture = Fixture::start().await;
    fixture.platform.abort();
    let answer = book(&fixture.start_entry().await, "k").await;
    assert_eq!(answer.error_code(), "platform_unavailable");
    assert_eq!(answer.header("redwingtack-ran"), Some("no"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(fixture.runs().await, 0);
}

#[tokio::test]
async fn claim_insert_with_lost_reply_runs_once() {
    let fixture = Fixture::start().await;
    let fault = Fault::new(FaultKind::ResetAfterBody).with_path("/rows-tx");
    fixture.add_platform_fault(fault.with_times(1)).await;
    let answer = book(&fixture.start_entry().await, "k").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn claim_outcome_with_lost_reply_is_replayed() {
    let fixture = Fixture::start().await;
    let fault = Fault::new(FaultKind::ResetAfterBody).with_path("/rows-tx");
    // Only the transaction that stores the outcome contains this word.
    let fault = Fault {
        contains: "done".to_owned(),
        ..fault
    };
    fixture.add_platform_fault(fault.with_times(1)).await;
    let first = book(&fixture.start_entry().await, "k").await;
    let resent = book(&fixture.start_entry().await, "k").await;
    assert_eq!(first.body, resent.body);
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn claim_of_entry_killed_after_dispatch_stays_unknown() {
    let fixture = Fixture::start().await;
    let fault = Fault::new(FaultKind::HangAfterBody).with_path("/book");
    fixture.add_service_fault(fault.with_times(1)).await;
    // Shutting down the runtime ends all tasks of the entry, like a killed process.
    let upstreams = vec![service_entry("courts-0", fixture.service.address())];
    let platform = fixture.platform.address();
    let (kill_sender, kill_receiver) = std::sync::mpsc::channel::<()>();
    let entry_thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
        runtime.spawn(async move {
            let entry = TestEntry::start(upstreams, platform).await;
            book_quickly(&entry, "k").await;
        });
        let _ = kill_receiver.recv();
        runtime.shutdown_background();
    });
    let started_at = tokio::time::Instant::now();
    while fixture.runs().await == 0 {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the call never ran");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(kill_sender);
    entry_thread.join().expect("the thread ends");
    for _ in 0..2 {
        assert_outcome_unknown(&book_quickly(&fixture.start_entry().await, "k").await);
    }
    assert_eq!(fixture.runs().await, 1);
}

#[tokio::test]
async fn claim_caller_disconnect_still_stores_answer() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_entry().await;
    let delay = FaultKind::Slow { delay_ms: 300 };
    let fault = Fault::new(delay).with_path("/book");
    fixture.add_service_fault(fault.with_times(1)).await;
    let response = tokio::time::timeout(Duration::from_millis(100), book(&entry, "k")).await;
    assert!(response.is_err());
    let answer = book(&fixture.start_entry().await, "k").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fixture.runs().await, 1);
}
