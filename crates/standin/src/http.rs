//! HTTP server that all stand-ins share. It applies the scripted faults before
//! a request reaches the handler of the stand-in.

use std::{
    convert::Infallible, fmt, future::Future, io, net::SocketAddr, sync::Arc, time::Duration,
};

use bytes::Bytes;
use futures::{Stream, TryStreamExt};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use crate::{
    Fault, FaultKind, FaultScript,
    fault::{Access, Disconnection},
};

/// Delay between two attempts to bind the port again.
const BIND_RETRY_DELAY_MS: u64 = 20;

pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Error of a request whose connection is closed without sending another byte.
#[derive(Debug)]
pub(crate) struct ConnectionDropped;

impl fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for ConnectionDropped {}

/// Response to a request, or the instruction to close its connection.
pub(crate) type Reply = Result<Response<Body>, ConnectionDropped>;

/// Request handler of one kind of stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the scripted faults, which `/standin/faults` sets and clears.
    fn faults(&self) -> &FaultScript;

    /// Answers a control request, whose path begins with `/standin/`. No fault
    /// but [`FaultKind::Down`] affects control requests.
    fn handle_control(&self, request: Request<Bytes>) -> Response<Body>;

    /// Returns the text that [`Fault::contains`] is searched for in: the body as
    /// received unless a stand-in overrides this method.
    fn searchable_body(&self, request: &Request<Bytes>) -> Bytes {
        request.body().clone()
    }

    /// Answers a request that is not a control request.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Reply> + Send;
}

/// Handle of a running stand-in. Dropping the handle closes the listener and
/// every connection at once.
#[derive(Debug)]
pub struct Standin {
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Standin {
    /// Returns the address that the stand-in listens at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the stand-in at once: closes the listener and every connection.
    pub fn abort(&self) {
        self.stop.send_replace(true);
    }

    /// Returns a receiver that holds `true` once the stand-in is to stop.
    pub(crate) fn stop_signal(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }
}

/// Binds `address` and serves requests with `handler` until the returned handle
/// is dropped or aborted.
pub(crate) async fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Standin> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let stop = watch::Sender::new(false);
    let mut stop_signal = stop.subscribe();
    tokio::spawn(async move {
        tokio::select! {
            // An error means that the handle was dropped.
            _ = stop_signal.wait_for(|stopped| *stopped) => {}
            () = accept_connections(listener, address, handler) => {}
        }
    });
    Ok(Standin { address, stop })
}

/// Accepts connections and never returns. Each [`FaultKind::Down`] fault closes
/// the port and every connection for its duration.
async fn accept_connections<H: Handler>(
    mut listener: TcpListener,
    address: SocketAddr,
    handler: Arc<H>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    connections.spawn(serve_connection(socket, Arc::clone(&handler)));
                }
            }
            Some(_) = connections.join_next() => {}
            disconnection = handler.faults().wait_until_disconnected() => match disconnection {
                Disconnection::Down { reopens_at } => {
                    drop(listener);
                    connections.shutdown().await;
                    tokio::time::sleep_until(reopens_at).await;
                    listener = bind_with_retries(address).await;
                }
                Disconnection::ListenerOpen => connections.shutdown().await,
            }
        }
    }
}

/// Binds `address`, retrying until the port is free.
async fn bind_with_retries(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => log::warn!("event=bind_failed address={address} error={error:?}"),
        }
        tokio::time::sleep(Duration::from_millis(BIND_RETRY_DELAY_MS)).await;
    }
}

async fn serve_connection<H: Handler>(socket: TcpStream, handler: Arc<H>) {
    // Nagle's algorithm would delay small writes until earlier ones are
    // acknowledged. A failure here costs only latency, so it is ignored.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { dispatch(handler.as_ref(), request).await }
    });
    // An error means that the connection broke, which the client notices itself.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

async fn dispatch<H: Handler>(handler: &H, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if path == "/standin/faults" {
        return Ok(handle_faults(handler.faults(), &read_body(request).await?));
    }
    if path == "/healthz" {
        return Ok(text_response(StatusCode::OK, "ok\n"));
    }
    if path.starts_with("/standin/") {
        return Ok(handler.handle_control(read_body(request).await?));
    }
    let access = if request.method() == Method::GET {
        Access::Read
    } else {
        Access::Write
    };
    if handler.faults().take_reset_after_headers(&path) {
        return Err(ConnectionDropped);
    }
    let request = read_body(request).await?;
    let searchable_body = handler.searchable_body(&request);
    match handler
        .faults()
        .take_matching(&path, &searchable_body, access)
    {
        None => handler.handle(request).await,
        Some(kind) => apply_fault(handler, request, kind).await,
    }
}

