//! Traffic and processor time of one node in a simulated fleet, and the time
//! until the fleet knows of a configuration, a leaving upstream or a dead node.
//! The nodes run the decision code and codecs of the programs; time and network
//! are virtual.

use membership::{
    GossipFrame, UpstreamEvidence,
    simulation::{Cluster, Topology},
};
use model::{
    Class, ClassName, ClassTarget, FleetConfig, Liveness, ModelDefaults, ModelName, UpstreamId,
};
use peer::{PeerRequest, decode, encode};

use super::{
    cost::{cpu_s, median_and_max, to_f64},
    wire::WireCost,
};

const REGIONS: usize = 7;
const DOMAINS_PER_REGION: usize = 3;
/// Time for membership to converge before the first measurement.
const SETTLE_MS: u64 = 30_000;
/// Duration of each measured phase.
const PHASE_MS: u64 = 60_000;
const MS_PER_S: u64 = 1_000;
/// Time between configuration changes: 36,000 changes a day.
const CHANGE_INTERVAL_MS: u64 = 2_400;
/// Time between restarts of a node: 3,330 a day in the whole fleet.
const RESTART_INTERVAL_MS: u64 = 26_000;
/// Time between two upstreams that leave, in proportion to the nodes' restarts.
const LEAVING_INTERVAL_MS: u64 = 9_300;
/// Classes and models of a large site's configuration.
const CLASSES: usize = 30;
const MODELS: usize = 9;
/// Number of leaving upstreams, and of killed nodes.
const CASES: usize = 12;
/// Duration and number of the pauses of single nodes. Each suspicion during them
/// counts as false.
const PAUSE_MS: u64 = 100;
const PAUSE_COUNT: usize = 300;

/// Measures one fleet size and prints a line for each phase.
///
/// # Errors
///
/// Returns a message if the processor time cannot be read.
pub fn measure(nodes: usize, upstreams: usize, run: u32, wire: WireCost) -> Result<(), String> {
    let topology = Topology {
        nodes,
        upstreams,
        regions: REGIONS,
        domains_per_region: DOMAINS_PER_REGION,
    };
    let mut bench = Bench {
        cluster: Cluster::new(topology).with_frame_size(encoded_len),
        topology,
        wire,
        version: 0,
        label: format!("run={run} nodes={nodes} upstreams={upstreams}"),
    };
    bench.cluster.run_for(SETTLE_MS);
    bench.apply_change(0);
    bench.measure_phase("rest", PhaseLoad::Rest)?;
    bench.measure_phase("changes", PhaseLoad::Changes)?;
    bench.measure_phase("changes_and_churn", PhaseLoad::ChangesAndChurn)?;
    bench.measure_leaving();
    bench.measure_deaths();
    bench.measure_false_suspicions();
    Ok(())
}

/// Changes that a fleet handles during a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PhaseLoad {
    /// No changes.
    Rest,
    /// Configuration changes.
    Changes,
    /// Configuration changes, node restarts and leaving upstreams.
    ChangesAndChurn,
}

struct Bench {
    cluster: Cluster,
    topology: Topology,
    wire: WireCost,
    version: u64,
    label: String,
}

impl Bench {
    fn measure_phase(&mut self, name: &str, load: PhaseLoad) -> Result<(), String> {
        self.cluster.reset_counters();
        let cpu_before_s = cpu_s()?;
        let started_ms = self.cluster.now_ms();
        let mut in_force_ms = Vec::new();
        let mut next_change_ms = started_ms;
        let mut next_restart_ms = started_ms + RESTART_INTERVAL_MS / 2;
        let mut next_leaving_ms = started_ms + LEAVING_INTERVAL_MS / 2;
        while self.cluster.now_ms() < started_ms + PHASE_MS {
            let now_ms = self.cluster.now_ms();
            if load != PhaseLoad::Rest && now_ms >= next_change_ms {
                next_change_ms += CHANGE_INTERVAL_MS;
                in_force_ms.extend(self.apply_change(usize::try_from(now_ms).unwrap_or(0)));
            }
            if load == PhaseLoad::ChangesAndChurn && now_ms >= next_restart_ms {
                next_restart_ms += RESTART_INTERVAL_MS;
                let node = usize::try_from(now_ms / 7).unwrap_or(0) % self.topology.nodes;
                self.cluster.kill(node);
                self.cluster.start(node);
            }
            if load == PhaseLoad::ChangesAndChurn && now_ms >= next_leaving_ms {
                next_leaving_ms += LEAVING_INTERVAL_MS;
                self.report_leaving(usize::try_from(now_ms / 11).unwrap_or(0));
            }
            self.cluster.run_for(100);
        }
        self.print_phase(name, cpu_s()? - cpu_before_s, in_force_ms);
        Ok(())
    }

