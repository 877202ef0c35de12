//! Exchange of load notices with peers as UDP datagrams. A notice states the load of
//! its sender and the jobs that the sender took over recently. It is followed by what the
//! sender knows of leaving upstreams, of rate limits, of what crashes upstreams, of upstreams
//! that it cannot reach, and at times of when its configuration was the newest one. An instance
//! sends its notices directly to each peer.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use bincode::error::{DecodeError, EncodeError};
use gateway::{
    ConfigConfirmation, LeavingUpstream, LimitNotice, LoadNotice, NoticeScheduler, PaceReport,
    PathNotice, QuarantineNotice, notice_pause_ms,
};
use model::{InstanceId, Region};
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;
use tokio::{
    net::UdpSocket,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{clock::boot_ms, codec, config_feed, datagrams, node::Node, quarantine, rate_limits};

/// Maximum time between two notices. A notice is repeated if the load has not changed,
/// so that peers detect when an instance is cut off.
const NOTICE_INTERVAL_MAX: Duration = Duration::from_millis(500);
/// Time for which notices are sent to a peer after the last notice from that peer,
/// milliseconds.
const SENDER_RETENTION_MS: u64 = 10_000;
/// Interval at which peers are asked when the configuration was the newest one.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of peers that are asked at a time.
const ASKED_PEERS: usize = 3;
/// Interval at which it is checked whether there is a lease on accepting keys, milliseconds.
const IDLE_ASK_MS: u64 = 10_000;
/// Maximum size of a received datagram, bytes. A longer one is truncated.
const DATAGRAM_MAX_BYTES: usize = 32 * 1024;

/// Opens the socket and starts sending and receiving notices.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn start(node: &Rc<Node>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(node.settings().peer_listen).await?);
    let recent_senders = Rc::new(RefCell::new(RecentSenders::default()));
    spawn_local(receive_notices(
        Rc::clone(node),
        Rc::clone(&socket),
        Rc::clone(&recent_senders),
    ));
    spawn_local(notify_batch_owners(Rc::clone(node), Rc::clone(&socket)));
    spawn_local(ask_for_confirmations(
        Rc::clone(node),
        Rc::clone(&socket),
        Rc::clone(&recent_senders),
    ));
    spawn_local(send_notices(Rc::clone(node), socket, recent_senders));
    Ok(())
}

async fn receive_notices(
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    recent_senders: Rc<RefCell<RecentSenders>>,
) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, sender) = datagrams::receive(&socket, &mut buffer).await;
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => {
                let Datagram {
                    notice,
                    leaving,
                    limits,
                    quarantine,
                    paths,
                    confirmation,
                    paces,
                } = datagram;
                let now_ms = node.now_ms();
                let peer = Peer {
                    address: sender,
                    region: notice.region.clone(),
                };
                recent_senders.borrow_mut().record(peer, now_ms);
                node.runner.borrow_mut().fence_jobs(&notice.job_takeovers);
                if let Some(quarantine) = &quarantine {
                    quarantine::receive(&node, quarantine);
                }
                if let Some(limits) = &limits {
                    rate_limits::receive(&node, limits);
                }
                if let Some(confirmation) = &confirmation
                    && config_feed::receive(&node, confirmation)
                {
                    let reply = build_datagram(&node, node.key_lease.borrow().notice(), Vec::new());
                    send_to(&socket, &[sender], &reply).await;
                }
                let mut upstreams = node.upstreams.borrow_mut();
                upstreams.receive_leaving(&leaving);
                upstreams.receive_pace_reports(&paces, now_ms);
                let instance = notice.instance.clone();
                if upstreams.receive_notice(notice, now_ms) {
                    upstreams.receive_paths(&instance, sender, paths);
                }
                node.batch_state_changed.notify_one();
            }
            Err(error) => log::warn!("event=notice_unreadable error={}", process::quote(&error)),
        }
    }
}

/// Contents of a datagram.
#[derive(Debug)]
struct Datagram {
    notice: LoadNotice,
    leaving: Vec<LeavingUpstream>,
    /// `None` if no upstream states a limit.
    limits: Option<LimitNotice>,
    /// `None` if nothing is suspected of crashes.
    quarantine: Option<QuarantineNotice>,
    /// `None` if the sender has a path to each upstream and makes no attempts for peers.
    paths: Option<PathNotice>,
    /// When the sender's configuration was the newest one; `None` unless the sender asks for a
    /// later confirmation or answers such a question.
    confirmation: Option<ConfigConfirmation>,
    /// What the sender measured since its last notice.
    paces: Vec<PaceReport>,
}

