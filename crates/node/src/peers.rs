//! Load notices between instances, as UDP datagrams.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use bincode::{config, serde::decode_from_slice, serde::encode_to_vec};
use gateway::LoadNotice;
use tokio::{
    net::UdpSocket,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::node::Node;

/// Shortest time between two notices, milliseconds.
const NOTICE_INTERVAL_MS: u64 = 20;
/// A notice is repeated after this time, so that peers know who is cut off.
const NOTICE_REPEAT: Duration = Duration::from_millis(500);
/// Datagrams that one instance may send a second.
const DATAGRAMS_PER_S: u64 = 500;
/// A peer that sent a notice is sent notices for this long, milliseconds.
const HEARD_MS: u64 = 10_000;
/// Largest datagram, bytes.
const DATAGRAM_MAX_BYTES: usize = 16 * 1024;

/// Opens the socket and starts sending and receiving.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn start(node: &Rc<Node>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(node.settings().peer_listen).await?);
    let heard = Rc::new(RefCell::new(Heard::default()));
    spawn_local(receive(
        Rc::clone(node),
        Rc::clone(&socket),
        Rc::clone(&heard),
    ));
    spawn_local(send(Rc::clone(node), socket, heard));
    Ok(())
}

async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>, heard: Rc<RefCell<Heard>>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(
                    "event=notice_receive_failed error={}",
                    process::quote(&error)
                );
                sleep(Duration::from_millis(NOTICE_INTERVAL_MS)).await;
                continue;
            }
        };
        match decode_from_slice::<LoadNotice, _>(&buffer[..length], config::standard()) {
            Ok((notice, _)) => {
                let now_ms = node.now_ms();
                heard.borrow_mut().note(sender, now_ms);
                node.runner.borrow_mut().fence(&notice.taken_over);
                node.fleet.borrow_mut().receive_notice(notice, now_ms);
                node.batch_changed.notify_one();
            }
            Err(error) => log::warn!("event=notice_unreadable error={}", process::quote(&error)),
        }
    }
}

async fn send(node: Rc<Node>, socket: Rc<UdpSocket>, heard: Rc<RefCell<Heard>>) {
    let mut sequence = 0;
    loop {
        // Time passing means that the last notice is due again.
        let _ = timeout(NOTICE_REPEAT, node.load_changed.notified()).await;
        sequence += 1;
        let notice = notice(&node, sequence);
        let addresses = peer_addresses(&node, &heard);
        send_to(&socket, &addresses, &notice).await;
        let interval_ms =
            (addresses.len() as u64 * 1_000 / DATAGRAMS_PER_S).max(NOTICE_INTERVAL_MS);
        sleep(Duration::from_millis(interval_ms)).await;
    }
}

fn notice(node: &Node, sequence: u64) -> LoadNotice {
    let fleet = node.fleet.borrow();
    LoadNotice {
        instance: node.me.instance.clone(),
        started_unix_ms: node.me.started_unix_ms,
        sequence,
        region: node.settings().region.clone(),
        store_age_ms: (!node.store_health.is_away())
            .then(|| node.store_health.age_ms(node.now_ms())),
        taken_over: node.runner.borrow_mut().recent_takeovers(node.now_ms()),
        batch_queue: fleet.batch_queue().to_vec(),
        loads: fleet.own_loads(),
    }
}

async fn send_to(socket: &UdpSocket, addresses: &[SocketAddr], notice: &LoadNotice) {
    let datagram = match encode_to_vec(notice, config::standard()) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::error!("event=notice_unencodable error={}", process::quote(&error));
            return;
        }
    };
    for address in addresses {
        if let Err(error) = socket.send_to(&datagram, address).await {
            log::debug!(
                "event=notice_send_failed peer={address} error={}",
                process::quote(&error)
            );
        }
    }
}

/// Instances in the store, whether or not they can renew their leases, and
/// those that sent a notice lately: either may be unknown to the other source
/// while the store is away for some.
fn peer_addresses(node: &Node, heard: &RefCell<Heard>) -> Vec<SocketAddr> {
    let mut heard = heard.borrow_mut();
    heard.expire(node.now_ms());
    let mut addresses: Vec<_> = heard.rows.iter().map(|row| row.address).collect();
    addresses.extend(node.directory.borrow().peer_addresses());
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Peers that sent a notice lately.
#[derive(Debug, Default)]
struct Heard {
    /// Sorted by address.
    rows: Vec<HeardRow>,
}

#[derive(Debug)]
struct HeardRow {
    address: SocketAddr,
    until_ms: u64,
}

impl Heard {
    fn note(&mut self, address: SocketAddr, now_ms: u64) {
        let until_ms = now_ms + HEARD_MS;
        match self.rows.binary_search_by(|row| row.address.cmp(&address)) {
            Ok(index) => self.rows[index].until_ms = until_ms,
            Err(index) => self.rows.insert(index, HeardRow { address, until_ms }),
        }
    }

    fn expire(&mut self, now_ms: u64) {
        self.rows.retain(|row| now_ms < row.until_ms);
    }
}