    fn print_phase(&self, name: &str, cpu_s: f64, in_force_ms: Vec<u64>) {
        let seconds = to_f64(PHASE_MS / MS_PER_S);
        let node_seconds = seconds * to_f64(u64::try_from(self.topology.nodes).unwrap_or(1));
        let mut all_bytes = 0.0;
        let mut max_bytes: f64 = 0.0;
        let mut frames = 0;
        for node in 0..self.topology.nodes {
            let traffic = self.cluster.traffic(node);
            let frame_count = traffic.frames_sent + traffic.frames_received;
            let body_bytes = to_f64(traffic.bytes_sent + traffic.bytes_received);
            let bytes = body_bytes + to_f64(frame_count) * self.wire.overhead_bytes;
            all_bytes += bytes;
            max_bytes = max_bytes.max(bytes);
            frames += frame_count;
        }
        // Each exchange has two frames, and each frame counts twice: once as sent
        // and once as received.
        let exchanges_per_node_s = to_f64(frames) / 4.0 / node_seconds;
        let core_us = cpu_s * 1e6 / node_seconds;
        let wire_us = exchanges_per_node_s * self.wire.cpu_us;
        let (p50, max) = median_and_max(in_force_ms);
        println!(
            "capacity part=control phase={name} {} bytes_per_node_s={:.0} \
             bytes_per_node_s_max={:.0} exchanges_per_node_s={exchanges_per_node_s:.2} \
             core_and_codec_us_per_node_s={core_us:.0} wire_us_per_node_s={wire_us:.0} \
             cpu_percent={:.3} platform_reads_per_s={:.1} in_force_ms_p50={p50} \
             in_force_ms_max={max}",
            self.label,
            all_bytes / node_seconds,
            max_bytes / seconds,
            (core_us + wire_us) / 1e4,
            to_f64(self.cluster.platform_reads()) / seconds,
        );
    }

    /// Applies a configuration and returns the time until all nodes have it in
    /// milliseconds, or `None` if that took longer than the time between
    /// changes.
    fn apply_change(&mut self, origin: usize) -> Option<u64> {
        self.version += 1;
        let version = self.version;
        let origin = origin % self.topology.nodes;
        self.cluster.apply_config(origin, sample_config(version));
        self.cluster.run_until(CHANGE_INTERVAL_MS - 100, |cluster| {
            let mut fleets = cluster.fleets();
            fleets.all(|(_, fleet)| fleet.config().version >= version)
        })
    }

    fn report_leaving(&mut self, number: usize) -> UpstreamId {
        let id = UpstreamId::from(format!("engine-{:06}", number % self.topology.upstreams));
        let evidence = UpstreamEvidence {
            id: id.clone(),
            liveness: Liveness::Leaving,
            seen_at_ms: self.cluster.now_ms(),
        };
        let node = number % self.topology.nodes;
        self.cluster.with_fleet(node, |fleet, now_ms| {
            fleet.on_evidence(&[evidence], now_ms);
            fleet.tick(now_ms);
        });
        id
    }

    fn measure_leaving(&mut self) {
        let mut times_ms = Vec::new();
        let mut missed = 0;
        for number in 0..CASES {
            let id = self.report_leaving(number * 13 + 5);
            let known_after_ms = self.cluster.run_until(10_000, |cluster| {
                let mut fleets = cluster.fleets();
                fleets.all(|(_, fleet)| fleet.upstream_liveness(&id) == Some(Liveness::Leaving))
            });
            match known_after_ms {
                Some(elapsed_ms) => times_ms.push(elapsed_ms),
                None => missed += 1,
            }
        }
        let (p50, max) = median_and_max(times_ms);
        println!(
            "capacity part=leaving {} cases={CASES} known_everywhere_ms_p50={p50} \
             known_everywhere_ms_max={max} missed={missed}",
            self.label
        );
    }

