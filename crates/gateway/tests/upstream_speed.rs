//! Upstreams that differ in speed, and that turn slow for half a second.

mod support;

use gateway::{BatchDemand, Placement, Target, UpstreamTable, WorkKind, service_hash};
use model::UpstreamId;
use support::{GOAL_MS, SLOTS, place, place_after_attempts, service, upstream_table};

/// Time for which an upstream of the usual speed holds a slot for a request, milliseconds.
const HOLD_MS: f64 = 720.0;
/// Number of events of an answer.
const EVENTS: u64 = 19;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

fn target_of(placement: &Placement) -> &Target {
    match placement {
        Placement::Send { target, .. } => target,
        Placement::Refuse { .. } => panic!("refused: {placement:?}"),
    }
}

/// Sends one answer's worth of events at a speed, as if it had just ended.
fn record_answer(table: &mut UpstreamTable, target: &Target, speed: f64, now_ms: u64) {
    table.record_end(target, WorkKind::Online);
    table.record_pace(target, EVENTS, hold_ms(speed), now_ms);
    table.record_completion(target, WorkKind::Online, hold_ms(speed));
}

fn hold_ms(speed: f64) -> u64 {
    truncated(HOLD_MS / speed)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and small"
)]
fn truncated(ms: f64) -> u64 {
    ms as u64
}

/// Requests that upstreams of [`SPEEDS`] serve, with their places in order of arrival.
#[derive(Debug, Default)]
struct Upstreams {
    /// Ends of the requests at each upstream, of which the last [`SLOTS`] count.
    taken_until_ms: [Vec<u64>; 3],
    /// Time from arrival to begin of each request, by upstream.
    waits_ms: [Vec<u64>; 3],
    running: Vec<(u64, usize, Target)>,
}

impl Upstreams {
    fn send(&mut self, target: &Target, now_ms: u64) {
        let index: usize = target.upstream.as_str()[1..].parse().unwrap();
        let taken_until_ms = &mut self.taken_until_ms[index];
        taken_until_ms.sort_unstable();
        let slot_taken_until = taken_until_ms.iter().rev().nth(SLOTS as usize - 1);
        let begin_ms = now_ms.max(slot_taken_until.copied().unwrap_or(0));
        let end_ms = begin_ms + hold_ms(SPEEDS[index]);
        taken_until_ms.push(end_ms);
        self.waits_ms[index].push(begin_ms - now_ms);
        self.running.push((end_ms, index, target.clone()));
    }

    fn finish(&mut self, table: &mut UpstreamTable, now_ms: u64) {
        self.running.sort_by_key(|(end_ms, ..)| *end_ms);
        while self
            .running
            .first()
            .is_some_and(|(end_ms, ..)| *end_ms <= now_ms)
        {
            let (end_ms, index, target) = self.running.remove(0);
            record_answer(table, &target, SPEEDS[index], end_ms);
        }
    }
}

/// At nine tenths of what the upstreams can serve, the slow one gets no more than its share
/// of the speed, and its requests begin within the goal.
#[test]
fn slow_upstream_gets_its_share_and_answers_in_time() {
    let domain = "north-a";
    let mut table = upstream_table("own", &[("u0", domain), ("u1", domain), ("u2", domain)]);
    let mut upstreams = Upstreams::default();
    let speed: f64 = SPEEDS.iter().sum();
    let gap_ms = HOLD_MS / (0.9 * speed * f64::from(SLOTS));
    let mut at_ms = 0.0;
    while at_ms < 60_000.0 {
        at_ms += gap_ms;
        let now_ms = truncated(at_ms);
        upstreams.finish(&mut table, now_ms);
        let placement = place_after_attempts(&mut table, &[], false, now_ms);
        let target = target_of(&placement).clone();
        table.record_start(&target, WorkKind::Online, now_ms);
        upstreams.send(&target, now_ms);
    }
    let [slow, usual, fast] = &upstreams.waits_ms;
    let count = slow.len() + usual.len() + fast.len();
    // Those of the last answers that are still to come are counted too.
    let share_max = SPEEDS[0] / speed;
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    let share = slow.len() as f64 / count as f64;
    assert!(
        share <= share_max,
        "{share:.4} of all, its share is {share_max:.4}"
    );
    let longest_ms = slow.iter().max().unwrap();
    assert!(
        *longest_ms <= GOAL_MS,
        "{longest_ms} ms until an answer began"
    );
}

