//! Quotas of customers: limits on their online requests, for all instances together.
//!
//! Load pattern: thousands of customers send a few requests a second, each of them through
//! dozens of instances, and one of them suddenly sends many times its usual. Equal shares
//! of a quota would refuse what it allows, and counts that are told afterwards would miss
//! what is sent meanwhile.
//!
//! A request asks the delegate of its customer in its region, which holds tokens for all
//! instances there. Delegates ask the issuer, whose bucket fills at the rate of the quota
//! and holds its burst. A new issuer begins with an empty bucket, and an instance that hears
//! only some of the others issues their share of the rate, so that no time is granted twice.
//! While a delegate waits for the issuer it sends a few requests from its reserve.
//!
//! The rule that these decisions keep: in any window, all instances together send at most
//! (rate times window plus burst) times 1.1 plus the slack of the settings.

use std::net::SocketAddr;

use model::{InstanceId, Region};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    customers::{Customer, CustomerTable, Quota, QuotaTerms, customer_hash},
    quota_delegate::{Asker, DEMAND_INTERVAL_MS, Decision, Delegate, DelegateTerms, WaitingAsk},
    quota_fleet::QuotaFleet,
    quota_issuer::{QuotaGrant, QuotaIssuer},
    quota_message::{QuotaAction, QuotaMessage, QuotaPeer, QuotaSource, QuotaVerdict},
    token_issuer::{Demand, IssueTerms},
    upstream_table::round_ms,
};

/// Interval at which a delegate that has no token repeats its demand, milliseconds.
const DEMAND_REPEAT_MS: u64 = 50;
/// Time in which all instances agree on an issuer, milliseconds.
const AGREEMENT_MS: u64 = 1_500;
/// Time between two updates from which on the process counts as having been frozen,
/// milliseconds.
const FROZEN_MS: u64 = 1_200;
/// Time after which a customer that sends nothing is forgotten, milliseconds: longer than issuers
/// remember a holder, so that a new row does not take what was granted before for new tokens.
const IDLE_MS: u64 = 60_000;
/// Number of delegates that are asked before an instance decides itself.
const DELEGATES_ASKED: usize = 2;
/// The delegates may together send this part of the slack ahead of grants.
const RESERVE_DIVISOR: u64 = 2;
/// Range of the retry delay, milliseconds.
const RETRY_MIN_MS: f64 = 100.0;
const RETRY_MAX_MS: f64 = 5_000.0;

/// The quotas of all customers, as far as this instance deals with them.
#[derive(Debug)]
pub struct Quotas {
    /// Random id of this process.
    holder: u64,
    terms: QuotaTerms,
    fleet: QuotaFleet,
    /// When the instances that are heard changed last.
    fleet_changed_ms: u64,
    updated_ms: u64,
    last_ask: u64,
    /// Customers with a quota, sorted by hash.
    customers: Vec<CustomerRow>,
    /// Customers with requests lately, sorted by hash.
    rows: Vec<QuotaRow>,
    rng: SmallRng,
}

#[derive(Debug)]
struct CustomerRow {
    hash: u64,
    quota: Quota,
}

#[derive(Debug)]
struct QuotaRow {
    customer: u64,
    delegate: Delegate,
    /// `None` while another instance issues the tokens.
    issuer: Option<QuotaIssuer>,
    /// When another instance may have issued tokens last.
    issued_elsewhere_ms: u64,
    used_ms: u64,
}

impl Quotas {
    /// Creates the quotas of a process with a random id.
    #[must_use]
    pub fn new(fleet: QuotaFleet, terms: QuotaTerms, holder: u64, now_ms: u64) -> Self {
        Self {
            holder,
            terms,
            fleet,
            fleet_changed_ms: now_ms,
            updated_ms: now_ms,
            last_ask: 0,
            customers: Vec::new(),
            rows: Vec::new(),
            rng: SmallRng::seed_from_u64(holder),
        }
    }

    /// Replaces the customers and their quotas.
    pub fn set_customers(&mut self, table: &CustomerTable) {
        let customers = table.customers().iter();
        let limited = customers.filter_map(|customer| {
            Some(CustomerRow {
                hash: customer_hash(&customer.name),
                quota: customer.quota?,
            })
        });
        self.customers = limited.collect();
        self.customers.sort_unstable_by_key(|row| row.hash);
        if self.customers.is_empty() {
            self.rows.clear();
        }
    }

