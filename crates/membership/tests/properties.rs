//! Whatever fails in whatever order: versions never go back, and nodes that
//! can talk end up knowing the same.

use membership::{
    UpstreamEvidence,
    simulation::{Cluster, Topology},
};
use model::{FleetConfig, Liveness, UpstreamId};
use proptest::prelude::*;

const SHAPE: Topology = Topology {
    nodes: 12,
    upstreams: 6,
    regions: 3,
    domains_per_region: 2,
};
/// Time that the fleet gets to heal once failures have stopped.
const HEAL_MS: u64 = 60_000;

/// Something that happens to the fleet.
#[derive(Debug, Clone)]
enum Step {
    Apply { node: usize },
    Pause { node: usize, for_ms: u64 },
    Kill { node: usize },
    Start { node: usize },
    Cut { a: usize, b: usize, cut: bool },
    Isolate { node: usize, isolated: bool },
    Platform { down: bool },
    Leaving { node: usize, upstream: usize },
    Unreachable { node: usize, upstream: usize },
    Relist { upstream: usize, listed: bool },
    Wait { for_ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..SHAPE.nodes;
    let upstream = 0..SHAPE.upstreams;
    prop_oneof![
        3 => node.clone().prop_map(|node| Step::Apply { node }),
        2 => (node.clone(), 50_u64..8_000).prop_map(|(node, for_ms)| Step::Pause { node, for_ms }),
        2 => node.clone().prop_map(|node| Step::Kill { node }),
        2 => node.clone().prop_map(|node| Step::Start { node }),
        1 => (0_usize..3, 0_usize..3, any::<bool>())
            .prop_map(|(a, b, cut)| Step::Cut { a, b, cut }),
        1 => (node.clone(), any::<bool>())
            .prop_map(|(node, isolated)| Step::Isolate { node, isolated }),
        1 => any::<bool>().prop_map(|down| Step::Platform { down }),
        1 => (node.clone(), upstream.clone())
            .prop_map(|(node, upstream)| Step::Leaving { node, upstream }),
        1 => (node, upstream.clone())
            .prop_map(|(node, upstream)| Step::Unreachable { node, upstream }),
        1 => (upstream, any::<bool>())
            .prop_map(|(upstream, listed)| Step::Relist { upstream, listed }),
        5 => (10_u64..5_000).prop_map(|for_ms| Step::Wait { for_ms }),
    ]
}

/// The fleet with what the test knows of it.
struct Run {
    cluster: Cluster,
    version: u64,
    /// Version last seen at each running node.
    seen: Vec<Option<u64>>,
    listed: Vec<bool>,
    left: Vec<bool>,
    platform_down: bool,
}

impl Run {
    fn new() -> Self {
        let mut run = Self {
            cluster: Cluster::new(SHAPE),
            version: 0,
            seen: vec![None; SHAPE.nodes],
            listed: vec![true; SHAPE.upstreams],
            left: vec![false; SHAPE.upstreams],
            platform_down: false,
        };
        run.cluster.run_for(5_000);
        run
    }

    fn perform(&mut self, step: &Step) {
        let cluster = &mut self.cluster;
        match *step {
            Step::Apply { node } => {
                // Without the platform nothing can be accepted.
                if cluster.fleet(node).is_some() && !self.platform_down {
                    self.version += 1;
                    cluster.apply_config(node, config(self.version));
                }
            }
            Step::Pause { node, for_ms } => cluster.pause(node, for_ms),
            Step::Kill { node } => {
                cluster.kill(node);
                self.seen[node] = None;
            }
            Step::Start { node } => {
                if cluster.fleet(node).is_none() {
                    cluster.start(node);
                }
            }
            Step::Cut { a, b, cut } => {
                if a != b {
                    cluster.set_partitioned(a, b, cut);
                }
            }
            Step::Isolate { node, isolated } => cluster.set_isolated(node, isolated),
            Step::Platform { down } => {
                self.platform_down = down;
                cluster.set_platform_down(down);
            }
            Step::Leaving { node, upstream } => {
                report(cluster, node, upstream, Liveness::Leaving);
                self.left[upstream] |= cluster.fleet(node).is_some();
            }
            Step::Unreachable { node, upstream } => {
                report(cluster, node, upstream, Liveness::Suspect);
            }
            Step::Relist { upstream, listed } => {
                self.listed[upstream] = listed;
                let listed = self.listed.clone();
                cluster.set_listed_upstreams(|index| listed[index]);
            }
            Step::Wait { for_ms } => cluster.run_for(for_ms),
        }
    }

