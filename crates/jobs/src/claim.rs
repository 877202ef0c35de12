//! Claims chunks: fresh ones from a job's cursor, lapsed ones from their
//! holder, and splits of chunks whose holders keep dying.

use model::InstanceId;

use crate::{
    ActiveChunk, ChunkName, ChunkRow, ChunkState, ConditionalWrite, HeldChunk, OpId, OpenRow,
    RowValue, Transaction, chunk_key, job_key, row::SPLIT_LAPSES,
};

/// Parts that a chunk is split into.
const SPLIT_PARTS: u32 = 16;

/// Who claims, and for how long.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claimant {
    /// The instance.
    pub instance: InstanceId,
    /// Time at which a claim made now lapses.
    pub lease_until_ms: u64,
}

/// An open job as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OpenJob {
    /// Key of the row.
    pub key: String,
    /// Version of the row.
    pub version: u64,
    /// The row.
    pub row: OpenRow,
}

impl OpenJob {
    /// Version of the job's row while the job is open.
    #[must_use]
    pub fn job_version(&self) -> u64 {
        self.row.job_version.unwrap_or(self.version)
    }

    /// The row with changes to make, and with the job's version fixed.
    fn to_change(&self, op: OpId) -> OpenRow {
        OpenRow {
            job_version: Some(self.job_version()),
            op,
            ..self.row.clone()
        }
    }
}

/// A chunk to take over, as it was read.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverCandidate<'a> {
    /// The chunk.
    pub chunk: ChunkName,
    /// Version of its row.
    pub version: u64,
    /// Its row.
    pub row: &'a ChunkRow,
    /// Items in it.
    pub items: u32,
}

/// Under which terms a chunk may be taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Isolation {
    /// Beside any other chunks.
    Shared,
    /// Beside no other suspect chunk, so that a death blames only this one
    /// among the suspects.
    NoOtherSuspect,
    /// Beside no other chunk: the next death ends its only item.
    Exclusive,
}

/// The terms of taking over a chunk of `items` items.
#[must_use]
pub fn takeover_isolation(row: &ChunkRow, items: u32) -> Isolation {
    let after = ChunkRow {
        lapses: row.lapses + u16::from(row.state != ChunkState::Free),
        ..row.clone()
    };
    if after.is_exhausted(items) || !after.is_suspect() {
        return Isolation::Shared;
    }
    let next = ChunkRow {
        lapses: after.lapses + 1,
        ..after
    };
    if next.is_exhausted(items) {
        return Isolation::Exclusive;
    }
    Isolation::NoOtherSuspect
}

/// A claim ready to be written, and what is held once it has taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimPlan {
    /// The conditional write.
    pub table_write: ConditionalWrite,
    /// Chunks held afterwards; empty for a split.
    chunks: Vec<HeldChunk>,
    /// The open row afterwards.
    open: OpenJob,
    /// Whether the write changes the open row.
    changes_open: bool,
}

impl ClaimPlan {
    /// Chunks held and the open row, now that the write has taken effect with
    /// `version`.
    #[must_use]
    pub fn into_applied(mut self, version: u64) -> (Vec<HeldChunk>, OpenJob) {
        for chunk in &mut self.chunks {
            chunk.version = version;
        }
        if self.changes_open {
            self.open.version = version;
        }
        (self.chunks, self.open)
    }
}

/// Claims up to `count` chunks that nobody has claimed yet, and drops `done`
/// chunks from the open row. `None` if no such chunk is left.
#[must_use]
pub fn plan_fresh_claim(
    job: &OpenJob,
    claimant: &Claimant,
    op: OpId,
    count: u32,
    done: &[ChunkName],
) -> Option<ClaimPlan> {
    let first = job.row.cursor;
    let end = job.row.chunks.min(first.saturating_add(count));
    if first >= end {
        return None;
    }
    let mut open = job.to_change(op);
    open.cursor = end;
    open.active.retain(|entry| !done.contains(&entry.chunk));
    let mut transaction = Transaction::new().require_version(&job.key, job.version);
    let mut chunks = Vec::new();
    for index in first..end {
        let chunk = ChunkName::new(index);
        let key = chunk_key(&open.job, chunk);
        let row = fresh_row(claimant, op);
        open.active.push(active(chunk, claimant));
        transaction = transaction
            .require_absent(&key)
            .with_put(&key, RowValue::Chunk(Box::new(row.clone())));
        chunks.push(HeldChunk::new(job, chunk, row));
    }
    let marker = chunk_key(&open.job, ChunkName::new(first));
    let transaction = transaction.with_put(&job.key, RowValue::Open(Box::new(open.clone())));
    Some(ClaimPlan {
        table_write: ConditionalWrite::new(transaction, &marker, op),
        chunks,
        open: with_row(job, open),
        changes_open: true,
    })
}

