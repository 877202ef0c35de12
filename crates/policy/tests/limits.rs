//! Retry budget and safety, customer rate limits, and deterministic subsetting.

use model::{ClassName, CustomerId, ErrorKind};
use policy::{CustomerLimits, RetryBudget, retry_is_safe, ring_order, subset};

#[test]
fn try_retry_stays_within_retry_ratio() {
    let mut budget = RetryBudget::new().with_retry_ratio(0.1).with_capacity(2);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_request();
        retries += u32::from(budget.try_retry());
    }
    assert!((90..=102).contains(&retries), "{retries}");
}

#[test]
fn retry_is_safe_cases() {
    let check = |kind, idempotent, tokens, expected| {
        assert_eq!(
            retry_is_safe(kind, idempotent, tokens),
            expected,
            "{kind:?}"
        );
    };
    check(ErrorKind::ConnectRefused, false, 0, true);
    check(ErrorKind::UpstreamRefused, false, 0, true);
    check(ErrorKind::UpstreamLeaving, false, 0, true);
    check(ErrorKind::ConnectionLost, false, 0, false);
    check(ErrorKind::ConnectionLost, true, 0, true);
    check(ErrorKind::ConnectionLost, true, 1, false);
    check(ErrorKind::UpstreamFailed, false, 0, false);
    check(ErrorKind::DeadlineExceeded, true, 0, false);
    check(ErrorKind::InvalidRequest, true, 0, false);
}

#[test]
fn admit_limits_each_customer_separately() {
    let mut limits = CustomerLimits::new();
    let class = ClassName::new("hints");
    let (over_limit, idle) = (CustomerId::new("over-limit"), CustomerId::new("idle"));
    let mut admitted = 0;
    for ms in 0..10_000 {
        admitted += u32::from(limits.admit(&over_limit, &class, 10, ms * 1_000).is_ok());
    }
    assert!((100..=111).contains(&admitted), "{admitted}");
    assert!(limits.admit(&idle, &class, 10, 10_000_000).is_ok());
}

#[test]
fn admit_returns_retry_after() {
    let mut limits = CustomerLimits::new();
    let class = ClassName::new("hints");
    let customer = CustomerId::new("a");
    assert!(limits.admit(&customer, &class, 1, 0).is_ok());
    let refusal = limits.admit(&customer, &class, 1, 0).unwrap_err();
    assert_eq!(refusal.retry_after_ms, 1_000);
    assert!(limits.admit(&customer, &class, 1, 1_000_000).is_ok());
}

#[test]
fn admit_prunes_idle_customers() {
    let mut limits = CustomerLimits::new();
    let class = ClassName::new("hints");
    for number in 0..20_000_u64 {
        let customer = CustomerId::from(format!("c{number}"));
        let admitted = limits.admit(&customer, &class, 10, number * 10_000);
        assert!(admitted.is_ok());
    }
    assert!(limits.row_count() < 2_048, "{}", limits.row_count());
}

#[test]
fn subset_covers_upstreams_evenly() {
    let names: Vec<String> = (0..1_428).map(|number| format!("u{number}")).collect();
    let order = ring_order(names.iter().map(String::as_str));
    let mut covered = vec![0_u32; names.len()];
    for rank in 0..514 {
        let chosen = subset(&order, rank, 514, 16);
        assert_eq!(chosen.len(), 16);
        for index in chosen {
            covered[index] += 1;
        }
    }
    let (min, max) = (covered.iter().min(), covered.iter().max());
    assert!(min >= Some(&5) && max <= Some(&6), "{min:?} {max:?}");
}
