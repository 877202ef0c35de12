//! HTTP client that sends the requests of customers and of operators.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Time-out of one request.
const REQUEST_TIMEOUT_MS: u64 = 60_000;
/// Boundary between the parts of multipart bodies.
const BOUNDARY: &str = "scenario-boundary";

/// A client that opens a new connection for each request, as separate clients
/// would.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request to send, with its complete body.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    builder: http::request::Builder,
    body: Bytes,
}

/// A response whose body has been received completely.
#[derive(Debug, Clone)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why no complete response was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the time limit passed, before the end of the
    /// response.
    Interrupted(String),
}

impl HttpClient {
    pub(crate) fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }

    pub(crate) async fn send(&self, request: HttpRequest) -> Result<HttpResponse, SendError> {
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let result = tokio::time::timeout(limit, self.exchange(request)).await;
        result.unwrap_or_else(|_| Err(SendError::Interrupted("request timed out".to_owned())))
    }

    async fn exchange(&self, request: HttpRequest) -> Result<HttpResponse, SendError> {
        let interrupted = |error: &dyn std::fmt::Display| SendError::Interrupted(error.to_string());
        let request: Request<_> = request
            .builder
            .body(Full::new(request.body))
            .map_err(|error| interrupted(&error))?;
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Err(SendError::Unreachable),
            Err(error) => return Err(interrupted(&error)),
        };
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| interrupted(&error))?;
        Ok(HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

impl HttpRequest {
    pub(crate) fn new(method: Method, address: SocketAddr, path: &str) -> Self {
        let builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        Self {
            builder,
            body: Bytes::new(),
        }
    }

    pub(crate) fn get(address: SocketAddr, path: &str) -> Self {
        Self::new(Method::GET, address, path)
    }

    pub(crate) fn post(address: SocketAddr, path: &str) -> Self {
        Self::new(Method::POST, address, path)
    }

    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        self.builder = self.builder.header(name, value);
        self
    }

    pub(crate) fn with_customer(self, customer: &str) -> Self {
        self.with_header("authorization", &format!("Bearer {customer}"))
    }

    pub(crate) fn with_json(mut self, message: &serde_json::Value) -> Self {
        self.body = Bytes::from(message.to_string());
        self.with_header("content-type", "application/json")
    }

    pub(crate) fn with_text(mut self, text: String) -> Self {
        self.body = Bytes::from(text);
        self
    }

    /// Sets a multipart form as the body that uploads the input file of a batch.
    pub(crate) fn with_batch_file(mut self, content: &str) -> Self {
        self.body = Bytes::from(format!(
            "--{BOUNDARY}\r\n\
             Content-Disposition: form-data; name=\"purpose\"\r\n\r\n\
             batch\r\n\
             --{BOUNDARY}\r\n\
             Content-Disposition: form-data; name=\"file\"; filename=\"items.jsonl\"\r\n\
             Content-Type: application/jsonl\r\n\r\n\
             {content}\r\n\
             --{BOUNDARY}--\r\n"
        ));
        let content_type = format!("multipart/form-data; boundary={BOUNDARY}");
        self.with_header("content-type", &content_type)
    }
}

impl HttpResponse {
    /// Parses the body as JSON.
    pub(crate) fn json(&self) -> Result<serde_json::Value, String> {
        serde_json::from_slice(&self.body).map_err(|error| format!("{error} in {}", self.text()))
    }

    /// Returns the status and the body, for messages of failed scenarios.
    pub(crate) fn text(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        format!("status {}: {}", self.status.as_u16(), text.trim())
    }

    /// Returns the value of the header that says whether the request ran.
    pub(crate) fn ran(&self) -> Option<&str> {
        self.headers.get("redwingtack-ran")?.to_str().ok()
    }

    /// Returns whether the response is a refusal that says that nothing ran and
    /// when to retry.
    pub(crate) fn is_refusal(&self) -> bool {
        !self.status.is_success()
            && self.ran() == Some("no")
            && self.headers.contains_key(http::header::RETRY_AFTER)
    }
}