    /// Replaces the registered instances, and those of them that sent a notice recently.
    pub fn set_peers(
        &mut self,
        registered: impl Iterator<Item = (InstanceId, Region)>,
        heard: impl Iterator<Item = (InstanceId, Region)>,
        now_ms: u64,
    ) {
        if self.fleet.set_peers(registered, heard) {
            self.fleet_changed_ms = now_ms;
        }
    }

    /// Returns whether any customer has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the number of customers with requests lately that this instance knows of.
    #[must_use]
    pub fn active_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the instance that issues the tokens of a customer, as far as this one knows.
    #[must_use]
    pub fn issuer_of(&self, customer: &Customer) -> InstanceId {
        self.fleet.issuer(customer_hash(&customer.name)).clone()
    }

    /// Returns the number for the question of a new request.
    pub fn next_ask(&mut self) -> u64 {
        self.last_ask += 1;
        self.last_ask
    }

    /// Returns the number of delegates that are asked before this instance decides itself.
    #[must_use]
    pub fn delegate_count(&self, customer: &Customer) -> usize {
        let delegates = self.fleet.delegates(customer_hash(&customer.name));
        delegates.len().min(DELEGATES_ASKED)
    }

    /// Asks whether a request of a customer may be sent. `tries` is the number of earlier
    /// tries, each at another instance, that brought no answer.
    pub fn ask(
        &mut self,
        ask: u64,
        customer: &Customer,
        tries: usize,
        now_ms: u64,
    ) -> Vec<QuotaAction> {
        let hash = customer_hash(&customer.name);
        let delegates = self.fleet.delegates(hash);
        let Some(delegate) = delegates.get(tries).filter(|_| tries < DELEGATES_ASKED) else {
            return self.decide(hash, Asker::Own, ask, now_ms);
        };
        vec![QuotaAction::Send {
            to: QuotaPeer::Instance((*delegate).clone()),
            message: QuotaMessage::Ask {
                customer: hash,
                ask,
            },
        }]
    }

    /// Receives a message of another instance.
    pub fn receive(
        &mut self,
        message: QuotaMessage,
        from: SocketAddr,
        now_ms: u64,
    ) -> Vec<QuotaAction> {
        match message {
            QuotaMessage::Ask { customer, ask } => {
                self.decide(customer, Asker::Peer(from), ask, now_ms)
            }
            QuotaMessage::Verdict { ask, verdict } => vec![QuotaAction::Decide { ask, verdict }],
            QuotaMessage::Demand {
                customer,
                holder,
                settled,
                granted,
                wanted,
            } => {
                let demand = Demand {
                    holder,
                    settled,
                    granted,
                    wanted,
                };
                let grant = self.answer_demand(customer, demand, Some(from), now_ms);
                grant.map_or_else(Vec::new, |grant| self.deliver(customer, grant, now_ms))
            }
            QuotaMessage::Grant {
                customer,
                holder,
                granted,
                exhausted_ms,
            } => {
                let grant = QuotaGrant {
                    holder,
                    address: None,
                    granted,
                    exhausted_ms,
                };
                self.deliver(customer, grant, now_ms)
            }
        }
    }

    /// Issues tokens that have become available, repeats demands, and forgets customers that
    /// send nothing.
    pub fn update(&mut self, now_ms: u64) -> Vec<QuotaAction> {
        if now_ms > self.updated_ms + FROZEN_MS {
            // Others have issued tokens meanwhile.
            self.fleet_changed_ms = now_ms;
            for row in &mut self.rows {
                row.issuer = None;
                row.issued_elsewhere_ms = now_ms;
            }
        }
        self.updated_ms = now_ms;
        let mut actions = Vec::new();
        for index in 0..self.rows.len() {
            self.update_row(index, now_ms, &mut actions);
        }
        self.rows.retain(|row| {
            let is_issuer_idle = row.issuer.as_ref().is_none_or(QuotaIssuer::is_idle);
            let is_recent = now_ms < row.used_ms + IDLE_MS.max(self.terms.window_ms);
            is_recent || !is_issuer_idle
        });
        actions
    }

