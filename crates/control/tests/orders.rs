//! Tests of the issuer's lease and of the placement of models on engines.

use control::{EngineState, IssuerLease, LeaseRow, LeaseTimes, TableOp, WriteOutcome, plan_order};
use model::{FleetConfig, InstanceId, ModelName, UpstreamId, parse_config};
use upstream::OrderAction;

const LEASE_TIMES: LeaseTimes = LeaseTimes {
    lease_ms: 15_000,
    max_delivery_ms: 4_000,
};

/// A table that contains only the lease row.
struct LeaseTable {
    row: Option<(u64, LeaseRow)>,
}

impl LeaseTable {
    /// Ticks `lease` at `now_ms` and performs the operations that it returns.
    fn tick(&mut self, lease: &mut IssuerLease, now_ms: u64) {
        let mut op = lease.tick(true, now_ms);
        while let Some(next) = op.take() {
            match next {
                TableOp::Read => op = lease.on_row_read(Ok(self.row.clone()), now_ms),
                TableOp::Write {
                    expected_version,
                    row,
                } => {
                    lease.on_row_written(self.write(expected_version, row), now_ms);
                }
            }
        }
    }

    fn write(&mut self, expected_version: u64, row: LeaseRow) -> WriteOutcome {
        let present_version = self.row.as_ref().map_or(0, |(version, _)| *version);
        if present_version != expected_version {
            return WriteOutcome::Conflict;
        }
        let version = present_version + 1;
        self.row = Some((version, row));
        WriteOutcome::Committed(version)
    }
}

fn lease(id: &str) -> IssuerLease {
    IssuerLease::new(InstanceId::new(id), LEASE_TIMES)
}

/// Returns the fencing token with which `lease` permits an order at `now_ms`.
fn fence(lease: &IssuerLease, now_ms: u64) -> Option<u64> {
    lease.permission(now_ms).map(|permission| permission.fence)
}

#[test]
fn issuer_lease_first_holder_may_send_orders_at_once() {
    let (mut table, mut first) = (LeaseTable { row: None }, lease("a"));
    table.tick(&mut first, 0);
    assert_eq!(fence(&first, 0), Some(1));
}

#[test]
fn issuer_lease_is_held_by_only_one_of_two_candidates() {
    // Two nodes may both be candidates, because their views may name different
    // issuers.
    let mut table = LeaseTable { row: None };
    let (mut a, mut b) = (lease("a"), lease("b"));
    for now_ms in (0..120_000).step_by(100) {
        table.tick(&mut a, now_ms);
        table.tick(&mut b, now_ms);
        assert!(fence(&a, now_ms).is_none() || fence(&b, now_ms).is_none());
        assert!(a.permission(now_ms).is_some(), "node a keeps the lease");
    }
}

#[test]
fn issuer_lease_successor_waits_for_lease_and_delivery_to_end() {
    let mut table = LeaseTable { row: None };
    let (mut a, mut b) = (lease("a"), lease("b"));
    table.tick(&mut a, 0);
    // Node a fails or is paused immediately after it was permitted to send an
    // order.
    let last_permission = a.permission(0).expect("node a holds the lease");
    let mut first_order_ms = None;
    for now_ms in (100..60_000).step_by(100) {
        table.tick(&mut b, now_ms);
        if b.permission(now_ms).is_some() {
            first_order_ms = Some(now_ms);
            break;
        }
    }
    let first_order_ms = first_order_ms.expect("node b takes over");
    assert!(first_order_ms >= LEASE_TIMES.lease_ms + LEASE_TIMES.max_delivery_ms);
    assert!(first_order_ms > last_permission.deadline_ms);
    assert!(first_order_ms <= 3 * LEASE_TIMES.lease_ms);
    assert_eq!(fence(&b, first_order_ms), Some(2));
    // Node a resumes: its lease has expired, and its write results in a
    // conflict.
    assert_eq!(fence(&a, first_order_ms), None);
    table.tick(&mut a, first_order_ms);
    assert_eq!(fence(&a, first_order_ms), None);
}

#[test]
fn issuer_lease_permits_no_order_that_could_arrive_after_its_end() {
    let (mut table, mut a) = (LeaseTable { row: None }, lease("a"));
    table.tick(&mut a, 0);
    for now_ms in 0..20_000 {
        if let Some(permission) = a.permission(now_ms) {
            assert!(permission.deadline_ms <= LEASE_TIMES.lease_ms);
        }
    }
    assert_eq!(
        fence(&a, LEASE_TIMES.lease_ms - LEASE_TIMES.max_delivery_ms),
        Some(1)
    );
    assert_eq!(
        fence(&a, LEASE_TIMES.lease_ms - LEASE_TIMES.max_delivery_ms + 1),
        None
    );
}

