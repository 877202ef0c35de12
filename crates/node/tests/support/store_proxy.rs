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
    /// Like [`ProxyState::Silent`] for connections on which a call that waits for changes of
    /// the configuration begins from now on; forwards all others.
    ConfigFeedSilent,
}

impl ProxyState {
    /// Returns whether a connection goes silent on which these bytes arrive.
    fn silences(self, bytes: &[u8]) -> bool {
        match self {
            Self::Silent => true,
            Self::ConfigFeedSilent => {
                let text = String::from_utf8_lossy(bytes);
                text.starts_with("GET /rows-feed?table=op&") && !text.contains("wait_ms=0 ")
            }
            Self::Open | Self::Reset => false,
        }
    }
}

/// Bytes of the store's answers that are replaced by others of the same length.
#[derive(Debug)]
pub struct Replacement {
    pub from: Vec<u8>,
    pub to: Vec<u8>,
}

impl Replacement {
    fn apply(&self, bytes: &mut [u8]) {
        let mut position = 0;
        while position + self.from.len() <= bytes.len() {
            if bytes[position..].starts_with(&self.from) {
                bytes[position..position + self.to.len()].copy_from_slice(&self.to);
            }
            position += 1;
        }
    }

    /// Returns how many bytes at the end may be the beginning of a match.
    fn partial_match_len(&self, bytes: &[u8]) -> usize {
        let lengths = (1..self.from.len()).rev();
        let mut matches = lengths.filter(|length| bytes.ends_with(&self.from[..*length]));
        matches.next().unwrap_or(0)
    }
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
        Self::start_replacing(target, Vec::new()).await
    }

    /// Like [`StoreProxy::start`], and replaces bytes of the store's answers.
    pub async fn start_replacing(target: SocketAddr, replacements: Vec<Replacement>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(watch::Sender::new(ProxyState::Open));
        tokio::spawn(accept(
            listener,
            target,
            Arc::clone(&state),
            replacements.into(),
        ));
        Self { address, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_state(&self, state: ProxyState) {
        self.state.send_replace(state);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
    replacements: Arc<[Replacement]>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if *state.borrow() != ProxyState::Reset {
            tokio::spawn(forward_replacing(
                stream,
                target,
                state.subscribe(),
                Arc::clone(&replacements),
            ));
        }
    }
}

/// Forwards a connection to `target` until either side closes it.
pub async fn forward_connection(
    stream: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<ProxyState>,
) {
    forward_replacing(stream, target, state, Arc::default()).await;
}

async fn forward_replacing(
    stream: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<ProxyState>,
    replacements: Arc<[Replacement]>,
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
        () = copy_bytes(from_process, to_store, state.clone(), Arc::default()) => {}
        () = copy_bytes(from_store, to_process, state.clone(), replacements) => {}
    }
}

/// Copies bytes until the sender closes its side. If bytes arrive while the proxy is
/// silent, the connection stays silent until it is closed, because forwarding only
/// later bytes would leave a gap in the data.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: watch::Receiver<ProxyState>,
    replacements: Arc<[Replacement]>,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut unsent = Vec::new();
    let mut is_silent = false;
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        is_silent |= state.borrow().silences(&buffer[..length]);
        unsent.extend_from_slice(&buffer[..length]);
        for replacement in replacements.iter() {
            replacement.apply(&mut unsent);
        }
        let held_back = replacements
            .iter()
            .map(|replacement| replacement.partial_match_len(&unsent))
            .max();
        let sent = unsent.len() - held_back.unwrap_or(0);
        if !is_silent && to.write_all(&unsent[..sent]).await.is_err() {
            return;
        }
        unsent.drain(..sent);
    }
}
