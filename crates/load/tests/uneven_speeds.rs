//! Replays of a load that swings between 0.38 and 1.87 times its mean, at upstreams of
//! uneven speeds that also turn slow for short spells.

use load::replay::{Ablation, NoticeDelay, Pattern, RunMetrics, replay_once};

/// Three regions with upstreams at 0.6, 1.0 and 1.6 times the usual speed.
fn swing() -> Pattern {
    Pattern {
        instances: 27,
        regions: 3,
        upstreams: 30,
        lost_upstreams: 0,
        speeds: vec![0.6, 1.0, 1.6],
        slow_share: 0.15,
        online_per_s: 137.0,
        jobs_per_s: 1.67,
        length_s: 20,
    }
}

fn runs(pattern: &Pattern, ablation: Option<Ablation>) -> Vec<RunMetrics> {
    let replay = |seed| replay_once(pattern, NoticeDelay::Usual, ablation, seed);
    [1, 2].map(replay).to_vec()
}

fn late_percent(runs: &[RunMetrics]) -> f64 {
    let late: u32 = runs.iter().map(|run| run.online_late).sum();
    let count: u32 = runs.iter().map(|run| run.online_count).sum();
    f64::from(late) * 100.0 / f64::from(count)
}

#[test]
fn few_requests_are_late_on_swing() {
    let late = late_percent(&runs(&swing(), None));
    assert!(late < 3.0, "{late:.2} % late");
}

/// The same with as many instances and upstreams as three regions of a large fleet have, in
/// which notices are older than the gaps between requests.
#[test]
fn few_requests_are_late_on_swing_of_large_fleet() {
    let fleet = Pattern {
        instances: 78,
        upstreams: 90,
        online_per_s: 412.0,
        jobs_per_s: 5.0,
        length_s: 12,
        ..swing()
    };
    let late = late_percent(&runs(&fleet, None));
    assert!(late < 3.0, "{late:.2} % late");
}

/// Expected times earn more than counts of requests, also if the true speeds are known.
#[test]
fn placement_by_expected_time_is_better_than_baselines() {
    let credit = |ablation| {
        let runs = runs(&swing(), ablation);
        runs.iter().map(|run| run.credit).sum::<f64>()
    };
    let own = credit(None);
    for baseline in [
        Ablation::LeastRequests,
        Ablation::TwoChoices,
        Ablation::ShortestDelay,
    ] {
        let other = credit(Some(baseline));
        assert!(own > other, "{baseline:?}: {other:.3}, ours {own:.3}");
    }
}
