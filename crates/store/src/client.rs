//! Calls to the platform.

use std::{fmt::Write, io, net::SocketAddr, ops::Range, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt, stream::BoxStream};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, BodyStream, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::{
    InstanceListing, Operation, Pacer, PlatformError, Priority, Row, RowPage, TransactOutcome,
    TransactRequest,
    gate::Gate,
    paths,
    transport::{self, Body, HttpClient},
};

/// Default time limit of one call.
const CALL_TIMEOUT_MS: u64 = 3_000;
/// Time limit of one object transfer.
const TRANSFER_TIMEOUT_MS: u64 = 60_000;

/// Bytes of an object as they arrive.
pub type ByteStream = BoxStream<'static, Result<Bytes, PlatformError>>;

/// Handle to the platform; clones share connections.
#[derive(Debug, Clone)]
pub struct Platform {
    client: HttpClient,
    address: SocketAddr,
    call_timeout_ms: u64,
    gate: Option<Arc<Gate>>,
    priority: Priority,
}

impl Platform {
    /// A client of the platform at `address`. Nothing is sent yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: transport::http_client(),
            address,
            call_timeout_ms: CALL_TIMEOUT_MS,
            gate: None,
            priority: Priority::Control,
        }
    }

    /// Replaces the time limit of each call.
    #[must_use]
    pub fn with_call_timeout_ms(mut self, call_timeout_ms: u64) -> Self {
        self.call_timeout_ms = call_timeout_ms;
        self
    }

    /// Paces the calls of this handle and of its clones. Calls wait for their
    /// turn within their time limit, and fail as not applied if it cannot come.
    #[must_use]
    pub fn with_pacer(mut self, pacer: Pacer) -> Self {
        self.gate = Some(Arc::new(Gate::new(pacer)));
        self
    }

    /// A handle whose calls have this priority; the budget stays shared.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Divides the fleet's budget among this many live instances.
    pub fn set_live_instances(&self, instances: u32) {
        if let Some(gate) = &self.gate {
            gate.set_live_instances(instances);
        }
    }

    /// Applies a transaction once. An [`PlatformError::Unknown`] outcome has
    /// to be settled; see [`Platform::transact_settled`].
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn transact(
        &self,
        request: &TransactRequest,
    ) -> Result<TransactOutcome, PlatformError> {
        let body = encode(request)?;
        let request = self.request(Method::POST, paths::TRANSACT, full(body))?;
        let deadline = self.call_deadline();
        let response = self.send(request, deadline).await?;
        decode(response, deadline).await
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let path = format!("{}?key={}", paths::ROW, escape(key));
        let request = self.request(Method::GET, &path, empty())?;
        let deadline = self.call_deadline();
        let response = self.send(request, deadline).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(response, deadline).await.map(Some)
    }

    /// Reads up to `limit` rows whose keys begin with `prefix` and follow
    /// `after`, in key order.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn rows(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<RowPage, PlatformError> {
        let after = after.map_or_else(String::new, |after| format!("&after={}", escape(after)));
        let prefix = escape(prefix);
        let path = format!("{}?prefix={prefix}{after}&limit={limit}", paths::ROWS);
        let request = self.request(Method::GET, &path, empty())?;
        let deadline = self.call_deadline();
        let response = self.send(request, deadline).await?;
        decode(response, deadline).await
    }

    /// Writes an object as its bytes come. The object appears whole or not at
    /// all; an error in `content` aborts the write.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or `content` failed.
    pub async fn put_object(
        &self,
        name: &str,
        content: impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
    ) -> Result<(), PlatformError> {
        let body = StreamBody::new(content.map(|part| part.map(Frame::data))).boxed_unsync();
        let request = self.request(Method::PUT, &object_path(name), body)?;
        let response = self.send(request, transfer_deadline()).await?;
        expect_success(&response)
    }

    /// Writes an object whose bytes are in memory.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn put_object_bytes(&self, name: &str, content: Bytes) -> Result<(), PlatformError> {
        let request = self.request(Method::PUT, &object_path(name), full(content))?;
        let response = self.send(request, transfer_deadline()).await?;
        expect_success(&response)
    }

    /// Reads an object, or the bytes of it in `range`, as they arrive.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn object_stream(
        &self,
        name: &str,
        range: Option<Range<u64>>,
    ) -> Result<Option<ByteStream>, PlatformError> {
        let mut request = self.request(Method::GET, &object_path(name), empty())?;
        if let Some(range) = range {
            if range.is_empty() {
                return Ok(Some(futures::stream::empty().boxed()));
            }
            let value = format!("bytes={}-{}", range.start, range.end - 1);
            let value = value.parse().map_err(protocol_error)?;
            request.headers_mut().insert(header::RANGE, value);
        }
        let response = self.send(request, transfer_deadline()).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let frames = BodyStream::new(response.into_body());
        let parts = frames.filter_map(async |frame| match frame {
            Ok(frame) => frame.into_data().ok().map(Ok),
            Err(error) => Some(Err(PlatformError::Unknown(error.to_string()))),
        });
        Ok(Some(parts.boxed()))
    }

    /// Reads a whole object, or the bytes of it in `range`, into memory.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or the answer was cut.
    pub async fn object(
        &self,
        name: &str,
        range: Option<Range<u64>>,
    ) -> Result<Option<Bytes>, PlatformError> {
        let Some(mut parts) = self.object_stream(name, range).await? else {
            return Ok(None);
        };
        let mut content = Vec::new();
        while let Some(part) = parts.next().await {
            content.extend_from_slice(&part?);
        }
        Ok(Some(Bytes::from(content)))
    }

    /// Removes an object; removing an absent one succeeds.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn delete_object(&self, name: &str) -> Result<(), PlatformError> {
        let request = self.request(Method::DELETE, &object_path(name), empty())?;
        self.send(request, self.call_deadline()).await?;
        Ok(())
    }

    /// Reads the lagging list of instances.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn instances(&self) -> Result<InstanceListing, PlatformError> {
        let request = self.request(Method::GET, paths::INSTANCES, empty())?;
        let deadline = self.call_deadline();
        let response = self.send(request, deadline).await?;
        decode(response, deadline).await
    }

    async fn send(
        &self,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, PlatformError> {
        let Some(gate) = &self.gate else {
            return transport::send(&self.client, request, deadline).await;
        };
        let operation = if request.method() == Method::GET {
            Operation::Read
        } else {
            Operation::Write
        };
        gate.admit(self.priority, operation, deadline).await?;
        let result = transport::send(&self.client, request, deadline).await;
        gate.record(&result);
        result
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Body,
    ) -> Result<Request<Body>, PlatformError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(body)
            .map_err(protocol_error)
    }

    fn call_deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.call_timeout_ms)
    }
}

