//! HTTP exchange with the platform, and how its failures are classified.

use std::{error::Error as _, io, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time::Instant;

use crate::PlatformError;

/// Longest time to open a connection.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Idle connections are closed after this time.
const IDLE_TIMEOUT_MS: u64 = 10_000;

pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

pub(crate) type HttpClient = Client<HttpConnector, Body>;

pub(crate) fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// Sends one request and waits for the head of its answer.
pub(crate) async fn send(
    client: &HttpClient,
    request: Request<Body>,
    deadline: Instant,
) -> Result<Response<Incoming>, PlatformError> {
    match tokio::time::timeout_at(deadline, client.request(request)).await {
        Ok(Ok(response)) => check_status(response),
        Ok(Err(error)) => Err(classify(&error)),
        Err(_) => Err(PlatformError::Unknown("deadline passed".to_owned())),
    }
}

fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, PlatformError> {
    let status = response.status();
    match status {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND => Ok(response),
        // The platform refuses before it acts.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::NotApplied(format!("status {status}")))
        }
        status if status.is_client_error() => {
            Err(PlatformError::Protocol(format!("status {status}")))
        }
        status => Err(PlatformError::Unknown(format!("status {status}"))),
    }
}

fn classify(error: &legacy::Error) -> PlatformError {
    let text = describe(error);
    if error.is_connect() || was_never_written(error) {
        return PlatformError::NotApplied(text);
    }
    PlatformError::Unknown(text)
}

/// Hyper reports a request as cancelled only if it was still queued when its
/// connection closed, so that no byte of it was written.
fn was_never_written(error: &legacy::Error) -> bool {
    error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

fn describe(error: &legacy::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
