//! What may be sent again, and how often.

use model::{ErrorKind, Ran};

/// A budget of retries as a share of requests.
///
/// The balance never exceeds a small reserve, so that a long quiet time does
/// not save up for a storm of retries.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    balance: f64,
}

impl RetryBudget {
    /// A budget of one retry in ten requests, with a reserve of ten retries.
    #[must_use]
    pub fn new() -> Self {
        Self {
            share: 0.1,
            reserve: 10.0,
            balance: 10.0,
        }
    }

    /// Sets how many retries each request pays for.
    #[must_use]
    pub fn with_retry_ratio(mut self, share: f64) -> Self {
        self.share = share;
        self
    }

    /// Sets the largest number of retries saved up, and starts with it.
    #[must_use]
    pub fn with_capacity(mut self, retries: u32) -> Self {
        self.reserve = f64::from(retries);
        self.balance = self.reserve;
        self
    }

    /// A request (not a retry) was accepted.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Takes one retry out of the budget, if it holds one.
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

/// Whether a failed attempt may be repeated without running a request that is
/// not idempotent twice, or showing the caller a token twice.
///
/// A stream that broke after tokens were passed on is not repeated but
/// continued, which the caller of this function decides by itself.
#[must_use]
pub fn retry_is_safe(kind: ErrorKind, idempotent: bool, tokens_passed_on: u32) -> bool {
    match kind {
        ErrorKind::ConnectRefused | ErrorKind::UpstreamRefused | ErrorKind::UpstreamLeaving => true,
        ErrorKind::UpstreamFailed | ErrorKind::ConnectionLost | ErrorKind::StreamCut => {
            idempotent && tokens_passed_on == 0 && kind.answer().ran != Ran::No
        }
        _ => false,
    }
}
