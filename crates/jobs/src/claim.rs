//! Plans claims of chunks: chunks that were never claimed, which follow the
//! job's cursor, and chunks whose lease was released or has lapsed. A chunk
//! whose holders keep crashing is split, to isolate the poison item.

use model::InstanceId;

use crate::{
    ActiveChunk, ChunkName, ChunkRow, ChunkState, ConditionalWrite, HeldChunk, OpId, OpenRow,
    RowValue, Transaction, chunk_key, job_key, row::SPLIT_LAPSES,
};

/// Maximum number of parts that a chunk is split into.
const SPLIT_PARTS: u32 = 16;

/// The instance that claims a chunk, and the end of its lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claimant {
    /// The claiming instance.
    pub instance: InstanceId,
    /// Time at which the lease lapses unless it is renewed, in Unix
    /// milliseconds.
    pub lease_until_ms: u64,
}

/// An open job as last read or written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OpenJob {
    /// Key of the open row.
    pub key: String,
    /// Version of the open row.
    pub version: u64,
    /// The open row.
    pub row: OpenRow,
}

impl OpenJob {
    /// Returns the version that the job's row has while the job is open.
    #[must_use]
    pub fn job_version(&self) -> u64 {
        self.row.job_version.unwrap_or(self.version)
    }

    /// Returns a copy of the open row to be changed by operation `op`. The copy
    /// contains the version of the job's row, because that version differs from
    /// the version of the open row once the changed row is written.
    fn to_updated_row(&self, op: OpId) -> OpenRow {
        OpenRow {
            job_version: Some(self.job_version()),
            op,
            ..self.row.clone()
        }
    }
}

/// A chunk to take over, as last read.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverCandidate<'a> {
    /// The chunk.
    pub chunk: ChunkName,
    /// Version of the chunk's row.
    pub version: u64,
    /// The chunk's row.
    pub row: &'a ChunkRow,
    /// Number of items in the chunk.
    pub items: u32,
}

/// Isolation that a chunk needs from other chunks of the same process.
///
/// A crash of a process counts as a lapse of every chunk that it held, so a chunk
/// suspected of containing a poison item is kept apart from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Isolation {
    /// The chunk may run beside any other chunks.
    Shared,
    /// The chunk must not run beside another suspect chunk, so that a crash counts
    /// against only one suspect chunk.
    NoOtherSuspect,
    /// The chunk must run alone: after the next crash, its only item gets an
    /// error record.
    Exclusive,
}

/// Returns the isolation required to take over a chunk of `items` items.
#[must_use]
pub fn takeover_isolation(row: &ChunkRow, items: u32) -> Isolation {
    let claimed = ChunkRow {
        lapses: row.lapses + u16::from(row.state != ChunkState::Free),
        ..row.clone()
    };
    if claimed.is_exhausted(items) || !claimed.is_suspect() {
        return Isolation::Shared;
    }
    let lapsed_again = ChunkRow {
        lapses: claimed.lapses + 1,
        ..claimed
    };
    if lapsed_again.is_exhausted(items) {
        return Isolation::Exclusive;
    }
    Isolation::NoOtherSuspect
}

/// A planned claim, and the chunks and open row that result once it has taken
/// effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimPlan {
    /// The conditional write.
    pub table_write: ConditionalWrite,
    /// Chunks held after the write; empty for a split.
    chunks: Vec<HeldChunk>,
    /// The open job after the write.
    open: OpenJob,
    /// Whether the write replaces the open row.
    updates_open_row: bool,
}

impl ClaimPlan {
    /// Returns the held chunks and the open job after the write has taken
    /// effect with `version`.
    #[must_use]
    pub fn into_applied(mut self, version: u64) -> (Vec<HeldChunk>, OpenJob) {
        for chunk in &mut self.chunks {
            chunk.version = version;
        }
        if self.updates_open_row {
            self.open.version = version;
        }
        (self.chunks, self.open)
    }
}

/// Plans to claim up to `count` chunks that were never claimed, and to remove
/// the `done` chunks from the open row. Returns `None` if every chunk was
/// claimed.
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
    let mut open = job.to_updated_row(op);
    open.cursor = end;
    open.active.retain(|entry| !done.contains(&entry.chunk));
    let mut transaction = Transaction::new().require_version(&job.key, job.version);
    let mut chunks = Vec::new();
    for index in first..end {
        let chunk = ChunkName::new(index);
        let key = chunk_key(&open.job, chunk);
        let row = first_claim_row(claimant, op);
        open.active.push(active_entry(chunk, claimant));
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
        open: with_open_row(job, open),
        updates_open_row: true,
    })
}

/// Plans to take over a chunk that is free or whose lease has lapsed at
/// `now_ms`. A chunk whose holders keep crashing is split instead. Returns
/// `None` if the chunk is leased, split or done.
#[must_use]
pub fn plan_takeover(
    job: &OpenJob,
    candidate: &TakeoverCandidate<'_>,
    claimant: &Claimant,
    op: OpId,
    now_ms: u64,
) -> Option<ClaimPlan> {
    let TakeoverCandidate {
        chunk,
        version,
        row,
        items,
    } = *candidate;
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
            *entry = active_entry(chunk, claimant);
        }
    }
    Some(ClaimPlan {
        table_write: ConditionalWrite::new(transaction, &key, op),
        chunks: vec![HeldChunk::new(job, chunk, row)],
        open,
        updates_open_row: false,
    })
}

/// Plans to record in the open row that the lease of a chunk was released, so
/// that other instances need not wait for the end of the lease recorded there.
/// Returns `None` if the open row does not list the chunk.
#[must_use]
pub fn plan_release_hint(job: &OpenJob, chunk: ChunkName, op: OpId) -> Option<ConditionalWrite> {
    let mut open = job.to_updated_row(op);
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
    let mut open = job.to_updated_row(op);
    open.active.retain(|entry| entry.chunk != chunk);
    let mut transaction = Transaction::new()
        .require_version(&job.key, job.version)
        .require_version(&parent_key, version);
    for part in split_parts(chunk, items) {
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
        open: with_open_row(job, open),
        updates_open_row: true,
    }
}

/// Divides the items of a chunk into parts of equal size; the last part may be
/// smaller.
fn split_parts(chunk: ChunkName, items: u32) -> Vec<ChunkName> {
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

/// Returns the row of a new part. A part starts as suspect as its parent, so
/// that its next lapse splits it again, and inherits the parent's attempts,
/// intents and partial result for its items.
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

fn first_claim_row(claimant: &Claimant, op: OpId) -> ChunkRow {
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

fn active_entry(chunk: ChunkName, claimant: &Claimant) -> ActiveChunk {
    ActiveChunk {
        chunk,
        holder: Some(claimant.instance.clone()),
        lease_until_ms: claimant.lease_until_ms,
    }
}

fn with_open_row(job: &OpenJob, row: OpenRow) -> OpenJob {
    OpenJob { row, ..job.clone() }
}
