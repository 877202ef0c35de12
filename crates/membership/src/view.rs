//! The view that the programs beside a control program get.

use model::{InstanceEntry, InstanceRole, Liveness, UpstreamEntry, UpstreamId, View};

use crate::{
    NodeRecord, RegionSummary, UpstreamRecord, fleet::Fleet, rendezvous_weight,
    upstream::effective_liveness,
};

/// Most upstreams of one other region in a view.
const REMOTE_UPSTREAMS_MAX: usize = 64;

impl Fleet {
    /// What is known now: the own region in full, of each other region a
    /// sample of the nodes and a subset of the upstreams.
    #[must_use]
    pub fn view(&self, now_ms: u64) -> View {
        let known = self.nodes.rows().iter().map(|row| &row.rumor);
        let mut instances: Vec<InstanceEntry> = known
            .filter(|rumor| rumor.liveness != Liveness::Dead)
            .flat_map(|rumor| entries(rumor, Liveness::Live))
            .collect();
        for region in self.regions.rows() {
            // Nobody there can say who still lives.
            let worst = if region.contact.lost {
                Liveness::Suspect
            } else {
                Liveness::Live
            };
            let sampled = region.sample.iter();
            instances.extend(sampled.flat_map(|rumor| entries(rumor, worst)));
        }
        instances.sort_unstable_by(|a, b| (&a.id, a.role).cmp(&(&b.id, b.role)));
        View {
            revision: self.revision,
            config: (*self.config).clone(),
            instances,
            upstreams: self.upstream_entries(now_ms),
        }
    }

    /// Grows with each change of the view, but for suspicions that end.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Nodes of the own region, but for this one and the dead.
    pub fn region_nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.nodes
            .rows()
            .iter()
            .map(|row| &row.rumor)
            .filter(|rumor| rumor.id != self.own.id && rumor.liveness != Liveness::Dead)
    }

    /// What is known of the other regions.
    #[must_use]
    pub fn other_region_summaries(&self) -> &[RegionSummary] {
        self.regions.rows()
    }

    /// Liveness of an upstream, whether or not it is part of the view.
    #[must_use]
    pub fn upstream_liveness(&self, id: &UpstreamId) -> Option<Liveness> {
        self.upstreams.find(id).map(|row| row.entry.liveness)
    }

    fn upstream_entries(&self, now_ms: u64) -> Vec<UpstreamEntry> {
        let mut chosen: Vec<&UpstreamRecord> = Vec::new();
        let mut remote: Vec<&UpstreamRecord> = Vec::new();
        for row in self.upstreams.rumors() {
            match row.entry.liveness {
                Liveness::Dead => {}
                _ if self.is_own_region(&row.entry.region) => chosen.push(row),
                _ => remote.push(row),
            }
        }
        chosen.extend(self.choose_remote(remote));
        chosen.sort_unstable_by(|a, b| a.entry.id.cmp(&b.entry.id));
        chosen
            .into_iter()
            .map(|row| UpstreamEntry {
                liveness: effective_liveness(row, now_ms),
                ..row.entry.clone()
            })
            .collect()
    }

    fn choose_remote<'a>(&self, mut remote: Vec<&'a UpstreamRecord>) -> Vec<&'a UpstreamRecord> {
        let own = self.own.id.as_str();
        remote.sort_by_cached_key(|row| {
            let weight = rendezvous_weight(own, row.entry.id.as_str());
            (row.entry.region.clone(), weight)
        });
        let mut chosen: Vec<&UpstreamRecord> = Vec::new();
        let mut same_region = 0;
        for row in remote {
            let is_same = chosen
                .last()
                .is_some_and(|last| last.entry.region == row.entry.region);
            same_region = if is_same { same_region + 1 } else { 1 };
            if same_region <= REMOTE_UPSTREAMS_MAX {
                chosen.push(row);
            }
        }
        chosen
    }
}

fn entries(rumor: &NodeRecord, at_best: Liveness) -> Vec<InstanceEntry> {
    let entry = |role: InstanceRole, address: &str, liveness: Liveness, incarnation: u64| {
        InstanceEntry {
            id: rumor.id.clone(),
            role,
            peer_address: address.to_owned(),
            region: rumor.region.clone(),
            failure_domain: rumor.failure_domain.clone(),
            // A program takes no work on a node that takes none.
            liveness: liveness.max(rumor.liveness).max(at_best),
            incarnation,
        }
    };
    let control = entry(
        InstanceRole::Control,
        &rumor.peer_address,
        rumor.liveness,
        rumor.incarnation,
    );
    let programs = rumor.programs.iter().map(|program| {
        entry(
            program.role,
            &program.peer_address,
            program.liveness,
            program.incarnation,
        )
    });
    std::iter::once(control).chain(programs).collect()
}
