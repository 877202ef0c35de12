//! Sends an item to an upstream and collects the answer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, header};
use jobs::{AttemptOutcome, AttemptStart, ItemRequest};
use model::{ErrorKind, Ran};
use policy::BatchItemId;
use serde_json::{Map, Value, json};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};
use upstream::{ChatRequest, ChatStream, ServiceCall, UpstreamClient, UpstreamError};
use uuid::Uuid;

use crate::{
    event::Event,
    prompt::{self, PromptSlice},
};

/// Time-out of an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_mins(5);

/// An attempt at an item.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) client: UpstreamClient,
    pub(crate) address: SocketAddr,
    pub(crate) start: AttemptStart,
    pub(crate) batch_item: BatchItemId,
    /// How much of the prompt is sent. If it is only a part, the answer is discarded.
    pub(crate) slice: PromptSlice,
    /// Path of the call at the service; `None` if an engine runs the item.
    pub(crate) service_path: Option<String>,
    /// Whether a service call may be repeated after a failure.
    pub(crate) is_idempotent: bool,
    pub(crate) events: mpsc::UnboundedSender<Event>,
}

/// Answer that an engine has generated so far.
#[derive(Debug, Default)]
struct GeneratedAnswer {
    tokens: Vec<String>,
    finish_reason: Option<String>,
    usage: Value,
}

impl Attempt {
    /// Runs the attempt until it ends or until `preempt` resolves. Also returns the
    /// number of leading prompt tokens that the engine has now cached, if only a part
    /// of the prompt was sent.
    pub(crate) async fn run(self, preempt: oneshot::Receiver<()>) -> (AttemptOutcome, Option<u32>) {
        let attempt_id = Uuid::new_v4().to_string();
        match &self.service_path {
            Some(path) => (self.call_service(&attempt_id, path).await, None),
            None => self.complete_chat(&attempt_id, preempt).await,
        }
    }

    async fn complete_chat(
        &self,
        attempt_id: &str,
        mut preempt: oneshot::Receiver<()>,
    ) -> (AttemptOutcome, Option<u32>) {
        let request = match chat_request(&self.start, self.slice) {
            Ok(request) => request,
            Err(message) => return (invalid_request_outcome(&message), None),
        };
        let mut generated = GeneratedAnswer {
            tokens: self.start.tokens.clone(),
            ..GeneratedAnswer::default()
        };
        let deadline = Instant::now() + ATTEMPT_TIMEOUT;
        let run = async {
            let mut stream = self
                .client
                .chat(self.address, attempt_id, &request, deadline)
                .await?;
            self.collect_tokens(&mut stream, &mut generated).await
        };
        // Dropping the future cancels the stream at the engine.
        let result = tokio::select! {
            result = run => Some(result),
            _ = &mut preempt => None,
        };
        if let PromptSlice::Part { leading_tokens, .. } = self.slice {
            return self.finish_part(result, leading_tokens);
        }
        let outcome = match result {
            None => AttemptOutcome::Preempted {
                tokens: generated.tokens,
            },
            Some(Ok(())) => AttemptOutcome::Answered {
                status: 200,
                body: completion_body(attempt_id, &request.model, &generated),
            },
            Some(Err(error)) => failed_outcome(&error, generated.tokens),
        };
        (outcome, None)
    }

    /// Returns the outcome of an attempt that sent only a part of the prompt. The item
    /// keeps the tokens that it had before; the token generated from the part is
    /// discarded.
    fn finish_part(
        &self,
        result: Option<Result<(), UpstreamError>>,
        leading_tokens: u32,
    ) -> (AttemptOutcome, Option<u32>) {
        let tokens = self.start.tokens.clone();
        match result {
            None => (AttemptOutcome::Preempted { tokens }, None),
            Some(Ok(())) => (AttemptOutcome::Preempted { tokens }, Some(leading_tokens)),
            Some(Err(error)) => (failed_outcome(&error, tokens), None),
        }
    }

