//! HTTP client in the place of callers and operators.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Time limit of one request.
const REQUEST_TIMEOUT_MS: u64 = 60_000;
/// Delimiter of multipart bodies.
const BOUNDARY: &str = "scenario-boundary";

/// A client whose requests each use a connection of their own, as if from
/// different callers.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request to send.
#[derive(Debug)]
pub(crate) struct Call {
    request: http::request::Builder,
    body: Bytes,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke before the end of the answer.
    Lost(String),
}

impl Caller {
    pub(crate) fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }

    pub(crate) async fn send(&self, call: Call) -> Result<Reply, CallError> {
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let answer = tokio::time::timeout(limit, self.exchange(call)).await;
        answer.unwrap_or_else(|_| Err(CallError::Lost("no answer in time".to_owned())))
    }

    async fn exchange(&self, call: Call) -> Result<Reply, CallError> {
        let lost = |error: &dyn std::fmt::Display| CallError::Lost(error.to_string());
        let request: Request<_> = call
            .request
            .body(Full::new(call.body))
            .map_err(|error| lost(&error))?;
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Err(CallError::Unreachable),
            Err(error) => return Err(lost(&error)),
        };
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| lost(&error))?;
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

impl Call {
    pub(crate) fn new(method: Method, address: SocketAddr, path: &str) -> Self {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        Self {
            request,
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
        self.request = self.request.header(name, value);
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

    /// A multipart form that uploads a file for a batch.
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
        let kind = format!("multipart/form-data; boundary={BOUNDARY}");
        self.with_header("content-type", &kind)
    }
}

impl Reply {
    pub(crate) fn json(&self) -> Result<serde_json::Value, String> {
        serde_json::from_slice(&self.body).map_err(|error| format!("{error} in {}", self.text()))
    }

    pub(crate) fn text(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        format!("status {}: {}", self.status.as_u16(), text.trim())
    }

    /// Value of the header that tells whether the request ran.
    pub(crate) fn ran(&self) -> Option<&str> {
        self.headers.get("redwingtack-ran")?.to_str().ok()
    }

    /// Whether the answer is a refusal that says that nothing ran and when to
    /// come back.
    pub(crate) fn is_refusal(&self) -> bool {
        !self.status.is_success()
            && self.ran() == Some("no")
            && self.headers.contains_key(http::header::RETRY_AFTER)
    }
}
