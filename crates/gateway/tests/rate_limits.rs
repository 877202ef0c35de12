//! Rate limits that upstreams state, in a fleet of instances whose notices are late or lost.

mod support;

use gateway::{LimitNotice, LoadNotice, Placement, Target, UpstreamTable, WorkKind};
use model::{InstanceId, Region};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use support::{locality, place, upstream_table};

const STEP_MS: u64 = 10;
/// Interval at which tokens are issued and notices are sent, milliseconds.
const UPDATE_INTERVAL_MS: u64 = 50;
/// Time for which a request holds its slot, milliseconds.
const HOLD_MS: u64 = 400;
/// Window over which requests are counted, milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time in which every instance must keep a limit that was stated, milliseconds.
const TIME_TO_KNOW_MS: u64 = 4_000;
/// Share of the notices that are lost, percent.
const LOSS_PERCENT: u32 = 5;

/// What happens to the instances during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// The two halves of the fleet cannot hear each other from the start on.
    Split,
    /// Instances stop and start again, one after the other.
    Restarts,
}

#[derive(Debug)]
struct Instance {
    table: UpstreamTable,
    sequence: u64,
    started_ms: u64,
}

#[derive(Debug)]
struct Delivery {
    at_ms: u64,
    to: usize,
    load: LoadNotice,
    limits: Option<LimitNotice>,
}

/// A request in flight.
#[derive(Debug)]
struct Running {
    ends_ms: u64,
    instance: usize,
    target: Target,
}

struct Fleet {
    instances: Vec<Instance>,
    deliveries: Vec<Delivery>,
    running: Vec<Running>,
    /// Times at which requests were sent to the limited upstream.
    sent_ms: Vec<u64>,
    refused: usize,
    limit_per_s: f64,
    trouble: Trouble,
    rng: SmallRng,
    now_ms: u64,
}

/// The upstream `limited` states a limit, the other one, if there is one, does not.
fn new_instance(index: usize, upstreams: &[(&str, &str)], now_ms: u64) -> Instance {
    let name = format!("i{index}");
    let mut table = UpstreamTable::new(locality(&name), index as u64 * 1_000 + now_ms);
    for (id, domain) in upstreams {
        table.upsert(support::entry(id, domain), now_ms);
    }
    Instance {
        table,
        sequence: 0,
        started_ms: now_ms,
    }
}

const LIMITED_AND_FREE: &[(&str, &str)] = &[("limited", "north-a"), ("free", "north-b")];

impl Fleet {
    fn new(size: usize, limit_per_s: f64, trouble: Trouble, seed: u64) -> Self {
        let instances = (0..size).map(|index| new_instance(index, LIMITED_AND_FREE, 0));
        Self {
            instances: instances.collect(),
            deliveries: Vec::new(),
            running: Vec::new(),
            sent_ms: Vec::new(),
            refused: 0,
            limit_per_s,
            trouble,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 1_000,
        }
    }

