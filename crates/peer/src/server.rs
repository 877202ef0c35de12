//! Accepts connections and answers requests through a handler.

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

/// Most requests that one connection may have open.
const STREAMS_MAX: u32 = 1_024;

/// Answers requests of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: PeerRequest) -> impl Future<Output = PeerResponse> + Send;
}

/// Serves peers on `listener` until `stopped` resolves, then drops open
/// connections.
pub async fn serve<H: PeerHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    stopped: impl Future<Output = ()>,
) {
    let mut connections = JoinSet::new();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, Arc::clone(&handler)));
                }
                Err(error) => {
                    log::warn!("event=peer_accept_failed error={:?}", error.to_string());
                    // Lets other tasks free the descriptors that are missing.
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
        .max_concurrent_streams(STREAMS_MAX)
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
                    requests.spawn(answer(request, respond, Arc::clone(&handler)));
                }
                Some(Err(_)) | None => return,
            },
            Some(_) = requests.join_next() => {}
        }
    }
}

async fn answer<H: PeerHandler>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<H>,
) {
    let result = if version_of(request.headers()) == PROTOCOL_VERSION {
        match receive(request.into_body()).await {
            Ok(request) => {
                tokio::select! {
                    response = handler.handle(request) => codec::encode(&response),
                    // The caller gave up; the answer would reach nobody.
                    () = poll_reset(&mut respond) => return,
                }
            }
            Err(error) => Err(error),
        }
    } else {
        Err(PeerError::Version {
            theirs: version_of(request.headers()),
        })
    };
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => (status_of(&error), Vec::new()),
    };
    let response = Response::builder()
        .status(status)
        .header(VERSION_HEADER, PROTOCOL_VERSION)
        .body(());
    let Ok(response) = response else { return };
    // A failure to send means that the caller has gone.
    if let Ok(mut stream) = respond.send_response(response, body.is_empty())
        && !body.is_empty()
    {
        let _ = stream.send_data(Bytes::from(body), true);
    }
}

async fn poll_reset(respond: &mut SendResponse<Bytes>) {
    // Both outcomes mean that nobody waits for the answer.
    let _ = std::future::poll_fn(|context| respond.poll_reset(context)).await;
}

async fn receive(body: RecvStream) -> Result<PeerRequest, PeerError> {
    let bytes = read_body(body).await?;
    codec::decode(&bytes)
}

/// Reads a whole body and keeps the flow-control window open.
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

/// Protocol version that a message head names; zero if it names none.
pub fn version_of(headers: &HeaderMap) -> u16 {
    headers
        .get(VERSION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn status_of(error: &PeerError) -> StatusCode {
    StatusCode::from_u16(error.kind().answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
