//! When an unanswered heartbeat becomes overdue, given the round-trip times of
//! the heartbeats before it.

use ledger::HeartbeatMonitor;

/// Time between heartbeats, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Sends one heartbeat for each of `round_trips_ms`, then one more, and returns
/// how long after its sending the last one becomes overdue, in milliseconds.
fn overdue_after_ms(round_trips_ms: &[u64]) -> u64 {
    let mut monitor = HeartbeatMonitor::default();
    let mut now_ms = 0;
    for round_trip_ms in round_trips_ms {
        monitor.record_sent(now_ms);
        monitor.record_answered(now_ms + round_trip_ms);
        now_ms += INTERVAL_MS;
    }
    monitor.record_sent(now_ms);
    monitor.overdue_at_ms().unwrap() - now_ms
}

#[test]
fn overdue_at_ms_depends_on_last_round_trip() {
    for (round_trips_ms, expected_ms) in [
        (&[][..], 100),
        // Round trips to a store in the same failure domain, then to one in
        // another region.
        (&[5, 5][..], 100),
        (&[66, 66][..], 264),
        // After one slow response, a slow store does not count as unreachable.
        (&[5, 400][..], 1_600),
        (&[400, 5][..], 100),
    ] {
        assert_eq!(
            overdue_after_ms(round_trips_ms),
            expected_ms,
            "{round_trips_ms:?}"
        );
    }
}

#[test]
fn overdue_at_ms_without_heartbeat_in_flight() {
    let mut monitor = HeartbeatMonitor::default();
    assert_eq!(monitor.overdue_at_ms(), None);
    monitor.record_sent(0);
    monitor.record_failed();
    assert_eq!(monitor.overdue_at_ms(), None);
}

/// A heartbeat that failed after the time-out of a call must not count as a
/// measured round trip.
#[test]
fn overdue_at_ms_unchanged_by_failure() {
    let mut monitor = HeartbeatMonitor::default();
    monitor.record_sent(0);
    monitor.record_answered(66);
    monitor.record_sent(1_000);
    monitor.record_failed();
    monitor.record_sent(4_000);
    assert_eq!(monitor.overdue_at_ms(), Some(4_264));
}
