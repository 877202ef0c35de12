//! Table of the other regions, with one summary per region.

use model::Region;

use crate::{NodeRecord, RegionReachability, RegionSummary, digest::Digest, rendezvous_weight};

/// Maximum number of nodes in the sample of a summary.
pub(crate) const SAMPLE_MAX: usize = 16;
/// Consecutive failed requests to a region after which it counts as
/// unreachable.
pub(crate) const FAILURES_MAX: u8 = 3;

/// Region summaries, sorted by region.
#[derive(Debug, Default)]
pub(crate) struct RegionTable {
    rows: Vec<RegionSummary>,
    /// Number of this node's consecutive failed requests to each region.
    failures: Vec<(Region, u8)>,
}

impl RegionTable {
    pub(crate) fn rows(&self) -> &[RegionSummary] {
        &self.rows
    }

    pub(crate) fn find(&self, region: &Region) -> Option<&RegionSummary> {
        let index = self.position(region).ok()?;
        Some(&self.rows[index])
    }

    /// Merges a received summary and returns whether it changed anything but
    /// the summary's time. The content of a summary and the reachability of its
    /// region have separate timestamps. Reachability is accepted from nodes of
    /// the own region only.
    pub(crate) fn merge(&mut self, mut summary: RegionSummary, from_own_region: bool) -> bool {
        if !from_own_region {
            summary.reachability = RegionReachability::default();
        }
        match self.position(&summary.region) {
            Ok(index) => {
                let row = &mut self.rows[index];
                let is_reachability_newer =
                    summary.reachability.changed_at_ms > row.reachability.changed_at_ms;
                if is_reachability_newer {
                    row.reachability = summary.reachability;
                }
                if summary.created_at_ms <= row.created_at_ms {
                    return is_reachability_newer;
                }
                let is_content_new = !has_same_content(&summary, row);
                summary.reachability = row.reachability;
                *row = summary;
                is_content_new || is_reachability_newer
            }
            Err(index) => {
                self.rows.insert(index, summary);
                true
            }
        }
    }

    /// Records the outcome of a request to `region` and returns whether the
    /// region became unreachable or reachable again.
    pub(crate) fn record_region_outcome(
        &mut self,
        region: &Region,
        answered: bool,
        now_ms: u64,
    ) -> bool {
        let failures = self.update_failures(region, answered);
        let Ok(index) = self.position(region) else {
            return false;
        };
        let reachability = &mut self.rows[index].reachability;
        let is_unreachable = match failures {
            0 => false,
            FAILURES_MAX.. => true,
            _ => reachability.is_unreachable,
        };
        if reachability.is_unreachable == is_unreachable {
            return false;
        }
        *reachability = RegionReachability {
            is_unreachable,
            changed_at_ms: now_ms.max(reachability.changed_at_ms + 1),
        };
        true
    }

    /// Returns the number of consecutive failed requests to `region`.
    pub(crate) fn failures(&self, region: &Region) -> u8 {
        let entry = self.failures.iter().find(|(known, _)| known == region);
        entry.map_or(0, |(_, failures)| *failures)
    }

    fn update_failures(&mut self, region: &Region, answered: bool) -> u8 {
        let index = self.failures.iter().position(|(known, _)| known == region);
        let index = index.unwrap_or_else(|| {
            self.failures.push((region.clone(), 0));
            self.failures.len() - 1
        });
        let failures = &mut self.failures[index].1;
        *failures = if answered {
            0
        } else {
            failures.saturating_add(1)
        };
        *failures
    }

    fn position(&self, region: &Region) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.region.cmp(region))
    }
}

/// Returns the digest of the sample of a summary.
pub(crate) fn sample_digest(summary: &RegionSummary) -> u64 {
    let mut digest = Digest::default();
    for node in &summary.sample {
        digest.replace_node(None, Some(node));
    }
    digest.root()
}

/// Returns whether two summaries have the same node counts and the same sample.
pub(crate) fn has_same_content(a: &RegionSummary, b: &RegionSummary) -> bool {
    a.live_nodes == b.live_nodes && a.non_live_nodes == b.non_live_nodes && a.sample == b.sample
}

/// Returns the nodes that represent `region` in its summary. Rendezvous hashing
/// makes all nodes with the same table choose the same sample.
pub(crate) fn select_sample<'a>(
    region: &Region,
    nodes: impl Iterator<Item = &'a NodeRecord>,
) -> Vec<NodeRecord> {
    let mut weighted: Vec<(u64, &NodeRecord)> = nodes
        .map(|node| (rendezvous_weight(region.as_str(), node.id.as_str()), node))
        .collect();
    weighted.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    let mut sample: Vec<NodeRecord> = weighted
        .into_iter()
        .take(SAMPLE_MAX)
        .map(|(_, node)| node.clone())
        .collect();
    sample.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    sample
}
