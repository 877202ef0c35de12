//! Accepts a job with one conditional insert, so that repeated requests with
//! the same idempotency key create one job.

use std::{fmt::Write as _, sync::Arc};

use model::{ClassName, CustomerId, JobId, ModelName, Region};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::{
    ConditionalWrite, JobRow, JobState, OpId, OpenRow, Outcome, Reply, RowValue, TableRequest,
    Transaction, job_key, listed_key, open_key,
};

/// Number of bytes of the hash that a job identifier contains.
const JOB_ID_HASH_BYTES: usize = 16;

/// A validated job that has not been accepted yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct NewJob {
    /// Job identifier, derived from the customer and the idempotency key.
    pub job: JobId,
    /// Customer that owns the job.
    pub customer: CustomerId,
    /// Class that determined the deadline.
    pub class: Option<ClassName>,
    /// Path that every item is sent to.
    pub endpoint: String,
    /// Identifier of the input file.
    pub input_file: Arc<str>,
    /// SHA-256 over the input's digest and the parameters, in hexadecimal.
    pub digest: String,
    /// Completion window requested by the caller, verbatim.
    pub completion_window: String,
    /// Metadata pairs attached by the caller, sorted by name.
    pub metadata: Vec<(String, String)>,
    /// Region whose instances run the job.
    pub region: Region,
    /// Models named by the items, sorted.
    pub models: Vec<ModelName>,
    /// Number of items in the job.
    pub items: u32,
    /// Number of chunks in the input file's manifest.
    pub chunks: u32,
    /// Time of acceptance, in Unix milliseconds.
    pub created_at_ms: u64,
    /// Time by which the last result is due, in Unix milliseconds.
    pub deadline_ms: u64,
}

/// An acceptance in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Acceptance {
    table_write: ConditionalWrite,
    /// Key of the job's row.
    key: String,
    row: JobRow,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Inserting,
    /// A job with the same identifier exists; its row is read to compare the
    /// digests.
    ComparingDigest,
}

/// A job whose row is known to exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// The job's row.
    pub row: JobRow,
    /// Whether an earlier request with the same idempotency key created the job.
    pub is_resend: bool,
}

/// Reason why a job was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AcceptanceError {
    /// The idempotency key belongs to a job with different content.
    #[error("the idempotency key was already used for a job with different content")]
    Conflict,
}

/// Derives the job identifier from the customer and its idempotency key, so
/// that every request with the same key refers to the same job.
#[must_use]
pub fn job_id_for(customer: &CustomerId, idempotency_key: &str) -> JobId {
    let mut hash = Sha256::new();
    hash.update(customer.as_str());
    hash.update([0]);
    hash.update(idempotency_key);
    let digest = hash.finalize();
    let mut id = String::from("batch_");
    for byte in digest.iter().take(JOB_ID_HASH_BYTES) {
        // Writing to a `String` cannot fail.
        let _ = write!(id, "{byte:02x}");
    }
    JobId::from(id)
}

impl Acceptance {
    /// Starts accepting `job` as operation `op`.
    #[must_use]
    pub fn new(job: &NewJob, op: OpId) -> Self {
        let key = job_key(&job.job);
        let open_key = open_key(&job.region, job.deadline_ms, &job.job);
        let listed_key = listed_key(&job.customer, job.created_at_ms, &job.job);
        let row = job_row(job, op);
        let transaction = Transaction::new()
            .require_absent(&key)
            .require_absent(&open_key)
            .require_absent(&listed_key)
            .with_put(&key, RowValue::Job(Box::new(row.clone())))
            .with_put(&listed_key, RowValue::Listed(job.job.clone()))
            .with_put(&open_key, RowValue::Open(Box::new(open_row(job, op))));
        Self {
            table_write: ConditionalWrite::new(transaction, &key, op),
            key,
            row,
            phase: Phase::Inserting,
        }
    }

    /// Returns the next request to send to the table.
    #[must_use]
    pub fn next_request(&self) -> TableRequest<'_> {
        match self.phase {
            Phase::Inserting => self.table_write.next_request(),
            Phase::ComparingDigest => TableRequest::Read(&self.key),
        }
    }

    /// Returns whether the insert may have taken effect although its outcome is
    /// not known yet.
    #[must_use]
    pub const fn is_ambiguous(&self) -> bool {
        self.table_write.is_ambiguous()
    }

    /// Processes the reply to the last request. Returns `None` if another
    /// request is needed.
    pub fn on_reply(&mut self, reply: &Reply) -> Option<Result<Accepted, AcceptanceError>> {
        match self.phase {
            Phase::Inserting => match self.table_write.on_reply(reply)? {
                Outcome::Applied { .. } => Some(Ok(Accepted {
                    row: self.row.clone(),
                    is_resend: false,
                })),
                Outcome::Refused => {
                    self.phase = Phase::ComparingDigest;
                    None
                }
            },
            Phase::ComparingDigest => self.compare_digest(reply),
        }
    }

    fn compare_digest(&self, reply: &Reply) -> Option<Result<Accepted, AcceptanceError>> {
        let Reply::Row(Some((_, RowValue::Job(existing)))) = reply else {
            return None;
        };
        if existing.digest != self.row.digest || existing.customer != self.row.customer {
            return Some(Err(AcceptanceError::Conflict));
        }
        Some(Ok(Accepted {
            row: (**existing).clone(),
            is_resend: true,
        }))
    }
}

fn job_row(job: &NewJob, op: OpId) -> JobRow {
    JobRow {
        job: job.job.clone(),
        customer: job.customer.clone(),
        class: job.class.clone(),
        endpoint: job.endpoint.clone(),
        input_file: job.input_file.clone(),
        digest: job.digest.clone(),
        completion_window: job.completion_window.clone(),
        metadata: job.metadata.clone(),
        region: job.region.clone(),
        items: job.items,
        chunks: job.chunks,
        created_at_ms: job.created_at_ms,
        deadline_ms: job.deadline_ms,
        accept_op: op,
        state: JobState::Open,
    }
}

fn open_row(job: &NewJob, op: OpId) -> OpenRow {
    OpenRow {
        job: job.job.clone(),
        job_version: None,
        customer: job.customer.clone(),
        endpoint: job.endpoint.clone(),
        input_file: job.input_file.clone(),
        models: job.models.clone(),
        items: job.items,
        chunks: job.chunks,
        cursor: 0,
        active: Vec::new(),
        created_at_ms: job.created_at_ms,
        deadline_ms: job.deadline_ms,
        op,
    }
}