fn transfer_deadline() -> Instant {
    Instant::now() + Duration::from_millis(TRANSFER_TIMEOUT_MS)
}

fn expect_success(response: &Response<Incoming>) -> Result<(), PlatformError> {
    if response.status().is_success() {
        return Ok(());
    }
    Err(PlatformError::Protocol(format!(
        "status {}",
        response.status()
    )))
}

fn encode(message: &TransactRequest) -> Result<Bytes, PlatformError> {
    serde_json::to_vec(message)
        .map(Bytes::from)
        .map_err(protocol_error)
}

async fn decode<T: DeserializeOwned>(
    response: Response<Incoming>,
    deadline: Instant,
) -> Result<T, PlatformError> {
    expect_success(&response)?;
    let unknown = |message: String| PlatformError::Unknown(message);
    let body = tokio::time::timeout_at(deadline, response.into_body().collect())
        .await
        .map_err(|_| unknown("deadline passed".to_owned()))?
        .map_err(|error| unknown(error.to_string()))?
        .to_bytes();
    serde_json::from_slice(&body).map_err(protocol_error)
}

fn protocol_error(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Protocol(error.to_string())
}

fn full(content: Bytes) -> Body {
    Full::new(content)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn empty() -> Body {
    full(Bytes::new())
}

fn object_path(name: &str) -> String {
    format!("{}{}", paths::OBJECTS, escape(name))
}

/// Percent-encodes all but unreserved characters and slashes.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}
