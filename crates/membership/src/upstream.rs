//! Table of upstreams, which combines the platform's lagging list with direct
//! evidence.

use std::cmp::Ordering;

use model::{Liveness, ModelName, UpstreamEntry, UpstreamId, UpstreamKind};

use crate::{UpstreamEvidence, UpstreamRecord, digest::Digest};

/// Time after which a suspicion expires unless new evidence renews it.
const SUSPICION_TIMEOUT_MS: u64 = 5_000;
/// Time for which the lagging list may still show a leaving upstream as live.
const LISTING_LAG_MAX_MS: u64 = 120_000;
/// Time for which the list may lag behind a changed record: an upstream may be
/// missing from the list because it is new, and the list may still show the
/// models that an engine served before.
const ABSENCE_GRACE_MS: u64 = 30_000;
/// Time for which evidence that an upstream accepts work is ignored after the
/// upstream said that it was leaving.
const LEAVING_HOLD_MS: u64 = 10_000;

/// This node's knowledge of an upstream.
#[derive(Debug, Clone)]
struct UpstreamRow {
    record: UpstreamRecord,
    /// Time at which this node learned the current record.
    changed_at_ms: u64,
}

/// Upstream rows, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    rows: Vec<UpstreamRow>,
}

impl UpstreamTable {
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.rows.iter().map(|row| &row.record)
    }

    pub(crate) fn find(&self, id: &UpstreamId) -> Option<&UpstreamRecord> {
        let index = self.position(id).ok()?;
        Some(&self.rows[index].record)
    }

    /// Merges a record and returns whether it was added or replaced an older
    /// one. A dead upstream that is not in the table is ignored.
    pub(crate) fn merge(
        &mut self,
        record: UpstreamRecord,
        now_ms: u64,
        digest: &mut Digest,
    ) -> bool {
        let position = self.position(&record.entry.id);
        let row = UpstreamRow {
            record,
            changed_at_ms: now_ms,
        };
        match position {
            Ok(index) => {
                let known = &mut self.rows[index];
                if compare_precedence(&row.record, &known.record) != Ordering::Greater {
                    return false;
                }
                digest.replace_upstream(Some(&known.record), Some(&row.record));
                *known = row;
            }
            Err(_) if row.record.entry.liveness == Liveness::Dead => return false,
            Err(index) => {
                digest.replace_upstream(None, Some(&row.record));
                self.rows.insert(index, row);
            }
        }
        true
    }

    /// Removes upstreams that were declared dead before `before_ms`.
    pub(crate) fn purge_tombstones(&mut self, before_ms: u64) {
        self.rows.retain(|row| {
            row.record.entry.liveness != Liveness::Dead || row.changed_at_ms >= before_ms
        });
    }

    /// Returns the records that a listing read at `now_ms` adds or changes.
    /// `listed` must be sorted by id.
    pub(crate) fn updates_from_listing(
        &self,
        listed: &[UpstreamEntry],
        now_ms: u64,
    ) -> Vec<UpstreamRecord> {
        let mut updates: Vec<UpstreamRecord> = listed
            .iter()
            .filter_map(|entry| match self.position(&entry.id) {
                Ok(index) => update_from_listed_entry(&self.rows[index], entry, now_ms),
                Err(_) => Some(first_incarnation(entry)),
            })
            .collect();
        for row in &self.rows {
            let is_listed = listed
                .binary_search_by(|entry| entry.id.cmp(&row.record.entry.id))
                .is_ok();
            if !is_listed && is_removed(row, now_ms) {
                updates.push(with_liveness(&row.record, Liveness::Dead, now_ms));
            }
        }
        updates
    }

    /// Returns the updated record of the upstream that `evidence` is about, or
    /// `None` if the evidence changes nothing.
    pub(crate) fn update_from_evidence(
        &self,
        evidence: &UpstreamEvidence,
    ) -> Option<UpstreamRecord> {
        let known = self.find(&evidence.id)?;
        let seen_at_ms = evidence.seen_at_ms;
        if seen_at_ms < known.first_seen_at_ms {
            return None;
        }
        match (known.entry.liveness, evidence.liveness) {
            (Liveness::Live | Liveness::Suspect, Liveness::Leaving) => {
                Some(with_liveness(known, Liveness::Leaving, seen_at_ms))
            }
            (Liveness::Live | Liveness::Suspect, Liveness::Suspect | Liveness::Dead) => {
                let suspect = with_liveness(known, Liveness::Suspect, seen_at_ms);
                // Repeated failures renew a suspicion only after half its
                // time-out, so that not every failure changes the record.
                let is_significant = known.entry.liveness == Liveness::Live
                    || seen_at_ms >= known.seen_at_ms + SUSPICION_TIMEOUT_MS / 2;
                is_significant.then_some(suspect)
            }
            (Liveness::Suspect, Liveness::Live) => {
                Some(with_liveness(known, Liveness::Live, seen_at_ms))
            }
            (Liveness::Leaving, Liveness::Live)
                if seen_at_ms >= known.seen_at_ms + LEAVING_HOLD_MS =>
            {
                Some(next_incarnation(known, &known.entry, seen_at_ms))
            }
            _ => None,
        }
    }

    /// Returns the record after an engine reported its models, or `None` if the
    /// report changes nothing.
    pub(crate) fn update_from_models(
        &self,
        id: &UpstreamId,
        models: Vec<ModelName>,
        seen_at_ms: u64,
    ) -> Option<UpstreamRecord> {
        let known = self.find(id)?;
        let kind = UpstreamKind::Engine { models };
        if known.entry.kind == kind || seen_at_ms < known.seen_at_ms {
            return None;
        }
        let mut record = known.clone();
        record.entry.kind = kind;
        record.seen_at_ms = seen_at_ms;
        Some(record)
    }

    fn position(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.record.entry.id.cmp(id))
    }
}

