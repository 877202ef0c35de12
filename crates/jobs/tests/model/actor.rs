//! Entries that accept the job and processes that hold its chunks.

use std::{ops::Range, sync::Arc};

use jobs::{
    Acceptance, ChunkName, ChunkProgress, ChunkResult, ChunkState, ClaimPlan, Claimant,
    ConditionalWrite, HeldChunk, JobRow, JobState, LeaseWrite, NewJob, OpId, OpenJob, Outcome,
    Reply, RowValue, TableRequest, TakeoverCandidate, Transaction, chunk_key, job_id_for, job_key,
    plan_cancel, plan_complete, plan_fresh_claim, plan_takeover, tally_chunks,
};
use model::{CustomerId, InstanceId, Region};

use super::{LEASE_MS, Planted, Violation, World, table::Table, violated};

/// Items of each chunk of the model's job.
pub const CHUNK_ITEMS: u32 = 2;

/// An entry that received the job.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Requests with the same key may carry different contents.
    pub content: u8,
    pub state: EntryState,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum EntryState {
    Received(u64),
    Accepting(Box<Acceptance>),
    /// The caller was told that the job is accepted.
    Acknowledged,
    /// The caller was told of a conflict.
    Refused,
    /// The entry died; the caller knows nothing.
    Crashed,
}

/// A batch program, or the entry that cancels.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    pub instance: InstanceId,
    pub op: OpId,
    pub state: HolderState,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HolderState {
    Idle,
    /// Read the open row.
    Looking(OpenJob),
    /// Sent a claim; the chunk is held if it takes effect.
    Claiming(ClaimPlan),
    Holding(HeldChunk),
    Writing(HeldChunk, LeaseWrite),
    /// Sends the end of the job.
    Ending(ConditionalWrite),
}

/// An owned copy of what an actor asks.
#[derive(Debug, Clone)]
pub enum Call {
    Transact(Transaction),
    Read(String),
}

impl Call {
    pub fn as_ask(&self) -> TableRequest<'_> {
        match self {
            Self::Transact(transaction) => TableRequest::Transact(transaction),
            Self::Read(key) => TableRequest::Read(key),
        }
    }

    fn new(ask: TableRequest<'_>) -> Self {
        match ask {
            TableRequest::Transact(transaction) => Self::Transact(transaction.clone()),
            TableRequest::Read(key) => Self::Read(key.to_owned()),
        }
    }
}

impl Entry {
    /// What it asks the table, if it is in the middle of an acceptance.
    pub fn next_request(&self) -> Option<Call> {
        match &self.state {
            EntryState::Accepting(acceptance) => Some(Call::new(acceptance.next_request())),
            _ => None,
        }
    }

    pub fn new(content: u8, process: u64) -> Self {
        Self {
            content,
            state: EntryState::Received(process),
        }
    }

    pub fn is_acknowledged(&self) -> bool {
        self.state == EntryState::Acknowledged
    }

    pub fn is_over(&self) -> bool {
        matches!(
            self.state,
            EntryState::Acknowledged | EntryState::Refused | EntryState::Crashed
        )
    }

    /// Makes the decision that needs no call.
    pub fn begin(&mut self, items: u32, planted: Planted) {
        if let EntryState::Received(process) = self.state {
            let job = new_job(self.content, items);
            let acceptance = Acceptance::new(&job, OpId::new(process));
            self.state = EntryState::Accepting(Box::new(acceptance));
            if planted == Planted::AcknowledgementBeforeRow {
                self.state = EntryState::Acknowledged;
            }
        }
    }

    pub fn on_reply(&mut self, reply: &Reply) {
        let EntryState::Accepting(acceptance) = &mut self.state else {
            return;
        };
        match acceptance.on_reply(reply) {
            Some(Ok(_)) => self.state = EntryState::Acknowledged,
            Some(Err(_)) => self.state = EntryState::Refused,
            None => {}
        }
    }
}

impl Holder {
    pub fn new(name: &str, process: u64) -> Self {
        Self {
            instance: InstanceId::new(name),
            op: OpId::new(process),
            state: HolderState::Idle,
        }
    }

