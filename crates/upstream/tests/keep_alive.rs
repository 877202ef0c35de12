//! Connections that die while they are reused: a failure that says "not run"
//! must never concern a request that the upstream has read.

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

const CALLS: u32 = 300;
const CALLERS: u32 = 4;
const DEADLINE_MS: u64 = 30_000;

/// Paths of the requests of which any byte was read.
type ReadPaths = Arc<Mutex<BTreeSet<String>>>;

/// How a connection ends after some answers.
#[derive(Debug, Clone, Copy)]
enum Ending {
    /// It is closed right after an answer, while the client pools it.
    AfterAnswer,
    /// It is closed a moment later, while the client may be writing.
    SoonAfterAnswer,
    /// It is closed once the head of the next request was read.
    AfterHead,
}

async fn serve(mut socket: TcpStream, read: ReadPaths, ending: Ending, answers: u32) {
    for _ in 0..answers {
        if !read_head(&mut socket, &read).await {
            return;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if socket.write_all(answer).await.is_err() {
            return;
        }
    }
    match ending {
        Ending::AfterAnswer => {}
        Ending::SoonAfterAnswer => tokio::time::sleep(Duration::from_micros(300)).await,
        Ending::AfterHead => {
            read_head(&mut socket, &read).await;
        }
    }
}

/// Reads up to the end of a head and notes its path.
async fn read_head(socket: &mut TcpStream, read: &ReadPaths) -> bool {
    let mut head = Vec::new();
    let mut buffer = [0; 1_024];
    while !head.windows(4).any(|part| part == b"\r\n\r\n") {
        match socket.read(&mut buffer).await {
            Ok(count) if count > 0 => head.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&head);
    let Some(path) = text.split_whitespace().nth(1) else {
        return false;
    };
    read.lock().unwrap().insert(path.to_owned());
    true
}

async fn start(ending: Ending) -> (SocketAddr, ReadPaths) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let read = ReadPaths::default();
    let paths = Arc::clone(&read);
    tokio::spawn(async move {
        let mut count = 0;
        while let Ok((socket, _)) = listener.accept().await {
            count += 1;
            tokio::spawn(serve(socket, Arc::clone(&paths), ending, 1 + count % 3));
        }
    });
    (address, read)
}

/// Failures that say "not run", as the paths of their calls.
async fn call_many(address: SocketAddr, caller: u32, client: UpstreamClient) -> Vec<String> {
    let mut not_run = Vec::new();
    for number in 0..CALLS {
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

async fn check(ending: Ending) {
    let (address, read) = start(ending).await;
    let client = UpstreamClient::new();
    let callers = (0..CALLERS).map(|caller| call_many(address, caller, client.clone()));
    let not_run = futures::future::join_all(callers).await.concat();
    let read = read.lock().unwrap();
    let untrue: Vec<_> = not_run.iter().filter(|path| read.contains(*path)).collect();
    assert!(untrue.is_empty(), "{ending:?}: {untrue:?}");
    assert!(!read.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn call_on_a_dying_connection_is_classified_honestly() {
    for ending in [
        Ending::AfterAnswer,
        Ending::SoonAfterAnswer,
        Ending::AfterHead,
    ] {
        check(ending).await;
    }
}
