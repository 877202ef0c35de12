//! Tokens that an instance holds under one rate limit.
//!
//! Load pattern: requests come in bursts, and the instance that issues the tokens may be far
//! away. Tokens that were granted ahead are used at once. Where the terms allow it, a few
//! requests are sent ahead of a grant, and the issuer takes their tokens from the bucket
//! when it hears of them.

use std::ops::RangeInclusive;

use crate::token_issuer::SettledTokens;

/// Maximum number of tokens that are taken from one grant. A larger number is due to
/// grants that this instance did not see for long.
const GRANT_MAX: u64 = 1_000;

/// Tokens of this instance under one rate limit.
#[derive(Debug, Clone)]
pub(crate) struct TokenWallet {
    token_lifetime_ms: u64,
    /// Number of tokens that were granted so far.
    granted: u64,
    /// Number of tokens that were used ahead of a grant and are not granted yet.
    borrowed: u64,
    settled: SettledTokens,
    /// When each token in hand expires, oldest first.
    expiries_ms: Vec<u64>,
}

impl TokenWallet {
    /// Creates an empty wallet whose tokens expire after this time.
    pub(crate) fn new(token_lifetime_ms: u64) -> Self {
        Self {
            token_lifetime_ms,
            granted: 0,
            borrowed: 0,
            settled: SettledTokens::default(),
            expiries_ms: Vec::new(),
        }
    }

    /// Returns the tokens that were used or have expired.
    pub(crate) fn settled(&self) -> SettledTokens {
        self.settled
    }

    /// Returns the number of tokens that were granted so far.
    pub(crate) fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns the number of tokens that were used ahead of a grant.
    pub(crate) fn borrowed(&self) -> u64 {
        self.borrowed
    }

    /// Returns the number of tokens in hand.
    pub(crate) fn tokens(&self) -> usize {
        self.expiries_ms.len()
    }

    /// Returns the number of tokens in hand that expire in a range of times.
    pub(crate) fn tokens_in(&self, range_ms: RangeInclusive<u64>) -> usize {
        let expiries_ms = self.expiries_ms.iter();
        expiries_ms
            .filter(|expiry_ms| range_ms.contains(expiry_ms))
            .count()
    }

    /// Takes the tokens that were granted since the last grant. Those that were used ahead
    /// are covered first. Returns whether any are in hand that were not before.
    pub(crate) fn receive(&mut self, granted: u64, now_ms: u64) -> bool {
        let new_tokens = granted.saturating_sub(self.granted);
        self.granted = self.granted.max(granted);
        let covered = new_tokens.min(self.borrowed);
        self.borrowed -= covered;
        let in_hand = (new_tokens - covered).min(GRANT_MAX);
        let expires_ms = now_ms + self.token_lifetime_ms;
        self.expiries_ms.extend((0..in_hand).map(|_| expires_ms));
        self.count_settled();
        in_hand > 0
    }

    /// Uses a token in hand, the oldest one first. Returns whether there was one.
    pub(crate) fn take(&mut self) -> bool {
        self.settle(1) > 0
    }

    /// Uses a token ahead of a grant.
    pub(crate) fn borrow_token(&mut self) {
        self.borrowed += 1;
        self.count_settled();
    }

    /// Settles all tokens in hand, which were not used.
    pub(crate) fn return_all(&mut self) {
        self.return_tokens(usize::MAX);
    }

    /// Settles the tokens that have expired. Returns whether there were any.
    pub(crate) fn expire(&mut self, now_ms: u64) -> bool {
        let expired = self
            .expiries_ms
            .partition_point(|expiry_ms| *expiry_ms <= now_ms);
        self.return_tokens(expired);
        expired > 0
    }

    /// Settles up to `count` tokens, the oldest ones first. Returns how many there were.
    fn settle(&mut self, count: usize) -> u64 {
        let count = count.min(self.expiries_ms.len());
        self.expiries_ms.drain(..count);
        self.count_settled();
        count as u64
    }

    /// Settles up to `count` tokens that were not used.
    fn return_tokens(&mut self, count: usize) {
        self.settled.unused += self.settle(count);
    }

    fn count_settled(&mut self) {
        self.settled.count = self.granted + self.borrowed - self.expiries_ms.len() as u64;
    }
}
