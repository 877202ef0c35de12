//! Calls of the operators' HTTP API.

use std::{fmt, net::SocketAddr, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Bytes, body::Incoming};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use tokio::time::timeout;

/// Time that a control program has to answer; it settles writes meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Times that a change is sent whose answer was lost.
const TRIES: u32 = 3;
/// Pause before a change is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A client of one control program.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// One call.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    body: String,
    headers: Vec<(&'static str, String)>,
}

/// Why a call did not do what it should.
#[derive(Debug)]
pub enum CallError {
    /// The control program cannot be reached; nothing was sent.
    Unreachable(String),
    /// The call was sent and its answer was lost.
    Lost(String),
    /// The answer is not JSON.
    Malformed(String),
    /// The control program refused.
    Refused {
        /// Its answer.
        body: Value,
    },
}

impl Call {
    /// A call without a body.
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            body: String::new(),
            headers: Vec::new(),
        }
    }

    /// Adds a body.
    pub fn with_body(mut self, body: String) -> Self {
        self.body = body;
        self
    }

    /// Names the operator.
    pub fn with_operator(mut self, operator: String) -> Self {
        self.headers.push(("redwingtack-operator", operator));
        self
    }

    /// Adds an idempotency key, so that the call may be repeated.
    pub fn with_fresh_key(mut self) -> Self {
        let key = uuid::Uuid::new_v4().simple().to_string();
        self.headers.push(("idempotency-key", key));
        self
    }
}

impl Client {
    /// A client of the control program at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a call once.
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
            Ok(Ok(response)) => read(response).await,
            Ok(Err(error)) if error.is_connect() => Err(CallError::Unreachable(format!(
                "{} cannot be reached: {error}",
                self.address
            ))),
            Ok(Err(error)) => Err(CallError::Lost(error.to_string())),
            Err(_) => Err(CallError::Lost("no answer in time".to_owned())),
        }
    }

    /// Sends a call with an idempotency key until it is answered.
    pub async fn call_until_answered(&self, call: Call) -> Result<Value, CallError> {
        let mut tries = 1;
        loop {
            match self.call(call.clone()).await {
                Err(CallError::Lost(_)) if tries < TRIES => {
                    tries += 1;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                // An earlier try may have been made.
                Err(CallError::Unreachable(error)) if tries > 1 => {
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

async fn read(response: Response<Incoming>) -> Result<Value, CallError> {
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