    fn measure_deaths(&mut self) {
        let mut suspected_ms = Vec::new();
        let mut dead_ms = Vec::new();
        let mut missed = 0;
        for number in 0..CASES {
            let killed_node = (number * 29 + 3) % self.topology.nodes;
            let id = self
                .cluster
                .fleet(killed_node)
                .map(|fleet| fleet.local_node().id.clone());
            let Some(id) = id else { continue };
            self.cluster.kill(killed_node);
            let region = killed_node % REGIONS;
            let all_at_least = |cluster: &Cluster, liveness: Liveness| {
                let region_fleets = cluster
                    .fleets()
                    .filter(|(index, _)| index % REGIONS == region);
                let mut records = region_fleets.flat_map(|(_, fleet)| fleet.region_nodes());
                !records.any(|record| record.id == id && record.liveness < liveness)
            };
            let killed_at_ms = self.cluster.now_ms();
            let is_suspect = |cluster: &Cluster| all_at_least(cluster, Liveness::Suspect);
            let is_dead = |cluster: &Cluster| all_at_least(cluster, Liveness::Dead);
            let suspected_after_ms = self.cluster.run_until(15_000, is_suspect);
            suspected_ms.extend(suspected_after_ms);
            match self.cluster.run_until(15_000, is_dead) {
                Some(_) => dead_ms.push(self.cluster.now_ms() - killed_at_ms),
                None => missed += 1,
            }
            self.cluster.start(killed_node);
            self.cluster.run_for(10_000);
        }
        let (suspect_p50, suspect_max) = median_and_max(suspected_ms);
        let (dead_p50, dead_max) = median_and_max(dead_ms);
        println!(
            "capacity part=death {} cases={CASES} suspected_by_all_ms_p50={suspect_p50} \
             suspected_by_all_ms_max={suspect_max} dead_for_all_ms_p50={dead_p50} \
             dead_for_all_ms_max={dead_max} missed={missed}",
            self.label
        );
    }

    fn measure_false_suspicions(&mut self) {
        let mut false_suspicions = 0;
        for number in 0..PAUSE_COUNT {
            self.cluster
                .pause(number * 31 % self.topology.nodes, PAUSE_MS);
            self.cluster.run_for(PAUSE_MS);
            let fleets = self.cluster.fleets();
            false_suspicions += fleets
                .flat_map(|(_, fleet)| fleet.region_nodes())
                .filter(|record| record.liveness == Liveness::Suspect)
                .count();
        }
        println!(
            "capacity part=pauses {} pauses={PAUSE_COUNT} pause_ms={PAUSE_MS} \
             false_suspicions={false_suspicions}",
            self.label
        );
    }
}

/// Returns the length of a frame encoded as in the peer protocol. The frame is
/// also decoded so that the processor time covers both ends.
fn encoded_len(frame: &GossipFrame) -> u64 {
    let Ok(body) = encode(&PeerRequest::Gossip(frame.clone())) else {
        return 0;
    };
    let decoded: Result<PeerRequest, _> = decode(&body);
    assert!(decoded.is_ok(), "an encoded frame must decode");
    u64::try_from(body.len()).unwrap_or(0)
}

/// Returns a configuration with as many classes and models as a large site has.
fn sample_config(version: u64) -> FleetConfig {
    let class = |number: usize| Class {
        name: ClassName::from(format!("class-of-work-{number:03}")),
        target: ClassTarget::Online {
            first_token_ms: 430,
            between_tokens_ms: 64,
            percent: 95,
        },
        customer_requests_per_s: Some(50),
    };
    let model = |number: usize| ModelDefaults {
        model: ModelName::from(format!("model-{number}")),
        online_class: Some(ClassName::from(format!("class-of-work-{number:03}"))),
        batch_class: None,
    };
    FleetConfig {
        version,
        classes: (0..CLASSES).map(class).collect(),
        models: (0..MODELS).map(model).collect(),
    }
}
