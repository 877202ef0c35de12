//! Contract of the platform client, with fault cases in tables.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use standin::{Fault, FaultKind, PlatformSettings, Remote, Standin, start_platform};
use store::{
    Condition, Expected, InstanceListing, ListedInstance, ListedRole, Mutation, Pacer,
    PacerSettings, Platform, PlatformError, TransactOutcome, TransactRequest, paths,
};
use tokio::{net::TcpListener, time::Instant};

const SHORT_TIMEOUT_MS: u64 = 300;
const SETTLE_TIMEOUT_MS: u64 = 20_000;

async fn start() -> (Standin, Platform, Remote) {
    let standin = start_platform(PlatformSettings::default()).await.unwrap();
    let platform = Platform::new(standin.address());
    let remote = Remote::new(standin.address());
    (standin, platform, remote)
}

fn put_if(key: &str, expected: Expected, value: &str) -> TransactRequest {
    TransactRequest {
        conditions: vec![Condition {
            key: key.to_owned(),
            expected,
        }],
        mutations: vec![Mutation::Put {
            key: key.to_owned(),
            value: value.to_owned(),
        }],
    }
}

fn settle_deadline() -> Instant {
    Instant::now() + Duration::from_millis(SETTLE_TIMEOUT_MS)
}

async fn settle(
    platform: &Platform,
    request: &TransactRequest,
    operation_id: &str,
) -> Result<TransactOutcome, PlatformError> {
    let is_own = |row: &store::Row| row.value == operation_id;
    platform
        .transact_settled(request, "k", is_own, settle_deadline())
        .await
}

#[tokio::test]
async fn transact_applies_once_and_reports_the_row_in_the_way() {
    let (_standin, platform, _) = start().await;
    let first = put_if("k", Expected::Absent, "a");
    let committed = TransactOutcome::Committed { versions: vec![1] };
    assert_eq!(platform.transact(&first).await.unwrap(), committed);
    let TransactOutcome::Conflict { key, row } = platform.transact(&first).await.unwrap() else {
        panic!("the second insert must conflict");
    };
    assert_eq!((key.as_str(), row.unwrap().value.as_str()), ("k", "a"));
    let second = put_if("k", Expected::Version(1), "b");
    let committed = TransactOutcome::Committed { versions: vec![2] };
    assert_eq!(platform.transact(&second).await.unwrap(), committed);
    assert_eq!(platform.row("k").await.unwrap().unwrap().value, "b");
}

#[tokio::test]
async fn transact_applies_nothing_if_one_condition_fails() {
    let (_standin, platform, _) = start().await;
    let mut request = put_if("a", Expected::Absent, "1");
    request.conditions.push(Condition {
        key: "b".to_owned(),
        expected: Expected::Version(3),
    });
    let outcome = platform.transact(&request).await.unwrap();
    assert!(matches!(outcome, TransactOutcome::Conflict { key, row: None } if key == "b"));
    assert_eq!(platform.row("a").await.unwrap(), None);
}

#[tokio::test]
async fn rows_pages_in_key_order_within_the_prefix() {
    let (_standin, platform, _) = start().await;
    for key in ["job/b?&", "job/a", "other", "job/c d"] {
        let request = put_if(key, Expected::Absent, key);
        platform.transact(&request).await.unwrap();
    }
    let first = platform.rows("job/", None, 2).await.unwrap();
    let keys: Vec<_> = first.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!((keys, first.more), (vec!["job/a", "job/b?&"], true));
    let second = platform.rows("job/", Some("job/b?&"), 2).await.unwrap();
    let keys: Vec<_> = second.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!((keys, second.more), (vec!["job/c d"], false));
}

#[tokio::test]
async fn object_streams_in_and_out_and_reads_ranges() {
    let (_standin, platform, _) = start().await;
    let parts = [Ok(Bytes::from("hello ")), Ok(Bytes::from("world"))];
    let content = futures::stream::iter(parts);
    platform.put_object("file/x y", content).await.unwrap();
    let whole = platform.object("file/x y", None).await.unwrap().unwrap();
    assert_eq!(whole, "hello world");
    for (range, expected) in [
        (0..5, "hello"),
        (6..11, "world"),
        (9..100, "ld"),
        (3..3, ""),
    ] {
        let part = platform.object("file/x y", Some(range.clone())).await;
        assert_eq!(part.unwrap().unwrap(), expected, "{range:?}");
    }
    platform.delete_object("file/x y").await.unwrap();
    assert_eq!(platform.object("file/x y", None).await.unwrap(), None);
}

