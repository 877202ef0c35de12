//! [`CallLimiter`] and [`Backoff`], with property tests over arbitrary sequences of
//! calls and outcomes.

use proptest::prelude::*;
use store::{
    Admission, Backoff, CallLimiter, CallLimiterSettings, CallOutcome, Operation, Priority,
};

const WRITES_PER_S: u64 = 20;
const BURST: u64 = 20;
const PRIORITIES: [Priority; 4] = [
    Priority::Commit,
    Priority::Control,
    Priority::Claim,
    Priority::Poll,
];

/// One call: the time after the previous one, its priority and operation, and
/// its outcome if it is admitted.
#[derive(Debug, Clone)]
struct Step {
    after_ms: u64,
    priority: Priority,
    operation: Operation,
    outcome: CallOutcome,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (
        0..400u64,
        prop::sample::select(&PRIORITIES[..]),
        any::<bool>(),
        prop::bool::weighted(0.7),
    );
    let step = step.prop_map(|(after_ms, priority, is_write, is_answered)| Step {
        after_ms,
        priority,
        operation: if is_write {
            Operation::Write
        } else {
            Operation::Read
        },
        outcome: if is_answered {
            CallOutcome::Answered
        } else {
            CallOutcome::Failed
        },
    });
    prop::collection::vec(step, 1..300)
}

fn settings() -> CallLimiterSettings {
    CallLimiterSettings {
        fleet_writes_per_s: f64::from(u32::try_from(WRITES_PER_S).unwrap()),
        fleet_reads_per_s: 50.0,
        burst: f64::from(u32::try_from(BURST).unwrap()),
        ..CallLimiterSettings::default()
    }
}

proptest! {
    #[test]
    fn admit_stays_within_rate(steps in steps(), seed: u64) {
        let settings = settings();
        let mut limiter = CallLimiter::new(settings.clone(), seed);
        let mut now_ms = 0;
        let mut writes = Vec::new();
        for step in steps {
            now_ms += step.after_ms;
            if limiter.admit(step.priority, step.operation, now_ms) == Admission::Granted {
                limiter.record(step.outcome, now_ms);
                if step.operation == Operation::Write {
                    writes.push(now_ms);
                }
            }
        }
        // Probes of the circuit breaker are not charged to the budget. Two probes are
        // at least this far apart.
        let min_probe_interval_ms = settings.backoff_initial_ms / 2;
        for (index, first_ms) in writes.iter().enumerate() {
            for (count, last_ms) in writes[index..].iter().enumerate() {
                let elapsed_ms = last_ms - first_ms;
                let budget = BURST + elapsed_ms * WRITES_PER_S / 1_000;
                let probes = 1 + elapsed_ms / min_probe_interval_ms;
                prop_assert!(u64::try_from(count).unwrap() <= budget + probes);
            }
        }
    }

    #[test]
    fn admit_prefers_higher_priority(steps in steps(), seed: u64) {
        let mut limiter = CallLimiter::new(settings(), seed);
        let mut now_ms = 0;
        for step in steps {
            now_ms += step.after_ms;
            let admitted = PRIORITIES.map(|priority| {
                let admission = limiter.clone().admit(priority, step.operation, now_ms);
                admission == Admission::Granted
            });
            prop_assert!(admitted.is_sorted_by(|higher, lower| higher >= lower));
            if limiter.admit(step.priority, step.operation, now_ms) == Admission::Granted {
                limiter.record(step.outcome, now_ms);
            }
        }
    }

    #[test]
    fn admit_grants_one_probe_after_failures(seed: u64, callers in 2..50usize) {
        let mut limiter = CallLimiter::new(settings(), seed);
        for _ in 0..settings().failure_threshold {
            prop_assert_eq!(admit_commit(&mut limiter, 0), Admission::Granted);
            limiter.record(CallOutcome::Failed, 0);
        }
        let Admission::Wait { until_ms } = admit_commit(&mut limiter, 0) else {
            return Err(TestCaseError::fail("the circuit breaker must be open"));
        };
        prop_assert!(until_ms > 0 && until_ms <= settings().backoff_initial_ms);
        let admitted = (0..callers)
            .filter(|_| admit_commit(&mut limiter, until_ms) == Admission::Granted);
        prop_assert_eq!(admitted.count(), 1);
    }

    #[test]
    fn admit_grants_every_priority_after_store_recovers(steps in steps(), seed: u64) {
        let mut limiter = CallLimiter::new(settings(), seed);
        let mut now_ms = 0;
        for step in steps {
            now_ms += step.after_ms;
            if limiter.admit(step.priority, step.operation, now_ms) == Admission::Granted {
                limiter.record(step.outcome, now_ms);
            }
        }
        for priority in PRIORITIES {
            let mut waits = 0;
            while let Admission::Wait { until_ms } = limiter.admit(priority, Operation::Write, now_ms) {
                prop_assert!(until_ms > now_ms);
                now_ms = until_ms;
                waits += 1;
                prop_assert!(waits <= 3);
            }
            limiter.record(CallOutcome::Answered, now_ms);
        }
    }

    #[test]
    fn next_wait_doubles_with_jitter_up_to_max(seed: u64) {
        let mut backoff = Backoff::new(100, 1_000, seed);
        for full_ms in [100, 200, 400, 800, 1_000, 1_000] {
            let wait_ms = backoff.next_wait_ms();
            prop_assert!((full_ms / 2..=full_ms).contains(&wait_ms));
        }
        backoff.reset();
        prop_assert!(backoff.next_wait_ms() <= 100);
    }
}

fn admit_commit(limiter: &mut CallLimiter, now_ms: u64) -> Admission {
    limiter.admit(Priority::Commit, Operation::Write, now_ms)
}

#[test]
fn record_after_outage_empties_budgets() {
    let mut limiter = CallLimiter::new(settings(), 1);
    for _ in 0..settings().failure_threshold {
        assert_eq!(admit_commit(&mut limiter, 0), Admission::Granted);
        limiter.record(CallOutcome::Failed, 0);
    }
    assert_eq!(admit_commit(&mut limiter, 60_000), Admission::Granted);
    limiter.record(CallOutcome::Answered, 60_000);
    // At 20 writes per second, the first waiting call is admitted 50 ms later.
    let expected = Admission::Wait { until_ms: 60_050 };
    assert_eq!(admit_commit(&mut limiter, 60_000), expected);
}

#[test]
fn set_live_instances_divides_the_rate() {
    let mut limiter = CallLimiter::new(settings(), 1);
    limiter.set_live_instances(10, 0);
    let mut admitted = 0;
    for now_ms in 0..10_000 {
        if admit_commit(&mut limiter, now_ms) == Admission::Granted {
            limiter.record(CallOutcome::Answered, now_ms);
            admitted += 1;
        }
    }
    // A burst of 20, then 2 calls per second for 10 s.
    assert!((38..=40).contains(&admitted), "{admitted}");
}
