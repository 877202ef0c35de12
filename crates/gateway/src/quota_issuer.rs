//! Issues the tokens of one customer's quota to the delegates of all regions.

use std::net::SocketAddr;

use crate::{
    customers::Quota,
    quotas::QuotaTerms,
    token_issuer::{Demand, IssueTerms, TokenIssuer, whole_tokens},
    upstream_table::as_f64,
};

/// Number of tokens that a delegate holds beside the first, as the time in which the quota
/// grants them, seconds. It covers a round trip between regions.
const UNSETTLED_S: f64 = 0.1;
/// Maximum time for which delegates refuse requests without asking again, milliseconds.
const EXHAUSTED_MS: u64 = 150;
/// Rate from which on each token finds a request in that time anyway, per second.
const FREQUENT_PER_S: f64 = 30.0;
/// Time for which a delegate that no longer asks may still return tokens, milliseconds.
const RETURN_MS: u64 = 30_000;
/// Tokens that may be issued beyond the quota, as parts of the slack and of what the quota
/// allows in a window. They make up for tokens that other delegates hold.
const SLACK_SHARE: f64 = 0.25;
const EXCESS_SHARE: f64 = 0.05;
const MS_PER_S: f64 = 1_000.0;

/// Issues the tokens of one quota.
#[derive(Debug)]
pub(crate) struct QuotaIssuer {
    issuer: TokenIssuer,
    /// Sorted by holder.
    holders: Vec<HolderRow>,
}

#[derive(Debug)]
struct HolderRow {
    holder: u64,
    /// `None` for this instance itself.
    address: Option<SocketAddr>,
    /// Number of tokens of which the holder was told.
    told: u64,
}

/// Tokens of which a holder is to be told.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuotaGrant {
    pub(crate) holder: u64,
    /// `None` for this instance itself.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) granted: u64,
    /// Time for which no token is expected, milliseconds.
    pub(crate) exhausted_ms: u64,
}

impl QuotaIssuer {
    /// Creates an issuer that has issued all tokens since `since_ms`.
    pub(crate) fn new(since_ms: u64) -> Self {
        Self {
            issuer: TokenIssuer::new(since_ms),
            holders: Vec::new(),
        }
    }

    /// Answers a demand of a holder.
    pub(crate) fn answer(
        &mut self,
        demand: Demand,
        address: Option<SocketAddr>,
        terms: IssueTerms,
        now_ms: u64,
    ) -> QuotaGrant {
        let holder = demand.holder;
        let index = match self.holders.binary_search_by_key(&holder, |row| row.holder) {
            Ok(index) => index,
            Err(index) => {
                let row = HolderRow {
                    holder,
                    address,
                    told: 0,
                };
                self.holders.insert(index, row);
                index
            }
        };
        self.issuer.record_demand(demand, now_ms);
        self.issuer.issue(terms, now_ms);
        let granted = self.issuer.issued(holder).unwrap_or(demand.granted);
        let exhausted_ms = exhausted_ms(&self.issuer, terms);
        if exhausted_ms > 0 && terms.rate_per_s < FREQUENT_PER_S {
            // The requests that wait there are refused, and a token would find none.
            self.issuer.end_demand(holder, now_ms);
        }
        let row = &mut self.holders[index];
        row.address = address;
        row.told = granted;
        QuotaGrant {
            holder,
            address,
            granted,
            exhausted_ms,
        }
    }

    /// Issues the tokens that have become available. Returns what holders are to be told.
    pub(crate) fn issue(&mut self, terms: IssueTerms, now_ms: u64) -> Vec<QuotaGrant> {
        self.issuer.issue(terms, now_ms);
        let issuer = &self.issuer;
        self.holders
            .retain(|row| issuer.issued(row.holder).is_some());
        let exhausted_ms = exhausted_ms(issuer, terms);
        let mut grants = Vec::new();
        for row in &mut self.holders {
            let granted = issuer.issued(row.holder).unwrap_or(row.told);
            if granted > row.told {
                row.told = granted;
                grants.push(QuotaGrant {
                    holder: row.holder,
                    address: row.address,
                    granted,
                    exhausted_ms,
                });
            }
        }
        grants
    }

    /// Returns whether no delegate has asked for tokens lately.
    pub(crate) fn is_idle(&self) -> bool {
        self.holders.is_empty()
    }
}

/// Returns the time for which delegates should not ask again, milliseconds.
fn exhausted_ms(issuer: &TokenIssuer, terms: IssueTerms) -> u64 {
    let next_token_ms = issuer.next_token_ms(terms.rate_per_s);
    if next_token_ms == 0 {
        0
    } else if terms.rate_per_s >= FREQUENT_PER_S {
        EXHAUSTED_MS
    } else {
        next_token_ms.min(EXHAUSTED_MS)
    }
}

impl IssueTerms {
    /// Returns the terms for a share of a customer's quota.
    pub(crate) fn for_quota(quota: Quota, terms: QuotaTerms, share: f64) -> Self {
        let rate_per_s = quota.requests_per_s * share;
        let in_window = quota.requests_per_s * as_f64(terms.window_ms) / MS_PER_S + quota.burst;
        Self {
            rate_per_s,
            capacity: quota.burst.max(1.0) * share,
            excess_capacity: (as_f64(terms.slack) * SLACK_SHARE + in_window * EXCESS_SHARE) * share,
            unsettled_max: 1 + whole_tokens(rate_per_s * UNSETTLED_S),
            return_ms: RETURN_MS,
        }
    }
}