#[tokio::test]
async fn put_object_that_fails_midway_leaves_no_object() {
    let (_standin, platform, _) = start().await;
    let parts = [
        Ok(Bytes::from("half")),
        Err(std::io::Error::other("the source broke")),
    ];
    let content = futures::stream::iter(parts);
    assert!(platform.put_object("file/x", content).await.is_err());
    assert_eq!(platform.object("file/x", None).await.unwrap(), None);
}

#[tokio::test]
async fn instances_lag_behind_the_truth() {
    let settings = PlatformSettings {
        instances_lag_ms: 400,
        ..PlatformSettings::default()
    };
    let standin = start_platform(settings).await.unwrap();
    let platform = Platform::new(standin.address());
    let listing = InstanceListing {
        instances: vec![ListedInstance {
            id: "oraculo-1".to_owned(),
            role: ListedRole::Engine {
                models: vec!["oraculo".into()],
            },
            address: "127.0.0.1:1".to_owned(),
            region: "lima".into(),
            failure_domain: "lima-a".into(),
            state: model::Liveness::Live,
        }],
    };
    let remote = Remote::new(standin.address());
    let set_at = Instant::now();
    remote.set_instances(&listing).await.unwrap();
    loop {
        let seen = platform.instances().await.unwrap();
        if seen == listing {
            break;
        }
        assert!(seen.instances.is_empty());
        assert!(set_at.elapsed() < Duration::from_secs(10));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(set_at.elapsed() >= Duration::from_millis(400));
}

/// A fault, whether its error says that nothing was applied, and whether the
/// row is there afterwards.
#[tokio::test]
async fn transact_fault_cases() {
    let cases = [
        (FaultKind::Refuse, true, false),
        (limit(0), true, false),
        (FaultKind::ResetAfterHeaders, false, false),
        (FaultKind::ResetAfterBody, false, true),
        (FaultKind::Fail, false, true),
        (FaultKind::Hang, false, false),
    ];
    for (kind, is_not_applied, is_applied) in cases {
        check_fault(kind, is_not_applied, is_applied).await;
    }
}

fn limit(writes_per_s: u32) -> FaultKind {
    FaultKind::Limit {
        writes_per_s,
        reads_per_s: 1_000,
    }
}

async fn check_fault(kind: FaultKind, is_not_applied: bool, is_applied: bool) {
    let (_standin, platform, remote) = start().await;
    let platform = platform.with_call_timeout_ms(SHORT_TIMEOUT_MS);
    // A pooled connection must be judged like a fresh one.
    platform.row("k").await.unwrap();
    let fault = Fault::new(kind).with_path(paths::TRANSACT);
    remote.add_fault(&fault).await.unwrap();
    let request = put_if("k", Expected::Absent, "v");
    let error = platform.transact(&request).await.unwrap_err();
    assert_eq!(error.is_not_applied(), is_not_applied, "{kind:?}: {error}");
    let row = platform.row("k").await.unwrap();
    assert_eq!(row.is_some(), is_applied, "{kind:?}");
}

#[tokio::test]
async fn transact_refused_connection_is_not_applied() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let platform = Platform::new(listener.local_addr().unwrap());
    drop(listener);
    let request = put_if("k", Expected::Absent, "v");
    let error = platform.transact(&request).await.unwrap_err();
    assert!(error.is_not_applied(), "{error}");
}

