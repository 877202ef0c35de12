//! Tokens of one customer's quota at the delegate of a region, and the questions of requests
//! that wait for them.

use std::net::SocketAddr;

use crate::{token_issuer::whole_tokens, token_wallet::TokenWallet};

/// Time after which a token that was not used expires, milliseconds.
const TOKEN_LIFETIME_MS: u64 = 600;
/// Time for which a question waits for the answer of the issuer, milliseconds. It includes
/// a round trip between regions.
const WAIT_MAX_MS: u64 = 150;
/// Time in which an issuer that has stopped is replaced, milliseconds. Until then the
/// delegate sends requests at its region's part of the rate.
const REPLACEMENT_MS: u64 = 1_000;
/// Time after which the issuer should have answered, milliseconds.
const ANSWER_MS: u64 = 150;
/// Minimum time between two demands, milliseconds.
pub(crate) const DEMAND_INTERVAL_MS: u64 = 20;
/// Time after the last question in which the delegate asks for tokens, milliseconds.
const DEMAND_LIFETIME_MS: u64 = 1_000;
/// Time for which a delegate holds tokens ahead, milliseconds. It includes a round trip
/// between regions.
const AHEAD_MS: f64 = 150.0;
const MS_PER_S: f64 = 1_000.0;

/// The tokens that a delegate holds.
#[derive(Debug)]
pub(crate) struct Delegate {
    pub(crate) wallet: TokenWallet,
    /// When each request was sent ahead of a grant that did not cover it yet, oldest first.
    borrowed_ms: Vec<u64>,
    /// Questions that wait for the issuer's answer, oldest first.
    waiting: Vec<WaitingAsk>,
    /// When the issuer said that the quota is used up, and until when it expects no token.
    exhausted: Option<Exhausted>,
    /// Whether tokens have expired of which the issuer was not told.
    has_returned: bool,
    /// When the oldest demand was sent that has not been answered.
    unanswered_since_ms: Option<u64>,
    demanded_at_ms: Option<u64>,
    pub(crate) wanted_at_ms: u64,
    /// Number of refusals since the last token.
    refused: u32,
    recent: RecentCount,
}

/// Number of questions in the present second and the one before.
#[derive(Debug, Clone, Copy, Default)]
struct RecentCount {
    second: u64,
    count: u32,
    before: u32,
}

/// A quota that is used up.
#[derive(Debug, Clone, Copy)]
struct Exhausted {
    said_at_ms: u64,
    until_ms: u64,
}

/// Who asks whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Asker {
    Own,
    Peer(SocketAddr),
}

/// A question that waits for an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingAsk {
    pub(crate) asker: Asker,
    pub(crate) ask: u64,
    deadline_ms: u64,
}

/// What a delegate may do without tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DelegateTerms {
    /// Number of requests that may be sent ahead of a grant.
    pub(crate) reserve: u64,
    /// Rate of the region while the issuer does not answer, per second.
    pub(crate) rate_per_s: f64,
    /// Time over which the quota is judged, milliseconds.
    pub(crate) window_ms: u64,
}

/// What becomes of a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    Token,
    Reserve,
    Wait,
    Refuse,
}

impl Delegate {
    pub(crate) fn new() -> Self {
        Self {
            wallet: TokenWallet::new(TOKEN_LIFETIME_MS),
            borrowed_ms: Vec::new(),
            waiting: Vec::new(),
            exhausted: None,
            has_returned: false,
            unanswered_since_ms: None,
            demanded_at_ms: None,
            wanted_at_ms: 0,
            refused: 0,
            recent: RecentCount::default(),
        }
    }

    /// Decides about a question. It waits only if the issuer may have tokens.
    pub(crate) fn decide(&mut self, terms: DelegateTerms, now_ms: u64) -> Decision {
        self.wanted_at_ms = now_ms;
        self.recent.record(now_ms);
        self.expire(now_ms);
        if self.wallet.take() {
            return Decision::Token;
        }
        if self.may_borrow(terms, now_ms) {
            self.wallet.borrow_token();
            self.borrowed_ms.push(now_ms);
            return Decision::Reserve;
        }
        if self.is_exhausted(now_ms) || self.is_issuer_silent(now_ms) {
            self.refused += 1;
            return Decision::Refuse;
        }
        Decision::Wait
    }

    /// Lets a question wait.
    pub(crate) fn wait(&mut self, asker: Asker, ask: u64, now_ms: u64) {
        self.waiting.push(WaitingAsk {
            asker,
            ask,
            deadline_ms: now_ms + WAIT_MAX_MS,
        });
    }

    /// Returns the questions that can be answered now, each with whether its request may be
    /// sent.
    pub(crate) fn answer_waiting(&mut self, now_ms: u64) -> Vec<(WaitingAsk, bool)> {
        let is_exhausted = self.is_exhausted(now_ms);
        let mut answered = Vec::new();
        let mut still_waiting = Vec::new();
        for waiting in self.waiting.drain(..) {
            if self.wallet.take() {
                answered.push((waiting, true));
            } else if is_exhausted || waiting.deadline_ms <= now_ms {
                self.refused += 1;
                answered.push((waiting, false));
            } else {
                still_waiting.push(waiting);
            }
        }
        self.waiting = still_waiting;
        answered
    }

