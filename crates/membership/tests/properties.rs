//! Checks under random sequences of failures that configuration versions never
//! go back, and that nodes converge on the same state once they can
//! communicate.

use membership::{
    UpstreamEvidence,
    simulation::{Cluster, Topology},
};
use model::{FleetConfig, Liveness, UpstreamId};
use proptest::prelude::*;

const TOPOLOGY: Topology = Topology {
    nodes: 12,
    upstreams: 6,
    regions: 3,
    domains_per_region: 2,
};
/// Time in which the fleet must recover once failures have stopped.
const RECOVERY_MS: u64 = 60_000;

/// A step of the random sequence: a failure, a change or a wait.
#[derive(Debug, Clone)]
enum Step {
    ApplyConfig {
        node: usize,
    },
    Pause {
        node: usize,
        duration_ms: u64,
    },
    Kill {
        node: usize,
    },
    Start {
        node: usize,
    },
    Partition {
        a: usize,
        b: usize,
        partitioned: bool,
    },
    Isolate {
        node: usize,
        isolated: bool,
    },
    SetPlatformDown {
        down: bool,
    },
    ReportLeaving {
        node: usize,
        upstream: usize,
    },
    ReportUnreachable {
        node: usize,
        upstream: usize,
    },
    SetListed {
        upstream: usize,
        listed: bool,
    },
    Wait {
        duration_ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..TOPOLOGY.nodes;
    let upstream = 0..TOPOLOGY.upstreams;
    prop_oneof![
        3 => node.clone().prop_map(|node| Step::ApplyConfig { node }),
        2 => (node.clone(), 50_u64..8_000)
            .prop_map(|(node, duration_ms)| Step::Pause { node, duration_ms }),
        2 => node.clone().prop_map(|node| Step::Kill { node }),
        2 => node.clone().prop_map(|node| Step::Start { node }),
        1 => (0_usize..3, 0_usize..3, any::<bool>())
            .prop_map(|(a, b, partitioned)| Step::Partition { a, b, partitioned }),
        1 => (node.clone(), any::<bool>())
            .prop_map(|(node, isolated)| Step::Isolate { node, isolated }),
        1 => any::<bool>().prop_map(|down| Step::SetPlatformDown { down }),
        1 => (node.clone(), upstream.clone())
            .prop_map(|(node, upstream)| Step::ReportLeaving { node, upstream }),
        1 => (node, upstream.clone())
            .prop_map(|(node, upstream)| Step::ReportUnreachable { node, upstream }),
        1 => (upstream, any::<bool>())
            .prop_map(|(upstream, listed)| Step::SetListed { upstream, listed }),
        5 => (10_u64..5_000).prop_map(|duration_ms| Step::Wait { duration_ms }),
    ]
}

/// The simulated cluster with the state that the test expects.
struct TestRun {
    cluster: Cluster,
    /// Version of the last accepted configuration.
    version: u64,
    /// Configuration version last seen on each running node.
    last_versions: Vec<Option<u64>>,
    listed: Vec<bool>,
    /// For each upstream, whether it ever said that it was leaving.
    has_left: Vec<bool>,
    platform_down: bool,
}

impl TestRun {
    fn new() -> Self {
        let mut run = Self {
            cluster: Cluster::new(TOPOLOGY),
            version: 0,
            last_versions: vec![None; TOPOLOGY.nodes],
            listed: vec![true; TOPOLOGY.upstreams],
            has_left: vec![false; TOPOLOGY.upstreams],
            platform_down: false,
        };
        run.cluster.run_for(5_000);
        run
    }

