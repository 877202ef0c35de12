//! Receives UDP datagrams of peers.

use std::{net::SocketAddr, time::Duration};

use tokio::{net::UdpSocket, time::sleep};

/// Delay before the next datagram is received after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Receives the next datagram into `buffer`. Returns its length and its sender.
pub(crate) async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> (usize, SocketAddr) {
    loop {
        match socket.recv_from(buffer).await {
            Ok(received) => return received,
            Err(error) => {
                log::warn!(
                    "event=datagram_receive_failed error={}",
                    process::quote(&error)
                );
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
