//! Table of the other regions: one summary each.

use model::Region;

use crate::{NodeRumor, RegionSummary, rendezvous_weight};

/// Most nodes in the sample of a summary.
pub(crate) const SAMPLE_MAX: usize = 16;

/// Summaries sorted by region.
#[derive(Debug, Default)]
pub(crate) struct RegionTable {
    rows: Vec<RegionSummary>,
}

impl RegionTable {
    pub(crate) fn rows(&self) -> &[RegionSummary] {
        &self.rows
    }

    pub(crate) fn find(&self, region: &Region) -> Option<&RegionSummary> {
        let index = self.position(region).ok()?;
        Some(&self.rows[index])
    }

    /// Takes in a newer summary; returns whether it says anything new.
    pub(crate) fn merge(&mut self, summary: RegionSummary) -> bool {
        match self.position(&summary.region) {
            Ok(index) => {
                let row = &mut self.rows[index];
                if summary.made_at_ms <= row.made_at_ms {
                    return false;
                }
                let is_news = !says_same(&summary, row);
                *row = summary;
                is_news
            }
            Err(index) => {
                self.rows.insert(index, summary);
                true
            }
        }
    }

    fn position(&self, region: &Region) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.region.cmp(region))
    }
}

/// Whether two summaries differ in nothing but their time.
pub(crate) fn says_same(a: &RegionSummary, b: &RegionSummary) -> bool {
    a.live == b.live && a.other == b.other && a.sample == b.sample
}

/// The nodes that stand for `region` towards other regions. All nodes choose
/// the same from the same table.
pub(crate) fn sample<'a>(
    region: &Region,
    nodes: impl Iterator<Item = &'a NodeRumor>,
) -> Vec<NodeRumor> {
    let mut weighted: Vec<(u64, &NodeRumor)> = nodes
        .map(|node| (rendezvous_weight(region.as_str(), node.id.as_str()), node))
        .collect();
    weighted.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    let mut sample: Vec<NodeRumor> = weighted
        .into_iter()
        .take(SAMPLE_MAX)
        .map(|(_, node)| node.clone())
        .collect();
    sample.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    sample
}
