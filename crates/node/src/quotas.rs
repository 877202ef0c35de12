//! Counts requests against the quotas of customers. The decisions are in
//! [`gateway::Quotas`]; this module exchanges its messages with peers as UDP datagrams, two
//! ports above that of the load notices.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use gateway::{
    Customer, CustomerTable, Quota, QuotaAction, QuotaFleet, QuotaMessage, QuotaPeer, QuotaSource,
    QuotaTerms, QuotaVerdict, Quotas,
};
use model::Region;
use platform::Settings;
use tokio::{
    net::UdpSocket,
    sync::oneshot,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{codec, datagrams, node::Node};

/// Time after which another delegate is asked. It covers a question that waits for an issuer
/// in another region.
const DELEGATE_TIMEOUT: Duration = Duration::from_millis(75);
/// Time in which this instance itself decides.
const OWN_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which tokens are issued and demands repeated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// The same while no customer has a quota.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the instances that are heard are looked up, milliseconds.
const PEERS_INTERVAL_MS: u64 = 250;
/// Time from the start of the process in which registered instances count as heard, because
/// their notices have not arrived yet, milliseconds.
const PEERS_UNHEARD_MS: u64 = 1_000;
/// Time over which quotas are judged if the settings do not say, milliseconds.
const DEFAULT_WINDOW_MS: u64 = 5_000;
/// Retry delay if nobody decides, milliseconds.
const UNDECIDED_RETRY_MS: u64 = 300;
/// Maximum size of a datagram, bytes.
const DATAGRAM_MAX_BYTES: usize = 256;

/// The quotas, the socket on which they are exchanged, and requests that wait for an answer.
#[derive(Debug)]
pub(crate) struct QuotaExchange {
    quotas: RefCell<Quotas>,
    peers_updated_ms: Cell<Option<u64>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    waiting: RefCell<Vec<WaitingRequest>>,
}

/// A request that waits for an answer.
#[derive(Debug)]
struct WaitingRequest {
    ask: u64,
    verdict: oneshot::Sender<QuotaVerdict>,
}

/// Guard of a waiting request, whose answer is ignored after the guard is dropped.
#[derive(Debug)]
struct WaitingGuard<'a> {
    exchange: &'a QuotaExchange,
    ask: u64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut waiting = self.exchange.waiting.borrow_mut();
        waiting.retain(|request| request.ask != self.ask);
    }
}

impl QuotaExchange {
    /// Creates the state with which the process starts.
    pub(crate) fn new(settings: &Settings) -> Self {
        let fleet = QuotaFleet::new(settings.instance_id.clone(), settings.region.clone());
        let terms = QuotaTerms {
            window_ms: settings.quota_window_ms.unwrap_or(DEFAULT_WINDOW_MS),
            slack: settings.quota_slack,
        };
        Self {
            quotas: RefCell::new(Quotas::new(fleet, terms, rand::random(), 0)),
            peers_updated_ms: Cell::default(),
            socket: RefCell::default(),
            waiting: RefCell::default(),
        }
    }

    fn wait_for(&self, ask: u64) -> (WaitingGuard<'_>, oneshot::Receiver<QuotaVerdict>) {
        let (verdict, receiver) = oneshot::channel();
        let request = WaitingRequest { ask, verdict };
        self.waiting.borrow_mut().push(request);
        let guard = WaitingGuard {
            exchange: self,
            ask,
        };
        (guard, receiver)
    }

    fn decide(&self, ask: u64, verdict: QuotaVerdict) {
        let mut waiting = self.waiting.borrow_mut();
        let found = waiting.iter().position(|request| request.ask == ask);
        if let Some(index) = found {
            // The request may have been given up.
            let _ = waiting.swap_remove(index).verdict.send(verdict);
        }
    }
}

/// Opens the socket and starts the exchange.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn start(node: &Rc<Node>) -> io::Result<()> {
    let address = exchange_address(node.settings().peer_listen);
    let socket = Rc::new(UdpSocket::bind(address).await?);
    node.quotas.socket.replace(Some(Rc::clone(&socket)));
    spawn_local(receive_messages(Rc::clone(node), socket));
    spawn_local(keep_up(Rc::clone(node)));
    Ok(())
}

/// Counts a request against the quota of its customer.
///
/// # Errors
///
/// Returns the retry delay, in milliseconds, if the quota is used up.
pub(crate) async fn check(node: &Node, request: &str, customer: &Customer) -> Result<(), u64> {
    let Some(quota) = customer.quota else {
        return Ok(());
    };
    let verdict = decide(node, customer).await;
    match verdict {
        QuotaVerdict::Granted(source) => {
            node.metrics.quotas.on_granted(source);
            if source == QuotaSource::Reserve {
                log::info!(
                    "event=quota_reserve_used request={request} customer={}",
                    customer.name
                );
            }
            Ok(())
        }
        QuotaVerdict::Refused {
            retry_after_ms,
            age_ms,
        } => {
            log_refusal(request, customer, quota, retry_after_ms, age_ms);
            node.metrics.quotas.on_refused(&customer.name);
            Err(retry_after_ms)
        }
    }
}

