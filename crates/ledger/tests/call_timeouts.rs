//! How long calls may go unanswered, replayed for a store that loses answers,
//! keeps silent and slows down.

use ledger::CallTimeouts;

fn after_answers(answer_times_ms: &[u64]) -> CallTimeouts {
    let mut times = CallTimeouts::default();
    for took_ms in answer_times_ms {
        times.record_answer(*took_ms);
    }
    times
}

#[test]
fn limit_ms_follows_answers() {
    for (answer_times_ms, limit_ms) in [
        (&[][..], 500),
        (&[5, 5][..], 150),
        // Across regions.
        (&[66, 66][..], 264),
        // One slow answer counts at once, one fast answer little.
        (&[5, 300][..], 1_200),
        (&[300, 5][..], 1_052),
        (&[3_000][..], 2_000),
    ] {
        assert_eq!(
            after_answers(answer_times_ms).timeout_ms(0),
            limit_ms,
            "{answer_times_ms:?}"
        );
    }
}

#[test]
fn limit_ms_comes_down_after_a_slow_time() {
    let mut times = after_answers(&[400]);
    for _ in 0..40 {
        times.record_answer(5);
    }
    assert_eq!(times.timeout_ms(0), 150);
}

/// A store that slows down is asked seldom until one answer has come.
#[test]
fn limit_ms_doubles_while_nothing_is_answered() {
    let mut times = after_answers(&[5]);
    let mut now_ms = 0;
    let mut tried_for_ms = Vec::new();
    for _ in 0..6 {
        let ends_at_ms = now_ms + times.timeout_ms(0);
        tried_for_ms.push(ends_at_ms - now_ms);
        times.record_timeout(now_ms, ends_at_ms);
        now_ms = ends_at_ms;
    }
    assert_eq!(tried_for_ms, [150, 300, 600, 1_200, 2_000, 2_000]);
    assert_eq!(times.consecutive_timeouts(), 6);
    times.record_answer(300);
    assert_eq!(
        (times.timeout_ms(0), times.consecutive_timeouts()),
        (1_200, 0)
    );
}

/// Five calls of one moment are lost together: that is one sign, not five.
#[test]
fn unanswered_counts_calls_of_one_moment_once() {
    let mut times = after_answers(&[5]);
    for ended_ms in [150, 151, 152, 153, 154] {
        times.record_timeout(0, ended_ms);
    }
    assert_eq!(times.consecutive_timeouts(), 1);
    times.record_timeout(160, 460);
    assert_eq!(times.consecutive_timeouts(), 2);
}

/// One partition takes half a second while others answer at once: a write there
/// gets through although every other answer starts the count anew.
#[test]
fn limit_ms_doubles_with_the_tries_of_one_call() {
    let mut times = after_answers(&[5]);
    let mut began_ms = 0;
    let limits_ms = [0, 1, 2].map(|tries| {
        let limit_ms = times.timeout_ms(tries);
        times.record_timeout(began_ms, began_ms + limit_ms);
        times.record_answer(5);
        began_ms += limit_ms;
        limit_ms
    });
    assert_eq!(limits_ms, [150, 300, 600]);
}
