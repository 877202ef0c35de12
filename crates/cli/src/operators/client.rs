//! Client of the operators' HTTP API.

use std::{fmt, net::SocketAddr, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Bytes, body::Incoming};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use tokio::time::timeout;

/// Time-out for a response, and for reading its body. A control program may need
/// this long because it resolves the outcome of a write before it responds.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of times that a change is sent while its response is lost.
const MAX_ATTEMPTS: u32 = 3;
/// Delay before a change is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Client of the operators' API of one control program.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// A call of the operators' API.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    body: String,
    headers: Vec<(&'static str, String)>,
}

/// Error of a [`Call`].
#[derive(Debug)]
pub enum CallError {
    /// The control program could not be reached, so nothing was sent.
    Unreachable(String),
    /// The call was sent, but no complete response was received. It is unknown
    /// whether the call took effect.
    Lost(String),
    /// The response is not valid JSON.
    Malformed(String),
    /// The control program refused the call.
    Refused {
        /// Body of the error response.
        body: Value,
    },
}

impl Call {
    /// Creates a call without a body.
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            body: String::new(),
            headers: Vec::new(),
        }
    }

    /// Sets the request body.
    pub fn with_body(mut self, body: String) -> Self {
        self.body = body;
        self
    }

    /// Sets the name of the operator for the audit trail.
    pub fn with_operator(mut self, operator: String) -> Self {
        self.headers.push(("redwingtack-operator", operator));
        self
    }

    /// Adds a new idempotency key, so that the call can be retried safely.
    pub fn with_idempotency_key(mut self) -> Self {
        let key = uuid::Uuid::new_v4().simple().to_string();
        self.headers.push(("idempotency-key", key));
        self
    }
}

impl Client {
    /// Creates a client of the control program at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a call once and returns the response body.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call(&self, call: Call) -> Result<Value, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path));
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|error| CallError::Unreachable(error.to_string()))?;
        match timeout(CALL_TIMEOUT, self.client.request(request)).await {
            Ok(Ok(response)) => read_json(response).await,
            Ok(Err(error)) if error.is_connect() => Err(CallError::Unreachable(format!(
                "{} cannot be reached: {error}",
                self.address
            ))),
            Ok(Err(error)) => Err(CallError::Lost(error.to_string())),
            Err(_) => Err(CallError::Lost("no answer in time".to_owned())),
        }
    }

    /// Sends a call that carries an idempotency key. Retries it while its response
    /// is lost, up to [`MAX_ATTEMPTS`] times in all.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call_with_retries(&self, call: Call) -> Result<Value, CallError> {
        let mut attempts = 1;
        loop {
            match self.call(call.clone()).await {
                Err(CallError::Lost(_)) if attempts < MAX_ATTEMPTS => {
                    attempts += 1;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                // This attempt was not sent, but an earlier one may have taken effect.
                Err(CallError::Unreachable(error)) if attempts > 1 => {
                    return Err(CallError::Lost(error));
                }
                result => return result,
            }
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(error) => f.write_str(error),
            Self::Lost(error) => write!(f, "the answer was lost, the outcome is unknown: {error}"),
            Self::Malformed(error) => write!(f, "the answer is malformed: {error}"),
            Self::Refused { body } => write!(f, "refused: {body}"),
        }
    }
}

/// Reads a response body as JSON. Returns [`CallError::Refused`] if the status is
/// not a success.
async fn read_json(response: Response<Incoming>) -> Result<Value, CallError> {
    let is_success = response.status().is_success();
    let body = timeout(CALL_TIMEOUT, response.into_body().collect())
        .await
        .map_err(|_| CallError::Lost("no answer in time".to_owned()))?
        .map_err(|error| CallError::Lost(error.to_string()))?
        .to_bytes();
    let body: Value =
        serde_json::from_slice(&body).map_err(|error| CallError::Malformed(error.to_string()))?;
    if is_success {
        Ok(body)
    } else {
        Err(CallError::Refused { body })
    }
}
