//! Decisions about orders: the lease, and which engine gets which model.

use control::{EngineState, IssuerLease, LeaseRow, LeaseTimes, TableOp, WriteOutcome, plan_order};
use model::{FleetConfig, InstanceId, ModelName, UpstreamId, parse_config};
use upstream::OrderAction;

const TIMES: LeaseTimes = LeaseTimes {
    lease_ms: 15_000,
    max_delivery_ms: 4_000,
};

/// The lease row and the programs that want it.
struct Table {
    row: Option<(u64, LeaseRow)>,
}

impl Table {
    /// Performs what `issuer` asks for at `now_ms`.
    fn serve(&mut self, issuer: &mut IssuerLease, now_ms: u64) {
        let mut op = issuer.tick(true, now_ms);
        while let Some(next) = op.take() {
            match next {
                TableOp::Read => op = issuer.on_row_read(Ok(self.row.clone()), now_ms),
                TableOp::Write {
                    expected_version,
                    row,
                } => {
                    issuer.on_row_written(self.write(expected_version, row), now_ms);
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

fn issuer(name: &str) -> IssuerLease {
    IssuerLease::new(InstanceId::new(name), TIMES)
}

fn fence(issuer: &IssuerLease, now_ms: u64) -> Option<u64> {
    issuer.permission(now_ms).map(|permission| permission.fence)
}

#[test]
fn issuer_first_holder_may_order_at_once() {
    let (mut table, mut first) = (Table { row: None }, issuer("a"));
    table.serve(&mut first, 0);
    assert_eq!(fence(&first, 0), Some(1));
}

#[test]
fn issuer_two_views_name_two_issuers_and_one_gets_the_lease() {
    let mut table = Table { row: None };
    let (mut a, mut b) = (issuer("a"), issuer("b"));
    for now_ms in (0..120_000).step_by(100) {
        table.serve(&mut a, now_ms);
        table.serve(&mut b, now_ms);
        assert!(fence(&a, now_ms).is_none() || fence(&b, now_ms).is_none());
        assert!(a.permission(now_ms).is_some(), "a keeps the lease");
    }
}

#[test]
fn issuer_successor_waits_out_lease_and_flight() {
    let mut table = Table { row: None };
    let (mut a, mut b) = (issuer("a"), issuer("b"));
    table.serve(&mut a, 0);
    // a dies or is paused right after it was allowed to send an order.
    let last = a.permission(0).expect("a holds the lease");
    let mut first_order_ms = None;
    for now_ms in (100..60_000).step_by(100) {
        table.serve(&mut b, now_ms);
        if b.permission(now_ms).is_some() {
            first_order_ms = Some(now_ms);
            break;
        }
    }
    let first_order_ms = first_order_ms.expect("b takes over");
    assert!(first_order_ms >= TIMES.lease_ms + TIMES.max_delivery_ms);
    assert!(first_order_ms > last.deadline_ms);
    assert!(first_order_ms <= 3 * TIMES.lease_ms);
    assert_eq!(fence(&b, first_order_ms), Some(2));
    // a wakes: its lease is over, and its writes meet a conflict.
    assert_eq!(fence(&a, first_order_ms), None);
    table.serve(&mut a, first_order_ms);
    assert_eq!(fence(&a, first_order_ms), None);
}

#[test]
fn issuer_sends_nothing_that_could_arrive_after_the_lease() {
    let (mut table, mut a) = (Table { row: None }, issuer("a"));
    table.serve(&mut a, 0);
    for now_ms in 0..20_000 {
        if let Some(permission) = a.permission(now_ms) {
            assert!(permission.deadline_ms <= TIMES.lease_ms);
        }
    }
    assert_eq!(fence(&a, TIMES.lease_ms - TIMES.max_delivery_ms), Some(1));
    assert_eq!(fence(&a, TIMES.lease_ms - TIMES.max_delivery_ms + 1), None);
}

#[test]
fn issuer_lost_answer_gives_no_permission() {
    let mut a = issuer("a");
    assert_eq!(a.tick(true, 0), Some(TableOp::Read));
    let write = a.on_row_read(Ok(None), 0);
    assert!(matches!(write, Some(TableOp::Write { .. })));
    a.on_row_written(WriteOutcome::Unknown, 3_000);
    assert_eq!(fence(&a, 3_000), None);
    // Its own row looks like anybody's: it waits for the lapse.
    let row = LeaseRow {
        holder: InstanceId::new("a"),
        fence: 1,
    };
    let mut table = Table {
        row: Some((1, row)),
    };
    let mut allowed_ms = None;
    for now_ms in (3_100..60_000).step_by(100) {
        table.serve(&mut a, now_ms);
        if a.permission(now_ms).is_some() {
            allowed_ms = allowed_ms.or(Some(now_ms));
        }
    }
    assert!(allowed_ms >= Some(3_100 + TIMES.lease_ms));
    assert_eq!(table.row.expect("row").1.fence, 2);
}

#[test]
fn issuer_that_is_no_candidate_lets_the_lease_lapse() {
    let (mut table, mut a) = (Table { row: None }, issuer("a"));
    table.serve(&mut a, 0);
    for now_ms in (100..20_000).step_by(100) {
        assert_eq!(a.tick(false, now_ms), None);
    }
    assert_eq!(fence(&a, 20_000), None);
}

fn config() -> FleetConfig {
    let text = "[[class]]\nname = \"hints\"\nwork = \"online\"\nfirst_token_ms = 430\n\
                between_tokens_ms = 64\n\
                [[model]]\nname = \"a\"\nonline_class = \"hints\"\n\
                [[model]]\nname = \"b\"\nonline_class = \"hints\"\n";
    parse_config(text).expect("good document")
}

fn engine(id: &str, models: &[&str], running: u32, waiting_prompt_tokens: u32) -> EngineState {
    EngineState {
        id: UpstreamId::new(id),
        models: models.iter().copied().map(ModelName::new).collect(),
        running,
        waiting_prompt_tokens,
    }
}

fn check(engines: &[EngineState], covered: &[&str], expected: Option<(&str, &str, &str)>) {
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
    check(&engines, &[], Some(("e2", "load", "b")));
    check(&engines, &["b"], None);
    check(&[], &[], None);
}

#[test]
fn plan_order_gives_a_busy_model_an_idle_engine() {
    let idle = engine("e2", &["b"], 1, 0);
    // 8,000 waiting prompt tokens are 0.4 s of a target of 0.43 s.
    let busy = engine("e1", &["a"], 10, 8_000);
    check(&[busy.clone(), idle], &[], Some(("e2", "load", "a")));
    // Nobody is idle, or another engine of the model is.
    check(&[busy.clone(), engine("e2", &["b"], 10, 8_000)], &[], None);
    let relief = engine("e2", &["a", "b"], 1, 0);
    check(&[busy, relief], &[], None);
}

#[test]
fn plan_order_drops_what_others_have_too() {
    let crowded = engine("e1", &["a", "b", "c", "d"], 0, 0);
    check(&[crowded], &[], Some(("e1", "unload", "d")));
    let crowded = engine("e1", &["a", "b", "c"], 0, 0);
    check(&[crowded], &[], None);
}
