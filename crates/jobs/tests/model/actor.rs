//! Actors of the model: entry programs that accept the job and batch programs
//! that hold its chunks.

use std::{ops::Range, sync::Arc};

use jobs::{
    Acceptance, ChunkName, ChunkProgress, ChunkResult, ChunkState, ClaimPlan, Claimant,
    ConditionalWrite, HeldChunk, JobRow, JobState, LeaseWrite, NewJob, OpId, OpenJob, Outcome,
    Reply, RowValue, TableRequest, TakeoverCandidate, Transaction, chunk_key, job_id_for, job_key,
    plan_cancel, plan_complete, plan_fresh_claim, plan_takeover, tally_chunks,
};
use model::{CustomerId, InstanceId, Region};

use super::{InjectedFault, LEASE_MS, Violation, World, table::Table, violation};

/// Number of items in each chunk of the model's job; the last chunk may have
/// fewer.
pub const CHUNK_ITEMS: u32 = 2;

/// An entry program that received a request to create the job.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Content of the request. Requests with the same idempotency key may have
    /// different contents.
    pub content: u8,
    pub state: EntryState,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum EntryState {
    /// The request arrived; holds the process number for operation ids.
    Received(u64),
    Accepting(Box<Acceptance>),
    /// The caller was told that the job was accepted.
    Acknowledged,
    /// The caller was told that the content conflicts with an earlier request.
    Refused,
    /// The entry program crashed before it answered the caller.
    Crashed,
}

/// A batch program that claims and holds chunks, or the entry program that
/// cancels the job.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    pub instance: InstanceId,
    /// Id of the last operation.
    pub op: OpId,
    pub state: HolderState,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HolderState {
    Idle,
    /// The holder has read the open row and decides what to write.
    Planning(OpenJob),
    /// The holder is writing a claim.
    Claiming(ClaimPlan),
    Holding(HeldChunk),
    Writing(HeldChunk, LeaseWrite),
    /// The holder is writing the end of the job.
    Ending(ConditionalWrite),
}

/// An owned copy of a [`TableRequest`].
#[derive(Debug, Clone)]
pub enum OwnedRequest {
    Transact(Transaction),
    Read(String),
}

impl OwnedRequest {
    pub fn as_request(&self) -> TableRequest<'_> {
        match self {
            Self::Transact(transaction) => TableRequest::Transact(transaction),
            Self::Read(key) => TableRequest::Read(key),
        }
    }

    fn new(request: TableRequest<'_>) -> Self {
        match request {
            TableRequest::Transact(transaction) => Self::Transact(transaction.clone()),
            TableRequest::Read(key) => Self::Read(key.to_owned()),
        }
    }
}