    /// No running node goes back, and no node has what was never accepted.
    fn check_versions(&mut self) -> Result<(), TestCaseError> {
        for (index, fleet) in self.cluster.fleets() {
            let version = fleet.config().version;
            prop_assert!(Some(version) >= self.seen[index], "node {index} went back");
            prop_assert!(version <= self.version);
            self.seen[index] = Some(version);
        }
        Ok(())
    }

    fn heal(&mut self) {
        self.cluster.set_platform_down(false);
        for node in 0..SHAPE.nodes {
            self.cluster.set_isolated(node, false);
            if self.cluster.fleet(node).is_none() {
                self.cluster.start(node);
            }
        }
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            self.cluster.set_partitioned(a, b, false);
            self.cluster.set_partitioned(b, a, false);
        }
        self.cluster.run_for(HEAL_MS);
    }
}

fn config(version: u64) -> FleetConfig {
    FleetConfig {
        version,
        ..FleetConfig::default()
    }
}

fn report(cluster: &mut Cluster, node: usize, upstream: usize, liveness: Liveness) {
    let evidence = UpstreamEvidence {
        id: UpstreamId::from(format!("engine-{upstream:06}")),
        liveness,
        seen_at_ms: cluster.now_ms(),
    };
    cluster.with_fleet(node, |fleet, now_ms| fleet.on_evidence(&[evidence], now_ms));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn fleet_any_failures_never_reverts_and_heals(steps in prop::collection::vec(step(), 1..60)) {
        let mut run = Run::new();
        for step in &steps {
            run.perform(step);
            run.check_versions()?;
        }
        run.heal();
        run.check_versions()?;
        for (index, fleet) in run.cluster.fleets() {
            prop_assert_eq!(fleet.config().version, run.version, "node {}", index);
            prop_assert!(fleet.is_synced(), "node {}", index);
            let live = fleet
                .region_nodes()
                .filter(|rumor| rumor.liveness == Liveness::Live);
            prop_assert_eq!(live.count(), SHAPE.nodes / SHAPE.regions - 1, "node {}", index);
            let summaries = fleet.other_region_summaries();
            prop_assert_eq!(summaries.len(), SHAPE.regions - 1, "node {}", index);
            prop_assert!(summaries.iter().all(|summary| !summary.contact.lost), "node {}", index);
        }
        // All nodes of a region end with the same upstreams.
        for region in 0..SHAPE.regions {
            let mut views: Vec<_> = run
                .cluster
                .fleets()
                .filter(|(index, _)| index % SHAPE.regions == region)
                .map(|(_, fleet)| fleet.view(run.cluster.now_ms()).upstreams)
                .collect();
            views.dedup();
            prop_assert_eq!(views.len(), 1, "region {}", region);
        }
        // What is listed and never said that it was leaving takes work again.
        let fleet = run.cluster.fleet(0).expect("runs");
        let view = fleet.view(run.cluster.now_ms());
        for (index, left) in run.left.iter().enumerate() {
            let id = format!("engine-{index:06}");
            let entry = view.upstreams.iter().find(|entry| entry.id.as_str() == id);
            if !left && run.listed[index] {
                prop_assert_eq!(entry.map(|entry| entry.liveness), Some(Liveness::Live), "{}", id);
            }
        }
    }
}
