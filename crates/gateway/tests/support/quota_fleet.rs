//! A fleet of instances in three regions that share one customer's quota.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use gateway::{
    Customer, CustomerTable, Quota, QuotaAction, QuotaFleet, QuotaMessage, QuotaPeer, QuotaTerms,
    QuotaVerdict, Quotas,
};
use model::{CustomerName, InstanceId, Region};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

pub const WINDOW_MS: u64 = 5_000;
pub const SLACK: u64 = 20;
const REGIONS: usize = 3;
const STEP_MS: u64 = 5;
const UPDATE_INTERVAL_MS: u64 = 50;
const PEERS_INTERVAL_MS: u64 = 250;
/// Time after which a silent instance is no longer heard, milliseconds.
const HEARD_MS: u64 = 1_500;
/// Time for which a killed instance is away, milliseconds.
const RESTART_MS: u64 = 1_000;
/// When a request asks the next instance, milliseconds.
const DELEGATE_TIMEOUT_MS: u64 = 75;
/// When a request that nobody decided about is refused, milliseconds.
const DECISION_TIMEOUT_MS: u64 = 350;
/// Time in which all instances have a configuration, milliseconds.
const CONFIG_MS: u64 = 100;
/// Time after the start of the fleet until the customer sends, milliseconds.
const LEAD_MS: u64 = 8_000;

#[derive(Debug)]
struct Instance {
    quotas: Quotas,
    starts_ms: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    /// When this instance last heard each other one, milliseconds.
    heard_ms: Vec<u64>,
}

#[derive(Debug)]
struct Delivery {
    at_ms: u64,
    from: usize,
    to: usize,
    message: QuotaMessage,
}

#[derive(Debug)]
struct Waiting {
    instance: usize,
    ask: u64,
    tries: usize,
    asked_ms: u64,
    next_try_ms: u64,
    is_allowed: bool,
}

#[derive(Debug, Clone, Copy)]
struct Limit {
    since_ms: u64,
    quota: Quota,
}

#[derive(Debug)]
pub struct Fleet {
    instances: Vec<Instance>,
    deliveries: Vec<Delivery>,
    waiting: Vec<Waiting>,
    /// Each limit so far, the present one last.
    limits: Vec<Limit>,
    sent_ms: Vec<u64>,
    /// Tokens of the quota that the customer has not asked for.
    allowance: f64,
    /// The same one step before.
    allowance_before: f64,
    asked_below_quota: usize,
    refused_below_quota: usize,
    refusals: Vec<QuotaVerdict>,
    messages: usize,
    loss_percent: u32,
    split_until_ms: u64,
    rng: SmallRng,
    now_ms: u64,
}

fn instance_id(index: usize) -> InstanceId {
    InstanceId::new(&format!("i{index}"))
}

fn region(index: usize) -> Region {
    Region::new(&format!("r{}", index % REGIONS))
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index).unwrap() + 1;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

fn customer(quota: Quota) -> Customer {
    Customer {
        name: CustomerName::new("farm"),
        priority: None,
        quota: Some(quota),
    }
}

impl Fleet {
    pub fn new(size: usize, requests_per_s: f64, burst: f64, seed: u64) -> Self {
        let quota = Quota {
            requests_per_s,
            burst,
        };
        let mut fleet = Self {
            instances: Vec::new(),
            deliveries: Vec::new(),
            waiting: Vec::new(),
            limits: vec![Limit { since_ms: 0, quota }],
            sent_ms: Vec::new(),
            allowance: burst,
            allowance_before: burst,
            asked_below_quota: 0,
            refused_below_quota: 0,
            refusals: Vec::new(),
            messages: 0,
            loss_percent: 0,
            split_until_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
        };
        for index in 0..size {
            let instance = fleet.new_instance(index, size, 0);
            fleet.instances.push(instance);
        }
        fleet.run_until(LEAD_MS, 0.0);
        fleet
    }

    fn new_instance(&mut self, index: usize, size: usize, starts_ms: u64) -> Instance {
        let fleet = QuotaFleet::new(instance_id(index), region(index));
        let terms = QuotaTerms {
            window_ms: WINDOW_MS,
            slack: SLACK,
        };
        let mut quotas = Quotas::new(fleet, terms, self.rng.random(), starts_ms);
        quotas.set_customers(&self.customers());
        Instance {
            quotas,
            starts_ms,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            heard_ms: vec![0; size],
        }
    }

    fn quota(&self) -> Quota {
        self.limits.last().unwrap().quota
    }