async fn apply_fault<H: Handler>(handler: &H, request: Request<Bytes>, kind: FaultKind) -> Reply {
    match kind {
        FaultKind::Refuse => Ok(refusal(StatusCode::SERVICE_UNAVAILABLE)),
        FaultKind::RefuseLate { delay_ms } => {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            Ok(refusal(StatusCode::SERVICE_UNAVAILABLE))
        }
        FaultKind::Limit { .. } => Ok(refusal(StatusCode::TOO_MANY_REQUESTS)),
        FaultKind::ResetAfterHeaders | FaultKind::Down | FaultKind::Disconnect => {
            Err(ConnectionDropped)
        }
        FaultKind::ResetAfterBody => {
            handler.handle(request).await?;
            Err(ConnectionDropped)
        }
        FaultKind::Fail => {
            handler.handle(request).await?;
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Ok(text_response(status, "scripted failure\n"))
        }
        FaultKind::Hang => std::future::pending().await,
        FaultKind::HangAfterBody => {
            let _unsent_response = handler.handle(request).await?;
            std::future::pending().await
        }
        FaultKind::Slow { delay_ms } => {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            handler.handle(request).await
        }
        FaultKind::SlowAnswer { delay_ms } => {
            let response = handler.handle(request).await?;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            Ok(response)
        }
    }
}

/// Builds a response whose `x-ran: no` header says that nothing ran.
pub(crate) fn refusal(status: StatusCode) -> Response<Body> {
    let mut response = text_response(status, "refused\n");
    let not_run = http::HeaderValue::from_static("no");
    response
        .headers_mut()
        .insert(upstream::headers::RAN, not_run);
    response
}

fn handle_faults(faults: &FaultScript, request: &Request<Bytes>) -> Response<Body> {
    match *request.method() {
        Method::GET => json_response(&faults.faulted_requests()),
        Method::DELETE => {
            faults.clear();
            text_response(StatusCode::OK, "cleared\n")
        }
        _ => match decode_json::<Fault>(request) {
            Ok(fault) => {
                faults.add(fault);
                text_response(StatusCode::OK, "added\n")
            }
            Err(response) => response,
        },
    }
}

/// Reads the whole body of a request.
///
/// Returns an error, which closes the connection, if the body ends early.
async fn read_body(request: Request<Incoming>) -> Result<Request<Bytes>, ConnectionDropped> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionDropped)?;
    Ok(Request::from_parts(parts, body.to_bytes()))
}

/// Decodes a JSON body, or returns the 400 response to a malformed one.
#[expect(clippy::result_large_err, reason = "the error is the response to send")]
pub(crate) fn decode_json<T: DeserializeOwned>(
    request: &Request<Bytes>,
) -> Result<T, Response<Body>> {
    serde_json::from_slice(request.body())
        .map_err(|error| text_response(StatusCode::BAD_REQUEST, &format!("{error}\n")))
}

pub(crate) fn json_response<T: Serialize>(message: &T) -> Response<Body> {
    let Ok(content) = serde_json::to_vec(message) else {
        return text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the response cannot be encoded as JSON\n",
        );
    };
    let mut response = Response::new(full_body(Bytes::from(content)));
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

pub(crate) fn text_response(status: StatusCode, content: &str) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::copy_from_slice(content.as_bytes())));
    *response.status_mut() = status;
    response
}

pub(crate) fn full_body(content: Bytes) -> Body {
    Full::new(content)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

pub(crate) fn stream_body(
    parts: impl Stream<Item = io::Result<Bytes>> + Send + Sync + 'static,
) -> Body {
    let frames = parts.map_ok(Frame::data);
    BodyExt::boxed(StreamBody::new(frames))
}

/// Returns the percent-decoded value of a query parameter.
pub(crate) fn query_parameter(request: &Request<Bytes>, name: &str) -> Option<String> {
    let mut pairs = form_urlencoded::parse(request.uri().query()?.as_bytes());
    let (_, value) = pairs.find(|(key, _)| key == name)?;
    Some(value.into_owned())
}

/// Decodes percent-encoded bytes; malformed escapes stay as they are.
pub(crate) fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex_digits = (*first == b'%').then(|| tail.get(..2)).flatten();
        let decoded = hex_digits
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(decoded.unwrap_or(*first));
        rest = if decoded.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
