//! Table of the nodes of the own region.

use model::{InstanceId, Liveness};

use crate::{NodeRecord, digest::Digest, rendezvous_weight};

/// Neighbours that follow a node on the ring; each node is thereby probed by
/// as many others.
const RING_NEIGHBORS: usize = 2;
/// Neighbours chosen by rendezvous, which shorten the way across the region.
const FAR_NEIGHBORS: usize = 4;

/// A node as this one knows it.
#[derive(Debug, Clone)]
pub(crate) struct NodeRow {
    pub(crate) rumor: NodeRecord,
    /// Time at which the present liveness became known here.
    pub(crate) changed_at_ms: u64,
    /// Probes that failed in succession.
    pub(crate) failed_probes: u8,
}

/// Rows sorted by id.
#[derive(Debug, Default)]
pub(crate) struct NodeTable {
    rows: Vec<NodeRow>,
}

impl NodeTable {
    pub(crate) fn rows(&self) -> &[NodeRow] {
        &self.rows
    }

    pub(crate) fn find(&self, id: &InstanceId) -> Option<&NodeRow> {
        let index = self.position(id).ok()?;
        Some(&self.rows[index])
    }

    pub(crate) fn find_mut(&mut self, id: &InstanceId) -> Option<&mut NodeRow> {
        let index = self.position(id).ok()?;
        Some(&mut self.rows[index])
    }

    /// Takes in news; returns whether it replaced what was known. News of a
    /// dead node that is not known is no news.
    pub(crate) fn merge(&mut self, rumor: NodeRecord, now_ms: u64, digest: &mut Digest) -> bool {
        match self.position(&rumor.id) {
            Ok(index) => {
                let row = &mut self.rows[index];
                if !supersedes(&rumor, &row.rumor) {
                    return false;
                }
                digest.replace_node(Some(&row.rumor), Some(&rumor));
                *row = NodeRow {
                    rumor,
                    changed_at_ms: now_ms,
                    failed_probes: 0,
                };
            }
            Err(_) if rumor.liveness == Liveness::Dead => return false,
            Err(index) => {
                digest.replace_node(None, Some(&rumor));
                let row = NodeRow {
                    rumor,
                    changed_at_ms: now_ms,
                    failed_probes: 0,
                };
                self.rows.insert(index, row);
            }
        }
        true
    }

    /// Gives every suspect its full time again.
    pub(crate) fn restart_suspicions(&mut self, now_ms: u64) {
        for row in &mut self.rows {
            row.changed_at_ms = row.changed_at_ms.max(now_ms);
            row.failed_probes = 0;
        }
    }

    /// Forgets nodes that died before `before_ms`.
    pub(crate) fn forget_dead(&mut self, before_ms: u64) {
        self.rows
            .retain(|row| row.rumor.liveness != Liveness::Dead || row.changed_at_ms >= before_ms);
    }

    /// Nodes that `own` exchanges news with, sorted by id. The choice is the
    /// same for every order of events.
    pub(crate) fn neighbors(&self, own: &InstanceId) -> Vec<InstanceId> {
        let mut ring: Vec<(u64, &InstanceId)> = self
            .rows
            .iter()
            .filter(|row| row.rumor.id != *own && row.rumor.liveness != Liveness::Dead)
            .map(|row| {
                (
                    rendezvous_weight("ring", row.rumor.id.as_str()),
                    &row.rumor.id,
                )
            })
            .collect();
        ring.sort_unstable();
        let start =
            ring.partition_point(|(weight, _)| *weight < rendezvous_weight("ring", own.as_str()));
        let len = ring.len();
        let near = RING_NEIGHBORS.min(len);
        let mut chosen: Vec<InstanceId> = (0..near)
            .map(|step| ring[(start + step) % len].1.clone())
            .collect();
        let mut far: Vec<(u64, &InstanceId)> = ring
            .iter()
            .filter(|(_, id)| !chosen.contains(id))
            .map(|(_, id)| (rendezvous_weight(own.as_str(), id.as_str()), *id))
            .collect();
        far.sort_unstable();
        let far: Vec<InstanceId> = far
            .into_iter()
            .rev()
            .take(FAR_NEIGHBORS)
            .map(|(_, id)| id.clone())
            .collect();
        chosen.extend(far);
        chosen.sort_unstable();
        chosen
    }

    fn position(&self, id: &InstanceId) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.rumor.id.cmp(id))
    }
}

/// Whether `new` replaces `old`: a higher incarnation does, and within one
/// incarnation the liveness can only get worse.
pub(crate) fn supersedes(new: &NodeRecord, old: &NodeRecord) -> bool {
    (new.incarnation, new.liveness) > (old.incarnation, old.liveness)
}
