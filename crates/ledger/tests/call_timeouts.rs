//! Adaptive time-outs of calls to a store that loses responses, stops responding
//! and slows down.

use ledger::CallTimeouts;

fn after_responses(response_times_ms: &[u64]) -> CallTimeouts {
    let mut timeouts = CallTimeouts::default();
    for response_ms in response_times_ms {
        timeouts.record_answer(*response_ms);
    }
    timeouts
}

#[test]
fn timeout_ms_follows_response_times() {
    for (response_times_ms, timeout_ms) in [
        (&[][..], 500),
        (&[5, 5][..], 150),
        // Response times of a store in another region.
        (&[66, 66][..], 264),
        // One slow response raises the time-out at once, one fast response
        // lowers it only a little.
        (&[5, 300][..], 1_200),
        (&[300, 5][..], 1_052),
        (&[3_000][..], 2_000),
    ] {
        assert_eq!(
            after_responses(response_times_ms).timeout_ms(0),
            timeout_ms,
            "{response_times_ms:?}"
        );
    }
}

#[test]
fn timeout_ms_decreases_after_slow_period() {
    let mut timeouts = after_responses(&[400]);
    for _ in 0..40 {
        timeouts.record_answer(5);
    }
    assert_eq!(timeouts.timeout_ms(0), 150);
}

/// While a store that slowed down answers nothing, retries back off
/// exponentially. The first response resets the backoff.
#[test]
fn timeout_ms_doubles_while_nothing_is_answered() {
    let mut timeouts = after_responses(&[5]);
    let mut now_ms = 0;
    let mut durations_ms = Vec::new();
    for _ in 0..6 {
        let ends_at_ms = now_ms + timeouts.timeout_ms(0);
        durations_ms.push(ends_at_ms - now_ms);
        timeouts.record_timeout(now_ms, ends_at_ms);
        now_ms = ends_at_ms;
    }
    assert_eq!(durations_ms, [150, 300, 600, 1_200, 2_000, 2_000]);
    assert_eq!(timeouts.consecutive_timeouts(), 6);
    timeouts.record_answer(300);
    assert_eq!(
        (timeouts.timeout_ms(0), timeouts.consecutive_timeouts()),
        (1_200, 0)
    );
}

/// A call in flight when an outage ends gets the time-out that it would have without the
/// time-outs of the outage.
#[test]
fn first_timeout_ms_disregards_timeouts() {
    for (response_ms, first_timeout_ms) in [(5, 150), (66, 264), (3_000, 2_000)] {
        let mut timeouts = after_responses(&[response_ms]);
        timeouts.record_timeout(0, 150);
        timeouts.record_timeout(150, 450);
        assert_eq!(timeouts.first_timeout_ms(), first_timeout_ms);
    }
}

/// Five concurrent calls that are lost together are one failure of the store.
/// Counting each of them would raise the time-out too far.
#[test]
fn record_timeout_counts_concurrent_calls_once() {
    let mut timeouts = after_responses(&[5]);
    for ended_ms in [150, 151, 152, 153, 154] {
        timeouts.record_timeout(0, ended_ms);
    }
    assert_eq!(timeouts.consecutive_timeouts(), 1);
    timeouts.record_timeout(160, 460);
    assert_eq!(timeouts.consecutive_timeouts(), 2);
}

/// One partition takes half a second to respond while the others respond at
/// once, so every other response resets the count of time-outs. A write to the
/// slow partition would never succeed if its own attempts did not count.
#[test]
fn timeout_ms_doubles_with_tries_of_one_call() {
    let mut timeouts = after_responses(&[5]);
    let mut began_ms = 0;
    let timeouts_ms = [0, 1, 2].map(|tries| {
        let timeout_ms = timeouts.timeout_ms(tries);
        timeouts.record_timeout(began_ms, began_ms + timeout_ms);
        timeouts.record_answer(5);
        began_ms += timeout_ms;
        timeout_ms
    });
    assert_eq!(timeouts_ms, [150, 300, 600]);
}