    /// Runs the fleet for some time with this many requests a second.
    fn run(&mut self, time_ms: u64, requests_per_s: f64) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            self.end_requests();
            if self.now_ms.is_multiple_of(UPDATE_INTERVAL_MS) {
                self.update_instances();
            }
            if self.trouble == Trouble::Restarts && self.now_ms.is_multiple_of(1_500) {
                self.restart_next();
            }
            #[expect(clippy::cast_precision_loss, reason = "the step is short")]
            let probability = requests_per_s * STEP_MS as f64 / 1_000.0;
            for _ in 0..4 {
                if self.rng.random_bool((probability / 4.0).min(1.0)) {
                    self.send_request();
                }
            }
        }
    }

    fn restart_next(&mut self) {
        let index = (self.now_ms / 1_500) as usize % self.instances.len();
        self.running.retain(|running| running.instance != index);
        self.instances[index] = new_instance(index, LIMITED_AND_FREE, self.now_ms);
    }

    fn send_request(&mut self) {
        let index = self.rng.random_range(0..self.instances.len());
        let table = &mut self.instances[index].table;
        match place(table, self.now_ms) {
            Placement::Send { target, .. } => {
                table.record_start(&target, WorkKind::Online, self.now_ms);
                if target.upstream.as_str() == "limited" {
                    self.sent_ms.push(self.now_ms);
                    table.record_limit(&target, Some(self.limit_per_s), self.now_ms);
                }
                self.running.push(Running {
                    ends_ms: self.now_ms + HOLD_MS,
                    instance: index,
                    target,
                });
            }
            Placement::Refuse { .. } => self.refused += 1,
        }
    }

    fn end_requests(&mut self) {
        let now_ms = self.now_ms;
        let ended = self
            .running
            .extract_if(.., |running| running.ends_ms <= now_ms);
        for running in ended {
            let table = &mut self.instances[running.instance].table;
            table.record_completion(&running.target, WorkKind::Online, HOLD_MS);
            table.record_end(&running.target, WorkKind::Online);
        }
    }

    fn update_instances(&mut self) {
        let size = self.instances.len();
        for from in 0..size {
            let instance = &mut self.instances[from];
            instance.table.expire(self.now_ms);
            instance.table.update_limits(size, self.now_ms);
            instance.sequence += 1;
            let load = load_notice(from, instance);
            let limits = instance.table.limit_notice(self.now_ms);
            for to in 0..size {
                let is_cut = self.trouble == Trouble::Split && (from < size / 2) != (to < size / 2);
                if to == from || is_cut || self.rng.random_ratio(LOSS_PERCENT, 100) {
                    continue;
                }
                self.deliveries.push(Delivery {
                    at_ms: self.now_ms + self.rng.random_range(1..60),
                    to,
                    load: load.clone(),
                    limits: limits.clone(),
                });
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .deliveries
            .extract_if(.., |delivery| delivery.at_ms <= now_ms)
            .collect();
        for delivery in due {
            let table = &mut self.instances[delivery.to].table;
            table.receive_notice(delivery.load, now_ms);
            if let Some(limits) = &delivery.limits {
                table.receive_limits(limits, now_ms);
            }
        }
    }

    /// Returns the highest number of requests that the limited upstream got in a window that
    /// begins when every instance must know the limit.
    fn most_in_window(&self) -> usize {
        let first_ms = self.sent_ms.first().copied().unwrap_or(0) + TIME_TO_KNOW_MS;
        let windows = self
            .sent_ms
            .iter()
            .filter(|start_ms| **start_ms >= first_ms);
        let counts = windows.map(|start_ms| {
            let window = *start_ms..*start_ms + WINDOW_MS;
            let inside = self.sent_ms.iter().filter(|at_ms| window.contains(at_ms));
            inside.count()
        });
        counts.max().unwrap_or(0)
    }

    fn sent_since(&self, from_ms: u64) -> usize {
        self.sent_ms
            .iter()
            .filter(|at_ms| **at_ms >= from_ms)
            .count()
    }
}

fn load_notice(index: usize, instance: &Instance) -> LoadNotice {
    LoadNotice {
        instance: InstanceId::new(&format!("i{index}")),
        started_unix_ms: instance.started_ms,
        sequence: instance.sequence,
        region: Region::new("north"),
        store_age_ms: Some(0),
        job_takeovers: Vec::new(),
        batch_queue: Vec::new(),
        loads: instance.table.own_loads(),
    }
}

/// Returns how many requests an upstream may get in a window: one and a half times what it
/// states, and five more.
fn allowed(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * 4.0 + 5.0
}

#[expect(clippy::cast_precision_loss, reason = "the count is small")]
fn assert_limit_is_kept(fleet: &Fleet) {
    let most = fleet.most_in_window();
    assert!(
        most as f64 <= allowed(fleet.limit_per_s),
        "{most} requests in {WINDOW_MS} ms at a limit of {} with {:?}",
        fleet.limit_per_s,
        fleet.trouble
    );
}

#[test]
fn limit_is_kept_by_fleet() {
    for (seed, limit_per_s) in [0.0, 0.2, 1.0, 3.0, 12.5, 50.0].into_iter().enumerate() {
        for trouble in [Trouble::Nothing, Trouble::Split, Trouble::Restarts] {
            for size in [1, 3, 9, 40] {
                let mut fleet = Fleet::new(size, limit_per_s, trouble, seed as u64);
                for _ in 0..4 {
                    fleet.run(3_000, 8.0);
                    fleet.run(2_000, 120.0);
                }
                assert_limit_is_kept(&fleet);
            }
        }
    }
}

/// Callers get what the upstream gives while they have requests for it.
#[test]
#[expect(clippy::cast_precision_loss, reason = "the count is small")]
fn limit_is_used_under_load() {
    for (seed, limit_per_s) in [1.0, 3.0, 20.0].into_iter().enumerate() {
        let mut fleet = Fleet::new(9, limit_per_s, Trouble::Nothing, seed as u64);
        fleet.run(2_000, 60.0);
        let from_ms = fleet.now_ms;
        fleet.run(20_000, 60.0);
        let share = fleet.sent_since(from_ms) as f64 / (limit_per_s * 20.0);
        assert!(share > 0.85, "{share} of {limit_per_s} a second was used");
    }
}

/// An upstream that takes nothing is asked now and then whether that is still so, and gets
/// requests again at once when its answer states no limit.
#[test]
fn limit_of_zero_ends_with_an_answer() {
    let mut fleet = Fleet::new(3, 0.0, Trouble::Nothing, 1);
    fleet.run(1_000, 40.0);
    let from_ms = fleet.now_ms;
    fleet.run(20_000, 40.0);
    let sent = fleet.sent_since(from_ms);
    assert!((1..=5).contains(&sent), "{sent} requests in 20 s");
    let mut table = upstream_table("me", &[("limited", "north-a")]);
    let Placement::Send { target, .. } = place(&mut table, 1_000) else {
        panic!("the upstream is not used before it states a limit");
    };
    assert!(table.record_limit(&target, Some(0.0), 1_000));
    let refused = place(&mut table, 1_010);
    assert!(matches!(refused, Placement::Refuse { .. }), "{refused:?}");
    assert!(table.record_limit(&target, None, 1_020));
    assert!(matches!(place(&mut table, 1_030), Placement::Send { .. }));
}

/// A huge limit limits nothing.
#[test]
fn limit_that_is_huge_refuses_nothing() {
    let mut fleet = Fleet::new(3, 1e300, Trouble::Nothing, 2);
    fleet.run(1_000, 10.0);
    fleet.refused = 0;
    fleet.run(3_000, 10.0);
    assert_eq!(fleet.refused, 0);
}

/// While some upstream states no limit, nobody is refused for the others' limits.
#[test]
fn requests_go_to_upstreams_without_limit() {
    let mut fleet = Fleet::new(3, 0.5, Trouble::Nothing, 3);
    fleet.run(10_000, 10.0);
    assert_eq!(fleet.refused, 0);
}
