//! Answers of services that answer before they have read a long request, and end their connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use model::ErrorKind;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep},
};
use upstream::{ServiceAnswer, ServiceCall, UpstreamClient, UpstreamError};

/// Size of a request that exceeds what the connection holds, and of one that the socket of its
/// sender takes in full, bytes.
const SIZES_BYTES: [usize; 2] = [3_900_000, 200_000];
/// Receive buffer of the service, bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Time in which the client acts on what has arrived.
const TIME_TO_ACT: Duration = Duration::from_millis(100);
/// Time within which a call is answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An answer that has neither a length nor chunks.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nanswer";

/// What the service does after the end of its answer, while the request is still arriving.
#[derive(Debug, Clone, Copy)]
enum AfterEnd {
    Reset,
    ReadOn,
}

/// Starts a service that answers the first request.
fn start_service(after_end: AfterEnd) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        answer(stream, after_end).await;
    });
    address
}

async fn answer(mut stream: TcpStream, after_end: AfterEnd) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    stream.write_all(ANSWER).await.unwrap();
    stream.shutdown().await.unwrap();
    sleep(TIME_TO_ACT).await;
    match after_end {
        AfterEnd::Reset => stream.set_zero_linger().unwrap(),
        AfterEnd::ReadOn => {
            let mut buffer = vec![0; 64 * 1024];
            while let Ok(1..) = stream.read(&mut buffer).await {}
        }
    }
}

async fn call(address: SocketAddr, size_bytes: usize) -> Result<ServiceAnswer, UpstreamError> {
    let call = ServiceCall {
        method: Method::POST,
        path_and_query: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; size_bytes]),
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    UpstreamClient::new()
        .call(address, "attempt", call, deadline)
        .await
}

/// Guards against a part of an answer that looks whole because its end came before the reset.
#[tokio::test]
async fn undelimited_answer_that_ends_before_its_reset_is_lost() {
    let mut whole = Vec::new();
    for size_bytes in SIZES_BYTES {
        match call(start_service(AfterEnd::Reset), size_bytes).await {
            Ok(_) => whole.push(size_bytes),
            Err(error) => assert_eq!(error.kind, ErrorKind::ConnectionLost),
        }
    }
    assert!(whole.is_empty(), "taken for whole answers: {whole:?}");
}

/// Guards against the loss of sound answers: a service may answer early and read on.
#[tokio::test]
async fn early_answer_of_a_service_that_reads_on_is_complete() {
    for size_bytes in SIZES_BYTES {
        let answer = call(start_service(AfterEnd::ReadOn), size_bytes).await;
        assert_eq!(answer.unwrap().body, "answer", "{size_bytes} bytes");
    }
}
