//! Client for calls to upstreams.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use model::ErrorKind;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use crate::{
    ChatRequest, LoadReport, Order, OrderAnswer, UpstreamError,
    chat::{CancelGuard, ChatStream},
    headers, paths,
    transport::{self, HttpClient},
};

/// Time-out of cancellations, load reports and orders, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 2_000;
/// Maximum body size of a response that is not streamed.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Client for all upstreams. Clones share a connection pool.
#[derive(Debug, Clone)]
pub struct UpstreamClient {
    client: HttpClient,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request to the service, beginning with a slash.
    pub path_and_query: String,
    /// Headers to forward. `Host` is replaced.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// Response of a plain service, with any status.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self::new()
    }
}

impl UpstreamClient {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: transport::http_client(),
        }
    }

    /// Starts a chat completion. `attempt_id` must not have been used before and
    /// becomes the id of the stream. The response is streamed regardless of
    /// `request.stream`. Dropping the future or the stream cancels the request at
    /// the engine.
    ///
    /// # Errors
    ///
    /// Returns one of these [`ErrorKind`]s: `InvalidRequest`, `ConnectRefused`,
    /// `UpstreamRefused`, `UpstreamLeaving`, `UpstreamFailed`, `ConnectionLost`,
    /// `DeadlineBeforeStart` or `DeadlineExceeded`.
    pub async fn chat(
        &self,
        address: SocketAddr,
        attempt_id: &str,
        request: &ChatRequest,
        deadline: Instant,
    ) -> Result<ChatStream, UpstreamError> {
        let mut streamed_request = request.clone();
        streamed_request.stream = true;
        let first_index =
            u32::try_from(streamed_request.continue_from_tokens.len()).unwrap_or(u32::MAX);
        let mut http_request = json_request(address, paths::CHAT_COMPLETIONS, &streamed_request)?;
        let attempt = HeaderValue::from_str(attempt_id).map_err(invalid_request)?;
        http_request.headers_mut().insert(headers::ATTEMPT, attempt);
        let stream = self
            .open_stream(address, attempt_id, http_request, deadline)
            .await?;
        Ok(stream.with_last_token_index(first_index))
    }

    /// Resumes a stream after the token with index `after_token`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`UpstreamClient::chat`], with status 404 if the
    /// engine no longer keeps the stream.
    pub async fn resume(
        &self,
        address: SocketAddr,
        attempt_id: &str,
        after_token: u32,
        deadline: Instant,
    ) -> Result<ChatStream, UpstreamError> {
        let path = format!("{}{attempt_id}?after={after_token}", paths::STREAMS);
        let request = empty_request(Method::GET, address, &path)?;
        let stream = self
            .open_stream(address, attempt_id, request, deadline)
            .await?;
        Ok(stream.with_last_token_index(after_token))
    }

    /// Cancels an attempt. An attempt that the engine does not know counts as
    /// cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not confirm the cancellation.
    pub async fn cancel(&self, address: SocketAddr, attempt_id: &str) -> Result<(), UpstreamError> {
        let path = format!("{}{attempt_id}", paths::STREAMS);
        let request = empty_request(Method::DELETE, address, &path)?;
        self.send_checked(request, control_deadline()).await?;
        Ok(())
    }

    /// Fetches the load report of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response was received.
    pub async fn load_report(&self, address: SocketAddr) -> Result<LoadReport, UpstreamError> {
        let request = empty_request(Method::GET, address, paths::LOAD)?;
        self.json_response(request).await
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response was received. Its status is 409 if
    /// the engine has seen a higher fencing token.
    pub async fn send_order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderAnswer, UpstreamError> {
        let request = json_request(address, paths::ORDERS, order)?;
        self.json_response(request).await
    }

    /// Calls a plain service once, without retries. Every response is returned
    /// whatever its status, except a refusal that is marked as not run.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`UpstreamClient::chat`], except `UpstreamFailed`.
    pub async fn call(
        &self,
        address: SocketAddr,
        attempt_id: &str,
        call: ServiceCall,
        deadline: Instant,
    ) -> Result<ServiceAnswer, UpstreamError> {
        let uri = format!("http://{address}{}", call.path_and_query);
        let mut request = Request::builder()
            .method(call.method)
            .uri(uri)
            .body(Full::new(call.body))
            .map_err(invalid_request)?;
        *request.headers_mut() = call.headers;
        request.headers_mut().remove(header::HOST);
        let attempt = HeaderValue::from_str(attempt_id).map_err(invalid_request)?;
        request.headers_mut().insert(headers::ATTEMPT, attempt);
        let response = transport::send(&self.client, request, deadline).await?;
        if !response.status().is_success() && transport::is_refusal(&response) {
            return Err(transport::error_from_response(response).await);
        }
        if transport::names_other_attempt(response.headers(), attempt_id) {
            return Err(transport::attempt_mismatch());
        }
        read_response(response, deadline).await
    }

    /// Sends a request and returns the stream of its response.
    async fn open_stream(
        &self,
        address: SocketAddr,
        attempt_id: &str,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<ChatStream, UpstreamError> {
        let mut guard = CancelGuard::new(self.clone(), address, attempt_id);
        match self.send_checked(request, deadline).await {
            Ok(response) if transport::names_other_attempt(response.headers(), attempt_id) => {
                Err(transport::attempt_mismatch())
            }
            Ok(response) => {
                let is_leaving = transport::announces_leaving(response.headers());
                let stream = ChatStream::new(response.into_body(), guard, deadline);
                Ok(stream.with_leaving(is_leaving))
            }
            Err(error) => {
                // An attempt whose deadline expired may still run at the engine, and
                // nobody waits for it any longer, so it is cancelled. An attempt whose
                // connection was lost is not cancelled, because its stream may still be
                // resumed. After other errors the attempt has ended.
                if error.kind != ErrorKind::DeadlineExceeded {
                    guard.disarm();
                }
                Err(error)
            }
        }
    }

    async fn json_response<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<T, UpstreamError> {
        let deadline = control_deadline();
        let response = self.send_checked(request, deadline).await?;
        let response = read_response(response, deadline).await?;
        serde_json::from_slice(&response.body)
            .map_err(|error| UpstreamError::new(ErrorKind::UpstreamFailed, error.to_string()))
    }

    /// Sends a request and turns a response without a success status into an
    /// error.
    async fn send_checked(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let response = transport::send(&self.client, request, deadline).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(transport::error_from_response(response).await)
    }
}

/// Reads a whole response of at most [`RESPONSE_MAX_BYTES`].
async fn read_response(
    response: Response<Incoming>,
    deadline: Instant,
) -> Result<ServiceAnswer, UpstreamError> {
    let (parts, body) = response.into_parts();
    let collected = Limited::new(body, RESPONSE_MAX_BYTES).collect();
    let body = match tokio::time::timeout_at(deadline, collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            let kind = ErrorKind::ConnectionLost;
            return Err(UpstreamError::new(kind, error.to_string()));
        }
        Err(_) => return Err(transport::deadline_exceeded()),
    };
    Ok(ServiceAnswer {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

fn control_deadline() -> Instant {
    Instant::now() + Duration::from_millis(CONTROL_TIMEOUT_MS)
}

fn json_request<T: Serialize>(
    address: SocketAddr,
    path: &str,
    body: &T,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let body = serde_json::to_vec(body).map_err(invalid_request)?;
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(invalid_request)
}

fn empty_request(
    method: Method,
    address: SocketAddr,
    path: &str,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(Bytes::new()))
        .map_err(invalid_request)
}

/// Returns the error for a request that could not be built, and so was never
/// sent.
fn invalid_request(error: impl std::fmt::Display) -> UpstreamError {
    UpstreamError::new(ErrorKind::InvalidRequest, error.to_string())
}