impl Entry {
    /// Returns the next request to the table, if an acceptance is in progress.
    pub fn next_request(&self) -> Option<OwnedRequest> {
        match &self.state {
            EntryState::Accepting(acceptance) => Some(OwnedRequest::new(acceptance.next_request())),
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

    pub fn is_finished(&self) -> bool {
        matches!(
            self.state,
            EntryState::Acknowledged | EntryState::Refused | EntryState::Crashed
        )
    }

    /// Starts the acceptance if the entry has not started it yet.
    pub fn start_acceptance(&mut self, items: u32, injected_fault: InjectedFault) {
        if let EntryState::Received(process) = self.state {
            let job = new_job(self.content, items);
            let acceptance = Acceptance::new(&job, OpId::new(process));
            self.state = EntryState::Accepting(Box::new(acceptance));
            if injected_fault == InjectedFault::AcknowledgementBeforeRow {
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

    /// Returns the next request to the table, if a write is in progress.
    pub fn next_request(&self) -> Option<OwnedRequest> {
        let request = match &self.state {
            HolderState::Claiming(plan) => plan.table_write.next_request(),
            HolderState::Ending(write) => write.next_request(),
            HolderState::Writing(_, write) => write.table_write.next_request(),
            HolderState::Idle | HolderState::Planning(_) | HolderState::Holding(_) => return None,
        };
        Some(OwnedRequest::new(request))
    }

    /// Processes the reply to the last request.
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
            HolderState::Ending(mut write) => match write.on_reply(reply) {
                None => HolderState::Ending(write),
                Some(_) => HolderState::Idle,
            },
            other => other,
        };
    }

    /// Reads the open row if the holder is idle and the job is open. Like the
    /// methods of the other steps, returns whether the holder did anything.
    pub fn read_open_row(&mut self, world: &World) -> bool {
        match world.table.open_job() {
            Some(open) if self.state == HolderState::Idle => {
                self.state = HolderState::Planning(open);
                true
            }
            _ => false,
        }
    }

    /// Starts the write that follows from the open row, if any: a fresh claim,
    /// a takeover of a chunk, whose row is read for this, or the completion of
    /// the job.
    pub fn act_on_open_row(&mut self, world: &World) -> bool {
        let HolderState::Planning(open) = &self.state else {
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
            let items = items_in(entry.chunk, world.items);
            let candidate = TakeoverCandidate {
                chunk: entry.chunk,
                version: *version,
                row,
                items: items.end - items.start,
            };
            if let Some(plan) = plan_takeover(&open, &candidate, &claimant, op, world.now_ms) {
                self.op = op;
                self.state = HolderState::Claiming(plan);
                return true;
            }
        }
        self.complete_job(world);
        true
    }

    /// Starts to commit the held chunk with a result for every item.
    pub fn start_commit(&mut self, world: &World) -> bool {
        let HolderState::Holding(held) = &self.state else {
            return false;
        };
        self.op = self.op.next();
        let items = items_in(held.chunk, world.items);
        let result = ChunkResult {
            completed: items.end - items.start,
            ..ChunkResult::default()
        };
        let mut write = held.plan_commit(self.op, result);
        if world.injected_fault == InjectedFault::CommitWithoutFence {
            write.table_write = without_fence(held, &write, self.op);
        }
        self.state = HolderState::Writing(held.clone(), write);
        true
    }

    pub fn start_renewal(&mut self, world: &World) -> bool {
        let HolderState::Holding(held) = &self.state else {
            return false;
        };
        self.op = self.op.next();
        let lease_until_ms = world.now_ms + LEASE_MS;
        let write = held.plan_renew(
            self.op,
            &self.instance,
            lease_until_ms,
            ChunkProgress::default(),
        );
        self.state = HolderState::Writing(held.clone(), write);
        true
    }

    pub fn start_release(&mut self) -> bool {
        let HolderState::Holding(held) = &self.state else {
            return false;
        };
        self.op = self.op.next();
        let write = held.plan_release(self.op, ChunkProgress::default());
        self.state = HolderState::Writing(held.clone(), write);
        true
    }

    /// Starts to cancel the job if it is open.
    pub fn start_cancellation(&mut self, world: &World) -> bool {
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

    fn complete_job(&mut self, world: &World) {
        let totals = tally_chunks(world.table.chunk_rows());
        let Some((version, row)) = job_row(world) else {
            return;
        };
        if totals.is_complete(world.items) && row.state == JobState::Open {
            self.op = self.op.next();
            let (completed, failed) = (totals.completed, totals.failed);
            let write = plan_complete(row, version, completed, failed, self.op, world.now_ms);
            self.state = HolderState::Ending(write);
        }
    }
}

/// Returns the range of items in a chunk of the model's job.
pub fn items_in(chunk: ChunkName, items: u32) -> Range<u32> {
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

/// Executes a request at the table.
pub fn execute(table: &mut Table, request: TableRequest<'_>) -> Result<Reply, Violation> {
    match request {
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

/// Returns the write without its condition on the chunk's row.
fn without_fence(held: &HeldChunk, write: &LeaseWrite, op: OpId) -> ConditionalWrite {
    let TableRequest::Transact(transaction) = write.table_write.next_request() else {
        return write.table_write.clone();
    };
    let mut transaction = transaction.clone();
    transaction
        .conditions
        .retain(|condition| condition.key != held.key());
    ConditionalWrite::new(transaction, &held.key(), op)
}

/// Checks that a holder's copy of the chunk's row differs from the stored row
/// only if the stored row has a newer version.
pub fn check_held_row(world: &World, holder: &Holder) -> Result<(), Violation> {
    let HolderState::Holding(held) = &holder.state else {
        return Ok(());
    };
    match world.table.row(&held.key()) {
        Some((version, RowValue::Chunk(row))) => {
            if *version == held.version && **row != held.row {
                return violation("a holder's copy differs from the row of the same version");
            }
            if *version < held.version {
                return violation("a holder recorded a write that never took effect");
            }
            Ok(())
        }
        _ => violation("a held chunk has no row"),
    }
}
