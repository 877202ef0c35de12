//! What the platform says: its list, which lags, and the configuration row.

use std::{cmp::Reverse, sync::Arc};

use model::{
    FailureDomain, FleetConfig, InstanceId, Liveness, ModelName, Region, UpstreamEntry, UpstreamId,
};

use crate::{
    UpstreamEvidence,
    fleet::{Fleet, Sync},
    rendezvous_weight,
};

/// Most nodes of one region that are remembered from the list.
const CONTACTS_MAX: usize = 16;
/// Longest pause between two reads of the table by a node that heard from
/// nobody, as a power of two of seconds.
const REREAD_SHIFT_MAX: u32 = 4;
const MS_PER_S: u64 = 1_000;

/// The platform's list as the core needs it.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// Nodes that run our programs.
    pub nodes: Vec<ListedNode>,
    /// Upstreams, sorted by id.
    pub upstreams: Vec<UpstreamEntry>,
}

/// A node on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// The node.
    pub id: InstanceId,
    /// Region of the node.
    pub region: Region,
    /// Failure domain of the node.
    pub failure_domain: FailureDomain,
    /// Peer address of its control program, `IP:PORT`.
    pub peer_address: String,
}

/// A node that the list named, to talk to.
#[derive(Debug, Clone)]
pub(crate) struct Contact {
    pub(crate) id: InstanceId,
    pub(crate) region: Region,
    pub(crate) peer_address: String,
}

impl Fleet {
    /// Takes in the configuration row; `None` if the table has none.
    pub fn on_config_read(&mut self, config: Option<Arc<FleetConfig>>, now_ms: u64) {
        self.note_heard(now_ms);
        if let Some(config) = config {
            self.adopt(config);
        }
        // A peer may have named a version that this read was too early for.
        if self.config.version >= self.heard_version {
            self.mark_config_confirmed();
        }
    }

    /// Notes that the configuration row could not be read.
    pub fn on_config_read_failed(&mut self, now_ms: u64) {
        if let Sync::Waiting { failures, .. } = self.sync {
            let pause_ms = MS_PER_S << failures.min(REREAD_SHIFT_MAX);
            self.sync = Sync::Waiting {
                read_at_ms: now_ms + self.jitter(pause_ms),
                failures: failures + 1,
            };
        }
    }

    /// Takes in the platform's list.
    pub fn on_listing_read(&mut self, listing: &Listing, now_ms: u64) {
        self.note_heard(now_ms);
        self.mark_region_known();
        self.remember_contacts(&listing.nodes);
        let news = self.upstreams.compare_listing(&listing.upstreams, now_ms);
        // A first list is no news to the others: they read it themselves.
        let is_rumor = news.len() <= CONTACTS_MAX;
        for rumor in news {
            self.merge_upstream(rumor, is_rumor, now_ms);
        }
    }

    /// Takes in direct evidence from programs on this node.
    pub fn on_evidence(&mut self, evidence: &[UpstreamEvidence], now_ms: u64) {
        for item in evidence {
            let mut item = item.clone();
            item.seen_at_ms = item.seen_at_ms.min(now_ms);
            if let Some(rumor) = self.upstreams.compare_evidence(&item) {
                self.merge_upstream(rumor, true, now_ms);
            }
        }
    }

    /// Takes in what an engine said of its models.
    pub fn on_models_reported(&mut self, id: &UpstreamId, models: Vec<ModelName>, now_ms: u64) {
        if let Some(rumor) = self.upstreams.compare_models(id, models, now_ms) {
            self.merge_upstream(rumor, true, now_ms);
        }
    }

    /// Keeps some nodes of each region, other ones on each node, so that the
    /// load of being talked to is spread.
    fn remember_contacts(&mut self, nodes: &[ListedNode]) {
        let own = self.own.id.as_str();
        let mut contacts: Vec<(Reverse<u64>, Contact)> = nodes
            .iter()
            .filter(|node| node.id != self.own.id)
            .map(|node| {
                let contact = Contact {
                    id: node.id.clone(),
                    region: node.region.clone(),
                    peer_address: node.peer_address.clone(),
                };
                (Reverse(rendezvous_weight(own, node.id.as_str())), contact)
            })
            .collect();
        contacts.sort_unstable_by(|a, b| (&a.1.region, a.0).cmp(&(&b.1.region, b.0)));
        let mut kept: Vec<Contact> = Vec::new();
        for (_, contact) in contacts {
            let same = kept.iter().filter(|other| other.region == contact.region);
            if same.count() < CONTACTS_MAX {
                kept.push(contact);
            }
        }
        self.contacts = kept;
    }

    /// Nodes of the own region that the list names and that do not live here.
    pub(crate) fn unknown_contacts(&self) -> impl Iterator<Item = &Contact> {
        self.contacts.iter().filter(|contact| {
            let row = self.nodes.find(&contact.id);
            self.is_own_region(&contact.region)
                && row.is_none_or(|row| row.rumor.liveness == Liveness::Dead)
        })
    }
}
