//! Table of the nodes of the own region.

use model::{InstanceId, Liveness};

use crate::{NodeRecord, digest::Digest, rendezvous_weight};

/// Number of successors on the ring that are neighbors of a node. Each node is
/// therefore probed by as many others.
const RING_NEIGHBORS: usize = 2;
/// Number of additional neighbors chosen by rendezvous hashing, which reduce
/// the number of gossip hops across the region.
const SHORTCUT_NEIGHBORS: usize = 4;

/// This node's knowledge of a node of the region.
#[derive(Debug, Clone)]
pub(crate) struct NodeRow {
    pub(crate) record: NodeRecord,
    /// Time at which this node learned the current record.
    pub(crate) changed_at_ms: u64,
    /// Number of consecutive failed probes.
    pub(crate) failed_probes: u8,
}

/// Node rows, sorted by id.
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

    /// Merges a record and returns whether it was added or replaced an older
    /// one. A dead node that is not in the table is ignored.
    pub(crate) fn merge(&mut self, record: NodeRecord, now_ms: u64, digest: &mut Digest) -> bool {
        match self.position(&record.id) {
            Ok(index) => {
                let row = &mut self.rows[index];
                if !supersedes(&record, &row.record) {
                    return false;
                }
                digest.replace_node(Some(&row.record), Some(&record));
                *row = NodeRow {
                    record,
                    changed_at_ms: now_ms,
                    failed_probes: 0,
                };
            }
            Err(_) if record.liveness == Liveness::Dead => return false,
            Err(index) => {
                digest.replace_node(None, Some(&record));
                let row = NodeRow {
                    record,
                    changed_at_ms: now_ms,
                    failed_probes: 0,
                };
                self.rows.insert(index, row);
            }
        }
        true
    }

    /// Restarts the suspicion time-out of every node.
    pub(crate) fn restart_suspicion_timers(&mut self, now_ms: u64) {
        for row in &mut self.rows {
            row.changed_at_ms = row.changed_at_ms.max(now_ms);
            row.failed_probes = 0;
        }
    }

    /// Removes nodes that were declared dead before `before_ms`.
    pub(crate) fn purge_tombstones(&mut self, before_ms: u64) {
        self.rows
            .retain(|row| row.record.liveness != Liveness::Dead || row.changed_at_ms >= before_ms);
    }

    /// Returns the nodes that the node `local_id` gossips with, sorted by id.
    /// The choice depends only on the contents of the table, not on the order
    /// of events.
    pub(crate) fn neighbors(&self, local_id: &InstanceId) -> Vec<InstanceId> {
        let mut ring: Vec<(u64, &InstanceId)> = self
            .rows
            .iter()
            .filter(|row| row.record.id != *local_id && row.record.liveness != Liveness::Dead)
            .map(|row| {
                (
                    rendezvous_weight("ring", row.record.id.as_str()),
                    &row.record.id,
                )
            })
            .collect();
        ring.sort_unstable();
        let start = ring
            .partition_point(|(weight, _)| *weight < rendezvous_weight("ring", local_id.as_str()));
        let len = ring.len();
        let successor_count = RING_NEIGHBORS.min(len);
        let mut chosen: Vec<InstanceId> = (0..successor_count)
            .map(|step| ring[(start + step) % len].1.clone())
            .collect();
        let mut shortcuts: Vec<(u64, &InstanceId)> = ring
            .iter()
            .filter(|(_, id)| !chosen.contains(id))
            .map(|(_, id)| (rendezvous_weight(local_id.as_str(), id.as_str()), *id))
            .collect();
        shortcuts.sort_unstable();
        let shortcuts: Vec<InstanceId> = shortcuts
            .into_iter()
            .rev()
            .take(SHORTCUT_NEIGHBORS)
            .map(|(_, id)| id.clone())
            .collect();
        chosen.extend(shortcuts);
        chosen.sort_unstable();
        chosen
    }

    fn position(&self, id: &InstanceId) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.record.id.cmp(id))
    }
}

/// Returns whether `new` replaces `old`: a higher incarnation always does;
/// within one incarnation, only a worse liveness does.
pub(crate) fn supersedes(new: &NodeRecord, old: &NodeRecord) -> bool {
    (new.incarnation, new.liveness) > (old.incarnation, old.liveness)
}
