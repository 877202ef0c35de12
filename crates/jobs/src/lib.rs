//! Decisions about batch jobs: accepting, claiming, running, committing and
//! cancelling.
//!
//! This crate exists so that each failure of a job is a list of events that a
//! test replays. It takes answers of the platform, ends of items and the time
//! as events and returns transactions and starts as actions. It performs no
//! I/O, reads no clock and draws no random number.

mod accept;
mod choose;
mod claim;
mod finish;
mod input;
mod key;
mod lease;
mod record;
mod row;
mod run;
mod settle;
mod transaction;

pub use crate::{
    accept::{Acceptance, AcceptanceError, Accepted, NewJob, job_id_for},
    choose::{Chooser, Deferral, Work, WorkKind, choose_work, is_watcher, rendezvous_rank},
    claim::{
        ClaimPlan, Claimant, OpenJob, Takeover, Terms, plan_fresh, plan_release, plan_takeover,
        takeover_terms,
    },
    finish::{JobTally, holders, plan_cancel, plan_finish, tally},
    input::{
        CHUNK_MAX_BYTES, CHUNK_MAX_ITEMS, ChunkSpan, FILE_MAX_BYTES, FileSummary, ITEM_MAX_BYTES,
        ITEMS_MAX, InputError, Manifest, Segment, Splitter,
    },
    key::{
        ALL_OPEN_PREFIX, ChunkName, chunk_key, chunk_prefix, file_key, job_key, listed_key,
        listed_prefix, open_key, open_prefix, region_of_open_key,
    },
    lease::{ChunkResult, HeldChunk, LEASE_MS, LeaseWrite, Progress, renewal_due_ms},
    record::{BadItem, ItemEnd, ItemRecord, ItemRequest, parse_request},
    row::{
        ActiveChunk, Attempts, ChunkRow, ChunkState, FileRow, JobRow, JobState, ObjectRef, OpenRow,
        PartialRef, RowValue,
    },
    run::{ChunkRun, ITEM_ATTEMPTS_MAX, ItemStart},
    settle::{Ask, Reply, Settle, Verdict},
    transaction::{Check, Expect, OpId, Transaction, Write},
};
