//! Tests of connections that close while they are reused: a failure must not be
//! reported as "not run" if the upstream has read any byte of the request.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method};
use model::Ran;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};
use upstream::{ServiceCall, UpstreamClient};

const CALLS_PER_CALLER: u32 = 300;
const CALLERS: u32 = 4;
const DEADLINE_MS: u64 = 30_000;

/// Paths of the requests whose heads the upstream has read, in whole or in part.
type ReadPaths = Arc<Mutex<BTreeSet<String>>>;

/// When the upstream closes a connection that has served some responses.
#[derive(Debug, Clone, Copy)]
enum CloseTime {
    /// Right after a response, while the client returns the connection to its
    /// pool.
    AfterResponse,
    /// 300 µs after a response, while the client may be writing the next request.
    ShortlyAfterResponse,
    /// After the head of the next request was read.
    AfterHead,
}

async fn serve_connection(
    mut socket: TcpStream,
    read_paths: ReadPaths,
    close_time: CloseTime,
    response_count: u32,
) {
    for _ in 0..response_count {
        if !read_head(&mut socket, &read_paths).await {
            return;
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if socket.write_all(response).await.is_err() {
            return;
        }
    }
    match close_time {
        CloseTime::AfterResponse => {}
        CloseTime::ShortlyAfterResponse => tokio::time::sleep(Duration::from_micros(300)).await,
        CloseTime::AfterHead => {
            read_head(&mut socket, &read_paths).await;
        }
    }
}

/// Reads the head of a request and records its path. Returns false if the
/// connection ended before a path was read.
async fn read_head(socket: &mut TcpStream, read_paths: &ReadPaths) -> bool {
    let mut head = Vec::new();
    let mut buffer = [0; 1_024];
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        match socket.read(&mut buffer).await {
            Ok(count) if count > 0 => head.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&head);
    let Some(path) = text.split_whitespace().nth(1) else {
        return false;
    };
    read_paths.lock().unwrap().insert(path.to_owned());
    true
}

async fn start_upstream(close_time: CloseTime) -> (SocketAddr, ReadPaths) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let read_paths = ReadPaths::default();
    let shared_paths = Arc::clone(&read_paths);
    tokio::spawn(async move {
        let mut count = 0;
        while let Ok((socket, _)) = listener.accept().await {
            count += 1;
            tokio::spawn(serve_connection(
                socket,
                Arc::clone(&shared_paths),
                close_time,
                1 + count % 3,
            ));
        }
    });
    (address, read_paths)
}

/// Makes [`CALLS_PER_CALLER`] calls and returns the paths of those that failed as "not run".
async fn call_many(address: SocketAddr, caller: u32, client: UpstreamClient) -> Vec<String> {
    let mut not_run = Vec::new();
    for number in 0..CALLS_PER_CALLER {
        let path = format!("/{caller}/{number}");
        let call = ServiceCall {
            method: Method::POST,
            path_and_query: path.clone(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS);
        let outcome = client.call(address, &path, call, deadline).await;
        if outcome.is_err_and(|error| error.ran() == Ran::No) {
            not_run.push(path);
        }
    }
    not_run
}

async fn assert_not_run_is_accurate(close_time: CloseTime) {
    let (address, read_paths) = start_upstream(close_time).await;
    let client = UpstreamClient::new();
    let callers = (0..CALLERS).map(|caller| call_many(address, caller, client.clone()));
    let not_run = futures::future::join_all(callers).await.concat();
    let read_paths = read_paths.lock().unwrap();
    let misreported: Vec<_> = not_run
        .iter()
        .filter(|path| read_paths.contains(*path))
        .collect();
    assert!(misreported.is_empty(), "{close_time:?}: {misreported:?}");
    assert!(!read_paths.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn call_on_closing_connection_never_reports_read_request_as_not_run() {
    for close_time in [
        CloseTime::AfterResponse,
        CloseTime::ShortlyAfterResponse,
        CloseTime::AfterHead,
    ] {
        assert_not_run_is_accurate(close_time).await;
    }
}
