//! Claims on idempotency keys, by which calls that are not idempotent run at most
//! once.
//!
//! An entry inserts a row for the key before it sends the call, so that a resend
//! at any entry does not send it again. The outcome of the call replaces the
//! claim. A claim that has no outcome after its deadline becomes `Unknown`
//! permanently. Each change is conditional on the row's version (optimistic
//! concurrency), so clocks only decide when an entry stops waiting for an
//! outcome.

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

/// Maximum wait for the platform before a call is sent, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 3_000;
/// Maximum time for which the caller's answer is delayed to store the outcome;
/// also the interval between two attempts to store it, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_000;
/// Maximum time for which a change of a claim is retried while the platform is
/// down, in milliseconds.
const STORE_RETRY_LIMIT_MS: u64 = 300_000;
/// Interval at which a claim that another call holds is read, in milliseconds.
const CLAIM_POLL_MS: u64 = 100;
/// Time after the holder's deadline until its outcome counts as unknown, in
/// milliseconds.
const HOLDER_GRACE_MS: u64 = 2_000;

/// Row of one idempotency key of one customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ClaimRow {
    /// Unique ID of the call that holds the claim.
    operation: String,
    /// Digest of the call, to detect a different call under the same key.
    digest: String,
    state: ClaimState,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ClaimState {
    /// The holder may have sent the call.
    Claimed {
        /// Deadline of the holder, as Unix time in milliseconds.
        answer_by_ms: u64,
    },
    /// The service answered.
    Done(StoredAnswer),
    /// It cannot be determined whether the call ran.
    Unknown,
}

/// Store of claims, by which a call runs at most once.
#[derive(Debug, Clone)]
pub(crate) struct ClaimStore {
    store: RateLimitedStore,
    tasks: TaskTracker,
}

/// Returns the key of a claim's row.
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

    /// Claims `key` and sends the call, or answers from the existing claim.
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
                    // The conflicting claim was removed concurrently, because its
                    // call did not run.
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
            Err(_) => Err(StoreError::Unknown(
                "the platform did not answer in time".to_owned(),
            )),
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
                self.store_outcome(key, version, ClaimRow { state, ..claim })
                    .await;
                Ok(answer)
            }
            Err(refusal) if refusal.ran() == Ran::No => {
                self.release_in_background(key, claim);
                Err(refusal)
            }
            Err(refusal) => {
                let state = ClaimState::Unknown;
                self.store_outcome(key, version, ClaimRow { state, ..claim })
                    .await;
                Err(outcome_unknown(&refusal.message))
            }
        }
    }

    /// Answers a resend from the existing claim. Waits while the holder of the
    /// claim may still get an answer.
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

    /// Stores the outcome of a call. Continues in the background if the platform
    /// does not confirm it within [`STORE_TIMEOUT_MS`].
    async fn store_outcome(&self, key: String, version: u64, claim: ClaimRow) {
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
        // The caller need not wait for a slow platform: if the outcome is not
        // stored, a resend is told that it is unknown.
        let _ = tokio::time::timeout(Duration::from_millis(STORE_TIMEOUT_MS), task).await;
    }

    /// Replaces a claim. A conflict is not an error: it means that the claim already
    /// has another outcome.
    async fn replace(&self, key: &str, version: u64, claim: &ClaimRow) -> Result<(), StoreError> {
        let request = put_claim(key, version, claim);
        self.store.transact(&request).await?;
        Ok(())
    }

    /// Removes the claim of a call that did not run, so that a resend may run.
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
        if !is_held_by(&row, operation) {
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

/// Returns the transaction that writes a claim if the row has this version; 0
/// means that the row must not exist.
fn put_claim(key: &str, version: u64, claim: &ClaimRow) -> Transaction {
    // Serializing strings and numbers cannot fail.
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

fn is_held_by(row: &Row, operation: &str) -> bool {
    serde_json::from_slice::<ClaimRow>(&row.value).is_ok_and(|claim| claim.operation == operation)
}

fn platform_unavailable(error: &StoreError) -> Refusal {
    let message = format!("The platform cannot be reached: {error}.");
    Refusal::new(ErrorKind::PlatformUnavailable, message)
}

fn outcome_unknown(message: &str) -> Refusal {
    Refusal::new(ErrorKind::OutcomeUnknown, message)
}

/// Escapes a part of a row key, so that different customers and idempotency keys
/// never give the same row key.
fn escape_key_part(text: &str) -> String {
    text.replace('%', "%25").replace('/', "%2F")
}
