//! Calls to plain services: what may be repeated and what may not.

mod support;

use std::time::Duration;

use http::{Method, StatusCode};
use standin::{
    Fault, FaultKind, PlatformSettings, ServiceSettings, Standin, StandinClient, start_platform,
    start_service,
};
use support::{Answer, PATIENCE, TestEntry, refusing_address, service};

const BOOKING: (&str, &str) = ("redwingtack-class", "booking");
const QUICK_BOOKING: (&str, &str) = ("redwingtack-class", "quick-booking");
const LOOKUP: (&str, &str) = ("redwingtack-class", "lookup");
const PATH: &str = "/services/courts/book?court=4";

struct Site {
    service: Standin,
    platform: Standin,
}

impl Site {
    async fn start() -> Self {
        let service = start_service(ServiceSettings::default()).await;
        let platform = start_platform(PlatformSettings::default()).await;
        Self {
            service: service.expect("a service starts"),
            platform: platform.expect("a platform starts"),
        }
    }

    async fn entry(&self) -> TestEntry {
        let upstreams = vec![service("courts-0", self.service.address())];
        TestEntry::start(upstreams, self.platform.address()).await
    }

    async fn add_service_fault(&self, fault: Fault) {
        let remote = StandinClient::new(self.service.address());
        remote.add_fault(&fault).await.expect("the fault is set");
    }

    async fn add_platform_fault(&self, fault: Fault) {
        let remote = StandinClient::new(self.platform.address());
        remote.add_fault(&fault).await.expect("the fault is set");
    }

    async fn runs(&self) -> u32 {
        let counts = StandinClient::new(self.service.address()).calls().await;
        let counts = counts.expect("the service counts calls");
        counts.calls.iter().map(|call| call.runs).sum()
    }
}

async fn book(entry: &TestEntry, key: &str) -> Answer {
    let headers = [BOOKING, ("idempotency-key", key)];
    entry.send(Method::POST, PATH, &headers, "court 4").await
}

/// As [`book`], in a class whose calls are soon given up.
async fn book_quickly(entry: &TestEntry, key: &str) -> Answer {
    let headers = [QUICK_BOOKING, ("idempotency-key", key)];
    entry.send(Method::POST, PATH, &headers, "court 4").await
}

fn assert_unknown(answer: &Answer) {
    assert_eq!(answer.code(), "outcome_unknown");
    assert_eq!(answer.header("redwingtack-ran"), Some("unknown"));
    assert_eq!(answer.header("retry-after"), None);
}

#[tokio::test]
async fn call_passes_method_path_and_answer() {
    let site = Site::start().await;
    let entry = site.entry().await;
    let answer = entry.send(Method::PUT, PATH, &[LOOKUP], "court 4").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("redwingtack-ran"), Some("yes"));
    assert_eq!(answer.json()["path"], "/book");
}