    /// What it asks the table, if it is in the middle of a write.
    pub fn next_request(&self) -> Option<Call> {
        let ask = match &self.state {
            HolderState::Claiming(plan) => plan.table_write.next_request(),
            HolderState::Ending(settle) => settle.next_request(),
            HolderState::Writing(_, write) => write.table_write.next_request(),
            HolderState::Idle | HolderState::Looking(_) | HolderState::Holding(_) => return None,
        };
        Some(Call::new(ask))
    }

    /// Takes the answer to what it asked.
    pub fn on_reply(&mut self, reply: &Reply) {
        let state = std::mem::replace(&mut self.state, HolderState::Idle);
        self.state = match state {
            HolderState::Claiming(mut plan) => match plan.table_write.on_reply(reply) {
                None => HolderState::Claiming(plan),
                Some(Outcome::Applied { version }) => {
                    let (held, _) = plan.into_applied(version);
                    let held = held.into_iter().next();
                    held.map_or(HolderState::Idle, HolderState::Holding)
                }
                Some(Outcome::Refused) => HolderState::Idle,
            },
            HolderState::Writing(mut held, mut write) => match write.table_write.on_reply(reply) {
                None => HolderState::Writing(held, write),
                Some(Outcome::Applied { version }) => {
                    held.apply(&write, version);
                    match held.row.state {
                        ChunkState::Held { .. } => HolderState::Holding(held),
                        _ => HolderState::Idle,
                    }
                }
                Some(Outcome::Refused) => HolderState::Idle,
            },
            HolderState::Ending(mut settle) => match settle.on_reply(reply) {
                None => HolderState::Ending(settle),
                Some(_) => HolderState::Idle,
            },
            other => other,
        };
    }

    /// Reads the open row.
    pub fn look(&mut self, world: &World) -> bool {
        match world.table.open() {
            Some(open) if self.state == HolderState::Idle => {
                self.state = HolderState::Looking(open);
                true
            }
            _ => false,
        }
    }

    /// Decides on what it read, reading a chunk's row if it needs to.
    pub fn decide(&mut self, world: &World) -> bool {
        let HolderState::Looking(open) = &self.state else {
            return false;
        };
        let open = open.clone();
        self.state = HolderState::Idle;
        let op = self.op.next();
        let claimant = Claimant {
            instance: self.instance.clone(),
            lease_until_ms: world.now_ms + LEASE_MS,
        };
        if let Some(plan) = plan_fresh_claim(&open, &claimant, op, 1, &[]) {
            self.op = op;
            self.state = HolderState::Claiming(plan);
            return true;
        }
        for entry in &open.row.active {
            let key = chunk_key(&open.row.job, entry.chunk);
            let Some((version, RowValue::Chunk(row))) = world.table.row(&key) else {
                continue;
            };
            let items = items_of(entry.chunk, world.items);
            let found = TakeoverCandidate {
                chunk: entry.chunk,
                version: *version,
                row,
                items: items.end - items.start,
            };
            if let Some(plan) = plan_takeover(&open, &found, &claimant, op, world.now_ms) {
                self.op = op;
                self.state = HolderState::Claiming(plan);
                return true;
            }
        }
        self.finish(world);
        true
    }

    /// Commits, with every item done.
    pub fn commit(&mut self, world: &World) -> bool {
        let HolderState::Holding(held) = &self.state else {
            return false;
        };
        self.op = self.op.next();
        let items = items_of(held.chunk, world.items);
        let result = ChunkResult {
            completed: items.end - items.start,
            ..ChunkResult::default()
        };
        let mut write = held.plan_commit(self.op, result);
        if world.planted == Planted::CommitWithoutFence {
            write.table_write = without_fence(held, &write, self.op);
        }
        self.state = HolderState::Writing(held.clone(), write);
        true
    }

    pub fn renew(&mut self, world: &World) -> bool {
        let HolderState::Holding(held) = &self.state else {
            return false;
        };
        self.op = self.op.next();
        let until_ms = world.now_ms + LEASE_MS;
        let write = held.plan_renew(self.op, &self.instance, until_ms, ChunkProgress::default());
        self.state = HolderState::Writing(held.clone(), write);
        true
    }

