//! Upstreams whose responses have a status that is none, or one that nobody asked for.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use model::{ErrorKind, Ran};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::Instant,
};
use upstream::{ServiceCall, UpstreamClient, UpstreamError, headers};

/// Statuses that an HTTP client accepts although they are invalid.
const INVALID: [&str; 3] = ["101 Switching Protocols", "600 Unknown", "999 Unknown"];
const DEADLINE: Duration = Duration::from_secs(10);

/// Starts an upstream that answers the first request of each connection with this head.
async fn start_upstream(head: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut request = vec![0; 4_096];
            if socket.read(&mut request).await.is_ok() {
                // The other side may have closed the connection.
                let _ = socket.write_all(head.as_bytes()).await;
            }
        }
    });
    address
}

async fn call(address: SocketAddr) -> Result<u16, UpstreamError> {
    let call = ServiceCall {
        method: Method::GET,
        path_and_query: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let client = UpstreamClient::new();
    let answer = client.call(address, "a", call, Instant::now() + DEADLINE);
    answer.await.map(|answer| answer.status.as_u16())
}

/// Guards against a status that is none in an answer to a caller, and against a promise with such
/// a status.
#[tokio::test]
async fn response_with_an_invalid_status_is_a_failure_that_ran() {
    let refusal = format!("{}: no\r\n", headers::RAN);
    for status in INVALID {
        for header in ["", &refusal] {
            let head = format!("HTTP/1.1 {status}\r\n{header}Content-Length: 2\r\n\r\nok");
            let error = call(start_upstream(head).await).await.unwrap_err();
            assert_eq!(error.kind, ErrorKind::UpstreamFailed, "{status}, {header}");
            assert_eq!(error.ran(), Ran::Yes, "{status}, {header}");
        }
    }
}

/// Guards against the loss of sound answers.
#[tokio::test]
async fn response_with_a_valid_status_is_returned() {
    for status in [200, 302, 404, 500, 599] {
        let head = format!("HTTP/1.1 {status} Any\r\nContent-Length: 2\r\n\r\nok");
        let answer = call(start_upstream(head).await).await;
        assert_eq!(answer.unwrap(), status);
    }
}
