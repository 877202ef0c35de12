//! Claims of calls that may run once only.
//!
//! A row is inserted before the call is sent, so that no resend, at whichever
//! entry, sends it again. The outcome replaces the claim; a claim without an
//! outcome past its time becomes `Unknown` for good. Each change is conditional
//! on the row's version, so clocks decide only when somebody may give up.

use std::time::Duration;

use model::{CustomerId, ErrorKind, Ran};
use process::Refusal;
use serde::{Deserialize, Serialize};
use store::{RateLimitedStore, Row, StoreError, TransactOutcome, Transaction};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use upstream::ServiceAnswer;
use uuid::Uuid;

use super::{execution::ServiceExecution, stored::StoredAnswer};
use crate::clock;

/// Longest wait for the platform before a call is sent.
const CLAIM_TIMEOUT_MS: u64 = 3_000;
/// Longest wait for the platform before the caller gets its answer.
const STORE_TIMEOUT_MS: u64 = 1_000;
/// Longest time that an outcome is offered to a platform that is down.
const STORE_RETRY_LIMIT_MS: u64 = 300_000;
/// Time between two looks at a claim that another call holds.
const CLAIM_POLL_MS: u64 = 100;
/// Time after the holder's deadline until its outcome counts as unknown.
const HOLDER_GRACE_MS: u64 = 2_000;

/// State of one idempotency key of one customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ClaimRow {
    /// Distinguishes the holder from every other call.
    operation: String,
    /// Digest of the call, so that another call under the key is recognised.
    digest: String,
    state: ClaimState,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ClaimState {
    /// The holder may have sent the call.
    Claimed {
        /// When the holder will have given up, Unix milliseconds.
        answer_by_ms: u64,
    },
    /// The service answered.
    Done(StoredAnswer),
    /// Whether the call ran will never be known.
    Unknown,
}

/// Runs calls once.
#[derive(Debug, Clone)]
pub(crate) struct ClaimStore {
    store: RateLimitedStore,
    tasks: TaskTracker,
}

/// Key of the row of a claim.
pub(crate) fn row_key(customer: &CustomerId, key: &str) -> String {
    format!(
        "claim/{}/{}",
        escape_key_part(customer.as_str()),
        escape_key_part(key)
    )
}

impl ClaimStore {
    pub(crate) fn new(store: RateLimitedStore, tasks: TaskTracker) -> Self {
        Self { store, tasks }
    }

    /// Sends a call under a claim, or answers from the claim that is there.
    pub(crate) async fn run_once(
        self,
        key: String,
        digest: String,
        execution: ServiceExecution,
    ) -> Result<ServiceAnswer, Refusal> {
        let claim = ClaimRow {
            operation: Uuid::new_v4().simple().to_string(),
            digest,
            state: ClaimState::Claimed {
                answer_by_ms: clock::unix_ms() + execution.deadlines().remaining_ms(),
            },
        };
        match self.insert(&key, &claim).await {
            Ok(TransactOutcome::Committed { version }) => {
                self.run_claimed(key, claim, version, execution).await
            }
            Ok(TransactOutcome::Conflict { rows }) => {
                let Some(row) = rows.into_iter().next() else {
                    // The claim of a call that did not run was removed just now.
                    let message = "An earlier call with this key has just ended without running.";
                    return Err(Refusal::new(ErrorKind::PlatformUnavailable, message));
                };
                self.answer_from_claim(row, &claim.digest).await
            }
            Err(error) => {
                if !error.is_not_done() {
                    self.release_in_background(key, claim);
                }
                Err(platform_unavailable(&error))
            }
        }
    }

    async fn insert(&self, key: &str, claim: &ClaimRow) -> Result<TransactOutcome, StoreError> {
        let request = put_claim(key, 0, claim);
        let deadline = Instant::now() + Duration::from_millis(CLAIM_TIMEOUT_MS);
        let transaction = self.store.transact_resolved(&request, key, deadline);
        match tokio::time::timeout_at(deadline, transaction).await {
            Ok(outcome) => outcome,
            Err(_) => Err(StoreError::Unknown("no answer in time".to_owned())),
        }
    }

    async fn run_claimed(
        self,
        key: String,
        claim: ClaimRow,
        version: u64,
        execution: ServiceExecution,
    ) -> Result<ServiceAnswer, Refusal> {
        match execution.run().await {
            Ok(answer) => {
                let stored = StoredAnswer::store(&answer, &self.store).await;
                let state = stored.map_or(ClaimState::Unknown, ClaimState::Done);
                self.replace_soon(key, version, ClaimRow { state, ..claim })
                    .await;
                Ok(answer)
            }
            Err(refusal) if refusal.ran() == Ran::No => {
                self.release_in_background(key, claim);
                Err(refusal)
            }
            Err(refusal) => {
                let state = ClaimState::Unknown;
                self.replace_soon(key, version, ClaimRow { state, ..claim })
                    .await;
                Err(outcome_unknown(&refusal.message))
            }
        }
    }

