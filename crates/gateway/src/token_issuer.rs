//! Token bucket of one upstream that states a rate limit. One instance issues the tokens to
//! all that want to send there.
//!
//! Load pattern: many instances have requests for an upstream that takes a few a second.
//! Equal shares of the rate would leave the shares of idle instances unused, and would
//! add up to more than the limit as soon as each may send one request. Whole tokens go to
//! the instances that ask, the one that has waited longest first.

use std::mem;

use serde::{Deserialize, Serialize};

/// Capacity of the bucket: one token, and those of this time at the stated rate, seconds.
const CAPACITY_S: f64 = 1.0;
/// Maximum number of tokens that one holder has not settled: one, and those of this time at
/// the stated rate, seconds.
const UNSETTLED_S: f64 = 0.2;
/// Rate at which tokens are issued at least, per second. An upstream that states that it
/// takes next to nothing is asked at this rate whether that is still so.
const RATE_MIN_PER_S: f64 = 0.2;
/// Time after the last notice in which an instance asked for tokens until it gets none,
/// milliseconds.
const DEMAND_LIFETIME_MS: u64 = 1_500;
const MS_PER_S: f64 = 1_000.0;

/// Issues the tokens of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct TokenIssuer {
    tokens: f64,
    /// Number of tokens that expired unused and are not in the bucket again yet.
    returned: u64,
    refilled_at_ms: u64,
    /// Sorted by holder.
    holders: Vec<HolderRow>,
}

/// An instance that asks for tokens.
#[derive(Debug, Clone)]
struct HolderRow {
    holder: u64,
    settled: SettledTokens,
    /// Number of tokens issued to it.
    issued: u64,
    last_issued_ms: u64,
    wants_until_ms: u64,
}

/// Tokens that a holder no longer has. Both counts only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SettledTokens {
    /// Number of tokens that were used or have expired.
    pub count: u64,
    /// Number of those that were not used.
    pub unused: u64,
}

impl HolderRow {
    fn unsettled(&self) -> u64 {
        self.issued - self.settled.count
    }
}

impl TokenIssuer {
    /// Creates an issuer with an empty bucket, because another instance may have issued
    /// the tokens until now.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            tokens: 0.0,
            returned: 0,
            refilled_at_ms: now_ms,
            holders: Vec::new(),
        }
    }

    /// Records that an instance asks for tokens after it has settled this number of them.
    pub(crate) fn record_demand(&mut self, holder: u64, settled: SettledTokens, now_ms: u64) {
        let wants_until_ms = now_ms + DEMAND_LIFETIME_MS;
        let found = self.holders.binary_search_by_key(&holder, |row| row.holder);
        match found {
            Ok(index) => {
                let row = &mut self.holders[index];
                let returned = settled.unused.saturating_sub(row.settled.unused);
                row.settled = row.settled.max(settled);
                row.issued = row.issued.max(settled.count);
                row.wants_until_ms = wants_until_ms;
                self.returned += returned;
            }
            Err(index) => self.holders.insert(
                index,
                HolderRow {
                    holder,
                    settled,
                    issued: settled.count,
                    last_issued_ms: 0,
                    wants_until_ms,
                },
            ),
        }
    }

    /// Issues the tokens that are available at a rate. Returns whether there were any.
    pub(crate) fn issue(&mut self, rate_per_s: f64, now_ms: u64) -> bool {
        let rate_per_s = rate_per_s.max(RATE_MIN_PER_S);
        self.refill(rate_per_s, now_ms);
        self.holders.retain(|row| now_ms < row.wants_until_ms);
        let unsettled_max = 1 + whole_tokens(rate_per_s * UNSETTLED_S);
        let mut has_issued = false;
        while self.tokens >= 1.0 {
            let waiting = self
                .holders
                .iter_mut()
                .filter(|row| row.unsettled() < unsettled_max);
            let Some(next) = waiting.min_by_key(|row| row.last_issued_ms) else {
                break;
            };
            next.issued += 1;
            next.last_issued_ms = now_ms;
            self.tokens -= 1.0;
            has_issued = true;
        }
        has_issued
    }

    /// Returns the holders that have not settled all their tokens, with the number of tokens
    /// issued to each so far.
    pub(crate) fn unsettled(&self) -> impl Iterator<Item = (u64, u64)> {
        let unsettled = self.holders.iter().filter(|row| row.unsettled() > 0);
        unsettled.map(|row| (row.holder, row.issued))
    }

    fn refill(&mut self, rate_per_s: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let refill =
            rate_per_s * elapsed_ms as f64 / MS_PER_S + mem::take(&mut self.returned) as f64;
        let capacity = 1.0 + rate_per_s * CAPACITY_S;
        self.tokens = (self.tokens + refill).min(capacity);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates"
)]
fn whole_tokens(tokens: f64) -> u64 {
    tokens as u64
}