    async fn collect_tokens(
        &self,
        stream: &mut ChatStream,
        generated: &mut GeneratedAnswer,
    ) -> Result<(), UpstreamError> {
        if stream.is_leaving() {
            // Sending fails only if the worker has ended.
            let _ = self.events.send(Event::LeavingReported(self.batch_item));
        }
        while let Some(chunk) = stream.next().await? {
            if chunk.finish_reason.is_some() {
                generated.finish_reason = chunk.finish_reason;
                generated.usage = json!(chunk.usage);
                continue;
            }
            generated.tokens.push(chunk.text);
            // The batch window derives the engine's step times from each token.
            // Sending fails only if the worker has ended.
            let _ = self.events.send(Event::ItemProgressed(self.batch_item));
        }
        Ok(())
    }

    async fn call_service(&self, attempt_id: &str, path: &str) -> AttemptOutcome {
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let body = Value::Object(self.start.request.body.clone()).to_string();
        let call = ServiceCall {
            method: Method::POST,
            path_and_query: path.to_owned(),
            headers,
            body: Bytes::from(body),
        };
        let deadline = Instant::now() + ATTEMPT_TIMEOUT;
        match self
            .client
            .call(self.address, attempt_id, call, deadline)
            .await
        {
            Ok(answer) if answer.status.is_server_error() && self.is_idempotent => {
                AttemptOutcome::Failed {
                    kind: ErrorKind::UpstreamFailed,
                    tokens: Vec::new(),
                }
            }
            Ok(answer) => {
                let body = serde_json::from_slice(&answer.body)
                    .unwrap_or_else(|_| Value::from(String::from_utf8_lossy(&answer.body)));
                AttemptOutcome::Answered {
                    status: answer.status.as_u16(),
                    body,
                }
            }
            Err(error) => failed_outcome(&error, Vec::new()),
        }
    }
}

/// Returns the model that an item requests.
pub(crate) fn item_model(request: &ItemRequest) -> Option<&str> {
    request.body.get("model").and_then(Value::as_str)
}

fn chat_request(start: &AttemptStart, slice: PromptSlice) -> Result<ChatRequest, String> {
    let mut body: Map<String, Value> = start.request.body.clone();
    body.insert("stream".to_owned(), Value::Bool(true));
    let messages = match slice {
        PromptSlice::Part { leading_tokens, .. } => prompt::prefix(&start.request, leading_tokens),
        PromptSlice::Whole { .. } => None,
    };
    let is_partial = messages.is_some();
    if let Some(messages) = messages {
        body.insert("messages".to_owned(), messages);
    }
    let mut request: ChatRequest =
        serde_json::from_value(Value::Object(body)).map_err(|error| error.to_string())?;
    if is_partial {
        request.max_tokens = Some(1);
        request.max_completion_tokens = None;
    } else {
        request.continue_from_tokens.clone_from(&start.tokens);
    }
    Ok(request)
}

fn invalid_request_outcome(message: &str) -> AttemptOutcome {
    let answer = ErrorKind::InvalidRequest.answer();
    AttemptOutcome::Answered {
        status: answer.status,
        body: json!({"error": {
            "message": message,
            "type": "invalid_request_error",
            "param": "body",
            "code": answer.code,
        }}),
    }
}

fn failed_outcome(error: &UpstreamError, tokens: Vec<String>) -> AttemptOutcome {
    if error.ran() == Ran::No {
        return AttemptOutcome::NotRun(error.kind);
    }
    match error.status {
        // The upstream rejects the request, so a retry would fail in the same way.
        Some(status) if (400..500).contains(&status) => AttemptOutcome::Answered {
            status,
            body: json!({"error": {"message": error.message}}),
        },
        _ => AttemptOutcome::Failed {
            kind: error.kind,
            tokens,
        },
    }
}

fn completion_body(id: &str, model: &str, generated: &GeneratedAnswer) -> Value {
    json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion",
        "created": job_store::unix_ms() / 1_000,
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": generated.tokens.concat()},
            "finish_reason": generated.finish_reason.as_deref().unwrap_or("stop"),
        }],
        "usage": generated.usage,
    })
}
