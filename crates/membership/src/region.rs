//! Table of the other regions: one summary each.

use model::Region;

use crate::{NodeRecord, RegionReachability, RegionSummary, digest::Digest, rendezvous_weight};

/// Most nodes in the sample of a summary.
pub(crate) const SAMPLE_MAX: usize = 16;
/// Questions to a region that fail in succession before it counts as lost.
pub(crate) const FAILURES_MAX: u8 = 3;

/// Summaries sorted by region.
#[derive(Debug, Default)]
pub(crate) struct RegionTable {
    rows: Vec<RegionSummary>,
    /// Questions of this node to each region that failed in succession.
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

    /// Takes in a newer summary; returns whether it says anything new. What a
    /// region says of itself and whether it can be reached age separately. The
    /// latter is taken from nodes of the own region only.
    pub(crate) fn merge(&mut self, mut summary: RegionSummary, from_own_region: bool) -> bool {
        if !from_own_region {
            summary.contact = RegionReachability::default();
        }
        match self.position(&summary.region) {
            Ok(index) => {
                let row = &mut self.rows[index];
                let is_contact_news = summary.contact.changed_at_ms > row.contact.changed_at_ms;
                if is_contact_news {
                    row.contact = summary.contact;
                }
                if summary.made_at_ms <= row.made_at_ms {
                    return is_contact_news;
                }
                let is_news = !says_same(&summary, row);
                summary.contact = row.contact;
                *row = summary;
                is_news || is_contact_news
            }
            Err(index) => {
                self.rows.insert(index, summary);
                true
            }
        }
    }

    /// Notes the outcome of a question to `region`; returns whether it shows
    /// that the region was lost or is back.
    pub(crate) fn note_contact(&mut self, region: &Region, answered: bool, now_ms: u64) -> bool {
        let failures = self.count_failure(region, answered);
        let Ok(index) = self.position(region) else {
            return false;
        };
        let contact = &mut self.rows[index].contact;
        let lost = match failures {
            0 => false,
            FAILURES_MAX.. => true,
            _ => contact.lost,
        };
        if contact.lost == lost {
            return false;
        }
        *contact = RegionReachability {
            lost,
            changed_at_ms: now_ms.max(contact.changed_at_ms + 1),
        };
        true
    }

    /// Questions to `region` that failed in succession.
    pub(crate) fn failures(&self, region: &Region) -> u8 {
        let known = self.failures.iter().find(|(known, _)| known == region);
        known.map_or(0, |(_, failures)| *failures)
    }

    fn count_failure(&mut self, region: &Region, answered: bool) -> u8 {
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

/// Digest of the sample of a summary.
pub(crate) fn sample_digest(summary: &RegionSummary) -> u64 {
    let mut digest = Digest::default();
    for node in &summary.sample {
        digest.replace_node(None, Some(node));
    }
    digest.root()
}

/// Whether two summaries differ in nothing but their time.
pub(crate) fn says_same(a: &RegionSummary, b: &RegionSummary) -> bool {
    a.live == b.live && a.other == b.other && a.sample == b.sample
}

/// The nodes that stand for `region` towards other regions. All nodes choose
/// the same from the same table.
pub(crate) fn sample<'a>(
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