    /// Answers a resend; waits while the holder may still get an answer.
    async fn answer_from_claim(
        &self,
        mut row: Row,
        digest: &str,
    ) -> Result<ServiceAnswer, Refusal> {
        loop {
            let claim = parse_claim(&row)?;
            if claim.digest != digest {
                let message = "This Idempotency-Key was used with another call.";
                return Err(Refusal::new(ErrorKind::IdempotencyConflict, message));
            }
            let answer_by_ms = match claim.state {
                ClaimState::Done(stored) => {
                    let answer = stored.load(&self.store).await;
                    return answer.map_err(|error| platform_unavailable(&error).with_ran(Ran::Yes));
                }
                ClaimState::Unknown => {
                    return Err(outcome_unknown(
                        "An earlier call with this key may have run.",
                    ));
                }
                ClaimState::Claimed { answer_by_ms } => answer_by_ms,
            };
            if clock::unix_ms() > answer_by_ms + HOLDER_GRACE_MS {
                let state = ClaimState::Unknown;
                self.replace(&row.key, row.version, &ClaimRow { state, ..claim })
                    .await
                    .map_err(|error| platform_unavailable(&error).with_ran(Ran::Unknown))?;
            }
            tokio::time::sleep(Duration::from_millis(CLAIM_POLL_MS)).await;
            row = self.read_row(&row.key).await?;
        }
    }

    async fn read_row(&self, key: &str) -> Result<Row, Refusal> {
        let row = self.store.row(key).await;
        let row = row.map_err(|error| platform_unavailable(&error).with_ran(Ran::Unknown))?;
        row.ok_or_else(|| {
            let message = "The earlier call with this key did not run.";
            Refusal::new(ErrorKind::UpstreamRefused, message)
        })
    }

    /// Records an outcome; goes on in the background if the platform is slow.
    async fn replace_soon(&self, key: String, version: u64, claim: ClaimRow) {
        let claims = self.clone();
        let task = self.tasks.spawn(async move {
            let deadline = Instant::now() + Duration::from_millis(STORE_RETRY_LIMIT_MS);
            while Instant::now() < deadline {
                match claims.replace(&key, version, &claim).await {
                    Ok(()) => return,
                    Err(error) => log::warn!(
                        "event=outcome_not_stored key={key} error={}",
                        process::quote(&error)
                    ),
                }
                tokio::time::sleep(Duration::from_millis(STORE_TIMEOUT_MS)).await;
            }
        });
        // The caller need not wait for a slow platform: without the outcome, a
        // resend is told that the outcome is unknown.
        let _ = tokio::time::timeout(Duration::from_millis(STORE_TIMEOUT_MS), task).await;
    }

    /// A conflict means that the claim has been settled otherwise.
    async fn replace(&self, key: &str, version: u64, claim: &ClaimRow) -> Result<(), StoreError> {
        let request = put_claim(key, version, claim);
        self.store.transact(&request).await?;
        Ok(())
    }

    /// Removes the claim of a call that did not run, so that a resend may.
    fn release_in_background(&self, key: String, claim: ClaimRow) {
        let claims = self.clone();
        self.tasks.spawn(async move {
            let deadline = Instant::now() + Duration::from_millis(STORE_RETRY_LIMIT_MS);
            while Instant::now() < deadline {
                match claims.release(&key, &claim.operation).await {
                    Ok(()) => return,
                    Err(error) => log::warn!(
                        "event=claim_not_released key={key} error={}",
                        process::quote(&error)
                    ),
                }
                tokio::time::sleep(Duration::from_millis(STORE_TIMEOUT_MS)).await;
            }
        });
    }

    async fn release(&self, key: &str, operation: &str) -> Result<(), StoreError> {
        let Some(row) = self.store.row(key).await? else {
            return Ok(());
        };
        if !belongs_to(&row, operation) {
            return Ok(());
        }
        let claim = store::row_id(key);
        let request = Transaction {
            conditions: vec![claim.clone().at_version(row.version)],
            removals: vec![claim.removed()],
            ..Transaction::default()
        };
        self.store.transact(&request).await?;
        Ok(())
    }
}

/// Puts a claim over the row with this version; 0 if there must be none.
fn put_claim(key: &str, version: u64, claim: &ClaimRow) -> Transaction {
    // Serializing texts and numbers cannot fail.
    let value = serde_json::to_vec(claim).unwrap_or_default();
    let row = store::row_id(key);
    Transaction {
        conditions: vec![row.clone().at_version(version)],
        puts: vec![row.with_value(value.into())],
        ..Transaction::default()
    }
}

fn parse_claim(row: &Row) -> Result<ClaimRow, Refusal> {
    serde_json::from_slice(&row.value).map_err(|error| {
        log::error!(
            "event=claim_malformed key={} error={}",
            row.key,
            process::quote(&error)
        );
        outcome_unknown("The record of an earlier call with this key cannot be read.")
    })
}

fn belongs_to(row: &Row, operation: &str) -> bool {
    serde_json::from_slice::<ClaimRow>(&row.value).is_ok_and(|claim| claim.operation == operation)
}

fn platform_unavailable(error: &StoreError) -> Refusal {
    let message = format!("The platform cannot be reached: {error}.");
    Refusal::new(ErrorKind::PlatformUnavailable, message)
}

fn outcome_unknown(message: &str) -> Refusal {
    Refusal::new(ErrorKind::OutcomeUnknown, message)
}

/// Keeps customers and keys apart in the name of a row.
fn escape_key_part(text: &str) -> String {
    text.replace('%', "%25").replace('/', "%2F")
}
