//! Settles transactions whose answer was lost.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    Backoff, Condition, Expected, Mutation, Platform, PlatformError, Row, TransactOutcome,
    TransactRequest,
};

/// First wait between two attempts; it doubles up to the longest.
const RETRY_FIRST_MS: u64 = 50;
/// Longest wait between two attempts.
const RETRY_LONGEST_MS: u64 = 1_000;

impl Platform {
    /// Applies a transaction and settles a lost answer before `deadline`.
    ///
    /// After an unknown outcome the same request is sent again: its conditions
    /// let it take effect once at most. If the repetition meets a conflict,
    /// `is_own` is asked whether the row at `marker_key` carries the caller's
    /// operation id, so that the first attempt took effect. The marker must
    /// keep that id for good or be a row that nobody else replaces.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotApplied`] if the transaction certainly took no
    /// effect, [`PlatformError::Unknown`] if `deadline` passed before that was
    /// known, [`PlatformError::Unconditioned`] if a put row has no condition.
    pub async fn transact_settled(
        &self,
        request: &TransactRequest,
        marker_key: &str,
        is_own: impl Fn(&Row) -> bool + Send,
        deadline: Instant,
    ) -> Result<TransactOutcome, PlatformError> {
        let versions = versions_after(request)?;
        let mut is_ambiguous = false;
        let mut backoff = Backoff::new(RETRY_FIRST_MS, RETRY_LONGEST_MS, rand::random());
        loop {
            let error = match self.transact(request).await {
                Ok(TransactOutcome::Conflict { key, row }) if is_ambiguous => {
                    match self.row(marker_key).await {
                        Ok(Some(marker)) if is_own(&marker) => {
                            return Ok(TransactOutcome::Committed { versions });
                        }
                        Ok(_) => return Ok(TransactOutcome::Conflict { key, row }),
                        Err(error) => error,
                    }
                }
                Ok(outcome) => return Ok(outcome),
                Err(error) if error.is_not_applied() && !is_ambiguous => return Err(error),
                Err(error) => error,
            };
            is_ambiguous = true;
            let next_at = Instant::now() + Duration::from_millis(backoff.next_wait_ms());
            if next_at >= deadline {
                return Err(PlatformError::Unknown(error.to_string()));
            }
            tokio::time::sleep_until(next_at).await;
        }
    }
}

/// Versions of the put rows once the transaction has taken effect.
fn versions_after(request: &TransactRequest) -> Result<Vec<u64>, PlatformError> {
    let mut versions = Vec::new();
    for mutation in &request.mutations {
        if let Mutation::Put { key, .. } = mutation {
            versions.push(version_after(&request.conditions, key)?);
        }
    }
    Ok(versions)
}

fn version_after(conditions: &[Condition], key: &str) -> Result<u64, PlatformError> {
    let condition = conditions.iter().find(|condition| condition.key == key);
    match condition.map(|condition| condition.expected) {
        Some(Expected::Absent) => Ok(1),
        Some(Expected::Version(version)) => Ok(version + 1),
        None => Err(PlatformError::Unconditioned(key.to_owned())),
    }
}
