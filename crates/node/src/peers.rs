//! Load notices between instances, as UDP datagrams.

use std::{io, rc::Rc, time::Duration};

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
/// A notice is repeated after this time while something is in flight.
const NOTICE_REPEAT: Duration = Duration::from_millis(500);
/// Datagrams that one instance may send a second.
const DATAGRAMS_PER_S: u64 = 500;
/// Largest datagram, bytes.
const DATAGRAM_MAX_BYTES: usize = 16 * 1024;

/// Opens the socket and starts sending and receiving.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn start(node: &Rc<Node>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(node.settings().peer_listen).await?);
    spawn_local(receive(Rc::clone(node), Rc::clone(&socket)));
    spawn_local(send(Rc::clone(node), socket));
    Ok(())
}

async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let length = match socket.recv(&mut buffer).await {
            Ok(length) => length,
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
                node.fleet.borrow_mut().receive_notice(notice, now_ms);
                node.batch_changed.notify_one();
            }
            Err(error) => log::warn!("event=notice_unreadable error={}", process::quote(&error)),
        }
    }
}

async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut was_idle = true;
    loop {
        if was_idle {
            node.load_changed.notified().await;
        } else {
            // Time passing means that the last notice is due again.
            let _ = timeout(NOTICE_REPEAT, node.load_changed.notified()).await;
        }
        sequence += 1;
        let notice = notice(&node, sequence);
        let is_idle = notice.loads.is_empty() && notice.batch_waiting == 0;
        let peers = send_to_peers(&node, &socket, &notice).await;
        was_idle = is_idle;
        let interval_ms = (peers * 1_000 / DATAGRAMS_PER_S).max(NOTICE_INTERVAL_MS);
        sleep(Duration::from_millis(interval_ms)).await;
    }
}

fn notice(node: &Node, sequence: u64) -> LoadNotice {
    let fleet = node.fleet.borrow();
    let demand = fleet.batch_demand();
    LoadNotice {
        instance: node.me.instance.clone(),
        started_unix_ms: node.me.started_unix_ms,
        sequence,
        batch_waiting: demand.waiting,
        batch_due_unix_ms: demand.due_unix_ms,
        loads: fleet.own_loads(),
    }
}

/// Returns the number of peers.
async fn send_to_peers(node: &Node, socket: &UdpSocket, notice: &LoadNotice) -> u64 {
    let datagram = match encode_to_vec(notice, config::standard()) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::error!("event=notice_unencodable error={}", process::quote(&error));
            return 0;
        }
    };
    let addresses: Vec<_> = node
        .directory
        .borrow()
        .live_peers(node.now_ms())
        .map(|beat| beat.peer_address)
        .collect();
    for address in &addresses {
        if let Err(error) = socket.send_to(&datagram, address).await {
            log::debug!(
                "event=notice_send_failed peer={address} error={}",
                process::quote(&error)
            );
        }
    }
    addresses.len() as u64
}