/// A fault, how often it strikes, and the transaction settles as committed.
#[tokio::test]
async fn transact_settled_outlasts_faults() {
    let cases = [
        (FaultKind::ResetAfterHeaders, 1),
        (FaultKind::ResetAfterBody, 1),
        (FaultKind::ResetAfterBody, 3),
        (FaultKind::Fail, 2),
        (FaultKind::Hang, 1),
    ];
    for (kind, times) in cases {
        let (_standin, platform, remote) = start().await;
        let platform = platform.with_call_timeout_ms(SHORT_TIMEOUT_MS);
        let fault = Fault::new(kind).with_times(times);
        remote.add_fault(&fault).await.unwrap();
        let request = put_if("k", Expected::Absent, "op-1");
        let outcome = settle(&platform, &request, "op-1").await;
        let committed = TransactOutcome::Committed { versions: vec![1] };
        assert_eq!(outcome, Ok(committed), "{kind:?} {times} times");
        assert_eq!(platform.row("k").await.unwrap().unwrap().version, 1);
    }
}

#[tokio::test]
async fn transact_settled_tells_another_writer_from_itself() {
    let (_standin, platform, remote) = start().await;
    let other = put_if("k", Expected::Absent, "op-other");
    platform.transact(&other).await.unwrap();
    let fault = Fault::new(FaultKind::ResetAfterBody).with_times(1);
    remote.add_fault(&fault).await.unwrap();
    let request = put_if("k", Expected::Absent, "op-1");
    let outcome = settle(&platform, &request, "op-1").await.unwrap();
    assert!(
        matches!(outcome, TransactOutcome::Conflict { row: Some(row), .. }
        if row.value == "op-other")
    );
}

#[tokio::test]
async fn transact_settled_outlasts_an_outage() {
    let (_standin, platform, remote) = start().await;
    // The answer is lost, then the port is closed for a while.
    let lost = Fault::new(FaultKind::ResetAfterBody).with_times(1);
    remote.add_fault(&lost).await.unwrap();
    let request = put_if("k", Expected::Absent, "op-1");
    let settled = settle(&platform, &request, "op-1");
    let down = async {
        let down = Fault::new(FaultKind::Down).with_for_ms(500);
        remote.add_fault(&down).await.unwrap();
    };
    let (outcome, ()) = tokio::join!(settled, down);
    let committed = TransactOutcome::Committed { versions: vec![1] };
    assert_eq!(outcome, Ok(committed));
}

#[tokio::test]
async fn transact_settled_gives_up_as_unknown_at_its_deadline() {
    let (_standin, platform, remote) = start().await;
    let fault = Fault::new(FaultKind::ResetAfterBody);
    remote.add_fault(&fault).await.unwrap();
    let request = put_if("k", Expected::Absent, "op-1");
    let deadline = Instant::now() + Duration::from_millis(SHORT_TIMEOUT_MS);
    let outcome = platform
        .transact_settled(&request, "k", |_| true, deadline)
        .await;
    assert!(matches!(outcome, Err(PlatformError::Unknown(_))));
}

#[tokio::test]
async fn transact_settled_needs_a_condition_on_each_put() {
    let (_standin, platform, _) = start().await;
    let request = TransactRequest {
        conditions: Vec::new(),
        ..put_if("k", Expected::Absent, "op-1")
    };
    let outcome = settle(&platform, &request, "op-1").await;
    assert_eq!(outcome, Err(PlatformError::Unconditioned("k".to_owned())));
    assert_eq!(platform.row("k").await.unwrap(), None);
}

#[tokio::test]
async fn with_pacer_fails_at_once_while_the_platform_is_down() {
    let (_standin, platform, remote) = start().await;
    let settings = PacerSettings {
        backoff_first_ms: 2_000,
        ..PacerSettings::default()
    };
    let platform = platform
        .with_call_timeout_ms(SETTLE_TIMEOUT_MS)
        .with_pacer(Pacer::new(settings, 1));
    remote
        .add_fault(&Fault::new(FaultKind::Refuse))
        .await
        .unwrap();
    let impatient = platform.clone().with_call_timeout_ms(1);
    let request = put_if("k", Expected::Absent, "v");
    for _ in 0..PacerSettings::default().failures_to_open {
        assert!(platform.transact(&request).await.is_err());
    }
    let error = impatient.transact(&request).await.unwrap_err();
    assert!(error.to_string().contains("circuit breaker"), "{error}");
    remote.clear_faults().await.unwrap();
    // The probe goes out within the usual time limit.
    let committed = TransactOutcome::Committed { versions: vec![1] };
    assert_eq!(platform.transact(&request).await.unwrap(), committed);
}
