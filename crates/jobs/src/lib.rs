//! Sans-I/O core of batch jobs: decides how jobs are accepted, claimed, run,
//! committed and cancelled.
//!
//! This crate exists so that a test can replay any failure of a job as a list of
//! events. It performs no I/O, reads no clock and draws no random number.
//! Callers pass in the replies of the platform's table, the outcomes of item
//! attempts and the current time; the crate returns the transactions to apply
//! and the attempts to start.
//!
//! Begin reading with `row`, which defines the stored data. `claim` and `lease`
//! describe how chunks are leased and fenced, and `conditional_write` how a
//! write with an unknown outcome is resolved.
//!
//! Terms:
//!
//! - *Item*: one line of a job's input file, which holds one request.
//! - *Chunk*: consecutive items that are claimed together. The *manifest* of a
//!   file lists its chunks. A chunk can be split into *parts*.
//! - *Open row*: the row that lists a job as open and holds what a claim needs.
//! - *Lease*: the right of one instance, the *holder*, to run a chunk for a
//!   limited time. The lease *lapses* unless the holder renews it.
//! - *Fence*: the fencing token of a chunk, and the conditions on row versions
//!   that reject writes of a holder that lost its lease.
//! - *Intent*: a stored mark that an item may have been sent to an endpoint that
//!   is not idempotent.
//! - *Poison item*: an item that crashes every process that runs it.

mod accept;
mod choose;
mod claim;
mod conditional_write;
mod input;
mod job_end;
mod key;
mod lease;
mod record;
mod row;
mod run;
mod transaction;

pub use crate::{
    accept::{Acceptance, AcceptanceError, Accepted, NewJob, job_id_for},
    choose::{
        Deferral, SchedulingContext, Work, WorkKind, choose_work, is_watcher, rendezvous_rank,
    },
    claim::{
        ClaimPlan, Claimant, Isolation, OpenJob, TakeoverCandidate, plan_fresh_claim,
        plan_release_hint, plan_takeover, takeover_isolation,
    },
    conditional_write::{ConditionalWrite, Outcome, Reply, TableRequest},
    input::{
        CHUNK_MAX_BYTES, CHUNK_MAX_ITEMS, ChunkSpan, FILE_MAX_BYTES, FileSummary, ITEM_MAX_BYTES,
        ITEMS_MAX, InputError, InputSplitter, Manifest, Segment,
    },
    job_end::{JobTally, lease_holders, plan_cancel, plan_complete, tally_chunks},
    key::{
        ALL_OPEN_PREFIX, ChunkName, chunk_key, chunk_prefix, file_key, job_key, listed_key,
        listed_prefix, open_key, open_prefix, region_of_open_key,
    },
    lease::{ChunkProgress, ChunkResult, HeldChunk, LEASE_MS, LeaseWrite, renewal_due_ms},
    record::{AttemptOutcome, InvalidItem, ItemRecord, ItemRequest, parse_request},
    row::{
        ActiveChunk, ChunkRow, ChunkState, FailedAttempts, FileRow, JobRow, JobState, ObjectRef,
        OpenRow, PartialRef, RowValue,
    },
    run::{AttemptStart, ChunkRun, ITEM_ATTEMPTS_MAX},
    transaction::{Condition, ExpectedRow, OpId, Transaction, Write},
};
