//! Calls to upstreams.

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

/// Time limit of cancels, load reports and orders.
const CONTROL_TIMEOUT_MS: u64 = 2_000;
/// Longest answer of a plain service.
const SERVICE_ANSWER_MAX_BYTES: usize = 16 << 20;

/// Client of all upstreams; clones share connections.
#[derive(Debug, Clone)]
pub struct UpstreamClient {
    client: HttpClient,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Method.
    pub method: Method,
    /// Path and query at the service, beginning with a slash.
    pub path_and_query: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Answer of a plain service, whatever its status.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self::new()
    }
}

impl UpstreamClient {
    /// Nothing is connected yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: transport::http_client(),
        }
    }

    /// Starts a completion; `attempt_id` must be fresh and becomes the id of
    /// the stream. The answer is streamed whatever `request.stream` says.
    /// Dropping the future or the stream cancels at the engine.
    ///
    /// # Errors
    ///
    /// See [`ErrorKind`]: `ConnectRefused`, `UpstreamRefused`,
    /// `UpstreamLeaving`, `UpstreamFailed`, `ConnectionLost`,
    /// `DeadlineBeforeStart` and `DeadlineExceeded` occur.
    pub async fn chat(
        &self,
        address: SocketAddr,
        attempt_id: &str,
        request: &ChatRequest,
        deadline: Instant,
    ) -> Result<ChatStream, UpstreamError> {
        let mut message = request.clone();
        message.stream = true;
        let first_index = u32::try_from(message.continue_from_tokens.len()).unwrap_or(u32::MAX);
        let mut http_request = json_request(address, paths::CHAT_COMPLETIONS, &message)?;
        let attempt = HeaderValue::from_str(attempt_id).map_err(internal)?;
        http_request.headers_mut().insert(headers::ATTEMPT, attempt);
        let stream = self
            .open_stream(address, attempt_id, http_request, deadline)
            .await?;
        Ok(stream.with_last_token_index(first_index))
    }

    /// Resumes a stream after token number `after_token`.
    ///
    /// # Errors
    ///
    /// As [`UpstreamClient::chat`]; status 404 once the stream is forgotten.
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

    /// Cancels an attempt; an unknown one counts as cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not confirm.
    pub async fn cancel(&self, address: SocketAddr, attempt_id: &str) -> Result<(), UpstreamError> {
        let path = format!("{}{attempt_id}", paths::STREAMS);
        let request = empty_request(Method::DELETE, address, &path)?;
        self.send_checked(request, control_deadline()).await?;
        Ok(())
    }

    /// Asks an engine for its load.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer came.
    pub async fn load_report(&self, address: SocketAddr) -> Result<LoadReport, UpstreamError> {
        let request = empty_request(Method::GET, address, paths::LOAD)?;
        self.json_answer(request).await
    }

    /// Gives an engine an order; status 409 in the error if the engine has
    /// seen a higher fencing number.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer came.
    pub async fn send_order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderAnswer, UpstreamError> {
        let request = json_request(address, paths::ORDERS, order)?;
        self.json_answer(request).await
    }

    /// Calls a plain service once and never repeats by itself. Any answer of
    /// the service counts as one, but for a refusal marked as not run.
    ///
    /// # Errors
    ///
    /// As [`UpstreamClient::chat`], without `UpstreamFailed`.
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
            .map_err(internal)?;
        *request.headers_mut() = call.headers;
        request.headers_mut().remove(header::HOST);
        let attempt = HeaderValue::from_str(attempt_id).map_err(internal)?;
        request.headers_mut().insert(headers::ATTEMPT, attempt);
        let response = transport::send(&self.client, request, deadline).await?;
        if !response.status().is_success() && transport::is_refusal(&response) {
            return Err(transport::error_answer(response).await);
        }
        if transport::names_other_attempt(response.headers(), attempt_id) {
            return Err(transport::attempt_mismatch());
        }
        read_answer(response, deadline).await
    }

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
                // Only an attempt given up by deadline still runs over there;
                // a lost connection may yet be resumed.
                if error.kind != ErrorKind::DeadlineExceeded {
                    guard.disarm();
                }
                Err(error)
            }
        }
    }

    async fn json_answer<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<T, UpstreamError> {
        let deadline = control_deadline();
        let response = self.send_checked(request, deadline).await?;
        let answer = read_answer(response, deadline).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|error| UpstreamError::new(ErrorKind::UpstreamFailed, error.to_string()))
    }

    async fn send_checked(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let response = transport::send(&self.client, request, deadline).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(transport::error_answer(response).await)
    }
}

async fn read_answer(
    response: Response<Incoming>,
    deadline: Instant,
) -> Result<ServiceAnswer, UpstreamError> {
    let (parts, body) = response.into_parts();
    let collect = Limited::new(body, SERVICE_ANSWER_MAX_BYTES).collect();
    let body = match tokio::time::timeout_at(deadline, collect).await {
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
    message: &T,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let body = serde_json::to_vec(message).map_err(internal)?;
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(internal)
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
        .map_err(internal)
}

/// A request that could not be built was never sent.
fn internal(error: impl std::fmt::Display) -> UpstreamError {
    UpstreamError::new(ErrorKind::InvalidRequest, error.to_string())
}
