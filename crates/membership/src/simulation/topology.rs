//! The nodes and upstreams of a simulated cluster.

use model::{
    FailureDomain, InstanceId, InstanceRole, Liveness, ModelName, Region, UpstreamEntry,
    UpstreamId, UpstreamKind,
};

use crate::{NodeRecord, Program};

/// Virtual time at the start of the simulation. The value is arbitrary.
pub(super) const EPOCH_MS: u64 = 1_700_000_000_000;

/// Size and layout of a simulated fleet.
#[derive(Debug, Clone, Copy)]
pub struct Topology {
    /// Number of nodes, distributed evenly over regions and failure domains.
    pub nodes: usize,
    /// Number of upstreams, distributed evenly over regions and failure
    /// domains.
    pub upstreams: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of failure domains in each region.
    pub domains_per_region: usize,
}

/// Returns the initial record of the node with this index.
pub(super) fn node_record(topology: Topology, index: usize) -> NodeRecord {
    let region_number = index % topology.regions;
    let domain = index / topology.regions % topology.domains_per_region;
    let program = |role: InstanceRole| Program {
        role,
        peer_address: format!("10.20.{}.{}:7101", index / 250, index % 250),
        liveness: Liveness::Live,
        incarnation: EPOCH_MS,
    };
    NodeRecord {
        id: InstanceId::from(format!("instance-{index:06}")),
        region: region(region_number),
        failure_domain: FailureDomain::from(format!("domain-{region_number}-{domain}")),
        peer_address: format!("node:{index:010}"),
        incarnation: EPOCH_MS,
        liveness: Liveness::Live,
        programs: vec![program(InstanceRole::Entry), program(InstanceRole::Batch)],
    }
}

/// Returns the list entry of the upstream with this index.
pub(super) fn upstream(topology: Topology, index: usize) -> UpstreamEntry {
    let region_number = index % topology.regions;
    let domain = index / topology.regions % topology.domains_per_region;
    UpstreamEntry {
        id: UpstreamId::from(format!("engine-{index:06}")),
        address: format!("10.30.{}.{}:8000", index / 250, index % 250),
        kind: UpstreamKind::Engine {
            models: vec![ModelName::from(format!("model-{}", index % 9))],
        },
        region: region(region_number),
        failure_domain: FailureDomain::from(format!("domain-{region_number}-{domain}")),
        liveness: Liveness::Live,
    }
}

/// Returns the region with this number.
pub(super) fn region(number: usize) -> Region {
    Region::from(format!("region-{number}"))
}