#[tokio::test]
async fn call_idempotent_is_repeated_elsewhere() {
    let site = Site::start().await;
    let upstreams = vec![
        service("courts-0", refusing_address().await),
        service("courts-1", site.service.address()),
    ];
    let entry = TestEntry::start(upstreams, site.platform.address()).await;
    for _ in 0..4 {
        let answer = entry.send(Method::GET, PATH, &[LOOKUP], "").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn call_without_key_that_broke_is_not_repeated() {
    let site = Site::start().await;
    let second = start_service(ServiceSettings::default()).await;
    let second = second.expect("a service starts");
    let upstreams = vec![
        service("courts-0", site.service.address()),
        service("courts-1", second.address()),
    ];
    let entry = TestEntry::start(upstreams, site.platform.address()).await;
    let fault = Fault::new(FaultKind::ResetAfterBody).with_path("/book");
    site.add_service_fault(fault.clone()).await;
    let remote = StandinClient::new(second.address());
    remote.add_fault(&fault).await.expect("the fault is set");
    let answer = entry.send(Method::POST, PATH, &[BOOKING], "court 4").await;
    assert_eq!(answer.header("redwingtack-ran"), Some("unknown"));
    let counts = remote.calls().await.expect("the service counts calls");
    let second_runs: u32 = counts.calls.iter().map(|call| call.runs).sum();
    assert_eq!(site.runs().await + second_runs, 1);
}

#[tokio::test]
async fn claim_resend_to_another_entry_gets_the_stored_answer() {
    let site = Site::start().await;
    let first = book(&site.entry().await, "k").await;
    let again = book(&site.entry().await, "k").await;
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(again.status, StatusCode::OK);
    assert_eq!(again.body, first.body);
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn claim_two_entries_at_once_run_it_once() {
    let site = Site::start().await;
    let (left, right) = (site.entry().await, site.entry().await);
    let (first, second) = tokio::join!(book(&left, "k"), book(&right, "k"));
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(second.status, StatusCode::OK);
    assert_eq!(first.body, second.body);
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn claim_lost_call_stays_unknown() {
    let site = Site::start().await;
    let fault = Fault::new(FaultKind::ResetAfterBody).with_path("/book");
    site.add_service_fault(fault.with_times(1)).await;
    assert_unknown(&book(&site.entry().await, "k").await);
    for _ in 0..3 {
        assert_unknown(&book(&site.entry().await, "k").await);
    }
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn claim_refused_call_may_be_sent_again() {
    let site = Site::start().await;
    let entry = site.entry().await;
    let fault = Fault::new(FaultKind::Refuse).with_path("/book");
    site.add_service_fault(fault.with_times(1)).await;
    let refused = book(&entry, "k").await;
    assert_eq!(refused.code(), "upstream_refused");
    assert_eq!(refused.header("redwingtack-ran"), Some("no"));
    let began = tokio::time::Instant::now();
    loop {
        let answer = book(&entry, "k").await;
        if answer.status == StatusCode::OK {
            break;
        }
        // The claim is removed in the background.
        assert_eq!(answer.header("redwingtack-ran"), Some("no"));
        assert!(began.elapsed() < PATIENCE, "the claim stays");
    }
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn claim_platform_down_is_refused_at_once() {
    let site = Site::start().await;
    site.platform.abort();
    let answer = book(&site.entry().await, "k").await;
    assert_eq!(answer.code(), "platform_unavailable");
    assert_eq!(answer.header("redwingtack-ran"), Some("no"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(site.runs().await, 0);
}

#[tokio::test]
async fn claim_whose_insert_lost_its_answer_runs_once() {
    let site = Site::start().await;
    let fault = Fault::new(FaultKind::ResetAfterBody).with_path("/rows-tx");
    site.add_platform_fault(fault.with_times(1)).await;
    let answer = book(&site.entry().await, "k").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn claim_whose_outcome_lost_its_answer_is_replayed() {
    let site = Site::start().await;
    let fault = Fault::new(FaultKind::ResetAfterBody).with_path("/rows-tx");
    let fault = Fault {
        contains: "done".to_owned(),
        ..fault
    };
    site.add_platform_fault(fault.with_times(1)).await;
    let first = book(&site.entry().await, "k").await;
    let again = book(&site.entry().await, "k").await;
    assert_eq!(first.body, again.body);
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn claim_of_an_entry_killed_after_dispatch_stays_unknown() {
    let site = Site::start().await;
    let fault = Fault::new(FaultKind::HangAfterBody).with_path("/book");
    site.add_service_fault(fault.with_times(1)).await;
    // The runtime ends with everything in it, as a process would.
    let upstreams = vec![service("courts-0", site.service.address())];
    let platform = site.platform.address();
    let (sent, received) = std::sync::mpsc::channel::<()>();
    let killed = std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
        runtime.spawn(async move {
            let entry = TestEntry::start(upstreams, platform).await;
            book_quickly(&entry, "k").await;
        });
        let _ = received.recv();
        runtime.shutdown_background();
    });
    let began = tokio::time::Instant::now();
    while site.runs().await == 0 {
        assert!(began.elapsed() < PATIENCE, "the call never ran");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(sent);
    killed.join().expect("the thread ends");
    for _ in 0..2 {
        assert_unknown(&book_quickly(&site.entry().await, "k").await);
    }
    assert_eq!(site.runs().await, 1);
}

#[tokio::test]
async fn claim_caller_gone_still_stores_the_answer() {
    let site = Site::start().await;
    let entry = site.entry().await;
    let delay = FaultKind::Slow { delay_ms: 300 };
    let fault = Fault::new(delay).with_path("/book");
    site.add_service_fault(fault.with_times(1)).await;
    let gone = tokio::time::timeout(Duration::from_millis(100), book(&entry, "k")).await;
    assert!(gone.is_err());
    let answer = book(&site.entry().await, "k").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(site.runs().await, 1);
}
