//! Server that accepts connections of peers and passes their requests to a
//! handler.

use std::{future::Future, sync::Arc};

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, server::SendResponse};
use http::{HeaderMap, Request, Response, StatusCode};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::{
    MESSAGE_MAX_BYTES, PROTOCOL_VERSION, PeerError, PeerRequest, PeerResponse, codec,
    message::VERSION_HEADER,
};

/// Maximum number of concurrent requests on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 1_024;

/// Handles requests of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles one request and returns the response. The future is dropped if
    /// the caller cancels the request.
    fn handle(&self, request: PeerRequest) -> impl Future<Output = PeerResponse> + Send;
}

/// Serves peers on `listener` until `shutdown` resolves, then closes all
/// connections at once.
pub async fn serve<H: PeerHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    shutdown: impl Future<Output = ()>,
) {
    let mut connections = JoinSet::new();
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            () = &mut shutdown => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, Arc::clone(&handler)));
                }
                Err(error) => {
                    log::warn!("event=peer_accept_failed error={:?}", error.to_string());
                    // The usual cause is a lack of file descriptors, which
                    // other tasks may now release.
                    tokio::task::yield_now().await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H: PeerHandler>(stream: TcpStream, handler: Arc<H>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=peer_nodelay_failed error={:?}", error.to_string());
    }
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .handshake(stream)
        .await;
    let Ok(mut connection) = handshake else {
        return;
    };
    let mut requests = JoinSet::new();
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    requests.spawn(handle_request(request, respond, Arc::clone(&handler)));
                }
                Some(Err(_)) | None => return,
            },
            Some(_) = requests.join_next() => {}
        }
    }
}

async fn handle_request<H: PeerHandler>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<H>,
) {
    let result = if protocol_version(request.headers()) == PROTOCOL_VERSION {
        match read_request(request.into_body()).await {
            Ok(request) => {
                tokio::select! {
                    response = handler.handle(request) => codec::encode(&response),
                    // The caller cancelled the request, so nobody waits for the
                    // response.
                    () = wait_for_reset(&mut respond) => return,
                }
            }
            Err(error) => Err(error),
        }
    } else {
        Err(PeerError::Version {
            theirs: protocol_version(request.headers()),
        })
    };
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => (http_status(&error), Vec::new()),
    };
    let response = Response::builder()
        .status(status)
        .header(VERSION_HEADER, PROTOCOL_VERSION)
        .body(());
    let Ok(response) = response else { return };
    // Sending fails only if the caller has disconnected or cancelled the
    // request.
    if let Ok(mut stream) = respond.send_response(response, body.is_empty())
        && !body.is_empty()
    {
        let _ = stream.send_data(Bytes::from(body), true);
    }
}

async fn wait_for_reset(respond: &mut SendResponse<Bytes>) {
    // A reset and an error both mean that nobody waits for the response.
    let _ = std::future::poll_fn(|context| respond.poll_reset(context)).await;
}

async fn read_request(body: RecvStream) -> Result<PeerRequest, PeerError> {
    let bytes = read_body(body).await?;
    codec::decode(&bytes)
}

/// Reads an entire body and releases flow-control capacity as data arrives.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] if the body exceeds [`MESSAGE_MAX_BYTES`],
/// and [`PeerError::Lost`] if the connection breaks.
pub async fn read_body(mut body: RecvStream) -> Result<BytesMut, PeerError> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(PeerError::Lost)?;
        if bytes.len() + chunk.len() > MESSAGE_MAX_BYTES {
            return Err(PeerError::TooLarge);
        }
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(PeerError::Lost)?;
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

/// Returns the protocol version in `headers`; zero if there is none or it is
/// not a number.
pub fn protocol_version(headers: &HeaderMap) -> u16 {
    headers
        .get(VERSION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|version| version.parse().ok())
        .unwrap_or(0)
}

fn http_status(error: &PeerError) -> StatusCode {
    StatusCode::from_u16(error.kind().answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
