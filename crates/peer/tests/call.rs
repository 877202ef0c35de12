//! Calls from a client to a server over the peer protocol: responses, errors,
//! deadlines, size limits and protocol versions.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use model::{ClassName, ErrorKind, JobId};
use peer::{
    CoalesceRequest, MESSAGE_MAX_BYTES, PeerClient, PeerError, PeerHandler, PeerRequest,
    PeerResponse, decode, encode, serve,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Time-out of operations that are expected to succeed. The handler also delays
/// coalesce requests by this time, so that they exceed a short deadline.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Refuses every request and counts the requests. A coalesce request takes
/// [`TIMEOUT`].
#[derive(Debug, Default)]
struct CountingHandler {
    received: AtomicUsize,
    completed: AtomicUsize,
}

impl PeerHandler for CountingHandler {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        self.received.fetch_add(1, Ordering::SeqCst);
        if let PeerRequest::Coalesce { .. } = request {
            sleep(TIMEOUT).await;
        }
        self.completed.fetch_add(1, Ordering::SeqCst);
        PeerResponse::Refused(ErrorKind::NotReady)
    }
}

struct Server {
    address: String,
    handler: Arc<CountingHandler>,
    task: JoinHandle<()>,
}

async fn start_server(address: &str) -> Server {
    let listener = TcpListener::bind(address).await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let handler = Arc::new(CountingHandler::default());
    let task = tokio::spawn(serve(
        listener,
        Arc::clone(&handler),
        std::future::pending(),
    ));
    Server {
        address,
        handler,
        task,
    }
}

fn cancel_job_request() -> PeerRequest {
    PeerRequest::CancelJob(JobId::new("job-1"))
}

async fn call(client: &PeerClient, address: &str) -> Result<PeerResponse, PeerError> {
    client
        .call(address, &cancel_job_request(), Instant::now() + TIMEOUT)
        .await
}

#[tokio::test]
async fn call_returns_the_response() {
    let server = start_server("127.0.0.1:0").await;
    let client = PeerClient::new();
    for _ in 0..3 {
        let response = call(&client, &server.address).await.expect("response");
        assert_eq!(response, PeerResponse::Refused(ErrorKind::NotReady));
    }
    assert_eq!(server.handler.received.load(Ordering::SeqCst), 3);
}

#[tokio::test]
async fn call_refused_connection_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    drop(listener);
    let error = call(&PeerClient::new(), &address)
        .await
        .expect_err("refused");
    assert!(error.is_unsent());
    assert_eq!(error.kind(), ErrorKind::ConnectRefused);
}

#[tokio::test]
async fn call_with_a_host_name_is_refused() {
    let error = call(&PeerClient::new(), "localhost:80")
        .await
        .expect_err("not IP:PORT");
    assert!(matches!(error, PeerError::Address(_)));
}

fn coalesce_request(key: &str) -> PeerRequest {
    PeerRequest::Coalesce(CoalesceRequest {
        key: Arc::from(key),
        digest: 0,
        class: ClassName::new("hint"),
        body: None,
        received_tokens: 0,
        wait_ms: 0,
    })
}

#[tokio::test]
async fn call_past_the_deadline_cancels_the_handler() {
    let server = start_server("127.0.0.1:0").await;
    let request = coalesce_request("key");
    let deadline = Instant::now() + Duration::from_millis(300);
    let error = PeerClient::new()
        .call(&server.address, &request, deadline)
        .await
        .expect_err("the handler is slow");
    assert_eq!(error.kind(), ErrorKind::DeadlineExceeded);
    assert!(!error.is_unsent());
    assert_eq!(server.handler.completed.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn call_to_a_silent_peer_times_out() {
    // The kernel completes the TCP handshake, but no program accepts the
    // connection or responds.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let deadline = Instant::now() + Duration::from_millis(200);
    let error = PeerClient::new()
        .call(&address, &cancel_job_request(), deadline)
        .await
        .expect_err("silent");
    assert!(matches!(error, PeerError::Deadline), "{error:?}");
}

#[tokio::test]
async fn call_reconnects_after_a_restart() {
    let server = start_server("127.0.0.1:0").await;
    let client = PeerClient::new();
    call(&client, &server.address).await.expect("response");
    server.task.abort();
    let _ = server.task.await;
    let restarted = start_server(&server.address).await;
    // The first call may still use the broken connection to the old server.
    let mut response = call(&client, &restarted.address).await;
    if response.is_err() {
        response = call(&client, &restarted.address).await;
    }
    response.expect("response after the restart");
}

#[tokio::test]
async fn call_with_too_large_request_is_refused_before_sending() {
    let server = start_server("127.0.0.1:0").await;
    let request = coalesce_request(&"x".repeat(MESSAGE_MAX_BYTES + 1));
    let error = PeerClient::new()
        .call(&server.address, &request, Instant::now() + TIMEOUT)
        .await
        .expect_err("too large");
    assert!(matches!(error, PeerError::TooLarge));
    assert_eq!(server.handler.received.load(Ordering::SeqCst), 0);
}

/// Sends `body` under any protocol version and returns the HTTP status of the
/// response.
async fn send_raw(address: &str, version: &str, body: Vec<u8>) -> u16 {
    let stream = TcpStream::connect(address).await.expect("connect");
    let (sender, connection) = h2::client::handshake(stream).await.expect("handshake");
    tokio::spawn(connection);
    let request = http::Request::post("http://peer/")
        .header("redwingtack-protocol", version)
        .body(())
        .expect("request");
    let mut sender = sender.ready().await.expect("ready");
    let (response, mut stream) = sender.send_request(request, false).expect("send");
    stream.send_data(Bytes::from(body), true).expect("send");
    response.await.expect("response").status().as_u16()
}

#[tokio::test]
async fn serve_refuses_other_protocol_versions() {
    let server = start_server("127.0.0.1:0").await;
    let body = encode(&cancel_job_request()).expect("encode");
    assert_eq!(send_raw(&server.address, "2", body.clone()).await, 505);
    assert_eq!(send_raw(&server.address, "x", body.clone()).await, 505);
    assert_eq!(send_raw(&server.address, "1", body).await, 200);
    assert_eq!(server.handler.received.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn serve_refuses_malformed_bodies() {
    let server = start_server("127.0.0.1:0").await;
    let mut body = encode(&cancel_job_request()).expect("encode");
    body.push(0);
    assert_eq!(send_raw(&server.address, "1", body).await, 400);
    assert_eq!(send_raw(&server.address, "1", vec![250; 40]).await, 400);
    assert_eq!(server.handler.received.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn call_to_another_protocol_version_is_a_version_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accept");
        let mut connection = h2::server::handshake(stream).await.expect("handshake");
        while let Some(Ok((_, mut respond))) = connection.accept().await {
            let response = http::Response::builder()
                .status(505)
                .header("redwingtack-protocol", "7")
                .body(())
                .expect("response");
            respond.send_response(response, true).expect("send");
        }
    });
    let error = call(&PeerClient::new(), &address)
        .await
        .expect_err("another version");
    assert!(matches!(error, PeerError::Version { theirs: 7 }));
    assert!(error.is_unsent());
}

#[test]
fn decode_refuses_excessive_length_prefix() {
    // A request whose string claims to be 2^60 bytes long must be refused
    // before memory for it is allocated.
    let mut body = vec![5, 253];
    body.extend_from_slice(&(1_u64 << 60).to_le_bytes());
    assert!(decode::<PeerRequest>(&body).is_err());
}
