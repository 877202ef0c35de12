//! Paced calls, and conditional writes carried to a certain outcome.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jobs::{
    Acceptance, AcceptanceError, Accepted, Ask, NewJob, OpId, Pacer, Priority, Reply, Settle,
    Verdict,
};
use model::ErrorKind;
use platform::{Platform, PlatformError};
use thiserror::Error;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{CallCounts, clock::unix_ms, codec, metrics::Meter};

/// Calls a second that one process may make unless told otherwise.
const CALLS_PER_S: f64 = 100.0;
/// First pause before a call is repeated, milliseconds; it doubles.
const RETRY_FIRST_MS: u64 = 50;
/// Longest pause before a call is repeated, milliseconds.
const RETRY_LONGEST_MS: u64 = 1_000;

/// Access to the rows and objects of jobs; clones share everything.
#[derive(Debug, Clone)]
pub struct JobStore {
    platform: Platform,
    shared: Arc<Shared>,
    pub(crate) meter: Meter,
}

#[derive(Debug)]
struct Shared {
    pacer: Mutex<Pacer>,
    last_op: Mutex<OpId>,
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

impl From<PlatformError> for StoreError {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::NotApplied(_) | PlatformError::Unknown(_) => Self::Unavailable,
            PlatformError::Protocol(_) | PlatformError::Unconditioned(_) => {
                Self::Malformed(error.to_string())
            }
        }
    }
}

impl JobStore {
    /// Access through `platform`. `process` identifies this process among all
    /// that ever run and must be drawn at random.
    #[must_use]
    pub fn new(platform: Platform, process: u64) -> Self {
        let pacer = Pacer::new(process, CALLS_PER_S, unix_ms());
        Self {
            platform,
            shared: Arc::new(Shared {
                pacer: Mutex::new(pacer),
                last_op: Mutex::new(OpId::new(process)),
            }),
            meter: Meter::new(),
        }
    }

    /// A fresh operation id.
    #[must_use]
    pub fn next_op(&self) -> OpId {
        let mut last = lock(&self.shared.last_op);
        *last = last.next();
        *last
    }

    /// Replaces the rate of calls, when the number of processes changes.
    pub fn set_calls_per_s(&self, calls_per_s: f64) {
        lock(&self.shared.pacer).set_calls_per_s(calls_per_s, unix_ms());
    }

