//! The world in which policies are compared.

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

fn window() -> Scheduling {
    Scheduling::Window {
        rules: WindowRules::default(),
        urgency: Urgency::NONE,
        in_parts: true,
    }
}

#[test]
fn run_repeats_with_same_seed() {
    let (first, second) = (outcome(&window()), outcome(&window()));
    assert_eq!(first.batch_tokens, second.batch_tokens);
    assert_eq!(first.late, second.late);
    assert_eq!(
        first.steady.first_token_us.value_at_quantile(0.99),
        second.steady.first_token_us.value_at_quantile(0.99)
    );
}

#[test]
fn run_answers_every_request_in_full() {
    for scheduling in [Scheduling::Alone, window(), Scheduling::Fixed(16)] {
        let outcome = outcome(&scheduling);
        assert!(outcome.requests > 0);
        assert_eq!((outcome.errors, outcome.refused), (0, 0), "{scheduling:?}");
        assert_eq!(outcome.batch_tokens == 0, scheduling == Scheduling::Alone);
    }
}

#[test]
fn run_yields_to_bursts() {
    let outcome = outcome(&window());
    assert!(!outcome.batch_gone_us.is_empty());
    assert_eq!(outcome.batch_stayed, 0);
}