/// Returns the liveness to report to programs. A suspicion expires without
/// further evidence, so that a suspect upstream to which no program sends
/// requests is tried again.
pub(crate) fn effective_liveness(record: &UpstreamRecord, now_ms: u64) -> Liveness {
    let is_expired = record.seen_at_ms + SUSPICION_TIMEOUT_MS <= now_ms;
    if record.entry.liveness == Liveness::Suspect && is_expired {
        return Liveness::Live;
    }
    record.entry.liveness
}

/// Compares two records of an upstream by precedence. This is a total order, so
/// that nodes converge on the same record in whatever order they receive
/// records: a newer incarnation takes precedence, then leaving and dead
/// as final states, then a more recent contact.
pub(crate) fn compare_precedence(a: &UpstreamRecord, b: &UpstreamRecord) -> Ordering {
    let key = |record: &UpstreamRecord| {
        let liveness = record.entry.liveness;
        let finality = if liveness == Liveness::Suspect {
            Liveness::Live
        } else {
            liveness
        };
        (record.incarnation, finality, record.seen_at_ms, liveness)
    };
    key(a)
        .cmp(&key(b))
        .then_with(|| a.entry.address.cmp(&b.entry.address))
        .then_with(|| models(a).cmp(models(b)))
        .then_with(|| a.first_seen_at_ms.cmp(&b.first_seen_at_ms))
}

fn models(record: &UpstreamRecord) -> &[ModelName] {
    match &record.entry.kind {
        UpstreamKind::Engine { models } => models,
        UpstreamKind::Service { .. } => &[],
    }
}

fn update_from_listed_entry(
    row: &UpstreamRow,
    listed: &UpstreamEntry,
    now_ms: u64,
) -> Option<UpstreamRecord> {
    let record = &row.record;
    let has_moved = record.entry.address != listed.address;
    match (record.entry.liveness, listed.liveness) {
        (Liveness::Live | Liveness::Suspect, Liveness::Leaving) => {
            Some(with_liveness(record, Liveness::Leaving, now_ms))
        }
        (Liveness::Dead, Liveness::Live) => Some(next_incarnation(record, listed, now_ms)),
        (_, Liveness::Live) if has_moved => Some(next_incarnation(record, listed, now_ms)),
        (Liveness::Leaving, Liveness::Live) if record.seen_at_ms + LISTING_LAG_MAX_MS <= now_ms => {
            Some(next_incarnation(record, listed, now_ms))
        }
        // The list lags behind the models that an engine reported directly.
        (Liveness::Live, Liveness::Live)
            if record.entry.kind != listed.kind
                && row.changed_at_ms + ABSENCE_GRACE_MS <= now_ms =>
        {
            let mut record = record.clone();
            record.entry.kind = listed.kind.clone();
            record.seen_at_ms = now_ms;
            Some(record)
        }
        _ => None,
    }
}

/// Returns whether an upstream that is missing from the list counts as dead.
fn is_removed(row: &UpstreamRow, now_ms: u64) -> bool {
    match row.record.entry.liveness {
        Liveness::Dead => false,
        Liveness::Leaving => true,
        Liveness::Live | Liveness::Suspect => row.changed_at_ms + ABSENCE_GRACE_MS <= now_ms,
    }
}

/// Returns the first record of a listed upstream. Its times are zero, so that
/// all nodes that read the list create the same record and no evidence is older
/// than that record.
fn first_incarnation(entry: &UpstreamEntry) -> UpstreamRecord {
    UpstreamRecord {
        entry: entry.clone(),
        incarnation: 1,
        seen_at_ms: 0,
        first_seen_at_ms: 0,
    }
}

/// Returns a live record with the next incarnation. The incarnation is a
/// counter and not a time, so that two nodes that observe the return of the same
/// upstream choose the same incarnation, and later evidence applies to both of
/// their records.
fn next_incarnation(known: &UpstreamRecord, entry: &UpstreamEntry, now_ms: u64) -> UpstreamRecord {
    let mut entry = entry.clone();
    entry.liveness = Liveness::Live;
    UpstreamRecord {
        entry,
        incarnation: known.incarnation + 1,
        seen_at_ms: now_ms,
        first_seen_at_ms: now_ms,
    }
}

fn with_liveness(known: &UpstreamRecord, liveness: Liveness, seen_at_ms: u64) -> UpstreamRecord {
    let mut record = known.clone();
    record.entry.liveness = liveness;
    record.seen_at_ms = seen_at_ms;
    record
}