    /// Whether the platform seems reachable.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        lock(&self.shared.pacer).is_closed()
    }

    /// Calls made so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.meter.counts()
    }

    /// Carries a write to a certain outcome, however long the platform is away.
    pub async fn settle(&self, settle: Settle, priority: Priority) -> Verdict {
        let mut settle = settle;
        let mut pause = Pause::new(self.next_op());
        loop {
            let reply = self.ask(settle.ask(), priority).await;
            if let Some(verdict) = settle.on_reply(&reply) {
                return verdict;
            }
            pause.after(&reply).await;
        }
    }

    /// Carries a write to a certain outcome before `deadline`, and gives up at
    /// once if the platform is away and nothing was sent.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if the write certainly took no
    /// effect, [`StoreError::Uncertain`] otherwise.
    pub async fn settle_until(
        &self,
        settle: Settle,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Verdict, StoreError> {
        let mut settle = settle;
        let mut pause = Pause::new(self.next_op());
        loop {
            let reply = self.ask_until(settle.ask(), priority, deadline).await;
            if let Some(verdict) = settle.on_reply(&reply) {
                return Ok(verdict);
            }
            give_up(&reply, settle.is_ambiguous(), deadline)?;
            pause.after(&reply).await;
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
        let op = self.next_op();
        let mut acceptance = Acceptance::new(job, op);
        let mut pause = Pause::new(op);
        loop {
            let ask = acceptance.ask();
            let reply = self.ask_until(ask, Priority::Commit, deadline).await;
            if let Some(result) = acceptance.on_reply(&reply) {
                return Ok(result);
            }
            give_up(&reply, acceptance.is_ambiguous(), deadline)?;
            pause.after(&reply).await;
        }
    }

    pub(crate) fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Waits until a call may be made.
    pub(crate) async fn admitted(&self, priority: Priority) {
        loop {
            let now_ms = unix_ms();
            let at_ms = match lock(&self.shared.pacer).admit(priority, now_ms) {
                Ok(()) => return,
                Err(at_ms) => at_ms,
            };
            let wait_ms = at_ms.saturating_sub(now_ms).max(1);
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Waits until a call may be made, but not for an unreachable platform.
    pub(crate) async fn admitted_for_read(&self, priority: Priority) -> Result<(), StoreError> {
        loop {
            let now_ms = unix_ms();
            let (result, is_closed) = {
                let mut pacer = lock(&self.shared.pacer);
                (pacer.admit(priority, now_ms), pacer.is_closed())
            };
            match result {
                Ok(()) => return Ok(()),
                Err(_) if !is_closed => return Err(StoreError::Unavailable),
                Err(at_ms) => {
                    let wait_ms = at_ms.saturating_sub(now_ms).max(1);
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                }
            }
        }
    }

    pub(crate) fn on_result<T>(&self, result: &Result<T, PlatformError>) {
        let is_reachable = !matches!(
            result,
            Err(PlatformError::NotApplied(_) | PlatformError::Unknown(_))
        );
        let mut pacer = lock(&self.shared.pacer);
        let was_closed = pacer.is_closed();
        pacer.on_result(is_reachable, unix_ms());
        match (was_closed, pacer.is_closed()) {
            (true, false) => log::warn!("event=platform_lost"),
            (false, true) => log::info!("event=platform_back"),
            _ => {}
        }
    }

    async fn ask_until(&self, ask: Ask<'_>, priority: Priority, deadline: Instant) -> Reply {
        // A call that has not been admitted by then was not sent.
        match tokio::time::timeout_at(deadline, self.admitted(priority)).await {
            Ok(()) => self.ask_now(ask).await,
            Err(_) => Reply::NotApplied,
        }
    }

    async fn ask(&self, ask: Ask<'_>, priority: Priority) -> Reply {
        self.admitted(priority).await;
        self.ask_now(ask).await
    }

    async fn ask_now(&self, ask: Ask<'_>) -> Reply {
        match ask {
            Ask::Transact(transaction) => {
                let request = match codec::encode(transaction) {
                    Ok(request) => request,
                    Err(error) => {
                        log::error!("event=encode_failed error={error:?}");
                        return Reply::NotApplied;
                    }
                };
                self.meter.on_transaction(request.mutations.len());
                let result = self.platform.transact(&request).await;
                self.on_result(&result);
                codec::transact_reply(result)
            }
            Ask::Read(key) => {
                self.meter.on_table_read();
                let result = self.platform.row(key).await;
                self.on_result(&result);
                codec::read_reply(result)
            }
        }
    }
}

/// Ends an operation whose last call failed, if it is not worth repeating.
fn give_up(reply: &Reply, is_ambiguous: bool, deadline: Instant) -> Result<(), StoreError> {
    let is_failed = matches!(reply, Reply::NotApplied | Reply::Unknown);
    if is_failed && !is_ambiguous {
        return Err(StoreError::Unavailable);
    }
    if is_failed && Instant::now() >= deadline {
        return Err(StoreError::Uncertain);
    }
    Ok(())
}

/// Exponential pauses with jitter between repeated calls.
#[derive(Debug)]
struct Pause {
    seed: OpId,
    failures: u32,
}

impl Pause {
    const fn new(seed: OpId) -> Self {
        Self { seed, failures: 0 }
    }

    async fn after(&mut self, reply: &Reply) {
        if !matches!(reply, Reply::NotApplied | Reply::Unknown) {
            return;
        }
        let full_ms = (RETRY_FIRST_MS << self.failures.min(16)).min(RETRY_LONGEST_MS);
        self.failures += 1;
        let OpId { process, number } = self.seed;
        let bytes = (number + u64::from(self.failures)).to_le_bytes();
        let jitter_ms = xxh3_64_with_seed(&bytes, process) % (full_ms / 2);
        let pause_ms = full_ms / 2 + jitter_ms;
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
