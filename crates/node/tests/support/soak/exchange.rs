//! One request of a client and its answer, as the client's socket shows them.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};

use super::history::{SoakClock, Span};

/// Time that a client allows for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A complete answer came.
    Answered,
    /// The answer broke off.
    Cut,
    /// The connection was closed without an answer.
    Closed,
    /// The request was not sent: no connection could be opened, or it was closed before.
    Unsent,
    /// The client's time was over.
    TimedOut,
}

/// What a client sends.
#[derive(Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: Bytes,
    /// Time that the client waits.
    pub patience: Duration,
}

/// What came of a call.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub ending: Ending,
    pub status: Option<StatusCode>,
    pub body: String,
    /// From the moment at which the request was sent.
    pub span: Span,
}

/// An open connection to an instance.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    clock: SoakClock,
}

impl Connection {
    /// Returns `None` if no connection can be opened.
    pub async fn open(address: SocketAddr, clock: SoakClock) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let (sender, connection) = http1::handshake(TokioIo::new(stream.ok()?.ok()?))
            .await
            .ok()?;
        tokio::spawn(connection);
        Some(Self { sender, clock })
    }

    /// Returns whether another request can be sent.
    pub async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    pub async fn send(&mut self, call: Call<'_>) -> Exchange {
        let mut request = Request::builder().method(call.method).uri(call.path);
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(call.body)).unwrap();
        let sent_ms = self.clock.now_ms();
        let deadline = Instant::now() + call.patience;
        let mut exchange = Exchange {
            ending: Ending::TimedOut,
            status: None,
            body: String::new(),
            span: Span::new(sent_ms, sent_ms),
        };
        match timeout_at(deadline, self.sender.send_request(request)).await {
            Ok(Ok(response)) => exchange.read(response, deadline).await,
            Ok(Err(error)) if error.is_canceled() => exchange.ending = Ending::Unsent,
            Ok(Err(_)) => exchange.ending = Ending::Closed,
            Err(_) => {}
        }
        exchange.span.to_ms = self.clock.now_ms();
        exchange
    }
}

impl Exchange {
    fn unsent(now_ms: u64) -> Self {
        Self {
            ending: Ending::Unsent,
            status: None,
            body: String::new(),
            span: Span::new(now_ms, now_ms),
        }
    }

    async fn read(&mut self, response: Response<Incoming>, deadline: Instant) {
        self.status = Some(response.status());
        let mut body = response.into_body();
        let mut content = Vec::new();
        self.ending = loop {
            match timeout_at(deadline, body.frame()).await {
                Ok(None) => break Ending::Answered,
                Ok(Some(Ok(frame))) => {
                    content.extend_from_slice(&frame.into_data().unwrap_or_default());
                }
                Ok(Some(Err(_))) => break Ending::Cut,
                Err(_) => break Ending::TimedOut,
            }
        };
        self.body = String::from_utf8_lossy(&content).into_owned();
    }
}

/// Sends a call on a new connection.
pub async fn send_once(address: SocketAddr, clock: SoakClock, call: Call<'_>) -> Exchange {
    match Connection::open(address, clock).await {
        Some(mut connection) => connection.send(call).await,
        None => Exchange::unsent(clock.now_ms()),
    }
}
