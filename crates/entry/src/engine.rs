//! Streams of tokens from model engines.

use std::{collections::VecDeque, error::Error, io};

use bytes::{Buf, Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use model::ErrorKind;
use upstream::{ChatChunk, ChatRequest, headers, paths};

/// Longest error body that is read, bytes.
const ERROR_BODY_MAX_BYTES: usize = 64 * 1024;
const EVENT_PREFIX: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// Why an attempt at an engine ended without an answer.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{message}")]
pub(crate) struct AttemptError {
    /// Kind.
    pub(crate) kind: ErrorKind,
    /// What was seen.
    pub(crate) message: String,
}

/// Client of every engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The open answer of one attempt.
#[derive(Debug)]
pub(crate) struct EngineStream {
    body: Incoming,
    buffer: BytesMut,
    ready: VecDeque<ChatChunk>,
    done: bool,
}

impl EngineClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }

    /// Starts a streamed completion under a fresh attempt id.
    pub(crate) async fn start(
        &self,
        address: &str,
        attempt_id: &str,
        request: &ChatRequest,
    ) -> Result<EngineStream, AttemptError> {
        let body = serde_json::to_vec(request)
            .map_err(|error| attempt_error(ErrorKind::Internal, &error))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{}", paths::CHAT_COMPLETIONS))
            .header(header::CONTENT_TYPE, "application/json")
            .header(headers::ATTEMPT, attempt_id)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| attempt_error(ErrorKind::Internal, &error))?;
        self.open(request).await
    }

    /// Resumes a stream after token number `after`.
    pub(crate) async fn resume(
        &self,
        address: &str,
        attempt_id: &str,
        after: u32,
    ) -> Result<EngineStream, AttemptError> {
        let uri = format!("http://{address}{}{attempt_id}?after={after}", paths::STREAMS);
        let request = Request::get(uri)
            .body(Full::default())
            .map_err(|error| attempt_error(ErrorKind::Internal, &error))?;
        self.open(request).await
    }

    /// Cancels a stream; errors do not matter, since the engine also notices
    /// that nobody reads.
    pub(crate) async fn cancel(&self, address: &str, attempt_id: &str) {
        let uri = format!("http://{address}{}{attempt_id}", paths::STREAMS);
        if let Ok(request) = Request::delete(uri).body(Full::default())
            && let Err(error) = self.client.request(request).await
        {
            log::debug!("event=cancel_failed error={}", process::quote(&error));
        }
    }

    async fn open(&self, request: Request<Full<Bytes>>) -> Result<EngineStream, AttemptError> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Err(attempt_error(ErrorKind::ConnectRefused, &error));
            }
            Err(error) => return Err(attempt_error(ErrorKind::ConnectionLost, &error)),
        };
        if response.status() != StatusCode::OK {
            return Err(refused(response).await);
        }
        Ok(EngineStream {
            body: response.into_body(),
            buffer: BytesMut::new(),
            ready: VecDeque::new(),
            done: false,
        })
    }
}

impl EngineStream {
    /// The next chunk, or `None` at the explicit end of the stream.
    pub(crate) async fn next(&mut self) -> Result<Option<ChatChunk>, AttemptError> {
        loop {
            if let Some(chunk) = self.ready.pop_front() {
                return Ok(Some(chunk));
            }
            if self.done {
                return Ok(None);
            }
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Err(attempt_error(ErrorKind::ConnectionLost, &error)),
                None => {
                    let error = io::Error::from(io::ErrorKind::UnexpectedEof);
                    return Err(attempt_error(ErrorKind::ConnectionLost, &error));
                }
            };
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
                self.parse()?;
            }
        }
    }

    fn parse(&mut self) -> Result<(), AttemptError> {
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end);
            self.buffer.advance(1);
            let Some(data) = line.strip_prefix(EVENT_PREFIX) else {
                continue;
            };
            let data = data.trim_ascii();
            if data == DONE {
                self.done = true;
                return Ok(());
            }
            let chunk = serde_json::from_slice(data)
                .map_err(|error| attempt_error(ErrorKind::UpstreamFailed, &error))?;
            self.ready.push_back(chunk);
        }
        Ok(())
    }
}

async fn refused(response: Response<Incoming>) -> AttemptError {
    let kind = refusal_kind(&response);
    let status = response.status();
    let body = http_body_util::Limited::new(response.into_body(), ERROR_BODY_MAX_BYTES);
    let text = match body.collect().await {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Err(_) => String::new(),
    };
    AttemptError {
        kind,
        message: format!("the engine answered {status}: {text}"),
    }
}

fn refusal_kind(response: &Response<Incoming>) -> ErrorKind {
    let not_run = response
        .headers()
        .get(headers::RAN)
        .is_some_and(|value| value == "no");
    if response.headers().contains_key(headers::LEAVING) && not_run {
        return ErrorKind::UpstreamLeaving;
    }
    if not_run {
        return ErrorKind::UpstreamRefused;
    }
    ErrorKind::UpstreamFailed
}

fn attempt_error(kind: ErrorKind, error: &(dyn Error + 'static)) -> AttemptError {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        message = format!("{message}: {cause}");
        source = cause.source();
    }
    AttemptError { kind, message }
}
