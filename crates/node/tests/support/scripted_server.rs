//! A server whose answers a test writes byte by byte.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

use super::TestCluster;

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    pub path: String,
    pub id: String,
    /// Event after which the answer goes on.
    pub after_event: Option<u64>,
    /// Time that the sender waits for the complete answer, milliseconds.
    pub time_left_ms: Option<u64>,
    /// Length of the body, bytes.
    body_length: usize,
}

/// How much of a request a server reads before it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reads {
    Head,
    Everything,
}

/// How a server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    Close,
    Reset,
    /// Not at all: the server waits until the other side has closed.
    Wait,
}

/// What a server sends before it ends the connection.
#[derive(Debug, Clone)]
pub struct Reply {
    bytes: Arc<str>,
    end: ConnectionEnd,
}

/// Servers of which each replies by the number of attempts that a request has had at any of them.
#[derive(Debug)]
pub struct ScriptedFleet {
    pub servers: Vec<ScriptedServer>,
    /// Number of attempts by request id.
    attempts: Arc<Mutex<HashMap<String, usize>>>,
}

/// Address of a running server, which ends with the runtime of the test.
#[derive(Debug)]
pub struct ScriptedServer {
    pub address: SocketAddr,
}

impl ScriptedServer {
    /// Starts a server that reads the first request of each connection and has `answer` write to
    /// the connection.
    pub fn start<F, A>(answer: F) -> Self
    where
        F: Fn(RequestHead, TcpStream) -> A + Send + 'static,
        A: Future<Output = ()> + Send + 'static,
    {
        Self::start_on(TcpSocket::new_v4().unwrap(), Reads::Everything, answer)
    }

    /// Starts a server that reads only the heads of requests, with a receive buffer of this size,
    /// bytes, so that long bodies stay in part at their senders.
    pub fn start_with_receive_buffer<F, A>(size_bytes: u32, answer: F) -> Self
    where
        F: Fn(RequestHead, TcpStream) -> A + Send + 'static,
        A: Future<Output = ()> + Send + 'static,
    {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(size_bytes).unwrap();
        Self::start_on(socket, Reads::Head, answer)
    }

    fn start_on<F, A>(socket: TcpSocket, reads: Reads, answer: F) -> Self
    where
        F: Fn(RequestHead, TcpStream) -> A + Send + 'static,
        A: Future<Output = ()> + Send + 'static,
    {
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(BACKLOG).unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                if let Some(head) = read_request(&mut stream, reads).await {
                    tokio::spawn(answer(head, stream));
                }
            }
        });
        Self { address }
    }

    /// Registers the server under `id`.
    pub async fn register(&self, cluster: &TestCluster, id: &str, slots: u32) {
        let registration = json!({
            "service": "oracle", "addr": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1
        });
        cluster.put_row("servers", id, &registration).await;
    }
}

impl Reply {
    pub fn new(bytes: &str, end: ConnectionEnd) -> Self {
        Self {
            bytes: Arc::from(bytes),
            end,
        }
    }

    /// Creates a reply after which the server closes the connection.
    pub fn closed(bytes: impl AsRef<str>) -> Self {
        Self::new(bytes.as_ref(), ConnectionEnd::Close)
    }

    async fn send(self, mut stream: TcpStream) {
        // The other side may have closed the connection.
        let _ = stream.write_all(self.bytes.as_bytes()).await;
        match self.end {
            ConnectionEnd::Close => {}
            ConnectionEnd::Reset => {
                let _ = stream.set_zero_linger();
            }
            ConnectionEnd::Wait => {
                let _ = stream.read_u8().await;
            }
        }
    }
}

impl ScriptedFleet {
    /// Starts and registers `count` servers. `reply` gets the number of earlier attempts of the
    /// request.
    pub async fn start<F>(cluster: &TestCluster, count: usize, reply: F) -> Self
    where
        F: Fn(&RequestHead, usize) -> Reply + Clone + Send + 'static,
    {
        let mut fleet = Self {
            servers: Vec::new(),
            attempts: Arc::default(),
        };
        for index in 0..count {
            let reply = reply.clone();
            let attempts = Arc::clone(&fleet.attempts);
            let server = ScriptedServer::start(move |request, stream| {
                let mut attempts = attempts.lock().unwrap();
                let attempt = attempts.entry(request.id.clone()).or_default();
                let reply = reply(&request, *attempt);
                *attempt += 1;
                reply.send(stream)
            });
            let id = format!("scripted-{index}");
            server.register(cluster, &id, 8).await;
            fleet.servers.push(server);
        }
        fleet
    }

    /// Returns the number of attempts that a request has had.
    pub fn attempts_of(&self, id: &str) -> usize {
        self.attempts.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

/// Returns the events of the answer to a request, as [`super::complete_stream`] has them.
pub fn events(id: &str, range: impl Iterator<Item = u64>) -> String {
    let events: Vec<_> = range
        .map(|event| format!("id: {event}\ndata: {id} {event}\n\n"))
        .collect();
    events.concat()
}

/// Returns a chunk of a body in chunks.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Reads a further request of a connection. Returns `None` if the connection ends.
pub async fn read_next_request(stream: &mut TcpStream) -> Option<RequestHead> {
    read_request(stream, Reads::Everything).await
}

/// Returns `None` if the connection ends.
async fn read_request(stream: &mut TcpStream, reads: Reads) -> Option<RequestHead> {
    let head = read_head(stream).await?;
    if reads == Reads::Everything {
        let mut body = vec![0; head.body_length];
        stream.read_exact(&mut body).await.ok()?;
    }
    Some(head)
}

/// Reads up to the end of the head, byte by byte. Returns `None` if the connection ends.
async fn read_head(stream: &mut TcpStream) -> Option<RequestHead> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let value_of = |name: &str| {
        let mut headers = head.lines().filter_map(|line| line.split_once(": "));
        let (_, value) = headers.find(|(header, _)| header.eq_ignore_ascii_case(name))?;
        Some(value.to_owned())
    };
    Some(RequestHead {
        path: head.split_whitespace().nth(1)?.to_owned(),
        id: value_of("redwingtack-request-id").unwrap_or_default(),
        after_event: value_of("last-event-id").and_then(|id| id.parse().ok()),
        time_left_ms: value_of("redwingtack-deadline-ms").and_then(|time| time.parse().ok()),
        body_length: value_of("content-length").map_or(0, |length| length.parse().unwrap()),
    })
}
