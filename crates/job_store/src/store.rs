//! Sends conditional writes and resolves their outcomes.
//!
//! If the answer to a write is lost, the write may or may not have taken effect.
//! The write is then repeated, or its row is read, until the outcome is known.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use jobs::{
    Acceptance, AcceptanceError, Accepted, ConditionalWrite, NewJob, OpId, Outcome, Reply,
    TableRequest,
};
use model::ErrorKind;
use store::{Backoff, Priority, RateLimitedStore};
use thiserror::Error;
use tokio::time::Instant;

use crate::{CallCounts, codec, metrics::Meter};

/// Initial backoff before a call is repeated, in milliseconds; it doubles up to
/// [`RETRY_DELAY_MAX_MS`].
const RETRY_DELAY_MIN_MS: u64 = 50;
/// Maximum backoff before a call is repeated, in milliseconds.
const RETRY_DELAY_MAX_MS: u64 = 1_000;

/// Handle for the rows and objects of jobs. Clones share the operation ids, the
/// call limiter and the counters.
#[derive(Debug, Clone)]
pub struct JobStore {
    store: RateLimitedStore,
    last_op_id: Arc<Mutex<OpId>>,
    pub(crate) meter: Meter,
}

/// Why an operation failed or its outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The platform could not be reached; nothing was written.
    #[error("the platform cannot be reached")]
    Unavailable,
    /// A write may have taken effect or may still do so.
    #[error("it is unknown whether a write to the platform took effect")]
    Uncertain,
    /// A row or object could not be decoded or does not exist.
    #[error("cannot read a row or object: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Returns the kind of error that is reported to the caller.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Unavailable => ErrorKind::PlatformUnavailable,
            Self::Uncertain => ErrorKind::PlatformUncertain,
            Self::Malformed(_) => ErrorKind::Internal,
        }
    }
}

impl From<store::StoreError> for StoreError {
    fn from(error: store::StoreError) -> Self {
        match error {
            store::StoreError::NotDone(_) | store::StoreError::Unknown(_) => Self::Unavailable,
            store::StoreError::Protocol(_) | store::StoreError::HistoryGone => {
                Self::Malformed(error.to_string())
            }
        }
    }
}

impl JobStore {
    /// Creates a handle that calls the platform through `store`, within the rate
    /// limit of `store`. `process` is part of every operation id and must be drawn
    /// at random, so that no two processes ever use the same operation id.
    #[must_use]
    pub fn new(store: RateLimitedStore, process: u64) -> Self {
        Self {
            store,
            last_op_id: Arc::new(Mutex::new(OpId::new(process))),
            meter: Meter::new(),
        }
    }

    /// Returns an operation id that has not been used before.
    #[must_use]
    pub fn next_op_id(&self) -> OpId {
        let mut last = self
            .last_op_id
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last = last.next();
        *last
    }

    /// Sets the number of live instances among which the fleet's call budget is
    /// divided.
    pub fn set_live_instances(&self, instances: u32) {
        self.store.set_live_instances(instances);
    }

    /// Returns the numbers of calls sent so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.meter.counts()
    }

    /// Repeats a write until its outcome is known, however long the platform is
    /// unavailable.
    pub async fn write_resolved(&self, mut write: ConditionalWrite, priority: Priority) -> Outcome {
        let mut backoff = self.backoff();
        loop {
            let reply = self.send_request(write.next_request(), priority).await;
            if let Some(outcome) = write.on_reply(&reply) {
                return outcome;
            }
            wait_before_retry(&mut backoff, &reply).await;
        }
    }

    /// Repeats a write until its outcome is known or `deadline` has passed. Fails
    /// at once if the platform is unavailable and no attempt can have taken effect.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if the write has not taken effect and
    /// will not, [`StoreError::Uncertain`] otherwise.
    pub async fn write_resolved_before(
        &self,
        mut write: ConditionalWrite,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Outcome, StoreError> {
        let mut backoff = self.backoff();
        loop {
            let reply = self.send_request(write.next_request(), priority).await;
            if let Some(outcome) = write.on_reply(&reply) {
                return Ok(outcome);
            }
            ensure_retryable(&reply, write.is_ambiguous(), deadline)?;
            wait_before_retry(&mut backoff, &reply).await;
        }
    }

    /// Accepts a job before `deadline`, or returns the job that an earlier request
    /// with the same idempotency key created.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`JobStore::write_resolved_before`]. The inner error
    /// reports that the idempotency key was used for a different request.
    pub async fn accept(
        &self,
        job: &NewJob,
        deadline: Instant,
    ) -> Result<Result<Accepted, AcceptanceError>, StoreError> {
        let mut acceptance = Acceptance::new(job, self.next_op_id());
        let mut backoff = self.backoff();
        loop {
            let reply = self
                .send_request(acceptance.next_request(), Priority::Commit)
                .await;
            if let Some(result) = acceptance.on_reply(&reply) {
                return Ok(result);
            }
            ensure_retryable(&reply, acceptance.is_ambiguous(), deadline)?;
            wait_before_retry(&mut backoff, &reply).await;
        }
    }

    /// Returns a store handle whose calls have priority `priority`.
    pub(crate) fn store(&self, priority: Priority) -> RateLimitedStore {
        self.store.clone().with_priority(priority)
    }

    async fn send_request(&self, request: TableRequest<'_>, priority: Priority) -> Reply {
        let store = self.store(priority);
        match request {
            TableRequest::Transact(transaction) => {
                let encoded = match codec::encode(transaction) {
                    Ok(encoded) => encoded,
                    Err(error) => {
                        log::error!("event=encode_failed error={error:?}");
                        return Reply::NotApplied;
                    }
                };
                self.meter
                    .record_transaction(encoded.puts.len() + encoded.removals.len());
                codec::transact_reply(store.transact(&encoded).await)
            }
            TableRequest::Read(key) => {
                self.meter.record_table_read();
                codec::read_reply(store.row(key).await)
            }
        }
    }

    fn backoff(&self) -> Backoff {
        let OpId { process, number } = self.next_op_id();
        Backoff::new(RETRY_DELAY_MIN_MS, RETRY_DELAY_MAX_MS, process ^ number)
    }
}

/// Returns an error if the last call failed and must not be repeated: no write can
/// have taken effect, or the deadline has passed.
fn ensure_retryable(
    reply: &Reply,
    is_ambiguous: bool,
    deadline: Instant,
) -> Result<(), StoreError> {
    if !is_failed(reply) {
        return Ok(());
    }
    if !is_ambiguous {
        return Err(StoreError::Unavailable);
    }
    if Instant::now() >= deadline {
        return Err(StoreError::Uncertain);
    }
    Ok(())
}

async fn wait_before_retry(backoff: &mut Backoff, reply: &Reply) {
    if is_failed(reply) {
        tokio::time::sleep(Duration::from_millis(backoff.next_wait_ms())).await;
    }
}

const fn is_failed(reply: &Reply) -> bool {
    matches!(reply, Reply::NotApplied | Reply::Unknown)
}
