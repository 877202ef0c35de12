//! The calls of all instances together stay within their share of the store's
//! rate.

use ledger::call_interval_ms;

const READS_PER_S: u64 = 2_000;
const DIVISOR: u64 = 8;

#[test]
fn call_interval_ms_by_instance_count() {
    for (instances, interval_ms) in [(1, 4), (9, 36), (300, 1_200), (3_600, 14_400)] {
        let actual_ms = call_interval_ms(Some(instances), READS_PER_S, DIVISOR);
        assert_eq!(actual_ms, interval_ms, "{instances} instances");
        let total_per_s = instances * 1_000 / actual_ms;
        assert!(
            total_per_s <= READS_PER_S / DIVISOR,
            "{instances} instances"
        );
    }
}

/// Three hundred instances have just started, and none has discovered another.
/// If each called as if it were alone, together they would exceed the rate.
#[test]
fn call_interval_ms_with_unknown_instance_count() {
    let interval_ms = call_interval_ms(None, READS_PER_S, DIVISOR);
    let total_per_s = 300 * 1_000 / interval_ms;
    assert!(
        total_per_s <= READS_PER_S / DIVISOR,
        "{total_per_s} reads per second"
    );
}