    pub fn hand_back(&mut self) -> bool {
        let HolderState::Holding(held) = &self.state else {
            return false;
        };
        self.op = self.op.next();
        let write = held.plan_release(self.op, ChunkProgress::default());
        self.state = HolderState::Writing(held.clone(), write);
        true
    }

    /// Begins to cancel the job, if it is open.
    pub fn cancel(&mut self, world: &World) -> bool {
        let Some((version, row)) = job_row(world) else {
            return false;
        };
        if row.state != JobState::Open || self.state != HolderState::Idle {
            return false;
        }
        self.op = self.op.next();
        self.state = HolderState::Ending(plan_cancel(row, version, self.op, world.now_ms));
        true
    }

    fn finish(&mut self, world: &World) {
        let sum = tally_chunks(world.table.chunks());
        let Some((version, row)) = job_row(world) else {
            return;
        };
        if sum.is_complete(world.items) && row.state == JobState::Open {
            self.op = self.op.next();
            let (completed, failed) = (sum.completed, sum.failed);
            let settle = plan_complete(row, version, completed, failed, self.op, world.now_ms);
            self.state = HolderState::Ending(settle);
        }
    }
}

/// Items of a chunk of the model's job.
pub fn items_of(chunk: ChunkName, items: u32) -> Range<u32> {
    let first = chunk.index * CHUNK_ITEMS;
    let (start, end) = chunk.part.unwrap_or((0, CHUNK_ITEMS));
    first + start..(first + end).min(items)
}

pub fn new_job(content: u8, items: u32) -> NewJob {
    let customer = CustomerId::new("club");
    NewJob {
        job: job_id_for(&customer, "key"),
        customer,
        class: None,
        endpoint: "/v1/chat/completions".to_owned(),
        input_file: Arc::from("file"),
        digest: content.to_string(),
        completion_window: "24h".to_owned(),
        metadata: Vec::new(),
        region: Region::new("r"),
        models: Vec::new(),
        items,
        chunks: items.div_ceil(CHUNK_ITEMS),
        created_at_ms: 0,
        deadline_ms: 1_000,
    }
}

/// Lets the table answer a call.
pub fn answer(table: &mut Table, ask: TableRequest<'_>) -> Result<Reply, Violation> {
    match ask {
        TableRequest::Transact(transaction) => Ok(match table.transact(transaction)? {
            Some(version) => Reply::Committed { version },
            None => Reply::Conflict,
        }),
        TableRequest::Read(key) => Ok(Reply::Row(table.row(key).cloned())),
    }
}

fn job_row(world: &World) -> Option<(u64, &JobRow)> {
    let key = job_key(&new_job(0, world.items).job);
    match world.table.row(&key) {
        Some((version, RowValue::Job(row))) => Some((*version, row)),
        _ => None,
    }
}

/// The write without its condition on the chunk's row.
fn without_fence(held: &HeldChunk, write: &LeaseWrite, op: OpId) -> ConditionalWrite {
    let TableRequest::Transact(transaction) = write.table_write.next_request() else {
        return write.table_write.clone();
    };
    let mut transaction = transaction.clone();
    transaction
        .conditions
        .retain(|check| check.key != held.key());
    ConditionalWrite::new(transaction, &held.key(), op)
}

/// Whether a holder that believes to hold a chunk may be wrong about it only
/// by having been overtaken.
pub fn check_belief(world: &World, holder: &Holder) -> Result<(), Violation> {
    let HolderState::Holding(held) = &holder.state else {
        return Ok(());
    };
    match world.table.row(&held.key()) {
        Some((version, RowValue::Chunk(row))) => {
            if *version == held.version && **row != held.row {
                return violated("a holder misremembers the row that it wrote");
            }
            if *version < held.version {
                return violated("a holder remembers a write that never took effect");
            }
            Ok(())
        }
        _ => violated("a held chunk has no row"),
    }
}
