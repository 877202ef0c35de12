//! Topology of the simulated fleet: regions, link latencies and IDs.

use model::{
    FailureDomain, FleetConfig, InstanceEntry, InstanceId, InstanceRole, Liveness, ModelName,
    Region, UpstreamEntry, UpstreamId, UpstreamKind, View,
};

/// Name of the only model in the fleet.
pub const MODEL: &str = "oraculo";

/// Size of the fleet and latencies of its links.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetShape {
    /// Number of regions.
    pub regions: usize,
    /// Engines in each region.
    pub engines: usize,
    /// Entries in each region.
    pub entries: usize,
    /// One-way latency between client and entry, microseconds.
    pub client_link_us: u64,
    /// One-way latency within a region, microseconds.
    pub home_link_us: u64,
    /// One-way latency between adjacent regions, microseconds.
    pub region_link_us: u64,
    /// Additional one-way latency for each region in between, microseconds.
    pub region_step_us: u64,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self {
            regions: 3,
            engines: 3,
            entries: 3,
            client_link_us: 3_000,
            home_link_us: 1_000,
            region_link_us: 30_000,
            region_step_us: 10_000,
        }
    }
}

impl FleetShape {
    /// Returns the one-way latency between two regions, microseconds.
    #[must_use]
    pub fn link_us(&self, from: usize, to: usize) -> u64 {
        match from.abs_diff(to) {
            0 => self.home_link_us,
            distance => self.region_link_us + self.region_step_us * (distance as u64 - 1),
        }
    }

    /// Returns the number of engines in all regions.
    #[must_use]
    pub fn engine_count(&self) -> usize {
        self.regions * self.engines
    }

    /// Returns the number of entries in all regions.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.regions * self.entries
    }

    /// Returns the region of an engine.
    #[must_use]
    pub fn engine_region(&self, engine: usize) -> usize {
        engine / self.engines
    }

    /// Returns the region of an entry.
    #[must_use]
    pub fn entry_region(&self, entry: usize) -> usize {
        entry / self.entries
    }

    /// Returns the view of the fleet that every entry has: all entries, and the
    /// engines for which `is_shown` returns true.
    #[must_use]
    pub fn view(&self, is_shown: impl Fn(usize) -> bool) -> View {
        let instances = (0..self.entry_count()).map(|entry| InstanceEntry {
            id: entry_id(entry),
            role: InstanceRole::Entry,
            peer_address: String::new(),
            region: region_name(self.entry_region(entry)),
            failure_domain: FailureDomain::new("a"),
            liveness: Liveness::Live,
            incarnation: 1,
        });
        let upstreams = (0..self.engine_count())
            .filter(|engine| is_shown(*engine))
            .map(|engine| UpstreamEntry {
                id: engine_id(engine),
                address: String::new(),
                kind: UpstreamKind::Engine {
                    models: vec![ModelName::new(MODEL)],
                },
                region: region_name(self.engine_region(engine)),
                failure_domain: FailureDomain::new("a"),
                liveness: Liveness::Live,
            });
        View {
            revision: 1,
            config: FleetConfig::default(),
            instances: instances.collect(),
            upstreams: upstreams.collect(),
        }
    }
}

/// Returns the instance ID of an entry.
pub fn entry_id(entry: usize) -> InstanceId {
    InstanceId::from(format!("entry-{entry:04}"))
}

/// Returns the upstream ID of an engine.
pub fn engine_id(engine: usize) -> UpstreamId {
    UpstreamId::from(format!("engine-{engine:04}"))
}

/// Returns the index of an engine from its ID.
pub fn engine_index(id: &UpstreamId) -> usize {
    let digits = id.as_str().trim_start_matches("engine-");
    digits.parse().unwrap_or_default()
}

/// Returns the name of a region.
pub fn region_name(region: usize) -> Region {
    Region::from(format!("region-{region}"))
}
