//! When an unanswered heartbeat is overdue, by what the ones before it took.

use ledger::HeartbeatMonitor;

/// Time between heartbeats, milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// How long after its sending the heartbeat that follows answered ones is
/// overdue.
fn overdue_after(answer_times_ms: &[u64]) -> u64 {
    let mut watch = HeartbeatMonitor::default();
    let mut now_ms = 0;
    for answer_time_ms in answer_times_ms {
        watch.record_sent(now_ms);
        watch.record_answered(now_ms + answer_time_ms);
        now_ms += INTERVAL_MS;
    }
    watch.record_sent(now_ms);
    watch.overdue_at_ms().unwrap() - now_ms
}

#[test]
fn overdue_at_ms_by_the_last_answer() {
    for (answer_times_ms, overdue_after_ms) in [
        (&[][..], 100),
        // In the store's own failure domain, and across regions.
        (&[5, 5][..], 100),
        (&[66, 66][..], 264),
        // A slow store is no lost one, once one slow answer has come.
        (&[5, 400][..], 1_600),
        (&[400, 5][..], 100),
    ] {
        assert_eq!(
            overdue_after(answer_times_ms),
            overdue_after_ms,
            "{answer_times_ms:?}"
        );
    }
}

#[test]
fn overdue_at_ms_of_nothing_under_way() {
    let mut watch = HeartbeatMonitor::default();
    assert_eq!(watch.overdue_at_ms(), None);
    watch.record_sent(0);
    watch.record_failed();
    assert_eq!(watch.overdue_at_ms(), None);
}

/// A failure after the time limit of a call is no measured answer.
#[test]
fn overdue_at_ms_after_a_failure_is_as_before() {
    let mut watch = HeartbeatMonitor::default();
    watch.record_sent(0);
    watch.record_answered(66);
    watch.record_sent(1_000);
    watch.record_failed();
    watch.record_sent(4_000);
    assert_eq!(watch.overdue_at_ms(), Some(4_264));
}
