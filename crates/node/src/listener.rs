//! Accepts callers' connections and answers the platform's readiness checks.

use std::{cell::Cell, convert::Infallible, io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use gateway::RECEIVE_BUFFER_BYTES;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1::{self, Builder},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulConnection,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::spawn_local,
    time::sleep,
};

use crate::{
    caller_connections::{self, CallerConnection},
    caller_stream::{CallerAnswerBody, CallerStream},
    dispatch,
    node::{Node, Stage},
    read_limit::{LimitedBody, LimitedStream, ReadLimit},
    where_query,
};

/// Delay before the next connection is accepted after a failure, for example after the
/// process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The configured idle time-out is multiplied by this, so that a caller which keeps
/// to that time-out sends no request on a connection that is being closed.
const IDLE_MULTIPLE: u64 = 2;
/// Minimum idle time-out of a caller's connection, milliseconds.
const IDLE_TIMEOUT_MIN_MS: u64 = 60_000;
/// Maximum size of a request head while this instance has no configuration, bytes.
const HEADER_MAX_DEFAULT_BYTES: u64 = 16_384;
/// Minimum buffer size that the HTTP library accepts, bytes.
const BUFFER_MIN_BYTES: usize = 8_192;
/// Maximum size of the head of a readiness check, bytes.
const CHECK_HEAD_MAX_BYTES: usize = 16_384;
/// Time within which the head of a readiness check must arrive, and after which an idle
/// connection for such checks is closed.
const CHECK_TIMEOUT: Duration = Duration::from_mins(1);

/// Opens the listeners for callers and for readiness checks, and starts accepting
/// connections on both.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub(crate) async fn start(node: &Rc<Node>) -> io::Result<()> {
    let settings = node.settings();
    let caller_listener = bind_for_callers(
        settings.front_listen,
        caller_connections::backlog(&settings),
    )?;
    let readiness_listener = bind(settings.readiness_listen).await?;
    spawn_local(accept_callers(Rc::clone(node), caller_listener));
    spawn_local(accept_readiness_checks(Rc::clone(node), readiness_listener));
    Ok(())
}

pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| bind_error(address, &error))
}

/// Opens the listener for callers. The receive buffers of its connections are limited, and so is
/// the number of connections that wait to be accepted.
fn bind_for_callers(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!(
            "event=receive_buffer_not_limited error={}",
            process::quote(&error)
        );
    }
    socket
        .bind(address)
        .and_then(|()| socket.listen(backlog))
        .map_err(|error| bind_error(address, &error))
}

fn bind_error(address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("cannot bind {address}: {error}"))
}

async fn accept_callers(node: Rc<Node>, listener: TcpListener) {
    let mut stage = node.stage.subscribe();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = wait_for_stage(&mut stage, Stage::Closed) => return,
        };
        // Counted before the task starts, so that a planned stop cannot miss an
        // accepted connection.
        if let Some(connection) = CallerConnection::open(&node).await {
            spawn_local(serve_caller(connection, stream));
        }
    }
}

async fn accept_readiness_checks(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        spawn_local(serve_readiness_checks(Rc::clone(&node), stream));
    }
}

pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let accepted = listener.accept().await.and_then(|(stream, _)| {
            stream.set_nodelay(true)?;
            Ok(stream)
        });
        match accepted {
            Ok(stream) => return stream,
            Err(error) => {
                log::warn!("event=accept_failed error={}", process::quote(&error));
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection of a caller until it ends. During a planned stop, the connection is
/// closed after the request in progress, or after its first one if none has come yet: the
/// caller would get no answer to a request that is on its way.
async fn serve_caller(caller: Rc<CallerConnection>, stream: TcpStream) {
    let node = caller.node();
    let limit = Rc::new(ReadLimit::new());
    let has_request = Cell::new(false);
    let stream = LimitedStream::new(stream, Rc::clone(&limit));
    let stream = CallerStream::new(stream, Rc::clone(&caller));
    let service = service_fn(|request: Request<Incoming>| {
        has_request.set(true);
        caller.begin_request();
        let request = request.map(|body| LimitedBody::new(body, Rc::clone(&limit)));
        serve_request(Rc::clone(&caller), request)
    });
    let builder = caller_connection_builder(node);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let last_stage = || {
        if has_request.get() {
            Stage::Closing
        } else {
            Stage::Closed
        }
    };
    let result = tokio::select! {
        biased;
        () = caller.must_close() => return,
        result = serve_until(node, connection, last_stage) => result,
    };
    if let Err(error) = result {
        log::debug!(
            "event=caller_connection_ended error={}",
            process::quote(&error)
        );
    }
}

async fn serve_request(
    caller: Rc<CallerConnection>,
    request: Request<LimitedBody>,
) -> Result<Response<CallerAnswerBody>, Infallible> {
    let response = dispatch::serve(&caller, request).await;
    Ok(response.map(|body| CallerAnswerBody::new(body, caller)))
}

/// Serves a connection until it ends. During a planned stop, it is closed after the requests
/// in progress.
pub(crate) async fn serve_until_closing<C: GracefulConnection>(
    node: &Node,
    connection: C,
) -> C::Output {
    serve_until(node, connection, || Stage::Closing).await
}

/// Serves a connection until it ends, or until the process has reached the stage that
/// `last_stage` returns as soon as connections are closed. It is closed then after the requests
/// in progress.
async fn serve_until<C: GracefulConnection>(
    node: &Node,
    connection: C,
    last_stage: impl Fn() -> Stage,
) -> C::Output {
    let mut connection = pin!(connection);
    let mut stage = node.stage.subscribe();
    let last_stage_reached = async {
        wait_for_stage(&mut stage, Stage::Closing).await;
        wait_for_stage(&mut stage, last_stage()).await;
    };
    tokio::select! {
        result = connection.as_mut() => result,
        () = last_stage_reached => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

/// Waits until the process has reached `awaited` or a later stage. Returns nothing:
/// the guard that `wait_for` returns holds a lock, and the next stage could not be set
/// until the guard is dropped.
pub(crate) async fn wait_for_stage(stage: &mut watch::Receiver<Stage>, awaited: Stage) {
    // An error means that the sender was dropped because the process is exiting.
    drop(stage.wait_for(|stage| *stage >= awaited).await);
}

/// Guard that counts a connection of a caller or peer as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnectionGuard {
    pub(crate) node: Rc<Node>,
}

impl OpenConnectionGuard {
    pub(crate) fn new(node: Rc<Node>) -> Self {
        node.open_connections.set(node.open_connections.get() + 1);
        Self { node }
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let count = &self.node.open_connections;
        count.set(count.get() - 1);
        self.node.last_connection_end_ms.set(self.node.now_ms());
    }
}

fn caller_connection_builder(node: &Node) -> http1::Builder {
    let routes = node.routes();
    let idle_timeout_ms = routes
        .as_ref()
        .map_or(0, |routes| routes.limits.idle_timeout_ms * IDLE_MULTIPLE)
        .max(IDLE_TIMEOUT_MIN_MS);
    let header_bytes = routes.map_or(HEADER_MAX_DEFAULT_BYTES, |routes| {
        routes.limits.header_max_bytes
    });
    let buffer_bytes = usize::try_from(header_bytes).unwrap_or(BUFFER_MIN_BYTES);
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_timeout_ms))
        .max_buf_size(buffer_bytes.max(BUFFER_MIN_BYTES));
    builder
}

async fn serve_readiness_checks(node: Rc<Node>, stream: TcpStream) {
    let service =
        service_fn(async |request| Ok::<_, Infallible>(answer_readiness_check(&node, &request)));
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(CHECK_TIMEOUT)
        .max_buf_size(CHECK_HEAD_MAX_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(
            "event=check_connection_ended error={}",
            process::quote(&error)
        );
    }
}

fn answer_readiness_check(node: &Node, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if path == where_query::WHERE_PATH {
        let (status, text) = where_query::answer(node, request.uri());
        let mut response = Response::new(Full::from(text));
        *response.status_mut() = status;
        return response;
    }
    let is_readiness_path = path == platform::READINESS_PATH;
    let mut response = Response::new(Full::default());
    *response.status_mut() = if !is_readiness_path {
        StatusCode::NOT_FOUND
    } else if node.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}