    fn customers(&self) -> CustomerTable {
        CustomerTable::new(vec![(customer(self.quota()), Vec::new())])
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub fn sent(&self) -> usize {
        self.sent_ms.len()
    }

    pub fn messages(&self) -> usize {
        self.messages
    }

    pub fn asked_below_quota(&self) -> usize {
        self.asked_below_quota
    }

    pub fn refused_below_quota(&self) -> usize {
        self.refused_below_quota
    }

    pub fn refusals(&self) -> &[QuotaVerdict] {
        &self.refusals
    }

    pub fn set_loss(&mut self, percent: u32) {
        self.loss_percent = percent;
    }

    pub fn set_limit(&mut self, requests_per_s: f64, burst: f64) {
        let quota = Quota {
            requests_per_s,
            burst,
        };
        self.limits.push(Limit {
            since_ms: self.now_ms,
            quota,
        });
        let customers = self.customers();
        for instance in &mut self.instances {
            instance.quotas.set_customers(&customers);
        }
    }

    pub fn kill(&mut self, index: usize) {
        let size = self.instances.len();
        let index = index % size;
        self.waiting.retain(|waiting| waiting.instance != index);
        self.instances[index] = self.new_instance(index, size, self.now_ms + RESTART_MS);
    }

    pub fn kill_all(&mut self) {
        for index in 0..self.instances.len() {
            self.kill(index);
        }
    }

    /// Kills the instance that most others believe to issue the tokens.
    pub fn kill_issuer(&mut self) {
        let quota = customer(self.quota());
        let votes = self
            .instances
            .iter()
            .map(|instance| instance.quotas.issuer_of(&quota));
        let mut votes: Vec<_> = votes.collect();
        votes.sort_unstable();
        let most = votes.chunk_by(|a, b| a == b).max_by_key(|same| same.len());
        let issuer = most.unwrap()[0].clone();
        let index = (0..self.instances.len()).find(|index| instance_id(*index) == issuer);
        self.kill(index.unwrap());
    }

    pub fn split(&mut self, for_ms: u64) {
        self.split_until_ms = self.now_ms + for_ms;
    }

    pub fn cut_off(&mut self, index: usize, for_ms: u64) {
        let index = index % self.instances.len();
        self.instances[index].cut_until_ms = self.now_ms + for_ms;
    }

    pub fn freeze(&mut self, index: usize, for_ms: u64) {
        let index = index % self.instances.len();
        self.instances[index].frozen_until_ms = self.now_ms + for_ms;
    }

    /// Runs until some time while the customer sends this many requests a second.
    pub fn run_until(&mut self, end_ms: u64, requests_per_s: f64) {
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            if self.now_ms.is_multiple_of(UPDATE_INTERVAL_MS) {
                self.update();
            }
            self.try_next_instances();
            self.refill_allowance();
            let mut expected = requests_per_s * 0.001 * 5.0;
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    self.send_request();
                }
                expected -= 1.0;
            }
        }
    }

    /// Fails if more was sent in a window than the limits in it allow.
    pub fn check_windows(&self) {
        for (index, start_ms) in self.sent_ms.iter().enumerate() {
            let end_ms = start_ms + WINDOW_MS;
            let sent = self.sent_ms[index..].partition_point(|at_ms| *at_ms < end_ms);
            // A lower limit binds one window after all instances have it.
            let in_force = self.limits.iter().enumerate().filter(|(position, limit)| {
                let next = self.limits.get(position + 1);
                let is_begun = limit.since_ms < end_ms;
                let bound_ms = next.map_or(u64::MAX, |next| next.since_ms + CONFIG_MS + WINDOW_MS);
                is_begun && bound_ms > *start_ms
            });
            let allowed = in_force
                .map(|(_, limit)| limit.quota.requests_per_s * 5.0 + limit.quota.burst)
                .fold(0.0, f64::max);
            let allowed = allowed * 1.1 + f64::from(u32::try_from(SLACK).unwrap());
            assert!(
                f64::from(u32::try_from(sent).unwrap()) <= allowed,
                "{sent} requests in the window from {start_ms} ms, {allowed} allowed"
            );
        }
    }

    /// The quota as a bucket that the customer empties whether or not it is served.
    fn refill_allowance(&mut self) {
        let quota = self.quota();
        let refill = quota.requests_per_s * 0.001 * 5.0;
        self.allowance_before = self.allowance;
        self.allowance = (self.allowance + refill).min(quota.burst.max(1.0));
    }

    fn is_up(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        self.now_ms >= instance.starts_ms && self.now_ms >= instance.frozen_until_ms
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        let is_cut = |index: usize| self.now_ms < self.instances[index].cut_until_ms;
        let is_split = self.now_ms < self.split_until_ms
            && (a < self.instances.len() / 2) != (b < self.instances.len() / 2);
        !is_cut(a) && !is_cut(b) && !is_split
    }

    fn send_request(&mut self) {
        let instance = self.rng.random_range(0..self.instances.len());
        if !self.is_up(instance) {
            return;
        }
        // A token that comes in this very step is not there for all instances yet.
        let is_allowed = self.allowance.min(self.allowance_before) >= 1.0;
        self.allowance -= f64::from(u8::from(is_allowed));
        self.asked_below_quota += usize::from(is_allowed);
        let ask = self.instances[instance].quotas.next_ask();
        self.waiting.push(Waiting {
            instance,
            ask,
            tries: 0,
            asked_ms: self.now_ms,
            next_try_ms: self.now_ms,
            is_allowed,
        });
        self.try_next_instances();
    }

    fn try_next_instances(&mut self) {
        let quota = customer(self.quota());
        let mut actions = Vec::new();
        let now_ms = self.now_ms;
        for waiting in &mut self.waiting {
            let instance = &mut self.instances[waiting.instance];
            let delegates = instance.quotas.delegate_count(&quota);
            if now_ms < waiting.next_try_ms || waiting.tries > delegates {
                continue;
            }
            let asked = instance
                .quotas
                .ask(waiting.ask, &quota, waiting.tries, now_ms);
            actions.push((waiting.instance, asked));
            waiting.tries += 1;
            waiting.next_try_ms = now_ms + DELEGATE_TIMEOUT_MS;
        }
        for (instance, asked) in actions {
            self.carry_out(instance, asked);
        }
        let given_up = self.waiting.extract_if(.., |waiting| {
            now_ms >= waiting.asked_ms + DECISION_TIMEOUT_MS
        });
        self.refused_below_quota += given_up.filter(|waiting| waiting.is_allowed).count();
    }

    fn update(&mut self) {
        let size = self.instances.len();
        for index in 0..size {
            if !self.is_up(index) {
                continue;
            }
            if self.now_ms.is_multiple_of(PEERS_INTERVAL_MS) {
                self.hear_peers(index);
            }
            let actions = self.instances[index].quotas.update(self.now_ms);
            self.carry_out(index, actions);
        }
    }

    fn hear_peers(&mut self, index: usize) {
        let size = self.instances.len();
        for other in 0..size {
            let is_lost = self.rng.random_ratio(self.loss_percent, 100);
            if self.is_up(other) && self.is_linked(index, other) && !is_lost {
                self.instances[index].heard_ms[other] = self.now_ms;
            }
        }
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        let is_new = now_ms < instance.starts_ms + 1_000;
        let heard: Vec<_> = (0..size)
            .filter(|other| is_new || now_ms < instance.heard_ms[*other] + HEARD_MS)
            .map(|other| (instance_id(other), region(other)))
            .collect();
        let registered = (0..size).map(|other| (instance_id(other), region(other)));
        instance
            .quotas
            .set_peers(registered, heard.into_iter(), now_ms);
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .deliveries
            .extract_if(.., |delivery| delivery.at_ms <= now_ms)
            .collect();
        for delivery in due {
            if !self.is_up(delivery.to) {
                continue;
            }
            let from = address(delivery.from);
            let quotas = &mut self.instances[delivery.to].quotas;
            let actions = quotas.receive(delivery.message, from, now_ms);
            self.carry_out(delivery.to, actions);
        }
    }

    fn carry_out(&mut self, from: usize, actions: Vec<QuotaAction>) {
        for action in actions {
            match action {
                QuotaAction::Send { to, message } => self.post(from, &to, message),
                QuotaAction::Decide { ask, verdict } => self.decide(from, ask, verdict),
            }
        }
    }

    fn post(&mut self, from: usize, to: &QuotaPeer, message: QuotaMessage) {
        let is_receiver = |index: &usize| match to {
            QuotaPeer::Address(receiver) => address(*index) == *receiver,
            QuotaPeer::Instance(receiver) => instance_id(*index) == *receiver,
        };
        let to = (0..self.instances.len()).find(is_receiver).unwrap();
        self.messages += 1;
        if !self.is_linked(from, to) || self.rng.random_ratio(self.loss_percent, 100) {
            return;
        }
        let delay_ms = if region(from) == region(to) { 1 } else { 30 };
        // Some messages arrive twice.
        let copies = 1 + u32::from(self.rng.random_ratio(self.loss_percent, 100));
        for copy in 0..u64::from(copies) {
            self.deliveries.push(Delivery {
                at_ms: self.now_ms + delay_ms + copy * self.rng.random_range(0..200),
                from,
                to,
                message,
            });
        }
    }

    fn decide(&mut self, instance: usize, ask: u64, verdict: QuotaVerdict) {
        let found = self
            .waiting
            .iter()
            .position(|waiting| waiting.instance == instance && waiting.ask == ask);
        let Some(index) = found else {
            return;
        };
        let waiting = self.waiting.swap_remove(index);
        match verdict {
            QuotaVerdict::Granted(_) => self.sent_ms.push(self.now_ms),
            QuotaVerdict::Refused { .. } => {
                self.refused_below_quota += usize::from(waiting.is_allowed);
                self.refusals.push(verdict);
            }
        }
    }
}
