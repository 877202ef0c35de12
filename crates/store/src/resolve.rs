//! Settles transactions whose answer was lost.

use std::time::Duration;

use platform::{RowChange, StoreError, TransactOutcome, Transaction};
use tokio::time::Instant;

use crate::{Backoff, RateLimitedStore};

/// First wait between two attempts; it doubles up to the longest.
const RETRY_FIRST_MS: u64 = 50;
/// Longest wait between two attempts.
const RETRY_LONGEST_MS: u64 = 1_000;

impl RateLimitedStore {
    /// Applies a transaction and settles a lost answer before `deadline`.
    ///
    /// After an unknown outcome the same transaction is sent again: its
    /// conditions let it take effect once at most. If the repetition meets a
    /// conflict, and the row at `marker_key` holds the very value that this
    /// transaction puts there, the first attempt took effect. That value must
    /// be unique, such as by an operation id.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotDone`] if the transaction certainly took no effect,
    /// [`StoreError::Unknown`] if `deadline` passed before that was known,
    /// [`StoreError::Protocol`] if a put row has no condition.
    pub async fn transact_resolved(
        &self,
        transaction: &Transaction,
        marker_key: &str,
        deadline: Instant,
    ) -> Result<TransactOutcome, StoreError> {
        check_conditions(transaction)?;
        let mut is_ambiguous = false;
        let mut backoff = Backoff::new(RETRY_FIRST_MS, RETRY_LONGEST_MS, rand::random());
        loop {
            let error = match self.transact(transaction).await {
                Ok(outcome) if is_ambiguous => {
                    return Ok(settled(transaction, marker_key, outcome));
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

/// What a repeated transaction's outcome says of all its copies.
fn settled(
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

fn check_conditions(transaction: &Transaction) -> Result<(), StoreError> {
    let has_condition = |put: &&RowChange| {
        transaction
            .conditions
            .iter()
            .any(|condition| condition.id == put.id)
    };
    match transaction.puts.iter().find(|put| !has_condition(put)) {
        Some(put) => {
            let message = format!("the put of {:?} has no condition", put.id.key);
            Err(StoreError::Protocol(message))
        }
        None => Ok(()),
    }
}