/// Place in a datagram at which an earlier version of the program told what it knew of
/// prompt parts, in a form that is no longer read.
type FormerQuarantine = Option<()>;

impl Datagram {
    /// Encodes the notice, followed by the other values.
    fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let mut datagram = codec::encode(&self.notice)?;
        datagram.extend(codec::encode(&self.leaving)?);
        let has_more = self.quarantine.is_some()
            || self.limits.is_some()
            || self.paths.is_some()
            || self.confirmation.is_some()
            || !self.paces.is_empty();
        if has_more {
            let former: FormerQuarantine = None;
            datagram.extend(codec::encode(former)?);
            datagram.extend(codec::encode(&self.limits)?);
            datagram.extend(codec::encode(&self.quarantine)?);
            datagram.extend(codec::encode(&self.paths)?);
            datagram.extend(codec::encode(self.confirmation)?);
            if !self.paces.is_empty() {
                datagram.extend(codec::encode(&self.paces)?);
            }
        }
        Ok(datagram)
    }

    /// Decodes a datagram. Earlier versions of the program send fewer values. What follows a
    /// former quarantine is left out, since its length is unknown.
    fn decode(datagram: &[u8]) -> Result<Self, DecodeError> {
        let (notice, rest) = decode_first(datagram)?;
        let (leaving, rest) = decode_next(rest)?;
        let (former, rest) = decode_next::<FormerQuarantine>(rest)?;
        let rest = if former.flatten().is_some() {
            &[]
        } else {
            rest
        };
        let (limits, rest) = decode_next(rest)?;
        let (quarantine, rest) = decode_next(rest)?;
        let (paths, rest) = decode_next(rest)?;
        let (confirmation, rest) = decode_next(rest)?;
        let (paces, _) = decode_next(rest)?;
        Ok(Self {
            notice,
            leaving: leaving.unwrap_or_default(),
            limits: limits.flatten(),
            quarantine: quarantine.flatten(),
            paths: paths.flatten(),
            confirmation: confirmation.flatten(),
            paces: paces.unwrap_or_default(),
        })
    }
}

/// Decodes the first value. Returns it and the bytes that follow it.
fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    let (value, length) = codec::decode_message(bytes)?;
    Ok((value, &bytes[length..]))
}

/// Like [`decode_first`], but returns no value if there are no bytes left.
fn decode_next<T: DeserializeOwned>(bytes: &[u8]) -> Result<(Option<T>, &[u8]), DecodeError> {
    if bytes.is_empty() {
        return Ok((None, bytes));
    }
    let (value, rest) = decode_first(bytes)?;
    Ok((Some(value), rest))
}

async fn send_notices(
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    recent_senders: Rc<RefCell<RecentSenders>>,
) {
    let mut scheduler = NoticeScheduler::default();
    loop {
        // After a time-out, the notice is repeated with the current load.
        let _ = timeout(NOTICE_INTERVAL_MAX, node.load_changed.notified()).await;
        let paces = node.upstreams.borrow_mut().take_pace_reports();
        let datagram = build_datagram(&node, None, paces);
        let addresses = due_addresses(&node, &recent_senders, &mut scheduler);
        send_to(&socket, &addresses, &datagram).await;
        sleep(Duration::from_millis(notice_pause_ms(addresses.len()))).await;
    }
}

/// Sends a notice at once to the peers that should preempt a batch item, when an
/// online request of this instance needs the slot.
async fn notify_batch_owners(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        node.owners_to_notify_changed.notified().await;
        let addresses = peer_addresses(&node, &node.owners_to_notify.take());
        send_to(
            &socket,
            &addresses,
            &build_datagram(&node, None, Vec::new()),
        )
        .await;
    }
}

/// While the store does not renew the lease on accepting keys, asks a few peers at a time for
/// what they know: tells them the last confirmation here, which those with a later one answer.
async fn ask_for_confirmations(
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    recent_senders: Rc<RefCell<RecentSenders>>,
) {
    loop {
        let ask_at_ms = node.key_lease.borrow().ask_peers_at_ms();
        let now_ms = boot_ms();
        let left_ms = ask_at_ms.map_or(IDLE_ASK_MS, |at_ms| at_ms.saturating_sub(now_ms));
        if left_ms > 0 {
            sleep(Duration::from_millis(left_ms)).await;
            continue;
        }
        let confirmation = node.key_lease.borrow().notice();
        if confirmation.is_some() {
            let peers = known_peers(&node, &recent_senders);
            let asked = peers.sample(&mut rand::rng(), ASKED_PEERS);
            let addresses: Vec<_> = asked.map(|peer| peer.address).collect();
            let datagram = build_datagram(&node, confirmation, Vec::new());
            send_to(&socket, &addresses, &datagram).await;
        }
        sleep(ASK_INTERVAL).await;
    }
}