    fn update_row(&mut self, index: usize, now_ms: u64, actions: &mut Vec<QuotaAction>) {
        let customer = self.rows[index].customer;
        let Some(quota) = self.quota(customer) else {
            self.rows[index].issuer = None;
            return;
        };
        if !self.fleet.is_issuer(customer) {
            self.rows[index].issuer = None;
            self.rows[index].issued_elsewhere_ms = now_ms;
        }
        let terms = self.issue_terms(quota);
        let row = &mut self.rows[index];
        row.delegate.expire(now_ms);
        let grants = row
            .issuer
            .as_mut()
            .map(|issuer| issuer.issue(terms, now_ms));
        for grant in grants.into_iter().flatten() {
            actions.extend(self.deliver(customer, grant, now_ms));
        }
        actions.extend(self.answer_waiting(index, now_ms));
        if self.rows[index].delegate.should_repeat() {
            actions.extend(self.demand(index, DEMAND_REPEAT_MS, now_ms));
        }
    }

    /// Decides as a delegate about a question.
    fn decide(&mut self, customer: u64, asker: Asker, ask: u64, now_ms: u64) -> Vec<QuotaAction> {
        if self.quota(customer).is_none() {
            // An older configuration is in force here.
            return match asker {
                Asker::Own => {
                    let verdict = QuotaVerdict::Granted(QuotaSource::Unlimited);
                    vec![asker.answer(ask, verdict)]
                }
                Asker::Peer(_) => Vec::new(),
            };
        }
        let index = self.row(customer, now_ms);
        let terms = self.delegate_terms(customer);
        let mut actions = self.issue_to_self(index, now_ms);
        let decision = self.rows[index].delegate.decide(terms, now_ms);
        match decision {
            Decision::Token => {
                let verdict = QuotaVerdict::Granted(QuotaSource::Token);
                actions.push(asker.answer(ask, verdict));
            }
            Decision::Reserve => {
                let verdict = QuotaVerdict::Granted(QuotaSource::Reserve);
                actions.push(asker.answer(ask, verdict));
            }
            Decision::Refuse => {
                let verdict = self.refusal(index, now_ms);
                actions.push(asker.answer(ask, verdict));
            }
            Decision::Wait => self.rows[index].delegate.wait(asker, ask, now_ms),
        }
        let interval_ms = if decision == Decision::Wait {
            0
        } else {
            DEMAND_INTERVAL_MS
        };
        actions.extend(self.demand(index, interval_ms, now_ms));
        actions
    }

    /// Takes a token for a question, if this instance issues them and has none in hand.
    fn issue_to_self(&mut self, index: usize, now_ms: u64) -> Vec<QuotaAction> {
        let row = &self.rows[index];
        let customer = row.customer;
        if row.delegate.wallet.tokens_in(now_ms + 1..=u64::MAX) > 0
            || !self.fleet.is_issuer(customer)
        {
            return Vec::new();
        }
        let demand = Demand {
            holder: self.holder,
            settled: row.delegate.wallet.settled(),
            granted: row.delegate.wallet.granted(),
            wanted: row.delegate.wanted(now_ms) + 1,
        };
        let grant = self.answer_demand(customer, demand, None, now_ms);
        grant.map_or_else(Vec::new, |grant| self.deliver(customer, grant, now_ms))
    }

    /// Asks the issuer for tokens, unless that was done within `interval_ms`.
    fn demand(&mut self, index: usize, interval_ms: u64, now_ms: u64) -> Vec<QuotaAction> {
        let row = &mut self.rows[index];
        if !row.delegate.take_demand(interval_ms, now_ms) {
            return Vec::new();
        }
        let customer = row.customer;
        let demand = Demand {
            holder: self.holder,
            settled: row.delegate.wallet.settled(),
            granted: row.delegate.wallet.granted(),
            wanted: row.delegate.wanted(now_ms),
        };
        if self.fleet.is_issuer(customer) {
            let grant = self.answer_demand(customer, demand, None, now_ms);
            return grant.map_or_else(Vec::new, |grant| self.deliver(customer, grant, now_ms));
        }
        vec![QuotaAction::Send {
            to: QuotaPeer::Instance(self.fleet.issuer(customer).clone()),
            message: QuotaMessage::Demand {
                customer,
                holder: demand.holder,
                settled: demand.settled,
                granted: demand.granted,
                wanted: demand.wanted,
            },
        }]
    }

