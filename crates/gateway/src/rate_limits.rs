//! Rate limits that upstreams state in their answers, for all instances together.
//!
//! Load pattern: an upstream in need states that it takes a few requests a second, and
//! every instance has requests for it. For each such upstream one instance issues tokens
//! at the stated rate, see `token_issuer`. Each request sent takes a token, whatever
//! becomes of it. Tokens that are not used soon expire.
//!
//! The instances exchange limits, demands and grants with their load notices. Demands and
//! grants are counts that only grow, so that lost, late and repeated notices add nothing.

use serde::{Deserialize, Serialize};

use crate::{
    token_issuer::{Demand, IssueTerms, SettledTokens, TokenIssuer},
    token_wallet::TokenWallet,
};

/// Time after which a token that was not used expires, milliseconds.
const TOKEN_LIFETIME_MS: u64 = 600;
/// Time for which only online requests may use a token, milliseconds. Batch items use the
/// ones that are left.
const ONLINE_FIRST_MS: u64 = 300;
/// Time for which peers are told of an answer that stated a limit, or none any more,
/// milliseconds.
const STATEMENT_NOTICE_MS: u64 = 5_000;
/// Maximum rate that is kept as a limit, per second. No upstream gets more requests than
/// this anyway.
const LIMIT_MAX_PER_S: f64 = 1_000.0;
/// Maximum number of statements and of grants in a notice.
const NOTICE_ENTRIES_MAX: usize = 64;

/// What one instance tells its peers about rate limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Limits that answers to the instance stated lately.
    pub statements: Vec<LimitStatement>,
    /// Upstreams for which the instance asks for tokens.
    pub demands: Vec<TokenDemand>,
    /// Tokens that the instance has issued.
    pub grants: Vec<TokenGrant>,
}

/// What the last answer of an upstream to one instance said of its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// Hash of the upstream's incarnation.
    pub incarnation: u64,
    /// The limit; `None` if the upstream states none any more.
    pub requests_per_s: Option<f64>,
    /// Age of the answer, milliseconds.
    pub age_ms: u64,
}

/// An instance asks for tokens of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// Hash of the upstream's incarnation.
    pub incarnation: u64,
    /// Random id of the process that asks.
    pub holder: u64,
    /// Tokens that the process has used or let expire.
    pub settled: SettledTokens,
}

/// Number of tokens of an upstream that a process was granted so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Hash of the upstream's incarnation.
    pub incarnation: u64,
    /// Random id of the process.
    pub holder: u64,
    /// Number of tokens.
    pub granted: u64,
}

/// What this instance does about one limited upstream at present.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitRole {
    pub(crate) incarnation: u64,
    pub(crate) rank: DemandRank,
    /// Whether this instance has requests for the upstream.
    pub(crate) has_demand: bool,
    /// Share of the rate at which this instance issues tokens; `None` if it does not.
    pub(crate) issued_share: Option<f64>,
}

/// Order in which an instance asks for tokens: first in its own region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandRank {
    pub(crate) is_in_other_region: bool,
    /// Differs between instances, so that they do not all ask for the same upstreams.
    pub(crate) own_order: u64,
}

/// The upstreams that state a rate limit.
#[derive(Debug, Clone)]
pub(crate) struct RateLimits {
    /// Random id of this process.
    holder: u64,
    /// Sorted by incarnation.
    rows: Vec<LimitRow>,
}

#[derive(Debug, Clone)]
struct LimitRow {
    incarnation: u64,
    /// `None` if the upstream states no limit any more.
    requests_per_s: Option<f64>,
    stated_at_ms: u64,
    /// What the last answer to this instance itself said.
    own_statement: Option<Statement>,
    wallet: TokenWallet,
    has_demand: bool,
    /// `None` while another instance issues the tokens.
    issuer: Option<TokenIssuer>,
}

/// What an answer said of its upstream's limit.
#[derive(Debug, Clone, Copy)]
struct Statement {
    requests_per_s: Option<f64>,
    stated_at_ms: u64,
}

impl RateLimits {
    /// Creates an empty table for the process with a random id.
    pub(crate) fn new(holder: u64) -> Self {
        Self {
            holder,
            rows: Vec::new(),
        }
    }

