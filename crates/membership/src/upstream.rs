//! Table of upstreams: the lagging list joined with direct evidence.

use std::cmp::Ordering;

use model::{Liveness, ModelName, UpstreamEntry, UpstreamId, UpstreamKind};

use crate::{UpstreamEvidence, UpstreamRecord, digest::Digest};

/// Time that a suspicion keeps an upstream out of use without new evidence.
const SUSPICION_MS: u64 = 5_000;
/// Time for which the list may still show a leaving upstream as live.
const LIST_LAG_MAX_MS: u64 = 120_000;
/// Time for which an absent upstream may just be too new for a lagging list.
const ABSENCE_MS: u64 = 30_000;
/// Time after which an upstream that said it was leaving can say that it stays.
const DIRECT_RETURN_MS: u64 = 10_000;

/// An upstream as this node knows it.
#[derive(Debug, Clone)]
struct UpstreamRow {
    rumor: UpstreamRecord,
    /// Time at which the present state became known here.
    changed_at_ms: u64,
}

/// Rows sorted by id.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    rows: Vec<UpstreamRow>,
}

impl UpstreamTable {
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn rumors(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.rows.iter().map(|row| &row.rumor)
    }

    pub(crate) fn find(&self, id: &UpstreamId) -> Option<&UpstreamRecord> {
        let index = self.position(id).ok()?;
        Some(&self.rows[index].rumor)
    }

    /// Takes in news; returns whether it replaced what was known. News of a
    /// dead upstream that is not known is no news.
    pub(crate) fn merge(
        &mut self,
        rumor: UpstreamRecord,
        now_ms: u64,
        digest: &mut Digest,
    ) -> bool {
        let position = self.position(&rumor.entry.id);
        let row = UpstreamRow {
            rumor,
            changed_at_ms: now_ms,
        };
        match position {
            Ok(index) => {
                let known = &mut self.rows[index];
                if compare(&row.rumor, &known.rumor) != Ordering::Greater {
                    return false;
                }
                digest.replace_upstream(Some(&known.rumor), Some(&row.rumor));
                *known = row;
            }
            Err(_) if row.rumor.entry.liveness == Liveness::Dead => return false,
            Err(index) => {
                digest.replace_upstream(None, Some(&row.rumor));
                self.rows.insert(index, row);
            }
        }
        true
    }

    /// Forgets upstreams that died before `before_ms`.
    pub(crate) fn forget_dead(&mut self, before_ms: u64) {
        self.rows.retain(|row| {
            row.rumor.entry.liveness != Liveness::Dead || row.changed_at_ms >= before_ms
        });
    }

    /// What a listing at `now_ms` changes: one rumor for each upstream that
    /// must be replaced. `listed` is sorted by id.
    pub(crate) fn compare_listing(
        &self,
        listed: &[UpstreamEntry],
        now_ms: u64,
    ) -> Vec<UpstreamRecord> {
        let mut news: Vec<UpstreamRecord> = listed
            .iter()
            .filter_map(|entry| match self.position(&entry.id) {
                Ok(index) => after_listing(&self.rows[index], entry, now_ms),
                Err(_) => Some(first_life(entry)),
            })
            .collect();
        for row in &self.rows {
            let is_listed = listed
                .binary_search_by(|entry| entry.id.cmp(&row.rumor.entry.id))
                .is_ok();
            if !is_listed && is_gone(row, now_ms) {
                news.push(with_liveness(&row.rumor, Liveness::Dead, now_ms));
            }
        }
        news
    }

    /// What direct evidence changes.
    pub(crate) fn compare_evidence(&self, evidence: &UpstreamEvidence) -> Option<UpstreamRecord> {
        let row = self.find(&evidence.id)?;
        let seen_at_ms = evidence.seen_at_ms;
        if seen_at_ms < row.born_at_ms {
            return None;
        }
        match (row.entry.liveness, evidence.liveness) {
            (Liveness::Live | Liveness::Suspect, Liveness::Leaving) => {
                Some(with_liveness(row, Liveness::Leaving, seen_at_ms))
            }
            (Liveness::Live | Liveness::Suspect, Liveness::Suspect | Liveness::Dead) => {
                let suspect = with_liveness(row, Liveness::Suspect, seen_at_ms);
                // Repeated failures only prolong a suspicion that is about to end.
                let is_news = row.entry.liveness == Liveness::Live
                    || seen_at_ms >= row.seen_at_ms + SUSPICION_MS / 2;
                is_news.then_some(suspect)
            }
            (Liveness::Suspect, Liveness::Live) => {
                Some(with_liveness(row, Liveness::Live, seen_at_ms))
            }
            (Liveness::Leaving, Liveness::Live)
                if seen_at_ms >= row.seen_at_ms + DIRECT_RETURN_MS =>
            {
                Some(next_life(row, &row.entry, seen_at_ms))
            }
            _ => None,
        }
    }

