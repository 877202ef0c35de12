//! Delays calls until the call limiter admits them.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use platform::StoreError;

use crate::{Admission, CallLimiter, CallOutcome, Operation, Priority};

/// A [`CallLimiter`] with a clock, shared by all handles of one process.
#[derive(Debug)]
pub(crate) struct SharedLimiter {
    limiter: Mutex<CallLimiter>,
    started_at: Instant,
}

impl SharedLimiter {
    pub(crate) fn new(limiter: CallLimiter) -> Self {
        Self {
            limiter: Mutex::new(limiter),
            started_at: Instant::now(),
        }
    }

    /// Waits until the limiter admits a call. Fails at once with
    /// [`StoreError::NotDone`] if the limiter cannot admit it before `deadline`.
    pub(crate) async fn admit(
        &self,
        priority: Priority,
        operation: Operation,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        loop {
            let admission = self.lock().admit(priority, operation, self.now_ms());
            let Admission::Wait { until_ms } = admission else {
                return Ok(());
            };
            let next_at = self.started_at + Duration::from_millis(until_ms);
            if next_at >= deadline {
                let message =
                    "the circuit breaker or the rate limit defers the call past its time-out";
                return Err(StoreError::NotDone(message.to_owned()));
            }
            tokio::time::sleep_until(next_at).await;
        }
    }

    /// Records the result of an admitted call.
    pub(crate) fn record<T>(&self, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) | Err(StoreError::Protocol(_) | StoreError::HistoryGone) => CallOutcome::Answered,
            Err(StoreError::NotDone(_) | StoreError::Unknown(_)) => CallOutcome::Failed,
        };
        self.lock().record(outcome, self.now_ms());
    }

    pub(crate) fn set_live_instances(&self, instances: u32) {
        self.lock().set_live_instances(instances, self.now_ms());
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, CallLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
