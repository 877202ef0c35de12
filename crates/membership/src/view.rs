//! The view of the fleet that a control program serves to the programs on its
//! node.

use model::{InstanceEntry, InstanceRole, Liveness, UpstreamEntry, UpstreamId, View};

use crate::{
    NodeRecord, RegionSummary, UpstreamRecord, fleet::Fleet, rendezvous_weight,
    upstream::effective_liveness,
};

/// Maximum number of upstreams per remote region in a view.
const REMOTE_UPSTREAMS_MAX: usize = 64;

impl Fleet {
    /// Returns the current view: all instances and upstreams of the own region,
    /// and of each other region a sample of the nodes and a subset of the
    /// upstreams.
    #[must_use]
    pub fn view(&self, now_ms: u64) -> View {
        let known = self.nodes.rows().iter().map(|row| &row.record);
        let mut instances: Vec<InstanceEntry> = known
            .filter(|record| record.liveness != Liveness::Dead)
            .flat_map(|record| instance_entries(record, Liveness::Live))
            .collect();
        for region in self.regions.rows() {
            // The liveness of nodes in an unreachable region cannot be
            // observed.
            let best_liveness = if region.reachability.is_unreachable {
                Liveness::Suspect
            } else {
                Liveness::Live
            };
            let sampled = region.sample.iter();
            instances.extend(sampled.flat_map(|record| instance_entries(record, best_liveness)));
        }
        instances.sort_unstable_by(|a, b| (&a.id, a.role).cmp(&(&b.id, b.role)));
        View {
            revision: self.revision,
            config: (*self.config).clone(),
            instances,
            upstreams: self.upstream_entries(now_ms),
        }
    }

    /// Returns the revision of the view. It increases with every change except
    /// the expiry of an upstream suspicion, which depends on the time alone.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the nodes of the own region, except this node and dead nodes.
    pub fn region_nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.nodes
            .rows()
            .iter()
            .map(|row| &row.record)
            .filter(|record| record.id != self.local_node.id && record.liveness != Liveness::Dead)
    }

    /// Returns the known summaries of the other regions.
    #[must_use]
    pub fn other_region_summaries(&self) -> &[RegionSummary] {
        self.regions.rows()
    }

    /// Returns the liveness of an upstream, even if the view does not include
    /// that upstream, or `None` if the upstream is unknown.
    #[must_use]
    pub fn upstream_liveness(&self, id: &UpstreamId) -> Option<Liveness> {
        self.upstreams.find(id).map(|record| record.entry.liveness)
    }

    fn upstream_entries(&self, now_ms: u64) -> Vec<UpstreamEntry> {
        let mut chosen: Vec<&UpstreamRecord> = Vec::new();
        let mut remote: Vec<&UpstreamRecord> = Vec::new();
        for record in self.upstreams.records() {
            match record.entry.liveness {
                Liveness::Dead => {}
                _ if self.is_own_region(&record.entry.region) => chosen.push(record),
                _ => remote.push(record),
            }
        }
        chosen.extend(self.select_remote(remote));
        chosen.sort_unstable_by(|a, b| a.entry.id.cmp(&b.entry.id));
        chosen
            .into_iter()
            .map(|record| UpstreamEntry {
                liveness: effective_liveness(record, now_ms),
                ..record.entry.clone()
            })
            .collect()
    }

    fn select_remote<'a>(&self, mut remote: Vec<&'a UpstreamRecord>) -> Vec<&'a UpstreamRecord> {
        let local_id = self.local_node.id.as_str();
        remote.sort_by_cached_key(|record| {
            let weight = rendezvous_weight(local_id, record.entry.id.as_str());
            (record.entry.region.clone(), weight)
        });
        let mut chosen: Vec<&UpstreamRecord> = Vec::new();
        let mut region_count = 0;
        for record in remote {
            let is_same_region = chosen
                .last()
                .is_some_and(|last| last.entry.region == record.entry.region);
            region_count = if is_same_region { region_count + 1 } else { 1 };
            if region_count <= REMOTE_UPSTREAMS_MAX {
                chosen.push(record);
            }
        }
        chosen
    }
}

fn instance_entries(record: &NodeRecord, best_liveness: Liveness) -> Vec<InstanceEntry> {
    let entry = |role: InstanceRole, address: &str, liveness: Liveness, incarnation: u64| {
        InstanceEntry {
            id: record.id.clone(),
            role,
            peer_address: address.to_owned(),
            region: record.region.clone(),
            failure_domain: record.failure_domain.clone(),
            // A program is never reported as more available than its node.
            liveness: liveness.max(record.liveness).max(best_liveness),
            incarnation,
        }
    };
    let control = entry(
        InstanceRole::Control,
        &record.peer_address,
        record.liveness,
        record.incarnation,
    );
    let programs = record.programs.iter().map(|program| {
        entry(
            program.role,
            &program.peer_address,
            program.liveness,
            program.incarnation,
        )
    });
    std::iter::once(control).chain(programs).collect()
}
