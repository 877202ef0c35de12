//! Conditional writes carried to a certain outcome.

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

/// First pause before a call is repeated; it doubles up to the longest.
const RETRY_DELAY_MIN_MS: u64 = 50;
/// Longest pause before a call is repeated.
const RETRY_DELAY_MAX_MS: u64 = 1_000;

/// Access to the rows and objects of jobs; clones share everything.
#[derive(Debug, Clone)]
pub struct JobStore {
    store: RateLimitedStore,
    last_op_id: Arc<Mutex<OpId>>,
    pub(crate) meter: Meter,
}

/// Why an operation came to no certain outcome, or none at all.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The platform could not be reached; nothing was written.
    #[error("the platform cannot be reached")]
    Unavailable,
    /// A write may have taken effect or may still do so.
    #[error("the platform did not tell whether a write took effect")]
    Uncertain,
    /// What was read makes no sense.
    #[error("a row or object is malformed: {0}")]
    Malformed(String),
}

impl StoreError {
    /// The kind that a caller is told.
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
    /// Access through `platform`, paced as that handle is. `process`
    /// identifies this process among all that ever run and must be drawn at
    /// random.
    #[must_use]
    pub fn new(store: RateLimitedStore, process: u64) -> Self {
        Self {
            store,
            last_op_id: Arc::new(Mutex::new(OpId::new(process))),
            meter: Meter::new(),
        }
    }

    /// A fresh operation id.
    #[must_use]
    pub fn next_op_id(&self) -> OpId {
        let mut last = self
            .last_op_id
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last = last.next();
        *last
    }

    /// Divides the fleet's budget of calls among this many live instances.
    pub fn set_live_instances(&self, instances: u32) {
        self.store.set_live_instances(instances);
    }

    /// Calls made so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.meter.counts()
    }

    /// Carries a write to a certain outcome, however long the platform is away.
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

    /// Carries a write to a certain outcome before `deadline`, and gives up at
    /// once if the platform is away and nothing was sent.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if the write certainly took no
    /// effect, [`StoreError::Uncertain`] otherwise.
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

    /// Accepts a job before `deadline`, or finds the one that an earlier
    /// request with the same key created.
    ///
    /// # Errors
    ///
    /// As [`JobStore::settle_until`]; the inner error tells of a conflict.
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

    /// A handle whose calls have this priority.
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

/// Ends an operation whose last call failed, if it is not worth repeating.
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