/// An upstream whose answers were slow for half a second is used as before.
#[test]
fn slow_half_second_does_not_lead_to_avoidance() {
    let mut table = upstream_table("own", &[("u0", "north-a"), ("u1", "north-a")]);
    for step in 0..100 {
        let now_ms = step * 60;
        let placement = place(&mut table, now_ms);
        let target = target_of(&placement).clone();
        table.record_start(&target, WorkKind::Online, now_ms);
        let is_slow = target.upstream.as_str() == "u0" && now_ms > 5_000 && now_ms <= 5_500;
        let (speed, delay_ms) = if is_slow { (0.4, 150.0) } else { (1.0, 40.0) };
        table.record_answer_delay(&target, delay_ms, now_ms);
        record_answer(&mut table, &target, speed, now_ms);
    }
    let mut counts = [0, 0];
    for step in 0..200 {
        let now_ms = 6_000 + step * 2;
        let placement = place(&mut table, now_ms);
        counts[usize::from(target_of(&placement).upstream.as_str() == "u1")] += 1;
    }
    let [slow, other] = counts;
    assert!(
        slow * 3 >= other * 2,
        "{slow} requests there, {other} at the other one"
    );
}

/// One that stays slow is used less while there is a choice, and as before once it is quick
/// again.
#[test]
fn slow_upstream_leaves_and_comes_back_by_the_same_measure() {
    let mut table = upstream_table("own", &[("u0", "north-a"), ("u1", "north-a")]);
    let fill = |table: &mut UpstreamTable, now_ms: u64| -> [u64; 2] {
        let mut placed = Vec::new();
        let mut counts = [0, 0];
        for _ in 0..2 * SLOTS + 6 {
            let placement = place_after_attempts(table, &[], false, now_ms);
            let target = target_of(&placement).clone();
            table.record_start(&target, WorkKind::Online, now_ms);
            counts[usize::from(target.upstream.as_str() == "u1")] += 1;
            placed.push(target);
        }
        for target in &placed {
            table.record_end(target, WorkKind::Online);
        }
        counts
    };
    let run = |table: &mut UpstreamTable, from_ms: u64, speed: f64| -> [u64; 2] {
        for step in 0..30 {
            let now_ms = from_ms + step * 250;
            for (id, speed) in [("u0", speed), ("u1", 1.0)] {
                let target = table.target(&UpstreamId::new(id), 1).unwrap();
                table.record_start(&target, WorkKind::Online, now_ms);
                record_answer(table, &target, speed, now_ms);
            }
        }
        fill(table, from_ms + 7_500)
    };
    let [slow, other] = run(&mut table, 0, 0.4);
    assert!(
        slow < other,
        "{slow} requests while slow, {other} at the other one"
    );
    let [quick, other] = run(&mut table, 10_000, 1.0);
    assert!(
        quick.abs_diff(other) <= 2,
        "{quick} requests when quick again, {other}"
    );
}

/// Items have to end in time, and online requests only to begin: of equally free upstreams,
/// items take the faster ones.
#[test]
fn batch_plan_prefers_faster_upstream() {
    let mut table = upstream_table("own", &[("u0", "north-a"), ("u1", "north-a")]);
    for step in 0..20 {
        for (id, speed) in [("u0", 0.6), ("u1", 1.6)] {
            let target = table.target(&UpstreamId::new(id), 1).unwrap();
            record_answer(&mut table, &target, speed, step * 250);
        }
    }
    table.set_batch_queue(vec![BatchDemand {
        service: service_hash(&service()),
        key: 1,
        item_count: 4,
    }]);
    let plan = table.batch_plan(&service(), 20_000);
    let upstreams: Vec<_> = plan.iter().map(|target| target.upstream.as_str()).collect();
    assert_eq!(upstreams, ["u1"; 4]);
}
