//! Contract of [`RateLimitedStore`], including its behaviour under injected faults.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use standin::{Fault, FaultKind, PlatformSettings, Standin, StandinClient, start_platform};
use store::{
    CallLimiter, CallLimiterSettings, InstanceListing, ListedInstance, ListedRole,
    RateLimitedStore, StoreError, TransactOutcome, Transaction,
};
use tokio::{net::TcpListener, time::Instant};

const SHORT_TIMEOUT_MS: u64 = 300;
const RESOLVE_TIMEOUT_MS: u64 = 20_000;

async fn start() -> (Standin, RateLimitedStore, StandinClient) {
    let standin = start_platform(PlatformSettings::default()).await.unwrap();
    let store = RateLimitedStore::new(standin.address());
    let remote = StandinClient::new(standin.address());
    (standin, store, remote)
}

/// Returns a transaction that puts a row if the row has `version` at present; 0
/// requires that the row is absent.
fn put_if(key: &str, version: u64, value: &str) -> Transaction {
    let row = store::row_id(key);
    Transaction {
        conditions: vec![row.clone().at_version(version)],
        puts: vec![row.with_value(Bytes::copy_from_slice(value.as_bytes()))],
        ..Transaction::default()
    }
}

fn version_of(outcome: &TransactOutcome) -> u64 {
    match outcome {
        TransactOutcome::Committed { version } => *version,
        TransactOutcome::Conflict { rows } => panic!("conflict with {rows:?}"),
    }
}

fn resolve_deadline() -> Instant {
    Instant::now() + Duration::from_millis(RESOLVE_TIMEOUT_MS)
}

async fn resolve(
    store: &RateLimitedStore,
    transaction: &Transaction,
) -> Result<TransactOutcome, StoreError> {
    store
        .transact_resolved(transaction, "k", resolve_deadline())
        .await
}

#[tokio::test]
async fn transact_applies_once_and_returns_conflicting_row() {
    let (_standin, store, _) = start().await;
    let first = put_if("k", 0, "a");
    let version = version_of(&store.transact(&first).await.unwrap());
    let TransactOutcome::Conflict { rows } = store.transact(&first).await.unwrap() else {
        panic!("the second insert must conflict");
    };
    assert_eq!((&*rows[0].key, &*rows[0].value), ("k", &b"a"[..]));
    let second = put_if("k", version, "b");
    let second_version = version_of(&store.transact(&second).await.unwrap());
    assert!(second_version > version);
    let row = store.row("k").await.unwrap().unwrap();
    assert_eq!((&*row.value, row.version), (&b"b"[..], second_version));
}

#[tokio::test]
async fn transact_applies_nothing_if_one_condition_fails() {
    let (_standin, store, _) = start().await;
    let mut transaction = put_if("a", 0, "1");
    transaction
        .conditions
        .push(store::row_id("b").at_version(3));
    let outcome = store.transact(&transaction).await.unwrap();
    assert_eq!(outcome, TransactOutcome::Conflict { rows: Vec::new() });
    assert_eq!(store.row("a").await.unwrap(), None);
}

#[tokio::test]
async fn rows_pages_in_key_order_within_prefix() {
    let (_standin, store, _) = start().await;
    for key in ["job/b?&", "job/a", "other", "job/c d"] {
        let transaction = put_if(key, 0, key);
        store.transact(&transaction).await.unwrap();
    }
    let first = store.rows("job/", None, 2).await.unwrap();
    let keys: Vec<_> = first.rows.iter().map(|row| &*row.key).collect();
    assert_eq!((keys, first.has_more), (vec!["job/a", "job/b?&"], true));
    let second = store.rows("job/", Some("job/b?&"), 2).await.unwrap();
    let keys: Vec<_> = second.rows.iter().map(|row| &*row.key).collect();
    assert_eq!((keys, second.has_more), (vec!["job/c d"], false));
}

