//! A loopback link between a process and its store that a test can disturb.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// What the link does with bytes and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyState {
    /// Passes everything on.
    Open,
    /// Resets every connection.
    Reset,
    /// Accepts connections and bytes, and passes nothing on in either direction.
    Silent,
}

/// One link.
#[derive(Debug)]
pub struct StoreProxy {
    address: SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
}

impl StoreProxy {
    /// A link to `target`, open at first.
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
            tokio::spawn(carry(stream, target, state.subscribe()));
        }
    }
}

async fn carry(stream: TcpStream, target: SocketAddr, state: watch::Receiver<ProxyState>) {
    let Ok(onward) = TcpStream::connect(target).await else {
        return;
    };
    let (from_process, to_process) = stream.into_split();
    let (from_store, to_store) = onward.into_split();
    let mut resets = state.clone();
    let is_reset = |state: &ProxyState| *state == ProxyState::Reset;
    tokio::select! {
        _ = resets.wait_for(is_reset) => {}
        () = copy(from_process, to_store, state.clone()) => {}
        () = copy(from_store, to_process, state.clone()) => {}
    }
}

/// Copies until the sender ends. From the first byte that comes while the link
/// is silent, nothing passes any more.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, state: watch::Receiver<ProxyState>) {
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