#[test]
fn issuer_lease_lost_response_gives_no_permission() {
    let mut a = lease("a");
    assert_eq!(a.tick(true, 0), Some(TableOp::Read));
    let write = a.on_row_read(Ok(None), 0);
    assert!(matches!(write, Some(TableOp::Write { .. })));
    a.on_row_written(WriteOutcome::Unknown, 3_000);
    assert_eq!(fence(&a, 3_000), None);
    // The write took effect, but its response was lost. The node does not know
    // that the row is its own, so it waits for the lease to expire.
    let row = LeaseRow {
        holder: InstanceId::new("a"),
        fence: 1,
    };
    let mut table = LeaseTable {
        row: Some((1, row)),
    };
    let mut permitted_ms = None;
    for now_ms in (3_100..60_000).step_by(100) {
        table.tick(&mut a, now_ms);
        if a.permission(now_ms).is_some() {
            permitted_ms = permitted_ms.or(Some(now_ms));
        }
    }
    assert!(permitted_ms >= Some(3_100 + LEASE_TIMES.lease_ms));
    assert_eq!(table.row.expect("row").1.fence, 2);
}

#[test]
fn issuer_lease_expires_when_the_holder_is_no_candidate() {
    let (mut table, mut a) = (LeaseTable { row: None }, lease("a"));
    table.tick(&mut a, 0);
    for now_ms in (100..20_000).step_by(100) {
        assert_eq!(a.tick(false, now_ms), None);
    }
    assert_eq!(fence(&a, 20_000), None);
}

fn config() -> FleetConfig {
    let document = "[[class]]\nname = \"hints\"\nwork = \"online\"\nfirst_token_ms = 430\n\
                between_tokens_ms = 64\n\
                [[model]]\nname = \"a\"\nonline_class = \"hints\"\n\
                [[model]]\nname = \"b\"\nonline_class = \"hints\"\n";
    parse_config(document).expect("valid document")
}

fn engine(id: &str, models: &[&str], running: u32, waiting_prompt_tokens: u32) -> EngineState {
    EngineState {
        id: UpstreamId::new(id),
        models: models.iter().copied().map(ModelName::new).collect(),
        running,
        waiting_prompt_tokens,
    }
}

/// Checks the order, `(engine, verb, model)`, that is planned for `engines`.
fn check_order(engines: &[EngineState], covered: &[&str], expected: Option<(&str, &str, &str)>) {
    let covered: Vec<ModelName> = covered.iter().copied().map(ModelName::new).collect();
    let order = plan_order(&config(), engines, &covered);
    let found = order.map(|(engine, action)| match action {
        OrderAction::Load { model } => (engine, "load", model),
        OrderAction::Unload { model } => (engine, "unload", model),
    });
    let found = found
        .as_ref()
        .map(|(engine, verb, model)| (engine.as_str(), *verb, model.as_str()));
    assert_eq!(found, expected, "{engines:?}");
}

#[test]
fn plan_order_loads_a_model_that_no_engine_has() {
    let engines = [engine("e1", &["a"], 9, 0), engine("e2", &["a"], 1, 0)];
    check_order(&engines, &[], Some(("e2", "load", "b")));
    check_order(&engines, &["b"], None);
    check_order(&[], &[], None);
}

#[test]
fn plan_order_loads_a_busy_model_on_an_idle_engine() {
    let idle = engine("e2", &["b"], 1, 0);
    // 8,000 waiting prompt tokens take 0.4 s, and the target is 0.43 s.
    let busy = engine("e1", &["a"], 10, 8_000);
    check_order(&[busy.clone(), idle], &[], Some(("e2", "load", "a")));
    // There is no order if no engine is idle, or if another engine that already
    // has the model is idle.
    check_order(&[busy.clone(), engine("e2", &["b"], 10, 8_000)], &[], None);
    let idle = engine("e2", &["a", "b"], 1, 0);
    check_order(&[busy, idle], &[], None);
}

#[test]
fn plan_order_unloads_a_model_from_an_engine_with_too_many() {
    let crowded = engine("e1", &["a", "b", "c", "d"], 0, 0);
    check_order(&[crowded], &[], Some(("e1", "unload", "d")));
    let crowded = engine("e1", &["a", "b", "c"], 0, 0);
    check_order(&[crowded], &[], None);
}