    /// Returns whether no upstream states a limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the limit of an upstream, if it states one.
    pub(crate) fn limit_per_s(&self, incarnation: u64) -> Option<f64> {
        let index = self.find(incarnation).ok()?;
        self.rows[index].requests_per_s
    }

    /// Returns the hashes of the upstreams that state a limit.
    pub(crate) fn limited(&self) -> impl Iterator<Item = u64> {
        let limited = self.rows.iter().filter(|row| row.requests_per_s.is_some());
        limited.map(|row| row.incarnation)
    }

    /// Records what an answer to this instance says. Returns whether the limit has changed.
    pub(crate) fn record_statement(
        &mut self,
        incarnation: u64,
        requests_per_s: Option<f64>,
        now_ms: u64,
    ) -> bool {
        if requests_per_s.is_none() && self.find(incarnation).is_err() {
            return false;
        }
        let row = self.row(incarnation);
        row.own_statement = Some(Statement {
            requests_per_s,
            stated_at_ms: now_ms,
        });
        row.adopt(requests_per_s, now_ms)
    }

    /// Returns whether a request may be sent to an upstream.
    pub(crate) fn may_send(&self, incarnation: u64, now_ms: u64) -> bool {
        self.tokens_until(incarnation, now_ms, u64::MAX)
            .is_none_or(|tokens| tokens > 0)
    }

    /// Returns the number of batch items that may be sent to an upstream; `None` if it
    /// states no limit.
    pub(crate) fn batch_tokens(&self, incarnation: u64, now_ms: u64) -> Option<usize> {
        let until_ms = now_ms + TOKEN_LIFETIME_MS - ONLINE_FIRST_MS;
        self.tokens_until(incarnation, now_ms, until_ms)
    }

    /// Returns the number of tokens in hand that expire after `now_ms` and no later than
    /// `until_ms`; `None` if the upstream states no limit.
    fn tokens_until(&self, incarnation: u64, now_ms: u64, until_ms: u64) -> Option<usize> {
        let row = &self.rows[self.find(incarnation).ok()?];
        row.requests_per_s?;
        Some(row.wallet.tokens_in(now_ms + 1..=until_ms))
    }

    /// Takes the token for a request that is sent to an upstream.
    pub(crate) fn take_token(&mut self, incarnation: u64) {
        if let Ok(index) = self.find(incarnation) {
            self.rows[index].wallet.take();
        }
    }

    /// Lets tokens expire, issues new ones, and forgets limits that have ended. Returns
    /// whether peers should be told.
    pub(crate) fn update(&mut self, roles: &[LimitRole], now_ms: u64) -> bool {
        self.rows.retain(|row| {
            let is_served = roles.iter().any(|role| role.incarnation == row.incarnation);
            let is_recent = now_ms < row.stated_at_ms + STATEMENT_NOTICE_MS;
            is_recent || (is_served && row.requests_per_s.is_some())
        });
        let holder = self.holder;
        let mut is_news = false;
        for role in roles {
            if let Ok(index) = self.find(role.incarnation) {
                is_news |= self.rows[index].update(*role, holder, now_ms);
            }
        }
        is_news
    }

    /// Adds what a peer says. Returns whether this instance got tokens.
    pub(crate) fn receive(&mut self, notice: &LimitNotice, now_ms: u64) -> bool {
        for statement in &notice.statements {
            let stated_at_ms = now_ms.saturating_sub(statement.age_ms);
            if statement.requests_per_s.is_some() || self.find(statement.incarnation).is_ok() {
                let row = self.row(statement.incarnation);
                row.adopt(statement.requests_per_s, stated_at_ms);
            }
        }
        for demand in &notice.demands {
            if let Ok(index) = self.find(demand.incarnation)
                && let Some(issuer) = &mut self.rows[index].issuer
            {
                issuer.record_demand(demand.into(), now_ms);
            }
        }
        let mut has_tokens = false;
        let own_grants = notice.grants.iter();
        for grant in own_grants.filter(|grant| grant.holder == self.holder) {
            if let Ok(index) = self.find(grant.incarnation) {
                has_tokens |= self.rows[index].wallet.receive(grant.granted, now_ms);
            }
        }
        has_tokens
    }

