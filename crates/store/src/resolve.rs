//! Resolves the outcome of transactions whose answer was lost.

use std::time::Duration;

use platform::{RowChange, StoreError, TransactOutcome, Transaction};
use tokio::time::Instant;

use crate::{Backoff, RateLimitedStore};

/// Initial backoff between two attempts, milliseconds; it doubles up to
/// [`RETRY_MAX_MS`].
const RETRY_INITIAL_MS: u64 = 50;
/// Maximum backoff between two attempts, milliseconds.
const RETRY_MAX_MS: u64 = 1_000;

impl RateLimitedStore {
    /// Applies a transaction, and resolves its outcome before `deadline` if the
    /// answer is lost.
    ///
    /// After an unknown outcome the same transaction is sent again. This is
    /// idempotent, because its conditions let it take effect at most once. If a
    /// retry ends in a conflict and the row at `marker_key` holds exactly the
    /// value that this transaction puts there, an earlier attempt took effect.
    /// That value must therefore be unique, for example by containing an
    /// operation id.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotDone`] if the transaction certainly took no
    /// effect, [`StoreError::Unknown`] if the outcome could not be resolved
    /// before `deadline`, and [`StoreError::Protocol`] if the transaction puts a
    /// row without a condition on it.
    pub async fn transact_resolved(
        &self,
        transaction: &Transaction,
        marker_key: &str,
        deadline: Instant,
    ) -> Result<TransactOutcome, StoreError> {
        check_conditions(transaction)?;
        let mut is_ambiguous = false;
        let mut backoff = Backoff::new(RETRY_INITIAL_MS, RETRY_MAX_MS, rand::random());
        loop {
            let error = match self.transact(transaction).await {
                Ok(outcome) if is_ambiguous => {
                    return Ok(resolve_outcome(transaction, marker_key, outcome));
                }
                Ok(outcome) => return Ok(outcome),
                Err(error) if error.is_not_done() && !is_ambiguous => return Err(error),
                Err(error) => error,
            };
            is_ambiguous = true;
            let next_at = Instant::now() + Duration::from_millis(backoff.next_wait_ms());
            if next_at >= deadline {
                return Err(StoreError::Unknown(error.to_string()));
            }
            tokio::time::sleep_until(next_at).await;
        }
    }
}

/// Returns the outcome of a transaction that was sent repeatedly, given the
/// outcome of its last attempt.
fn resolve_outcome(
    transaction: &Transaction,
    marker_key: &str,
    outcome: TransactOutcome,
) -> TransactOutcome {
    let TransactOutcome::Conflict { rows } = outcome else {
        return outcome;
    };
    let marker = rows.iter().find(|row| *row.key == *marker_key);
    let put = transaction
        .puts
        .iter()
        .find(|put| *put.id.key == *marker_key);
    match (marker, put) {
        (Some(row), Some(put)) if put.value.as_ref() == Some(&row.value) => {
            TransactOutcome::Committed {
                version: row.version,
            }
        }
        _ => TransactOutcome::Conflict { rows },
    }
}

/// Checks that each row that the transaction puts has a condition. Without one,
/// a retry could make the transaction take effect twice.
fn check_conditions(transaction: &Transaction) -> Result<(), StoreError> {
    let has_condition = |put: &&RowChange| {
        transaction
            .conditions
            .iter()
            .any(|condition| condition.id == put.id)
    };
    match transaction.puts.iter().find(|put| !has_condition(put)) {
        Some(put) => {
            let message = format!(
                "the transaction puts row {:?} without a condition on it",
                put.id.key
            );
            Err(StoreError::Protocol(message))
        }
        None => Ok(()),
    }
}