    /// The state after an engine itself named its models.
    pub(crate) fn compare_models(
        &self,
        id: &UpstreamId,
        models: Vec<ModelName>,
        seen_at_ms: u64,
    ) -> Option<UpstreamRecord> {
        let row = self.find(id)?;
        let kind = UpstreamKind::Engine { models };
        if row.entry.kind == kind || seen_at_ms < row.seen_at_ms {
            return None;
        }
        let mut rumor = row.clone();
        rumor.entry.kind = kind;
        rumor.seen_at_ms = seen_at_ms;
        Some(rumor)
    }

    fn position(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.rumor.entry.id.cmp(id))
    }
}

/// Liveness that programs should act on: a suspicion ends by itself, so that
/// an upstream nobody dares to use is tried again.
pub(crate) fn effective_liveness(row: &UpstreamRecord, now_ms: u64) -> Liveness {
    let is_over = row.seen_at_ms + SUSPICION_MS <= now_ms;
    if row.entry.liveness == Liveness::Suspect && is_over {
        return Liveness::Live;
    }
    row.entry.liveness
}

/// A total order, so that nodes end with the same row whatever the order of
/// news: the newer life, then leaving and death as final, then newer contacts.
pub(crate) fn compare(a: &UpstreamRecord, b: &UpstreamRecord) -> Ordering {
    let key = |rumor: &UpstreamRecord| {
        let liveness = rumor.entry.liveness;
        let finality = if liveness == Liveness::Suspect {
            Liveness::Live
        } else {
            liveness
        };
        (rumor.incarnation, finality, rumor.seen_at_ms, liveness)
    };
    key(a)
        .cmp(&key(b))
        .then_with(|| a.entry.address.cmp(&b.entry.address))
        .then_with(|| models(a).cmp(models(b)))
        .then_with(|| a.born_at_ms.cmp(&b.born_at_ms))
}

fn models(rumor: &UpstreamRecord) -> &[ModelName] {
    match &rumor.entry.kind {
        UpstreamKind::Engine { models } => models,
        UpstreamKind::Service { .. } => &[],
    }
}

fn after_listing(row: &UpstreamRow, listed: &UpstreamEntry, now_ms: u64) -> Option<UpstreamRecord> {
    let rumor = &row.rumor;
    let is_moved = rumor.entry.address != listed.address;
    match (rumor.entry.liveness, listed.liveness) {
        (Liveness::Live | Liveness::Suspect, Liveness::Leaving) => {
            Some(with_liveness(rumor, Liveness::Leaving, now_ms))
        }
        (Liveness::Dead, Liveness::Live) => Some(next_life(rumor, listed, now_ms)),
        (_, Liveness::Live) if is_moved => Some(next_life(rumor, listed, now_ms)),
        (Liveness::Leaving, Liveness::Live) if rumor.seen_at_ms + LIST_LAG_MAX_MS <= now_ms => {
            Some(next_life(rumor, listed, now_ms))
        }
        // The list lags behind what an engine said of its models itself.
        (Liveness::Live, Liveness::Live)
            if rumor.entry.kind != listed.kind && row.changed_at_ms + ABSENCE_MS <= now_ms =>
        {
            let mut rumor = rumor.clone();
            rumor.entry.kind = listed.kind.clone();
            rumor.seen_at_ms = now_ms;
            Some(rumor)
        }
        _ => None,
    }
}

fn is_gone(row: &UpstreamRow, now_ms: u64) -> bool {
    match row.rumor.entry.liveness {
        Liveness::Dead => false,
        Liveness::Leaving => true,
        Liveness::Live | Liveness::Suspect => row.changed_at_ms + ABSENCE_MS <= now_ms,
    }
}

/// Carries no time, so that all nodes that read the list name the same state
/// and no evidence is older than it.
fn first_life(entry: &UpstreamEntry) -> UpstreamRecord {
    UpstreamRecord {
        entry: entry.clone(),
        incarnation: 1,
        seen_at_ms: 0,
        born_at_ms: 0,
    }
}

/// The counter grows by one and not to a time: two nodes that see the same
/// return then name the same life, and evidence against it holds for both.
fn next_life(row: &UpstreamRecord, entry: &UpstreamEntry, now_ms: u64) -> UpstreamRecord {
    let mut entry = entry.clone();
    entry.liveness = Liveness::Live;
    UpstreamRecord {
        entry,
        incarnation: row.incarnation + 1,
        seen_at_ms: now_ms,
        born_at_ms: now_ms,
    }
}

fn with_liveness(row: &UpstreamRecord, liveness: Liveness, seen_at_ms: u64) -> UpstreamRecord {
    let mut rumor = row.clone();
    rumor.entry.liveness = liveness;
    rumor.seen_at_ms = seen_at_ms;
    rumor
}
