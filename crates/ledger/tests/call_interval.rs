//! Reads of all instances stay within their share of the store's rate.

use ledger::call_interval_ms;

const READS_PER_S: u64 = 2_000;
const SHARE: u64 = 8;

#[test]
fn call_interval_ms_by_fleet() {
    for (instances, interval_ms) in [(1, 4), (9, 36), (300, 1_200), (3_600, 14_400)] {
        let found = call_interval_ms(Some(instances), READS_PER_S, SHARE);
        assert_eq!(found, interval_ms, "{instances} instances");
        let all_per_s = instances * 1_000 / found;
        assert!(all_per_s <= READS_PER_S / SHARE, "{instances} instances");
    }
}

/// Three hundred instances have just started; none knows of another.
#[test]
fn call_interval_ms_of_a_fleet_that_is_not_known() {
    let interval_ms = call_interval_ms(None, READS_PER_S, SHARE);
    let all_per_s = 300 * 1_000 / interval_ms;
    assert!(
        all_per_s <= READS_PER_S / SHARE,
        "{all_per_s} reads a second"
    );
}