    /// Returns what peers should know, or `None` if there is nothing.
    pub(crate) fn notice(&self, now_ms: u64) -> Option<LimitNotice> {
        if self.rows.is_empty() {
            return None;
        }
        let statements = self.rows.iter().filter_map(|row| row.statement(now_ms));
        let demands = self.rows.iter().filter(|row| row.has_demand);
        let grants = self.rows.iter().flat_map(LimitRow::grants);
        Some(LimitNotice {
            statements: statements.take(NOTICE_ENTRIES_MAX).collect(),
            demands: demands.map(|row| row.demand(self.holder)).collect(),
            grants: grants.take(NOTICE_ENTRIES_MAX).collect(),
        })
    }

    fn find(&self, incarnation: u64) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&incarnation, |row| row.incarnation)
    }

    fn row(&mut self, incarnation: u64) -> &mut LimitRow {
        let index = match self.find(incarnation) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, LimitRow::new(incarnation));
                index
            }
        };
        &mut self.rows[index]
    }
}

impl LimitRow {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            requests_per_s: None,
            stated_at_ms: 0,
            own_statement: None,
            wallet: TokenWallet::new(TOKEN_LIFETIME_MS),
            has_demand: false,
            issuer: None,
        }
    }

    /// Adopts a statement unless a later one is known. Returns whether the limit has
    /// changed.
    fn adopt(&mut self, requests_per_s: Option<f64>, stated_at_ms: u64) -> bool {
        if stated_at_ms < self.stated_at_ms {
            return false;
        }
        let requests_per_s = requests_per_s.filter(|limit| *limit <= LIMIT_MAX_PER_S);
        self.stated_at_ms = stated_at_ms;
        let before = self.requests_per_s;
        self.requests_per_s = requests_per_s;
        let is_lowered = before.is_none_or(|before| requests_per_s < Some(before));
        if is_lowered {
            self.wallet.return_all();
        }
        before != requests_per_s
    }

    fn update(&mut self, role: LimitRole, holder: u64, now_ms: u64) -> bool {
        let mut is_news = self.wallet.expire(now_ms);
        is_news |= self.has_demand != role.has_demand;
        self.has_demand = role.has_demand;
        let Some((share, requests_per_s)) = role.issued_share.zip(self.requests_per_s) else {
            self.issuer = None;
            return is_news;
        };
        let issuer = self.issuer.get_or_insert_with(|| TokenIssuer::new(now_ms));
        if role.has_demand {
            issuer.record_demand(Demand::settled(holder, self.wallet.settled()), now_ms);
        }
        if issuer.issue(IssueTerms::for_upstream(requests_per_s * share), now_ms) {
            is_news = true;
            let own = issuer.unsettled().find(|(other, _)| *other == holder);
            let granted = own.map_or(0, |(_, granted)| granted);
            self.wallet.receive(granted, now_ms);
        }
        is_news
    }

    fn statement(&self, now_ms: u64) -> Option<LimitStatement> {
        let Statement {
            requests_per_s,
            stated_at_ms,
        } = self.own_statement?;
        let age_ms = now_ms.saturating_sub(stated_at_ms);
        (age_ms < STATEMENT_NOTICE_MS).then_some(LimitStatement {
            incarnation: self.incarnation,
            requests_per_s,
            age_ms,
        })
    }

    /// Returns the grants of which not all tokens are settled yet.
    fn grants(&self) -> impl Iterator<Item = TokenGrant> {
        let unsettled = self.issuer.iter().flat_map(TokenIssuer::unsettled);
        unsettled.map(|(holder, granted)| TokenGrant {
            incarnation: self.incarnation,
            holder,
            granted,
        })
    }

    fn demand(&self, holder: u64) -> TokenDemand {
        TokenDemand {
            incarnation: self.incarnation,
            holder,
            settled: self.wallet.settled(),
        }
    }
}

impl From<&TokenDemand> for Demand {
    fn from(demand: &TokenDemand) -> Self {
        Self::settled(demand.holder, demand.settled)
    }
}