/// Takes over a chunk that is free or whose lease has lapsed at `now_ms`. A
/// chunk whose holders keep dying is
/// split instead. `None` if the chunk is not to be had.
#[must_use]
pub fn plan_takeover(
    job: &OpenJob,
    found: &TakeoverCandidate<'_>,
    claimant: &Claimant,
    op: OpId,
    now_ms: u64,
) -> Option<ClaimPlan> {
    let TakeoverCandidate {
        chunk,
        version,
        row,
        items,
    } = *found;
    let has_lapsed = match &row.state {
        ChunkState::Free => false,
        ChunkState::Held { lease_until_ms, .. } if *lease_until_ms <= now_ms => true,
        ChunkState::Held { .. } | ChunkState::Split | ChunkState::Done { .. } => return None,
    };
    let mut row = row.clone();
    row.op = op;
    row.fence += 1;
    row.lapses += u16::from(has_lapsed);
    if has_lapsed && row.is_suspect() && items > 1 {
        return Some(plan_split(job, chunk, version, row, items));
    }
    row.state = ChunkState::Held {
        holder: claimant.instance.clone(),
        lease_until_ms: claimant.lease_until_ms,
    };
    let key = chunk_key(&job.row.job, chunk);
    let transaction = Transaction::new()
        .require_version(&job_key(&job.row.job), job.job_version())
        .require_version(&key, version)
        .with_put(&key, RowValue::Chunk(Box::new(row.clone())));
    let mut open = job.clone();
    for entry in &mut open.row.active {
        if entry.chunk == chunk {
            *entry = active(chunk, claimant);
        }
    }
    Some(ClaimPlan {
        table_write: ConditionalWrite::new(transaction, &key, op),
        chunks: vec![HeldChunk::new(job, chunk, row)],
        open,
        changes_open: false,
    })
}

/// Notes in the open row that a chunk was handed back, so that others need not
/// wait for the end of the lease that it shows. `None` if there is nothing to
/// note.
#[must_use]
pub fn plan_release_hint(job: &OpenJob, chunk: ChunkName, op: OpId) -> Option<ConditionalWrite> {
    let mut open = job.to_change(op);
    let entry = open.active.iter_mut().find(|entry| entry.chunk == chunk)?;
    entry.holder = None;
    entry.lease_until_ms = 0;
    let transaction = Transaction::new()
        .require_version(&job.key, job.version)
        .with_put(&job.key, RowValue::Open(Box::new(open)));
    Some(ConditionalWrite::new(transaction, &job.key, op))
}

fn plan_split(
    job: &OpenJob,
    chunk: ChunkName,
    version: u64,
    parent: ChunkRow,
    items: u32,
) -> ClaimPlan {
    let op = parent.op;
    let parent_key = chunk_key(&job.row.job, chunk);
    let mut open = job.to_change(op);
    open.active.retain(|entry| entry.chunk != chunk);
    let mut transaction = Transaction::new()
        .require_version(&job.key, job.version)
        .require_version(&parent_key, version);
    for part in parts(chunk, items) {
        let key = chunk_key(&open.job, part);
        let row = part_row(&parent, part);
        transaction = transaction
            .require_absent(&key)
            .with_put(&key, RowValue::Chunk(Box::new(row)));
        open.active.push(ActiveChunk {
            chunk: part,
            holder: None,
            lease_until_ms: 0,
        });
    }
    let split = ChunkRow {
        state: ChunkState::Split,
        ..parent
    };
    let transaction = transaction
        .with_put(&parent_key, RowValue::Chunk(Box::new(split)))
        .with_put(&job.key, RowValue::Open(Box::new(open.clone())));
    ClaimPlan {
        table_write: ConditionalWrite::new(transaction, &parent_key, op),
        chunks: Vec::new(),
        open: with_row(job, open),
        changes_open: true,
    }
}

/// Splits the items of a chunk into parts of about the same number of items.
fn parts(chunk: ChunkName, items: u32) -> Vec<ChunkName> {
    let start = chunk.part.map_or(0, |(start, _)| start);
    let part_items = items.div_ceil(SPLIT_PARTS).max(1);
    let mut parts = Vec::new();
    let mut from = 0;
    while from < items {
        let to = items.min(from + part_items);
        parts.push(chunk.with_part(start + from, start + to));
        from = to;
    }
    parts
}

/// A part starts as suspect as its parent, so that its next lapse splits it
/// again, and remembers what its parent knew of its items.
fn part_row(parent: &ChunkRow, part: ChunkName) -> ChunkRow {
    let (start, end) = part.part.unwrap_or((0, u32::MAX));
    let attempts = parent.attempts.iter().copied();
    let intents = parent.intents.iter().copied();
    ChunkRow {
        fence: parent.fence,
        op: parent.op,
        lapses: SPLIT_LAPSES,
        attempts: attempts
            .filter(|entry| (start..end).contains(&entry.item))
            .collect(),
        intents: intents.filter(|item| (start..end).contains(item)).collect(),
        partial: parent.partial.clone(),
        state: ChunkState::Free,
    }
}

fn fresh_row(claimant: &Claimant, op: OpId) -> ChunkRow {
    ChunkRow {
        fence: 1,
        op,
        lapses: 0,
        attempts: Vec::new(),
        intents: Vec::new(),
        partial: None,
        state: ChunkState::Held {
            holder: claimant.instance.clone(),
            lease_until_ms: claimant.lease_until_ms,
        },
    }
}

fn active(chunk: ChunkName, claimant: &Claimant) -> ActiveChunk {
    ActiveChunk {
        chunk,
        holder: Some(claimant.instance.clone()),
        lease_until_ms: claimant.lease_until_ms,
    }
}

fn with_row(job: &OpenJob, row: OpenRow) -> OpenJob {
    OpenJob { row, ..job.clone() }
}