    /// Returns the number of tokens to have in hand: one for each question that waits, and
    /// those that will be used while the issuer answers.
    pub(crate) fn wanted(&self, now_ms: u64) -> u64 {
        let ahead = self.recent.per_s(now_ms) * AHEAD_MS / MS_PER_S;
        self.waiting.len() as u64 + whole_tokens(ahead)
    }

    /// Lets tokens expire.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.has_returned |= self.wallet.expire(now_ms);
    }

    /// Takes the tokens of a grant.
    pub(crate) fn receive(&mut self, granted: u64, exhausted_ms: u64, now_ms: u64) {
        self.unanswered_since_ms = None;
        if self.wallet.receive(granted, now_ms) {
            self.refused = 0;
        }
        let covered = self.borrowed_ms.len() - self.borrowed();
        self.borrowed_ms.drain(..covered);
        self.exhausted = (exhausted_ms > 0).then_some(Exhausted {
            said_at_ms: now_ms,
            until_ms: now_ms + exhausted_ms,
        });
    }

    /// Returns whether a demand should be sent now, and records it as sent.
    pub(crate) fn take_demand(&mut self, interval_ms: u64, now_ms: u64) -> bool {
        let is_wanted = now_ms < self.wanted_at_ms + DEMAND_LIFETIME_MS || self.has_returned;
        let is_due = self
            .demanded_at_ms
            .is_none_or(|sent_ms| now_ms >= sent_ms + interval_ms);
        let has_gap = self.wallet.tokens() == 0
            || self.has_returned
            || self.demanded_at_ms < Some(self.wanted_at_ms);
        if !(is_wanted && is_due && has_gap) {
            return false;
        }
        self.demanded_at_ms = Some(now_ms);
        self.has_returned = false;
        self.unanswered_since_ms.get_or_insert(now_ms);
        true
    }

    /// Returns whether a demand should be repeated.
    pub(crate) fn should_repeat(&self) -> bool {
        !self.waiting.is_empty() || self.has_returned || self.unanswered_since_ms.is_some()
    }

    /// Returns the time since the issuer said that the quota is used up, milliseconds.
    pub(crate) fn exhausted_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.exhausted?.said_at_ms))
    }

    /// Returns the time in which tokens for all that were refused are expected at a rate,
    /// milliseconds.
    pub(crate) fn token_expected_ms(&self, rate_per_s: f64) -> f64 {
        f64::from(self.refused.max(1)) * MS_PER_S / rate_per_s.max(f64::MIN_POSITIVE)
    }

    fn is_exhausted(&self, now_ms: u64) -> bool {
        self.exhausted
            .is_some_and(|exhausted| now_ms < exhausted.until_ms)
    }

    fn is_issuer_silent(&self, now_ms: u64) -> bool {
        self.unanswered_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + ANSWER_MS)
    }

    /// Returns whether a request may be sent ahead of a grant.
    fn may_borrow(&mut self, terms: DelegateTerms, now_ms: u64) -> bool {
        // A request that has left the window over which the quota is judged no longer counts.
        self.borrowed_ms
            .retain(|sent_ms| now_ms < sent_ms + terms.window_ms);
        let allowed = if self.is_issuer_silent(now_ms) {
            terms.reserve + whole_tokens(terms.rate_per_s * self.replaced_s(now_ms))
        } else if self
            .exhausted_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < terms.window_ms)
        {
            // The reserve is for customers that are within their quota.
            0
        } else {
            terms.reserve
        };
        (self.borrowed_ms.len() as u64) < allowed
    }

    /// Returns for how long the delegate replaces an issuer that is silent, seconds.
    fn replaced_s(&self, now_ms: u64) -> f64 {
        let silent_ms = self
            .unanswered_since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        let replaced_ms = silent_ms.saturating_sub(ANSWER_MS).min(REPLACEMENT_MS);
        ms_as_f64(replaced_ms) / MS_PER_S
    }

    fn borrowed(&self) -> usize {
        let borrowed = usize::try_from(self.wallet.borrowed()).unwrap_or(usize::MAX);
        borrowed.min(self.borrowed_ms.len())
    }
}

impl RecentCount {
    fn record(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.count += 1;
    }

    fn per_s(mut self, now_ms: u64) -> f64 {
        self.advance(now_ms);
        f64::from(self.count.max(self.before))
    }

    fn advance(&mut self, now_ms: u64) {
        let second = now_ms / 1_000;
        if second != self.second {
            let is_next = second == self.second + 1;
            self.before = if is_next { self.count } else { 0 };
            self.count = 0;
            self.second = second;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
fn ms_as_f64(ms: u64) -> f64 {
    ms as f64
}