    /// Answers a demand if this instance issues the tokens of the customer.
    fn answer_demand(
        &mut self,
        customer: u64,
        demand: Demand,
        from: Option<SocketAddr>,
        now_ms: u64,
    ) -> Option<QuotaGrant> {
        let quota = self.quota(customer)?;
        if !self.fleet.is_issuer(customer) {
            return None;
        }
        let terms = self.issue_terms(quota);
        let index = self.row(customer, now_ms);
        let since_ms = self.issuer_since_ms(index, now_ms);
        let row = &mut self.rows[index];
        let issuer = row.issuer.get_or_insert_with(|| QuotaIssuer::new(since_ms));
        Some(issuer.answer(demand, from, terms, now_ms))
    }

    /// Returns since when another instance can have issued no tokens of a customer.
    fn issuer_since_ms(&self, index: usize, now_ms: u64) -> u64 {
        let agreed_ms = self.fleet_changed_ms + AGREEMENT_MS;
        agreed_ms
            .max(self.rows[index].issued_elsewhere_ms)
            .min(now_ms)
    }

    /// Brings a grant to its holder.
    fn deliver(&mut self, customer: u64, grant: QuotaGrant, now_ms: u64) -> Vec<QuotaAction> {
        let QuotaGrant {
            holder,
            address,
            granted,
            exhausted_ms,
        } = grant;
        if let Some(address) = address {
            return vec![QuotaAction::Send {
                to: QuotaPeer::Address(address),
                message: QuotaMessage::Grant {
                    customer,
                    holder,
                    granted,
                    exhausted_ms,
                },
            }];
        }
        let Ok(index) = self.find(customer) else {
            return Vec::new();
        };
        if holder != self.holder {
            return Vec::new();
        }
        let delegate = &mut self.rows[index].delegate;
        delegate.receive(granted, exhausted_ms, now_ms);
        self.answer_waiting(index, now_ms)
    }

    fn answer_waiting(&mut self, index: usize, now_ms: u64) -> Vec<QuotaAction> {
        let answered = self.rows[index].delegate.answer_waiting(now_ms);
        let actions = answered.into_iter().map(|(waiting, is_granted)| {
            let WaitingAsk { asker, ask, .. } = waiting;
            let verdict = if is_granted {
                QuotaVerdict::Granted(QuotaSource::Token)
            } else {
                self.refusal(index, now_ms)
            };
            asker.answer(ask, verdict)
        });
        actions.collect()
    }

    /// Returns a refusal with the time in which a token is expected, with jitter.
    fn refusal(&mut self, index: usize, now_ms: u64) -> QuotaVerdict {
        let row = &self.rows[index];
        let terms = self.delegate_terms(row.customer);
        let expected_ms = row.delegate.token_expected_ms(terms.rate_per_s);
        let age_ms = row.delegate.exhausted_age_ms(now_ms);
        let retry_ms = expected_ms * self.rng.random_range(0.5..1.5);
        QuotaVerdict::Refused {
            retry_after_ms: round_ms(retry_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS)),
            age_ms,
        }
    }

    fn issue_terms(&self, quota: Quota) -> IssueTerms {
        IssueTerms::for_quota(quota, self.terms, self.fleet.heard_share())
    }

    fn delegate_terms(&self, customer: u64) -> DelegateTerms {
        let requests_per_s = self
            .quota(customer)
            .map_or(0.0, |quota| quota.requests_per_s);
        let regions = u32::try_from(self.fleet.region_count()).unwrap_or(u32::MAX);
        DelegateTerms {
            reserve: self
                .fleet
                .reserve(customer, self.terms.slack / RESERVE_DIVISOR),
            rate_per_s: requests_per_s * self.fleet.heard_share() / f64::from(regions),
            window_ms: self.terms.window_ms,
        }
    }

    fn quota(&self, customer: u64) -> Option<Quota> {
        let rows = &self.customers;
        let index = rows.binary_search_by_key(&customer, |row| row.hash);
        Some(rows[index.ok()?].quota)
    }

    fn find(&self, customer: u64) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&customer, |row| row.customer)
    }

    /// Returns the index of the row of a customer that has a request now.
    fn row(&mut self, customer: u64, now_ms: u64) -> usize {
        let index = match self.find(customer) {
            Ok(index) => index,
            Err(index) => {
                let row = QuotaRow {
                    customer,
                    delegate: Delegate::new(),
                    issuer: None,
                    issued_elsewhere_ms: 0,
                    used_ms: now_ms,
                };
                self.rows.insert(index, row);
                index
            }
        };
        self.rows[index].used_ms = now_ms;
        index
    }
}