    fn perform_step(&mut self, step: &Step) {
        let cluster = &mut self.cluster;
        match *step {
            Step::ApplyConfig { node } => {
                // A configuration cannot be accepted without the platform.
                if cluster.fleet(node).is_some() && !self.platform_down {
                    self.version += 1;
                    cluster.apply_config(node, config(self.version));
                }
            }
            Step::Pause { node, duration_ms } => cluster.pause(node, duration_ms),
            Step::Kill { node } => {
                cluster.kill(node);
                self.last_versions[node] = None;
            }
            Step::Start { node } => {
                if cluster.fleet(node).is_none() {
                    cluster.start(node);
                }
            }
            Step::Partition { a, b, partitioned } => {
                if a != b {
                    cluster.set_partitioned(a, b, partitioned);
                }
            }
            Step::Isolate { node, isolated } => cluster.set_isolated(node, isolated),
            Step::SetPlatformDown { down } => {
                self.platform_down = down;
                cluster.set_platform_down(down);
            }
            Step::ReportLeaving { node, upstream } => {
                report_evidence(cluster, node, upstream, Liveness::Leaving);
                self.has_left[upstream] |= cluster.fleet(node).is_some();
            }
            Step::ReportUnreachable { node, upstream } => {
                report_evidence(cluster, node, upstream, Liveness::Suspect);
            }
            Step::SetListed { upstream, listed } => {
                self.listed[upstream] = listed;
                let listed = self.listed.clone();
                cluster.set_listed_upstreams(|index| listed[index]);
            }
            Step::Wait { duration_ms } => cluster.run_for(duration_ms),
        }
    }

    /// Checks that no running node goes back to an older version, and that no
    /// node has a version that was never accepted.
    fn check_versions(&mut self) -> Result<(), TestCaseError> {
        for (index, fleet) in self.cluster.fleets() {
            let version = fleet.config().version;
            prop_assert!(
                Some(version) >= self.last_versions[index],
                "node {index} went back to an older version"
            );
            prop_assert!(version <= self.version);
            self.last_versions[index] = Some(version);
        }
        Ok(())
    }

    fn recover(&mut self) {
        self.cluster.set_platform_down(false);
        for node in 0..TOPOLOGY.nodes {
            self.cluster.set_isolated(node, false);
            if self.cluster.fleet(node).is_none() {
                self.cluster.start(node);
            }
        }
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            self.cluster.set_partitioned(a, b, false);
            self.cluster.set_partitioned(b, a, false);
        }
        self.cluster.run_for(RECOVERY_MS);
    }
}

fn config(version: u64) -> FleetConfig {
    FleetConfig {
        version,
        ..FleetConfig::default()
    }
}

fn report_evidence(cluster: &mut Cluster, node: usize, upstream: usize, liveness: Liveness) {
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
    fn fleet_with_random_failures_never_reverts_and_recovers(
        steps in prop::collection::vec(step(), 1..60)
    ) {
        let mut run = TestRun::new();
        for step in &steps {
            run.perform_step(step);
            run.check_versions()?;
        }
        run.recover();
        run.check_versions()?;
        for (index, fleet) in run.cluster.fleets() {
            prop_assert_eq!(fleet.config().version, run.version, "node {}", index);
            prop_assert!(fleet.is_synced(), "node {}", index);
            let live = fleet
                .region_nodes()
                .filter(|record| record.liveness == Liveness::Live);
            prop_assert_eq!(live.count(), TOPOLOGY.nodes / TOPOLOGY.regions - 1, "node {}", index);
            let summaries = fleet.other_region_summaries();
            prop_assert_eq!(summaries.len(), TOPOLOGY.regions - 1, "node {}", index);
            prop_assert!(
                summaries.iter().all(|summary| !summary.reachability.is_unreachable),
                "node {}",
                index
            );
        }
        // All nodes of a region must end with the same upstreams.
        for region in 0..TOPOLOGY.regions {
            let mut views: Vec<_> = run
                .cluster
                .fleets()
                .filter(|(index, _)| index % TOPOLOGY.regions == region)
                .map(|(_, fleet)| fleet.view(run.cluster.now_ms()).upstreams)
                .collect();
            views.dedup();
            prop_assert_eq!(views.len(), 1, "region {}", region);
        }
        // An upstream that is listed and never said that it was leaving must be
        // live again.
        let fleet = run.cluster.fleet(0).expect("node runs");
        let view = fleet.view(run.cluster.now_ms());
        for (index, has_left) in run.has_left.iter().enumerate() {
            let id = format!("engine-{index:06}");
            let entry = view.upstreams.iter().find(|entry| entry.id.as_str() == id);
            if !has_left && run.listed[index] {
                prop_assert_eq!(entry.map(|entry| entry.liveness), Some(Liveness::Live), "{}", id);
            }
        }
    }
}
