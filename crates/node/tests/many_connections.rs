//! Crowds of more connections than the machine has descriptors, at a process with little memory.

mod support;

use std::{net::SocketAddr, time::Duration};

use support::{
    crowd_cluster::{BODY_MAX_BYTES, CrowdCluster},
    crowd_load::Load,
};
use tokio::{
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    time::sleep,
};

/// Number of connections. The machine has 400 descriptors.
const CONNECTIONS: usize = 500;
/// How much of a body of the maximum size does not come, bytes.
const MISSING_BYTES: usize = 1_000;
/// Length that clients over the limit announce, and how much of it they send, bytes.
const ANNOUNCED_BYTES: usize = 8 << 30;
const OVER_LIMIT_BYTES: usize = 16 << 20;

/// Time for which idle connections stay open, so that the usage of the process is seen meanwhile.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Only one test of this file runs at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

async fn process_withstands(load: &Load) {
    let _turn = take_turn().await;
    let mut cluster = CrowdCluster::start(Duration::ZERO).await;
    cluster.press("crowd", CONNECTIONS, load).await;
    cluster.assert_holds_after(CONNECTIONS);
}

/// Guards against buffers of connections, of which each is small.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_of_many_connections_stay_within_memory() {
    process_withstands(&Load::unfinished(BODY_MAX_BYTES, MISSING_BYTES)).await;
}

/// Guards against the same while refused bodies are read on.
#[tokio::test(flavor = "multi_thread")]
async fn refused_bodies_of_many_connections_stay_within_memory() {
    let load = Load::unfinished(ANNOUNCED_BYTES, ANNOUNCED_BYTES - OVER_LIMIT_BYTES).over_limit();
    process_withstands(&load).await;
}

/// Guards against connections without a request that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_stay_within_descriptors() {
    let _turn = take_turn().await;
    let mut cluster = CrowdCluster::start(Duration::ZERO).await;
    let address: SocketAddr = cluster.cluster.nodes[0].callers_address;
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        // An error means that the process refused the connection.
        streams.extend(TcpStream::connect(address).await.ok());
    }
    cluster.serve_ordinary("beside").await;
    sleep(IDLE_TIME).await;
    drop(streams);
    cluster.serve_ordinary("after").await;
    cluster.assert_holds_after(CONNECTIONS);
}
