//! Which failed attempts may be retried, and how often.

use model::{ErrorKind, Ran};

/// Retry budget: retries are limited to a ratio of the accepted requests.
///
/// The balance never exceeds a small capacity, so that the retries saved up in a
/// long idle period cannot cause a retry storm.
#[derive(Debug)]
pub struct RetryBudget {
    retry_ratio: f64,
    capacity: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget of one retry per ten requests, with a capacity of
    /// ten retries.
    #[must_use]
    pub fn new() -> Self {
        Self {
            retry_ratio: 0.1,
            capacity: 10.0,
            balance: 10.0,
        }
    }

    /// Sets how many retries each request adds to the budget.
    #[must_use]
    pub fn with_retry_ratio(mut self, retry_ratio: f64) -> Self {
        self.retry_ratio = retry_ratio;
        self
    }

    /// Sets the maximum number of retries saved up, and fills the budget.
    #[must_use]
    pub fn with_capacity(mut self, retries: u32) -> Self {
        self.capacity = f64::from(retries);
        self.balance = self.capacity;
        self
    }

    /// Records that a request (not a retry) was accepted.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.retry_ratio).min(self.capacity);
    }

    /// Takes one retry from the budget and returns true, or returns false if the
    /// budget holds no complete retry.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether a failed attempt may be repeated: a request that is not
/// idempotent must not run twice, and no token may be sent to the caller twice.
///
/// A stream that broke after tokens were forwarded to the caller is continued
/// instead of repeated. This function returns false for it, and its user handles
/// the continuation.
#[must_use]
pub fn retry_is_safe(kind: ErrorKind, idempotent: bool, tokens_forwarded: u32) -> bool {
    match kind {
        ErrorKind::ConnectRefused | ErrorKind::UpstreamRefused | ErrorKind::UpstreamLeaving => true,
        ErrorKind::UpstreamFailed | ErrorKind::ConnectionLost | ErrorKind::StreamCut => {
            idempotent && tokens_forwarded == 0 && kind.answer().ran != Ran::No
        }
        _ => false,
    }
}
