//! Overhead of a peer exchange beyond its messages: bytes that HTTP/2 and the
//! layers below it add, and processor time of both ends.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use model::JobId;
use peer::{PeerClient, PeerHandler, PeerRequest, PeerResponse, encode, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::Instant,
};

use super::cost::{cpu_s, to_f64};

/// Exchanges per measurement.
const EXCHANGE_COUNT: u64 = 20_000;
/// Exchanges that fill the header compression tables of HTTP/2 before the
/// measurement.
const WARM_UP_COUNT: u64 = 100;
const US_PER_S: f64 = 1_000_000.0;
/// Headers per segment: IP (20 bytes) and TCP with time stamps (32 bytes). They
/// are added by calculation and not measured, as is one acknowledgement per
/// exchange.
const SEGMENT_HEADER_BYTES: f64 = 52.0;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Overhead of an exchange.
#[derive(Debug, Clone, Copy, Default)]
pub struct WireCost {
    /// Bytes in addition to the message, for each of the two frames of an
    /// exchange.
    pub overhead_bytes: f64,
    /// Processor time of caller and callee together, microseconds.
    pub cpu_us: f64,
}

struct AckHandler;

impl PeerHandler for AckHandler {
    async fn handle(&self, _: PeerRequest) -> PeerResponse {
        PeerResponse::Ack
    }
}

/// Measures the bytes through a counting proxy and the processor time over a
/// direct connection.
///
/// # Errors
///
/// Returns a message if a connection fails.
pub async fn measure() -> Result<WireCost, String> {
    let server = start_server().await?;
    let bytes = Arc::new(AtomicU64::new(0));
    let proxy = start_proxy(server, Arc::clone(&bytes)).await?;
    let request = PeerRequest::CancelJob(JobId::new("job"));
    let body_bytes = encoded_len(&request)? + encoded_len(&PeerResponse::Ack)?;
    let client = PeerClient::new();
    exchange(&client, proxy, &request, WARM_UP_COUNT).await?;
    let bytes_before = bytes.load(Ordering::SeqCst);
    exchange(&client, proxy, &request, EXCHANGE_COUNT).await?;
    let wire_bytes = to_f64(bytes.load(Ordering::SeqCst) - bytes_before) / to_f64(EXCHANGE_COUNT);
    let http_overhead_bytes = (wire_bytes - to_f64(body_bytes)) / 2.0;
    exchange(&client, server, &request, WARM_UP_COUNT).await?;
    let started_s = cpu_s()?;
    exchange(&client, server, &request, EXCHANGE_COUNT).await?;
    let cpu_us = (cpu_s()? - started_s) * US_PER_S / to_f64(EXCHANGE_COUNT);
    Ok(WireCost {
        // One and a half segment headers per frame: one for the frame itself and
        // half of the one for the acknowledgement per exchange.
        overhead_bytes: http_overhead_bytes + SEGMENT_HEADER_BYTES * 1.5,
        cpu_us,
    })
}

async fn exchange(
    client: &PeerClient,
    address: SocketAddr,
    request: &PeerRequest,
    count: u64,
) -> Result<(), String> {
    let address = address.to_string();
    for _ in 0..count {
        let deadline = Instant::now() + TIMEOUT;
        let response = client.call(&address, request, deadline).await;
        response.map_err(|error| error.to_string())?;
    }
    Ok(())
}

async fn start_server() -> Result<SocketAddr, String> {
    let listener = bind().await?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let handler = Arc::new(AckHandler);
    tokio::spawn(serve(listener, handler, std::future::pending()));
    Ok(address)
}

/// Starts a proxy that forwards one connection and counts its bytes in both
/// directions.
async fn start_proxy(server: SocketAddr, bytes: Arc<AtomicU64>) -> Result<SocketAddr, String> {
    let listener = bind().await?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        let Ok((client_stream, _)) = listener.accept().await else {
            return;
        };
        let Ok(server_stream) = TcpStream::connect(server).await else {
            return;
        };
        let (client_read, client_write) = client_stream.into_split();
        let (server_read, server_write) = server_stream.into_split();
        tokio::spawn(copy(client_read, server_write, Arc::clone(&bytes)));
        copy(server_read, client_write, bytes).await;
    });
    Ok(address)
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; 16 * 1_024];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        bytes.fetch_add(u64::try_from(count).unwrap_or(0), Ordering::SeqCst);
    }
}

async fn bind() -> Result<TcpListener, String> {
    TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(|error| error.to_string())
}

fn encoded_len(message: &impl serde::Serialize) -> Result<u64, String> {
    let body = encode(message).map_err(|error| error.to_string())?;
    u64::try_from(body.len()).map_err(|error| error.to_string())
}