fn peer_addresses(node: &Node, peers: &[InstanceId]) -> Vec<SocketAddr> {
    let directory = node.directory.borrow();
    let addresses = peers.iter().map(|peer| directory.peer_address(peer));
    addresses.flatten().collect()
}

/// Returns the addresses of the peers to which a notice is due.
fn due_addresses(
    node: &Node,
    recent_senders: &RefCell<RecentSenders>,
    scheduler: &mut NoticeScheduler,
) -> Vec<SocketAddr> {
    let peers = known_peers(node, recent_senders);
    let regions: Vec<_> = peers.iter().map(|peer| peer.region.clone()).collect();
    let due = scheduler.due_peers(&node.upstreams.borrow(), &regions, node.now_ms());
    due.into_iter().map(|index| peers[index].address).collect()
}

fn build_datagram(
    node: &Node,
    confirmation: Option<ConfigConfirmation>,
    paces: Vec<PaceReport>,
) -> Vec<u8> {
    let datagram = Datagram {
        notice: build_notice(node),
        leaving: node.upstreams.borrow().leaving_upstreams(),
        limits: node.upstreams.borrow().limit_notice(node.now_ms()),
        quarantine: node.quarantine.borrow().notice(node.store_now_ms()),
        paths: node
            .upstreams
            .borrow()
            .path_notice(node.proxied_count.get()),
        confirmation,
        paces,
    };
    // Encoding into memory cannot fail.
    datagram.encode().unwrap_or_default()
}

fn build_notice(node: &Node) -> LoadNotice {
    let sequence = node.last_notice_sequence.get() + 1;
    node.last_notice_sequence.set(sequence);
    let upstreams = node.upstreams.borrow();
    LoadNotice {
        instance: node.owner_id.instance.clone(),
        started_unix_ms: node.owner_id.started_unix_ms,
        sequence,
        region: node.settings().region.clone(),
        store_age_ms: (!node.store_health.is_unreachable())
            .then(|| node.store_health.time_since_answer_ms(node.now_ms())),
        job_takeovers: node.runner.borrow_mut().recent_takeovers(node.now_ms()),
        batch_queue: upstreams.batch_queue().to_vec(),
        loads: upstreams.own_loads(),
    }
}

async fn send_to(socket: &UdpSocket, addresses: &[SocketAddr], datagram: &[u8]) {
    for address in addresses {
        if let Err(error) = socket.send_to(datagram, address).await {
            log::debug!(
                "event=notice_send_failed peer={address} error={}",
                process::quote(&error)
            );
        }
    }
}

/// Returns the peers that have a heartbeat row, even if their leases have expired, and
/// the peers that sent a notice recently, sorted by address. While some instances cannot reach the store,
/// each of the two sources may lack peers that the other one has.
fn known_peers(node: &Node, recent_senders: &RefCell<RecentSenders>) -> Vec<Peer> {
    let mut recent_senders = recent_senders.borrow_mut();
    recent_senders.expire(node.now_ms());
    let mut peers: Vec<_> = recent_senders
        .senders
        .iter()
        .map(|sender| sender.peer.clone())
        .collect();
    let directory = node.directory.borrow();
    peers.extend(directory.peers().map(|heartbeat| Peer {
        address: heartbeat.peer_address,
        region: Region::new(&heartbeat.region),
    }));
    peers.sort_unstable_by_key(|peer| peer.address);
    peers.dedup_by_key(|peer| peer.address);
    peers
}

/// Address and region of another instance.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    region: Region,
}

/// Peers that sent a notice recently.
#[derive(Debug, Default)]
struct RecentSenders {
    /// Sorted by address.
    senders: Vec<RecentSender>,
}

#[derive(Debug)]
struct RecentSender {
    peer: Peer,
    expires_at_ms: u64,
}

impl RecentSenders {
    fn record(&mut self, peer: Peer, now_ms: u64) {
        let expires_at_ms = now_ms + SENDER_RETENTION_MS;
        let found = self
            .senders
            .binary_search_by(|sender| sender.peer.address.cmp(&peer.address));
        match found {
            Ok(index) => self.senders[index].expires_at_ms = expires_at_ms,
            Err(index) => self.senders.insert(
                index,
                RecentSender {
                    peer,
                    expires_at_ms,
                },
            ),
        }
    }

    fn expire(&mut self, now_ms: u64) {
        self.senders.retain(|sender| now_ms < sender.expires_at_ms);
    }
}
