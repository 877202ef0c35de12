//! The fleet that a cluster consists of.

use model::{
    FailureDomain, InstanceId, InstanceRole, Liveness, ModelName, Region, UpstreamEntry,
    UpstreamId, UpstreamKind,
};

use crate::{NodeRecord, Program};

/// Time of the first tick; any Unix time will do.
pub(super) const EPOCH_MS: u64 = 1_700_000_000_000;

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Topology {
    /// Nodes, spread evenly.
    pub nodes: usize,
    /// Upstreams, spread evenly.
    pub upstreams: usize,
    /// Regions.
    pub regions: usize,
    /// Failure domains in each region.
    pub domains_per_region: usize,
}

/// The node with this number.
pub(super) fn own_rumor(shape: Topology, index: usize) -> NodeRecord {
    let region_number = index % shape.regions;
    let domain = index / shape.regions % shape.domains_per_region;
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

/// The upstream with this number.
pub(super) fn upstream(shape: Topology, index: usize) -> UpstreamEntry {
    let region_number = index % shape.regions;
    let domain = index / shape.regions % shape.domains_per_region;
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

/// The region with this number.
pub(super) fn region(number: usize) -> Region {
    Region::from(format!("region-{number}"))
}