#[tokio::test]
async fn object_reads_whole_and_in_ranges() {
    let (_standin, store, _) = start().await;
    let content = Bytes::from("hello world");
    store.put_object("file/x y", content).await.unwrap();
    let whole = store.object("file/x y", None).await.unwrap().unwrap();
    assert_eq!(whole, "hello world");
    for (range, expected) in [
        (0..5, "hello"),
        (6..11, "world"),
        (9..100, "ld"),
        (3..3, ""),
    ] {
        let part = store.object("file/x y", Some(range.clone())).await;
        assert_eq!(part.unwrap().unwrap(), expected, "{range:?}");
    }
    store.delete_object("file/x y").await.unwrap();
    assert_eq!(store.object("file/x y", None).await.unwrap(), None);
}

#[tokio::test]
async fn put_object_broken_connection_leaves_no_object() {
    let (_standin, store, remote) = start().await;
    let broken = Fault::new(FaultKind::ResetAfterHeaders).with_times(1);
    remote.add_fault(&broken).await.unwrap();
    let content = Bytes::from("half and the rest");
    let put = store.put_object("file/x", content.clone()).await;
    assert!(matches!(put, Err(StoreError::Unknown(_))), "{put:?}");
    assert_eq!(store.object("file/x", None).await.unwrap(), None);
    store.put_object("file/x", content.clone()).await.unwrap();
    assert_eq!(store.object("file/x", None).await.unwrap(), Some(content));
}

#[tokio::test]
async fn instances_lags_behind_update() {
    let settings = PlatformSettings {
        instances_lag_ms: 400,
        ..PlatformSettings::default()
    };
    let standin = start_platform(settings).await.unwrap();
    let store = RateLimitedStore::new(standin.address());
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
    let remote = StandinClient::new(standin.address());
    let set_at = Instant::now();
    remote.set_instances(&listing).await.unwrap();
    loop {
        let seen = store.instances().await.unwrap();
        if seen == listing {
            break;
        }
        assert!(seen.instances.is_empty());
        assert!(set_at.elapsed() < Duration::from_secs(10));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(set_at.elapsed() >= Duration::from_millis(400));
}

/// Each case is a fault, whether its error says that nothing was applied, and
/// whether the row is present afterwards.
#[tokio::test]
async fn transact_outcome_by_fault() {
    let cases = [
        (FaultKind::Refuse, true, false),
        (rate_limit(0), true, false),
        (FaultKind::ResetAfterHeaders, false, false),
        (FaultKind::ResetAfterBody, false, true),
        (FaultKind::Fail, false, true),
        (FaultKind::Hang, false, false),
    ];
    for (kind, is_not_done, is_applied) in cases {
        check_fault(kind, is_not_done, is_applied).await;
    }
}

fn rate_limit(writes_per_s: u32) -> FaultKind {
    FaultKind::Limit {
        writes_per_s,
        reads_per_s: 1_000,
    }
}

async fn check_fault(kind: FaultKind, is_not_done: bool, is_applied: bool) {
    let (_standin, store, remote) = start().await;
    let store = store.with_call_timeout_ms(SHORT_TIMEOUT_MS);
    // Opens a pooled connection, on which the outcome of a fault must be classified
    // as on a new one.
    store.row("k").await.unwrap();
    let fault = Fault::new(kind).with_path("/rows-tx");
    remote.add_fault(&fault).await.unwrap();
    let transaction = put_if("k", 0, "v");
    let error = store.transact(&transaction).await.unwrap_err();
    assert_eq!(error.is_not_done(), is_not_done, "{kind:?}: {error}");
    let row = store.row("k").await.unwrap();
    assert_eq!(row.is_some(), is_applied, "{kind:?}");
}

#[tokio::test]
async fn transact_refused_connection_is_not_done() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let store = RateLimitedStore::new(listener.local_addr().unwrap());
    drop(listener);
    let transaction = put_if("k", 0, "v");
    let error = store.transact(&transaction).await.unwrap_err();
    assert!(error.is_not_done(), "{error}");
}

