//! Connections whose heads do not end, at a process with little memory.

mod support;

use std::{net::SocketAddr, time::Duration};

use support::crowd_cluster::CrowdCluster;
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::Mutex, time::timeout};

/// Number of connections.
const CONNECTIONS: usize = 150;
/// How much of a head comes, bytes.
const HEAD_BYTES: usize = 400_000;
/// Time for which a connection is written to.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Only one test of this file runs at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// Opens a connection and sends the beginning of a head. An error means that the process closed
/// the connection.
async fn send_head(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "GET /x HTTP/1.1\r\nHost: x\r\nA: {}",
        "x".repeat(HEAD_BYTES)
    );
    let _ = timeout(WRITE_TIMEOUT, stream.write_all(head.as_bytes())).await;
    stream
}

async fn process_withstands_heads(address_of: impl Fn(&CrowdCluster) -> SocketAddr) {
    let _turn = TURN.lock().await;
    let mut cluster = CrowdCluster::start(Duration::ZERO).await;
    let address = address_of(&cluster);
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.push(send_head(address).await);
    }
    cluster.serve_ordinary("beside").await;
    drop(streams);
    cluster.serve_ordinary("after").await;
    cluster.assert_holds();
}

/// Guards against long heads on the listener for callers.
#[tokio::test(flavor = "multi_thread")]
async fn heads_of_callers_stay_within_memory() {
    process_withstands_heads(|cluster| cluster.cluster.nodes[0].callers_address).await;
}

/// Guards against long heads on the listener for readiness checks.
#[tokio::test(flavor = "multi_thread")]
async fn heads_of_readiness_checks_stay_within_memory() {
    process_withstands_heads(|cluster| cluster.cluster.nodes[0].readiness_address).await;
}
