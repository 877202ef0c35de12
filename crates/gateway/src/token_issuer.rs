//! Token bucket of one rate limit: that of an upstream that states one, or the quota of a
//! customer. One instance issues the tokens to all that want to send.
//!
//! Load pattern: many instances have requests under a limit of a few a second.
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

/// Terms on which tokens are issued.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IssueTerms {
    pub(crate) rate_per_s: f64,
    /// Capacity of the bucket, tokens.
    pub(crate) capacity: f64,
    /// Capacity of a second bucket, which takes what the first has no room for, tokens.
    pub(crate) excess_capacity: f64,
    /// Maximum number of tokens that one holder has not settled.
    pub(crate) unsettled_max: u64,
    /// Time for which a holder that no longer asks may still return tokens, milliseconds.
    pub(crate) return_ms: u64,
}

/// An instance asks for tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    pub(crate) holder: u64,
    pub(crate) settled: SettledTokens,
    /// Number of tokens that the holder knows to have been issued to it. What it has settled
    /// beyond was used ahead of a grant.
    pub(crate) granted: u64,
    /// Number of tokens that the holder wants to have in hand.
    pub(crate) wanted: u64,
}

/// Issues the tokens of one limit.
#[derive(Debug, Clone)]
pub(crate) struct TokenIssuer {
    /// Negative while more was used ahead of grants than has been refilled.
    tokens: f64,
    /// Tokens of the second bucket, which are issued when the first is empty.
    excess: f64,
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
    /// Number of tokens that it wants to have in hand.
    wanted: u64,
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

impl TokenIssuer {
    /// Creates an issuer whose bucket was empty at `since_ms`, because another instance may
    /// have issued the tokens until then.
    pub(crate) fn new(since_ms: u64) -> Self {
        Self {
            tokens: 0.0,
            excess: 0.0,
            returned: 0,
            refilled_at_ms: since_ms,
            holders: Vec::new(),
        }
    }

    /// Records that an instance asks for tokens. What it used ahead of a grant is taken from
    /// the bucket, unless it did so before it asked here: then no issuer was there.
    pub(crate) fn record_demand(&mut self, demand: Demand, now_ms: u64) {
        let Demand {
            holder,
            settled,
            granted,
            wanted,
        } = demand;
        let index = match self.holders.binary_search_by_key(&holder, |row| row.holder) {
            Ok(index) => index,
            Err(index) => {
                let row = HolderRow::new(holder, settled, granted);
                self.holders.insert(index, row);
                index
            }
        };
        let row = &mut self.holders[index];
        self.returned += settled.unused.saturating_sub(row.settled.unused);
        row.settled = row.settled.max(settled);
        let issued = row.issued.max(granted);
        row.issued = issued.max(settled.count);
        row.wanted = wanted;
        row.wants_until_ms = now_ms + DEMAND_LIFETIME_MS;
        self.tokens -= count_as_f64(row.issued - issued);
        self.cover_debt();
    }

    /// Records that a holder has given up those requests for which it asked for tokens.
    pub(crate) fn end_demand(&mut self, holder: u64, now_ms: u64) {
        let found = self.holders.binary_search_by_key(&holder, |row| row.holder);
        if let Ok(index) = found {
            self.holders[index].wants_until_ms = now_ms;
        }
    }

    /// Issues the tokens that are available. Returns whether there were any.
    pub(crate) fn issue(&mut self, terms: IssueTerms, now_ms: u64) -> bool {
        self.refill(terms, now_ms);
        self.holders
            .retain(|row| now_ms < row.wants_until_ms + terms.return_ms);
        let mut has_issued = false;
        while !self.is_empty() {
            let waiting = self
                .holders
                .iter_mut()
                .filter(|row| now_ms < row.wants_until_ms)
                .filter(|row| row.unsettled() < row.wanted.min(terms.unsettled_max));
            let Some(next) = waiting.min_by_key(|row| row.last_issued_ms) else {
                break;
            };
            next.issued += 1;
            next.last_issued_ms = now_ms;
            let bucket = if self.tokens >= 1.0 {
                &mut self.tokens
            } else {
                &mut self.excess
            };
            *bucket -= 1.0;
            has_issued = true;
        }
        has_issued
    }

    /// Returns the number of tokens issued to a holder so far, if it has asked lately.
    pub(crate) fn issued(&self, holder: u64) -> Option<u64> {
        let index = self.holders.binary_search_by_key(&holder, |row| row.holder);
        Some(self.holders[index.ok()?].issued)
    }

    /// Returns the time until a token is available, milliseconds.
    pub(crate) fn next_token_ms(&self, rate_per_s: f64) -> u64 {
        if !self.is_empty() {
            return 0;
        }
        let missing = 1.0 - self.tokens;
        whole_tokens(missing * MS_PER_S / rate_per_s.max(f64::MIN_POSITIVE)).saturating_add(1)
    }

    /// Returns whether no whole token is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.tokens < 1.0 && self.excess < 1.0
    }

    /// Returns the holders that have not settled all their tokens, with the number of tokens
    /// issued to each so far.
    pub(crate) fn unsettled(&self) -> impl Iterator<Item = (u64, u64)> {
        let unsettled = self.holders.iter().filter(|row| row.unsettled() > 0);
        unsettled.map(|row| (row.holder, row.issued))
    }

    /// Covers what was used ahead of grants from the second bucket.
    fn cover_debt(&mut self) {
        let covered = (-self.tokens).clamp(0.0, self.excess);
        self.tokens += covered;
        self.excess -= covered;
    }

    fn refill(&mut self, terms: IssueTerms, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        let returned = count_as_f64(mem::take(&mut self.returned));
        let refill = terms.rate_per_s * count_as_f64(elapsed_ms) / MS_PER_S;
        let tokens = self.tokens + refill + returned;
        let overflow = (tokens - terms.capacity).max(0.0);
        self.tokens = tokens - overflow;
        self.excess = (self.excess + overflow).min(terms.excess_capacity);
    }
}

impl HolderRow {
    fn new(holder: u64, settled: SettledTokens, granted: u64) -> Self {
        Self {
            holder,
            settled,
            issued: granted.max(settled.count),
            last_issued_ms: 0,
            wanted: 0,
            wants_until_ms: 0,
        }
    }

    fn unsettled(&self) -> u64 {
        self.issued - self.settled.count
    }
}

impl Demand {
    /// Returns the demand of a holder that uses no tokens ahead of a grant.
    pub(crate) fn settled(holder: u64, settled: SettledTokens) -> Self {
        Self {
            holder,
            settled,
            granted: settled.count,
            wanted: u64::MAX,
        }
    }
}

impl IssueTerms {
    /// Returns the terms for an upstream that states a rate limit.
    pub(crate) fn for_upstream(rate_per_s: f64) -> Self {
        let rate_per_s = rate_per_s.max(RATE_MIN_PER_S);
        Self {
            rate_per_s,
            capacity: 1.0 + rate_per_s * CAPACITY_S,
            excess_capacity: 0.0,
            unsettled_max: 1 + whole_tokens(rate_per_s * UNSETTLED_S),
            return_ms: 0,
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times are far below 2^52"
)]
fn count_as_f64(count: u64) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates"
)]
pub(crate) fn whole_tokens(tokens: f64) -> u64 {
    tokens as u64
}
