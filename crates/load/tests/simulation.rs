//! Tests of the simulation in which `compare` runs batch policies.

use load::{FleetShape, Outcome, Scheduling, Workload, WorkloadParams, run};
use policy::{Urgency, WindowRules};
use standin::EngineParams;

fn outcome(scheduling: &Scheduling) -> Outcome {
    let shape = FleetShape::default();
    let params = WorkloadParams {
        run_s: 30,
        ..WorkloadParams::default()
    };
    let workload = Workload::new(params, shape.regions, shape.engines, shape.entries, 1);
    let engine = EngineParams::default();
    run(&shape, &engine, &workload, scheduling, None).outcome
}

fn window_scheduling() -> Scheduling {
    Scheduling::Window {
        rules: WindowRules::default(),
        urgency: Urgency::NONE,
        in_parts: true,
    }
}

#[test]
fn run_with_same_seed_gives_same_outcome() {
    let (first, second) = (outcome(&window_scheduling()), outcome(&window_scheduling()));
    assert_eq!(first.batch_tokens, second.batch_tokens);
    assert_eq!(first.late, second.late);
    assert_eq!(
        first.steady.first_token_us.value_at_quantile(0.99),
        second.steady.first_token_us.value_at_quantile(0.99)
    );
}

/// Also checks that every policy but `Alone` runs batch work.
#[test]
fn run_completes_every_online_request() {
    for scheduling in [
        Scheduling::Alone,
        window_scheduling(),
        Scheduling::Fixed(16),
    ] {
        let outcome = outcome(&scheduling);
        assert!(outcome.requests > 0);
        assert_eq!((outcome.errors, outcome.refused), (0, 0), "{scheduling:?}");
        assert_eq!(outcome.batch_tokens == 0, scheduling == Scheduling::Alone);
    }
}

/// Guards against batch work that keeps a region's engines busy during a whole
/// burst of online requests.
#[test]
fn run_drains_batch_work_in_bursts() {
    let outcome = outcome(&window_scheduling());
    assert!(!outcome.batch_drain_us.is_empty());
    assert_eq!(outcome.bursts_not_drained, 0);
}
