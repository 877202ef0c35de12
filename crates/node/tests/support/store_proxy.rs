//! A TCP proxy on loopback between a process and its store that injects
//! connection faults.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// What the proxy does with connections and their bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyState {
    /// Forwards everything.
    Open,
    /// Resets every connection.
    Reset,
    /// Accepts connections and bytes, but forwards nothing in either direction.
    Silent,
}

/// A running proxy.
#[derive(Debug)]
pub struct StoreProxy {
    address: SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
}

impl StoreProxy {
    /// Starts a proxy to `target` in the state [`ProxyState::Open`].
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(watch::Sender::new(ProxyState::Open));
        tokio::spawn(accept(listener, target, Arc::clone(&state)));
        Self { address, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_state(&self, state: ProxyState) {
        self.state.send_replace(state);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<watch::Sender<ProxyState>>) {
    while let Ok((stream, _)) = listener.accept().await {
        if *state.borrow() != ProxyState::Reset {
            tokio::spawn(forward_connection(stream, target, state.subscribe()));
        }
    }
}

async fn forward_connection(
    stream: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<ProxyState>,
) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (from_process, to_process) = stream.into_split();
    let (from_store, to_store) = upstream.into_split();
    let mut reset_state = state.clone();
    let is_reset = |state: &ProxyState| *state == ProxyState::Reset;
    tokio::select! {
        _ = reset_state.wait_for(is_reset) => {}
        () = copy_bytes(from_process, to_store, state.clone()) => {}
        () = copy_bytes(from_store, to_process, state.clone()) => {}
    }
}

/// Copies bytes until the sender closes its side. If bytes arrive while the proxy is
/// silent, the connection stays silent until it is closed, because forwarding only
/// later bytes would leave a gap in the data.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: watch::Receiver<ProxyState>,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut is_silent = false;
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        is_silent |= *state.borrow() == ProxyState::Silent;
        if !is_silent && to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