fn log_refusal(
    request: &str,
    customer: &Customer,
    quota: Quota,
    retry_after_ms: u64,
    age_ms: Option<u64>,
) {
    let source = if age_ms.is_some() { "issuer" } else { "none" };
    log::warn!(
        "event=request_over_quota request={request} customer={} requests_per_s={} burst={} source={source} age_ms={} retry_after_ms={retry_after_ms}",
        customer.name,
        quota.requests_per_s,
        quota.burst,
        age_ms.unwrap_or(0)
    );
}

/// Asks the delegates of the customer, and at last this instance itself.
async fn decide(node: &Node, customer: &Customer) -> QuotaVerdict {
    let exchange = &node.quotas;
    let ask = exchange.quotas.borrow_mut().next_ask();
    let (_guard, mut verdict) = exchange.wait_for(ask);
    let delegates = exchange.quotas.borrow().delegate_count(customer);
    for tries in 0..=delegates {
        let now_ms = node.now_ms();
        let actions = exchange
            .quotas
            .borrow_mut()
            .ask(ask, customer, tries, now_ms);
        carry_out(node, actions);
        let answer_timeout = if tries < delegates {
            DELEGATE_TIMEOUT
        } else {
            OWN_TIMEOUT
        };
        if let Ok(Ok(verdict)) = timeout(answer_timeout, &mut verdict).await {
            return verdict;
        }
    }
    QuotaVerdict::Refused {
        retry_after_ms: UNDECIDED_RETRY_MS,
        age_ms: None,
    }
}

async fn receive_messages(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, sender) = datagrams::receive(&socket, &mut buffer).await;
        match codec::decode_message(&buffer[..length]) {
            Ok((message, _)) => {
                let now_ms = node.now_ms();
                let mut quotas = node.quotas.quotas.borrow_mut();
                let actions = quotas.receive(message, sender, now_ms);
                drop(quotas);
                carry_out(&node, actions);
            }
            Err(error) => log::warn!(
                "event=quota_message_unreadable error={}",
                process::quote(&error)
            ),
        }
    }
}

/// Applies the quotas of a configuration that comes into force.
pub(crate) fn set_customers(node: &Node, customers: Option<&CustomerTable>) {
    let empty = CustomerTable::default();
    let mut quotas = node.quotas.quotas.borrow_mut();
    quotas.set_customers(customers.unwrap_or(&empty));
}

/// Issues tokens and repeats demands until the process exits.
async fn keep_up(node: Rc<Node>) {
    loop {
        let has_quotas = node.quotas.quotas.borrow().has_quotas();
        if !has_quotas {
            let is_configured = node.routes().is_some();
            sleep(if is_configured {
                IDLE_INTERVAL
            } else {
                UPDATE_INTERVAL
            })
            .await;
            continue;
        }
        follow_peers(&node);
        let now_ms = node.now_ms();
        let actions = node.quotas.quotas.borrow_mut().update(now_ms);
        carry_out(&node, actions);
        sleep(UPDATE_INTERVAL).await;
    }
}

fn follow_peers(node: &Node) {
    let exchange = &node.quotas;
    let now_ms = node.now_ms();
    let updated_ms = exchange.peers_updated_ms.get();
    let is_due = updated_ms.is_none_or(|updated_ms| now_ms >= updated_ms + PEERS_INTERVAL_MS);
    if !is_due || !node.has_read_heartbeats.get() {
        return;
    }
    exchange.peers_updated_ms.set(Some(now_ms));
    let directory = node.directory.borrow();
    let registered = || {
        directory
            .peers()
            .map(|peer| (peer.owner.instance.clone(), Region::new(&peer.region)))
    };
    let unheard = registered().filter(|_| now_ms < PEERS_UNHEARD_MS);
    let upstreams = node.upstreams.borrow();
    let heard = upstreams.heard_peers().chain(unheard);
    let mut quotas = exchange.quotas.borrow_mut();
    quotas.set_peers(registered(), heard, now_ms);
}

fn carry_out(node: &Node, actions: Vec<QuotaAction>) {
    for action in actions {
        match action {
            QuotaAction::Send { to, message } => send(node, &to, message),
            QuotaAction::Decide { ask, verdict } => node.quotas.decide(ask, verdict),
        }
    }
}

fn send(node: &Node, to: &QuotaPeer, message: QuotaMessage) {
    let address = match to {
        QuotaPeer::Address(address) => Some(*address),
        QuotaPeer::Instance(instance) => {
            let address = node.directory.borrow().peer_address(instance);
            address.map(exchange_address)
        }
    };
    let socket = node.quotas.socket.borrow().clone();
    let Some((address, socket)) = address.zip(socket) else {
        return;
    };
    // Encoding into memory cannot fail.
    let datagram = codec::encode(message).unwrap_or_default();
    if let Err(error) = socket.try_send_to(&datagram, address) {
        log::debug!(
            "event=quota_send_failed peer={address} error={}",
            process::quote(&error)
        );
    }
}

fn exchange_address(notices: SocketAddr) -> SocketAddr {
    SocketAddr::new(notices.ip(), notices.port() + 2)
}