/// Each case is a fault and how often it occurs; the transaction is resolved as
/// committed.
#[tokio::test]
async fn transact_resolved_commits_despite_faults() {
    let cases = [
        (FaultKind::ResetAfterHeaders, 1),
        (FaultKind::ResetAfterBody, 1),
        (FaultKind::ResetAfterBody, 3),
        (FaultKind::Fail, 2),
        (FaultKind::Hang, 1),
    ];
    for (kind, times) in cases {
        let (_standin, store, remote) = start().await;
        let store = store.with_call_timeout_ms(SHORT_TIMEOUT_MS);
        let fault = Fault::new(kind).with_times(times);
        remote.add_fault(&fault).await.unwrap();
        let transaction = put_if("k", 0, "op-1");
        let outcome = resolve(&store, &transaction).await.unwrap();
        let row = store.row("k").await.unwrap().unwrap();
        assert_eq!(version_of(&outcome), row.version, "{kind:?} {times} times");
        assert_eq!(&*row.value, b"op-1");
    }
}

/// The answer to the first attempt is lost, and the retry conflicts with the row
/// of another writer. That row must not count as the transaction's own.
#[tokio::test]
async fn transact_resolved_distinguishes_other_writer() {
    let (_standin, store, remote) = start().await;
    let other = put_if("k", 0, "op-other");
    store.transact(&other).await.unwrap();
    let fault = Fault::new(FaultKind::ResetAfterBody).with_times(1);
    remote.add_fault(&fault).await.unwrap();
    let transaction = put_if("k", 0, "op-1");
    let outcome = resolve(&store, &transaction).await.unwrap();
    assert!(
        matches!(&outcome, TransactOutcome::Conflict { rows } if *rows[0].value == *b"op-other")
    );
}

#[tokio::test]
async fn transact_resolved_commits_after_outage() {
    let (_standin, store, remote) = start().await;
    // The answer is lost, then the port is closed for 500 ms.
    let lost = Fault::new(FaultKind::ResetAfterBody).with_times(1);
    remote.add_fault(&lost).await.unwrap();
    let transaction = put_if("k", 0, "op-1");
    let resolved = resolve(&store, &transaction);
    let outage = async {
        let down = Fault::new(FaultKind::Down).with_for_ms(500);
        remote.add_fault(&down).await.unwrap();
    };
    let (outcome, ()) = tokio::join!(resolved, outage);
    let row = store.row("k").await.unwrap().unwrap();
    assert_eq!(version_of(&outcome.unwrap()), row.version);
}

#[tokio::test]
async fn transact_resolved_returns_unknown_at_deadline() {
    let (_standin, store, remote) = start().await;
    let fault = Fault::new(FaultKind::ResetAfterBody);
    remote.add_fault(&fault).await.unwrap();
    let transaction = put_if("k", 0, "op-1");
    let deadline = Instant::now() + Duration::from_millis(SHORT_TIMEOUT_MS);
    let outcome = store.transact_resolved(&transaction, "k", deadline).await;
    assert!(matches!(outcome, Err(StoreError::Unknown(_))));
}

#[tokio::test]
async fn transact_resolved_requires_condition_on_each_put() {
    let (_standin, store, _) = start().await;
    let transaction = Transaction {
        conditions: Vec::new(),
        ..put_if("k", 0, "op-1")
    };
    let outcome = resolve(&store, &transaction).await;
    assert!(
        matches!(outcome, Err(StoreError::Protocol(_))),
        "{outcome:?}"
    );
    assert_eq!(store.row("k").await.unwrap(), None);
}

#[tokio::test]
async fn with_limiter_fails_at_once_while_store_is_down() {
    let (_standin, store, remote) = start().await;
    let settings = CallLimiterSettings {
        backoff_initial_ms: 2_000,
        ..CallLimiterSettings::default()
    };
    let store = store
        .with_call_timeout_ms(RESOLVE_TIMEOUT_MS)
        .with_limiter(CallLimiter::new(settings, 1));
    remote
        .add_fault(&Fault::new(FaultKind::Refuse))
        .await
        .unwrap();
    let with_short_timeout = store.clone().with_call_timeout_ms(1);
    let transaction = put_if("k", 0, "v");
    for _ in 0..CallLimiterSettings::default().failure_threshold {
        assert!(store.transact(&transaction).await.is_err());
    }
    let error = with_short_timeout.transact(&transaction).await.unwrap_err();
    assert!(error.to_string().contains("circuit breaker"), "{error}");
    remote.clear_faults().await.unwrap();
    // The probe is sent within the normal time-out.
    version_of(&store.transact(&transaction).await.unwrap());
}
