//! Input that does not come by gossip: the platform's lagging list, the
//! configuration row, and direct evidence about upstreams.

use std::{cmp::Reverse, sync::Arc};

use model::{
    FailureDomain, FleetConfig, InstanceId, Liveness, ModelName, Region, UpstreamEntry, UpstreamId,
};

use crate::{
    UpstreamEvidence,
    fleet::{Fleet, SyncState},
    rendezvous_weight,
};

/// Maximum number of contacts kept per region. Also the maximum number of list
/// updates that are propagated as rumors.
const CONTACTS_MAX: usize = 16;
/// Limit of the exponential backoff between reads of the table by a node that
/// is not synced, as a power of two of seconds.
const RETRY_SHIFT_MAX: u32 = 4;
const MS_PER_S: u64 = 1_000;

/// The entries of the platform's list that the core needs.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// Nodes that run Redwingtack programs.
    pub nodes: Vec<ListedNode>,
    /// Upstreams, sorted by id.
    pub upstreams: Vec<UpstreamEntry>,
}

/// A node on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// Identifies the node.
    pub id: InstanceId,
    /// Region of the node.
    pub region: Region,
    /// Failure domain of the node.
    pub failure_domain: FailureDomain,
    /// Peer address of the control program on the node, `IP:PORT`.
    pub peer_address: String,
}

/// A listed node that can be contacted before gossip makes it known.
#[derive(Debug, Clone)]
pub(crate) struct Contact {
    pub(crate) id: InstanceId,
    pub(crate) region: Region,
    pub(crate) peer_address: String,
}

impl Fleet {
    /// Handles a successful read of the configuration row; `config` is `None`
    /// if the table has no such row.
    pub fn on_config_read(&mut self, config: Option<Arc<FleetConfig>>, now_ms: u64) {
        self.record_activity(now_ms);
        if let Some(config) = config {
            self.adopt_config(config);
        }
        // A peer may have announced a newer version than this read returned.
        if self.config.version >= self.max_peer_version {
            self.mark_config_confirmed();
        }
    }

    /// Handles a failed read of the configuration row. A node that is not
    /// synced reads it again after an exponential backoff with jitter.
    pub fn on_config_read_failed(&mut self, now_ms: u64) {
        if let SyncState::Waiting { failures, .. } = self.sync_state {
            let pause_ms = MS_PER_S << failures.min(RETRY_SHIFT_MAX);
            self.sync_state = SyncState::Waiting {
                read_at_ms: now_ms + self.jitter(pause_ms),
                failures: failures + 1,
            };
        }
    }

    /// Handles a read of the platform's list.
    pub fn on_listing_read(&mut self, listing: &Listing, now_ms: u64) {
        self.record_activity(now_ms);
        self.mark_region_known();
        self.update_contacts(&listing.nodes);
        let updates = self
            .upstreams
            .updates_from_listing(&listing.upstreams, now_ms);
        // A long list of updates, such as from the first read, is not
        // propagated: the other nodes read the list themselves.
        let is_rumor = updates.len() <= CONTACTS_MAX;
        for record in updates {
            self.merge_upstream(record, is_rumor, now_ms);
        }
    }

    /// Handles direct evidence from programs on this node. Times of contact in
    /// the future are clamped to `now_ms`.
    pub fn on_evidence(&mut self, evidence: &[UpstreamEvidence], now_ms: u64) {
        for item in evidence {
            let mut item = item.clone();
            item.seen_at_ms = item.seen_at_ms.min(now_ms);
            if let Some(record) = self.upstreams.update_from_evidence(&item) {
                self.merge_upstream(record, true, now_ms);
            }
        }
    }

    /// Handles a report of the models that an engine serves.
    pub fn on_models_reported(&mut self, id: &UpstreamId, models: Vec<ModelName>, now_ms: u64) {
        if let Some(record) = self.upstreams.update_from_models(id, models, now_ms) {
            self.merge_upstream(record, true, now_ms);
        }
    }

    /// Keeps a bounded number of listed nodes per region. Rendezvous hashing
    /// with the local id makes each node keep different ones, which spreads the
    /// load of being contacted.
    fn update_contacts(&mut self, nodes: &[ListedNode]) {
        let local_id = self.local_node.id.as_str();
        let mut contacts: Vec<(Reverse<u64>, Contact)> = nodes
            .iter()
            .filter(|node| node.id != self.local_node.id)
            .map(|node| {
                let contact = Contact {
                    id: node.id.clone(),
                    region: node.region.clone(),
                    peer_address: node.peer_address.clone(),
                };
                (
                    Reverse(rendezvous_weight(local_id, node.id.as_str())),
                    contact,
                )
            })
            .collect();
        contacts.sort_unstable_by(|a, b| (&a.1.region, a.0).cmp(&(&b.1.region, b.0)));
        let mut kept: Vec<Contact> = Vec::new();
        for (_, contact) in contacts {
            let same_region = kept.iter().filter(|other| other.region == contact.region);
            if same_region.count() < CONTACTS_MAX {
                kept.push(contact);
            }
        }
        self.contacts = kept;
    }

    /// Returns the contacts in the own region that are missing or dead in this
    /// node's table.
    pub(crate) fn unknown_contacts(&self) -> impl Iterator<Item = &Contact> {
        self.contacts.iter().filter(|contact| {
            let row = self.nodes.find(&contact.id);
            self.is_own_region(&contact.region)
                && row.is_none_or(|row| row.record.liveness == Liveness::Dead)
        })
    }
}
